//! Admission of callers' connections, before anything is read from them, and of their bodies.
//!
//! A caller whose connection is closed unread tries another instance, and nothing has run. So the
//! decision comes before the request is read: what is read should be served. See
//! `docs/design/connections.md`.

mod bodies;
mod connections;
mod waiting;

pub use bodies::{BodyMemory, BodyNumber, NoRoom};
pub use connections::{AdmissionConfig, ConnectionAdmission, ConnectionRefusal};
pub use waiting::{ConnectionNumber, WaitingCallers};

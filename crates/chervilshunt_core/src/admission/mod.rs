//! Admission of callers' connections, before anything is read from them.
//!
//! A caller whose connection is closed unread tries another instance, and nothing has run. So the
//! decision comes before the request is read: what is read should be served. See
//! `docs/design/connections.md`.

mod connections;

pub use connections::{AdmissionConfig, ConnectionAdmission, ConnectionRefusal};

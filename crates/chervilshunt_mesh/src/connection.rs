//! An open connection: its shared state and its read and write loops.

mod read;
mod run;
mod state;
mod write;

pub(crate) use run::{EndReason, finish, run};
pub(crate) use state::{Identity, PeerConnection, Session};

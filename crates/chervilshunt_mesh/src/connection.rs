//! One open connection: its shared state, and the loops that read and write it.

mod read;
mod run;
mod state;
mod write;

pub(crate) use run::{End, finish, run};
pub(crate) use state::{Connection, Identity, Session};

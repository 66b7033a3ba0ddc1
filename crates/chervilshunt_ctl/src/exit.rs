//! How a run ends.

use std::process::ExitCode;

/// How a run ends; scripts tell the cases apart by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Everything was answered and accepted.
    Done = 0,
    /// A statement was refused; it has not taken effect.
    Refused = 1,
    /// The command line or a statement can't be read; nothing was sent.
    Usage = 2,
    /// The server can't be reached, or did not answer a question; nothing has changed.
    Unreachable = 3,
    /// A change was sent, but its answer did not come: it may have taken effect.
    Unknown = 4,
    /// The server answered something that this tool does not understand.
    BadAnswer = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

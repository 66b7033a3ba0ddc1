//! The exit codes of the tool.

use std::process::ExitCode;

/// The exit code of a run, by which scripts distinguish the outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Everything was answered and accepted.
    Done = 0,
    /// A statement was refused; it has not taken effect.
    Refused = 1,
    /// The command line or a statement is invalid; nothing was sent.
    Usage = 2,
    /// The server can't be reached, or did not answer a query; nothing has changed.
    Unreachable = 3,
    /// A change was sent, but its outcome could not be determined: it may have taken effect.
    Unknown = 4,
    /// The answer of the server could not be parsed.
    BadAnswer = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

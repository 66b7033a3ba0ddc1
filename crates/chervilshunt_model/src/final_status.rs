//! Which HTTP statuses are those of an answer.

/// Returns whether a status is that of a final answer.
///
/// HTTP libraries accept any three digits but those below 100, and HTTP has no statuses from 600 on. 101 would
/// switch to another protocol, which this system never asks for. Bytes with such a status are no answer, and whatever
/// their headers say counts for nothing.
pub const fn is_final_status(status: u16) -> bool {
    matches!(status, 200..=599)
}

//! The pause after a failure to connect.

use std::time::Duration;

use rand::Rng;

/// Doubles the pause with each failure in a row, and draws it from the upper half of that.
///
/// Without the draw, all instances would knock at a restarted peer at the same moment.
pub(crate) fn pause(min: Duration, max: Duration, failures: u32, rng: &mut impl Rng) -> Duration {
    let doublings = failures.saturating_sub(1).min(16);
    let longest = min.saturating_mul(1 << doublings).min(max);
    longest.mul_f64(rng.random_range(0.5..=1.0))
}

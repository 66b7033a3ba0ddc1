//! Exponential backoff with jitter between connection attempts.

use std::time::Duration;

use rand::Rng;

/// Returns the delay before the next connection attempt.
///
/// The delay doubles with each consecutive failure, up to `max`, and is then drawn at random from
/// the upper half of that range. Without jitter, all instances would reconnect to a restarted peer
/// at the same moment.
pub(crate) fn pause(min: Duration, max: Duration, failures: u32, rng: &mut impl Rng) -> Duration {
    let doublings = failures.saturating_sub(1).min(16);
    let longest = min.saturating_mul(1 << doublings).min(max);
    longest.mul_f64(rng.random_range(0.5..=1.0))
}

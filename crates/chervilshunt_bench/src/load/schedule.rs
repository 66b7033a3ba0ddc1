//! Arrival times of requests.

use std::time::Duration;

use rand::Rng;
use rand_distr::{Distribution, Exp};

/// Returns the arrival times of a Poisson process with `rate` arrivals per second, as offsets from
/// the start.
///
/// Returns no arrivals if the rate is invalid.
pub(crate) fn arrivals(rate: f64, duration: Duration, rng: &mut impl Rng) -> Vec<Duration> {
    let Ok(pauses) = Exp::new(rate) else {
        return Vec::new();
    };
    let mut at = 0.0;
    let next = std::iter::from_fn(|| {
        at += pauses.sample(rng);
        (at < duration.as_secs_f64()).then(|| Duration::from_secs_f64(at))
    });
    next.collect()
}

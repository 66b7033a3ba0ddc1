//! The power meter of a site: checks the power drawn by all engines against the cap.

use std::time::Duration;

use chervilshunt_model::Moment;

/// How long the previous, higher cap still applies after the cap is lowered.
///
/// Running streams are not cancelled, so power falls only as they end. The longest answer has
/// 1,024 tokens at 34 ms per step of a full batch, and its permit may have been granted just before
/// the cap was lowered.
pub(crate) const CUT_GRACE: Duration = Duration::from_secs(45);
/// Tolerance for floating-point rounding when the draws are summed, in watts.
const ROUNDING_WATTS: f64 = 1e-6;

/// Tracks the power drawn by the engines of a site and counts steps that exceed the cap.
#[derive(Debug)]
pub(crate) struct PowerMeter {
    draws: Vec<f64>,
    cap: f64,
    previous_cap: f64,
    cap_since: Moment,
    /// Number of steps that began while the site drew more than the cap in force.
    pub(crate) exceeded_steps: u64,
    /// Time from the last lowering of the cap until the draw last exceeded it; `None` if the cap was
    /// never lowered.
    pub(crate) settled_after: Option<Duration>,
}

impl PowerMeter {
    pub(crate) fn new(engines: usize, cap: f64) -> Self {
        Self {
            draws: vec![0.0; engines],
            cap,
            previous_cap: cap,
            cap_since: Moment::ZERO,
            exceeded_steps: 0,
            settled_after: None,
        }
    }

    /// Changes the cap, in watts.
    pub(crate) fn set_cap(&mut self, cap: f64, now: Moment) {
        self.previous_cap = self.cap;
        self.cap = cap;
        self.cap_since = now;
        if cap < self.previous_cap {
            self.settled_after = Some(Duration::ZERO);
        }
    }

    /// Returns the cap that operators set last, in watts, even while the previous one still applies.
    pub(crate) const fn cap(&self) -> f64 {
        self.cap
    }

    /// Records what an engine draws from now on, in watts.
    ///
    /// A positive draw marks the start of a step, for which the total is checked against the cap in
    /// force.
    pub(crate) fn set_draw(&mut self, engine: usize, watts: f64, now: Moment) {
        self.draws[engine] = watts;
        let drawn = self.draws.iter().sum::<f64>() - ROUNDING_WATTS;
        if watts > 0.0 && drawn > self.cap_in_force(now) {
            self.exceeded_steps += 1;
        }
        if self.cap < self.previous_cap && drawn > self.cap {
            self.settled_after = Some(now.since(self.cap_since));
        }
    }

    fn cap_in_force(&self, now: Moment) -> f64 {
        if now.since(self.cap_since) < CUT_GRACE {
            self.cap.max(self.previous_cap)
        } else {
            self.cap
        }
    }
}

//! The meter of a site: what all engines draw at each step, against the cap in force.

use std::time::Duration;

use chervilshunt_model::Moment;

/// How long after a cut the old cap is still in force.
///
/// No stream is cut off, so power falls as streams end: the longest answer has 1,024 tokens at a
/// full batch's 34 ms a step, and its permit may have been granted just before the cut.
pub(crate) const CUT_GRACE: Duration = Duration::from_secs(45);
/// Watts that rounding of sums may amount to.
const ROUNDING: f64 = 1e-6;

/// The meter of a site.
#[derive(Debug)]
pub(crate) struct PowerMeter {
    draws: Vec<f64>,
    cap: f64,
    previous_cap: f64,
    cap_since: Moment,
    /// Steps that began with more power in use than the cap in force.
    pub(crate) exceeded_steps: u64,
    /// How long after the last cut the new cap was last exceeded.
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

    /// Changes the cap.
    pub(crate) fn set_cap(&mut self, cap: f64, now: Moment) {
        self.previous_cap = self.cap;
        self.cap = cap;
        self.cap_since = now;
        if cap < self.previous_cap {
            self.settled_after = Some(Duration::ZERO);
        }
    }

    /// Returns the cap as operators set it last.
    pub(crate) const fn cap(&self) -> f64 {
        self.cap
    }

    /// Notes what an engine draws from now on; a step that begins is checked against the cap.
    pub(crate) fn set_draw(&mut self, engine: usize, watts: f64, now: Moment) {
        self.draws[engine] = watts;
        let drawn = self.draws.iter().sum::<f64>() - ROUNDING;
        if watts > 0.0 && drawn > self.in_force(now) {
            self.exceeded_steps += 1;
        }
        if self.cap < self.previous_cap && drawn > self.cap {
            self.settled_after = Some(now.since(self.cap_since));
        }
    }

    fn in_force(&self, now: Moment) -> f64 {
        if now.since(self.cap_since) < CUT_GRACE {
            self.cap.max(self.previous_cap)
        } else {
            self.cap
        }
    }
}

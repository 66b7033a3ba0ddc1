//! Passive health checks: judges from a target's responses whether it works.

use std::time::Duration;

use chervilshunt_model::Moment;

/// Configuration of how failing targets are avoided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthConfig {
    /// How long a target is excluded after its first failure; each further failure doubles the
    /// time.
    ///
    /// This is well below the time in which a crashed target disappears from the platform's list,
    /// so that a target that was slow only once is used again soon.
    pub initial_backoff: Duration,
    /// The longest time for which a target is excluded.
    pub max_backoff: Duration,
    /// The share of failed requests above which a reachable target is avoided.
    ///
    /// Healthy services fail up to one call in seven; a faulty target fails two out of five or
    /// more.
    pub failing_share: f64,
    /// The weight of one outcome in the moving average of the share of failures: about ten outcomes
    /// count.
    pub outcome_weight: f64,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            initial_backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(2),
            failing_share: 0.35,
            outcome_weight: 0.1,
        }
    }
}

/// The health signal that one exchange with a target gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// The target responded with success, or delivered part of a response.
    Served,
    /// The target responded with an error, or broke off a response.
    Failed,
    /// The connection failed or the target stopped responding, so it may be gone.
    Unreachable,
}

/// The number of failures in a row from which a target is not just slow.
const REPEATED_FAILURES: u32 = 2;

/// The path on which a request reaches its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetPath {
    /// This instance sends it to the target.
    Direct,
    /// Another instance passes it on. See `docs/design/transit.md`.
    Transit,
}

/// Whether a target responds on one path.
#[derive(Clone, Copy, Debug)]
struct Reachability {
    failures_in_row: u32,
    unreachable_until: Moment,
}

impl Reachability {
    const REACHABLE: Self = Self {
        failures_in_row: 0,
        unreachable_until: Moment::ZERO,
    };

    fn record_failure(&mut self, cfg: &HealthConfig, now: Moment) {
        let pause = cfg.initial_backoff * 2_u32.saturating_pow(self.failures_in_row.min(8));
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        self.unreachable_until = now + pause.min(cfg.max_backoff);
    }
}

/// The health of one target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetHealth {
    direct: Reachability,
    in_transit: Reachability,
    failing_share: f64,
    last_response_at: Moment,
}

impl TargetHealth {
    pub(crate) const fn new(now: Moment) -> Self {
        Self {
            direct: Reachability::REACHABLE,
            in_transit: Reachability::REACHABLE,
            failing_share: 0.0,
            last_response_at: now,
        }
    }

    /// Records the signal of an exchange.
    pub(crate) fn record(
        &mut self,
        cfg: &HealthConfig,
        path: TargetPath,
        signal: HealthSignal,
        now: Moment,
    ) {
        if signal != HealthSignal::Unreachable {
            self.response_received(path, now);
        }
        match signal {
            HealthSignal::Served => {
                *self.reachability(path) = Reachability::REACHABLE;
                self.failing_share *= 1.0 - cfg.outcome_weight;
            }
            HealthSignal::Failed => {
                self.failing_share += cfg.outcome_weight * (1.0 - self.failing_share);
            }
            HealthSignal::Unreachable => self.reachability(path).record_failure(cfg, now),
        }
    }

    /// Returns whether the target is excluded because it did not respond on a path.
    pub(crate) fn is_unreachable(&self, path: TargetPath, now: Moment) -> bool {
        let reachability = match path {
            TargetPath::Direct => &self.direct,
            TargetPath::Transit => &self.in_transit,
        };
        now < reachability.unreachable_until
    }

    /// Returns whether the target has repeatedly not responded to this instance itself.
    pub(crate) fn is_repeatedly_unreachable(&self, now: Moment) -> bool {
        self.direct.failures_in_row >= REPEATED_FAILURES
            && self.is_unreachable(TargetPath::Direct, now)
    }

    fn reachability(&mut self, path: TargetPath) -> &mut Reachability {
        match path {
            TargetPath::Direct => &mut self.direct,
            TargetPath::Transit => &mut self.in_transit,
        }
    }

    /// Returns the moving average of the share of failed requests.
    pub(crate) fn failing_share(&self) -> f64 {
        self.failing_share
    }

    /// Returns the time of the last sign of life from the target.
    pub(crate) const fn last_response_at(&self) -> Moment {
        self.last_response_at
    }

    /// Records that bytes were received from the target. In transit they don't show that this
    /// instance's own connections work.
    pub(crate) fn response_received(&mut self, path: TargetPath, now: Moment) {
        if path == TargetPath::Direct {
            self.last_response_at = now;
        }
    }
}

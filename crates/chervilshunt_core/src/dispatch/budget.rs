//! A bound on second sendings that holds over all instances and in every window of time.

use std::collections::VecDeque;
use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName};
use indexmap::IndexMap;

/// How many sendings beyond the first of each request a service gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowBudgetConfig {
    /// The span over which sendings are counted.
    pub window: Duration,
    /// Further sendings for each request of the window.
    pub ratio: f64,
    /// Further sendings in a window however few requests there are, over all instances.
    pub allowance: f64,
}

impl Default for WindowBudgetConfig {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            ratio: 0.2,
            allowance: 10.0,
        }
    }
}

/// The part of the ratio that this instance uses. The windows of instances don't begin together,
/// so that the sum over them may lie above each instance's own count.
const USED_SHARE: f64 = 0.8;

/// What one instance may send again to one service.
///
/// Beside the token bucket that bounds retries in the long run, this one counts in a sliding
/// window: a burst that was saved up over minutes would pass a bound that holds in every window.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    cfg: WindowBudgetConfig,
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl WindowBudget {
    /// Starts with nothing counted.
    pub const fn new(cfg: WindowBudgetConfig) -> Self {
        Self {
            cfg,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Moment) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Says whether one more sending is allowed while `instances` share the allowance.
    pub fn allows_repeat(&mut self, instances: usize, now: Moment) -> bool {
        self.forget(now);
        let share = self.cfg.allowance / instances.max(1) as f64;
        let earned = self.requests.len() as f64 * self.cfg.ratio;
        (self.repeats.len() + 1) as f64 <= (share + earned) * USED_SHARE
    }

    /// Says whether one more sending is allowed, and counts it if so.
    pub fn try_repeat(&mut self, instances: usize, now: Moment) -> bool {
        let allowed = self.allows_repeat(instances, now);
        if allowed {
            self.repeats.push_back(now);
        }
        allowed
    }

    fn forget(&mut self, now: Moment) {
        let window = self.cfg.window;
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
    }
}

/// The budgets of all services.
#[derive(Clone, Debug)]
pub struct ServiceBudgets {
    cfg: WindowBudgetConfig,
    services: IndexMap<ServiceName, WindowBudget>,
}

impl ServiceBudgets {
    /// Starts with nothing counted.
    pub fn new(cfg: WindowBudgetConfig) -> Self {
        Self {
            cfg,
            services: IndexMap::new(),
        }
    }

    /// Returns the budget of a service.
    pub fn of(&mut self, service: &ServiceName) -> &mut WindowBudget {
        let cfg = self.cfg;
        let entry = self.services.entry(service.clone());
        entry.or_insert_with(|| WindowBudget::new(cfg))
    }
}

//! Targets to which several instances cannot connect.
//!
//! A crashed target stays listed for seconds, and once the requests that it had in flight have
//! ended it looks idle, so that the placer would prefer it to all others. Each instance finds out by
//! a refused connection of its own, and adapters would be planned to be loaded there. Instances
//! therefore report failed connections, and a target that more than one of them reports gets
//! nothing until the reports have expired. See `docs/design/unreachable-targets.md`.

use std::time::Duration;

use chervilshunt_model::{InstanceId, Moment, ServiceName, TargetName};

use super::planner::ResidencyPlanner;

/// The number of instances that have to report a target. The links of a single instance may be cut.
const MIN_REPORTERS: usize = 2;
/// How long a report counts. Afterwards the target is tried again, at the cost of one failed
/// connection for each of the instances that have to report it anew.
const REPORT_VALIDITY: Duration = Duration::from_millis(500);
/// The number of reports that are remembered for a target.
const MAX_REPORTS: usize = 4;
/// The share of the targets of a service up to which they are passed over. If more are reported, the
/// fault may lie with the links of those that report, and passing over all would leave none.
const MAX_PASSED_OVER: f64 = 0.5;

/// The reports of instances that could not connect to one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnreachableReports(Vec<(InstanceId, Moment)>);

impl UnreachableReports {
    fn record(&mut self, from: InstanceId, now: Moment) {
        self.0.retain(|(instance, _)| *instance != from);
        if self.0.len() >= MAX_REPORTS {
            self.0.remove(0);
        }
        self.0.push((from, now));
    }

    /// Forgets all reports, because the target has answered.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns whether several instances have reported the target lately.
    pub(super) fn is_unreachable(&self, now: Moment) -> bool {
        if self.0.len() < MIN_REPORTERS {
            return false;
        }
        let valid = self.0.iter();
        let valid = valid.filter(|(_, at)| now.since(*at) < REPORT_VALIDITY);
        valid.count() >= MIN_REPORTERS
    }
}

impl ResidencyPlanner {
    /// Records that an instance could not connect to a target.
    pub(super) fn unreachable_reported(
        &mut self,
        from: InstanceId,
        target: &TargetName,
        now: Moment,
    ) {
        if let Some(target) = self.targets.get_mut(target) {
            target.unreachable.record(from, now);
            self.unreachable_at = now;
        }
    }

    /// Returns whether unreachable targets of a service are passed over now.
    pub(super) fn passes_over_unreachable(&self, service: &ServiceName, now: Moment) -> bool {
        if now.since(self.unreachable_at) >= REPORT_VALIDITY {
            return false;
        }
        let (mut of_service, mut unreachable) = (0, 0);
        for target in self.targets.values() {
            if target.facts.service == *service {
                of_service += 1;
                unreachable += usize::from(target.unreachable.is_unreachable(now));
            }
        }
        unreachable > 0 && unreachable as f64 <= f64::from(of_service) * MAX_PASSED_OVER
    }
}

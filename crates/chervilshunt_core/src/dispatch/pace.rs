//! The paces that targets state in their answers to this instance.

use std::cmp::Ordering;

use chervilshunt_model::{Moment, ServiceName, TargetName};

use super::facts::TargetStart;
use super::state::{Dispatch, Target};
use crate::speed::{PaceChange, PaceQuantiles, ServicePace, TargetSpeed};

/// The relation of the slowest to the fastest candidate from which their speeds count as different.
/// Below it, the load matters more than the speed, and the least loaded of all is selected.
const DIFFERENT_SPEEDS: f64 = 1.1;

impl Dispatch {
    /// Returns the pace of a service as known to this instance.
    pub(super) fn service_pace(&self, service: &ServiceName) -> ServicePace {
        let targets = self.targets.values();
        let targets = targets.filter(|it| it.facts.service == *service);
        ServicePace::of(targets.map(|it| &it.speed))
    }

    /// Returns the candidates of which the one with the lowest score is selected: all of them, or two
    /// drawn at random where their speeds differ.
    ///
    /// Instances learn of a fast or a slow target at the same time. With the best of all, 60 instances
    /// would send their requests to the same target until its load is reported. Of two drawn ones a
    /// target is among the candidates of few instances, and the slowest is still avoided.
    pub(super) fn compared<'a>(
        &self,
        mut open: Vec<&'a Target>,
        pace: ServicePace,
        draw: &mut impl FnMut() -> f64,
        now: Moment,
    ) -> Vec<&'a Target> {
        if !pace.is_stated() || !differ(&open, pace, now) {
            return open;
        }
        if open.iter().any(|it| !self.is_failing(it)) {
            open.retain(|it| !self.is_failing(it));
        }
        // The first one is near if any is, so that a request crosses zones only for a better score.
        open.sort_by_key(|it| it.facts.zone != self.zone);
        let near = open.iter().filter(|it| it.facts.zone == self.zone).count();
        let all = open.len();
        let mut take = |among: usize| {
            let at = (draw() * among as f64) as usize;
            (among > 0).then(|| open.remove(at.min(among - 1)))
        };
        let first = take(if near > 0 { near } else { all });
        let second = take(all.saturating_sub(1));
        first.into_iter().chain(second).collect()
    }

    /// Records the pace that a target states in an answer, or that the answer states none. `started`
    /// is the start of the target when the request was sent; a later start may work at another pace.
    pub fn pace_reported(
        &mut self,
        target: &TargetName,
        started: Option<TargetStart>,
        pace: Option<u16>,
        now: Moment,
    ) -> Option<PaceChange> {
        let target = self.targets.get_mut(target)?;
        if TargetStart::compare(started, target.facts.started) == Ordering::Less {
            return None;
        }
        let Some(pace) = pace else {
            target.speed.answered();
            return None;
        };
        target.speed.record(pace, now)
    }

    /// Returns the distributions of targets' lasting paces, by service.
    pub fn pace_quantiles(&self) -> Vec<PaceQuantiles> {
        let targets = self.targets.values();
        PaceQuantiles::of(targets.map(|it| (&it.facts.service, &it.speed)))
    }

    /// Returns what this instance knows about the speeds of targets.
    pub fn speeds(&self) -> Vec<(TargetName, TargetSpeed)> {
        let known = self.targets.iter();
        let known = known.filter(|(_, target)| target.speed.is_known());
        known
            .map(|(name, target)| (name.clone(), target.speed))
            .collect()
    }
}

fn differ(targets: &[&Target], pace: ServicePace, now: Moment) -> bool {
    let ratios = targets.iter().map(|it| pace.ratio(&it.speed, now));
    let bounds = ratios.fold((f64::MAX, 0.0_f64), |(least, most), it| {
        let least = least.min(it.lasting).min(it.momentary);
        (least, most.max(it.lasting).max(it.momentary))
    });
    bounds.1 > bounds.0 * DIFFERENT_SPEEDS
}

//! Selects the target for a request.

use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName, TargetName};

use super::facts::{SoftwareVersion, Weights};
use super::health::{HealthConfig, TargetPath};
use super::lanes::{Lane, long_prompt_targets};
use super::software::has_software;
use super::state::{Dispatch, Target};
use crate::rate_limit::RequestRate;
use crate::speed::{PaceFigures, ServicePace};

/// Configuration of the scoring of targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchConfig {
    /// The score added to a target in another zone, as a share of its slots: a request crosses
    /// zones only where the queueing time saved is worth the cost of cross-zone traffic.
    pub zone_penalty: f64,
    /// The upper bound of the random score added to each target, as a share of its slots. Without
    /// it, instances that see the same loads would all select the same target.
    pub jitter: f64,
    /// The number of prompt tokens awaiting prefill that weighs as much as all slots of a target.
    /// Prefilling that many at once stalls the streams on the target for 250 ms, the pause that
    /// callers want kept.
    pub prefill_token_capacity: f64,
    /// The score added to a target whose share of failed requests is too high.
    pub failing_penalty: f64,
    /// The number of requests beyond its slots that a target is sent, as a share of its slots. The
    /// target admits them by urgency, which an instance holding them back could not do, and a freed
    /// slot is reused without a network round trip.
    pub queue_share: f64,
    /// How long a superseded version may still be sent requests. The placer needs about half a
    /// second to have the newest version loaded, and the operators' limit is several seconds.
    pub old_version_grace: Duration,
    /// How long after an instance learns of a newer version a request sent for an older one may
    /// still begin to run. The grace period limits only sending, and a request may queue at its
    /// target for seconds. This leaves time for a new version to reach the instance within the
    /// operators' limit.
    pub old_version_begin_limit: Duration,
    /// How failing targets are avoided.
    pub health: HealthConfig,
}

impl Default for DispatchConfig {
    fn default() -> Self {
        Self {
            zone_penalty: 0.04,
            jitter: 0.02,
            prefill_token_capacity: 10_000.0,
            failing_penalty: 2.0,
            queue_share: 0.5,
            old_version_grace: Duration::from_millis(2_500),
            old_version_begin_limit: Duration::from_millis(3_500),
            health: HealthConfig::default(),
        }
    }
}

/// The requirements of a request on its target.
#[derive(Clone, Debug)]
pub struct TargetRequirements<'a> {
    /// The service that the request is for.
    pub service: &'a ServiceName,
    /// The requested weights, if the request names any.
    pub weights: Option<&'a Weights>,
    /// The kind of work that dominates the request.
    pub lane: Lane,
    /// The software version that the target must have, because it began the stream that the request
    /// continues; `None` if any will do.
    pub software: Option<&'a SoftwareVersion>,
    /// Targets already tried for this request.
    pub avoid: &'a [TargetName],
    /// Whether another instance is known that passes requests on.
    pub has_transit: bool,
}

/// The reason why no target can be selected yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// No known target of the service can take the request.
    NoTarget,
    /// No usable target holds the adapter.
    NotHeld,
    /// This instance reaches no target of the service, and knows no instance that passes requests
    /// on to one.
    CutOff,
    /// All suitable targets are full.
    Full,
    /// The rate limits of suitable targets allow no request now; the first one may be sent at the
    /// given time.
    Limited(Moment),
    /// All targets that hold the adapter have asked this instance not to send requests; the first
    /// of these pauses ends at the given time.
    Paused(Moment),
}

/// The result of selecting a target.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// The request is sent to a target.
    Send {
        /// The name of the target.
        target: TargetName,
        /// The address of the target.
        address: SocketAddr,
        /// The path to the target.
        path: TargetPath,
        /// The estimated number of requests at the target.
        load: f64,
        /// The number of requests that the target executes concurrently.
        slots: u32,
        /// The age of the part of the load estimate that covers other instances.
        load_age: Duration,
        /// The version that the target must hold, or `None` if any version will do.
        expect_version: Option<u64>,
        /// The version of the requested weights that the target is known to hold, or `None` if that
        /// is unknown or the request names no weights.
        held_version: Option<u64>,
        /// The rate limit that the target has named, if any. It covers the requests of all instances, so
        /// a permit is needed.
        limit: Option<RequestRate>,
        /// The time since the last sign of life from the target.
        since_last_response: Duration,
        /// The pace of the target as known to this instance, if the target states it.
        pace: Option<PaceFigures>,
    },
    /// No target can take the request now.
    Wait(WaitReason),
}

/// The number of requests at a target reserved for long prompts from which another long prompt is
/// sent elsewhere. Each takes about 120 ms of prefill, so that the next one would start after most
/// of a second.
const LONG_PROMPTS_PER_TARGET: f64 = 6.0;

/// The maximum age of the reported load of other instances for it to make a target count as full.
/// Targets report their load with responses, so a full target that is sent nothing would never be
/// seen to have room, and an instance without requests in flight there would refuse requests
/// indefinitely. A target that is still full refuses the probing request without running it, and
/// the refusal carries its load.
const MAX_FULL_REPORT_AGE: Duration = Duration::from_millis(250);

/// Returns the holders that a request of this lane should be sent to.
fn prefer_lane<'a>(
    holding: Vec<&'a Target>,
    requirements: &TargetRequirements<'_>,
    in_lane: impl Fn(&Target) -> bool,
) -> Vec<&'a Target> {
    let (kept, general): (Vec<_>, Vec<_>) = holding.into_iter().partition(|it| in_lane(it));
    match requirements.lane {
        Lane::LongPrompt
            if kept
                .iter()
                .any(|it| it.load.total() < LONG_PROMPTS_PER_TARGET) =>
        {
            kept
        }
        Lane::LongPrompt | Lane::General if general.is_empty() => kept,
        Lane::LongPrompt | Lane::General => general,
    }
}

impl Dispatch {
    /// Selects a target for a request; `draw` returns random numbers from 0 to 1.
    pub fn choose(
        &self,
        requirements: &TargetRequirements<'_>,
        mut draw: impl FnMut() -> f64,
        now: Moment,
    ) -> Choice {
        let serving: Vec<&Target> = self.serving(requirements).collect();
        if serving.is_empty() {
            return Choice::Wait(WaitReason::NoTarget);
        }
        let kept = long_prompt_targets(serving.iter().map(|it| &it.facts.name));
        let kept: Vec<TargetName> = kept.into_iter().cloned().collect();
        let in_lane = |target: &Target| kept.contains(&target.facts.name);
        let holding: Vec<&Target> = serving
            .into_iter()
            .filter(|target| self.holds(target, requirements.weights, now))
            .collect();
        let holding = prefer_lane(holding, requirements, in_lane);
        if holding.is_empty() {
            return Choice::Wait(WaitReason::NotHeld);
        }
        let pauses = holding.iter().map(|it| it.paused_until);
        let first_end = pauses.min().filter(|until| now < *until);
        if let Some(until) = first_end {
            return Choice::Wait(WaitReason::Paused(until));
        }
        let holding: Vec<&Target> = holding
            .into_iter()
            .filter(|it| !it.is_paused(now))
            .collect();
        let Some((path, candidates)) = self.reachable(holding, requirements, now) else {
            return Choice::Wait(WaitReason::CutOff);
        };
        let is_brittle = self.brittleness(requirements.service).is_some();
        let (held_back, open): (Vec<&Target>, Vec<&Target>) = candidates
            .into_iter()
            .filter(|it| self.has_room(it, is_brittle, now))
            .partition(|it| now < it.held_back_until);
        let pace = self.service_pace(requirements.service);
        let compared = self.compared(open, pace, &mut draw, now);
        let scored = compared.into_iter().map(|target| {
            let score = self.score(target, pace, now);
            (score + draw() * self.cfg.jitter, target)
        });
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        match best {
            Some((_, target)) => self.send(target, path, requirements.weights, now),
            None => {
                let first = held_back.iter().map(|it| it.held_back_until).min();
                Choice::Wait(first.map_or(WaitReason::Full, WaitReason::Limited))
            }
        }
    }

    /// Returns the targets that hold an adapter.
    pub fn holders_of(&self, weights: &Weights) -> impl Iterator<Item = &TargetName> {
        self.holders.of(weights).iter().map(|(name, _)| name)
    }

    /// Uses the target selected by the placer, unless it is leaving, paused, unknown, out of reach or
    /// of another software version than the required one.
    pub fn choose_named(
        &self,
        name: &TargetName,
        weights: Option<&Weights>,
        software: Option<&SoftwareVersion>,
        has_transit: bool,
        now: Moment,
    ) -> Choice {
        let target = self.targets.get(name);
        let usable = target.filter(|it| {
            it.facts.leaving.is_none() && !it.is_paused(now) && has_software(&it.facts, software)
        });
        let Some(target) = usable else {
            return Choice::Wait(WaitReason::NoTarget);
        };
        let is_cut_off = self.is_cut_off(&target.facts.service);
        let is_unreachable = |path| target.health.is_unreachable(path, now);
        let path = if !is_cut_off && !is_unreachable(TargetPath::Direct) {
            TargetPath::Direct
        } else if has_transit && !is_unreachable(TargetPath::Transit) {
            TargetPath::Transit
        } else if is_cut_off {
            return Choice::Wait(WaitReason::CutOff);
        } else {
            TargetPath::Direct
        };
        self.send(target, path, weights, now)
    }

    /// Returns the targets that respond, with the path on which they do; `None` if this instance
    /// is cut off from the service and has no way around that.
    fn reachable<'a>(
        &self,
        holding: Vec<&'a Target>,
        requirements: &TargetRequirements<'_>,
        now: Moment,
    ) -> Option<(TargetPath, Vec<&'a Target>)> {
        let responding = |path| -> Vec<&'a Target> {
            let targets = holding.iter().copied();
            targets
                .filter(|it| !it.health.is_unreachable(path, now))
                .collect()
        };
        let is_cut_off = self.is_cut_off(requirements.service);
        if !is_cut_off {
            let direct = responding(TargetPath::Direct);
            if !direct.is_empty() {
                return Some((TargetPath::Direct, direct));
            }
        }
        if requirements.has_transit {
            let in_transit = responding(TargetPath::Transit);
            if !in_transit.is_empty() {
                return Some((TargetPath::Transit, in_transit));
            }
        }
        // While only some targets are out of reach, one of them is tried anyway.
        (!is_cut_off).then_some((TargetPath::Direct, holding))
    }

    /// Returns the targets of the service that may take new requests.
    fn serving<'a>(
        &'a self,
        requirements: &'a TargetRequirements<'_>,
    ) -> impl Iterator<Item = &'a Target> + 'a {
        self.targets.values().filter(move |target| {
            target.facts.service == *requirements.service
                && target.facts.leaving.is_none()
                && has_software(&target.facts, requirements.software)
                && !requirements.avoid.contains(&target.facts.name)
                && requirements
                    .weights
                    .is_none_or(|it| target.facts.version_of(&it.model).is_some())
        })
    }

    /// Returns whether a target holds the requested weights: the adapter in a version that may
    /// still serve, or the base model if the request names that.
    ///
    /// A request for an adapter accepts any version of the base model. If it required the newest
    /// version there too, all targets would be unsuitable from the announcement of a new version
    /// until they had loaded it, and an instance without a placer would refuse every stream.
    fn holds(&self, target: &Target, weights: Option<&Weights>, now: Moment) -> bool {
        weights.is_none_or(|weights| {
            let held = self.held_version(target, weights);
            held.is_some_and(|held| self.is_current(weights, held, now))
        })
    }

    /// Returns whether a version may still serve requests.
    fn is_current(&self, weights: &Weights, version: u64, now: Moment) -> bool {
        let announced = self.versions.get(weights);
        let oldest = announced.and_then(|it| it.oldest_allowed(self.cfg.old_version_grace, now));
        oldest.is_none_or(|oldest| version >= oldest)
    }

    fn has_room(&self, target: &Target, is_brittle: bool, now: Moment) -> bool {
        if is_brittle {
            return self.has_brittle_room(target, now);
        }
        let slots = f64::from(target.facts.slots);
        target.load.known_within(MAX_FULL_REPORT_AGE, now) < slots * (1.0 + self.cfg.queue_share)
    }

    fn score(&self, target: &Target, pace: ServicePace, now: Moment) -> f64 {
        let ratio = pace.ratio(&target.speed, now);
        let slots = f64::from(target.facts.slots.max(1));
        let mut score = target.load.total() * ratio.lasting / slots;
        // Idle targets differ in how long this request itself takes.
        if pace.is_stated() {
            score += ratio.momentary / slots;
        }
        let prompts = f64::from(target.load.prefill_tokens()) * ratio.momentary;
        score += prompts / self.cfg.prefill_token_capacity;
        if target.facts.zone != self.zone {
            score += self.cfg.zone_penalty;
        }
        if self.is_failing(target) {
            score += self.cfg.failing_penalty;
        }
        score
    }

    /// Returns whether the share of failed requests at a target is too high.
    pub(super) fn is_failing(&self, target: &Target) -> bool {
        target.health.failing_share() > self.cfg.health.failing_share
    }

    fn send(
        &self,
        target: &Target,
        path: TargetPath,
        weights: Option<&Weights>,
        now: Moment,
    ) -> Choice {
        Choice::Send {
            target: target.facts.name.clone(),
            address: target.facts.address,
            path,
            load: target.load.total(),
            slots: target.facts.slots,
            load_age: now.since(target.load.reported_at()),
            expect_version: self.expected_version(target, weights, now),
            held_version: weights.and_then(|weights| self.held_version(target, weights)),
            limit: self.rate_limits.get(&target.facts.name),
            since_last_response: now.since(target.health.last_response_at()),
            pace: target.speed.figures(now),
        }
    }

    /// Returns the version that the target is required to confirm.
    ///
    /// The known versions of a target may be slightly out of date, and a request executed on an
    /// older version produces a wrong answer; a target that is sent an expected version refuses the
    /// request if it holds another one. Right after a still newer version has been announced the
    /// target may hold either, so the version that it is known to hold is required.
    fn expected_version(
        &self,
        target: &Target,
        weights: Option<&Weights>,
        now: Moment,
    ) -> Option<u64> {
        let weights = weights?;
        let announced = self.versions.get(weights)?;
        let oldest = announced.oldest_allowed(self.cfg.old_version_grace, now)?;
        let held = self.held_version(target, weights);
        held.filter(|held| *held >= oldest).or(announced.newest())
    }

    /// Returns the version of the given weights that a target is known to hold.
    fn held_version(&self, target: &Target, weights: &Weights) -> Option<u64> {
        if weights.adapter.is_none() {
            return target.facts.version_of(&weights.model);
        }
        let mut held = self.holders.of(weights).iter();
        let held = held.find(|(name, _)| *name == target.facts.name);
        held.map(|(_, version)| *version)
    }
}

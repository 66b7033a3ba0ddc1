//! The choice of a target for one request.

use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName, TargetName};

use super::facts::Weights;
use super::health::HealthConfig;
use super::lanes::{Lane, long_prompt_targets};
use super::state::{Dispatch, Target};

/// How targets are weighed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchConfig {
    /// What another zone counts, as a share of a target's slots: a request crosses zones only where
    /// that saves it more waiting than the bytes between zones cost.
    pub zone_penalty: f64,
    /// What a target counts more than it has, at random, as a share of its slots. Instances that
    /// see the same loads would otherwise all send to the same target.
    pub jitter: f64,
    /// Prompt tokens still to be read that count as much as all slots of a target. Read at once they
    /// hold the streams there up for a quarter of a second, the pause that callers want kept.
    pub reading_tokens: f64,
    /// What a faulty target counts more.
    pub failing_penalty: f64,
    /// Requests beyond its slots that a target is given, as a share of its slots. A target admits
    /// by urgency, which an instance that holds requests back can't; and a slot that falls free is
    /// taken without a round trip.
    pub queue_share: f64,
    /// How long a version that is no longer the newest still serves: the placer needs about half a
    /// second to have the newest one loaded, and the operators' bound is several seconds.
    pub old_version_grace: Duration,
    /// How long after an instance learns of a newer version a request sent for an older one may still
    /// begin to run. The grace limits only sending, and a request may queue at its target for seconds.
    /// Leaves time for a new version to reach the instance within the operators' bound.
    pub old_version_begin_limit: Duration,
    /// How failing targets are passed over.
    pub health: HealthConfig,
}

impl Default for DispatchConfig {
    fn default() -> Self {
        Self {
            zone_penalty: 0.04,
            jitter: 0.02,
            reading_tokens: 10_000.0,
            failing_penalty: 2.0,
            queue_share: 0.5,
            old_version_grace: Duration::from_millis(2_500),
            old_version_begin_limit: Duration::from_millis(3_500),
            health: HealthConfig::default(),
        }
    }
}

/// What a request asks of a target.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The weights that it names, if it names any.
    pub weights: Option<&'a Weights>,
    /// What it mostly makes a target do.
    pub lane: Lane,
    /// Targets that it has been at already.
    pub avoid: &'a [TargetName],
}

/// Why a request has no target yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// No target of the service is known that can take it.
    NoTarget,
    /// No usable target holds the adapter.
    NotHeld,
    /// All targets that could take it are full.
    Full,
    /// All targets that hold the adapter want nothing from this instance until a moment.
    Paused(Moment),
}

/// What comes of choosing.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// The request goes to a target.
    Send {
        /// The target.
        target: TargetName,
        /// Where it is called.
        address: SocketAddr,
        /// Requests at the target, as estimated.
        load: f64,
        /// Requests that it works on at a time.
        slots: u32,
        /// How old the others' part of the estimate is.
        load_age: Duration,
        /// The version that the target has to hold; none if any does.
        expect_version: Option<u64>,
        /// The version of the requested weights that the target is known to hold; none if it is
        /// unknown or if the request names no weights.
        held_version: Option<u64>,
        /// How long ago the target last showed that it lives.
        heard_before: Duration,
    },
    /// The request has no target now.
    Wait(Wait),
}

/// Requests at a target kept for long prompts beyond which another one goes elsewhere: each of them
/// takes about 120 ms to read, so that the next one would begin after most of a second.
const BUSY_WITH_LONG_PROMPTS: f64 = 6.0;

/// How long what others have at a target counts as filling it. Targets tell their load with answers, so
/// that one which gets nothing, being full, is never heard to have room: an instance refused requests for
/// as long as it had nothing under way there. Asked again, a target that is still full refuses truly, and
/// its refusal tells its load.
const FULL_FOR: Duration = Duration::from_millis(250);

/// Returns the holders that a request should go to, by its lane.
fn prefer_lane<'a>(
    holding: Vec<&'a Target>,
    ask: &Ask<'_>,
    in_lane: impl Fn(&Target) -> bool,
) -> Vec<&'a Target> {
    let (kept, general): (Vec<_>, Vec<_>) = holding.into_iter().partition(|it| in_lane(it));
    match ask.lane {
        Lane::LongPrompt
            if kept
                .iter()
                .any(|it| it.load.total() < BUSY_WITH_LONG_PROMPTS) =>
        {
            kept
        }
        Lane::LongPrompt | Lane::General if general.is_empty() => kept,
        Lane::LongPrompt | Lane::General => general,
    }
}

impl Dispatch {
    /// Chooses a target for a request; `draw` gives random numbers from 0 to 1.
    pub fn choose(&self, ask: &Ask<'_>, mut draw: impl FnMut() -> f64, now: Moment) -> Choice {
        let serving: Vec<&Target> = self.serving(ask).collect();
        if serving.is_empty() {
            return Choice::Wait(Wait::NoTarget);
        }
        let kept = long_prompt_targets(serving.iter().map(|it| &it.facts.name));
        let kept: Vec<TargetName> = kept.into_iter().cloned().collect();
        let in_lane = |target: &Target| kept.contains(&target.facts.name);
        let holding: Vec<&Target> = serving
            .into_iter()
            .filter(|target| self.holds(target, ask.weights, now))
            .collect();
        let holding = prefer_lane(holding, ask, in_lane);
        if holding.is_empty() {
            return Choice::Wait(Wait::NotHeld);
        }
        let pauses = holding.iter().map(|it| it.paused_until);
        let first_end = pauses.min().filter(|until| now < *until);
        if let Some(until) = first_end {
            return Choice::Wait(Wait::Paused(until));
        }
        let holding: Vec<&Target> = holding
            .into_iter()
            .filter(|it| !it.is_paused(now))
            .collect();
        let answering: Vec<&Target> = holding
            .iter()
            .filter(|target| !target.health.is_silent(now))
            .copied()
            .collect();
        // If all are silent, the fault may be this instance's: one of them is tried all the same.
        let candidates = if answering.is_empty() {
            holding
        } else {
            answering
        };
        let open = candidates.into_iter().filter(|it| self.has_room(it, now));
        let scored = open.map(|target| (self.score(target) + draw() * self.cfg.jitter, target));
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        match best {
            Some((_, target)) => self.send(target, ask.weights, now),
            None => Choice::Wait(Wait::Full),
        }
    }

    /// Returns the targets that hold an adapter.
    pub fn holders_of(&self, weights: &Weights) -> impl Iterator<Item = &TargetName> {
        self.holders.of(weights).iter().map(|(name, _)| name)
    }

    /// Chooses the target that the placer named, unless it leaves, wants nothing now or is gone.
    pub fn choose_named(
        &self,
        name: &TargetName,
        weights: Option<&Weights>,
        now: Moment,
    ) -> Choice {
        let target = self.targets.get(name);
        match target.filter(|it| it.facts.leaving.is_none() && !it.is_paused(now)) {
            Some(target) => self.send(target, weights, now),
            None => Choice::Wait(Wait::NoTarget),
        }
    }

    /// Returns targets of the service that may take new work.
    fn serving<'a>(&'a self, ask: &'a Ask<'_>) -> impl Iterator<Item = &'a Target> + 'a {
        self.targets.values().filter(move |target| {
            target.facts.service == *ask.service
                && target.facts.leaving.is_none()
                && !ask.avoid.contains(&target.facts.name)
                && ask
                    .weights
                    .is_none_or(|it| target.facts.version_of(&it.model).is_some())
        })
    }

    /// Says whether a target holds what a request names: the adapter, in a version that may serve, or the
    /// base model, if that is what it names.
    ///
    /// A request for an adapter takes the base model in whatever version is there. Asked for the newest
    /// there too, all targets were unfit from the naming of a new one until they had loaded it, and an
    /// instance without a placer refused every stream.
    fn holds(&self, target: &Target, weights: Option<&Weights>, now: Moment) -> bool {
        weights.is_none_or(|weights| {
            let held = self.held_version(target, weights);
            held.is_some_and(|held| self.is_current(weights, held, now))
        })
    }

    /// Says whether a version may still serve.
    fn is_current(&self, weights: &Weights, version: u64, now: Moment) -> bool {
        let named = self.versions.get(weights);
        let oldest = named.and_then(|it| it.oldest_allowed(self.cfg.old_version_grace, now));
        oldest.is_none_or(|oldest| version >= oldest)
    }

    fn has_room(&self, target: &Target, now: Moment) -> bool {
        let slots = f64::from(target.facts.slots);
        target.load.known_within(FULL_FOR, now) < slots * (1.0 + self.cfg.queue_share)
    }

    fn score(&self, target: &Target) -> f64 {
        let slots = f64::from(target.facts.slots.max(1));
        let mut score = target.load.total() / slots;
        score += f64::from(target.load.reading()) / self.cfg.reading_tokens;
        if target.facts.zone != self.zone {
            score += self.cfg.zone_penalty;
        }
        if target.health.failing_share() > self.cfg.health.failing_share {
            score += self.cfg.failing_penalty;
        }
        score
    }

    fn send(&self, target: &Target, weights: Option<&Weights>, now: Moment) -> Choice {
        Choice::Send {
            target: target.facts.name.clone(),
            address: target.facts.address,
            load: target.load.total(),
            slots: target.facts.slots,
            load_age: now.since(target.load.reported_at()),
            expect_version: self.expected_version(target, weights, now),
            held_version: weights.and_then(|weights| self.held_version(target, weights)),
            heard_before: now.since(target.health.heard_at()),
        }
    }

    /// Returns the version that a target has to confirm.
    ///
    /// What is known of its versions may be a moment old, and a request that begins on an older one
    /// is a wrong answer; a target that is asked for a version refuses if it holds another. Where a
    /// still newer one has just been named, the target may hold either: it is asked for the one that
    /// it is known to hold.
    fn expected_version(
        &self,
        target: &Target,
        weights: Option<&Weights>,
        now: Moment,
    ) -> Option<u64> {
        let weights = weights?;
        let named = self.versions.get(weights)?;
        let oldest = named.oldest_allowed(self.cfg.old_version_grace, now)?;
        let held = self.held_version(target, weights);
        held.filter(|held| *held >= oldest).or(named.newest())
    }

    /// Returns the version of some weights that a target is known to hold.
    fn held_version(&self, target: &Target, weights: &Weights) -> Option<u64> {
        if weights.adapter.is_none() {
            return target.facts.version_of(&weights.model);
        }
        let mut held = self.holders.of(weights).iter();
        let held = held.find(|(name, _)| *name == target.facts.name);
        held.map(|(_, version)| *version)
    }
}

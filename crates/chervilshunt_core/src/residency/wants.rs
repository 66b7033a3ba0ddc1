//! Choosing a target for an adapter.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName, TargetName};

use super::hold::{Hold, HoldState};
use super::order::{Placed, ResidencyAction};
use super::planner::Residency;
use super::target::TargetState;
use crate::dispatch::{Holding, Lane, Weights, long_prompt_targets};

/// What a request wants placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Want<'a> {
    pub(super) service: &'a ServiceName,
    pub(super) weights: &'a Weights,
    /// Until when it is waited for; none if it is for whoever comes.
    pub(super) until: Option<Moment>,
    pub(super) lane: Lane,
    pub(super) avoid: &'a [TargetName],
}

/// A load that has failed, with those who wait for it.
#[derive(Debug)]
pub(super) struct FailedLoad {
    pub(super) target: TargetName,
    pub(super) weights: Weights,
    pub(super) questions: Vec<u64>,
    pub(super) until: Option<Moment>,
    pub(super) lane: Lane,
}

/// What is under way with an adapter, over all targets.
#[derive(Debug)]
struct Demand<'a> {
    /// One of its targets; those of a service are alike.
    target: &'a TargetState,
    under_way: u32,
    holders: u32,
    coming: bool,
}

/// An adapter whose targets have too much work under way.
#[derive(Debug)]
struct Crowded {
    service: ServiceName,
    weights: Weights,
    /// How many targets more it needs.
    missing: u32,
}

impl Demand<'_> {
    /// Returns how many targets more are needed, if each is to have a share of its slots at most.
    fn missing(&self, share: f64) -> u32 {
        if self.coming || self.holders == 0 {
            return 0;
        }
        let a_target = f64::from(self.target.facts.slots.max(1)) * share;
        let needed = (f64::from(self.under_way) / a_target).ceil() as u32;
        needed.saturating_sub(self.holders).min(MOST_MORE)
    }
}

impl<'a> Want<'a> {
    /// Wants an adapter for whoever uses it.
    pub(super) const fn general(service: &'a ServiceName, weights: &'a Weights) -> Self {
        Self {
            service,
            weights,
            until: None,
            lane: Lane::General,
            avoid: &[],
        }
    }

    /// Says whether a target is for such requests, if it is kept for long prompts or not.
    fn fits(self, kept: bool) -> bool {
        kept == (self.lane == Lane::LongPrompt)
    }
}

impl Residency {
    /// Finds a target for an adapter that an instance knows nowhere.
    pub(super) fn wanted(
        &mut self,
        question: u64,
        want: Want<'_>,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        let weights = want.weights;
        let known = self.best_known(want);
        if known.is_none()
            && let Some(retry_in) = self.too_long(want, now)
        {
            out.push(ResidencyAction::Answer(
                question,
                Placed::Later { retry_in },
            ));
            return;
        }
        let chosen = known.or_else(|| self.plan_load(want, now));
        let Some(name) = chosen else {
            return self.answer_later(vec![question], out);
        };
        let Some(target) = self.targets.get_mut(&name) else {
            return self.answer_later(vec![question], out);
        };
        let Some(hold) = target.holds.get_mut(weights) else {
            return self.answer_later(vec![question], out);
        };
        hold.last_used = now;
        target.touched = true;
        match hold.state {
            HoldState::Ready | HoldState::Ending | HoldState::Unloading => {
                hold.state = HoldState::Ready;
                let version = Some(hold.version);
                out.push(tell(&name, weights, version));
            }
            HoldState::Planned
            | HoldState::Ordered
            | HoldState::Loading(_)
            | HoldState::Confirming => {
                hold.questions.push(question);
                hold.wanted_until = hold.wanted_until.max(want.until);
                return;
            }
        }
        let target = name;
        out.push(ResidencyAction::Answer(question, Placed::At { target }));
    }

    /// Returns when to ask again for a load that would end after the request stops to wait.
    ///
    /// Told at once, the caller can come back when the loads before its own are done; told when its
    /// patience is over, it has lost that time, and the store has loaded for nobody.
    fn too_long(&self, want: Want<'_>, now: Moment) -> Option<Duration> {
        let before = self.waiting_loads().count() + self.loads_under_way();
        let rounds = before as f64 / self.window.size() as f64;
        let load_time = self.window.usual(self.cfg.cold_load);
        let wait = load_time.mul_f64(rounds.floor() + 1.0);
        let until = want.until?;
        (now + wait > until).then(|| wait.max(self.cfg.retry_in))
    }

    /// Returns the least busy target that holds an adapter or is loading it.
    fn best_known(&self, want: Want<'_>) -> Option<TargetName> {
        let weights = want.weights;
        let kept = self.kept_for_long_prompts(want.service);
        let holding = self.targets.iter().filter(|(name, target)| {
            let hold = target.holds.get(weights);
            let useful = hold.is_some_and(Hold::is_useful);
            useful && self.may_place(name, target, want) && want.fits(kept.contains(name))
        });
        let least = holding.min_by(|a, b| a.1.in_flight().cmp(&b.1.in_flight()));
        least.map(|(name, _)| name.clone())
    }

    /// Plans to load an adapter where that costs least.
    pub(super) fn plan_load(&mut self, want: Want<'_>, now: Moment) -> Option<TargetName> {
        let Want {
            service, weights, ..
        } = want;
        let kept = self.kept_for_long_prompts(service);
        let slots = self.limits.get(service)?.adapters_beside(&weights.model);
        let free = self.targets.iter().filter(|(name, target)| {
            !target.holds.contains_key(weights)
                && self.may_place(name, target, want)
                && want.fits(kept.contains(name))
                && target.can_load(&self.cfg, slots, now)
        });
        let burden = |target: &TargetState| target.burden(&self.cfg, weights, slots);
        let best = free.min_by(|a, b| burden(a.1).total_cmp(&burden(b.1)));
        let name = best.map(|(name, _)| name.clone())?;
        let version = self.newest.get(weights).copied().unwrap_or(FIRST_VERSION);
        let target = self.targets.get_mut(&name)?;
        let mut hold = Hold::new(HoldState::Planned, version, now);
        hold.wanted_until = want.until;
        hold.lane = want.lane;
        target.holds.insert(weights.clone(), hold);
        target.touched = true;
        Some(name)
    }

    /// Finds another target for those who wait for a load that has failed, as long as they would wait
    /// for it; the others are told to come back.
    pub(super) fn place_elsewhere(
        &mut self,
        failed: FailedLoad,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        if failed.questions.is_empty() {
            return;
        }
        let service = self.targets.get(&failed.target);
        let Some(service) = service.map(|it| it.facts.service.clone()) else {
            return self.answer_later(failed.questions, out);
        };
        let want = Want {
            service: &service,
            weights: &failed.weights,
            until: failed.until,
            lane: failed.lane,
            avoid: std::slice::from_ref(&failed.target),
        };
        for question in failed.questions {
            self.wanted(question, want, now, out);
        }
    }

    fn may_place(&self, name: &TargetName, target: &TargetState, want: Want<'_>) -> bool {
        target.facts.service == *want.service
            && target.takes_work()
            && target.base_load.is_none()
            && !target.gives_up()
            && target.lists_model(&want.weights.model)
            && !want.avoid.contains(name)
    }

    /// Returns the targets of a service that are kept for long prompts, as every instance does.
    fn kept_for_long_prompts(&self, service: &ServiceName) -> Vec<TargetName> {
        let targets = self.targets.values();
        let taking = targets.filter(|it| it.facts.service == *service && it.takes_work());
        let kept = long_prompt_targets(taking.map(|it| &it.facts.name));
        kept.into_iter().cloned().collect()
    }

    /// Gives adapters with much work under way more targets.
    pub(super) fn spread(&mut self, now: Moment) {
        if now.since(self.spread_at) < SPREAD_EVERY {
            return;
        }
        self.spread_at = now;
        for crowded in self.crowded() {
            for _ in 0..crowded.missing {
                self.plan_load(Want::general(&crowded.service, &crowded.weights), now);
            }
        }
    }

    fn crowded(&self) -> Vec<Crowded> {
        let mut demands: HashMap<&Weights, Demand<'_>> = HashMap::new();
        for target in self.targets.values().filter(|target| target.takes_work()) {
            for (weights, hold) in &target.holds {
                let fresh = Demand {
                    target,
                    under_way: 0,
                    holders: 0,
                    coming: false,
                };
                let demand = demands.entry(weights).or_insert(fresh);
                demand.under_way += target.in_use(weights);
                demand.holders += u32::from(hold.serves());
                demand.coming |= hold.is_coming();
            }
        }
        let crowded = demands.into_iter().map(|(weights, demand)| Crowded {
            service: demand.target.facts.service.clone(),
            weights: weights.clone(),
            missing: demand.missing(self.cfg.spread_share),
        });
        crowded.filter(|it| it.missing > 0).collect()
    }

    /// Takes in that a target does not hold what it was told to hold.
    ///
    /// It may hold it all the same, in a version that the request could not use. So nobody is told
    /// of it any more, and its slot counts as taken until the target has given it up or been asked:
    /// counted as free, it would be given to a load that the target has no slot for, which kills it.
    /// Nor is anyone else sent there for it, to be refused in turn.
    pub(super) fn not_held(
        &mut self,
        name: &TargetName,
        weights: &Weights,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let lag = self.cfg.report_lag;
        let Some(hold) = target.holds.get_mut(weights) else {
            return;
        };
        // A request that was refused just as the load ended says nothing of the hold.
        if hold.state != HoldState::Ready || now.since(hold.since) < lag {
            return;
        }
        hold.state = HoldState::Ending;
        hold.outdated = true;
        hold.since = now;
        target.touched = true;
        out.push(tell(name, weights, None));
        if let super::target::Turn::Free(_) = target.turn {
            target.turn = super::target::Turn::Unknown(now + lag);
        }
    }
}

/// The most targets by which an adapter spreads at a time: what is under way on a target with a queue
/// is more than it will be once others share the work.
const MOST_MORE: u32 = 3;
/// How often it is looked whether adapters are crowded: each instance tells what it uses several
/// times a second, and a load takes longer than this.
const SPREAD_EVERY: Duration = Duration::from_millis(100);
/// The version of weights of which no other has been named.
const FIRST_VERSION: u64 = 1;

/// Makes what all instances are told of one hold.
pub(super) fn tell(
    target: &TargetName,
    weights: &Weights,
    version: Option<u64>,
) -> ResidencyAction {
    ResidencyAction::Tell(Holding {
        target: target.clone(),
        started: None,
        weights: weights.clone(),
        version,
    })
}

//! Selects the target at which a request is expected to produce its first token soonest.

use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName, TargetName};

use super::hold::AdapterStage;
use super::placement::PlacementRequest;
use super::planner::ResidencyPlanner;
use super::target::{OrderState, TargetState};
use crate::dispatch::BRITTLE_FILL;
use crate::dispatch::{Lane, Weights, has_software, long_prompt_targets};
use crate::speed::{ServicePace, SpeedRatio};

/// A target suitable for a request.
#[derive(Clone, Debug)]
pub(super) struct TargetCandidate {
    pub(super) target: TargetName,
    /// The expected time until the target holds the adapter and its rate limit allows the request.
    pub(super) ready_in: Duration,
    /// How long the target's rate limit makes the request wait.
    pub(super) send_wait: Duration,
    /// The expected time to first token plus penalties, in milliseconds.
    score: f64,
}

impl ResidencyPlanner {
    /// Returns the target with the lowest score, whether it holds the adapter, is loading it or
    /// would have to load it; `None` if no target has a slot for it.
    ///
    /// A target with a backlog of prompts is passed over for one that has to load the adapter
    /// first, where that is faster. This spreads a busy adapter over as many targets as its
    /// requests need.
    pub(super) fn best_target(
        &self,
        request: &PlacementRequest,
        now: Moment,
    ) -> Option<TargetCandidate> {
        let delays = self.queue_delays(now);
        self.best_of(request, now, |target| {
            self.ready_in(target, request, delays)
        })
    }

    /// Returns the target that would load an adapter soonest, among those that do not have it.
    pub(super) fn best_load(
        &self,
        request: &PlacementRequest,
        now: Moment,
    ) -> Option<TargetCandidate> {
        let delays = self.queue_delays(now);
        self.best_of(request, now, |target| {
            let has_it = target.adapters.contains_key(&request.weights);
            (!has_it)
                .then(|| self.loaded_in(target, request, delays))
                .flatten()
        })
    }

    fn best_of(
        &self,
        request: &PlacementRequest,
        now: Moment,
        ready_in: impl Fn(&TargetState) -> Option<Readiness>,
    ) -> Option<TargetCandidate> {
        let kept = self.reserved_for_long_prompts(&request.service, now);
        let passes_over = self.passes_over_unreachable(&request.service, now);
        let pace = self.service_pace(&request.service);
        let targets = self.targets.iter();
        let targets = targets.filter(|(name, target)| {
            let is_passed_over = passes_over && target.unreachable.is_unreachable(now);
            !is_passed_over && self.may_place(name, target, request, now)
        });
        let found = targets.filter_map(|(name, target)| {
            let mut readiness = ready_in(target)?;
            let send_wait = self.schedules.wait(name, now);
            readiness.ready_in = readiness.ready_in.max(send_wait);
            let ratio = pace.ratio(&target.speed, now);
            let mut score = self.first_token_millis(target, request, readiness, ratio);
            score += self.penalties(target, request, readiness, ratio);
            if !kept.is_empty() && kept.contains(&name) != (request.lane == Lane::LongPrompt) {
                score += millis(self.cfg.lane_penalty);
            }
            if send_wait > self.cfg.max_send_wait {
                score += millis(self.cfg.limited_penalty);
            }
            Some(TargetCandidate {
                target: name.clone(),
                ready_in: readiness.ready_in,
                send_wait,
                score,
            })
        });
        found.min_by(|a, b| a.score.total_cmp(&b.score))
    }

    /// Returns the speed of a target relative to its service; 1 if it does not state its pace.
    pub(super) fn speed_ratio(&self, target: &TargetName, now: Moment) -> SpeedRatio {
        let target = self.targets.get(target);
        let Some(target) = target.filter(|it| it.speed.is_known()) else {
            return SpeedRatio::MEAN;
        };
        let pace = self.service_pace(&target.facts.service);
        pace.ratio(&target.speed, now)
    }

    fn service_pace(&self, service: &ServiceName) -> ServicePace {
        self.paces.get(service).copied().unwrap_or_default()
    }

    /// Computes the paces of the services anew if that was long ago. It takes a pass over all
    /// targets, which would be a large part of the cost of a request.
    pub(super) fn refresh_paces(&mut self, now: Moment) {
        if now.since(self.paces_at) < PACE_REFRESH_INTERVAL {
            return;
        }
        self.paces_at = now;
        let services = self.limits.keys().map(|service| {
            let targets = self.targets.values();
            let targets = targets.filter(|it| it.facts.service == *service);
            let pace = ServicePace::of(targets.map(|it| &it.speed));
            (service.clone(), pace)
        });
        self.paces = services.collect();
    }

    /// Returns the expected time to first token at a target, in milliseconds, plus the delay that
    /// the prompt causes for the streams that run there.
    ///
    /// Prefill soon follows, so it is estimated at the target's momentary pace; a slot becomes free
    /// after most of an answer, at its lasting pace.
    fn first_token_millis(
        &self,
        target: &TargetState,
        request: &PlacementRequest,
        readiness: Readiness,
        ratio: SpeedRatio,
    ) -> f64 {
        let read_before = self.prefill_rate.millis(target.backlog()) * ratio.momentary;
        let ready_in = millis(readiness.ready_in);
        // Prefill continues during a load, but a target that has to do both is more likely to be
        // late.
        let begins = read_before.max(ready_in) + read_before.min(ready_in) * OVERLAP_WEIGHT;
        let in_flight = target.in_flight();
        let slot_wait = self.slot_time.wait_millis(in_flight, target.facts.slots) * ratio.lasting;
        let prefill = self.prefill_rate.millis(request.prompt_tokens) * ratio.momentary;
        let streams_delayed = if ratio.is_stated {
            let slots = target.facts.slots.max(1);
            prefill * f64::from(in_flight.min(slots)) / f64::from(slots)
        } else {
            0.0
        };
        begins + slot_wait + prefill + streams_delayed
    }

    /// Returns the penalties of placing a request at a target, in milliseconds.
    ///
    /// Slots taken weigh by the target's lasting ratio, since the streams there run for that much
    /// longer: an answer of seconds would otherwise be begun at a slow target as soon as a fast one
    /// has as many streams.
    fn penalties(
        &self,
        target: &TargetState,
        request: &PlacementRequest,
        readiness: Readiness,
        ratio: SpeedRatio,
    ) -> f64 {
        let taken = f64::from(target.in_flight()) / f64::from(target.facts.slots.max(1));
        let taken = taken * ratio.lasting;
        let mut penalty = millis(readiness.penalty) + taken * millis(self.cfg.load_penalty);
        if target.facts.zone != request.zone {
            penalty += millis(self.cfg.zone_penalty);
        }
        penalty
    }

    /// Returns how soon a target holds the adapter, or `None` if it has no slot for it.
    fn ready_in(
        &self,
        target: &TargetState,
        request: &PlacementRequest,
        delays: QueueDelays,
    ) -> Option<Readiness> {
        if request.weights.adapter.is_none() {
            return Some(Readiness::at_once());
        }
        let Some(entry) = target.adapters.get(&request.weights) else {
            return self.loaded_in(target, request, delays);
        };
        if entry.outdated || entry.is_leaving() {
            return None;
        }
        let ready_in = match entry.state {
            AdapterStage::Ready => Duration::ZERO,
            AdapterStage::Loading(at) => delays.now.until(at),
            AdapterStage::Confirming => self.cfg.load_margin,
            AdapterStage::Ordered => delays.times.of(entry.from_store),
            AdapterStage::Planned => {
                delays.until_loaded(entry.from_store) + self.order_delay(target, delays.now)
            }
            AdapterStage::Ending | AdapterStage::Unloading => return None,
        };
        Some(Readiness::soon(ready_in))
    }

    /// Returns how soon a target would have loaded an adapter that it does not hold, or `None` if
    /// it has no slot for it.
    fn loaded_in(
        &self,
        target: &TargetState,
        request: &PlacementRequest,
        delays: QueueDelays,
    ) -> Option<Readiness> {
        let limits = self.limits.get(&target.facts.service)?;
        let slots = limits.adapters_beside(&request.weights.model);
        if target.free_slots(slots, delays.now) == 0 {
            return None;
        }
        let from_store = !target.recent_adapters.keeps(&request.weights, self.memory);
        let load_time = delays.times.of(from_store);
        let mut ready_in = delays.until_loaded(from_store) + self.order_delay(target, delays.now);
        // A target executes orders one at a time, and loads a limited number of adapters
        // concurrently.
        let pending_loads = target.pending_loads();
        ready_in += self.cfg.order_time * u32::try_from(pending_loads).unwrap_or(u32::MAX);
        ready_in += load_time.mul_f64((pending_loads / self.cfg.loads_per_target) as f64);
        if !target.has_free_slot(slots) {
            ready_in += self.cfg.unload_time;
        }
        let mut penalty = if from_store {
            self.cfg.fetch_penalty
        } else {
            self.cfg.warm_penalty
        };
        // The adapter's next requests would exceed the limit too.
        if self.schedules.is_limited(&target.facts.name) {
            penalty += self.cfg.load_penalty;
        }
        Some(Readiness { ready_in, penalty })
    }

    /// Returns the expected load durations.
    pub(super) fn load_times(&self) -> LoadTimes {
        LoadTimes {
            fetch: self.window.usual(self.cfg.cold_load),
            reload: self.cfg.warm_load,
        }
    }

    /// Returns the queueing delays of loads that do not depend on the target.
    fn queue_delays(&self, now: Moment) -> QueueDelays {
        let times = self.load_times();
        let before = self.waiting_fetches() + self.loads_in_progress();
        let rounds = before as f64 / self.window.size() as f64;
        QueueDelays {
            now,
            times,
            store: times.fetch.mul_f64(rounds.floor()),
        }
    }

    /// Returns how long a target cannot be sent an order because the number of orders that it has
    /// accepted must be queried first.
    fn order_delay(&self, target: &TargetState, now: Moment) -> Duration {
        match target.order_state {
            OrderState::Unknown(at) => now.until(at) + self.cfg.order_time,
            OrderState::Querying => self.cfg.order_time,
            OrderState::Idle(_) | OrderState::InFlight(_) => Duration::ZERO,
        }
    }

    /// Returns the targets of a service that are reserved for long prompts; empty while none are
    /// reserved.
    fn reserved_for_long_prompts(&self, service: &ServiceName, now: Moment) -> Vec<&TargetName> {
        if !self.lanes.is_on(now) {
            return Vec::new();
        }
        let targets = self.targets.values();
        let taking = targets.filter(|it| it.facts.service == *service && it.takes_work());
        long_prompt_targets(taking.map(|it| &it.facts.name))
    }

    fn may_place(
        &self,
        name: &TargetName,
        target: &TargetState,
        request: &PlacementRequest,
        now: Moment,
    ) -> bool {
        target.facts.service == request.service
            && target.takes_work()
            && has_software(&target.facts, request.software.as_ref())
            && target.model_order.is_none()
            && !target.is_unloading()
            && self.holds_model(target, &request.weights, now)
            && !request.avoid.contains(name)
            && self.has_brittle_room(target)
    }

    /// Returns whether a target has room for a request that may not queue there. Requests that wait
    /// for a load count, since they are sent together once it ends.
    fn has_brittle_room(&self, target: &TargetState) -> bool {
        if !self.brittle.contains(&target.facts.service) {
            return true;
        }
        let waiting = target.adapters.values();
        let waiting: usize = waiting.map(|it| it.waiting_requests.len()).sum();
        let assigned = f64::from(target.in_flight()) + waiting as f64;
        assigned + 1.0 <= (f64::from(target.facts.slots) * BRITTLE_FILL).max(1.0)
    }

    /// Returns whether a target holds the base model that a request names or whose adapter it
    /// names.
    ///
    /// The version matters only for requests that name the base model itself: instances require the
    /// newest version soon after its announcement, and targets with another one refuse the request.
    /// Before this check, one such request was refused by five targets and used up the retry budget
    /// of all requests.
    fn holds_model(&self, target: &TargetState, weights: &Weights, now: Moment) -> bool {
        let Some(held) = target.facts.version_of(&weights.model) else {
            return false;
        };
        if weights.adapter.is_some() {
            return true;
        }
        let announced = self.base_versions.get(&weights.model);
        let oldest = announced.and_then(|it| it.oldest_allowed(self.cfg.old_version_grace, now));
        oldest.is_none_or(|oldest| held >= oldest)
    }
}

/// How often the paces of services are computed anew. The lasting figures of which they are means
/// change within seconds.
const PACE_REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// The weight of the shorter of prefill backlog and load time, which overlap at a target that has
/// both. If the weight were zero, targets with equal scores would send all loads to the first one.
const OVERLAP_WEIGHT: f64 = 0.2;

/// The expected durations of loads.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadTimes {
    /// A load from the weight store.
    pub(super) fetch: Duration,
    /// A load from the target's memory.
    reload: Duration,
}

impl LoadTimes {
    pub(super) const fn of(self, from_store: bool) -> Duration {
        if from_store { self.fetch } else { self.reload }
    }
}

/// The queueing delays of loads at the time of a selection. They are computed once for all targets,
/// since the delay at the weight store depends on every target.
#[derive(Clone, Copy, Debug)]
struct QueueDelays {
    now: Moment,
    times: LoadTimes,
    /// The time until the weight store has capacity for another load.
    store: Duration,
}

impl QueueDelays {
    /// Returns the time until a load that is queued now has ended.
    fn until_loaded(self, from_store: bool) -> Duration {
        let store = if from_store {
            self.store
        } else {
            Duration::ZERO
        };
        self.times.of(from_store) + store
    }
}

/// How soon a target holds an adapter, and the penalty for loading it there.
#[derive(Clone, Copy, Debug)]
struct Readiness {
    ready_in: Duration,
    penalty: Duration,
}

impl Readiness {
    const fn at_once() -> Self {
        Self::soon(Duration::ZERO)
    }

    const fn soon(ready_in: Duration) -> Self {
        Self {
            ready_in,
            penalty: Duration::ZERO,
        }
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

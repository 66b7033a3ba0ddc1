//! The state of an owner as shown to operators and metrics.

use std::time::Duration;

use chervilshunt_model::{AdapterVersion, Class, Moment};
use serde::{Deserialize, Serialize};

use super::Owner;
use super::loads::LoadPhase;
use super::slots::SlotTransition;
use crate::Permit;

/// The state of an owner at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerView {
    /// Number of outstanding live permits.
    pub live_permits: usize,
    /// Number of outstanding deferrable permits.
    pub deferrable_permits: usize,
    /// Number of live requests in the queue.
    pub live_waiting: usize,
    /// Number of deferrable requests in the queue.
    pub deferrable_waiting: usize,
    /// Number of sequences that may run at the same time within the share of power.
    pub batch_bound: usize,
    /// The share of power, in watts.
    pub share_watts: f64,
    /// The adapters that are in slots, in transition or requested.
    pub adapters: Vec<AdapterView>,
    /// Number of adapters whose demand is recorded.
    pub known_adapters: usize,
    /// Whether evictions are safe: the permits of earlier owners are known or have ended.
    pub takeover_complete: bool,
}

/// One adapter version at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct AdapterView {
    /// The adapter version.
    pub model: AdapterVersion,
    /// Its state.
    pub state: AdapterState,
    /// Number of permits that pin it.
    pub pins: u32,
    /// Number of requests that wait for it to be loaded.
    pub waiters: usize,
    /// Number of failed attempts of its current load.
    pub failed_loads: u32,
    /// The class of the most urgent request that waits for the load, or `None` if no request does.
    pub class: Option<Class>,
    /// Time since its load was requested, or `None` if none is requested.
    pub load_requested_for: Option<Duration>,
}

/// The state of an adapter version at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdapterState {
    /// It is loaded and serves permits.
    Serving,
    /// It is loaded and serves no permit.
    Idle,
    /// It is loaded, takes no further permits, and frees its slot once its permits are released.
    Draining,
    /// Its load waits for a slot, a turn or the end of a backoff.
    Pending,
    /// The engine is loading it.
    Loading,
    /// The engine is unloading it.
    Unloading,
    /// An order for it got no response, and the engine's inventory has been requested.
    Unknown,
}

impl Owner {
    /// Returns the state for operators and metrics. It is too costly to compute for every request.
    pub fn view(&self, now: Moment) -> OwnerView {
        OwnerView {
            live_permits: self.permits.live(),
            deferrable_permits: self.permits.deferrable(),
            live_waiting: self.queue.len(Class::Live),
            deferrable_waiting: self.queue.len(Class::Deferrable),
            batch_bound: self.power.batch_bound(),
            share_watts: self.power.share_watts(),
            adapters: self.adapter_views(now),
            known_adapters: self.demand.len(),
            takeover_complete: self.takeover.complete(),
        }
    }

    /// Returns the outstanding permits, for operators.
    pub fn permits(&self) -> impl Iterator<Item = &Permit> {
        self.permits.iter().map(|held| &held.permit)
    }

    /// Returns the outstanding permits with the time since each was granted, or reported after a
    /// takeover.
    pub fn held_permits(&self, now: Moment) -> impl Iterator<Item = (&Permit, Duration)> {
        let held = self.permits.iter();
        held.map(move |held| (&held.permit, now.since(held.since)))
    }

    /// Returns the expected time until an adapter that is requested now is loaded, including the
    /// wait for a turn.
    pub fn expected_load_time(&self, now: Moment) -> Duration {
        self.loads.expected_time(now)
    }

    fn adapter_views(&self, now: Moment) -> Vec<AdapterView> {
        let pinned = self.slots.pinned().map(|(model, slot)| {
            let state = if slot.retiring {
                AdapterState::Draining
            } else {
                AdapterState::Serving
            };
            self.adapter_view(model, state, slot.pins(), now)
        });
        let idle = self.slots.idle();
        let idle = idle.map(|(model, _)| self.adapter_view(model, AdapterState::Idle, 0, now));
        let transitions = self.slots.transitions().map(|(model, what)| {
            let state = match what {
                SlotTransition::Loading(_) => AdapterState::Loading,
                SlotTransition::Unloading(_) => AdapterState::Unloading,
                SlotTransition::MaybeLoaded | SlotTransition::MaybeUnloaded => {
                    AdapterState::Unknown
                }
            };
            self.adapter_view(model, state, 0, now)
        });
        let pending = self.loads.iter().filter(|(model, load)| {
            let in_slot = self.slots.holds(model) || self.slots.transition(model).is_some();
            !in_slot && !matches!(load.phase, LoadPhase::Ordered { .. })
        });
        let pending =
            pending.map(|(model, _)| self.adapter_view(model, AdapterState::Pending, 0, now));
        pinned
            .chain(idle)
            .chain(transitions)
            .chain(pending)
            .collect()
    }

    fn adapter_view(
        &self,
        model: &AdapterVersion,
        state: AdapterState,
        pins: u32,
        now: Moment,
    ) -> AdapterView {
        let load = self.loads.get(model);
        let urgency = self.queue.urgency(model, now);
        AdapterView {
            model: model.clone(),
            state,
            pins,
            waiters: self.queue.blocked_on(model).len(),
            failed_loads: load.map_or(0, |load| load.failed_attempts),
            class: urgency.and_then(|urgency| urgency.class),
            load_requested_for: load.map(|load| now.since(load.requested_at)),
        }
    }
}

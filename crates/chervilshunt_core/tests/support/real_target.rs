//! Simulates a target according to its documented behavior.
//!
//! It rejects an order that states a different number of previously accepted orders, holds a
//! limited number of adapters, and dies if it is ordered to hold more. An order to load a base
//! model that is already loaded has no effect, whatever its version. Unloading one waits for its
//! requests, drops its adapters, and blocks other orders in the meantime.

#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_core::{Order, OrderAnswer, OrderKind, TargetReport, TargetStart, Weights};
use chervilshunt_model::Moment;

/// The number of adapter slots.
pub(crate) const SLOTS: usize = 4;
/// The durations of loading an adapter and a base model.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(240);
const BASE_LOAD_TIME: Duration = Duration::from_millis(600);

/// The order for its base model that the target is executing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ModelWork {
    Unloading,
    Loading(Moment),
}

#[derive(Clone, Debug)]
pub(crate) struct SimulatedTarget {
    pub(crate) start: Option<u64>,
    pub(crate) accepted: u64,
    /// The version of its base model, or `None` while it holds none.
    pub(crate) version: Option<u64>,
    work: Option<ModelWork>,
    pub(crate) held: BTreeMap<String, u64>,
    pub(crate) loading: BTreeMap<String, Moment>,
}

impl SimulatedTarget {
    pub(crate) fn new(start: Option<u64>, version: u64) -> Self {
        Self {
            start,
            accepted: 0,
            version: Some(version),
            work: None,
            held: BTreeMap::new(),
            loading: BTreeMap::new(),
        }
    }

    /// Returns whether the target accepts no requests because its base model is missing or about to
    /// be unloaded or loaded.
    pub(crate) fn is_out_of_service(&self) -> bool {
        self.version.is_none() || self.work.is_some()
    }

    pub(crate) fn execute(&mut self, order: &Order, now: Moment) -> OrderAnswer {
        if order.weights.adapter.is_none() {
            return self.execute_for_model(order, now);
        }
        let adapter = order.weights.to_string();
        let loading = self.loading.contains_key(&adapter);
        let held = self.held.get(&adapter);
        let held = held.is_some_and(|held| order.version.is_none_or(|it| it == *held));
        match order.kind {
            OrderKind::Load if loading => OrderAnswer::Accepted,
            OrderKind::Load if held => OrderAnswer::Done,
            _ if self.is_out_of_turn(order) => OrderAnswer::OutOfTurn,
            _ if self.version.is_none() => OrderAnswer::Refused,
            OrderKind::Load => {
                self.accepted += 1;
                self.held.remove(&adapter);
                self.loading.insert(adapter, now + ADAPTER_LOAD_TIME);
                assert!(
                    self.held.len() + self.loading.len() <= SLOTS,
                    "ordered to hold more than {SLOTS} adapters: {self:?}"
                );
                OrderAnswer::Accepted
            }
            OrderKind::Unload => {
                self.accepted += 1;
                self.held.remove(&adapter);
                OrderAnswer::Done
            }
        }
    }

    fn execute_for_model(&mut self, order: &Order, now: Moment) -> OrderAnswer {
        let work = match order.kind {
            OrderKind::Load if self.version.is_some() => return OrderAnswer::Done,
            _ if self.is_out_of_turn(order) => return OrderAnswer::OutOfTurn,
            OrderKind::Unload if self.version.is_none() => return OrderAnswer::Refused,
            OrderKind::Load => ModelWork::Loading(now + BASE_LOAD_TIME),
            OrderKind::Unload => ModelWork::Unloading,
        };
        self.accepted += 1;
        self.work = Some(work);
        OrderAnswer::Accepted
    }

    fn is_out_of_turn(&self, order: &Order) -> bool {
        self.work.is_some() || order.accepted_before != self.accepted
    }

    /// Continues the orders in progress, and returns whether the base model was loaded or unloaded.
    ///
    /// Loads bring the versions in `versions`, or version 1 if there is no entry.
    pub(crate) fn pass(
        &mut self,
        versions: &BTreeMap<String, u64>,
        in_use: bool,
        now: Moment,
    ) -> bool {
        let newest = |name: &str| versions.get(name).copied().unwrap_or(1);
        let ended = self.loading.extract_if(.., |_, at| *at <= now);
        for (adapter, _) in ended {
            let version = newest(&adapter);
            self.held.insert(adapter, version);
        }
        match self.work {
            Some(ModelWork::Unloading) if !in_use => {
                self.version = None;
                self.held.clear();
                self.loading.clear();
            }
            Some(ModelWork::Loading(at)) if at <= now => self.version = Some(newest("base")),
            Some(_) | None => return false,
        }
        self.work = None;
        true
    }

    /// Returns whether a request for an adapter may begin.
    pub(crate) fn serves(&self, adapter: &str) -> bool {
        self.held.contains_key(adapter) && !self.is_out_of_service()
    }

    pub(crate) fn report(&self) -> TargetReport {
        let base = Weights::base(&"base".into());
        let held = self.held.iter();
        TargetReport {
            started: self.start.map(TargetStart),
            accepted: self.accepted,
            busy: self.work.is_some(),
            models: self.version.map(|it| (base, it)).into_iter().collect(),
            adapters: held.map(|(name, it)| (weights_of(name), *it)).collect(),
            loading: self
                .loading
                .keys()
                .map(|it| (weights_of(it), None))
                .collect(),
        }
    }
}

/// Parses `MODEL/ADAPTER`.
pub(crate) fn weights_of(text: &str) -> Weights {
    let (model, adapter) = text.split_once('/').expect("an adapter");
    Weights {
        model: model.into(),
        adapter: Some(adapter.into()),
    }
}

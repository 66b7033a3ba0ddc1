//! Test support: a planner with the targets of one service.

#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::time::Duration;

use chervilshunt_core::{
    Lane, LoadedModel, ModelSpec, PlacementLimits, PlacementRequest, ResidencyConfig,
    ResidencyEvent, ResidencyPlanner, TargetFacts, TargetReport, Weights,
};
use chervilshunt_model::{InstanceId, Moment, ServiceName, TargetName, ZoneName};

pub(crate) fn at(millis: u64) -> Moment {
    Moment::from_millis(50_000 + millis)
}

pub(crate) fn service() -> ServiceName {
    ServiceName::from("drafts")
}

pub(crate) fn adapter(name: &str) -> Weights {
    Weights {
        model: "base".into(),
        adapter: Some(name.into()),
    }
}

pub(crate) fn target(index: usize) -> TargetName {
    TargetName::new(format!("t{index}"))
}

/// The limits for targets that may hold one base model and the given number of its adapters.
pub(crate) fn limits(adapter_slots: usize) -> PlacementLimits {
    PlacementLimits {
        models: vec![ModelSpec {
            name: "base".into(),
            megabytes: 100.0,
            load_time: Duration::from_millis(600),
            adapter_megabytes: 1.0,
        }],
        megabytes: 200.0,
        adapter_slots,
        loads_per_second: 4.0,
    }
}

/// A target as listed by the platform, with the base model and no adapters.
pub(crate) fn facts(index: usize, slots: u32) -> TargetFacts {
    TargetFacts {
        started: None,
        name: target(index),
        service: service(),
        address: ([10, 0, 0, 1], 8000).into(),
        zone: ZoneName::from("zone"),
        slots,
        leaving: None,
        software: None,
        models: vec![LoadedModel {
            name: "base".into(),
            version: 1,
            adapters: Vec::new(),
        }],
    }
}

/// Creates a planner with targets that it has not queried yet.
pub(crate) fn unqueried_planner(
    targets: usize,
    slots: u32,
    adapter_slots: usize,
) -> ResidencyPlanner {
    let mut residency = ResidencyPlanner::new(ResidencyConfig::default(), at(0));
    let limits = ResidencyEvent::Limits(service(), limits(adapter_slots));
    residency.handle(limits, at(0));
    for index in 0..targets {
        residency.handle(ResidencyEvent::TargetListed(facts(index, slots)), at(0));
    }
    residency
}

/// A placement request of instance `i` for an adapter, which waits for `within_ms` milliseconds.
pub(crate) fn placement_request(
    request_id: u64,
    weights: Weights,
    within_ms: u64,
) -> ResidencyEvent {
    ResidencyEvent::PlacementRequested {
        request_id,
        from: InstanceId::from("i"),
        request: PlacementRequest {
            software: None,
            service: service(),
            weights,
            prompt_tokens: 1_000,
            lane: Lane::General,
            zone: ZoneName::from("zone"),
            avoid: Vec::new(),
        },
        within: Duration::from_millis(within_ms),
    }
}

/// The report of a target that has accepted no orders.
pub(crate) fn reported(index: usize, adapters: Vec<(Weights, u64)>) -> ResidencyEvent {
    ResidencyEvent::TargetReported(target(index), idle(0, adapters, Vec::new()))
}

/// The report of the first target after it has accepted some orders.
pub(crate) fn report(
    accepted: u64,
    adapters: Vec<(Weights, u64)>,
    loading: Vec<Weights>,
) -> ResidencyEvent {
    ResidencyEvent::TargetReported(target(0), idle(accepted, adapters, loading))
}

fn idle(accepted: u64, adapters: Vec<(Weights, u64)>, loading: Vec<Weights>) -> TargetReport {
    TargetReport {
        started: None,
        accepted,
        busy: false,
        models: vec![(Weights::base(&"base".into()), 1)],
        adapters,
        loading: loading.into_iter().map(|it| (it, None)).collect(),
    }
}

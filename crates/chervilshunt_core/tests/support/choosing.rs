//! Test support: targets as known to one instance, and its selection among them.

#![allow(dead_code, reason = "each test binary uses a part of these")]

use chervilshunt_core::{
    Choice, Dispatch, DispatchConfig, Lane, LoadedAdapter, LoadedModel, TargetFacts,
    TargetRequirements, WaitReason, Weights,
};
use chervilshunt_model::{Moment, ServiceName, TargetName, ZoneName};

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

pub(crate) fn facts(name: &str, zone: &str, adapters: &[(&str, u64)]) -> TargetFacts {
    let adapters = adapters.iter().map(|(name, version)| LoadedAdapter {
        name: (*name).into(),
        version: *version,
    });
    TargetFacts {
        started: None,
        name: TargetName::from(name),
        service: service(),
        address: ([10, 0, 0, 1], 8000).into(),
        zone: ZoneName::from(zone),
        slots: 4,
        leaving: None,
        software: None,
        models: vec![LoadedModel {
            name: "base".into(),
            version: 1,
            adapters: adapters.collect(),
        }],
    }
}

pub(crate) fn dispatch(targets: impl IntoIterator<Item = TargetFacts>) -> Dispatch {
    let mut dispatch = Dispatch::new(DispatchConfig::default(), ZoneName::from("here"));
    for facts in targets {
        dispatch.target_listed(facts, at(0));
    }
    dispatch
}

pub(crate) fn choose(
    dispatch: &Dispatch,
    weights: Option<&Weights>,
    avoid: &[TargetName],
    now: u64,
) -> Choice {
    let service = service();
    let requirements = TargetRequirements {
        software: None,
        service: &service,
        weights,
        lane: Lane::General,
        avoid,
        has_transit: false,
    };
    dispatch.choose(&requirements, || 0.5, at(now))
}

pub(crate) fn chosen(choice: Choice) -> Result<(String, Option<u64>), WaitReason> {
    match choice {
        Choice::Send {
            target,
            expect_version,
            ..
        } => Ok((target.as_str().to_owned(), expect_version)),
        Choice::Wait(wait) => Err(wait),
    }
}

pub(crate) fn to(target: &str) -> Result<(String, Option<u64>), WaitReason> {
    Ok((target.to_owned(), None))
}

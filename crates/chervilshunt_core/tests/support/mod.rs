//! Builders shared by the tests of the core.
#![allow(dead_code, reason = "each test binary uses a part of these")]

use std::cell::RefCell;
use std::fmt::Debug;
use std::panic::{self, AssertUnwindSafe};
use std::time::Duration;

use chervilshunt_core::{
    BreakerConfig, EngineOrder, Mechanisms, OrderFailure, Owner, OwnerAction, OwnerConfig,
    OwnerEvent, Permit, PermitAnswer, PermitRequest, PolicyWeights, ReleaseOutcome, ReleasedPermit,
};
use chervilshunt_model::{AdapterVersion, AttemptId, Class, Epoch, Fencing, Moment, TargetName};
use proptest::strategy::Strategy;

pub(crate) fn target() -> TargetName {
    TargetName::from("t0")
}

pub(crate) fn model(number: u32) -> AdapterVersion {
    AdapterVersion::new(format!("a{number}").as_str(), "v1")
}

pub(crate) fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

pub(crate) fn config(slots: u32, max_batch: u32) -> OwnerConfig {
    OwnerConfig {
        target: target(),
        epoch: Epoch::new(7),
        fencing: Fencing::Checks,
        slots,
        max_batch,
        idle_watts: 100.0,
        watts_per_sequence: 10.0,
        share_watts: 100.0 + 10.0 * f64::from(max_batch),
        live_queue_bound: 8,
        deferrable_queue_bound: 8,
        permit_window: Duration::from_secs(2),
        unscheduled_load_interval: Duration::from_secs(2),
        peers: vec![],
        breaker: BreakerConfig::default(),
        weights: PolicyWeights::default(),
        mechanisms: Mechanisms::default(),
    }
}

pub(crate) fn request(attempt: u128, model: Option<AdapterVersion>, class: Class) -> PermitRequest {
    PermitRequest {
        attempt: AttemptId::from_u128(attempt),
        entry: "e0".into(),
        target: target(),
        model,
        class,
        weight: 1,
        caller: "c0".into(),
        deadline_ms: 60_000,
        prompt_tokens: 100,
        max_tokens: 100,
        prefix: 0,
        hops: 0,
        avoid: Default::default(),
    }
}

pub(crate) fn release(attempt: u128, outcome: ReleaseOutcome) -> OwnerEvent {
    OwnerEvent::PermitReleased(ReleasedPermit {
        attempt: AttemptId::from_u128(attempt),
        target: target(),
        outcome,
    })
}

pub(crate) fn finished() -> ReleaseOutcome {
    ReleaseOutcome::Finished {
        tokens: 10,
        first_byte_ms: 10,
        total_ms: 100,
    }
}

/// Returns an owner whose engine has listed `loaded` and whose takeover is complete.
pub(crate) fn owner_with(cfg: OwnerConfig, loaded: &[AdapterVersion]) -> Owner {
    let mut owner = Owner::new(cfg, at(0));
    owner.handle(OwnerEvent::Tick, at(0));
    let listed = owner.handle(OwnerEvent::Inventory(loaded.to_vec()), at(1));
    for order in orders(&listed) {
        // The first order is the load of an adapter that the engine already holds.
        let (order, result) = (order.id, Err(OrderFailure::Refused));
        owner.handle(OwnerEvent::OrderEnded { order, result }, at(1));
        owner.handle(OwnerEvent::Inventory(loaded.to_vec()), at(1));
    }
    owner.handle(OwnerEvent::TakeoverComplete, at(1));
    owner
}

pub(crate) fn orders(actions: &[OwnerAction]) -> Vec<EngineOrder> {
    let orders = actions.iter().filter_map(|action| match action {
        OwnerAction::Order(order) => Some(order.clone()),
        _ => None,
    });
    orders.collect()
}

pub(crate) fn answers(actions: &[OwnerAction]) -> Vec<(AttemptId, PermitAnswer)> {
    let answers = actions.iter().filter_map(|action| match action {
        OwnerAction::Answer {
            attempt, answer, ..
        } => Some((*attempt, answer.clone())),
        _ => None,
    });
    answers.collect()
}

pub(crate) fn granted(actions: &[OwnerAction]) -> Vec<Permit> {
    let answers = answers(actions).into_iter();
    let granted = answers.filter_map(|(_, answer)| match answer {
        PermitAnswer::Granted { permit, .. } => Some(permit),
        PermitAnswer::Redirect { .. } | PermitAnswer::Refused { .. } => None,
    });
    granted.collect()
}

/// Runs random steps until a check fails with a message that contains `check`, and returns the
/// message.
///
/// Another check may detect a bug first, on other steps. That does not show that the intended check
/// can detect it, so such failures are passed over. If the intended check never fails, the message
/// of the last other failure is returned.
pub(crate) fn failure_message<S: Debug, T: Debug>(
    check: &str,
    start: impl Strategy<Value = S>,
    step: impl Strategy<Value = T>,
    run: impl Fn(S, Vec<T>),
) -> String {
    use proptest::test_runner::{Config, TestCaseError, TestError, TestRunner};
    let cfg = Config {
        max_shrink_iters: 0,
        ..proptest_config(3_000)
    };
    let steps = proptest::collection::vec(step, 1..120);
    let other = RefCell::new("nothing".to_owned());
    let outcome = TestRunner::new(cfg).run(&(start, steps), |(start, steps)| {
        let run = || run(start, steps);
        let Err(panic) = panic::catch_unwind(AssertUnwindSafe(run)) else {
            return Ok(());
        };
        let fixed = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
        let message = fixed.or_else(|| panic.downcast_ref::<String>().cloned());
        let message = message.unwrap_or_default();
        if message.contains(check) {
            return Err(TestCaseError::fail(message));
        }
        other.replace(message);
        Ok(())
    });
    match outcome {
        Ok(()) => other.into_inner(),
        Err(TestError::Fail(reason, _) | TestError::Abort(reason)) => reason.to_string(),
    }
}

/// Returns a configuration that runs the same cases each time, so that anybody can reproduce a
/// failure in CI. `PROPTEST_RNG_SEED` and `PROPTEST_CASES` allow a wider search by hand.
pub(crate) fn proptest_config(cases: u32) -> proptest::test_runner::Config {
    use proptest::test_runner::{Config, RngSeed};
    let default = Config::default();
    Config {
        cases: if default.cases == 256 {
            cases
        } else {
            default.cases
        },
        rng_seed: match default.rng_seed {
            RngSeed::Random => RngSeed::Fixed(4),
            RngSeed::Fixed(seed) => RngSeed::Fixed(seed),
        },
        max_shrink_iters: 20_000,
        failure_persistence: None,
        ..default
    }
}

//! Tests of the power shares that the allocator calculates for a given demand.

use std::collections::BTreeMap;

use chervilshunt_core::{
    Mechanisms, PolicyWeights, PowerAction, PowerAllocator, PowerConfig, PowerEvent,
};
use chervilshunt_model::{Epoch, Moment, TargetName};
use rstest::rstest;

const CAP_WATTS: f64 = 600.0;

fn allocator() -> PowerAllocator {
    let cfg = PowerConfig {
        cap_watts: CAP_WATTS,
        epoch: Epoch::new(1),
        weights: PolicyWeights::default(),
        mechanisms: Mechanisms::default(),
    };
    PowerAllocator::new(cfg, Moment::ZERO)
}

/// Returns the shares of two targets: one with only live work and one with only deferrable work.
fn shares(live_watts: f64, deferrable_watts: f64) -> (f64, f64) {
    let (live, deferrable) = (TargetName::from("live"), TargetName::from("deferrable"));
    let mut allocator = allocator();
    let mut shares: BTreeMap<TargetName, f64> = BTreeMap::new();
    let demands = [
        (&live, live_watts, 0.0),
        (&deferrable, 100.0, deferrable_watts),
    ];
    for target in [&live, &deferrable] {
        let joined = PowerEvent::TargetJoined {
            target: target.clone(),
            idle_watts: 100.0,
            full_watts: 500.0,
            max_draw_watts: 0.0,
        };
        allocator.handle(joined, Moment::ZERO);
    }
    for second in 1..10 {
        let now = Moment::from_millis(second * 1_000);
        let mut actions = Vec::new();
        for (target, live_watts, deferrable_watts) in demands {
            let demanded = PowerEvent::DemandReported {
                target: target.clone(),
                live_watts,
                deferrable_watts,
            };
            actions.extend(allocator.handle(demanded, now));
        }
        for PowerAction::SetShare {
            target,
            sequence,
            watts,
        } in actions
        {
            shares.insert(target.clone(), watts);
            let confirmed = PowerEvent::ShareConfirmed {
                target,
                sequence,
                watts,
            };
            allocator.handle(confirmed, now);
        }
    }
    (shares[&live], shares[&deferrable])
}

/// Deferrable work at one target could use all power that live work leaves. A burst of live work at
/// another target would then find none until long answers end, and its requests would wait for half
/// a minute. The allocator therefore keeps a reserve that grows with live work; without live work
/// all power goes to deferrable work.
#[rstest]
#[case::no_live_work(100.0, 400.0, 0.0, 30.0)]
#[case::both(200.0, 400.0, 50.0, 300.0)]
#[case::no_deferrable_work(200.0, 0.0, 50.0, 300.0)]
fn reserves_power_for_bursts_of_live_work(
    #[case] live_watts: f64,
    #[case] deferrable_watts: f64,
    #[case] at_least: f64,
    #[case] at_most: f64,
) {
    let (live, deferrable) = shares(live_watts, deferrable_watts);
    let reserve = live - live_watts;
    assert!(
        (at_least..=at_most).contains(&reserve),
        "{reserve} W beyond the live demand"
    );
    assert!(live + deferrable <= CAP_WATTS);
}

//! Tests of the order in which the load scheduler grants turns.

mod support;

use std::time::Duration;

use chervilshunt_core::{
    LoadScheduler, LoadUrgency, Mechanisms, OrderId, SchedulerAction, SchedulerConfig,
    SchedulerEvent, TurnResult,
};
use chervilshunt_model::Class;
use rstest::rstest;
use support::{at, model, target};

const LOAD_TIME: Duration = Duration::from_millis(250);

fn scheduler() -> LoadScheduler {
    let cfg = SchedulerConfig {
        concurrency: 1,
        loads_per_second: 4.0,
        turn_timeout: Duration::from_secs(10),
        mechanisms: Mechanisms::default(),
    };
    LoadScheduler::new(cfg, at(0))
}

fn asked(order: u64, class: Class, oldest_ms: u64) -> SchedulerEvent {
    SchedulerEvent::TurnAsked {
        target: target(),
        order: OrderId(order),
        model: model(1),
        urgency: LoadUrgency {
            class: Some(class),
            waiters: 1,
            oldest_ms,
        },
    }
}

fn granted(actions: &[SchedulerAction]) -> Option<OrderId> {
    let SchedulerAction::Grant { order, .. } = actions.first()?;
    Some(*order)
}

/// Ends each turn after its load time and requests another live one, until the deferrable load is
/// granted its turn. Returns the number of live turns before it.
fn live_turns_before_deferrable(oldest_ms: u64, at_most: u64) -> Option<u64> {
    let deferrable = OrderId(1_000_000);
    let mut scheduler = scheduler();
    let mut now = at(0);
    let mut running = granted(&scheduler.handle(asked(0, Class::Live, 0), now));
    scheduler.handle(asked(deferrable.0, Class::Deferrable, oldest_ms), now);
    for turn in 1..=at_most {
        scheduler.handle(asked(turn, Class::Live, 0), now);
        now = now + LOAD_TIME;
        let ended = SchedulerEvent::TurnEnded {
            target: target(),
            order: running.expect("a turn is granted whenever one is requested"),
            result: TurnResult::Loaded,
        };
        running = granted(&scheduler.handle(ended, now));
        if running == Some(deferrable) {
            return Some(turn);
        }
    }
    None
}

/// Guards against live requests that wait ever longer for their adapters during a flood of
/// deferrable work. Live loads take nearly all turns of the weight store, and deferrable loads that
/// have waited for minutes take a fraction of them. If the fraction is too large the queue of live
/// loads grows without bound; if it is zero the deferrable loads starve.
#[rstest]
#[case::young(200_000, 300, None)]
#[case::old(300_000, 300, Some(100))]
fn deferrable_loads_take_few_turns_from_live_ones(
    #[case] oldest_ms: u64,
    #[case] at_most: u64,
    #[case] expected: Option<u64>,
) {
    assert_eq!(
        live_turns_before_deferrable(oldest_ms, at_most),
        expected,
        "live turns before the deferrable one"
    );
}

//! Tests of when a connection is pinged, aborted or closed.

use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use super::{Activity, Liveness, LivenessAction};

const LIVENESS: Liveness = Liveness {
    ping_after: Duration::from_secs(2),
    ping_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(60),
};

/// The expected action, with the time to wait for in seconds.
#[derive(Debug, PartialEq)]
enum ExpectedAction {
    Wait(u64),
    Ping,
    GiveUp,
    CloseIdle,
}

#[rstest]
#[case::idle_timeout_pending(0, None, None, false, 59, ExpectedAction::Wait(60))]
#[case::idle(0, None, None, false, 60, ExpectedAction::CloseIdle)]
#[case::idle_but_busy(0, None, None, true, 100, ExpectedAction::Wait(160))]
#[case::waits_briefly(0, Some(10), None, false, 11, ExpectedAction::Wait(12))]
#[case::waits_long(0, Some(10), None, false, 12, ExpectedAction::Ping)]
#[case::data_received_meanwhile(11, Some(10), None, false, 12, ExpectedAction::Wait(13))]
#[case::pinged(0, Some(10), Some(12), false, 14, ExpectedAction::Wait(15))]
#[case::ping_unanswered(0, Some(10), Some(12), false, 15, ExpectedAction::GiveUp)]
#[case::ping_answered(13, Some(10), Some(12), false, 15, ExpectedAction::Ping)]
#[case::old_ping_is_ignored(13, None, Some(12), false, 20, ExpectedAction::Wait(73))]
fn next_action_is_due(
    #[case] last_received: u64,
    #[case] waiting_since: Option<u64>,
    #[case] last_ping: Option<u64>,
    #[case] busy: bool,
    #[case] now: u64,
    #[case] expected: ExpectedAction,
) {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let activity = Activity {
        last_received: at(last_received),
        last_used: at(last_received),
        last_ping: last_ping.map(at),
        waiting_since: waiting_since.map(at),
        busy,
    };
    let action = match LIVENESS.next_action(&activity, at(now)) {
        LivenessAction::Wait(until) => ExpectedAction::Wait((until - start).as_secs()),
        LivenessAction::Ping => ExpectedAction::Ping,
        LivenessAction::GiveUp => ExpectedAction::GiveUp,
        LivenessAction::CloseIdle => ExpectedAction::CloseIdle,
    };
    assert_eq!(action, expected);
}

//! Explores all interleavings of a holder that renews its lease and an observer that may find it
//! expired.
//!
//! A call may be carried out at any time, and its answer may arrive at any time or never. Either
//! side may be paused, which is covered by interleavings in which the other steps come first. If
//! the holder could still give orders after the observer has reported the end of the lease, it
//! would do so concurrently with its successor.

use std::time::Duration;

use chervilshunt_model::Moment;
use rstest::rstest;

use super::explore::{Explored, depth, explore};
use crate::bugs::{Bug, Bugs};
use crate::{
    Holder, Incarnation, LeaseAction, LeaseConfig, LeaseEvent, LeaseKeeper, LeaseObserver,
    LeaseRecord, LeaseState, MemoryPlatform, ObserverAction, ObserverConfig, ObserverEvent,
    PlatformCall, PlatformResult,
};

/// The depth of the search in steps.
const DEPTH: usize = 15;

/// The minimum number of states that the search must visit.
const STATES: usize = 100_000;

/// The maximum time that passes, in seconds.
const HORIZON: u64 = 7;

/// The maximum number of calls abandoned by their caller that the platform may still carry out.
const LATE_CALLS: usize = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Caller {
    Holder,
    Observer,
}

#[derive(Clone, Debug, Hash)]
struct Pending {
    caller: Caller,
    call: PlatformCall,
    result: Option<PlatformResult>,
    given_up: bool,
}

#[derive(Clone, Debug, Hash)]
struct World {
    now: Moment,
    platform: MemoryPlatform,
    holder: LeaseKeeper,
    observer: LeaseObserver,
    pending: Vec<Pending>,
    ended: bool,
    bugs: Bugs,
}

impl World {
    fn new(bugs: Bugs) -> Self {
        let second = Duration::from_secs(1);
        let cfg = LeaseConfig {
            duration: second * 3,
            renew_every: second,
            retry_every: second,
            margin: Duration::from_millis(500),
        };
        let now = Moment::from_millis(10_000);
        let record = LeaseRecord {
            holder: Holder::new("x", Incarnation::new(1)),
            state: LeaseState::Active,
            renewals: 0,
            duration_ms: 3_000,
            zone: "a".into(),
            region: "r".into(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            operators_address: ([127, 0, 0, 1], 1).into(),
            electorate: 0,
            electorate_before: 0,
            acknowledged: None,
        };
        let mut holder = LeaseKeeper::new(cfg, record.clone(), now);
        holder.seed(bugs);
        let mut observer = LeaseObserver::new(ObserverConfig {
            read_every: second,
            unchanged_for: second * 3,
            longest_gap: second * 3,
        });
        observer.seed(bugs);
        let mut world = Self {
            now,
            platform: MemoryPlatform::default(),
            holder,
            observer,
            pending: Vec::new(),
            ended: false,
            bugs,
        };
        // The lease exists before anyone can watch it.
        world.deliver_to_holder(LeaseEvent::Tick);
        world.carry_out(0);
        world.answer(0, false);
        world.deliver_to_observer(ObserverEvent::Watch(record.holder));
        world
    }

    fn deliver_to_holder(&mut self, event: LeaseEvent) {
        for action in self.holder.handle(event, self.now) {
            if let LeaseAction::Call(call) = action {
                self.begin(Caller::Holder, call);
            }
        }
    }

    fn deliver_to_observer(&mut self, event: ObserverEvent) {
        for action in self.observer.handle(event, self.now) {
            match action {
                ObserverAction::Call(call) => self.begin(Caller::Observer, call),
                ObserverAction::Expired(holder) => {
                    self.deliver_to_observer(ObserverEvent::Mark(holder))
                }
                ObserverAction::Ended(..) => self.ended = true,
                ObserverAction::Renewed(_) => {}
            }
        }
    }

    fn begin(&mut self, caller: Caller, call: PlatformCall) {
        self.pending.push(Pending {
            caller,
            call,
            result: None,
            given_up: false,
        });
    }

    fn carry_out(&mut self, number: usize) {
        let result = self
            .platform
            .carry_out(&self.pending[number].call.op)
            .result;
        if self.pending[number].given_up {
            self.pending.remove(number);
        } else {
            self.pending[number].result = Some(result);
        }
    }

    /// Delivers the result, or `Unknown` if the answer is lost or the call has not been carried
    /// out.
    fn answer(&mut self, number: usize, lost: bool) {
        let Pending {
            caller,
            call,
            result,
            ..
        } = self.pending[number].clone();
        if result.is_some() {
            self.pending.remove(number);
        } else {
            self.pending[number].given_up = true;
        }
        let result = result.filter(|_| !lost).unwrap_or(PlatformResult::Unknown);
        match caller {
            Caller::Holder => self.deliver_to_holder(LeaseEvent::Reply(call.id, result)),
            Caller::Observer => self.deliver_to_observer(ObserverEvent::Reply(call.id, result)),
        }
    }

    fn steps(&self) -> Vec<Self> {
        let mut next = Vec::new();
        let mut step = |change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            next.push(world);
        };
        if self.now < Moment::from_millis(10_000 + HORIZON * 1_000) {
            step(&|world| world.now = world.now + Duration::from_secs(1));
        }
        if self.holder.next_wakeup().is_some_and(|at| at <= self.now) {
            step(&|world| world.deliver_to_holder(LeaseEvent::Tick));
        }
        if self.observer.next_wakeup().is_some_and(|at| at <= self.now) {
            step(&|world| world.deliver_to_observer(ObserverEvent::Tick));
        }
        let late = self
            .pending
            .iter()
            .filter(|pending| pending.given_up)
            .count();
        for (number, pending) in self.pending.iter().enumerate() {
            if pending.result.is_none() {
                step(&|world| world.carry_out(number));
                if !pending.given_up && late < LATE_CALLS {
                    step(&|world| world.answer(number, true));
                }
            } else {
                step(&|world| world.answer(number, false));
                step(&|world| world.answer(number, true));
            }
        }
        next
    }

    fn check(&self) -> Result<(), String> {
        let orders = self.holder.is_valid(self.now) || self.bugs.has(Bug::LeaseNotChecked);
        if self.ended && orders {
            return Err("the holder may order although its lease has ended".to_owned());
        }
        Ok(())
    }
}

fn explored(bugs: Bugs) -> Explored {
    explore(World::new(bugs), depth(DEPTH), World::steps, World::check)
}

#[test]
fn no_holder_orders_after_its_lease_was_seen_to_end() {
    let visited = explored(Bugs::NONE).unwrap_or_else(|violation| panic!("{violation}"));
    assert!(visited > STATES, "only {visited} states were visited");
    println!("{visited} states within {} steps", depth(DEPTH));
}

#[rstest]
#[case::lease_counted_from_the_reply(Bug::LeaseFromReply)]
#[case::lease_not_looked_at_before_an_order(Bug::LeaseNotChecked)]
#[case::taker_does_not_wait(Bug::TakeoverDoesNotWait)]
#[case::lapse_not_marked(Bug::LapseNotMarked)]
fn a_seeded_bug_is_caught(#[case] bug: Bug) {
    let result = explored(Bugs::seeded(bug));
    assert!(result.is_err(), "not caught: {result:?}");
}

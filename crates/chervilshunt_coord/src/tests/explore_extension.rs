//! Explores all interleavings of a holder that extends its lease and an observer that collects
//! vouches.
//!
//! The holder's lease is about to expire and it requests promises; the observer has seen the lease
//! unchanged for its full duration and requests vouches. One of three electors has crashed. The
//! others lose and regain the platform at any time, so each would promise or vouch whenever it is
//! asked. Requests and answers arrive in any order, late or never. Once the observer has a
//! majority, the lease will be marked lapsed, and a holder that is still extended would give orders
//! concurrently with its successor.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use chervilshunt_model::{InstanceId, Moment};
use rstest::rstest;
use xxhash_rust::xxh3::Xxh3Default;

use super::explore::{Explored, depth, explore};
use crate::bugs::{Bug, Bugs};
use crate::{
    Elector, ElectorConfig, ElectorMessage, ElectorState, Electorate, Holder, Incarnation,
    LeaseExtension, LeaseExtensionAction, LeaseExtensionConfig, VouchAction, VouchCollector,
};

const DEPTH: usize = 13;
const STATES: usize = 100_000;
const HORIZON: u64 = 7;

/// The number of times that promises are requested.
const PROMISE_ASKS: usize = 2;

/// The number of times that vouches are requested.
const VOUCH_ASKS: usize = 1;
const ELECTORS: usize = 3;

/// The electors that have not crashed.
const ALIVE: usize = 2;
const SECOND: Duration = Duration::from_secs(1);

/// The start time. The electors have been up long enough to answer.
const BEGIN: Moment = Moment::from_millis(100_000);

/// When the lease expires for the holder and for the observer.
const LEASE_OVER: Moment = Moment::from_millis(102_000);

#[derive(Clone, Debug, Hash)]
enum Message {
    Elector(usize, ElectorMessage),
    Holder(ElectorMessage),
    Taker(ElectorMessage),
}

#[derive(Clone, Debug, Hash)]
struct World {
    now: Moment,
    hold: LeaseExtension,
    vouching: VouchCollector,
    elector_states: Vec<ElectorState>,
    messages: Vec<Message>,
    electorate: Electorate,
    vouched: bool,
    promise_asks: usize,
    vouch_asks: usize,
}

impl World {
    fn new(bugs: Bugs) -> Self {
        let elector = |number: usize| Elector {
            instance: InstanceId::new(format!("e{number}")),
            address: ([127, 0, 0, 1], 1).into(),
        };
        let elector_state = || {
            let cfg = ElectorConfig {
                promise_for: SECOND * 3,
                vouch_for: SECOND,
                failing_for: Duration::ZERO,
                answered_within: SECOND * 100,
            };
            let mut elector_state = ElectorState::new(cfg, Moment::ZERO);
            elector_state.seed(bugs);
            elector_state
        };
        let mut hold = LeaseExtension::new(
            LeaseExtensionConfig {
                begin_before: SECOND * 2,
                ask_every: SECOND,
                renew_every: SECOND,
                margin: Duration::from_millis(100),
                direct_at_most: 10,
            },
            0,
        );
        hold.seed(bugs);
        Self {
            now: BEGIN,
            hold,
            vouching: VouchCollector::new(1_000),
            elector_states: (0..ELECTORS).map(|_| elector_state()).collect(),
            messages: Vec::new(),
            electorate: Electorate {
                version: 1,
                electors: (0..ELECTORS).map(elector).collect(),
            },
            vouched: false,
            promise_asks: 0,
            vouch_asks: 0,
        }
    }

    fn x() -> Holder {
        Holder::new("x", Incarnation::new(1))
    }

    fn ask(&mut self, to: &InstanceId, message: ElectorMessage) {
        let elector = to.as_str()[1..].parse().expect("electors are numbered");
        if elector < ALIVE {
            self.messages.push(Message::Elector(elector, message));
        }
    }

    fn ask_promises(&mut self) {
        self.promise_asks += 1;
        for action in self.hold.ask(LEASE_OVER, &self.electorate, &[], self.now) {
            let LeaseExtensionAction::Send(to, message) = action;
            self.ask(&to, message);
        }
    }

    fn ask_vouches(&mut self) {
        self.vouch_asks += 1;
        self.vouching
            .begin(Self::x(), vec![self.electorate.clone()], self.now);
        for action in self.vouching.ask(self.now) {
            let VouchAction::Send(to, message) = action;
            self.ask(&to, message);
        }
    }

    fn deliver(&mut self, number: usize) {
        let now = self.now;
        match self.messages.remove(number) {
            Message::Elector(elector, ElectorMessage::AskPromise { number, .. }) => {
                self.elector_states[elector].record_call_end(false, BEGIN);
                let promise = self.elector_states[elector].promise(now);
                let for_ms = promise.map_or(0, |promise| promise.as_millis() as u64);
                let answer = ElectorMessage::Promise { number, for_ms };
                self.messages.push(Message::Holder(answer));
            }
            Message::Elector(elector, ElectorMessage::AskVouch { number, about, .. }) => {
                self.elector_states[elector].record_call_end(true, BEGIN);
                let vouch = self.elector_states[elector].vouch(now);
                let for_ms = vouch.map_or(0, |vouch| vouch.as_millis() as u64);
                let answer = ElectorMessage::Vouch {
                    number,
                    about,
                    for_ms,
                };
                self.messages.push(Message::Taker(answer));
            }
            Message::Holder(ElectorMessage::Promise { number, for_ms }) => {
                self.hold
                    .answered(number, for_ms, LEASE_OVER, &self.electorate, now);
            }
            Message::Taker(ElectorMessage::Vouch {
                number,
                about,
                for_ms,
            }) => {
                self.vouched |= self
                    .vouching
                    .answered(&about, number, for_ms, |_| false, now);
            }
            other => panic!("nobody sends {other:?}"),
        }
    }

    fn steps(&self) -> Vec<Self> {
        let mut next = Vec::new();
        let mut step = |change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            // Messages are delivered in any order, so worlds that differ only in the order of
            // sending are equal.
            world.messages.sort_by_key(|message| {
                let mut hasher = Xxh3Default::new();
                message.hash(&mut hasher);
                hasher.finish()
            });
            next.push(world);
        };
        if self.now < BEGIN + SECOND * u32::try_from(HORIZON).unwrap_or(0) {
            step(&|world| world.now = world.now + SECOND);
        }
        let may_ask = !self.vouched && self.promise_asks < PROMISE_ASKS;
        if may_ask && self.now >= self.hold.next_wakeup(LEASE_OVER) {
            step(&Self::ask_promises);
        }
        let may_vouch = self.vouching.next_wakeup().is_none_or(|at| at <= self.now);
        let may_vouch = may_vouch && self.vouch_asks < VOUCH_ASKS;
        if !self.vouched && self.now >= LEASE_OVER && may_vouch {
            step(&Self::ask_vouches);
        }
        for number in 0..self.messages.len() {
            step(&|world| world.deliver(number));
        }
        next
    }

    fn check(&self) -> Result<(), String> {
        if self.vouched && self.now < self.hold.valid_until() {
            return Err("the lease is extended although a majority has vouched".to_owned());
        }
        Ok(())
    }
}

fn explored(bugs: Bugs) -> Explored {
    explore(World::new(bugs), depth(DEPTH), World::steps, World::check)
}

#[test]
fn no_lease_is_extended_once_a_majority_has_vouched() {
    let visited = explored(Bugs::NONE).unwrap_or_else(|violation| panic!("{violation}"));
    assert!(visited > STATES, "only {visited} states were visited");
    println!("{visited} states within {} steps", depth(DEPTH));
}

#[rstest]
#[case::vouch_despite_promise(Bug::VouchDespitePromise)]
#[case::promises_counted_from_the_reply(Bug::HoldFromReply)]
fn a_seeded_bug_is_caught(#[case] bug: Bug) {
    let result = explored(Bugs::seeded(bug));
    assert!(result.is_err(), "not caught: {result:?}");
}

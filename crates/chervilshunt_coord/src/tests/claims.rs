//! The request of a key is sent at most once, whatever happens to keepers, entry instances and the
//! platform.
//!
//! Callers retry under the same key at any instance. Calls to the platform are carried out in any
//! order, late or never, and answers are lost. Keepers are replaced while they still run, and still
//! receive the results of their calls. An entry instance sends the request when its claim is
//! granted. The test fails if a request is sent twice under one key, or if it is sent after its
//! attempt was reported as not run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chervilshunt_model::{AttemptId, Epoch, Moment};
use proptest::prelude::*;
use rstest::rstest;

use super::runs::{assert_caught, assert_holds};
use crate::bugs::{Bug, Bugs};
use crate::{
    ClaimAction, ClaimAnswer, ClaimConfig, ClaimEvent, ClaimKeeper, ClaimKey, ClaimOutcome,
    ClaimRequest, Holder, Incarnation, MemoryPlatform, PlatformCall, PlatformResult,
};

const ENTRIES: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    /// An entry instance requests a claim of a keeper; `keeper` counts back from the newest one.
    Ask {
        keeper: usize,
        entry: usize,
        key: u8,
    },
    /// The last claim request is repeated at any keeper.
    AskAgain { keeper: usize },
    /// The platform carries out a call, and its answer arrives or is lost.
    CarryOut { call: usize, answered: bool },
    /// A call times out, whether or not it was carried out.
    TimeOut { call: usize },
    /// An answer of a keeper arrives at the entry instance.
    Arrive { answer: usize },
    /// A request that was sent is answered, and a keeper is notified.
    Finish { sent: usize, keeper: usize },
    /// Another keeper takes over without the old one's knowledge.
    TakeOver,
    /// An entry instance crashes and restarts.
    Crash { entry: usize },
    /// Time passes.
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_usize, 0..ENTRIES, 0..3_u8)
            .prop_map(|(keeper, entry, key)| Step::Ask { keeper, entry, key }),
        1 => (0..3_usize).prop_map(|keeper| Step::AskAgain { keeper }),
        6 => (0..4_usize, prop::bool::weighted(0.8))
            .prop_map(|(call, answered)| Step::CarryOut { call, answered }),
        2 => (0..4_usize).prop_map(|call| Step::TimeOut { call }),
        5 => (0..4_usize).prop_map(|answer| Step::Arrive { answer }),
        2 => (0..4_usize, 0..3_usize).prop_map(|(sent, keeper)| Step::Finish { sent, keeper }),
        1 => Just(Step::TakeOver),
        1 => (0..ENTRIES).prop_map(|entry| Step::Crash { entry }),
        3 => (1..3_000_u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

/// A call to the platform and whether it was carried out.
struct Pending {
    keeper: usize,
    call: PlatformCall,
    carried_out: bool,
}

struct World {
    now: Moment,
    platform: MemoryPlatform,
    keepers: Vec<ClaimKeeper>,
    calls: Vec<Pending>,
    answers: Vec<(Holder, ClaimKey, AttemptId, ClaimAnswer)>,
    keys: BTreeMap<AttemptId, ClaimKey>,
    last: Option<ClaimRequest>,
    attempts: u128,
    incarnations: [u64; ENTRIES],
    /// Attempts that were sent, by key, including those of entry instances that crashed since.
    sent: BTreeMap<ClaimKey, BTreeSet<AttemptId>>,
    reported_not_run: BTreeSet<AttemptId>,
    bugs: Bugs,
}

impl World {
    fn new(bugs: Bugs) -> Self {
        let mut world = Self {
            now: Moment::from_millis(1_000),
            platform: MemoryPlatform::default(),
            keepers: Vec::new(),
            calls: Vec::new(),
            answers: Vec::new(),
            keys: BTreeMap::new(),
            last: None,
            attempts: 0,
            incarnations: [0; ENTRIES],
            sent: BTreeMap::new(),
            reported_not_run: BTreeSet::new(),
            bugs,
        };
        world.take_over();
        world
    }

    fn take_over(&mut self) {
        let number = self.keepers.len();
        let me = Holder::new(format!("k{number}").as_str(), Incarnation::new(1));
        let epoch = Epoch::new(number as u64 + 1);
        let mut keeper = ClaimKeeper::new(ClaimConfig::new(0, me, epoch), self.now);
        keeper.seed(self.bugs);
        self.keepers.push(keeper);
        self.deliver(number, ClaimEvent::Tick);
    }

    fn newest(&self, back: usize) -> usize {
        self.keepers.len().saturating_sub(1 + back)
    }

    fn deliver(&mut self, keeper: usize, event: ClaimEvent) {
        for action in self.keepers[keeper].handle(event, self.now) {
            match action {
                ClaimAction::Call(call) => self.calls.push(Pending {
                    keeper,
                    call,
                    carried_out: false,
                }),
                ClaimAction::Answer {
                    entry,
                    attempt,
                    answer,
                } => {
                    let key = self.keys[&attempt];
                    self.answers.push((entry, key, attempt, answer));
                }
                ClaimAction::QueryAttempt { .. } | ClaimAction::Superseded => {}
            }
        }
    }

    fn entry(&self, entry: usize) -> Holder {
        let incarnation = Incarnation::new(self.incarnations[entry]);
        Holder::new(format!("e{entry}").as_str(), incarnation)
    }

    fn take(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Ask { keeper, entry, key } => {
                self.attempts += 1;
                let req = ClaimRequest {
                    key: ClaimKey::new("caller", "service", &key.to_string()),
                    fingerprint: 7,
                    attempt: AttemptId::from_u128(self.attempts),
                    entry: self.entry(entry),
                };
                self.keys.insert(req.attempt, req.key);
                self.last = Some(req.clone());
                let keeper = self.newest(keeper);
                self.deliver(keeper, ClaimEvent::Requested(req));
            }
            Step::AskAgain { keeper } => {
                let keeper = self.newest(keeper);
                if let Some(req) = self.last.clone() {
                    self.deliver(keeper, ClaimEvent::Requested(req));
                }
            }
            Step::CarryOut { call, answered } => self.carry_out(call, answered),
            Step::TimeOut { call } => {
                if call < self.calls.len() {
                    let pending = self.calls.remove(call);
                    let event = ClaimEvent::Reply(pending.call.id, PlatformResult::Unknown);
                    if !pending.carried_out {
                        // The call may still be carried out, long after the keeper gave up on it.
                        self.calls.push(pending);
                    } else {
                        self.deliver(pending.keeper, event);
                    }
                }
            }
            Step::Arrive { answer } => {
                if answer < self.answers.len() {
                    let (entry, key, attempt, answer) = self.answers.remove(answer);
                    self.deliver_answer(&entry, key, attempt, &answer);
                }
            }
            Step::Finish { sent, keeper } => {
                let all: Vec<_> = self
                    .sent
                    .iter()
                    .flat_map(|(key, tries)| tries.iter().map(|attempt| (*key, *attempt)))
                    .collect();
                if let Some((key, attempt)) = all.get(sent).copied() {
                    let outcome = ClaimOutcome::Done {
                        status: 201,
                        body: None,
                    };
                    let keeper = self.newest(keeper);
                    self.deliver(
                        keeper,
                        ClaimEvent::Ended {
                            key,
                            attempt,
                            outcome,
                        },
                    );
                }
            }
            Step::TakeOver => self.take_over(),
            Step::Crash { entry } => self.incarnations[entry] += 1,
            Step::Wait { millis } => {
                self.now = self.now + Duration::from_millis(millis);
                for keeper in 0..self.keepers.len() {
                    self.deliver(keeper, ClaimEvent::Tick);
                }
            }
        }
        self.check()
    }

    fn carry_out(&mut self, call: usize, answered: bool) {
        if call >= self.calls.len() {
            return;
        }
        let result = self.platform.carry_out(&self.calls[call].call.op).result;
        self.calls[call].carried_out = true;
        if answered {
            let pending = self.calls.remove(call);
            self.deliver(pending.keeper, ClaimEvent::Reply(pending.call.id, result));
        }
    }

    fn deliver_answer(
        &mut self,
        entry: &Holder,
        key: ClaimKey,
        attempt: AttemptId,
        answer: &ClaimAnswer,
    ) {
        let alive = (0..ENTRIES).any(|number| self.entry(number) == *entry);
        if !alive {
            return;
        }
        match answer {
            ClaimAnswer::Granted => {
                // An entry instance acts only on the first final answer to an attempt.
                if !self.reported_not_run.contains(&attempt) {
                    self.sent.entry(key).or_default().insert(attempt);
                }
            }
            ClaimAnswer::NotNow { .. } => {
                let was_sent = self
                    .sent
                    .get(&key)
                    .is_some_and(|tries| tries.contains(&attempt));
                if !was_sent {
                    self.reported_not_run.insert(attempt);
                }
            }
            ClaimAnswer::InProgress { .. }
            | ClaimAnswer::Ended { .. }
            | ClaimAnswer::Unknown
            | ClaimAnswer::OtherRequest => {}
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (key, tries) in &self.sent {
            prop_assert!(tries.len() <= 1, "{key} was sent {} times", tries.len());
        }
        Ok(())
    }
}

fn run(steps: &[Step], bugs: Bugs) -> Result<(), TestCaseError> {
    let mut world = World::new(bugs);
    for step in steps {
        world.take(step)?;
    }
    Ok(())
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 1..120)
}

#[test]
fn a_request_is_sent_at_most_once_for_its_key() {
    assert_holds(1_000, &steps(), |steps| run(&steps, Bugs::NONE));
}

#[rstest]
#[case::granted_before_it_is_recorded(Bug::ClaimBeforeRecord)]
#[case::recorded_claims_not_read(Bug::ClaimsNotRead)]
fn a_seeded_bug_is_caught(#[case] bug: Bug) {
    assert_caught(1_000, &steps(), |steps| run(&steps, Bugs::seeded(bug)));
}

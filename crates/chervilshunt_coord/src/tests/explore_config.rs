//! Explores all interleavings of one configuration change with an instance that joins meanwhile.
//!
//! One instance proposes a change while another takes work and a third joins. Calls are carried out
//! at any time, their answers arrive at any time or are lost, messages arrive in any order or
//! never, and time passes. The test fails if an instance still takes work under the old
//! configuration later than the allowed time after the head has moved, or if the operator was told
//! that a change was refused that took effect.

use std::time::Duration;

use chervilshunt_model::{InstanceId, Moment, Revision};
use rstest::rstest;

use super::explore::{Explored, depth, explore};
use super::smoke::set_cell;
use super::table::{SetCell, Table, table_model};
use crate::bugs::{Bug, Bugs};
use crate::{
    CallId, ChangeRefusal, ChangeTicket, ConfigFollower, ConfigMessage, Elector, FollowerAction,
    FollowerConfig, FollowerEvent, HeadRecord, Holder, Incarnation, LeaseRecord, LeaseState,
    MemoryPlatform, Object, ObjectName, PlatformCall, PlatformOp, PlatformResult, Proposer,
    ProposerAction, ProposerConfig, ProposerEvent,
};

const DEPTH: usize = 16;
const STATES: usize = 50_000;
const BEGIN: Moment = Moment::from_millis(100_000);
const STEP: Duration = Duration::from_secs(2);
const HORIZON: Duration = Duration::from_secs(8);

/// The time after the head's move within which the new revision must be in force on every instance
/// that takes work.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);

/// The proposer, an instance that takes work, and the instance that joins.
const NAMES: [&str; 3] = ["a", "b", "c"];
const PROPOSER: usize = 0;
const JOINING: usize = 2;

#[derive(Clone, Debug, Hash)]
enum CallOrigin {
    Follower(usize),
    Proposer,
}

#[derive(Clone, Debug, Hash)]
struct Pending {
    origin: CallOrigin,
    call: PlatformCall,
    result: Option<PlatformResult>,
}

#[derive(Clone, Debug, Hash)]
struct World {
    now: Moment,
    platform: MemoryPlatform,
    followers: Vec<ConfigFollower<Table, SetCell>>,
    /// Whether each instance has started to take work; the joining one does once it is settled.
    works: Vec<bool>,
    proposer: Proposer<Table, SetCell>,
    pending: Vec<Pending>,
    messages: Vec<(usize, usize, ConfigMessage<SetCell>)>,
    head_moved_at: Option<Moment>,
    refused: Option<ChangeRefusal>,
    lost_answers: usize,
    joined: bool,
}

fn holder(number: usize) -> Holder {
    Holder::new(NAMES[number], Incarnation::new(1))
}

fn lease(number: usize, state: LeaseState) -> Object {
    Object::Lease(Box::new(LeaseRecord {
        holder: holder(number),
        state,
        renewals: 1,
        duration_ms: 15_000,
        zone: "z".into(),
        region: "r".into(),
        peer_address: ([127, 0, 0, 1], 1).into(),
        operators_address: ([127, 0, 0, 1], 1).into(),
        electorate: 0,
        electorate_before: 0,
        acknowledged: None,
    }))
}

impl World {
    fn new(bugs: Bugs) -> Self {
        let mut platform = MemoryPlatform::default();
        let head = HeadRecord::first(Vec::new());
        platform.carry_out(&PlatformOp::Create(Object::Head(Box::new(head))));
        let followers = (0..NAMES.len()).map(|number| {
            let elector = Elector {
                instance: NAMES[number].into(),
                address: ([127, 0, 0, 1], 1).into(),
            };
            let cfg = FollowerConfig {
                // Repeated requests and giving up in the proposer's place are not part of this
                // model.
                ask_after: HORIZON * 2,
                abandon_after: HORIZON * 2,
                acknowledge_unasked_after: HORIZON * 2,
                stop_after: Duration::from_secs(2),
                ..FollowerConfig::default()
            };
            let mut follower = ConfigFollower::new(cfg, table_model(), holder(number), elector);
            follower.seed(bugs);
            follower
        });
        let followers = followers.collect();
        let cfg = ProposerConfig {
            collect_within: Duration::from_secs(2),
            ask_again_after: HORIZON * 2,
            ..ProposerConfig::default()
        };
        let mut proposer = Proposer::new(cfg, table_model(), holder(PROPOSER));
        proposer.seed(bugs);
        let mut world = Self {
            now: BEGIN,
            platform,
            followers,
            works: vec![true, true, false],
            proposer,
            pending: Vec::new(),
            messages: Vec::new(),
            head_moved_at: None,
            refused: None,
            lost_answers: 0,
            joined: false,
        };
        for number in 0..JOINING {
            let lease = lease(number, LeaseState::Active);
            world.platform.carry_out(&PlatformOp::Create(lease));
            world.deliver_to_follower(number, FollowerEvent::Start);
            world.carry_out(0);
            world.answer(0, false);
        }
        if bugs.has(Bug::HeadReadBeforeLease) {
            world.deliver_to_follower(JOINING, FollowerEvent::Start);
        }
        let change = set_cell(1, "x", 42);
        world.deliver_to_proposer(ProposerEvent::Propose(ChangeTicket(1), change));
        world
    }

    /// Creates the lease of the joining instance and starts its follower.
    fn join(&mut self) {
        self.joined = true;
        let lease = lease(JOINING, LeaseState::Joining);
        self.platform.carry_out(&PlatformOp::Create(lease));
        self.deliver_to_follower(JOINING, FollowerEvent::Start);
    }

    fn deliver_to_follower(&mut self, number: usize, event: FollowerEvent<SetCell>) {
        for action in self.followers[number].handle(event, self.now) {
            match action {
                FollowerAction::Call(call) => self.begin(CallOrigin::Follower(number), call),
                FollowerAction::Send(to, message) => self.send(number, &to, message),
                FollowerAction::AskPeers(_)
                | FollowerAction::AcknowledgeByLease(_)
                | FollowerAction::ConfigInForce(_) => {}
            }
        }
        if number == JOINING && self.joined && self.followers[number].is_settled() {
            self.works[number] = true;
        }
    }

    fn deliver_to_proposer(&mut self, event: ProposerEvent<SetCell>) {
        let base = self.followers[PROPOSER].in_force().cloned();
        for action in self.proposer.handle(event, base.as_ref(), self.now) {
            match action {
                ProposerAction::Call(call) => self.begin(CallOrigin::Proposer, call),
                ProposerAction::Send(to, message) => self.send(PROPOSER, &to, message),
                ProposerAction::HeadSeen(head, version) => {
                    self.deliver_to_follower(PROPOSER, FollowerEvent::HeadSeen(head, version));
                }
                ProposerAction::Refused(_, refusal) => self.refused = Some(refusal),
                ProposerAction::Accepted(..) | ProposerAction::WatchLease(_) => {}
            }
        }
    }

    fn begin(&mut self, origin: CallOrigin, call: PlatformCall) {
        self.pending.push(Pending {
            origin,
            call,
            result: None,
        });
    }

    fn send(&mut self, from: usize, to: &InstanceId, message: ConfigMessage<SetCell>) {
        let to = NAMES.iter().position(|name| *name == to.as_str());
        let to = to.expect("messages go to instances");
        if to == from {
            self.deliver_message(from, to, message);
        } else {
            self.messages.push((from, to, message));
        }
    }

    fn deliver_message(&mut self, from: usize, to: usize, message: ConfigMessage<SetCell>) {
        let from = NAMES[from].into();
        if matches!(message, ConfigMessage::Acknowledge { .. }) {
            self.deliver_to_proposer(ProposerEvent::Message(from, message));
        } else {
            self.deliver_to_follower(to, FollowerEvent::Message(from, message));
        }
    }

    fn carry_out(&mut self, number: usize) {
        let result = self
            .platform
            .carry_out(&self.pending[number].call.op)
            .result;
        self.pending[number].result = Some(result);
        let head = self
            .platform
            .get(&ObjectName::Head)
            .map(|stored| stored.object);
        if let Some(Object::Head(head)) = head
            && head.revision > Revision::new(0)
        {
            self.head_moved_at.get_or_insert(self.now);
        }
    }

    fn answer(&mut self, number: usize, lost: bool) {
        let Pending {
            origin,
            call,
            result,
        } = self.pending.remove(number);
        let result = result.filter(|_| !lost).unwrap_or(PlatformResult::Unknown);
        self.lost_answers += usize::from(lost);
        self.reply(&origin, call.id, result);
    }

    fn reply(&mut self, origin: &CallOrigin, call: CallId, result: PlatformResult) {
        match origin {
            CallOrigin::Follower(number) => {
                self.deliver_to_follower(*number, FollowerEvent::Reply(call, result));
            }
            CallOrigin::Proposer => self.deliver_to_proposer(ProposerEvent::Reply(call, result)),
        }
    }

    fn steps(&self) -> Vec<Self> {
        let mut next = Vec::new();
        let mut step = |change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            next.push(world);
        };
        if self.now < BEGIN + HORIZON {
            step(&|world| world.now = world.now + STEP);
        }
        if !self.joined {
            step(&Self::join);
        }
        for number in 0..NAMES.len() {
            let wakeup = self.followers[number].next_wakeup();
            if wakeup.is_some_and(|at| at <= self.now) {
                step(&|world| world.deliver_to_follower(number, FollowerEvent::Tick));
            }
        }
        if self.proposer.next_wakeup().is_some_and(|at| at <= self.now) {
            step(&|world| world.deliver_to_proposer(ProposerEvent::Tick));
        }
        for (number, pending) in self.pending.iter().enumerate() {
            if pending.result.is_none() {
                step(&|world| world.carry_out(number));
            } else {
                step(&|world| world.answer(number, false));
                if self.lost_answers == 0 {
                    step(&|world| world.answer(number, true));
                }
            }
        }
        for number in 0..self.messages.len() {
            step(&|world| {
                let (from, to, message) = world.messages.remove(number);
                world.deliver_message(from, to, message);
            });
        }
        next
    }

    fn check(&self) -> Result<(), String> {
        let refused = matches!(&self.refused, Some(refusal) if !refusal.is_unknown());
        if refused && self.head_moved_at.is_some() {
            return Err("a change that was reported as refused is in force".to_owned());
        }
        let Some(head_moved_at) = self.head_moved_at else {
            return Ok(());
        };
        for (number, follower) in self.followers.iter().enumerate() {
            let old = follower
                .in_force()
                .is_none_or(|in_force| in_force.revision == Revision::new(0));
            let takes_work = self.works[number] && follower.may_take_work(self.now);
            if takes_work && old && self.now > head_moved_at + IN_FORCE_WITHIN {
                return Err(format!(
                    "{} takes work under the previous configuration",
                    NAMES[number]
                ));
            }
        }
        Ok(())
    }
}

fn explored(bugs: Bugs) -> Explored {
    explore(World::new(bugs), depth(DEPTH), World::steps, World::check)
}

#[test]
fn no_work_under_an_old_configuration_after_the_deadline() {
    let visited = explored(Bugs::NONE).unwrap_or_else(|violation| panic!("{violation}"));
    assert!(visited > STATES, "only {visited} states were visited");
    println!("{visited} states within {} steps", depth(DEPTH));
}

#[rstest]
#[case::head_moved_before_acknowledgements(Bug::HeadMovedBeforeAcks)]
#[case::undecided_takes_work(Bug::UndecidedTakesWork)]
#[case::head_read_before_the_lease_exists(Bug::HeadReadBeforeLease)]
#[case::lost_answer_taken_as_failure(Bug::LostAnswerIsFailure)]
fn a_seeded_bug_is_caught(#[case] bug: Bug) {
    let result = explored(Bugs::seeded(bug));
    assert!(result.is_err(), "not caught: {result:?}");
}

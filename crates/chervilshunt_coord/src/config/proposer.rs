//! Brings changes of configuration through, one at a time.

mod collect;
mod decision;
mod pages;
mod steps;

use std::collections::VecDeque;
use std::time::Duration;

use chervilshunt_model::{ChangeId, InstanceId, Moment, Revision};

use self::collect::Collecting;
use self::pages::PageWrite;
use self::steps::Stage;
use super::follower::InForce;
use super::head::HeadRecord;
use super::message::ConfigMessage;
use super::model::ConfigModel;
use crate::bugs::Bugs;
use crate::holder::Holder;
use crate::platform::{
    CallId, Calls, ObjectVersion, PageName, PlatformCall, PlatformResult, Purpose,
};

/// How a proposer behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ProposerConfig {
    /// How long after a failed call the next try follows.
    pub retry_every: Duration,
    /// How long a change waits for others before it, and for the platform, before it is refused.
    pub begin_within: Duration,
    /// How long acknowledgements are waited for.
    ///
    /// It has to be shorter than the time after which those that acknowledged stop taking work.
    pub collect_within: Duration,
    /// How long after the first request the instances that did not answer are asked directly.
    pub ask_again_after: Duration,
    /// How long an unsettled outcome is kept from the operator before it is called unknown.
    pub settle_within: Duration,
    /// The most instances that are asked directly; more are asked by way of others.
    pub direct_at_most: usize,
    /// The most changes that wait.
    pub queue_at_most: usize,
    /// When a change that was refused because an instance didn't answer may be tried again: by
    /// then that instance has answered or its lease has lapsed.
    pub retry_unreachable_after: Duration,
}

impl Default for ProposerConfig {
    fn default() -> Self {
        Self {
            retry_every: Duration::from_millis(300),
            begin_within: Duration::from_secs(8),
            collect_within: Duration::from_millis(2_500),
            ask_again_after: Duration::from_millis(800),
            settle_within: Duration::from_secs(10),
            direct_at_most: 20,
            queue_at_most: 64,
            retry_unreachable_after: Duration::from_secs(20),
        }
    }
}

/// Under which number the outcome of a proposal comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeTicket(pub u64);

/// What a proposer has to react to.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposerEvent<C> {
    /// Somebody wants a change.
    Propose(ChangeTicket, C),
    /// An instance said something.
    Message(InstanceId, ConfigMessage<C>),
    /// A call to the platform has ended.
    Reply(CallId, PlatformResult),
    /// Time has passed.
    Tick,
}

/// What a proposer wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposerAction<C> {
    /// Call the platform.
    Call(PlatformCall),
    /// Send a message to an instance, this one included.
    Send(InstanceId, ConfigMessage<C>),
    /// The head was read or written.
    Seen(Box<HeadRecord>, ObjectVersion),
    /// A live instance doesn't answer: its lease has to be watched.
    Watch(Holder),
    /// The change is accepted.
    Accepted(ChangeTicket, Revision),
    /// The change is not accepted.
    Refused(ChangeTicket, ChangeRefusal),
}

/// Why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ChangeRefusal {
    /// It can't be carried out, as this text says.
    Invalid(String),
    /// This instance has no configuration yet, or not the latest one.
    NotReady,
    /// Other changes are under way.
    Busy,
    /// The platform can't be asked.
    PlatformUnavailable,
    /// These live instances did not acknowledge it.
    Unreachable(Vec<InstanceId>),
    /// This instance can't carry it out, as the text says.
    NotAcknowledged(InstanceId, String),
    /// It was given up in this instance's place, which took too long.
    GivenUp,
    /// It may have been accepted or may yet be: the platform can't be asked. Proposing the same
    /// change again, with the same id, tells.
    Unknown,
}

impl ChangeRefusal {
    /// Returns whether the change may yet come into force.
    pub const fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown)
    }

    /// Returns when the change may be tried again; `None` if that is of no use.
    pub fn retry_after(&self, cfg: &ProposerConfig) -> Option<Duration> {
        match self {
            Self::Invalid(_) => None,
            Self::NotReady | Self::Busy | Self::GivenUp => Some(Duration::from_secs(1)),
            Self::PlatformUnavailable | Self::Unknown => Some(cfg.settle_within),
            Self::Unreachable(_) | Self::NotAcknowledged(..) => Some(cfg.retry_unreachable_after),
        }
    }
}

/// A change on its way.
#[derive(Clone, Debug, Hash)]
struct Proposal<C> {
    /// None once the operator has been told that the outcome is unknown.
    ticket: Option<ChangeTicket>,
    change: C,
    id: ChangeId,
    stage: Stage,
    begin_by: Moment,
    settle_by: Option<Moment>,
    retry_at: Moment,
    pages: Vec<PageWrite>,
    /// Pages that earlier tries wrote.
    unused: Vec<PageName>,
    /// Pages that the change before made needless.
    garbage: Vec<PageName>,
    collecting: Collecting,
    /// Whether acceptance was decided on, or giving up, and why.
    verdict: Option<Verdict>,
}

#[derive(Clone, Debug, Hash)]
enum Verdict {
    Accept,
    GiveUp(ChangeRefusal),
}

/// Brings changes through, one at a time.
///
/// The change is first written into the head as pending, and only then are the live instances
/// listed. So an instance that joins either created its lease before the list and is asked, or
/// reads the head after it and finds the change there. See `docs/design/configuration.md`.
#[derive(Clone, Debug, Hash)]
pub struct Proposer<S, C> {
    cfg: ProposerConfig,
    model: ConfigModel<S, C>,
    me: Holder,
    calls: Calls,
    queue: VecDeque<(ChangeTicket, C, Moment)>,
    proposal: Option<Proposal<C>>,
    bugs: Bugs,
}

impl<S: Clone, C: Clone> Proposer<S, C> {
    /// Starts without a change.
    pub const fn new(cfg: ProposerConfig, model: ConfigModel<S, C>, me: Holder) -> Self {
        Self::with_machine(cfg, model, me, 0)
    }

    /// Does as [`Self::new`] and numbers the calls as those of `machine`.
    pub(crate) const fn with_machine(
        cfg: ProposerConfig,
        model: ConfigModel<S, C>,
        me: Holder,
        machine: u32,
    ) -> Self {
        Self {
            cfg,
            model,
            me,
            calls: Calls::new(machine, Purpose::Configuration),
            queue: VecDeque::new(),
            proposal: None,
            bugs: Bugs::NONE,
        }
    }

    /// Seeds a bug.
    #[cfg(test)]
    pub(crate) fn seed(&mut self, bugs: Bugs) {
        self.bugs = bugs;
    }

    /// Begins anew under another incarnation, as the lease was lost.
    pub(crate) fn begin_anew(&mut self, me: Holder) {
        self.me = me;
    }

    /// Returns whether no change is on its way.
    pub fn is_idle(&self) -> bool {
        self.proposal.is_none() && self.queue.is_empty()
    }

    /// Returns when [`ProposerEvent::Tick`] is next wanted.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let queued = self.queue.front().map(|(.., by)| *by);
        let proposal = self.proposal.as_ref().and_then(Proposal::next_wakeup);
        queued.into_iter().chain(proposal).min()
    }

    /// Takes one event and says what is to be done.
    ///
    /// `base` is the configuration in force here.
    pub fn handle(
        &mut self,
        event: ProposerEvent<C>,
        base: Option<&InForce<S>>,
        now: Moment,
    ) -> Vec<ProposerAction<C>> {
        let mut actions = Vec::new();
        match event {
            ProposerEvent::Propose(ticket, change) => {
                if self.queue.len() >= self.cfg.queue_at_most {
                    actions.push(ProposerAction::Refused(ticket, ChangeRefusal::Busy));
                } else {
                    let begin_by = now + self.cfg.begin_within;
                    self.queue.push_back((ticket, change, begin_by));
                }
            }
            ProposerEvent::Message(_, message) => self.on_message(message),
            ProposerEvent::Reply(call, result) => {
                self.on_reply(call, result, base, now, &mut actions);
            }
            ProposerEvent::Tick => {}
        }
        self.advance(base, now, &mut actions);
        actions
    }

    fn on_message(&mut self, message: ConfigMessage<C>) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let ConfigMessage::Acknowledge {
            change,
            holder,
            refusal,
            ..
        } = message
        else {
            return;
        };
        if change == proposal.id {
            proposal.collecting.acknowledge(holder, refusal);
        }
    }

    fn begin_next(&mut self, now: Moment, actions: &mut Vec<ProposerAction<C>>) {
        while let Some((ticket, change, begin_by)) = self.queue.pop_front() {
            if now >= begin_by {
                actions.push(ProposerAction::Refused(ticket, ChangeRefusal::Busy));
                continue;
            }
            self.proposal = Some(Proposal {
                ticket: Some(ticket),
                id: (self.model.change_id)(&change),
                change,
                stage: Stage::Begin,
                begin_by,
                settle_by: None,
                retry_at: now,
                pages: Vec::new(),
                unused: Vec::new(),
                garbage: Vec::new(),
                collecting: Collecting::default(),
                verdict: None,
            });
            return;
        }
    }

    fn refuse_overdue(&mut self, now: Moment, actions: &mut Vec<ProposerAction<C>>) {
        while let Some((ticket, ..)) = self.queue.pop_front_if(|(.., by)| now >= *by) {
            actions.push(ProposerAction::Refused(ticket, ChangeRefusal::Busy));
        }
    }
}

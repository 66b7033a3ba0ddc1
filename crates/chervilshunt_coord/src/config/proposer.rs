//! Commits configuration changes, one at a time.

mod collect;
mod decision;
mod pages;
mod steps;

use std::collections::VecDeque;
use std::time::Duration;

use chervilshunt_model::{ChangeId, InstanceId, Moment, Revision};

use self::collect::Acknowledgements;
use self::pages::PageWrite;
use self::steps::ProposalStage;
use super::follower::ConfigInForce;
use super::head::HeadRecord;
use super::message::ConfigMessage;
use super::model::ConfigModel;
use crate::bugs::Bugs;
use crate::holder::Holder;
use crate::platform::{
    CallId, CallPurpose, Calls, ObjectVersion, PageName, PlatformCall, PlatformResult,
};

/// Configuration of a proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ProposerConfig {
    /// The delay before a failed call to the platform is retried.
    pub retry_every: Duration,
    /// How long a change may wait for earlier changes and for the platform before it is refused.
    pub begin_within: Duration,
    /// How long to wait for acknowledgements.
    ///
    /// This must be shorter than [`FollowerConfig::stop_after`](super::FollowerConfig::stop_after),
    /// after which instances that acknowledged stop taking work.
    pub collect_within: Duration,
    /// How long after the first request the instances that have not answered are asked directly.
    pub ask_again_after: Duration,
    /// How long an uncertain outcome is held back before it is reported to the operator as unknown.
    pub settle_within: Duration,
    /// The maximum number of instances that are contacted directly; larger sets are reached through
    /// relays.
    pub direct_at_most: usize,
    /// The maximum number of waiting changes.
    pub max_queued_changes: usize,
    /// The retry delay of a change that was refused because an instance did not answer. By then the
    /// instance has answered or its lease has lapsed.
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
            max_queued_changes: 64,
            retry_unreachable_after: Duration::from_secs(20),
        }
    }
}

/// Identifies a proposal when its outcome is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeTicket(pub u64);

/// An input to a proposer.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposerEvent<C> {
    /// An operator proposes a change.
    Propose(ChangeTicket, C),
    /// A message from an instance.
    Message(InstanceId, ConfigMessage<C>),
    /// A call to the platform has ended.
    Reply(CallId, PlatformResult),
    /// Time has passed.
    Tick,
}

/// An action for the driver of a proposer to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposerAction<C> {
    /// Call the platform.
    Call(PlatformCall),
    /// Send a message to an instance, which may be this one.
    Send(InstanceId, ConfigMessage<C>),
    /// The head was read or written.
    HeadSeen(Box<HeadRecord>, ObjectVersion),
    /// A live instance does not answer: its lease has to be watched.
    WatchLease(Holder),
    /// The change is accepted.
    Accepted(ChangeTicket, Revision),
    /// The change is not accepted.
    Refused(ChangeTicket, ChangeRefusal),
}

/// Why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ChangeRefusal {
    /// The change is invalid, for the reason in the text.
    Invalid(String),
    /// This instance has no configuration yet or not the latest one.
    NotReady,
    /// Other changes are being processed.
    Busy,
    /// The platform is unavailable.
    PlatformUnavailable,
    /// These live instances did not acknowledge the change.
    Unreachable(Vec<InstanceId>),
    /// This instance refused to acknowledge the change, for the reason in the text.
    NotAcknowledged(InstanceId, String),
    /// Another instance gave the change up because this instance took too long.
    GivenUp,
    /// The change may have been accepted or may still be, as the platform is unavailable. Proposing
    /// the same change again with the same id shows the outcome.
    Unknown,
}

impl ChangeRefusal {
    /// Returns whether the change may still come into force.
    pub const fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown)
    }

    /// Returns the delay after which the change may be proposed again; `None` if that cannot
    /// succeed.
    pub fn retry_after(&self, cfg: &ProposerConfig) -> Option<Duration> {
        match self {
            Self::Invalid(_) => None,
            Self::NotReady | Self::Busy | Self::GivenUp => Some(Duration::from_secs(1)),
            Self::PlatformUnavailable | Self::Unknown => Some(cfg.settle_within),
            Self::Unreachable(_) | Self::NotAcknowledged(..) => Some(cfg.retry_unreachable_after),
        }
    }
}

/// A change that is being processed.
#[derive(Clone, Debug, Hash)]
struct Proposal<C> {
    /// `None` once the outcome was reported to the operator as unknown.
    ticket: Option<ChangeTicket>,
    change: C,
    id: ChangeId,
    stage: ProposalStage,
    begin_by: Moment,
    settle_by: Option<Moment>,
    retry_at: Moment,
    pages: Vec<PageWrite>,
    /// Pages written by earlier attempts of this proposal that it no longer uses.
    unused: Vec<PageName>,
    /// Pages that the previous change made unnecessary.
    garbage: Vec<PageName>,
    acknowledgements: Acknowledgements,
    /// Whether the change is to be accepted, or given up and why; `None` before that is decided.
    decision: Option<ProposalDecision>,
}

#[derive(Clone, Debug, Hash)]
enum ProposalDecision {
    Accept,
    GiveUp(ChangeRefusal),
}

/// Commits changes, one at a time.
///
/// A change is written into the head as pending first, and only then are the live instances listed.
/// A joining instance therefore either created its lease before the list and is asked for its
/// acknowledgement, or reads the head after the write and finds the pending change there. See
/// `docs/design/configuration.md`.
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
    /// Creates a proposer without a change.
    pub const fn new(cfg: ProposerConfig, model: ConfigModel<S, C>, me: Holder) -> Self {
        Self::with_machine(cfg, model, me, 0)
    }

    /// Like [`Self::new`], with calls numbered as those of `machine`.
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
            calls: Calls::new(machine, CallPurpose::Configuration),
            queue: VecDeque::new(),
            proposal: None,
            bugs: Bugs::NONE,
        }
    }

    #[cfg(test)]
    pub(crate) fn seed(&mut self, bugs: Bugs) {
        self.bugs = bugs;
    }

    /// Continues under another incarnation after the lease was lost.
    pub(crate) fn begin_anew(&mut self, me: Holder) {
        self.me = me;
    }

    /// Returns whether no change is being processed or waiting.
    pub fn is_idle(&self) -> bool {
        self.proposal.is_none() && self.queue.is_empty()
    }

    /// Returns when the next [`ProposerEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let queued = self.queue.front().map(|(.., by)| *by);
        let proposal = self.proposal.as_ref().and_then(Proposal::next_wakeup);
        queued.into_iter().chain(proposal).min()
    }

    /// Handles one event and returns the actions to carry out.
    ///
    /// `base` is the configuration in force on this instance.
    pub fn handle(
        &mut self,
        event: ProposerEvent<C>,
        base: Option<&ConfigInForce<S>>,
        now: Moment,
    ) -> Vec<ProposerAction<C>> {
        let mut actions = Vec::new();
        match event {
            ProposerEvent::Propose(ticket, change) => {
                if self.queue.len() >= self.cfg.max_queued_changes {
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
            proposal.acknowledgements.acknowledge(holder, refusal);
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
                stage: ProposalStage::Begin,
                begin_by,
                settle_by: None,
                retry_at: now,
                pages: Vec::new(),
                unused: Vec::new(),
                garbage: Vec::new(),
                acknowledgements: Acknowledgements::default(),
                decision: None,
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

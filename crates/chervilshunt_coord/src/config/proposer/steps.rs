//! The steps of a proposal.

use std::collections::BTreeMap;

use chervilshunt_model::{InstanceId, Moment};

use super::collect::fan_out;
use super::{ChangeRefusal, Proposal, ProposalDecision, Proposer, ProposerAction};
use crate::bugs::Bug;
use crate::config::follower::ConfigInForce;
use crate::config::head::HeadRecord;
use crate::config::message::{ConfigMessage, Prepare};
use crate::config::model::PageKey;
use crate::config::stamp::PageStamp;
use crate::lease::LeaseRecord;
use crate::platform::{
    CallId, Object, ObjectKind, ObjectName, ObjectVersion, PlatformOp, PlatformResult, StoredObject,
};

/// The current step of a proposal.
#[derive(Clone, Debug, Hash)]
pub(super) enum ProposalStage {
    /// The head has to be read.
    Begin,
    /// The head is being read.
    ReadingHead(CallId),
    /// The pages are being written one after the other; the call is `None` while a failed write
    /// waits for its retry.
    WritingPages(Option<CallId>, Box<HeadRecord>, ObjectVersion),
    /// The change is being written into the head as pending.
    WritingPending(CallId, Box<HeadRecord>),
    /// The change is pending in the head; the live instances have to be listed.
    Pending(Box<HeadRecord>, ObjectVersion),
    /// The live instances are being listed.
    Listing(CallId, Box<HeadRecord>, ObjectVersion),
    /// Acknowledgements are being collected.
    Collecting {
        head: Box<HeadRecord>,
        version: ObjectVersion,
        until: Moment,
        ask_again_at: Option<Moment>,
        listing: Option<CallId>,
    },
    /// The decision has to be written into the head.
    Decided(Box<HeadRecord>, ObjectVersion),
    /// The decision is being written into the head.
    WritingDecision(CallId, Box<HeadRecord>),
}

impl<C> Proposal<C> {
    pub(super) fn next_wakeup(&self) -> Option<Moment> {
        let stage = match &self.stage {
            ProposalStage::Begin | ProposalStage::Pending(..) | ProposalStage::Decided(..) => {
                Some(self.retry_at)
            }
            ProposalStage::WritingPages(call, ..) => call.is_none().then_some(self.retry_at),
            ProposalStage::Collecting {
                until,
                ask_again_at,
                ..
            } => Some(ask_again_at.map_or(*until, |at| at.min(*until))),
            ProposalStage::ReadingHead(_)
            | ProposalStage::WritingPending(..)
            | ProposalStage::Listing(..)
            | ProposalStage::WritingDecision(..) => None,
        };
        let settle_by = self.settle_by.filter(|_| self.ticket.is_some());
        stage.into_iter().chain(settle_by).min()
    }

    pub(super) fn stamps(&self) -> BTreeMap<PageKey, PageStamp> {
        self.pages
            .iter()
            .map(|page| (page.key.clone(), page.stamp))
            .collect()
    }
}

impl<S: Clone, C: Clone> Proposer<S, C> {
    /// Takes all steps that are due.
    pub(super) fn advance(
        &mut self,
        base: Option<&ConfigInForce<S>>,
        now: Moment,
        actions: &mut Vec<ProposerAction<C>>,
    ) {
        self.refuse_overdue(now, actions);
        if self.proposal.is_none() {
            self.begin_next(now, actions);
        }
        self.report_unknown(now, actions);
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        match &proposal.stage {
            ProposalStage::Begin if now >= proposal.retry_at => {
                let call = self.calls.call(PlatformOp::Read(ObjectName::Head));
                proposal.stage = ProposalStage::ReadingHead(call.id);
                actions.push(ProposerAction::Call(call));
            }
            ProposalStage::WritingPages(None, ..) if now >= proposal.retry_at => {
                self.write_next_page(actions);
            }
            ProposalStage::Pending(..) if now >= proposal.retry_at => self.list_live(actions),
            ProposalStage::Collecting { .. } => self.collect(base, now, actions),
            ProposalStage::Decided(..) if now >= proposal.retry_at => self.write_decision(actions),
            ProposalStage::Begin
            | ProposalStage::ReadingHead(_)
            | ProposalStage::WritingPages(..)
            | ProposalStage::WritingPending(..)
            | ProposalStage::Pending(..)
            | ProposalStage::Listing(..)
            | ProposalStage::Decided(..)
            | ProposalStage::WritingDecision(..) => {}
        }
    }

    /// Reports the outcome to the operator as unknown if it is still uncertain after
    /// [`ProposerConfig::settle_within`](super::ProposerConfig::settle_within).
    fn report_unknown(&mut self, now: Moment, actions: &mut Vec<ProposerAction<C>>) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if proposal.settle_by.is_some_and(|by| now >= by) {
            proposal.settle_by = None;
            if let Some(ticket) = proposal.ticket.take() {
                actions.push(ProposerAction::Refused(ticket, ChangeRefusal::Unknown));
            }
        }
    }

    pub(super) fn on_reply(
        &mut self,
        call: CallId,
        result: PlatformResult,
        base: Option<&ConfigInForce<S>>,
        now: Moment,
        actions: &mut Vec<ProposerAction<C>>,
    ) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        match &mut proposal.stage {
            ProposalStage::ReadingHead(id) if *id == call => {
                self.on_head_read(result, base, now, actions)
            }
            ProposalStage::WritingPages(id, ..) if *id == Some(call) => {
                self.on_page_written(&result, now, actions);
            }
            ProposalStage::WritingPending(id, head) if *id == call => {
                let head = head.clone();
                self.on_pending_written(head, result, now, actions);
            }
            ProposalStage::Listing(id, head, version) if *id == call => {
                let (head, version) = (head.clone(), version.clone());
                self.on_listed(head, version, result, base, now, actions);
            }
            ProposalStage::Collecting { listing, head, .. } if *listing == Some(call) => {
                *listing = None;
                let generation = head.generation;
                if let PlatformResult::Listed(objects) = result {
                    proposal
                        .acknowledgements
                        .set_live(&leases(objects), generation);
                }
            }
            ProposalStage::WritingDecision(id, head) if *id == call => {
                let head = head.clone();
                self.on_decision_written(head, result, now, actions);
            }
            ProposalStage::Begin
            | ProposalStage::ReadingHead(_)
            | ProposalStage::WritingPages(..)
            | ProposalStage::WritingPending(..)
            | ProposalStage::Pending(..)
            | ProposalStage::Listing(..)
            | ProposalStage::Collecting { .. }
            | ProposalStage::Decided(..)
            | ProposalStage::WritingDecision(..) => {}
        }
    }

    fn on_head_read(
        &mut self,
        result: PlatformResult,
        base: Option<&ConfigInForce<S>>,
        now: Moment,
        actions: &mut Vec<ProposerAction<C>>,
    ) {
        let (head, version) = match result {
            PlatformResult::Found(StoredObject {
                object: Object::Head(head),
                version,
            }) => (head, version),
            PlatformResult::NotFound => return self.retry(ChangeRefusal::NotReady, now, actions),
            _ => return self.retry(ChangeRefusal::PlatformUnavailable, now, actions),
        };
        actions.push(ProposerAction::HeadSeen(head.clone(), version.clone()));
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if let Some(outcome) = head.outcome(proposal.id) {
            return self.end(&head, outcome, actions);
        }
        let pending = head.pending.as_ref().map(|pending| pending.change);
        if pending == Some(proposal.id) {
            // Either the write of the pending change succeeded although its answer was lost, or the
            // decision is not written yet.
            proposal.stage = if proposal.decision.is_some() {
                ProposalStage::Decided(head, version)
            } else {
                ProposalStage::Pending(head, version)
            };
            proposal.retry_at = now;
            return;
        }
        if pending.is_some() {
            return self.retry(ChangeRefusal::Busy, now, actions);
        }
        if proposal.decision.is_some() {
            // The outcome is no longer in the head, as too many changes have followed.
            return self.finish(ChangeRefusal::Unknown, actions);
        }
        if proposal.ticket.is_none() {
            // The outcome was already reported to the operator as unknown, and the change was not
            // accepted.
            return self.finish(ChangeRefusal::Unknown, actions);
        }
        proposal.settle_by = None;
        let Some(base) = base.filter(|base| base.revision == head.revision) else {
            return self.retry(ChangeRefusal::NotReady, now, actions);
        };
        match (self.model.apply)(&base.state, &proposal.change) {
            Err(reason) => self.finish(ChangeRefusal::Invalid(reason), actions),
            Ok((after, keys)) => {
                self.plan_pages(&after, keys, &head);
                let Some(proposal) = &mut self.proposal else {
                    return;
                };
                proposal.stage = ProposalStage::WritingPages(None, head, version);
                proposal.retry_at = now;
            }
        }
    }

    fn on_pending_written(
        &mut self,
        head: Box<HeadRecord>,
        result: PlatformResult,
        now: Moment,
        actions: &mut Vec<ProposerAction<C>>,
    ) {
        let settle_within = self.cfg.settle_within;
        let retry_every = self.cfg.retry_every;
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if let PlatformResult::Written(version) = result {
            actions.push(ProposerAction::HeadSeen(head.clone(), version.clone()));
            proposal.stage = ProposalStage::Pending(head, version);
            proposal.retry_at = now;
            return;
        }
        // A conflict may come from an earlier attempt of this proposal whose answer was lost;
        // reading the head shows which.
        proposal.stage = ProposalStage::Begin;
        proposal.retry_at = if result.is_answer() {
            now
        } else {
            now + retry_every
        };
        if result == PlatformResult::Unknown {
            proposal.settle_by = Some(now + settle_within);
        }
    }

    fn list_live(&mut self, actions: &mut Vec<ProposerAction<C>>) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let ProposalStage::Pending(head, version) = &proposal.stage else {
            return;
        };
        let call = self.calls.call(PlatformOp::List(ObjectKind::Lease));
        proposal.stage = ProposalStage::Listing(call.id, head.clone(), version.clone());
        actions.push(ProposerAction::Call(call));
    }

    fn on_listed(
        &mut self,
        head: Box<HeadRecord>,
        version: ObjectVersion,
        result: PlatformResult,
        base: Option<&ConfigInForce<S>>,
        now: Moment,
        actions: &mut Vec<ProposerAction<C>>,
    ) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let PlatformResult::Listed(objects) = result else {
            proposal.decision = Some(ProposalDecision::GiveUp(ChangeRefusal::PlatformUnavailable));
            proposal.settle_by = Some(now + self.cfg.settle_within);
            proposal.stage = ProposalStage::Decided(head, version);
            proposal.retry_at = now;
            return;
        };
        proposal
            .acknowledgements
            .set_live(&leases(objects), head.generation);
        let to: Vec<_> = proposal
            .acknowledgements
            .missing()
            .map(|holder| holder.instance.clone())
            .collect();
        proposal.stage = ProposalStage::Collecting {
            head,
            version,
            until: now + self.cfg.collect_within,
            ask_again_at: Some(now + self.cfg.ask_again_after),
            listing: None,
        };
        self.ask(base, &to, true, actions);
    }

    /// Asks instances to acknowledge the change.
    fn ask(
        &self,
        base: Option<&ConfigInForce<S>>,
        to: &[InstanceId],
        use_relays: bool,
        actions: &mut Vec<ProposerAction<C>>,
    ) {
        let Some(proposal) = &self.proposal else {
            return;
        };
        let ProposalStage::Collecting { head, .. } = &proposal.stage else {
            return;
        };
        let revision = base.map_or(head.revision, |base| base.revision);
        let message = ConfigMessage::Prepare(Box::new(Prepare {
            change: proposal.id,
            generation: head.generation,
            base: revision,
            body: proposal.change.clone(),
            pages: proposal
                .pages
                .iter()
                .map(|page| (page.key.clone(), page.stamp))
                .collect(),
            proposer: self.me.instance.clone(),
        }));
        let direct_at_most = if use_relays {
            self.cfg.direct_at_most
        } else {
            usize::MAX
        };
        let sends = fan_out(&message, to, direct_at_most);
        actions.extend(
            sends
                .into_iter()
                .map(|(to, message)| ProposerAction::Send(to, message)),
        );
    }

    fn collect(
        &mut self,
        base: Option<&ConfigInForce<S>>,
        now: Moment,
        actions: &mut Vec<ProposerAction<C>>,
    ) {
        let complete = self.bugs.has(Bug::HeadMovedBeforeAcks);
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let ProposalStage::Collecting {
            head,
            version,
            until,
            ask_again_at,
            listing,
        } = &mut proposal.stage
        else {
            return;
        };
        let decision = if complete || proposal.acknowledgements.is_complete() {
            Some(ProposalDecision::Accept)
        } else if let Some((holder, reason)) = proposal.acknowledgements.refusal() {
            let refusal = ChangeRefusal::NotAcknowledged(holder.instance.clone(), reason.clone());
            Some(ProposalDecision::GiveUp(refusal))
        } else if now >= *until {
            let missing: Vec<_> = proposal.acknowledgements.missing().cloned().collect();
            actions.extend(missing.iter().cloned().map(ProposerAction::WatchLease));
            let missing = missing.into_iter().map(|holder| holder.instance);
            Some(ProposalDecision::GiveUp(ChangeRefusal::Unreachable(
                missing.collect(),
            )))
        } else {
            None
        };
        if decision.is_some() {
            proposal.stage = ProposalStage::Decided(head.clone(), version.clone());
            proposal.decision = decision;
            proposal.settle_by = Some(now + self.cfg.settle_within);
            proposal.retry_at = now;
            return self.write_decision(actions);
        }
        if ask_again_at.is_some_and(|at| now >= at) {
            *ask_again_at = None;
            let call = self.calls.call(PlatformOp::List(ObjectKind::Lease));
            *listing = Some(call.id);
            actions.push(ProposerAction::Call(call));
            let to: Vec<_> = proposal
                .acknowledgements
                .missing()
                .map(|holder| holder.instance.clone())
                .collect();
            self.ask(base, &to, false, actions);
        }
    }

    /// Schedules another attempt, or refuses the change if its time to begin is over.
    fn retry(&mut self, refusal: ChangeRefusal, now: Moment, actions: &mut Vec<ProposerAction<C>>) {
        let retry_every = self.cfg.retry_every;
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let unsettled = proposal.settle_by.is_some() || proposal.ticket.is_none();
        if now >= proposal.begin_by && !unsettled && proposal.decision.is_none() {
            return self.finish(refusal, actions);
        }
        proposal.stage = ProposalStage::Begin;
        proposal.retry_at = now + retry_every;
    }
}

fn leases(objects: Vec<StoredObject>) -> Vec<LeaseRecord> {
    let leases = objects
        .into_iter()
        .filter_map(|stored| match stored.object {
            Object::Lease(lease) => Some(*lease),
            Object::Assignment(_) | Object::Head(_) | Object::Claims(_) | Object::Page { .. } => {
                None
            }
        });
    leases.collect()
}

//! The end of a proposal: the decision is written into the head and sent to all live instances.

use chervilshunt_model::{Moment, Revision};

use super::collect::fan_out;
use super::steps::ProposalStage;
use super::{ChangeRefusal, ProposalDecision, Proposer, ProposerAction};
use crate::bugs::Bug;
use crate::config::head::HeadRecord;
use crate::config::message::ConfigMessage;
use crate::platform::{Object, PlatformOp, PlatformResult};

impl<S: Clone, C: Clone> Proposer<S, C> {
    pub(super) fn write_decision(&mut self, actions: &mut Vec<ProposerAction<C>>) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let ProposalStage::Decided(head, version) = &proposal.stage else {
            return;
        };
        let next = match &proposal.decision {
            Some(ProposalDecision::Accept) => head.accepted(),
            Some(ProposalDecision::GiveUp(_)) | None => head.given_up(),
        };
        let op = PlatformOp::Update(Object::Head(Box::new(next.clone())), version.clone());
        let call = self.calls.call(op);
        proposal.stage = ProposalStage::WritingDecision(call.id, Box::new(next));
        actions.push(ProposerAction::Call(call));
    }

    pub(super) fn on_decision_written(
        &mut self,
        head: Box<HeadRecord>,
        result: PlatformResult,
        now: Moment,
        actions: &mut Vec<ProposerAction<C>>,
    ) {
        let retry_every = self.cfg.retry_every;
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if let PlatformResult::Written(version) = result {
            let outcome = head.outcome(proposal.id).flatten();
            actions.push(ProposerAction::HeadSeen(head.clone(), version));
            return self.end(&head, outcome, actions);
        }
        if self.bugs.has(Bug::LostAnswerIsFailure) {
            return self.finish(ChangeRefusal::PlatformUnavailable, actions);
        }
        // The head shows whether the write succeeded or which other write came first.
        proposal.stage = ProposalStage::Begin;
        proposal.retry_at = if result.is_answer() {
            now
        } else {
            now + retry_every
        };
    }

    /// Ends the proposal with the outcome recorded in the head and notifies the live instances.
    pub(super) fn end(
        &mut self,
        head: &HeadRecord,
        accepted: Option<Revision>,
        actions: &mut Vec<ProposerAction<C>>,
    ) {
        let Some(proposal) = &self.proposal else {
            return;
        };
        let message = ConfigMessage::Decided {
            change: proposal.id,
            generation: head.generation,
            accepted,
        };
        let to: Vec<_> = proposal
            .acknowledgements
            .live()
            .map(|holder| holder.instance.clone())
            .collect();
        let sends = fan_out(&message, &to, self.cfg.direct_at_most);
        actions.extend(
            sends
                .into_iter()
                .map(|(to, message)| ProposerAction::Send(to, message)),
        );
        self.delete_unused_pages(accepted.is_some(), actions);
        let Some(proposal) = &self.proposal else {
            return;
        };
        let refusal = match (accepted, &proposal.decision) {
            (Some(revision), _) => {
                if let Some(ticket) = self.proposal.take().and_then(|proposal| proposal.ticket) {
                    actions.push(ProposerAction::Accepted(ticket, revision));
                }
                return;
            }
            (None, Some(ProposalDecision::GiveUp(refusal))) => refusal.clone(),
            (None, Some(ProposalDecision::Accept) | None) => ChangeRefusal::GivenUp,
        };
        self.finish(refusal, actions);
    }

    pub(super) fn finish(&mut self, refusal: ChangeRefusal, actions: &mut Vec<ProposerAction<C>>) {
        if let Some(ticket) = self.proposal.take().and_then(|proposal| proposal.ticket) {
            actions.push(ProposerAction::Refused(ticket, refusal));
        }
    }
}

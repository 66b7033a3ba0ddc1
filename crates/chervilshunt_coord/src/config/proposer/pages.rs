//! The pages that a proposal writes, and the deletion of pages that are no longer needed.

use std::sync::Arc;

use chervilshunt_model::Moment;

use super::steps::ProposalStage;
use super::{ChangeRefusal, Proposer, ProposerAction};
use crate::config::head::{HeadRecord, PendingChange};
use crate::config::model::PageKey;
use crate::config::stamp::PageStamp;
use crate::platform::{Object, ObjectName, PlatformOp, PlatformResult};

/// A page that a proposal writes.
#[derive(Clone, Debug, Hash)]
pub(super) struct PageWrite {
    pub(super) key: PageKey,
    pub(super) stamp: PageStamp,
    pub(super) body: Arc<str>,
    pub(super) written: bool,
}

impl<S: Clone, C: Clone> Proposer<S, C> {
    pub(super) fn plan_pages(&mut self, after: &S, keys: Vec<PageKey>, head: &HeadRecord) {
        let model = self.model;
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let id = proposal.id;
        let pages = keys.into_iter().map(|key| {
            let body: Arc<str> = (model.page)(after, &key).into();
            PageWrite {
                stamp: PageStamp::of(&body, id),
                key,
                body,
                written: false,
            }
        });
        let pages: Vec<_> = pages.collect();
        let dropped = std::mem::replace(&mut proposal.pages, pages);
        let dropped = dropped
            .iter()
            .filter(|old| proposal.pages.iter().all(|new| new.stamp != old.stamp));
        proposal
            .unused
            .extend(dropped.map(|old| old.stamp.page_name(&old.key)));
        proposal.garbage.clone_from(&head.garbage);
    }

    pub(super) fn write_next_page(&mut self, actions: &mut Vec<ProposerAction<C>>) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let ProposalStage::WritingPages(None, head, version) = &proposal.stage else {
            return;
        };
        if let Some(page) = proposal.pages.iter().find(|page| !page.written) {
            let object = Object::Page {
                name: page.stamp.page_name(&page.key),
                body: Arc::clone(&page.body),
            };
            let call = self.calls.call(PlatformOp::Create(object));
            proposal.stage =
                ProposalStage::WritingPages(Some(call.id), head.clone(), version.clone());
            actions.push(ProposerAction::Call(call));
            return;
        }
        let pending = PendingChange {
            change: proposal.id,
            proposer: self.me.clone(),
            pages: proposal.stamps(),
        };
        let next = Box::new(head.with_pending(pending));
        let op = PlatformOp::Update(Object::Head(next.clone()), version.clone());
        let call = self.calls.call(op);
        proposal.stage = ProposalStage::WritingPending(call.id, next);
        actions.push(ProposerAction::Call(call));
    }

    pub(super) fn on_page_written(
        &mut self,
        result: &PlatformResult,
        now: Moment,
        actions: &mut Vec<ProposerAction<C>>,
    ) {
        let retry_every = self.cfg.retry_every;
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if let ProposalStage::WritingPages(call, ..) = &mut proposal.stage {
            *call = None;
        }
        match result {
            // Only this change writes pages with these names, so an existing page is its own.
            PlatformResult::Written(_) | PlatformResult::AlreadyExists => {
                if let Some(page) = proposal.pages.iter_mut().find(|page| !page.written) {
                    page.written = true;
                }
                self.write_next_page(actions);
            }
            _ if now >= proposal.begin_by => {
                self.finish(ChangeRefusal::PlatformUnavailable, actions);
            }
            _ => proposal.retry_at = now + retry_every,
        }
    }

    /// Deletes the pages that no instance can need any more.
    ///
    /// Pages that this change replaces are kept until the next change, because an instance that
    /// read the head just before may still be loading them.
    pub(super) fn delete_unused_pages(
        &mut self,
        accepted: bool,
        actions: &mut Vec<ProposerAction<C>>,
    ) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let mut names = std::mem::take(&mut proposal.unused);
        if accepted {
            names.append(&mut proposal.garbage);
        } else {
            let own = proposal.pages.iter();
            names.extend(own.map(|page| page.stamp.page_name(&page.key)));
        }
        for name in names {
            let call = self
                .calls
                .call(PlatformOp::Delete(ObjectName::Page(name), None));
            actions.push(ProposerAction::Call(call));
        }
    }
}

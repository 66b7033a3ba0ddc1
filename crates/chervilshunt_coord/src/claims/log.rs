//! The log of one shard's claims, stored in the platform.

use std::collections::VecDeque;
use std::time::Duration;

use chervilshunt_model::{Epoch, Moment};

use super::record::{ClaimEntry, ClaimPage, ClaimPageName};
use crate::holder::Holder;
use crate::platform::{
    CallId, CallPurpose, Calls, Object, ObjectName, PlatformCall, PlatformOp, PlatformResult,
    StoredObject,
};

/// The effect of a platform call's result on the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LogEvent {
    /// The pages written by earlier keepers, oldest first; the log is ready.
    Loaded(Vec<ClaimPage>),
    /// The page that was being written is recorded.
    Recorded(ClaimPage),
    /// The platform does not answer; the current operation is retried.
    Failed,
    /// Another keeper writes the log; this keeper no longer may.
    Superseded,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum LogState {
    /// The pages have yet to be listed.
    ListDue,
    Listing(CallId),
    /// The first page of this keeper is being written; holds the pages listed before.
    Sealing(CallId, Vec<ClaimPage>),
    Idle,
    Writing(CallId, ClaimPage),
    /// The write may have succeeded: the page has to be read back.
    Unconfirmed(ClaimPage),
    Confirming(CallId, ClaimPage),
    Superseded,
}

/// Appends pages to the log, each under the next sequence number.
///
/// Pages are created and never changed, so two keepers cannot both write the same sequence number.
/// A keeper starts by writing an empty page of its own. After that, any page that an earlier keeper
/// still tries to write, for example after a pause of its process, fails, and the claims in it are
/// not granted. This does not depend on leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ClaimLog {
    shard: u32,
    me: Holder,
    epoch: Epoch,
    calls: Calls,
    retry_every: Duration,
    next: u64,
    state: LogState,
    retry_at: Moment,
    /// The sequence numbers of the pages in the platform, with the time at which each was recorded
    /// or read, oldest first.
    pages: VecDeque<(u64, Moment)>,
}

impl ClaimLog {
    pub(super) const fn new(
        shard: u32,
        me: Holder,
        epoch: Epoch,
        machine: u32,
        retry_every: Duration,
        now: Moment,
    ) -> Self {
        Self {
            shard,
            me,
            epoch,
            calls: Calls::new(machine, CallPurpose::Claims),
            retry_every,
            next: 0,
            state: LogState::ListDue,
            retry_at: now,
            pages: VecDeque::new(),
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.state == LogState::Idle
    }

    pub(super) fn is_superseded(&self) -> bool {
        self.state == LogState::Superseded
    }

    /// Returns when [`Self::advance`] next has a call to make.
    pub(super) fn next_wakeup(&self) -> Option<Moment> {
        matches!(self.state, LogState::ListDue | LogState::Unconfirmed(_)).then_some(self.retry_at)
    }

    /// Returns the next call that is due, if any.
    pub(super) fn advance(&mut self, now: Moment) -> Option<PlatformCall> {
        if now < self.retry_at {
            return None;
        }
        let call = match &self.state {
            LogState::ListDue => {
                let call = self.calls.call(PlatformOp::ListClaims(self.shard));
                self.state = LogState::Listing(call.id);
                call
            }
            LogState::Unconfirmed(page) => {
                let page = page.clone();
                let call = self
                    .calls
                    .call(PlatformOp::Read(ObjectName::Claims(page.name)));
                self.state = LogState::Confirming(call.id, page);
                call
            }
            LogState::Listing(_)
            | LogState::Sealing(..)
            | LogState::Idle
            | LogState::Writing(..)
            | LogState::Confirming(..)
            | LogState::Superseded => return None,
        };
        Some(call)
    }

    /// Starts to write a page; may be called only while idle.
    pub(super) fn append(&mut self, entries: Vec<ClaimEntry>) -> PlatformCall {
        let page = self.page(entries);
        let object = Object::Claims(page.clone());
        let call = self.calls.call(PlatformOp::Create(object));
        self.state = LogState::Writing(call.id, page);
        call
    }

    /// Returns the pages recorded or read before `before`, oldest first, without the last page.
    ///
    /// If the last page were deleted, the next keeper would start again at sequence number 0.
    pub(super) fn pages_before(&self, before: Moment) -> impl Iterator<Item = u64> {
        let all_but_last = self.pages.len().saturating_sub(1);
        self.pages
            .iter()
            .take(all_but_last)
            .take_while(move |(_, at)| *at < before)
            .map(|(sequence, _)| *sequence)
    }

    /// Deletes the oldest page.
    pub(super) fn delete_oldest(&mut self) -> Option<PlatformCall> {
        let (sequence, _) = self.pages.pop_front()?;
        let name = ClaimPageName {
            shard: self.shard,
            sequence,
        };
        Some(
            self.calls
                .call(PlatformOp::Delete(ObjectName::Claims(name), None)),
        )
    }

    /// Handles the result of a call; returns its effect on the log and the next call.
    pub(super) fn on_reply(
        &mut self,
        call: CallId,
        result: PlatformResult,
        now: Moment,
    ) -> (Option<LogEvent>, Option<PlatformCall>) {
        let state = std::mem::replace(&mut self.state, LogState::Superseded);
        match state {
            LogState::Listing(id) if id == call => self.on_listed(result, now),
            LogState::Sealing(id, pages) if id == call => {
                (self.on_sealed(pages, &result, now), None)
            }
            LogState::Writing(id, page) if id == call => {
                (self.on_written(page, &result, now), None)
            }
            LogState::Confirming(id, page) if id == call => self.on_read_back(page, result, now),
            other => {
                self.state = other;
                (None, None)
            }
        }
    }

    fn page(&self, entries: Vec<ClaimEntry>) -> ClaimPage {
        ClaimPage {
            name: ClaimPageName {
                shard: self.shard,
                sequence: self.next,
            },
            writer: self.me.clone(),
            epoch: self.epoch,
            entries,
        }
    }

    fn on_listed(
        &mut self,
        result: PlatformResult,
        now: Moment,
    ) -> (Option<LogEvent>, Option<PlatformCall>) {
        let PlatformResult::Listed(objects) = result else {
            self.list_again(now);
            return (Some(LogEvent::Failed), None);
        };
        let mut pages: Vec<_> = objects.into_iter().filter_map(claim_page).collect();
        pages.sort_by_key(|page| page.name.sequence);
        if pages.last().is_some_and(|last| last.epoch > self.epoch) {
            return (Some(LogEvent::Superseded), None);
        }
        self.next = pages.last().map_or(0, |last| last.name.sequence + 1);
        let seal = Object::Claims(self.page(Vec::new()));
        let call = self.calls.call(PlatformOp::Create(seal));
        self.state = LogState::Sealing(call.id, pages);
        (None, Some(call))
    }

    fn on_sealed(
        &mut self,
        pages: Vec<ClaimPage>,
        result: &PlatformResult,
        now: Moment,
    ) -> Option<LogEvent> {
        if let PlatformResult::Written(_) = result {
            return Some(self.loaded(pages, now));
        }
        // The sequence number may be taken, either by an earlier keeper's last page or by this
        // keeper's own first page whose answer was lost. Listing the pages again shows which.
        self.list_again(now);
        (!result.is_answer()).then_some(LogEvent::Failed)
    }

    fn loaded(&mut self, pages: Vec<ClaimPage>, now: Moment) -> LogEvent {
        self.pages = pages.iter().map(|page| (page.name.sequence, now)).collect();
        self.pages.push_back((self.next, now));
        self.next += 1;
        self.state = LogState::Idle;
        LogEvent::Loaded(pages)
    }

    fn on_written(
        &mut self,
        page: ClaimPage,
        result: &PlatformResult,
        now: Moment,
    ) -> Option<LogEvent> {
        if let PlatformResult::Written(_) = result {
            return Some(self.recorded(page, now));
        }
        let answered = result.is_answer();
        self.state = LogState::Unconfirmed(page);
        self.retry_at = if answered {
            now
        } else {
            now + self.retry_every
        };
        (!answered).then_some(LogEvent::Failed)
    }

    fn on_read_back(
        &mut self,
        page: ClaimPage,
        result: PlatformResult,
        now: Moment,
    ) -> (Option<LogEvent>, Option<PlatformCall>) {
        match result {
            PlatformResult::Found(stored) => match claim_page(stored) {
                Some(found) if found.writer == self.me && found.epoch == self.epoch => {
                    (Some(self.recorded(found, now)), None)
                }
                _ => (Some(LogEvent::Superseded), None),
            },
            PlatformResult::NotFound => {
                let call = self
                    .calls
                    .call(PlatformOp::Create(Object::Claims(page.clone())));
                self.state = LogState::Writing(call.id, page);
                (None, Some(call))
            }
            PlatformResult::Listed(_)
            | PlatformResult::Written(_)
            | PlatformResult::Conflict
            | PlatformResult::AlreadyExists
            | PlatformResult::Unavailable
            | PlatformResult::Unknown => {
                self.state = LogState::Unconfirmed(page);
                self.retry_at = now + self.retry_every;
                (Some(LogEvent::Failed), None)
            }
        }
    }

    fn recorded(&mut self, page: ClaimPage, now: Moment) -> LogEvent {
        self.pages.push_back((self.next, now));
        self.next += 1;
        self.state = LogState::Idle;
        LogEvent::Recorded(page)
    }

    fn list_again(&mut self, now: Moment) {
        self.state = LogState::ListDue;
        self.retry_at = now + self.retry_every;
    }
}

fn claim_page(stored: StoredObject) -> Option<ClaimPage> {
    match stored.object {
        Object::Claims(page) => Some(page),
        Object::Lease(_) | Object::Assignment(_) | Object::Head(_) | Object::Page { .. } => None,
    }
}

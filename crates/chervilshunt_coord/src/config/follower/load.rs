//! Loads the pages that the head refers to and that are not in force yet.

use std::collections::BTreeMap;
use std::sync::Arc;

use chervilshunt_model::{Moment, Revision};

use super::{ConfigFollower, ConfigInForce, FollowerAction};
use crate::config::model::PageKey;
use crate::config::stamp::PageStamp;
use crate::platform::{CallId, Object, ObjectName, PlatformOp, PlatformResult, StoredObject};

/// A configuration whose pages are being loaded.
#[derive(Clone, Debug, Hash)]
pub(super) struct ConfigLoad<S> {
    state: S,
    pages: BTreeMap<PageKey, PageStamp>,
    reads: BTreeMap<CallId, (PageKey, PageStamp)>,
}

impl<S> ConfigLoad<S> {
    pub(super) fn is_reading(&self) -> bool {
        !self.reads.is_empty()
    }

    fn is_reading_page(&self, key: &PageKey) -> bool {
        self.reads.values().any(|(reading, _)| reading == key)
    }
}

impl<S: Clone, C: Clone> ConfigFollower<S, C> {
    pub(super) fn is_behind(&self, revision: Revision) -> bool {
        self.in_force
            .as_ref()
            .is_none_or(|in_force| in_force.revision < revision)
    }

    /// Starts to load the configuration that the head refers to, if it is newer than the one in
    /// force.
    pub(super) fn load_if_behind(&mut self, now: Moment, actions: &mut Vec<FollowerAction<S, C>>) {
        let Some((head, _)) = &self.head else {
            return;
        };
        let reverts = self.bugs.has(crate::bugs::Bug::StaleHeadAccepted);
        let differs = self
            .in_force
            .as_ref()
            .is_none_or(|in_force| in_force.revision != head.revision);
        let must_load = self.is_behind(head.revision) || (reverts && differs);
        if !must_load {
            self.loading = None;
            self.behind_since = None;
            return;
        }
        if self.in_force.is_some() {
            self.behind_since.get_or_insert(now);
        }
        if self.loading.is_none() {
            let (state, pages) = match &self.in_force {
                Some(in_force) => ((*in_force.state).clone(), (*in_force.pages).clone()),
                None => ((self.model.empty)(), BTreeMap::new()),
            };
            self.loading = Some(ConfigLoad {
                state,
                pages,
                reads: BTreeMap::new(),
            });
        }
        self.finish_loading(actions);
    }

    /// Starts the next reads of missing pages, up to
    /// [`FollowerConfig::reads_at_a_time`](super::FollowerConfig::reads_at_a_time).
    pub(super) fn read_pages(&mut self, now: Moment, actions: &mut Vec<FollowerAction<S, C>>) {
        let Some((head, _)) = &self.head else {
            return;
        };
        let Some(loading) = &mut self.loading else {
            return;
        };
        if now < self.load_retry_at {
            return;
        }
        let missing = head
            .pages
            .iter()
            .filter(|(key, stamp)| loading.pages.get(*key) != Some(*stamp));
        let missing: Vec<_> = missing
            .filter(|(key, _)| !loading.is_reading_page(key))
            .take(self.cfg.reads_at_a_time.saturating_sub(loading.reads.len()))
            .collect();
        for (key, stamp) in missing {
            let name = ObjectName::Page(stamp.page_name(key));
            let call = self.calls.call(PlatformOp::Read(name));
            loading.reads.insert(call.id, (key.clone(), *stamp));
            actions.push(FollowerAction::Call(call));
        }
    }

    pub(super) fn on_page(
        &mut self,
        call: CallId,
        result: PlatformResult,
        now: Moment,
        actions: &mut Vec<FollowerAction<S, C>>,
    ) {
        let Some(loading) = &mut self.loading else {
            return;
        };
        let Some((key, stamp)) = loading.reads.remove(&call) else {
            return;
        };
        let body = match result {
            PlatformResult::Found(StoredObject {
                object: Object::Page { body, .. },
                ..
            }) if stamp.matches_body(&body) => body,
            PlatformResult::NotFound => {
                // The page was deleted, because at least two changes were accepted since the head
                // was read.
                self.read_soon(now);
                self.load_retry_at = now + self.cfg.retry_every;
                return;
            }
            PlatformResult::Found(_)
            | PlatformResult::Listed(_)
            | PlatformResult::Written(_)
            | PlatformResult::Conflict
            | PlatformResult::AlreadyExists
            | PlatformResult::Unavailable
            | PlatformResult::Unknown => {
                self.load_retry_at = now + self.cfg.retry_every;
                return;
            }
        };
        match (self.model.with_page)(&loading.state, &key, &body) {
            Ok(state) => {
                loading.state = state;
                loading.pages.insert(key, stamp);
            }
            Err(_) => self.load_retry_at = now + self.cfg.retry_every,
        }
        self.finish_loading(actions);
    }

    fn finish_loading(&mut self, actions: &mut Vec<FollowerAction<S, C>>) {
        let Some((head, _)) = &self.head else {
            return;
        };
        let done = self
            .loading
            .as_ref()
            .is_some_and(|loading| loading.pages == head.pages);
        if !done {
            return;
        }
        let revision = head.revision;
        let Some(loading) = self.loading.take() else {
            return;
        };
        let next = ConfigInForce {
            state: Arc::new((self.model.at_revision)(&loading.state, revision)),
            revision,
            pages: Arc::new(loading.pages),
        };
        self.put_in_force(next, actions);
    }

    pub(super) fn put_in_force(
        &mut self,
        next: ConfigInForce<S>,
        actions: &mut Vec<FollowerAction<S, C>>,
    ) {
        let reached = self
            .head()
            .is_none_or(|head| head.revision <= next.revision);
        if reached {
            self.behind_since = None;
            self.loading = None;
        }
        self.in_force = Some(next.clone());
        actions.push(FollowerAction::ConfigInForce(next));
    }
}

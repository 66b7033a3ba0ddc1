//! Changes that were acknowledged and whose outcome is not known yet.

use std::sync::Arc;

use chervilshunt_model::{ChangeId, InstanceId, Moment, Revision};

use super::{ConfigFollower, ConfigInForce, FollowerAction};
use crate::config::message::{ConfigMessage, Prepare};
use crate::config::model::PageKey;
use crate::config::stamp::PageStamp;

/// A change that was acknowledged.
#[derive(Clone, Debug, Hash)]
pub(super) struct PreparedChange<S> {
    pub(super) change: ChangeId,
    pub(super) generation: u64,
    pub(super) base: Revision,
    /// The configuration after the change; `None` if it has to be loaded once the change is
    /// accepted.
    pub(super) after: Option<NextConfig<S>>,
    pub(super) proposer: Option<InstanceId>,
    pub(super) since: Moment,
    pub(super) ask_at: Moment,
}

/// The configuration after a change.
#[derive(Clone, Debug, Hash)]
pub(super) struct NextConfig<S> {
    state: Arc<S>,
    /// The pages that the change replaces.
    stamps: Vec<(PageKey, PageStamp)>,
}

impl<S: Clone, C: Clone> ConfigFollower<S, C> {
    pub(super) fn on_message(
        &mut self,
        from: &InstanceId,
        message: ConfigMessage<C>,
        now: Moment,
        actions: &mut Vec<FollowerAction<S, C>>,
    ) {
        match message {
            ConfigMessage::Prepare(prepare) => self.on_prepare(from, &prepare, now, actions),
            ConfigMessage::Decided {
                change,
                generation,
                accepted,
            } => self.on_decided(change, generation, accepted, now, actions),
            ConfigMessage::AskDecision { change } => self.on_ask(from, change, actions),
            ConfigMessage::Forward { to, message } => {
                let sends = to
                    .into_iter()
                    .map(|to| FollowerAction::Send(to, (*message).clone()));
                actions.extend(sends);
            }
            ConfigMessage::Acknowledge { .. } => {}
        }
    }

    fn on_prepare(
        &mut self,
        from: &InstanceId,
        prepare: &Prepare<C>,
        now: Moment,
        actions: &mut Vec<FollowerAction<S, C>>,
    ) {
        let decided_since = self.head().is_some_and(|head| {
            let pending = head.pending.as_ref().map(|pending| pending.change);
            head.generation > prepare.generation && pending != Some(prepare.change)
        });
        if !self.started || prepare.generation <= self.decided || decided_since {
            return;
        }
        let is_known = self.prepared.as_ref().is_some_and(|prepared| {
            prepared.change == prepare.change && prepared.generation == prepare.generation
        });
        let refusal = if is_known {
            None
        } else {
            self.prepare(prepare, now).err()
        };
        let message = ConfigMessage::Acknowledge {
            change: prepare.change,
            generation: prepare.generation,
            holder: self.me.clone(),
            proposer: prepare.proposer.clone(),
            refusal,
        };
        actions.push(FollowerAction::Send(from.clone(), message));
    }

    /// Computes the configuration after a change and keeps it until the change is decided.
    fn prepare(&mut self, prepare: &Prepare<C>, now: Moment) -> Result<(), String> {
        let base = self
            .in_force
            .as_ref()
            .filter(|in_force| in_force.revision == prepare.base);
        let after = match base {
            None => {
                // The base revision is not loaded. The change is acknowledged all the same: the
                // acknowledgement only promises that no work is taken under an older configuration
                // once the change is accepted.
                self.behind_since.get_or_insert(now);
                self.read_soon(now);
                None
            }
            Some(in_force) => {
                let (after, keys) = (self.model.apply)(&in_force.state, &prepare.body)?;
                let stamps = keys.into_iter().map(|key| {
                    let body = (self.model.page)(&after, &key);
                    let stamp = PageStamp::of(&body, prepare.change);
                    (key, stamp)
                });
                let stamps: Vec<_> = stamps.collect();
                let same = stamps == prepare.pages;
                same.then(|| NextConfig {
                    state: Arc::new(after),
                    stamps,
                })
            }
        };
        self.set_prepared(PreparedChange {
            change: prepare.change,
            generation: prepare.generation,
            base: prepare.base,
            after,
            proposer: Some(prepare.proposer.clone()),
            since: now,
            ask_at: now + self.cfg.ask_after,
        });
        Ok(())
    }

    fn set_prepared(&mut self, prepared: PreparedChange<S>) {
        // An earlier prepared change has been decided, because only one change is pending at a
        // time. Its outcome is found in the head, which is read because the base revision then
        // differs.
        self.prepared = Some(prepared);
    }

    fn on_decided(
        &mut self,
        change: ChangeId,
        generation: u64,
        accepted: Option<Revision>,
        now: Moment,
        actions: &mut Vec<FollowerAction<S, C>>,
    ) {
        if generation <= self.decided {
            return;
        }
        self.decided = generation;
        self.pending_since = self.pending_since.filter(|(since, _)| *since >= generation);
        let is_mine = self
            .prepared
            .as_ref()
            .is_some_and(|prepared| prepared.change == change && prepared.generation < generation);
        if is_mine {
            self.finish_prepared(accepted, now, actions);
        } else if accepted.is_some_and(|revision| self.is_behind(revision)) {
            self.behind_since.get_or_insert(now);
            self.read_soon(now);
        }
    }

    /// Completes the prepared change if the head shows its outcome.
    pub(super) fn settle_prepared(&mut self, now: Moment, actions: &mut Vec<FollowerAction<S, C>>) {
        let Some((head, _)) = &self.head else {
            return;
        };
        if head.pending.is_none() {
            self.decided = self.decided.max(head.generation);
        }
        let Some(prepared) = &self.prepared else {
            return;
        };
        let still_pending = head
            .pending
            .as_ref()
            .is_some_and(|pending| pending.change == prepared.change);
        if head.generation <= prepared.generation || still_pending {
            return;
        }
        let accepted = head.outcome(prepared.change).flatten();
        self.finish_prepared(accepted, now, actions);
    }

    fn finish_prepared(
        &mut self,
        accepted: Option<Revision>,
        now: Moment,
        actions: &mut Vec<FollowerAction<S, C>>,
    ) {
        let Some(prepared) = self.prepared.take() else {
            return;
        };
        let Some(revision) = accepted else {
            return;
        };
        let base = self
            .in_force
            .as_ref()
            .filter(|in_force| in_force.revision == prepared.base);
        match (base, prepared.after) {
            (Some(in_force), Some(NextConfig { state, stamps })) => {
                let mut pages = (*in_force.pages).clone();
                pages.extend(stamps);
                let next = ConfigInForce {
                    state,
                    revision,
                    pages: Arc::new(pages),
                };
                self.put_in_force(next, actions);
            }
            _ if self.is_behind(revision) => {
                self.behind_since.get_or_insert(now);
                self.read_soon(now);
            }
            _ => {}
        }
    }

    fn on_ask(&self, from: &InstanceId, change: ChangeId, actions: &mut Vec<FollowerAction<S, C>>) {
        let Some((head, _)) = &self.head else {
            return;
        };
        let Some(accepted) = head.outcome(change) else {
            return;
        };
        let message = ConfigMessage::Decided {
            change,
            generation: head.generation,
            accepted,
        };
        actions.push(FollowerAction::Send(from.clone(), message));
    }

    /// Asks the proposer and a few peers for an overdue decision, and has the head read.
    pub(super) fn ask_for_decision(
        &mut self,
        now: Moment,
        actions: &mut Vec<FollowerAction<S, C>>,
    ) {
        let ask_after = self.cfg.ask_after;
        let Some(prepared) = self.prepared.as_mut().filter(|held| now >= held.ask_at) else {
            return;
        };
        prepared.ask_at = now + ask_after;
        let message = ConfigMessage::AskDecision {
            change: prepared.change,
        };
        if let Some(proposer) = &prepared.proposer {
            actions.push(FollowerAction::Send(proposer.clone(), message.clone()));
        }
        self.read_soon(now);
        actions.push(FollowerAction::AskPeers(message));
    }

    /// Returns when a pending change is acknowledged by way of the lease because no request to
    /// acknowledge it has arrived.
    pub(super) fn acknowledge_unasked_at(&self) -> Option<Moment> {
        let (generation, since) = self.pending_since?;
        let asked = self
            .prepared
            .as_ref()
            .is_some_and(|prepared| prepared.generation >= generation);
        (!asked && generation > self.decided).then(|| since + self.cfg.acknowledge_unasked_after)
    }

    /// Acknowledges by way of the lease a change that is pending in the head and that no instance
    /// has asked about.
    ///
    /// Thus a broken link between two instances that both reach the platform does not block a
    /// change.
    pub(super) fn acknowledge_unasked(
        &mut self,
        now: Moment,
        actions: &mut Vec<FollowerAction<S, C>>,
    ) {
        if self.acknowledge_unasked_at().is_none_or(|at| now < at) {
            return;
        }
        let Some((head, _)) = &self.head else {
            return;
        };
        let Some(pending) = &head.pending else {
            return;
        };
        let generation = head.generation;
        let prepared = PreparedChange {
            change: pending.change,
            generation,
            base: head.revision,
            after: None,
            proposer: Some(pending.proposer.instance.clone()),
            since: now,
            ask_at: now + self.cfg.ask_after,
        };
        self.set_prepared(prepared);
        actions.push(FollowerAction::AcknowledgeByLease(generation));
    }
}

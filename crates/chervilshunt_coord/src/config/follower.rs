//! Keeps the configuration in force up to date, acknowledges changes and follows their outcomes.

mod load;
mod prepared;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::{InstanceId, Moment, Revision};

use self::load::ConfigLoad;
use self::prepared::PreparedChange;
use super::head::{Elector, HeadRecord};
use super::message::ConfigMessage;
use super::model::{ConfigModel, PageKey};
use super::stamp::PageStamp;
use crate::bugs::{Bug, Bugs};
use crate::hashing::jittered;
use crate::holder::Holder;
use crate::platform::{
    CallId, CallPurpose, Calls, Object, ObjectName, ObjectVersion, PlatformCall, PlatformOp,
    PlatformResult, StoredObject,
};

/// Configuration of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FollowerConfig {
    /// The delay before a failed call to the platform is retried.
    pub retry_every: Duration,
    /// How long after an acknowledgement the follower asks for a decision that has not arrived.
    pub ask_after: Duration,
    /// How long after an acknowledgement without a decision, or after seeing a newer revision that
    /// is not loaded yet, no new work is taken.
    pub stop_after: Duration,
    /// How long a change may stay pending in the head before its proposer is presumed dead.
    pub abandon_after: Duration,
    /// How long after a change is seen in the head it is acknowledged by way of the lease if no
    /// request to acknowledge it has arrived.
    pub acknowledge_unasked_after: Duration,
    /// The interval at which the head is read in case a watch has missed an event.
    pub read_every: Duration,
    /// The maximum number of concurrent page reads.
    pub reads_at_a_time: usize,
}

impl Default for FollowerConfig {
    fn default() -> Self {
        Self {
            retry_every: Duration::from_millis(500),
            ask_after: Duration::from_secs(1),
            stop_after: Duration::from_secs(3),
            abandon_after: Duration::from_secs(8),
            acknowledge_unasked_after: Duration::from_millis(700),
            read_every: Duration::from_secs(120),
            reads_at_a_time: 8,
        }
    }
}

/// An input to a follower.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerEvent<C> {
    /// This instance's lease exists, so that every change proposed from now on waits for this run
    /// of the instance: the head may be read.
    Start,
    /// The head may have changed unobserved and has to be read.
    Recheck,
    /// The head was read or reported by a watch; it may be stale.
    HeadSeen(Box<HeadRecord>, ObjectVersion),
    /// A message from another instance.
    Message(InstanceId, ConfigMessage<C>),
    /// A call to the platform has ended.
    Reply(CallId, PlatformResult),
    /// Time has passed.
    Tick,
}

/// An action for the driver of a follower to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerAction<S, C> {
    /// Call the platform.
    Call(PlatformCall),
    /// Send a message to an instance.
    Send(InstanceId, ConfigMessage<C>),
    /// Ask a few instances how a change ended.
    AskPeers(ConfigMessage<C>),
    /// Record in this instance's lease that the change written at this generation of the head is
    /// acknowledged.
    AcknowledgeByLease(u64),
    /// This configuration is in force from now on.
    ConfigInForce(ConfigInForce<S>),
}

/// A configuration in force.
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct ConfigInForce<S> {
    /// The configuration.
    pub state: Arc<S>,
    /// The revision of the configuration.
    pub revision: Revision,
    /// The pages that make up the configuration, each with the stamp of its content.
    pub pages: Arc<BTreeMap<PageKey, PageStamp>>,
}

/// Keeps the configuration in force up to date, acknowledges changes and follows their outcomes.
///
/// After acknowledging a change, a follower depends on receiving the decision. If none arrives
/// within [`FollowerConfig::stop_after`], it stops taking new work, because other instances may
/// already be using the new configuration. It resumes only once it learns of a decision that is
/// written into the head.
#[derive(Clone, Debug, Hash)]
pub struct ConfigFollower<S, C> {
    cfg: FollowerConfig,
    model: ConfigModel<S, C>,
    me: Holder,
    elector: Elector,
    calls: Calls,
    started: bool,
    /// Whether the head was read after the lease was created.
    has_read: bool,
    reading: Option<CallId>,
    read_at: Option<Moment>,
    creating: Option<CallId>,
    head: Option<(HeadRecord, ObjectVersion)>,
    in_force: Option<ConfigInForce<S>>,
    loading: Option<ConfigLoad<S>>,
    load_retry_at: Moment,
    prepared: Option<PreparedChange<S>>,
    /// The generation of the latest known decision, from the head or from a peer.
    decided: u64,
    behind_since: Option<Moment>,
    pending_since: Option<(u64, Moment)>,
    clearing: Option<CallId>,
    head_reads: u64,
    bugs: Bugs,
}

impl<S: Clone, C: Clone> ConfigFollower<S, C> {
    /// Creates a follower; it reads nothing before [`FollowerEvent::Start`].
    pub fn new(
        cfg: FollowerConfig,
        model: ConfigModel<S, C>,
        me: Holder,
        elector: Elector,
    ) -> Self {
        Self::with_machine(cfg, model, me, elector, 0)
    }

    /// Like [`Self::new`], with calls numbered as those of `machine`.
    pub(crate) fn with_machine(
        cfg: FollowerConfig,
        model: ConfigModel<S, C>,
        me: Holder,
        elector: Elector,
        machine: u32,
    ) -> Self {
        Self {
            cfg,
            model,
            me,
            elector,
            calls: Calls::new(machine, CallPurpose::Configuration),
            started: false,
            has_read: false,
            reading: None,
            read_at: None,
            creating: None,
            head: None,
            in_force: None,
            loading: None,
            load_retry_at: Moment::ZERO,
            prepared: None,
            decided: 0,
            behind_since: None,
            pending_since: None,
            clearing: None,
            head_reads: 0,
            bugs: Bugs::default(),
        }
    }

    #[cfg(test)]
    pub(crate) fn seed(&mut self, bugs: Bugs) {
        self.bugs = bugs;
    }

    /// Restarts under another incarnation after the lease was lost.
    ///
    /// The configuration in force is kept, but it is not known to be the latest until the head has
    /// been read again.
    pub(crate) fn begin_anew(&mut self, me: Holder) {
        self.me = me;
        self.started = false;
        self.has_read = false;
        self.reading = None;
        self.read_at = None;
    }

    /// Returns the configuration in force, if one is loaded.
    pub const fn in_force(&self) -> Option<&ConfigInForce<S>> {
        self.in_force.as_ref()
    }

    /// Returns the latest head that was seen.
    pub fn head(&self) -> Option<&HeadRecord> {
        self.head.as_ref().map(|(head, _)| head)
    }

    /// Returns the latest head with its version.
    pub(crate) const fn stored_head(&self) -> Option<&(HeadRecord, ObjectVersion)> {
        self.head.as_ref()
    }

    /// Returns whether a configuration is in force and known to be the latest.
    pub fn is_settled(&self) -> bool {
        self.in_force.is_some()
            && self.has_read
            && self.prepared.is_none()
            && self.behind_since.is_none()
            && self.pending_since.is_none()
    }

    /// Returns whether new work may be taken under the configuration in force.
    pub fn may_take_work(&self, now: Moment) -> bool {
        self.in_force.is_some() && self.stops_at().is_none_or(|at| now < at)
    }

    /// Returns when new work must no longer be taken unless a decision or a newer configuration
    /// arrives before.
    pub fn stops_at(&self) -> Option<Moment> {
        let undecided = self.prepared.as_ref().map(|prepared| prepared.since);
        let undecided = undecided.filter(|_| !self.bugs.has(Bug::UndecidedTakesWork));
        let since = undecided.into_iter().chain(self.behind_since).min()?;
        Some(since + self.cfg.stop_after)
    }

    /// Returns when the next [`FollowerEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let read = self.read_at.filter(|_| self.reading.is_none());
        let load = self
            .loading
            .as_ref()
            .filter(|loading| !loading.is_reading())
            .map(|_| self.load_retry_at);
        let ask = self.prepared.as_ref().map(|prepared| prepared.ask_at);
        let clear = self.clear_at().filter(|_| self.clearing.is_none());
        let unasked = self.acknowledge_unasked_at();
        let times = [read, load, ask, clear, unasked, self.stops_at()];
        times.into_iter().flatten().min()
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, event: FollowerEvent<C>, now: Moment) -> Vec<FollowerAction<S, C>> {
        let mut actions = Vec::new();
        match event {
            FollowerEvent::Start => {
                self.started = true;
                self.read_at = Some(now);
            }
            FollowerEvent::Recheck => self.read_soon(now),
            FollowerEvent::HeadSeen(head, version) => {
                self.on_head(*head, version, now, &mut actions)
            }
            FollowerEvent::Message(from, message) => {
                self.on_message(&from, message, now, &mut actions);
            }
            FollowerEvent::Reply(call, result) => self.on_reply(call, result, now, &mut actions),
            FollowerEvent::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    fn on_reply(
        &mut self,
        call: CallId,
        result: PlatformResult,
        now: Moment,
        actions: &mut Vec<FollowerAction<S, C>>,
    ) {
        if self.reading == Some(call) {
            self.reading = None;
            self.on_head_read(result, now, actions);
        } else if self.creating == Some(call) || self.clearing == Some(call) {
            self.creating = self.creating.filter(|id| *id != call);
            self.clearing = self.clearing.filter(|id| *id != call);
            self.read_at = Some(now);
        } else {
            self.on_page(call, result, now, actions);
        }
    }

    fn on_head_read(
        &mut self,
        result: PlatformResult,
        now: Moment,
        actions: &mut Vec<FollowerAction<S, C>>,
    ) {
        match result {
            PlatformResult::Found(StoredObject {
                object: Object::Head(head),
                version,
            }) => {
                self.head_reads += 1;
                let seed = self.me.incarnation.get();
                self.read_at = Some(now + jittered(self.cfg.read_every, seed, self.head_reads));
                self.has_read = true;
                self.on_head(*head, version, now, actions);
            }
            PlatformResult::NotFound if self.head.is_none() => {
                let head = HeadRecord::first(vec![self.elector.clone()]);
                let call = self
                    .calls
                    .call(PlatformOp::Create(Object::Head(Box::new(head))));
                self.creating = Some(call.id);
                self.read_at = None;
                actions.push(FollowerAction::Call(call));
            }
            PlatformResult::Found(_)
            | PlatformResult::NotFound
            | PlatformResult::Listed(_)
            | PlatformResult::Written(_)
            | PlatformResult::Conflict
            | PlatformResult::AlreadyExists
            | PlatformResult::Unavailable
            | PlatformResult::Unknown => {
                self.head_reads += 1;
                let seed = self.me.incarnation.get();
                self.read_at = Some(now + jittered(self.cfg.retry_every, seed, self.head_reads));
            }
        }
    }

    /// Schedules a read of the head for `now`.
    fn read_soon(&mut self, now: Moment) {
        self.read_at = Some(self.read_at.map_or(now, |at| at.min(now)));
    }

    /// Accepts a head if it is newer than the known one.
    fn on_head(
        &mut self,
        head: HeadRecord,
        version: ObjectVersion,
        now: Moment,
        actions: &mut Vec<FollowerAction<S, C>>,
    ) {
        let known = self.head.as_ref().map_or(0, |(head, _)| head.generation);
        // Reads and watches may return old data. Accepting an old head would put an old
        // configuration back in force.
        let stale = head.generation <= known;
        if stale && !self.bugs.has(Bug::StaleHeadAccepted) {
            return;
        }
        if !self.started {
            return;
        }
        let same_pending = head.pending.as_ref().map(|pending| pending.change)
            == self
                .head()
                .and_then(|head| head.pending.as_ref())
                .map(|pending| pending.change);
        if head.pending.is_none() {
            self.pending_since = None;
        } else if !same_pending || self.pending_since.is_none() {
            self.pending_since = Some((head.generation, now));
        }
        self.head = Some((head, version));
        self.settle_prepared(now, actions);
        self.load_if_behind(now, actions);
    }

    fn advance(&mut self, now: Moment, actions: &mut Vec<FollowerAction<S, C>>) {
        if !self.started {
            return;
        }
        self.ask_for_decision(now, actions);
        self.acknowledge_unasked(now, actions);
        self.read_pages(now, actions);
        if self.reading.is_none() && self.read_at.is_some_and(|at| now >= at) {
            let call = self.calls.call(PlatformOp::Read(ObjectName::Head));
            self.reading = Some(call.id);
            actions.push(FollowerAction::Call(call));
        }
        if self.clearing.is_none() && self.clear_at().is_some_and(|at| now >= at) {
            self.clear_abandoned(now, actions);
        }
    }

    /// Returns when a change that is still pending is to be given up in place of its proposer.
    fn clear_at(&self) -> Option<Moment> {
        let (generation, since) = self.pending_since?;
        // The delay differs between instances, so that the first one to give the change up spares
        // the others the call.
        let spread = jittered(
            self.cfg.abandon_after,
            self.me.incarnation.get(),
            generation,
        );
        Some(since + spread)
    }

    fn clear_abandoned(&mut self, now: Moment, actions: &mut Vec<FollowerAction<S, C>>) {
        let Some((head, version)) = &self.head else {
            return;
        };
        let object = Object::Head(Box::new(head.given_up()));
        let call = self.calls.call(PlatformOp::Update(object, version.clone()));
        self.clearing = Some(call.id);
        self.pending_since = self.pending_since.map(|(generation, _)| (generation, now));
        actions.push(FollowerAction::Call(call));
    }
}

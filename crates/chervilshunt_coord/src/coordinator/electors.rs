//! Replaces electors that have left and adds missing ones.

use std::time::Duration;

use chervilshunt_model::Moment;

use super::Coordinator;
use super::drive::log;
use super::types::{CoordAction, DecisionKind};
use crate::config::{Elector, FollowerEvent, HeadRecord};
use crate::hashing::rendezvous_weight;
use crate::lease::{LeaseEvent, LeaseState};
use crate::outage::choose_electors;
use crate::platform::{CallId, CallPurpose, Calls, Object, PlatformOp, PlatformResult};

/// How long an elector must be absent before it is replaced.
///
/// The instance list lags by a different amount on each instance. Without the delay, two instances
/// with different lists would undo each other's choice until the lists agree. Missing electors are
/// added without the delay: a new fleet has a single elector, and while that one alone can vouch,
/// nobody can take over from it.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(10);

/// Below this number of electors, a majority needs all of them, so the failure of any one blocks
/// takeovers and extensions.
///
/// A lease that names fewer, as all leases of a new fleet do, is renewed at once when the
/// electorate changes. All others name the new electorate with their next regular renewal: the
/// whole fleet observes the change at the same time, and would otherwise renew all leases in one
/// burst.
const FEW_ELECTORS: usize = 3;

/// How long an instance waits per instance ranked before it, before it writes the electors itself.
const DELAY_PER_RANK: Duration = Duration::from_millis(500);

/// The largest rank used for the delay; all instances ranked later wait equally long.
const MAX_ELECTOR_RANK: usize = 20;

/// State of the updates of the electors in the head.
#[derive(Debug)]
pub(super) struct ElectorateUpdate {
    calls: Calls,
    planned: Option<(Vec<Elector>, Moment)>,
    writing: Option<(CallId, Box<HeadRecord>)>,
    /// The generation of the head at the last check of the electors.
    checked: Option<u64>,
}

impl ElectorateUpdate {
    pub(super) const fn new(machine: u32) -> Self {
        Self {
            calls: Calls::new(machine, CallPurpose::Membership),
            planned: None,
            writing: None,
            checked: None,
        }
    }

    /// Forces the electors to be checked again.
    pub(super) const fn recheck(&mut self) {
        self.checked = None;
    }

    pub(super) fn next_wakeup(&self) -> Option<Moment> {
        let (_, due) = self.planned.as_ref()?;
        self.writing.is_none().then_some(*due)
    }
}

impl<S: Clone, C: Clone> Coordinator<S, C> {
    /// Writes a new set of electors into the head if some are gone or missing and no other instance
    /// has done so.
    pub(super) fn update_electorate(&mut self, now: Moment, actions: &mut Vec<CoordAction<S, C>>) {
        let Some((head, version)) = self.follower.stored_head() else {
            return;
        };
        let Some(current) = head.electorates.back() else {
            return;
        };
        if self.lease.record().electorate != current.version {
            let named = head.electorate(self.lease.record().electorate);
            let event = LeaseEvent::SetElectorate {
                version: current.version,
                at_once: named.is_some_and(|named| named.electors.len() < FEW_ELECTORS),
            };
            return self.drive_lease(event, now, actions);
        }
        let may_write = self.lease_state == Some(LeaseState::Active)
            && self.lease.is_valid(now)
            && self.list_since.is_some()
            && head.pending.is_none()
            && self.electorate_update.writing.is_none();
        if !may_write {
            return;
        }
        let due = self.electorate_update.planned.as_ref().map(|(_, due)| *due);
        let is_due = due.is_some_and(|due| now >= due);
        if self.electorate_update.checked == Some(head.generation) && !is_due {
            return;
        }
        self.electorate_update.checked = Some(head.generation);
        let mut electors = choose_electors(&current.electors, &self.possible_electors());
        let mut present = current.electors.clone();
        electors.sort();
        present.sort();
        if electors.is_empty() || electors == present {
            self.electorate_update.planned = None;
            return;
        }
        let due = match &self.electorate_update.planned {
            Some((planned, due)) if *planned == electors => *due,
            _ => {
                let only_added = present.iter().all(|elector| electors.contains(elector));
                let delay = if only_added {
                    Duration::ZERO
                } else {
                    REPLACEMENT_DELAY
                };
                now + delay + self.rank_delay()
            }
        };
        if now < due {
            self.electorate_update.planned = Some((electors, due));
            return;
        }
        let next = head.with_electors(electors);
        let op = PlatformOp::Update(Object::Head(Box::new(next.clone())), version.clone());
        let call = self.electorate_update.calls.call(op);
        self.electorate_update.writing = Some((call.id, Box::new(next)));
        self.electorate_update.planned = None;
        actions.push(CoordAction::Platform(call));
        let reason = "an elector is gone, or there are too few";
        log(actions, DecisionKind::ElectorsChanged, None, None, reason);
    }

    pub(super) fn on_electors_written(
        &mut self,
        call: CallId,
        result: PlatformResult,
        now: Moment,
        actions: &mut Vec<CoordAction<S, C>>,
    ) {
        let Some((_, head)) = self
            .electorate_update
            .writing
            .take_if(|(id, _)| *id == call)
        else {
            return;
        };
        let event = match result {
            PlatformResult::Written(version) => FollowerEvent::HeadSeen(head, version),
            _ => FollowerEvent::Recheck,
        };
        self.drive_follower(event, now, actions);
    }

    fn possible_electors(&self) -> Vec<(Elector, chervilshunt_model::ZoneName)> {
        let listed = self
            .list
            .values()
            .filter(|entry| entry.serving && !entry.terminating);
        let electors = listed.map(|entry| {
            let elector = Elector {
                instance: entry.instance.clone(),
                address: entry.peer_address,
            };
            (elector, entry.zone.clone())
        });
        electors.collect()
    }

    fn rank_delay(&self) -> Duration {
        const KEY: &str = "electors";
        let mine = rendezvous_weight(KEY, self.cfg.me.instance.as_str());
        let before = self
            .list
            .keys()
            .filter(|instance| rendezvous_weight(KEY, instance.as_str()) > mine);
        let before = before.take(MAX_ELECTOR_RANK).count();
        DELAY_PER_RANK * u32::try_from(before).unwrap_or(0)
    }
}

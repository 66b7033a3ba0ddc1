//! Replaces electors that are gone.

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

/// How long an elector must have been gone before it is replaced.
///
/// The instance list lags, and differently for each instance: without the wait, two that see
/// different lists would undo each other's choice until all see the same. Electors that are only
/// lacking are added without the wait: a fleet that has just begun has one, and as long as that
/// one alone can vouch, nobody can take over from it.
const SETTLE: Duration = Duration::from_secs(10);

/// With fewer electors than this, none may fail.
///
/// A lease that names them, as all do in a fleet that has just begun, is renewed at once when there
/// are more; else it is left to the next renewals, as the whole fleet learns of it at once.
const FEW_ELECTORS: usize = 3;

/// How long an instance waits for each that comes before it to write the electors.
const TURN: Duration = Duration::from_millis(500);

/// The most turns that are told apart.
const MOST_TURNS: usize = 20;

/// The writing of the electors.
#[derive(Debug)]
pub(super) struct Upkeep {
    calls: Calls,
    wanted: Option<(Vec<Elector>, Moment)>,
    writing: Option<(CallId, Box<HeadRecord>)>,
    /// The head's generation when it was last looked whether the electors are right.
    checked: Option<u64>,
}

impl Upkeep {
    pub(super) const fn new(machine: u32) -> Self {
        Self {
            calls: Calls::new(machine, CallPurpose::Membership),
            wanted: None,
            writing: None,
            checked: None,
        }
    }

    /// Makes the electors be looked at again.
    pub(super) const fn recheck(&mut self) {
        self.checked = None;
    }

    pub(super) fn next_wakeup(&self) -> Option<Moment> {
        let (_, due) = self.wanted.as_ref()?;
        self.writing.is_none().then_some(*due)
    }
}

impl<S: Clone, C: Clone> Coordinator<S, C> {
    /// Writes other electors into the head if some are gone or lacking and nobody else does.
    pub(super) fn keep_up_electors(&mut self, now: Moment, actions: &mut Vec<CoordAction<S, C>>) {
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
            && self.upkeep.writing.is_none();
        if !may_write {
            return;
        }
        let due = self.upkeep.wanted.as_ref().map(|(_, due)| *due);
        let is_due = due.is_some_and(|due| now >= due);
        if self.upkeep.checked == Some(head.generation) && !is_due {
            return;
        }
        self.upkeep.checked = Some(head.generation);
        let mut electors = choose_electors(&current.electors, &self.possible_electors());
        let mut present = current.electors.clone();
        electors.sort();
        present.sort();
        if electors.is_empty() || electors == present {
            self.upkeep.wanted = None;
            return;
        }
        let due = match &self.upkeep.wanted {
            Some((wanted, due)) if *wanted == electors => *due,
            _ => {
                let only_added = present.iter().all(|elector| electors.contains(elector));
                let settle = if only_added { Duration::ZERO } else { SETTLE };
                now + settle + self.turn_to_elect()
            }
        };
        if now < due {
            self.upkeep.wanted = Some((electors, due));
            return;
        }
        let next = head.with_electors(electors);
        let op = PlatformOp::Update(Object::Head(Box::new(next.clone())), version.clone());
        let call = self.upkeep.calls.call(op);
        self.upkeep.writing = Some((call.id, Box::new(next)));
        self.upkeep.wanted = None;
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
        let Some((_, head)) = self.upkeep.writing.take_if(|(id, _)| *id == call) else {
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

    fn turn_to_elect(&self) -> Duration {
        const KEY: &str = "electors";
        let mine = rendezvous_weight(KEY, self.cfg.me.instance.as_str());
        let before = self
            .list
            .keys()
            .filter(|instance| rendezvous_weight(KEY, instance.as_str()) > mine);
        let before = before.take(MOST_TURNS).count();
        TURN * u32::try_from(before).unwrap_or(0)
    }
}

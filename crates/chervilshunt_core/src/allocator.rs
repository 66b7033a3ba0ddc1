//! The power allocator of one site: each target's share of the cap.

mod parking;
mod shares;
mod target;

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_model::{Epoch, Moment, TargetName};

use crate::bugs::{Bug, Bugs};
use crate::{Mechanisms, PolicyWeights};
use parking::Parking;
use target::TargetPower;

/// Bits of a share's number that count within one epoch.
const SEQUENCE_BITS: u32 = 40;

/// Shortest time between two workings-out of the shares; reports of demand come more often.
const WORK_OUT_PAUSE: Duration = Duration::from_millis(250);

/// Time after which a share is sent again that was not confirmed, or not yet kept.
const SEND_AGAIN: Duration = Duration::from_secs(2);

/// What a power allocator has to know of its site and deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PowerConfig {
    /// The power that all targets of the site together may draw, in watts.
    pub cap_watts: f64,
    /// The fencing number under which the role is held; shares are numbered from it upwards, so
    /// that an owner never takes a share of an earlier allocator for a newer one.
    pub epoch: Epoch,
    /// What the deployment minds most.
    pub weights: PolicyWeights,
    /// The mechanisms that are on; all of them outside the bench.
    pub mechanisms: Mechanisms,
}

/// What a power allocator has to react to.
#[derive(Clone, Debug, PartialEq)]
pub enum PowerEvent {
    /// A target stands at the site, drawing at most `drawing` watts until told otherwise.
    TargetJoined {
        /// The target.
        target: TargetName,
        /// Fixed part of a step's power, in watts; without a sequence there is no step.
        idle_watts: f64,
        /// Power of a full batch, in watts.
        full_watts: f64,
        /// The most that it can draw under the last share it is known to hold, in watts.
        drawing: f64,
    },
    /// A target is gone and draws nothing.
    TargetLeft(TargetName),
    /// An owner told how much power its live and its deferrable work could use.
    Demanded {
        /// The target.
        target: TargetName,
        /// Power for live work, in watts.
        live_watts: f64,
        /// Power for deferrable work beside it, in watts.
        deferrable_watts: f64,
    },
    /// An owner confirmed a share.
    ShareConfirmed {
        /// The target.
        target: TargetName,
        /// The number of the share.
        sequence: u64,
        /// The most that it can draw from now on, in watts.
        watts: f64,
    },
    /// Operators changed the cap, in watts.
    CapChanged(f64),
    /// Time has passed.
    Tick,
}

/// What a power allocator wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum PowerAction {
    /// Tell an owner its share.
    SetShare {
        /// The target.
        target: TargetName,
        /// The number of the share, which the owner confirms.
        sequence: u64,
        /// The share, in watts.
        watts: f64,
    },
}

/// The power allocator of one site.
///
/// What a target may draw is what its owner last confirmed, or a share that was sent and not yet
/// confirmed, whichever is more. A share is raised only by what the cap leaves beside the sum of
/// these, so the sum passes the cap at no step, whichever messages are late, doubled or lost. After
/// an operator lowers the cap the sum falls as fast as running sequences end; no stream is cut.
#[derive(Debug)]
pub struct PowerAllocator {
    cfg: PowerConfig,
    targets: BTreeMap<TargetName, TargetPower>,
    parking: Parking,
    sequence: u64,
    /// When shares were last worked out.
    worked_out: Moment,
    /// Whether demand has changed since.
    changed: bool,
    bugs: Bugs,
}

impl PowerAllocator {
    /// Starts with no target.
    ///
    /// All targets of the site have to join before the first tick: what one that is left out
    /// draws would be given away to the others.
    pub fn new(cfg: PowerConfig, now: Moment) -> Self {
        Self {
            cfg,
            targets: BTreeMap::new(),
            parking: Parking::new(now),
            sequence: cfg.epoch.get() << SEQUENCE_BITS,
            worked_out: now,
            changed: false,
            bugs: Bugs::default(),
        }
    }

    /// Takes one event and says what is to be done.
    pub fn handle(&mut self, event: PowerEvent, now: Moment) -> Vec<PowerAction> {
        match event {
            PowerEvent::TargetJoined {
                target,
                idle_watts,
                full_watts,
                drawing,
            } => self.joined(target, idle_watts, full_watts, drawing),
            PowerEvent::TargetLeft(target) => {
                self.targets.remove(&target);
                self.changed = true;
            }
            PowerEvent::Demanded {
                target,
                live_watts,
                deferrable_watts,
            } => self.demanded(&target, live_watts, deferrable_watts),
            PowerEvent::ShareConfirmed {
                target,
                sequence,
                watts,
            } => self.confirmed(&target, sequence, watts),
            PowerEvent::CapChanged(watts) => {
                self.cfg.cap_watts = watts;
                self.work_out(now);
            }
            PowerEvent::Tick => {}
        }
        let review = self.parking.next_review().is_some_and(|at| at <= now);
        if (self.changed || review) && now.since(self.worked_out) >= WORK_OUT_PAUSE {
            self.work_out(now);
        }
        let mut out = Vec::new();
        self.lower(now, &mut out);
        self.raise(now, &mut out);
        self.send_again(now, &mut out);
        out
    }

    /// Seeds a bug, to show that a test finds it.
    #[cfg(feature = "seeded-bugs")]
    pub const fn seed(&mut self, bug: crate::Bug) {
        self.bugs = Bugs::seeded(bug);
    }

    /// Returns when [`PowerEvent::Tick`] is next wanted.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let changed = self.changed.then(|| self.worked_out + WORK_OUT_PAUSE);
        let work_out = [changed, self.parking.next_review()]
            .into_iter()
            .flatten()
            .min();
        let unsettled = self.targets.values().filter(|it| !it.settled());
        let send_again = unsettled.map(|it| it.sent + SEND_AGAIN).min();
        [work_out, send_again].into_iter().flatten().min()
    }

    /// Returns the most power that all targets together can draw now, in watts.
    pub fn committed_watts(&self) -> f64 {
        self.targets.values().map(TargetPower::held).sum()
    }

    fn joined(&mut self, target: TargetName, idle_watts: f64, full_watts: f64, drawing: f64) {
        let forgets = self.bugs.has(Bug::ForgetsDrawAtTakeover);
        let drawing = if forgets { 0.0 } else { drawing };
        let power = TargetPower {
            idle_watts,
            full_watts: full_watts.max(idle_watts),
            live_watts: 0.0,
            deferrable_watts: 0.0,
            confirmed: (0, drawing),
            pending: Vec::new(),
            wanted: drawing,
            parked: false,
            sent: self.worked_out,
        };
        self.targets.insert(target, power);
        self.changed = true;
    }

    fn demanded(&mut self, target: &TargetName, live_watts: f64, deferrable_watts: f64) {
        if let Some(power) = self.targets.get_mut(target) {
            power.live_watts = live_watts;
            power.deferrable_watts = deferrable_watts;
            self.changed = true;
        }
    }

    fn confirmed(&mut self, target: &TargetName, sequence: u64, watts: f64) {
        if let Some(power) = self.targets.get_mut(target) {
            if self.bugs.has(Bug::TakesCrossedConfirmation) {
                power.pending.clear();
                power.confirmed = (sequence, watts);
                return;
            }
            power.confirm(sequence, watts);
        }
    }

    fn work_out(&mut self, now: Moment) {
        self.worked_out = now;
        self.changed = false;
        self.parking.work_out(&self.cfg, &mut self.targets, now);
        shares::work_out(&self.cfg, &mut self.targets);
    }

    /// Sends the shares that are to fall.
    ///
    /// Changes too small to be worth a message are left out, unless the cap would be passed.
    fn lower(&mut self, now: Moment, out: &mut Vec<PowerAction>) {
        if self.changed {
            return;
        }
        let shares: f64 = self.targets.values().map(TargetPower::share).sum();
        let over = shares > self.cfg.cap_watts;
        for (target, power) in &mut self.targets {
            let never_sent = power.confirmed.0 == 0 && power.pending.is_empty();
            let worth = if over { 0.0 } else { power.quantum() };
            let falls = power.wanted < power.share() - worth;
            if never_sent || falls {
                let watts = power.wanted.min(power.share());
                self.sequence += 1;
                out.push(power.send(target, self.sequence, watts, now));
            }
        }
    }

    /// Sends the shares that are to rise, as far as the cap leaves room, the most needy first.
    fn raise(&mut self, now: Moment, out: &mut Vec<PowerAction>) {
        if self.changed {
            return;
        }
        let mut room = self.cfg.cap_watts - self.committed_watts();
        if self.bugs.has(Bug::RaisesBeforeConfirmed) {
            let shares: f64 = self.targets.values().map(TargetPower::share).sum();
            room = self.cfg.cap_watts - shares;
        }
        let mut rising: Vec<(&TargetName, &mut TargetPower)> = self
            .targets
            .iter_mut()
            .filter(|(_, power)| power.wanted > power.held() + power.quantum())
            .collect();
        rising.sort_by(|(_, left), (_, right)| right.need().total_cmp(&left.need()));
        for (target, power) in rising {
            let watts = power.wanted.min(power.held() + room);
            if watts <= power.held() + power.quantum() {
                continue;
            }
            room -= watts - power.held();
            self.sequence += 1;
            out.push(power.send(target, self.sequence, watts, now));
        }
    }

    /// Sends shares again whose confirmation is missing, or still names more than the share.
    fn send_again(&mut self, now: Moment, out: &mut Vec<PowerAction>) {
        for (target, power) in &mut self.targets {
            if power.settled() || now.since(power.sent) < SEND_AGAIN {
                continue;
            }
            let (sequence, watts) = power.last_sent();
            power.sent = now;
            out.push(PowerAction::SetShare {
                target: target.clone(),
                sequence,
                watts,
            });
        }
    }
}

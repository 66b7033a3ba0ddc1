//! Divides the power cap of one site into a share for each of its targets.

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

/// Low bits of a share's sequence number, which count within one epoch; the epoch takes the bits
/// above.
const SEQUENCE_BITS: u32 = 40;

/// Minimum interval between two calculations of the shares. Demand is reported more often than
/// this.
const MIN_REALLOCATION_INTERVAL: Duration = Duration::from_millis(250);

/// Interval after which a share is resent if its owner has not confirmed it, or still draws more
/// than it.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);

/// Configuration of a power allocator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PowerConfig {
    /// Maximum power that all targets of the site may draw together, in watts.
    pub cap_watts: f64,
    /// Fencing number under which the allocator holds its role. Sequence numbers of shares start
    /// from it, so that an owner never mistakes a share from an earlier allocator for a newer one.
    pub epoch: Epoch,
    /// The deployment's weights for load stalls and batch efficiency.
    pub weights: PolicyWeights,
    /// The enabled policy mechanisms; all of them are enabled outside the bench.
    pub mechanisms: Mechanisms,
}

/// An input to the power allocator.
#[derive(Clone, Debug, PartialEq)]
pub enum PowerEvent {
    /// A target joined the site. Until it confirms a share it is assumed to draw up to
    /// `max_draw_watts`.
    TargetJoined {
        /// The target.
        target: TargetName,
        /// Fixed part of the power of an engine step, in watts. An engine with no sequences runs no
        /// steps.
        idle_watts: f64,
        /// Power of a step with a full batch, in watts.
        full_watts: f64,
        /// Maximum power that the target can draw under the last share it is known to hold, in
        /// watts.
        max_draw_watts: f64,
    },
    /// A target left the site and draws no power.
    TargetLeft(TargetName),
    /// An owner reported how much power its live and its deferrable work could use.
    DemandReported {
        /// The target.
        target: TargetName,
        /// Power for live work, including the fixed part of a step, in watts.
        live_watts: f64,
        /// Additional power for deferrable work, in watts.
        deferrable_watts: f64,
    },
    /// An owner confirmed a share.
    ShareConfirmed {
        /// The target.
        target: TargetName,
        /// Sequence number of the confirmed share.
        sequence: u64,
        /// Maximum power that the target can draw from now on, in watts. It exceeds the share while
        /// sequences admitted under a larger share are still running.
        watts: f64,
    },
    /// An operator changed the site's cap, in watts.
    CapChanged(f64),
    /// Time has passed.
    Tick,
}

/// An action that the power allocator requests.
#[derive(Clone, Debug, PartialEq)]
pub enum PowerAction {
    /// Send an owner its share.
    SetShare {
        /// The target.
        target: TargetName,
        /// Sequence number of the share, which the owner returns in its confirmation.
        sequence: u64,
        /// The share, in watts.
        watts: f64,
    },
}

/// The power allocator of one site.
///
/// A target is assumed to draw the larger of what its owner last confirmed and any share sent
/// since. A share is raised only by the power that the cap leaves beyond the sum of these values.
/// The sum therefore never exceeds the cap, even if messages are delayed, duplicated or lost. After
/// an operator lowers the cap, the sum falls as running sequences end; no stream is cut.
#[derive(Debug)]
pub struct PowerAllocator {
    cfg: PowerConfig,
    targets: BTreeMap<TargetName, TargetPower>,
    parking: Parking,
    sequence: u64,
    /// Time of the last calculation of the shares.
    reallocated_at: Moment,
    /// Whether demand or the set of targets has changed since then.
    inputs_changed: bool,
    bugs: Bugs,
}

impl PowerAllocator {
    /// Creates an allocator with no targets.
    ///
    /// All targets of the site must join before the first tick: the power drawn by a target that
    /// has not joined would be given to the others.
    pub fn new(cfg: PowerConfig, now: Moment) -> Self {
        Self {
            cfg,
            targets: BTreeMap::new(),
            parking: Parking::new(now),
            sequence: cfg.epoch.get() << SEQUENCE_BITS,
            reallocated_at: now,
            inputs_changed: false,
            bugs: Bugs::default(),
        }
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, event: PowerEvent, now: Moment) -> Vec<PowerAction> {
        match event {
            PowerEvent::TargetJoined {
                target,
                idle_watts,
                full_watts,
                max_draw_watts,
            } => self.add_target(target, idle_watts, full_watts, max_draw_watts),
            PowerEvent::TargetLeft(target) => {
                self.targets.remove(&target);
                self.inputs_changed = true;
            }
            PowerEvent::DemandReported {
                target,
                live_watts,
                deferrable_watts,
            } => self.record_demand(&target, live_watts, deferrable_watts),
            PowerEvent::ShareConfirmed {
                target,
                sequence,
                watts,
            } => self.confirm_share(&target, sequence, watts),
            PowerEvent::CapChanged(watts) => {
                self.cfg.cap_watts = watts;
                self.reallocate(now);
            }
            PowerEvent::Tick => {}
        }
        let review = self.parking.next_review().is_some_and(|at| at <= now);
        if (self.inputs_changed || review)
            && now.since(self.reallocated_at) >= MIN_REALLOCATION_INTERVAL
        {
            self.reallocate(now);
        }
        let mut out = Vec::new();
        self.send_decreases(now, &mut out);
        self.send_increases(now, &mut out);
        self.resend_unconfirmed(now, &mut out);
        out
    }

    /// Seeds a bug, to verify that a test detects it.
    #[cfg(feature = "seeded-bugs")]
    pub const fn seed(&mut self, bug: crate::Bug) {
        self.bugs = Bugs::seeded(bug);
    }

    /// Returns when [`PowerEvent::Tick`] is next due, or `None` if no tick is needed.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let changed = self
            .inputs_changed
            .then(|| self.reallocated_at + MIN_REALLOCATION_INTERVAL);
        let reallocation = [changed, self.parking.next_review()]
            .into_iter()
            .flatten()
            .min();
        let unsettled = self.targets.values().filter(|it| !it.settled());
        let resend = unsettled.map(|it| it.sent_at + RESEND_INTERVAL).min();
        [reallocation, resend].into_iter().flatten().min()
    }

    /// Returns the maximum power that all targets together can draw now, in watts.
    pub fn committed_watts(&self) -> f64 {
        self.targets.values().map(TargetPower::committed).sum()
    }

    fn add_target(
        &mut self,
        target: TargetName,
        idle_watts: f64,
        full_watts: f64,
        max_draw_watts: f64,
    ) {
        let forgets = self.bugs.has(Bug::ForgetsDrawAtTakeover);
        let max_draw_watts = if forgets { 0.0 } else { max_draw_watts };
        let power = TargetPower {
            idle_watts,
            full_watts: full_watts.max(idle_watts),
            live_watts: 0.0,
            deferrable_watts: 0.0,
            confirmed: (0, max_draw_watts),
            pending: Vec::new(),
            desired: max_draw_watts,
            parked: false,
            sent_at: self.reallocated_at,
        };
        self.targets.insert(target, power);
        self.inputs_changed = true;
    }

    fn record_demand(&mut self, target: &TargetName, live_watts: f64, deferrable_watts: f64) {
        if let Some(power) = self.targets.get_mut(target) {
            power.live_watts = live_watts;
            power.deferrable_watts = deferrable_watts;
            self.inputs_changed = true;
        }
    }

    fn confirm_share(&mut self, target: &TargetName, sequence: u64, watts: f64) {
        if let Some(power) = self.targets.get_mut(target) {
            if self.bugs.has(Bug::AcceptsStaleConfirmation) {
                power.pending.clear();
                power.confirmed = (sequence, watts);
                return;
            }
            power.confirm(sequence, watts);
        }
    }

    fn reallocate(&mut self, now: Moment) {
        self.reallocated_at = now;
        self.inputs_changed = false;
        self.parking.update(&self.cfg, &mut self.targets, now);
        shares::allocate(&self.cfg, &mut self.targets);
    }

    /// Sends the shares that decrease.
    ///
    /// Changes too small to be worth a message are skipped, unless the shares sent last add up to
    /// more than the cap.
    fn send_decreases(&mut self, now: Moment, out: &mut Vec<PowerAction>) {
        if self.inputs_changed {
            return;
        }
        let shares: f64 = self.targets.values().map(TargetPower::share).sum();
        let over = shares > self.cfg.cap_watts;
        for (target, power) in &mut self.targets {
            let never_sent = power.confirmed.0 == 0 && power.pending.is_empty();
            let deadband = if over { 0.0 } else { power.deadband() };
            let falls = power.desired < power.share() - deadband;
            if never_sent || falls {
                let watts = power.desired.min(power.share());
                self.sequence += 1;
                out.push(power.send(target, self.sequence, watts, now));
            }
        }
    }

    /// Sends the shares that increase, as far as the cap leaves room, starting with the target
    /// whose live work lacks most power.
    fn send_increases(&mut self, now: Moment, out: &mut Vec<PowerAction>) {
        if self.inputs_changed {
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
            .filter(|(_, power)| power.desired > power.committed() + power.deadband())
            .collect();
        rising.sort_by(|(_, left), (_, right)| {
            right.live_shortfall().total_cmp(&left.live_shortfall())
        });
        for (target, power) in rising {
            let watts = power.desired.min(power.committed() + room);
            if watts <= power.committed() + power.deadband() {
                continue;
            }
            room -= watts - power.committed();
            self.sequence += 1;
            out.push(power.send(target, self.sequence, watts, now));
        }
    }

    /// Resends shares whose confirmation is missing or reports a draw above the share.
    fn resend_unconfirmed(&mut self, now: Moment, out: &mut Vec<PowerAction>) {
        for (target, power) in &mut self.targets {
            if power.settled() || now.since(power.sent_at) < RESEND_INTERVAL {
                continue;
            }
            let (sequence, watts) = power.last_sent();
            power.sent_at = now;
            out.push(PowerAction::SetShare {
                target: target.clone(),
                sequence,
                watts,
            });
        }
    }
}

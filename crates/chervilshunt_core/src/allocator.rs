//! The power allocator of one site: each target's share of the cap.

use chervilshunt_model::{Epoch, Moment, TargetName};

use crate::{Mechanisms, PolicyWeights};

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
        /// Power of a step that runs no sequence, in watts.
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
#[derive(Debug)]
pub struct PowerAllocator {
    cfg: PowerConfig,
}

impl PowerAllocator {
    /// Starts with no target.
    pub fn new(cfg: PowerConfig, _now: Moment) -> Self {
        Self { cfg }
    }

    /// Takes one event and says what is to be done.
    pub fn handle(&mut self, event: PowerEvent, _now: Moment) -> Vec<PowerAction> {
        if let PowerEvent::CapChanged(watts) = event {
            self.cfg.cap_watts = watts;
        }
        Vec::new()
    }

    /// Returns when [`PowerEvent::Tick`] is next wanted.
    pub fn next_wakeup(&self) -> Option<Moment> {
        None
    }
}

//! The timer of the control thread.

use std::time::Duration;

use tokio::time::MissedTickBehavior;
use xtra::prelude::*;

use super::actor::Control;
use super::messages::Tick;

/// The tick interval, which is the resolution of all deadlines of roles.
///
/// A tick checks one wake-up time for each role held. These are a few dozen in a fleet of the size
/// that the system is specified for, which costs well under a thousandth of a core.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Sends ticks to the actor until it stops.
pub(super) fn start(control: Address<Control>) {
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if control.send(Tick).await.is_err() {
                return;
            }
        }
    });
}

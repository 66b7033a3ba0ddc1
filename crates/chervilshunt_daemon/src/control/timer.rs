//! The control thread's timer.

use std::time::Duration;

use tokio::time::MissedTickBehavior;
use xtra::prelude::*;

use super::actor::Control;
use super::messages::Tick;

/// The resolution of all deadlines of roles. A tick looks at one wake-up time for each role held, a
/// few dozen at the letter's size, which costs the control thread well under a thousandth of a core.
const RESOLUTION: Duration = Duration::from_millis(20);

/// Ticks until the actor is gone.
pub(super) fn start(control: Address<Control>) {
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(RESOLUTION);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if control.send(Tick).await.is_err() {
                return;
            }
        }
    });
}

//! What an instance sends to limited targets on its own while no placer answers.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_model::{Moment, TargetName};

use super::rate::RequestRate;
use super::schedule::interval;

/// Part of a limit that all instances together use without the placer. The placer may schedule the
/// whole limit for others in the same seconds.
const SHARED_PART: f64 = 0.2;
/// Time for which a request that is due may still be sent. If it did not lapse, instances without
/// requests would each keep one, and hundreds of them could send theirs at once.
const DUE_FOR: Duration = Duration::from_secs(1);
/// Delay before another attempt of an instance that does not know how many instances there are.
const UNKNOWN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// An instance's shares of the limits of targets.
///
/// Each share lets one request be due at regular times, as far apart as an even part of the limit
/// asks. The first time is random, so that the instances' times are spread evenly although
/// they learn of the limit together.
#[derive(Clone, Debug, Default)]
pub struct SendShares {
    targets: HashMap<TargetName, SendShare>,
}

#[derive(Clone, Copy, Debug)]
struct SendShare {
    interval: Duration,
    next_at: Moment,
}

impl SendShares {
    /// Uses the share of a target's limit for a request; otherwise returns when the next request is
    /// due. `instances` is the number of instances, if known; `draw` is a random number from 0 to 1.
    pub fn try_send(
        &mut self,
        target: &TargetName,
        limit: RequestRate,
        instances: Option<usize>,
        draw: f64,
        now: Moment,
    ) -> Result<(), Duration> {
        let Some(instances) = instances else {
            return Err(UNKNOWN_RETRY_DELAY);
        };
        let interval = interval(limit).mul_f64(instances.max(1) as f64 / SHARED_PART);
        let share = self.targets.entry(target.clone());
        let share = share.or_insert_with(|| SendShare {
            interval,
            next_at: now + interval.mul_f64(draw),
        });
        share.set_interval(interval, now);
        share.skip_until(now - DUE_FOR);
        if now < share.next_at {
            return Err(now.until(share.next_at));
        }
        share.next_at = share.next_at + interval;
        Ok(())
    }

    /// Forgets the targets that have no limit any more.
    pub fn retain_limited(&mut self, is_limited: impl Fn(&TargetName) -> bool) {
        self.targets.retain(|name, _| is_limited(name));
    }
}

impl SendShare {
    /// Changes the time between two requests. The time that is left changes in proportion, so that the
    /// instances' times stay spread; a request that is due lapses.
    fn set_interval(&mut self, interval: Duration, now: Moment) {
        if interval == self.interval {
            return;
        }
        self.skip_until(now);
        let left = now.until(self.next_at).as_secs_f64();
        let factor = interval.as_secs_f64() / self.interval.as_secs_f64();
        self.next_at = now + Duration::try_from_secs_f64(left * factor).unwrap_or(interval);
        self.interval = interval;
    }

    /// Moves the time of the next request past a moment, by whole intervals.
    fn skip_until(&mut self, moment: Moment) {
        let missed = moment.since(self.next_at).as_secs_f64() / self.interval.as_secs_f64();
        if missed.is_finite() && missed > 0.0 {
            self.next_at = self.next_at + self.interval.mul_f64(missed.ceil());
        }
    }
}

//! Detects that the process stood still, so that what arrived meanwhile was read late.

use std::time::Duration;

use chervilshunt_model::Moment;

/// Interval at which a running process reports to the detector.
pub const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time between two reports of a process that runs without a stall.
const MAX_GAP: Duration = Duration::from_millis(400);

/// A time in which the process read nothing, because it was paused or got no processor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// When the process last ran before.
    pub began: Moment,
    /// When it ran again.
    pub ended: Moment,
}

impl Stall {
    /// Returns how long it was.
    pub fn length(self) -> Duration {
        self.ended.since(self.began)
    }

    /// Returns until when requests are read that may have arrived during the stall.
    ///
    /// An instance that is at most half loaded has read what arrived meanwhile after as long again.
    fn delays_reads_until(self) -> Moment {
        self.ended + self.length()
    }
}

/// Finds out when requests may have arrived that are read now.
#[derive(Clone, Debug)]
pub struct StallDetector {
    last_report: Moment,
    /// The stall that delays reads for longest.
    last_stall: Option<Stall>,
}

impl StallDetector {
    /// Creates the detector of a process that runs.
    pub const fn new(now: Moment) -> Self {
        Self {
            last_report: now,
            last_stall: None,
        }
    }

    /// Records that the process runs, and returns the stall that has just ended, if there was one.
    pub fn report_running(&mut self, now: Moment) -> Option<Stall> {
        let stall = self.current_stall(now);
        self.last_stall = self.longest_delay(now);
        self.last_report = now;
        stall
    }

    /// Returns the earliest time at which a request may have arrived that is read now.
    pub fn earliest_arrival(&self, now: Moment) -> Moment {
        self.longest_delay(now).map_or(now, |it| it.began)
    }

    /// Returns the stall that delays reads for longest, if one does so now. A short stall does not end the time in
    /// which requests of a longer one before it are read.
    fn longest_delay(&self, now: Moment) -> Option<Stall> {
        let stalls = self.last_stall.into_iter().chain(self.current_stall(now));
        let delaying = stalls.filter(|it| it.delays_reads_until() > now);
        delaying.max_by_key(|it| it.delays_reads_until())
    }

    /// Returns the stall that ends now, which the process has not reported yet.
    fn current_stall(&self, now: Moment) -> Option<Stall> {
        let stall = Stall {
            began: self.last_report,
            ended: now,
        };
        (stall.length() > MAX_GAP).then_some(stall)
    }
}

//! Estimates how fast targets work, from the figure that they report with their load.
//!
//! Targets of one service differ permanently by a factor of two or more, and each slows down for
//! periods of 100 ms to a second. A target that reports its *pace* states how long work takes there
//! at the moment, in percent of the usual time. The lasting figure is a median over seconds, which
//! such periods do not move; the momentary figure is the last reading. Speed is not estimated from
//! the durations of requests, because a target would appear slow when it was given long work or was
//! full. See `docs/design/target-speed.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName};

/// The usual pace, which also counts for targets whose answers state none.
const USUAL_PACE: u16 = 100;
/// The number of samples of which the lasting figure is the median. A lasting change is learnt with
/// the tenth sample; the slow periods of a target cover less than half of any 19 samples.
const SAMPLES: usize = 19;
/// The minimum interval between samples. Readings come in bursts, and all readings of one slow
/// period would otherwise count: it lasts up to a second, which covers five samples at this
/// interval.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// The number of samples that the figure of another instance counts for. A single reading during a
/// slow period must not replace it.
const TAKEN_OVER_SAMPLES: usize = 3;
/// The time without a reading after which the lasting figure is considered out of date. A target in
/// use gives several readings per second.
const MAX_IDLE: Duration = Duration::from_secs(10);
/// The time constant with which an outdated figure approaches the mean of the service. After a
/// further half minute a slow target is tried almost like any other one.
const RETURN_TIME: Duration = Duration::from_secs(15);
/// The weight of a reading by its age in milliseconds: how often a slow target was still slow that
/// much later. Older readings say no more than the lasting figure.
const PERSISTENCE: [(f64, f64); 4] = [(0.0, 1.0), (100.0, 0.82), (200.0, 0.72), (400.0, 0.53)];
/// The bounds of the ratio of a target to its service. A single implausible figure must not turn a
/// target into the only one used, or into one that is never used.
const RATIO_BOUNDS: (f64, f64) = (0.2, 5.0);
/// The relative change of a lasting figure that is reported to operators.
const REPORTED_CHANGE: f64 = 0.25;

/// What is known about the speed of one target.
#[derive(Clone, Copy, Debug)]
pub struct TargetSpeed {
    /// The samples of the lasting figure, the oldest first.
    samples: [u16; SAMPLES],
    sample_count: u8,
    /// Whether the target has answered without stating its pace.
    is_silent: bool,
    lasting: u16,
    momentary: u16,
    /// The lasting figure that was last reported to operators.
    reported: u16,
    sampled_at: Moment,
    read_at: Moment,
}

impl Default for TargetSpeed {
    fn default() -> Self {
        Self {
            samples: [0; SAMPLES],
            sample_count: 0,
            is_silent: false,
            lasting: USUAL_PACE,
            momentary: USUAL_PACE,
            reported: USUAL_PACE,
            sampled_at: Moment::ZERO,
            read_at: Moment::ZERO,
        }
    }
}

/// A change of a target's lasting figure by a quarter or more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceChange {
    /// The lasting figure that was reported before.
    pub before: u16,
    /// The lasting figure now.
    pub now: u16,
}

/// The figures of a target's pace, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceFigures {
    /// The lasting figure.
    pub lasting: u16,
    /// The momentary figure.
    pub momentary: u16,
    /// The age of the momentary figure.
    pub age: Duration,
}

impl TargetSpeed {
    /// Records the pace that a target states, and returns a change that operators should see.
    pub(crate) fn record(&mut self, pace: u16, now: Moment) -> Option<PaceChange> {
        if self.is_known() && now.since(self.read_at) >= MAX_IDLE {
            self.samples[0] = self.lasting;
            self.sample_count = 1;
        }
        self.momentary = pace;
        self.read_at = now;
        if !self.is_known() || now.since(self.sampled_at) >= SAMPLE_INTERVAL {
            self.add_sample(pace);
            self.sampled_at = now;
        }
        self.take_change()
    }

    /// Starts with the lasting figure that another instance has learnt, unless more is known here.
    pub(crate) fn start_with(&mut self, lasting: u16, now: Moment) {
        if usize::from(self.sample_count) > TAKEN_OVER_SAMPLES {
            return;
        }
        self.sample_count = 0;
        for _ in 0..TAKEN_OVER_SAMPLES {
            self.add_sample(lasting);
        }
        self.momentary = lasting;
        self.reported = lasting;
        self.read_at = now;
    }

    /// Records that the target has answered. One that has stated no pace until then counts as usual.
    pub(crate) fn answered(&mut self) {
        self.is_silent = !self.is_known();
    }

    /// Returns whether the target states its pace.
    pub(crate) const fn is_known(&self) -> bool {
        self.sample_count > 0
    }

    /// Returns the lasting figure of a target that states its pace.
    pub(crate) fn lasting_figure(&self) -> Option<u16> {
        self.is_known().then_some(self.lasting)
    }

    /// Returns the figures in use, if the target states its pace.
    pub(crate) fn figures(&self, now: Moment) -> Option<PaceFigures> {
        self.is_known().then(|| PaceFigures {
            lasting: self.lasting,
            momentary: self.momentary,
            age: now.since(self.read_at),
        })
    }

    fn add_sample(&mut self, pace: u16) {
        let mut count = usize::from(self.sample_count);
        if count == SAMPLES {
            self.samples.copy_within(1.., 0);
            count -= 1;
        }
        self.samples[count] = pace;
        self.sample_count = u8::try_from(count + 1).unwrap_or(u8::MAX);
        let mut sorted = self.samples;
        let sorted = &mut sorted[..=count];
        sorted.sort_unstable();
        // Of an even number the lower one: readings are wrong only by being too slow.
        self.lasting = sorted[count / 2];
    }

    fn take_change(&mut self) -> Option<PaceChange> {
        let before = self.reported;
        let change = (f64::from(self.lasting) - f64::from(before)).abs();
        if change < REPORTED_CHANGE * f64::from(before) {
            return None;
        }
        self.reported = self.lasting;
        Some(PaceChange {
            before,
            now: self.lasting,
        })
    }

    /// Returns the pace that lasts, in a service with the given mean.
    fn lasting(&self, mean: f64, now: Moment) -> f64 {
        if !self.is_known() {
            return if self.is_silent {
                f64::from(USUAL_PACE)
            } else {
                mean
            };
        }
        let idle = now.since(self.read_at).saturating_sub(MAX_IDLE);
        if idle.is_zero() {
            return f64::from(self.lasting);
        }
        let kept = (-idle.as_secs_f64() / RETURN_TIME.as_secs_f64()).exp();
        mean + (f64::from(self.lasting) - mean) * kept
    }

    /// Returns the pace at this moment, in a service with the given mean.
    fn momentary(&self, mean: f64, now: Moment) -> f64 {
        let lasting = self.lasting(mean, now);
        if !self.is_known() {
            return lasting;
        }
        let weight = persistence(now.since(self.read_at));
        lasting + (f64::from(self.momentary) - lasting) * weight
    }
}

/// Returns how likely a reading of the given age still holds.
fn persistence(age: Duration) -> f64 {
    let age = age.as_secs_f64() * 1e3;
    let next = PERSISTENCE.iter().position(|(until, _)| age <= *until);
    match next {
        Some(0) => PERSISTENCE[0].1,
        Some(next) => {
            let (from, before) = PERSISTENCE[next - 1];
            let (until, after) = PERSISTENCE[next];
            before + (after - before) * (age - from) / (until - from)
        }
        None => 0.0,
    }
}

/// The pace of the targets of one service, against which each of them is compared.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ServicePace {
    /// The mean of the lasting figures; `None` if no target states its pace.
    mean: Option<f64>,
}

/// The distribution of the lasting figures of one service's targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceQuantiles {
    /// The service.
    pub service: ServiceName,
    /// Quantiles by their names.
    pub quantiles: [(&'static str, u16); 3],
}

impl PaceQuantiles {
    /// Computes the distributions for the targets that state their paces. There may be thousands of
    /// targets, which would be too many series of a metric.
    pub(crate) fn of<'a>(
        speeds: impl Iterator<Item = (&'a ServiceName, &'a TargetSpeed)>,
    ) -> Vec<Self> {
        let mut by_service: BTreeMap<&ServiceName, Vec<u16>> = BTreeMap::new();
        for (service, speed) in speeds {
            if let Some(lasting) = speed.lasting_figure() {
                by_service.entry(service).or_default().push(lasting);
            }
        }
        let all = by_service.into_iter().map(|(service, mut paces)| {
            paces.sort_unstable();
            let last = paces.len() - 1;
            Self {
                service: service.clone(),
                quantiles: [
                    ("0.1", paces[last / 10]),
                    ("0.5", paces[last / 2]),
                    ("0.9", paces[last - last / 10]),
                ],
            }
        });
        all.collect()
    }
}

/// The speed of a target relative to the targets of its service: how long work takes there compared
/// with the mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SpeedRatio {
    /// The ratio that lasts.
    pub(crate) lasting: f64,
    /// The ratio at this moment.
    pub(crate) momentary: f64,
    /// Whether any target of the service states its pace.
    pub(crate) is_stated: bool,
}

impl SpeedRatio {
    /// The ratio of a target of mean speed.
    pub(crate) const MEAN: Self = Self {
        lasting: 1.0,
        momentary: 1.0,
        is_stated: false,
    };
}

impl ServicePace {
    /// Computes the pace of a service from the speeds of all its targets. Targets of which nothing
    /// is known do not count.
    pub(crate) fn of<'a>(speeds: impl Iterator<Item = &'a TargetSpeed>) -> Self {
        let (mut sum, mut count, mut stated) = (0.0, 0.0, false);
        for speed in speeds.filter(|it| it.is_known() || it.is_silent) {
            sum += f64::from(speed.lasting);
            count += 1.0;
            stated |= speed.is_known();
        }
        Self {
            mean: stated.then(|| f64::max(sum / count, 1.0)),
        }
    }

    /// Returns whether any target of the service states its pace.
    pub(crate) const fn is_stated(self) -> bool {
        self.mean.is_some()
    }

    /// Returns the ratio of a target of the service; 1 if no target states its pace.
    pub(crate) fn ratio(self, speed: &TargetSpeed, now: Moment) -> SpeedRatio {
        let Some(mean) = self.mean else {
            return SpeedRatio::MEAN;
        };
        let bounded = |pace: f64| (pace / mean).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        SpeedRatio {
            lasting: bounded(speed.lasting(mean, now)),
            momentary: bounded(speed.momentary(mean, now)),
            is_stated: true,
        }
    }
}

//! The load scheduler of one weight store, which decides the order and concurrency of adapter
//! loads.
//!
//! Permission to load one adapter is called a turn.

use std::time::Duration;

use chervilshunt_model::{AdapterVersion, Class, Moment, TargetName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::bugs::{Bug, Bugs};
use crate::decay::DurationAverage;
use crate::{LoadUrgency, Mechanisms, OrderId, TokenBucket};

/// Urgency per live waiter, and per second that the oldest one has waited.
const LIVE_URGENCY: (f64, f64) = (10.0, 1.0);

/// Wait for a turn from which on the store counts as overloaded.
const OVERLOAD_WAIT: Duration = Duration::from_secs(3);

/// Urgency per live waiter and per second waited while the store is overloaded. Age then lowers the
/// urgency: of two loads with equally many waiters the more recent one goes first.
const OVERLOAD_URGENCY: (f64, f64) = (10.0, -0.3);

/// Urgency per deferrable waiter, and per second that the oldest one has waited.
const DEFERRABLE_URGENCY: (f64, f64) = (1.0, 1.0);

/// Age from which deferrable loads receive some of the turns while live loads wait.
const DEFERRABLE_MIN_AGE: Duration = Duration::from_secs(300);

/// Number of consecutive live turns after which such a deferrable load receives one.
///
/// The fraction only has to prevent starvation of deferrable loads. Live loads alone take most of a
/// store's turns, so giving a tenth of them to deferrable loads would make the live queue grow
/// without bound while a flood of deferrable work lasts.
const LIVE_TURNS_PER_DEFERRABLE: u32 = 100;

/// Multiple of the average load time for which a load started by a target's previous owner is
/// assumed to continue.
const ORPHAN_LOAD_TIMES: u32 = 3;

/// Upper bound on a load time calculated from a rate that may be close to zero.
const MAX_LOAD_TIME: Duration = Duration::from_secs(60);

/// Configuration of a load scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SchedulerConfig {
    /// Number of concurrent loads that the store serves at full speed.
    pub concurrency: u32,
    /// Total rate of the store, in loads per second.
    pub loads_per_second: f64,
    /// Time after which a turn is considered over if no message about it arrives; several times the
    /// interval at which owners report that they still use it.
    pub turn_timeout: Duration,
    /// The enabled policy mechanisms; all of them are enabled outside the bench.
    pub mechanisms: Mechanisms,
}

/// How a turn ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnResult {
    /// The adapter was loaded.
    Loaded,
    /// The load failed.
    Failed,
    /// The turn was not used.
    Withdrawn,
}

/// An input to the load scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEvent {
    /// An owner requests a turn, or reports a changed urgency for one.
    TurnAsked {
        /// The target that loads.
        target: TargetName,
        /// The owner's id for the turn.
        order: OrderId,
        /// The adapter version.
        model: AdapterVersion,
        /// How urgently the adapter is needed.
        urgency: LoadUrgency,
    },
    /// An owner reports that it is using a turn, which a previous scheduler may have granted.
    TurnHeld {
        /// The target that loads.
        target: TargetName,
        /// The owner's id for the turn.
        order: OrderId,
        /// The adapter version.
        model: AdapterVersion,
    },
    /// A turn is over or no longer wanted.
    TurnEnded {
        /// The target that loaded.
        target: TargetName,
        /// The owner's id for the turn.
        order: OrderId,
        /// How the turn ended.
        result: TurnResult,
    },
    /// The target has a new owner, which voids the requests of the previous one.
    OwnerChanged(TargetName),
    /// An operator changed the configuration of the weight store.
    Reconfigured(SchedulerConfig),
    /// Time has passed.
    Tick,
}

/// An action that the load scheduler requests.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerAction {
    /// Notify an owner that it may load now.
    Grant {
        /// The target that loads.
        target: TargetName,
        /// The owner's id for the turn.
        order: OrderId,
        /// How long a load requested now would wait for its turn.
        queue_wait: Duration,
    },
}

/// The load scheduler of one weight store.
///
/// It grants turns by urgency, never more at a time than the store serves at full speed, and never
/// faster than the store's rate. A turn ends when its owner reports the end or has sent nothing for
/// a short time. A lost message, or an owner that is dead or disconnected, therefore blocks the
/// store for that time only.
#[derive(Debug)]
pub struct LoadScheduler {
    cfg: SchedulerConfig,
    waiting: IndexMap<TurnId, WaitingTurn>,
    running: IndexMap<TurnId, RunningTurn>,
    load_time: DurationAverage,
    tokens: TokenBucket,
    /// When the store's rate allows the next waiting load to start.
    next_token: Option<Moment>,
    requests_seen: u64,
    /// Number of live turns granted since the last deferrable one.
    live_streak: u32,
    bugs: Bugs,
}

/// Identifies a turn: the target that loads, and its owner's id for the turn.
type TurnId = (TargetName, OrderId);

#[derive(Clone, Copy, Debug)]
struct WaitingTurn {
    urgency: LoadUrgency,
    reported_at: Moment,
    arrival: u64,
}

#[derive(Clone, Copy, Debug)]
struct RunningTurn {
    since: Moment,
    until: Moment,
}

impl WaitingTurn {
    /// Returns how long the oldest request has waited.
    fn age(&self, now: Moment) -> Duration {
        Duration::from_millis(self.urgency.oldest_ms) + now.since(self.reported_at)
    }
}

impl LoadScheduler {
    /// Creates a scheduler with no loads in progress.
    pub fn new(cfg: SchedulerConfig, now: Moment) -> Self {
        Self {
            waiting: IndexMap::new(),
            running: IndexMap::new(),
            load_time: DurationAverage::new(nominal_load_time(&cfg)),
            tokens: TokenBucket::new(cfg.loads_per_second, bucket_size(&cfg), now),
            next_token: None,
            requests_seen: 0,
            live_streak: 0,
            bugs: Bugs::default(),
            cfg,
        }
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, event: SchedulerEvent, now: Moment) -> Vec<SchedulerAction> {
        let mut out = Vec::new();
        match event {
            SchedulerEvent::TurnAsked {
                target,
                order,
                urgency,
                ..
            } => self.request_turn((target, order), urgency, now, &mut out),
            SchedulerEvent::TurnHeld { target, order, .. } => self.renew_turn((target, order), now),
            SchedulerEvent::TurnEnded {
                target,
                order,
                result,
            } => self.end_turn(&(target, order), result, now),
            SchedulerEvent::OwnerChanged(target) => self.owner_changed(&target, now),
            SchedulerEvent::Reconfigured(cfg) => {
                self.tokens
                    .reconfigure(cfg.loads_per_second, bucket_size(&cfg), now);
                self.cfg = cfg;
            }
            SchedulerEvent::Tick => {}
        }
        if !self.bugs.has(Bug::NeverTimesOut) {
            self.running.retain(|_, turn| turn.until > now);
        }
        self.grant(now, &mut out);
        out
    }

    /// Seeds a bug, to verify that a test detects it.
    #[cfg(feature = "seeded-bugs")]
    pub const fn seed(&mut self, bug: crate::Bug) {
        self.bugs = Bugs::seeded(bug);
    }

    /// Returns when [`SchedulerEvent::Tick`] is next due, or `None` if no tick is needed.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let timeout = self.running.values().map(|turn| turn.until).min();
        [timeout, self.next_token].into_iter().flatten().min()
    }

    /// Returns how long a live load requested now would wait for its turn.
    pub fn queue_wait(&self) -> Duration {
        let live = |it: &&WaitingTurn| it.urgency.class == Some(Class::Live);
        let ahead = self.running.len() + self.waiting.values().filter(live).count();
        let concurrency = self.cfg.concurrency.max(1) as usize;
        let rounds = (ahead + 1).saturating_sub(concurrency) as f64 / concurrency as f64;
        self.load_time.get().mul_f64(rounds)
    }

    /// Returns the number of turns in use.
    pub fn in_progress(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of loads waiting for their turn.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn request_turn(
        &mut self,
        turn: TurnId,
        urgency: LoadUrgency,
        now: Moment,
        out: &mut Vec<SchedulerAction>,
    ) {
        if self.running.contains_key(&turn) {
            // The owner requests a turn that it already has: the grant was lost, or the two
            // messages crossed.
            out.push(self.grant_action(turn));
            return;
        }
        self.requests_seen += 1;
        let arrival = self
            .waiting
            .get(&turn)
            .map_or(self.requests_seen, |it| it.arrival);
        let waiting = WaitingTurn {
            urgency,
            reported_at: now,
            arrival,
        };
        self.waiting.insert(turn, waiting);
    }

    fn renew_turn(&mut self, turn: TurnId, now: Moment) {
        self.waiting.swap_remove(&turn);
        let new = self.new_running(now);
        let running = self.running.entry(turn).or_insert(new);
        running.until = new.until;
    }

    fn end_turn(&mut self, turn: &TurnId, result: TurnResult, now: Moment) {
        self.waiting.swap_remove(turn);
        let Some(running) = self.running.swap_remove(turn) else {
            if self.bugs.has(Bug::CountsEndTwice) {
                self.tokens.deposit(1.0, now);
            }
            return;
        };
        match result {
            TurnResult::Loaded => self.load_time.add(now.since(running.since)),
            TurnResult::Failed => self.tokens.deposit(self.unused_fraction(running, now), now),
            TurnResult::Withdrawn => self.tokens.deposit(1.0, now),
        }
    }

    /// Returns the fraction of a load that was not drawn from the store because the load failed
    /// early.
    fn unused_fraction(&self, running: RunningTurn, now: Moment) -> f64 {
        let whole = nominal_load_time(&self.cfg).as_secs_f64();
        let used = now.since(running.since).as_secs_f64() / whole.max(f64::MIN_POSITIVE);
        (1.0 - used).max(0.0)
    }

    /// Discards the requests of a target's previous owner.
    ///
    /// A load that it has in progress may still be reading from the store, so its turn continues
    /// for a few times the average load time.
    fn owner_changed(&mut self, target: &TargetName, now: Moment) {
        self.waiting.retain(|(of, _), _| of != target);
        let until = now + self.load_time.get() * ORPHAN_LOAD_TIMES;
        let of_target = self.running.iter_mut().filter(|((of, _), _)| of == target);
        for (_, running) in of_target {
            running.until = running.until.min(until);
        }
    }

    fn grant(&mut self, now: Moment, out: &mut Vec<SchedulerAction>) {
        self.next_token = None;
        let more = usize::from(self.bugs.has(Bug::GrantsBeyondConcurrency));
        while self.running.len() < self.cfg.concurrency as usize + more {
            let Some(turn) = self.most_urgent(now) else {
                return;
            };
            if let Err(next) = self.tokens.try_take(0.0, now) {
                self.next_token = next;
                return;
            }
            let waiting = self.waiting.swap_remove(&turn);
            self.count_turn(waiting.and_then(|it| it.urgency.class));
            let running = self.new_running(now);
            self.running.insert(turn.clone(), running);
            out.push(self.grant_action(turn));
        }
    }

    fn count_turn(&mut self, class: Option<Class>) {
        match class {
            Some(Class::Live) => self.live_streak = self.live_streak.saturating_add(1),
            Some(Class::Deferrable) => self.live_streak = 0,
            None => {}
        }
    }

    fn most_urgent(&self, now: Moment) -> Option<TurnId> {
        let overload = self.queue_wait() >= OVERLOAD_WAIT;
        let score = |waiting: &WaitingTurn| self.urgency_score(waiting, overload, now);
        let best = self.waiting.iter().max_by(|(_, left), (_, right)| {
            let by_rank = self.rank(left, now).cmp(&self.rank(right, now));
            let by_score = by_rank.then(score(left).total_cmp(&score(right)));
            by_score.then(right.arrival.cmp(&left.arrival))
        });
        best.map(|(turn, _)| turn.clone())
    }

    /// Returns the rank of a load, of which the highest goes first. Live loads outrank deferrable
    /// ones, but deferrable loads receive a small fraction of the turns, so that they are delayed
    /// rather than starved.
    fn rank(&self, waiting: &WaitingTurn, now: Moment) -> u8 {
        if !self.cfg.mechanisms.urgency {
            return 0;
        }
        let due =
            self.live_streak >= LIVE_TURNS_PER_DEFERRABLE && waiting.age(now) >= DEFERRABLE_MIN_AGE;
        match waiting.urgency.class {
            Some(Class::Live) => 2,
            Some(Class::Deferrable) if due => 3,
            Some(Class::Deferrable) => 1,
            None => 0,
        }
    }

    /// Returns the urgency of a load, which is the waiting that it ends, weighted with its age.
    ///
    /// All loads take about the same time, so total waiting is lowest if the load with the most
    /// waiters goes first. The age prevents a load with one waiter from being overtaken forever.
    fn urgency_score(&self, waiting: &WaitingTurn, overload: bool, now: Moment) -> f64 {
        if !self.cfg.mechanisms.urgency {
            return 0.0;
        }
        let reported = &waiting.urgency;
        let (waiter, second) = match reported.class {
            Some(Class::Live) if overload => OVERLOAD_URGENCY,
            Some(Class::Live) => LIVE_URGENCY,
            Some(Class::Deferrable) => DEFERRABLE_URGENCY,
            None => return 0.0,
        };
        waiter * f64::from(reported.waiters) + second * waiting.age(now).as_secs_f64()
    }

    fn new_running(&self, now: Moment) -> RunningTurn {
        RunningTurn {
            since: now,
            until: now + self.cfg.turn_timeout,
        }
    }

    fn grant_action(&self, (target, order): TurnId) -> SchedulerAction {
        SchedulerAction::Grant {
            target,
            order,
            queue_wait: self.queue_wait(),
        }
    }
}

/// Returns how many loads may start at once after an idle period. This is one round of concurrent
/// loads plus one, so that the store is never idle for lack of a token when loads finish slightly
/// early.
fn bucket_size(cfg: &SchedulerConfig) -> f64 {
    f64::from(cfg.concurrency) + 1.0
}

fn nominal_load_time(cfg: &SchedulerConfig) -> Duration {
    let seconds = f64::from(cfg.concurrency) / cfg.loads_per_second.max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(seconds).map_or(MAX_LOAD_TIME, |it| it.min(MAX_LOAD_TIME))
}

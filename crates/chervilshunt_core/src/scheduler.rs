//! The load scheduler of one weight store: the order and number of loads in progress.

use std::time::Duration;

use chervilshunt_model::{AdapterVersion, Class, Moment, TargetName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::bugs::{Bug, Bugs};
use crate::decay::DurationAverage;
use crate::{LoadUrgency, Mechanisms, OrderId, TokenBucket};

/// Urgency of each live waiter, and of each second that the oldest has waited.
const LIVE_URGENCY: (f64, f64) = (10.0, 1.0);

/// Wait for a turn beyond which the store is overloaded.
const OVERLOAD: Duration = Duration::from_secs(3);

/// Urgency of live waiters and their seconds while the store is overloaded.
const OVERLOAD_URGENCY: (f64, f64) = (10.0, -0.3);

/// Urgency of each deferrable waiter, and of each second that the oldest has waited.
const DEFERRABLE_URGENCY: (f64, f64) = (1.0, 1.0);

/// Age from which deferrable loads get a share of the turns while live ones wait.
const DEFERRABLE_AGE: Duration = Duration::from_secs(300);

/// That share, as one turn in so many.
///
/// It only has to keep deferrable loads from waiting for ever. Live loads alone take most of a
/// store's turns, so a tenth for deferrable ones makes the live queue grow without end for as long
/// as a flood lasts.
const DEFERRABLE_SHARE: u32 = 100;

/// Load times for which the load of an owner that lost its role is taken to go on.
const ORPHAN_LOAD_TIMES: u32 = 3;

/// Bound on waits worked out from a rate that may be close to zero.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// What a load scheduler has to know of its weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SchedulerConfig {
    /// Loads that run at full speed side by side.
    pub concurrency: u32,
    /// Loads a second that the store gives in all.
    pub loads_per_second: f64,
    /// The time after which a turn of which nothing was heard is taken to be over: a few times as
    /// long as owners take to say again that they use one.
    pub turn_timeout: Duration,
    /// The mechanisms that are on; all of them outside the bench.
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

/// What a load scheduler has to react to.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEvent {
    /// An owner wants to load, or its urgency has changed.
    TurnAsked {
        /// The target that loads.
        target: TargetName,
        /// The owner's id for the turn.
        order: OrderId,
        /// The adapter version.
        model: AdapterVersion,
        /// How badly it is needed.
        urgency: LoadUrgency,
    },
    /// An owner uses a turn, which an earlier scheduler may have granted.
    TurnHeld {
        /// The target that loads.
        target: TargetName,
        /// The owner's id for the turn.
        order: OrderId,
        /// The adapter version.
        model: AdapterVersion,
    },
    /// A turn is over, or is no longer wanted.
    TurnEnded {
        /// The target that loaded.
        target: TargetName,
        /// The owner's id for the turn.
        order: OrderId,
        /// How it ended.
        result: TurnResult,
    },
    /// The target's owner has changed: turns asked for by the old one are void.
    OwnerChanged(TargetName),
    /// Operators changed the store's object.
    Reconfigured(SchedulerConfig),
    /// Time has passed.
    Tick,
}

/// What a load scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerAction {
    /// Tell an owner that it may load now.
    Grant {
        /// The target that loads.
        target: TargetName,
        /// The owner's id for the turn.
        order: OrderId,
        /// How long a load asked for now would wait for its turn.
        queue_wait: Duration,
    },
}

/// The load scheduler of one weight store.
///
/// It gives turns by urgency, never more at a time than the store bears at full speed, and never
/// faster than its rate. A turn ends when the owner says so or has not been heard of for a short
/// time, so that a lost message, or an owner that is dead or cut off, holds the store up for that
/// time only.
#[derive(Debug)]
pub struct LoadScheduler {
    cfg: SchedulerConfig,
    waiting: IndexMap<Turn, Waiting>,
    running: IndexMap<Turn, Running>,
    load_time: DurationAverage,
    tokens: TokenBucket,
    /// When a load that waits may begin for the store's rate.
    next_token: Option<Moment>,
    asked: u64,
    live_in_a_row: u32,
    bugs: Bugs,
}

/// A turn: the target that loads, and its owner's id.
type Turn = (TargetName, OrderId);

#[derive(Clone, Copy, Debug)]
struct Waiting {
    urgency: LoadUrgency,
    told: Moment,
    arrival: u64,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    since: Moment,
    until: Moment,
}

impl Waiting {
    /// Returns how long the oldest request has waited.
    fn age(&self, now: Moment) -> Duration {
        Duration::from_millis(self.urgency.oldest_ms) + now.since(self.told)
    }
}

impl LoadScheduler {
    /// Starts with no load in progress.
    pub fn new(cfg: SchedulerConfig, now: Moment) -> Self {
        Self {
            waiting: IndexMap::new(),
            running: IndexMap::new(),
            load_time: DurationAverage::new(load_time_at(&cfg)),
            tokens: TokenBucket::new(cfg.loads_per_second, bucket_size(&cfg), now),
            next_token: None,
            asked: 0,
            live_in_a_row: 0,
            bugs: Bugs::default(),
            cfg,
        }
    }

    /// Takes one event and says what is to be done.
    pub fn handle(&mut self, event: SchedulerEvent, now: Moment) -> Vec<SchedulerAction> {
        let mut out = Vec::new();
        match event {
            SchedulerEvent::TurnAsked {
                target,
                order,
                urgency,
                ..
            } => self.asked((target, order), urgency, now, &mut out),
            SchedulerEvent::TurnHeld { target, order, .. } => self.held((target, order), now),
            SchedulerEvent::TurnEnded {
                target,
                order,
                result,
            } => self.ended(&(target, order), result, now),
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

    /// Seeds a bug, to show that a test finds it.
    #[cfg(feature = "seeded-bugs")]
    pub const fn seed(&mut self, bug: crate::Bug) {
        self.bugs = Bugs::seeded(bug);
    }

    /// Returns when [`SchedulerEvent::Tick`] is next wanted.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let timeout = self.running.values().map(|turn| turn.until).min();
        [timeout, self.next_token].into_iter().flatten().min()
    }

    /// Returns how long a live load asked for now would wait for its turn.
    pub fn queue_wait(&self) -> Duration {
        let live = |it: &&Waiting| it.urgency.class == Some(Class::Live);
        let ahead = self.running.len() + self.waiting.values().filter(live).count();
        let side_by_side = self.cfg.concurrency.max(1) as usize;
        let rounds = (ahead + 1).saturating_sub(side_by_side) as f64 / side_by_side as f64;
        self.load_time.get().mul_f64(rounds)
    }

    /// Returns the number of loads that have their turn.
    pub fn in_progress(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of loads that wait for their turn.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn asked(
        &mut self,
        turn: Turn,
        urgency: LoadUrgency,
        now: Moment,
        out: &mut Vec<SchedulerAction>,
    ) {
        if self.running.contains_key(&turn) {
            // The owner asks again for a turn that it has: the grant was lost, or crossed this.
            out.push(self.grant_action(turn));
            return;
        }
        self.asked += 1;
        let arrival = self.waiting.get(&turn).map_or(self.asked, |it| it.arrival);
        let waiting = Waiting {
            urgency,
            told: now,
            arrival,
        };
        self.waiting.insert(turn, waiting);
    }

    fn held(&mut self, turn: Turn, now: Moment) {
        self.waiting.swap_remove(&turn);
        let new = self.new_running(now);
        let running = self.running.entry(turn).or_insert(new);
        running.until = new.until;
    }

    fn ended(&mut self, turn: &Turn, result: TurnResult, now: Moment) {
        self.waiting.swap_remove(turn);
        let Some(running) = self.running.swap_remove(turn) else {
            if self.bugs.has(Bug::CountsEndTwice) {
                self.tokens.deposit(1.0, now);
            }
            return;
        };
        match result {
            TurnResult::Loaded => self.load_time.add(now.since(running.since)),
            TurnResult::Failed => self.tokens.deposit(self.unused(running, now), now),
            TurnResult::Withdrawn => self.tokens.deposit(1.0, now),
        }
    }

    /// Returns the part of a load that one which failed early did not draw from the store.
    fn unused(&self, running: Running, now: Moment) -> f64 {
        let whole = load_time_at(&self.cfg).as_secs_f64();
        let used = now.since(running.since).as_secs_f64() / whole.max(f64::MIN_POSITIVE);
        (1.0 - used).max(0.0)
    }

    /// Forgets what an earlier owner asked for.
    ///
    /// A load that it has under way may still be drawing on the store, so its turn goes on for as
    /// long as loads take.
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
            Some(Class::Live) => self.live_in_a_row = self.live_in_a_row.saturating_add(1),
            Some(Class::Deferrable) => self.live_in_a_row = 0,
            None => {}
        }
    }

    fn most_urgent(&self, now: Moment) -> Option<Turn> {
        let overload = self.queue_wait() >= OVERLOAD;
        let score = |waiting: &Waiting| self.score(waiting, overload, now);
        let best = self.waiting.iter().max_by(|(_, left), (_, right)| {
            let by_rank = self.rank(left, now).cmp(&self.rank(right, now));
            let by_score = by_rank.then(score(left).total_cmp(&score(right)));
            by_score.then(right.arrival.cmp(&left.arrival))
        });
        best.map(|(turn, _)| turn.clone())
    }

    /// Returns whose turn it is: live loads go first, but deferrable ones get a small share of the
    /// turns, so that they wait long rather than for ever.
    fn rank(&self, waiting: &Waiting, now: Moment) -> u8 {
        if !self.cfg.mechanisms.urgency {
            return 0;
        }
        let due = self.live_in_a_row >= DEFERRABLE_SHARE && waiting.age(now) >= DEFERRABLE_AGE;
        match waiting.urgency.class {
            Some(Class::Live) => 2,
            Some(Class::Deferrable) if due => 3,
            Some(Class::Deferrable) => 1,
            None => 0,
        }
    }

    /// Returns how urgent a turn is: the waiting that it ends, with an allowance for age.
    ///
    /// All loads take alike, so the sum of waiting is least when the load with most waiters goes
    /// first. Age keeps a load with one waiter from being overtaken for ever.
    fn score(&self, waiting: &Waiting, overload: bool, now: Moment) -> f64 {
        if !self.cfg.mechanisms.urgency {
            return 0.0;
        }
        let told = &waiting.urgency;
        let (waiter, second) = match told.class {
            Some(Class::Live) if overload => OVERLOAD_URGENCY,
            Some(Class::Live) => LIVE_URGENCY,
            Some(Class::Deferrable) => DEFERRABLE_URGENCY,
            None => return 0.0,
        };
        waiter * f64::from(told.waiters) + second * waiting.age(now).as_secs_f64()
    }

    fn new_running(&self, now: Moment) -> Running {
        Running {
            since: now,
            until: now + self.cfg.turn_timeout,
        }
    }

    fn grant_action(&self, (target, order): Turn) -> SchedulerAction {
        SchedulerAction::Grant {
            target,
            order,
            queue_wait: self.queue_wait(),
        }
    }
}

/// Returns how many loads may begin at once after a pause: a round, and one more, so that the
/// store never idles for want of a token when loads take a little less than they should.
fn bucket_size(cfg: &SchedulerConfig) -> f64 {
    f64::from(cfg.concurrency) + 1.0
}

fn load_time_at(cfg: &SchedulerConfig) -> Duration {
    let seconds = f64::from(cfg.concurrency) / cfg.loads_per_second.max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(seconds).map_or(LONGEST_WAIT, |it| it.min(LONGEST_WAIT))
}

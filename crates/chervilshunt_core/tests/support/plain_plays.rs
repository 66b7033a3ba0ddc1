//! Plays of a plain service under load, with the decisions of the placer or without them.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_core::{
    AdmissionRequest, AdmissionResult, Fingerprint, GrantNumber, GrantProgress, InstanceShare,
    ResidencyEvent, ServiceQueues, ShareRequest, ShareResult, TargetFacts, TargetStart,
};
use chervilshunt_model::{InstanceId, Moment, ServiceName, TargetName, ZoneName};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

pub(crate) const SERVICE: &str = "plain";
/// One way between an instance and the placer or a target, in microseconds.
const ONE_WAY: u64 = 1_500;
/// Time for which ends of requests are gathered into one message, in microseconds.
const GATHER: u64 = 3_000;

pub(crate) fn target_facts(name: &str, slots: u32, started: u64) -> TargetFacts {
    TargetFacts {
        name: TargetName::new(name),
        started: Some(TargetStart(started)),
        service: ServiceName::new(SERVICE),
        address: ([127, 0, 0, 1], 80).into(),
        zone: ZoneName::new("here"),
        slots,
        leaving: None,
        software: None,
        models: Vec::new(),
    }
}

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Class {
    pub(crate) objective: Duration,
    pub(crate) timeout: Duration,
    pub(crate) priority: u8,
}

pub(crate) const CLASSES: [Class; 2] = [
    Class {
        objective: Duration::from_millis(150),
        timeout: Duration::from_millis(1_500),
        priority: 0,
    },
    Class {
        objective: Duration::from_millis(300),
        timeout: Duration::from_millis(3_000),
        priority: 1,
    },
];

/// A time in which a part of the instances does not reach the placer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CutOff {
    pub(crate) from: f64,
    pub(crate) to: f64,
    pub(crate) part: f64,
}

/// Time after which the placer counts instances that don't report as absent, in seconds.
const NOTICED_AFTER: f64 = 1.3;
/// Time after which a request checks again for a place, in microseconds.
const POLL: u64 = 15_000;

/// What is played.
#[derive(Clone, Debug)]
pub(crate) struct Play {
    pub(crate) seed: u64,
    /// Whether the placer decides. Otherwise instances send to targets at random, as they do when
    /// they know nothing of each other's requests.
    pub(crate) has_placer: bool,
    pub(crate) instances: u64,
    pub(crate) targets: usize,
    pub(crate) slots: u32,
    /// The usual requests per second of each team.
    pub(crate) rates: Vec<f64>,
    /// By how much the rate of team 0 is multiplied while it is hot.
    pub(crate) hot: f64,
    /// The class of team 0's requests while it is hot; `None` for the usual mix.
    pub(crate) hot_class: Option<usize>,
    /// When team 0 is hot, in seconds.
    pub(crate) hot_from: f64,
    pub(crate) hot_to: f64,
    /// When one target is lost, in seconds.
    pub(crate) lost_at: Option<f64>,
    pub(crate) seconds: f64,
    /// When instances don't reach the placer, in seconds, and which part of them.
    pub(crate) cut_off: Option<CutOff>,
    /// The part of the callers that retry at once whatever they are told.
    pub(crate) impatient: f64,
    /// The part of the requests that are of the first class.
    pub(crate) urgent: f64,
}

impl Default for Play {
    /// 70 instances before four targets with six slots, of which one is lost, and 16 teams, of which
    /// one sends six times its usual for 11 s.
    fn default() -> Self {
        let mut rates = vec![9.0; 16];
        rates[0] = 40.0;
        Self {
            seed: 1,
            has_placer: true,
            instances: 70,
            targets: 4,
            slots: 6,
            rates,
            hot: 6.0,
            hot_class: None,
            hot_from: 3.0,
            hot_to: 14.0,
            lost_at: Some(2.5),
            seconds: 20.0,
            cut_off: None,
            impatient: 0.0,
            urgent: 0.4,
        }
    }
}

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Answered,
    /// Refused by the placer, finally.
    Refused,
    /// Turned away by its target.
    TurnedAway,
    /// At the target that was lost.
    Lost,
}

#[derive(Clone, Debug)]
pub(crate) struct Done {
    pub(crate) team: usize,
    pub(crate) class: usize,
    /// When the caller sent it first, in seconds.
    pub(crate) sent: f64,
    /// Time from the first attempt to the end.
    pub(crate) took: Duration,
    /// Refusals before its end.
    pub(crate) refusals: u32,
    pub(crate) is_impatient: bool,
    /// Whether its caller was given a time to return and kept to it.
    pub(crate) has_place: bool,
    pub(crate) end: End,
}

impl Done {
    pub(crate) fn is_in_time(&self) -> bool {
        self.end == End::Answered && self.took <= CLASSES[self.class].objective
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller's attempt reaches the placer.
    Asks(usize),
    /// A request reaches its target.
    Arrives(usize, usize),
    /// A target has run a request.
    Runs(usize, usize, u64),
    /// The placer hears of the end of a request.
    Ended(u64, bool),
    TargetLost(usize),
    /// The placer notices how many instances are absent, in thousandths.
    Absent(u32),
    /// A request that waits for a place of its instance's share checks again.
    Polls(usize),
}

#[derive(Clone, Debug)]
struct Caller {
    team: usize,
    class: usize,
    sent: u64,
    refusals: u32,
    is_impatient: bool,
    has_place: bool,
    grant: u64,
    /// When the present attempt came to its instance.
    asked: u64,
    /// Whether the request has a place of its instance's share.
    is_alone: bool,
}

#[derive(Clone, Debug, Default)]
struct TargetState {
    running: usize,
    waiting: VecDeque<usize>,
    is_lost: bool,
    run: u64,
}

/// The requests that wait at a target before it turns more away, as a multiple of its slots.
const TARGET_QUEUE: usize = 4;

pub(crate) struct Played {
    pub(crate) done: Vec<Done>,
    /// The grants that the placer counts as open at the end.
    pub(crate) open: usize,
    /// The most requests that were at one target.
    pub(crate) longest: usize,
}

struct World {
    play: Play,
    rng: ChaCha8Rng,
    queues: ServiceQueues,
    /// The share of each instance, and the requests that it has in flight.
    shares: Vec<(InstanceShare, u32)>,
    targets: Vec<TargetState>,
    callers: Vec<Caller>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    done: Vec<Done>,
    longest: usize,
}

impl Play {
    pub(crate) fn run(self) -> Played {
        let mut world = World::new(self);
        while let Some(Reverse((at, _, event))) = world.events.pop() {
            world.handle(event, at);
        }
        Played {
            done: world.done,
            open: world.queues.open_grants(),
            longest: world.longest,
        }
    }
}

impl World {
    fn new(play: Play) -> Self {
        let mut queues = ServiceQueues::default();
        for target in 0..play.targets {
            let facts = target_facts(&format!("t{target}"), play.slots, 1);
            queues.observe(&ResidencyEvent::TargetListed(facts), Moment::ZERO);
        }
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(play.seed),
            queues,
            shares: vec![Default::default(); play.instances as usize],
            targets: vec![TargetState::default(); play.targets],
            callers: Vec::new(),
            events: BinaryHeap::new(),
            next_event: 0,
            done: Vec::new(),
            longest: 0,
            play,
        };
        world.plan_callers();
        if let Some(at) = world.play.lost_at {
            world.at((at * 1e6) as u64, Event::TargetLost(0));
        }
        if let Some(CutOff { from, to, part }) = world.play.cut_off {
            let absent = (part * 1e3) as u32;
            world.at(((from + NOTICED_AFTER) * 1e6) as u64, Event::Absent(absent));
            world.at((to * 1e6) as u64, Event::Absent(0));
        }
        world
    }

    fn plan_callers(&mut self) {
        for team in 0..self.play.rates.len() {
            let mut at = 0.0;
            loop {
                let is_hot = team == 0 && (self.play.hot_from..self.play.hot_to).contains(&at);
                let rate = self.play.rates[team] * if is_hot { self.play.hot } else { 1.0 };
                at += -(1.0 - self.rng.random::<f64>()).ln() / rate;
                if at >= self.play.seconds {
                    break;
                }
                let sent = (at * 1e6) as u64;
                let mixed = usize::from(!self.rng.random_bool(self.play.urgent));
                let class = self.play.hot_class.filter(|_| is_hot).unwrap_or(mixed);
                let is_impatient = self.rng.random_bool(self.play.impatient);
                let number = self.callers.len();
                self.callers.push(Caller {
                    team,
                    class,
                    sent,
                    refusals: 0,
                    is_impatient,
                    has_place: false,
                    grant: 0,
                    asked: 0,
                    is_alone: false,
                });
                self.at(sent + ONE_WAY, Event::Asks(number));
            }
        }
    }

    fn at(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn handle(&mut self, event: Event, at: u64) {
        let now = Moment::from_micros(at);
        match event {
            Event::Asks(number) => {
                self.callers[number].asked = at;
                if self.is_cut_off(number, at) {
                    self.ask_alone(number, false, now);
                } else {
                    self.ask(number, now);
                }
            }
            Event::Polls(number) => self.ask_alone(number, true, now),
            Event::Absent(thousandths) => self.queues.set_absent(f64::from(thousandths) / 1e3),
            Event::Arrives(number, target) => self.arrive(number, target, at),
            Event::Runs(number, target, run) if self.targets[target].run == run => {
                self.ran(number, target, at);
            }
            Event::Runs(..) => {}
            Event::Ended(grant, has_begun) => {
                let number = GrantNumber(grant);
                let progress = GrantProgress {
                    begun: if has_begun { vec![number] } else { Vec::new() },
                    ended: vec![number],
                    ..GrantProgress::default()
                };
                self.queues
                    .observe(&ResidencyEvent::GrantsProgressed(progress), now);
            }
            Event::TargetLost(target) => self.lose(target, now),
        }
    }

    /// Returns the instance of a caller's present attempt.
    fn instance(&self, number: usize) -> usize {
        let attempt = self.callers[number].refusals as usize;
        (number + 7 * attempt) % self.shares.len()
    }

    fn is_cut_off(&self, number: usize, at: u64) -> bool {
        let at = at as f64 / 1e6;
        self.play.cut_off.is_some_and(|it| {
            let cut = (it.part * self.shares.len() as f64) as usize;
            (it.from..it.to).contains(&at) && self.instance(number) < cut
        })
    }

    /// Decides as an instance that does not reach the placer.
    fn ask_alone(&mut self, number: usize, is_waiting: bool, now: Moment) {
        let caller = self.callers[number].clone();
        let class = CLASSES[caller.class];
        let service = ServiceName::new(SERVICE);
        let instance = self.instance(number);
        let usable = self.targets.iter().filter(|it| !it.is_lost).count() as u32;
        let (share, in_flight) = &mut self.shares[instance];
        let passed = now.since(Moment::from_micros(caller.asked));
        let time_left = class
            .timeout
            .saturating_sub(now.since(Moment::from_micros(caller.sent)));
        let req = ShareRequest {
            service: &service,
            slots: usable * self.play.slots,
            instances: self.play.instances as usize,
            in_flight: *in_flight,
            objective: class.objective,
            objective_left: class.objective.saturating_sub(passed),
            time_left,
            content: Fingerprint::of([&number.to_le_bytes()[..]]),
            is_waiting,
        };
        let result = share.decide(&req, now);
        if is_waiting && result != ShareResult::Wait {
            share.wait_ended(&service);
        }
        match result {
            ShareResult::Admitted => {
                share.sent(&service);
                *in_flight += 1;
                self.callers[number].is_alone = true;
                self.send_to_any(number, now);
            }
            ShareResult::Wait => {
                if !is_waiting {
                    share.wait_began(&service);
                }
                self.at(now.as_micros() + POLL, Event::Polls(number));
            }
            ShareResult::Refused(retry_in) => {
                self.refused(number, retry_in.unwrap_or(time_left / 3), now);
            }
        }
    }

    fn send_to_any(&mut self, number: usize, now: Moment) {
        let target = loop {
            let target = self.rng.random_range(0..self.targets.len());
            if !self.targets[target].is_lost {
                break target;
            }
        };
        self.at(now.as_micros() + ONE_WAY, Event::Arrives(number, target));
    }

    fn ask(&mut self, number: usize, now: Moment) {
        let caller = self.callers[number].clone();
        if !self.play.has_placer {
            return self.send_to_any(number, now);
        }
        let class = CLASSES[caller.class];
        let passed = now.since(Moment::from_micros(caller.sent));
        // The placer knows of the present attempt only.
        let attempt_age = Duration::from_micros(ONE_WAY);
        let req = AdmissionRequest {
            service: ServiceName::new(SERVICE),
            team: Some(Arc::from(format!("team-{}", caller.team))),
            weight: Some(self.play.rates[caller.team]),
            objective_left: class.objective.saturating_sub(attempt_age),
            time_left: class.timeout.saturating_sub(passed),
            priority: class.priority,
            content: Fingerprint::of([&number.to_le_bytes()[..]]),
            is_repeat: false,
            zone: None,
            avoid: Vec::new(),
        };
        let from = InstanceId::new(format!("i{}", self.instance(number)));
        self.next_event += 1;
        let grant = self.next_event;
        let draw = self.rng.random();
        let result = self
            .queues
            .admit(GrantNumber(grant), &from, &req, draw, now);
        match result {
            AdmissionResult::At { target, .. } => {
                self.callers[number].grant = grant;
                let target = target.as_str()[1..].parse().expect("a number");
                self.at(
                    now.as_micros() + 2 * ONE_WAY,
                    Event::Arrives(number, target),
                );
            }
            AdmissionResult::Busy(refused) => {
                let third = req.time_left / 3;
                if caller.refusals == 0 {
                    self.callers[number].has_place = refused.retry_in.is_some();
                }
                self.refused(number, refused.retry_in.unwrap_or(third), now);
            }
            AdmissionResult::NoTarget => panic!("there are targets"),
        }
    }

    fn refused(&mut self, number: usize, retry_in: Duration, now: Moment) {
        let caller = &mut self.callers[number];
        caller.refusals += 1;
        if caller.refusals > 1 {
            return self.end(number, End::Refused, now.as_micros() + ONE_WAY);
        }
        let wait = if caller.is_impatient {
            caller.has_place = false;
            2_000
        } else {
            retry_in.as_micros() as u64
        };
        self.at(now.as_micros() + 2 * ONE_WAY + wait, Event::Asks(number));
    }

    fn arrive(&mut self, number: usize, target: usize, at: u64) {
        let state = &mut self.targets[target];
        let slots = self.play.slots as usize;
        self.longest = self.longest.max(state.running + state.waiting.len());
        if state.is_lost {
            self.report_end(number, false, at);
            return self.end(number, End::Lost, at);
        }
        if state.running < slots {
            state.running += 1;
            return self.start(number, target, at);
        }
        if state.waiting.len() >= slots * TARGET_QUEUE {
            self.report_end(number, false, at);
            return self.end(number, End::TurnedAway, at);
        }
        state.waiting.push_back(number);
    }

    fn start(&mut self, number: usize, target: usize, at: u64) {
        let takes = self.rng.random_range(30_000..90_000);
        let run = self.targets[target].run;
        self.at(at + takes, Event::Runs(number, target, run));
    }

    fn ran(&mut self, number: usize, target: usize, at: u64) {
        self.report_end(number, true, at);
        self.end(number, End::Answered, at + 2 * ONE_WAY);
        match self.targets[target].waiting.pop_front() {
            Some(next) => self.start(next, target, at),
            None => self.targets[target].running -= 1,
        }
    }

    fn report_end(&mut self, number: usize, has_begun: bool, at: u64) {
        if self.callers[number].is_alone {
            let instance = self.instance(number);
            self.shares[instance].1 -= 1;
            return;
        }
        let grant = self.callers[number].grant;
        let gathered = self.rng.random_range(0..=GATHER);
        self.at(at + 2 * ONE_WAY + gathered, Event::Ended(grant, has_begun));
    }

    fn lose(&mut self, target: usize, now: Moment) {
        let state = &mut self.targets[target];
        state.is_lost = true;
        state.run += 1;
        let name = TargetName::new(format!("t{target}"));
        self.queues.observe(&ResidencyEvent::TargetGone(name), now);
    }

    fn end(&mut self, number: usize, end: End, at: u64) {
        let caller = &self.callers[number];
        self.done.push(Done {
            team: caller.team,
            class: caller.class,
            sent: caller.sent as f64 / 1e6,
            took: Duration::from_micros(at - caller.sent),
            refusals: caller.refusals,
            is_impatient: caller.is_impatient,
            has_place: caller.has_place,
            end,
        });
    }
}

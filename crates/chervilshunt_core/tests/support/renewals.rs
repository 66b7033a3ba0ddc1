//! A planner before targets that hold a base model of which a newer version is named.
//!
//! The targets do what the platform's do: a load of a model that is there, in whatever version, holds
//! already; giving a model up waits for its requests, drops its adapters, and keeps the target from
//! other orders meanwhile; what they list comes a moment late.

#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::time::Duration;

use chervilshunt_core::{
    GrantNumber, GrantProgress, Lane, LoadedAdapter, LoadedModel, ModelSpec, Order, OrderAnswer,
    OrderKind, Placed, PlacementLimits, Residency, ResidencyAction, ResidencyConfig,
    ResidencyEvent, TargetFacts, TargetReport, Want, Weights,
};
use chervilshunt_model::{InstanceId, Moment, ServiceName, TargetName, ZoneName};

pub(crate) const TARGETS: usize = 9;
pub(crate) const FIRST: u64 = 1;
pub(crate) const SECOND: u64 = 2;
/// When the second version is named, in milliseconds.
pub(crate) const NAMED_AT: u64 = 2_000;

/// How long a request is under way.
const RUNS_FOR: Duration = Duration::from_secs(3);
/// How long a target takes to load the base model, and an adapter.
const LOAD_OF_MODEL: Duration = Duration::from_millis(600);
const ADAPTER_LOAD: Duration = Duration::from_millis(250);
/// How late the planner sees what a target lists.
const LISTED_AFTER: Duration = Duration::from_millis(400);
/// How late an order's answer comes that was lost: when it is given up on.
const GIVEN_UP_AFTER: Duration = Duration::from_millis(250);
const STEP_MS: u64 = 5;

pub(crate) fn at(millis: u64) -> Moment {
    Moment::from_millis(50_000 + millis)
}

pub(crate) fn service() -> ServiceName {
    ServiceName::from("drafts")
}

pub(crate) fn base() -> Weights {
    Weights::base(&"base".into())
}

pub(crate) fn adapter(name: &str) -> Weights {
    Weights::adapter(&"base".into(), &name.into())
}

pub(crate) fn target(index: usize) -> TargetName {
    TargetName::new(format!("t{index}"))
}

pub(crate) fn facts(index: usize, version: Option<u64>, adapters: &[&str]) -> TargetFacts {
    let adapters = adapters.iter().map(|name| LoadedAdapter {
        name: (*name).into(),
        version: 1,
    });
    let model = version.map(|version| LoadedModel {
        name: "base".into(),
        version,
        adapters: adapters.collect(),
    });
    TargetFacts {
        started: None,
        name: target(index),
        service: service(),
        address: ([10, 0, 0, 1], 8000).into(),
        zone: ZoneName::from("zone"),
        slots: 16,
        leaving: None,
        models: model.into_iter().collect(),
    }
}

/// What becomes of an order's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    Answered,
    /// The order is carried out and its answer lost.
    AnswerLost,
    /// It never arrives, and nobody says so.
    Lost,
}

/// What a target is doing on order.
#[derive(Clone, Copy, Debug)]
enum Work {
    GivingUp,
    Loading(Moment),
}

#[derive(Clone, Debug)]
struct Site {
    version: Option<u64>,
    adapters: Vec<(Weights, Moment)>,
    accepted: u64,
    work: Option<Work>,
    /// The ends of its requests.
    runs: Vec<Moment>,
    /// What it is to be listed with, and from when.
    listings: Vec<(Moment, Option<u64>)>,
}

/// A request that the planner placed.
#[derive(Clone, Debug)]
pub(crate) struct PlacedAt {
    pub(crate) at: Moment,
    /// The version of the base model at its target.
    pub(crate) version: Option<u64>,
}

pub(crate) struct Replay {
    residency: Residency,
    sites: Vec<Site>,
    now_ms: u64,
    newest: u64,
    next_question: u64,
    open: Vec<(GrantNumber, Moment)>,
    answers: Vec<(Moment, ResidencyEvent)>,
    orders: usize,
    /// What becomes of the answers to orders about the base model, one after the other; the later ones
    /// all arrive.
    pub(crate) fates: Vec<Fate>,
    pub(crate) placed: Vec<PlacedAt>,
    pub(crate) refused: Vec<(u64, Placed)>,
    /// The most targets that took no requests at one time.
    pub(crate) most_away: usize,
    /// Orders for the base model.
    pub(crate) model_orders: Vec<Order>,
}

impl Replay {
    pub(crate) fn new() -> Self {
        let mut residency = Residency::new(ResidencyConfig::default(), at(0));
        let limits = PlacementLimits {
            models: vec![ModelSpec {
                name: "base".into(),
                megabytes: 100.0,
                load_time: LOAD_OF_MODEL,
                adapter_megabytes: 1.0,
            }],
            megabytes: 150.0,
            adapter_slots: 4,
            loads_per_second: 4.0,
        };
        residency.handle(ResidencyEvent::Limits(service(), limits), at(0));
        let site = Site {
            version: Some(FIRST),
            adapters: Vec::new(),
            accepted: 0,
            work: None,
            runs: Vec::new(),
            listings: vec![(at(0), Some(FIRST))],
        };
        Self {
            residency,
            sites: vec![site; TARGETS],
            now_ms: 0,
            newest: FIRST,
            next_question: 0,
            open: Vec::new(),
            answers: Vec::new(),
            orders: 0,
            fates: Vec::new(),
            placed: Vec::new(),
            refused: Vec::new(),
            most_away: 0,
            model_orders: Vec::new(),
        }
    }

    pub(crate) fn versions(&self) -> Vec<Option<u64>> {
        self.sites.iter().map(|site| site.version).collect()
    }

    /// Lets time pass, with a request for some weights now and then once the planner knows its targets.
    pub(crate) fn run_until(&mut self, end_ms: u64, asks_every_ms: u64, weights: &Weights) {
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.targets_go_on();
            self.listings();
            if self.now_ms == NAMED_AT {
                self.newest = SECOND;
                self.handle(ResidencyEvent::VersionNamed(base(), SECOND));
            }
            let due: Vec<ResidencyEvent> = self.take_due_answers();
            for answer in due {
                self.handle(answer);
            }
            self.tell_uses();
            if self.now_ms >= NAMED_AT / 2 && self.now_ms.is_multiple_of(asks_every_ms) {
                self.ask(weights);
            }
            if self
                .residency
                .next_wakeup()
                .is_some_and(|due| due <= self.now())
            {
                self.handle(ResidencyEvent::Tick);
            }
            let away = self.sites.iter();
            let away = away.filter(|site| site.version.is_none() || site.work.is_some());
            self.most_away = self.most_away.max(away.count());
        }
    }

    fn now(&self) -> Moment {
        at(self.now_ms)
    }

    fn handle(&mut self, event: ResidencyEvent) {
        let now = self.now();
        for action in self.residency.handle(event, now) {
            match action {
                ResidencyAction::Order(order) => self.order(order),
                ResidencyAction::Ask(name) => {
                    let report = ResidencyEvent::Reported(name.clone(), self.report(&name));
                    self.answers.push((now + Duration::from_millis(2), report));
                }
                ResidencyAction::Answer(question, placed) => self.answered(question, placed),
                ResidencyAction::Tell(_) => {}
            }
        }
    }

    fn ask(&mut self, weights: &Weights) {
        self.next_question += 1;
        self.handle(ResidencyEvent::Wanted {
            question: self.next_question,
            from: InstanceId::from("i"),
            want: Want {
                service: service(),
                weights: weights.clone(),
                prompt_tokens: 100,
                lane: Lane::General,
                zone: ZoneName::from("zone"),
                avoid: Vec::new(),
            },
            within: Duration::from_secs(1),
        });
    }

    fn answered(&mut self, question: u64, placed: Placed) {
        let now = self.now();
        match placed {
            Placed::At { target: name } => {
                let site = &mut self.sites[index(&name)];
                site.runs.push(now + RUNS_FOR);
                let version = site.version;
                self.open.push((GrantNumber(question), now + RUNS_FOR));
                self.placed.push(PlacedAt { at: now, version });
            }
            Placed::Later { .. } => self.refused.push((self.now_ms, placed)),
        }
    }

    /// Tells the planner which requests have ended.
    fn tell_uses(&mut self) {
        let now = self.now();
        let ended: Vec<GrantNumber> = self
            .open
            .extract_if(.., |it| it.1 <= now)
            .map(|it| it.0)
            .collect();
        if !ended.is_empty() {
            let progress = GrantProgress {
                ended,
                ..GrantProgress::default()
            };
            self.handle(ResidencyEvent::Progressed(progress));
        }
        if self.now_ms.is_multiple_of(400) {
            let open = self.open.iter().map(|it| it.0).collect();
            self.handle(ResidencyEvent::Used(
                InstanceId::from("i"),
                Vec::new(),
                open,
            ));
        }
    }

    fn take_due_answers(&mut self) -> Vec<ResidencyEvent> {
        let now = self.now();
        let due = self.answers.extract_if(.., |it| it.0 <= now);
        due.map(|it| it.1).collect()
    }

    fn targets_go_on(&mut self) {
        let now = self.now();
        let newest = self.newest;
        for site in &mut self.sites {
            site.runs.retain(|end| *end > now);
            match site.work {
                Some(Work::GivingUp) if site.runs.is_empty() => {
                    site.version = None;
                    site.adapters.clear();
                }
                Some(Work::Loading(end)) if end <= now => site.version = Some(newest),
                Some(_) | None => continue,
            }
            site.work = None;
            site.listings.push((now + LISTED_AFTER, site.version));
        }
    }

    fn listings(&mut self) {
        let now = self.now();
        for index in 0..self.sites.len() {
            let due: Vec<_> = self.sites[index]
                .listings
                .extract_if(.., |it| it.0 <= now)
                .collect();
            for (_, version) in due {
                self.handle(ResidencyEvent::TargetSeen(facts(index, version, &[])));
            }
        }
    }

    fn report(&self, name: &TargetName) -> TargetReport {
        let now = self.now();
        let site = &self.sites[index(name)];
        let adapters = site.adapters.iter();
        let (held, loading): (Vec<_>, Vec<_>) = adapters.partition(|it| it.1 <= now);
        TargetReport {
            started: None,
            accepted: site.accepted,
            busy: site.work.is_some(),
            models: site.version.map(|it| (base(), it)).into_iter().collect(),
            adapters: held.into_iter().map(|it| (it.0.clone(), 1)).collect(),
            loading: loading.into_iter().map(|it| it.0.clone()).collect(),
        }
    }

    fn order(&mut self, order: Order) {
        let now = self.now();
        let about_model = order.weights.adapter.is_none();
        let fate = if about_model && !self.fates.is_empty() {
            self.fates.remove(0)
        } else {
            Fate::Answered
        };
        let carried_out = match fate {
            Fate::Answered | Fate::AnswerLost => Some(self.carry_out(&order)),
            Fate::Lost => None,
        };
        let (answer, after) = match (fate, carried_out) {
            (Fate::Answered, Some(answer)) => (answer, Duration::from_millis(2)),
            _ => (OrderAnswer::Unanswered, GIVEN_UP_AFTER),
        };
        let answered = ResidencyEvent::Answered(order.number, answer);
        self.answers.push((now + after, answered));
        if about_model {
            self.model_orders.push(order);
        }
    }

    fn carry_out(&mut self, order: &Order) -> OrderAnswer {
        let now = self.now();
        let site = &mut self.sites[index(&order.target)];
        let adapter = order.weights.adapter.is_some();
        let holds = if adapter {
            site.adapters
                .iter()
                .any(|it| it.0 == order.weights && it.1 <= now)
        } else {
            site.version.is_some()
        };
        if order.kind == OrderKind::Load && holds {
            return OrderAnswer::Done;
        }
        if site.work.is_some() || order.accepted_before != site.accepted {
            return OrderAnswer::OutOfTurn;
        }
        if !holds && (order.kind == OrderKind::Unload || adapter && site.version.is_none()) {
            return OrderAnswer::Refused;
        }
        site.accepted += 1;
        match (order.kind, adapter) {
            (OrderKind::Load, true) => {
                site.adapters
                    .push((order.weights.clone(), now + ADAPTER_LOAD));
            }
            (OrderKind::Unload, true) => {
                site.adapters.retain(|it| it.0 != order.weights);
                return OrderAnswer::Done;
            }
            (OrderKind::Load, false) => site.work = Some(Work::Loading(now + LOAD_OF_MODEL)),
            (OrderKind::Unload, false) => site.work = Some(Work::GivingUp),
        }
        OrderAnswer::Accepted
    }
}

fn index(name: &TargetName) -> usize {
    name.as_str()[1..].parse().expect("a target's number")
}

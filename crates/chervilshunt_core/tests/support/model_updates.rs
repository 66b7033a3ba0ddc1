//! Test support: a planner with targets that hold a base model of which a newer version is
//! announced.
//!
//! The targets behave like those of the platform (`real_target.rs`), and their entries are seen
//! with a delay.

#![allow(dead_code, reason = "each test binary uses a part of it")]

#[path = "placing.rs"]
mod placing;
#[path = "real_target.rs"]
mod real_target;

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_core::{
    GrantNumber, GrantProgress, Lane, LoadedAdapter, LoadedModel, Order, OrderAnswer, OrderKind,
    PlacementRequest, PlacementResult, ResidencyAction, ResidencyConfig, ResidencyEvent,
    ResidencyPlanner, TargetFacts, Weights,
};
use chervilshunt_model::{InstanceId, Moment, TargetName, ZoneName};
use placing::limits;
pub(crate) use placing::{adapter, at, service, target};
use real_target::{SLOTS, SimulatedTarget};

pub(crate) const TARGETS: usize = 9;
pub(crate) const FIRST: u64 = 1;
pub(crate) const SECOND: u64 = 2;
/// When the second version is announced, in milliseconds.
pub(crate) const ANNOUNCED_AT: u64 = 2_000;

/// How long a request is in flight.
const REQUEST_DURATION: Duration = Duration::from_secs(3);
/// How late the planner sees a target's entry.
const LISTING_DELAY: Duration = Duration::from_millis(400);
/// After what time a lost answer is given up on.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
const LATE_EXECUTION_DELAY: Duration = Duration::from_secs(3);
/// The time that an order and its answer take.
const ANSWER_DELAY: Duration = Duration::from_millis(2);
const STEP_MS: u64 = 5;

pub(crate) fn base() -> Weights {
    Weights::base(&"base".into())
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
        software: None,
        models: model.into_iter().collect(),
    }
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    Answered,
    /// The order is executed and its answer is lost.
    AnswerLost,
    /// The order never arrives, and its sender is not notified of that.
    Lost,
    /// The order is not answered and is executed seconds later, if its condition still holds.
    Late,
}

#[derive(Clone, Debug)]
struct Site {
    real: SimulatedTarget,
    /// The end times of its requests.
    runs: Vec<Moment>,
    /// The base model versions to list, each with the time from which it is listed.
    listings: Vec<(Moment, Option<u64>)>,
}

/// A request that the planner placed.
#[derive(Clone, Debug)]
pub(crate) struct PlacedAt {
    pub(crate) at: Moment,
    /// The version of the base model on its target.
    pub(crate) version: Option<u64>,
}

pub(crate) struct Replay {
    residency: ResidencyPlanner,
    sites: Vec<Site>,
    now_ms: u64,
    versions: BTreeMap<String, u64>,
    next_request_id: u64,
    open: Vec<(GrantNumber, Moment)>,
    answers: Vec<(Moment, ResidencyEvent)>,
    late: Vec<(Moment, Order)>,
    /// The outcomes of successive orders for the base model; all orders after those are answered.
    pub(crate) fates: Vec<Fate>,
    /// Whether loads bring the announced version.
    pub(crate) loads_announced_version: bool,
    /// The number of orders to unload a base model.
    pub(crate) unload_orders: usize,
    pub(crate) placed: Vec<PlacedAt>,
    pub(crate) refused: Vec<(u64, PlacementResult)>,
    /// The highest number of targets that accepted no requests at the same time.
    pub(crate) max_out_of_service: usize,
}

impl Replay {
    pub(crate) fn new() -> Self {
        let mut residency = ResidencyPlanner::new(ResidencyConfig::default(), at(0));
        let limits = limits(SLOTS);
        residency.handle(ResidencyEvent::Limits(service(), limits), at(0));
        let site = Site {
            real: SimulatedTarget::new(None, FIRST),
            runs: Vec::new(),
            listings: vec![(at(0), Some(FIRST))],
        };
        Self {
            residency,
            sites: vec![site; TARGETS],
            now_ms: 0,
            versions: BTreeMap::from([("base".to_owned(), FIRST)]),
            next_request_id: 0,
            open: Vec::new(),
            answers: Vec::new(),
            late: Vec::new(),
            fates: Vec::new(),
            loads_announced_version: true,
            unload_orders: 0,
            placed: Vec::new(),
            refused: Vec::new(),
            max_out_of_service: 0,
        }
    }

    pub(crate) fn versions(&self) -> Vec<Option<u64>> {
        self.sites.iter().map(|site| site.real.version).collect()
    }

    /// Lets time pass, with a request for some weights every `request_interval_ms` once the planner knows
    /// its targets.
    pub(crate) fn run_until(&mut self, end_ms: u64, request_interval_ms: u64, weights: &Weights) {
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.advance_targets();
            self.listings();
            if self.now_ms == ANNOUNCED_AT {
                if self.loads_announced_version {
                    self.versions.insert("base".to_owned(), SECOND);
                }
                self.handle(ResidencyEvent::VersionAnnounced(base(), SECOND));
            }
            let due: Vec<ResidencyEvent> = self.take_due_answers();
            for answer in due {
                self.handle(answer);
            }
            self.report_uses();
            if self.now_ms >= ANNOUNCED_AT / 2 && self.now_ms.is_multiple_of(request_interval_ms) {
                self.send_request(weights);
            }
            if self
                .residency
                .next_wakeup()
                .is_some_and(|due| due <= self.now())
            {
                self.handle(ResidencyEvent::Tick);
            }
            let away = self
                .sites
                .iter()
                .filter(|site| site.real.is_out_of_service());
            self.max_out_of_service = self.max_out_of_service.max(away.count());
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
                ResidencyAction::QueryTarget(name) => {
                    let report = self.sites[index(&name)].real.report();
                    let report = ResidencyEvent::TargetReported(name, report);
                    self.answers.push((now + Duration::from_millis(2), report));
                }
                ResidencyAction::Answer(request_id, placed) => self.answered(request_id, placed),
                ResidencyAction::Notify(_) => {}
            }
        }
    }

    fn send_request(&mut self, weights: &Weights) {
        self.next_request_id += 1;
        self.handle(ResidencyEvent::PlacementRequested {
            request_id: self.next_request_id,
            from: InstanceId::from("i"),
            request: PlacementRequest {
                software: None,
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

    fn answered(&mut self, request_id: u64, placed: PlacementResult) {
        let now = self.now();
        match placed {
            PlacementResult::At { target: name, .. } => {
                let site = &mut self.sites[index(&name)];
                site.runs.push(now + REQUEST_DURATION);
                let version = site.real.version;
                self.open
                    .push((GrantNumber(request_id), now + REQUEST_DURATION));
                self.placed.push(PlacedAt { at: now, version });
            }
            PlacementResult::Later { .. } => self.refused.push((self.now_ms, placed)),
        }
    }

    /// Reports ended requests and, periodically, those in flight to the planner.
    fn report_uses(&mut self) {
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
            self.handle(ResidencyEvent::GrantsProgressed(progress));
        }
        if self.now_ms.is_multiple_of(400) {
            let open = self.open.iter().map(|it| it.0).collect();
            self.handle(ResidencyEvent::UsageReported(
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

    fn advance_targets(&mut self) {
        let now = self.now();
        let due: Vec<_> = self.late.extract_if(.., |it| it.0 <= now).collect();
        for (_, order) in due {
            let site = &mut self.sites[index(&order.target)];
            site.real.execute(&order, now);
        }
        for site in &mut self.sites {
            site.runs.retain(|end| *end > now);
            if site.real.pass(&self.versions, !site.runs.is_empty(), now) {
                site.listings.push((now + LISTING_DELAY, site.real.version));
            }
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
                self.handle(ResidencyEvent::TargetListed(facts(index, version, &[])));
            }
        }
    }

    fn order(&mut self, order: Order) {
        let now = self.now();
        let about_model = order.weights.adapter.is_none();
        if about_model && order.kind == OrderKind::Unload {
            self.unload_orders += 1;
        }
        let fate = if about_model && !self.fates.is_empty() {
            self.fates.remove(0)
        } else {
            Fate::Answered
        };
        let site = &mut self.sites[index(&order.target)];
        let (answer, after) = match fate {
            Fate::Answered => (site.real.execute(&order, now), ANSWER_DELAY),
            Fate::AnswerLost => {
                site.real.execute(&order, now);
                (OrderAnswer::Unanswered, ANSWER_TIMEOUT)
            }
            Fate::Lost => (OrderAnswer::Unanswered, ANSWER_TIMEOUT),
            Fate::Late => {
                self.late.push((now + LATE_EXECUTION_DELAY, order.clone()));
                (OrderAnswer::Unanswered, ANSWER_TIMEOUT)
            }
        };
        let answered = ResidencyEvent::OrderAnswered(order.number, answer);
        self.answers.push((now + after, answered));
    }
}

fn index(name: &TargetName) -> usize {
    name.as_str()[1..].parse().expect("a target's number")
}

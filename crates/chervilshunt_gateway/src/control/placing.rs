//! The placer: passes events to the planner and carries out its actions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chervilshunt_coord::era_of_term;
use chervilshunt_core::{
    ChargeNumber, ChargeResult, GrantNumber, Order, OrderAnswer, PlacementResult, QuotaLedger,
    ResidencyAction, ResidencyConfig, ResidencyEvent, ResidencyPlanner, ServiceQueues, TargetStart,
    TargetUse,
};
use chervilshunt_engine::{ConnectionUse, EngineError, Outcome};
use chervilshunt_mesh::{Peer, Reply};
use chervilshunt_model::{InstanceId, Moment, TargetName};

use super::actor::{Control, PendingPlacement, Placer};
use super::messages::{OrderResult, TargetQueried};
use super::presence::{InstanceStatus, Presence};
use crate::peers::{PeerMessage, TransitOffer};
use crate::reports::{TARGET_CALL_LIMITS, fetch_report, single_call_client};

/// Placement requests are numbered from the placer's term in the upper half of the number on. The
/// numbers also identify grants, which instances may still report to a later placer.
const TERM_SHIFT: u32 = 32;
/// The part of the upper half that holds the platform's era; terms start over in each era.
const ERA_SHIFT: u32 = 24;

/// Returns the number of the first placement request of a term.
const fn first_request_number(term: u64) -> u64 {
    let era = era_of_term(term) << ERA_SHIFT;
    let within_era = term & ((1 << ERA_SHIFT) - 1);
    (era | within_era) << TERM_SHIFT
}
/// Time into a term after which every instance has reported several times.
const PRESENCE_SETTLE_TIME: Duration = Duration::from_secs(5);
/// Age of a target's start up to which an earlier placer may have sent an order to the start before it that
/// is still to be executed: the longest delay of an order, and slack for clocks that differ or jump.
const RECENT_START: Duration = Duration::from_secs(17);

impl Control {
    /// Becomes the placer: passes everything that is known to a new planner.
    pub(super) fn become_placer(&mut self, term: u64, now: Moment) {
        slog::info!(self.shared.log, "placing started"; "term" => term,
            "loads_at_once" => self.estimates.map(|it| it.loads_at_once));
        metrics::counter!("chervilshunt_placer_terms_total").increment(1);
        let mut residency = ResidencyPlanner::new(ResidencyConfig::default(), now);
        if let Some(estimates) = self.estimates {
            residency.start_with(estimates);
        }
        let is_first = term == 1 && self.shared.settings.instance.is_first_start;
        if !is_first {
            residency.follow_predecessor(recent_start(SystemTime::now()), now);
        }
        self.placer = Some(Placer {
            residency,
            pending_requests: HashMap::new(),
            next_request: first_request_number(term),
            presence: Presence::default(),
            began: now,
            ledger: QuotaLedger::new(self.shared.settings.bounds.quota_tolerance, now),
            retries: self.new_retry_ledger(term, now),
            queues: ServiceQueues::default(),
        });
        if let Some(routes) = self.shared.routes.load_full() {
            self.plan_limits(&routes);
            self.apply_quotas(&routes, now);
        }
        let targets: Vec<_> = self.shared.dispatch().targets().cloned().collect();
        for facts in targets {
            self.plan(ResidencyEvent::TargetListed(facts));
        }
        let speeds = self.shared.dispatch().speeds();
        if let Some(placer) = &mut self.placer {
            placer.residency.start_with_speeds(speeds);
        }
        let limits = self.known_limits();
        self.plan_rate_limits(&limits);
        for (weights, version) in self.versions.clone() {
            self.plan(ResidencyEvent::VersionAnnounced(weights, version));
        }
        self.shared.dispatch().placer_responded(now);
        self.record_known_streams(now);
    }

    /// Stops placing. Pending placement requests end unanswered. The other instances choose targets
    /// on their own from now on, so they are sent what targets hold.
    pub(super) fn stop_placing(&mut self) {
        slog::info!(self.shared.log, "placing stopped");
        if let Some(placer) = self.placer.take() {
            self.send_snapshots(&placer);
        }
        self.choose_relays();
    }

    /// Passes an event to the planner if this instance is the placer.
    pub(super) fn plan(&mut self, event: ResidencyEvent) {
        let now = self.now();
        let Some(placer) = &mut self.placer else {
            return;
        };
        placer.queues.observe(&event, now);
        let actions = placer.residency.handle(event, now);
        for (target, change) in placer.residency.take_pace_changes() {
            self.shared.record_pace_change(&target, change, "placer");
        }
        for action in actions {
            self.execute(action, now);
        }
    }

    fn execute(&mut self, action: ResidencyAction, now: Moment) {
        match action {
            ResidencyAction::Order(order) => self.send_order(order, now),
            ResidencyAction::QueryTarget(target) => self.query_target(target),
            ResidencyAction::Notify(holding) => self.shared.dispatch().holding_changed(holding),
            ResidencyAction::Answer(question, placed) => self.answer(question, placed),
        }
    }

    /// Sends an order to a target if the lease is valid at this moment.
    fn send_order(&mut self, order: Order, now: Moment) {
        let Some(control) = self.address.clone() else {
            return;
        };
        let number = order.number;
        let address = self.address_of(&order.target);
        let (Some(term), Some(address)) = (self.keeper.may_order(now), address) else {
            tokio::spawn(async move {
                drop(
                    control
                        .send(OrderResult(number, OrderAnswer::NotSent))
                        .await,
                )
            });
            return;
        };
        let req = (self.shared.dialect.targets.order)(&order, self.own_id(), term);
        let read = self.shared.dialect.targets.decode_order_answer;
        let client = single_call_client(&self.shared, address);
        let shared = Arc::clone(&self.shared);
        let log = self.shared.log.clone();
        tokio::spawn(async move {
            let started = shared.dispatch().started(&order.target);
            let answer = match client
                .forward(req, ConnectionUse::NEW, TARGET_CALL_LIMITS)
                .await
            {
                Ok((head, _)) => {
                    let answer = read(head.status, &head.headers, &order.target);
                    if answer != OrderAnswer::OtherTarget {
                        shared.record_connection_opened(&order.target);
                        shared.check_leaving(&order.target, started, &head.headers);
                        shared.check_limit(&order.target, started, &head.headers, None);
                        shared.check_brittle(&order.target, &head.headers, now);
                    }
                    answer
                }
                Err(error) => {
                    shared.record_call_failure(&order.target, "order", &error);
                    unanswered(&error)
                }
            };
            slog::info!(log, "order";
                "target" => order.target.as_str(), "kind" => ?order.kind,
                "weights" => order.weights.to_string(), "version" => order.version,
                "accepted_before" => order.accepted_before, "term" => term, "answer" => ?answer);
            metrics::counter!("chervilshunt_orders_total", "answer" => answer_label(answer))
                .increment(1);
            drop(control.send(OrderResult(number, answer)).await);
        });
    }

    /// Asks a target what it holds.
    fn query_target(&self, target: TargetName) {
        let Some(control) = self.address.clone() else {
            return;
        };
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let report = match fetch_report(&shared, &target).await {
                Ok(report) => Some(report),
                Err(reason) => {
                    slog::info!(shared.log, "target not queried";
                        "target" => target.as_str(), "reason" => reason);
                    None
                }
            };
            drop(control.send(TargetQueried(target, report)).await);
        });
    }

    fn address_of(&self, target: &TargetName) -> Option<SocketAddr> {
        self.shared.dispatch().target(target).map(|it| it.address)
    }

    /// Handles an instance's report of its open requests and answers with the placer's status.
    pub(super) fn handle_usage_report(
        &mut self,
        from: &InstanceId,
        status: InstanceStatus,
        (uses, grants): (Vec<TargetUse>, Vec<GrantNumber>),
    ) {
        let now = self.now();
        let Some(placer) = &mut self.placer else {
            return;
        };
        let peer = status.peer(from);
        let needs_transit = status.needs_transit;
        let to_know = placer.presence.offer_to_know(from, status.zone.as_ref());
        placer.presence.record_report(from, status, now);
        let deputy = placer.presence.deputy().map(Arc::new);
        let before = self.shared.deputy.swap(deputy.clone());
        if let Some(deputy) = deputy {
            let is_new = before.as_ref() != Some(&deputy);
            // One that was lost is told when it reports again, because it can be reached then.
            let is_back = deputy.instance == *from && self.untold.remove(from);
            if is_new || is_back {
                self.shared.stream_keepers.add(&deputy);
                self.shared.tell_new_deputy(&deputy);
            }
        }
        let offers = if needs_transit {
            self.transit_offers(from)
        } else {
            to_know.into_iter().collect()
        };
        if let Some(placing) = self.placer_status(offers, now) {
            self.send(&peer, placing);
        }
        self.plan(ResidencyEvent::UsageReported(from.clone(), uses, grants));
        let unreachable = self
            .placer
            .as_mut()
            .map(|it| it.presence.remove_unreachable(now));
        for instance in unreachable.unwrap_or_default() {
            self.plan(ResidencyEvent::InstanceGone(instance));
        }
        if let Some(placer) = &mut self.placer {
            let absent = placer.presence.absent_part(now);
            placer.ledger.set_absent(absent, now);
            placer.queues.set_absent(absent);
        }
    }

    /// Returns the placer's status message; `None` if this instance is not the placer.
    fn placer_status(&self, transit: Vec<TransitOffer>, now: Moment) -> Option<PeerMessage> {
        let placer = self.placer.as_ref()?;
        Some(PeerMessage::PlacerStatus {
            knows_targets: placer.residency.knows_targets(),
            estimates: placer.residency.estimates().or(self.estimates),
            instances: self.instance_count(now),
            platform: self.feed.view(now),
            lease: self.keeper.held(),
            deputy: self
                .shared
                .deputy
                .load()
                .as_ref()
                .map(|it| (it.instance.clone(), it.address)),
            limits: self.known_limits(),
            transit,
            admits: true,
            grants_retries: true,
            records_streams: !self.shared.streams.recording_fails(),
        })
    }

    /// Sends the placer's status to all other instances at once.
    ///
    /// Called when the platform has not answered for a moment: the status sent last is about to
    /// expire, and each instance would then poll the platform itself.
    pub(super) fn broadcast_status(&self, now: Moment) {
        let (Some(placer), Some(placing)) = (&self.placer, self.placer_status(Vec::new(), now))
        else {
            return;
        };
        for peer in placer.presence.peers() {
            self.send(&peer, placing.clone());
        }
    }

    /// Applies the placer's status on the placer itself.
    pub(super) fn apply_own_status(&mut self) {
        let now = self.now();
        let instances = self.instance_count(now);
        if let Some(placer) = &self.placer {
            let knows_targets = placer.residency.knows_targets();
            self.estimates = placer.residency.estimates().or(self.estimates);
            self.keeper.set_instances(instances);
            self.shared.set_placer_admits(true);
            self.shared.set_placer_grants_retries(true);
            self.shared.set_retry_ledger(Some(placer.retries.number()));
            self.shared.set_recorded_by_placer(true);
            self.apply_status(knows_targets, instances);
        }
    }

    /// Returns the number of instances. Early in a term not all of them have reported, so the number
    /// that the lease record has kept counts if it is larger.
    fn instance_count(&self, now: Moment) -> u32 {
        let recorded = self.keeper.instances();
        match &self.placer {
            Some(placer) if now.since(placer.began) < PRESENCE_SETTLE_TIME => {
                placer.presence.count().max(recorded)
            }
            Some(placer) => placer.presence.count(),
            None => recorded,
        }
    }

    /// Handles a placement request.
    pub(super) fn handle_placement_request(
        &mut self,
        event: impl FnOnce(u64) -> ResidencyEvent,
        reply: Option<Reply<PeerMessage>>,
        charged: Option<ChargeResult>,
    ) {
        let (Some(placer), Some(reply)) = (&mut self.placer, reply) else {
            // Dropping the reply tells the requester at once that there is no answer.
            return;
        };
        let question = placer.next_request;
        placer.next_request += 1;
        let pending = PendingPlacement { reply, charged };
        placer.pending_requests.insert(question, pending);
        self.plan(event(question));
    }

    fn answer(&mut self, question: u64, placed: PlacementResult) {
        if matches!(placed, PlacementResult::Later { .. }) {
            self.handle_uncharge(ChargeNumber(question));
        }
        let pending = self.placer.as_mut();
        let pending = pending.and_then(|placer| placer.pending_requests.remove(&question));
        let Some(PendingPlacement { reply, charged }) = pending else {
            return;
        };
        let number = GrantNumber(question);
        let answer = match charged {
            Some(charged) => PeerMessage::ChargedPlacementAnswer(placed, number, charged),
            None => PeerMessage::PlacementAnswer(placed, number),
        };
        if let Err(error) = reply.send(answer) {
            slog::debug!(self.shared.log, "requester is gone"; "reason" => error.to_string());
        }
    }

    pub(super) fn send(&self, peer: &Peer, message: PeerMessage) {
        if let Err(error) = self.shared.mesh.send(peer, message) {
            slog::debug!(self.shared.log, "message to instance not sent";
                "peer" => peer.instance.as_str(), "reason" => error.to_string());
        }
    }
}

/// Returns the earliest start of a target that counts as recent at a time of day.
fn recent_start(now: SystemTime) -> TargetStart {
    let since_epoch = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    let millis = since_epoch.saturating_sub(RECENT_START).as_millis();
    TargetStart(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Returns the result of an order that got no answer.
fn unanswered(error: &EngineError) -> OrderAnswer {
    match error.outcome() {
        Outcome::NotRun => OrderAnswer::NotSent,
        Outcome::Unknown | Outcome::CutShort => OrderAnswer::Unanswered,
    }
}

const fn answer_label(answer: OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::Accepted => "accepted",
        OrderAnswer::Done => "done",
        OrderAnswer::OutOfTurn => "out_of_turn",
        OrderAnswer::OtherTarget => "other_target",
        OrderAnswer::Refused => "refused",
        OrderAnswer::NotSent => "not_sent",
        OrderAnswer::Unanswered => "unanswered",
    }
}

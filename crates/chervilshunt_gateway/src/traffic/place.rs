//! Finds a target for a request, among the known ones or by asking the placer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_core::{Choice, Lane, TargetPath, TargetRequirements, WaitReason};
use chervilshunt_model::{Moment, TargetName};

use super::attempt::RequestAttempts;
use super::placer::PlacerAnswer;
use super::placer_time::AskMode;
use super::refusal::{Reason, Refusal};
use crate::grants::Grant;
use crate::transit::TransitRoute;

/// Delay after which a caller should retry when there was no target.
const NO_TARGET_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Delay after which a caller should retry when this instance reaches no target. Retries go to other
/// instances, which may reach one now.
const CUT_OFF_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay after which a caller should retry when its adapter could not be placed. A new placer
/// starts after some seconds, and callers wait at most a third of their remaining time.
const NOT_PLACED_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Time over which the retries of callers are spread that were asked to wait for a pause to end or
/// for a new placer.
const RETRY_SPREAD: Duration = Duration::from_millis(600);
/// Callers wait at most this fraction (one third) of their remaining time.
const RETRY_TIME_DIVISOR: u32 = 3;
/// Delay after which a caller should retry when there was no room: requests end within a second or
/// two.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval at which a request checks again for room.
pub(super) const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Part of its latency objective for which a request waits for room. After that it is better to
/// refuse the request, so that the caller can react.
const ROOM_WAIT_FACTOR: f64 = 0.12;
/// Time since a target's last response within which the target is assumed to be reachable, and
/// pooled connections to it usable. A request sent on a pooled connection to a target that has lost
/// power is lost if it may not run twice; a new connection would fail before anything is sent.
pub(crate) const REACHABLE_WINDOW: Duration = Duration::from_millis(250);

/// The target to which a request is sent.
#[derive(Debug)]
pub(crate) struct SelectedTarget {
    pub(crate) target: TargetName,
    pub(crate) address: SocketAddr,
    pub(crate) expect_version: Option<u64>,
    /// The version that the target is known to hold, if any.
    pub(crate) held_version: Option<u64>,
    /// Whether a pooled connection may be used.
    pub(crate) reuse: bool,
    /// The instance that passes the request on; `None` if it is sent to the target itself.
    pub(crate) route: Option<Arc<TransitRoute>>,
    /// The placer's grant, if the placer has chosen the target.
    pub(crate) grant: Option<Grant>,
}

/// Whether a request does without a placer that is slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bypass {
    Undecided,
    /// It has asked the placer and does not wait for the answer.
    Now,
    /// No known target could take it.
    Failed,
}

impl Bypass {
    /// Returns how the request uses the placer; `None` if it does without it.
    fn ask_mode(self, attempts: &RequestAttempts<'_>) -> Option<AskMode> {
        match self {
            Self::Undecided => attempts.ask_mode(),
            Self::Now => None,
            Self::Failed => Some(AskMode::Wait),
        }
    }
}

impl RequestAttempts<'_> {
    /// Finds a target; waits for room or for a load if that is worthwhile.
    ///
    /// If the request needs an adapter, the placer chooses, because it knows the open requests of
    /// all instances. An instance that gets no response from the placer chooses from its own state,
    /// and asks the placer only for adapters that no known target holds. While the placer is slow,
    /// requests that a known target can take don't wait for it.
    pub(crate) async fn find_target(&mut self) -> Result<SelectedTarget, Refusal> {
        let began = self.shared.clock.now();
        let max_wait = self.req.route.objective.mul_f64(ROOM_WAIT_FACTOR);
        let mut placer_answers = true;
        let mut bypass = Bypass::Undecided;
        let mut is_admitted = !self.needs_admission();
        let mut pending = None;
        loop {
            self.refuse_if_origin_gone()?;
            self.refuse_if_cut_off()?;
            if let Some(weights) = self.req.weights.clone()
                && self.uses_placer()
            {
                let Some(mode) = bypass.ask_mode(self) else {
                    let found = self.bypass_placer(began + max_wait).await?;
                    if let Some(chosen) = found {
                        return Ok(chosen);
                    }
                    bypass = Bypass::Failed;
                    continue;
                };
                match self.ask_placer(weights, mode).await? {
                    PlacerAnswer::At(chosen) => return Ok(chosen),
                    PlacerAnswer::Closed(target) => self.avoid.push(target),
                    PlacerAnswer::AskAgain => {}
                    PlacerAnswer::Slow => bypass = Bypass::Now,
                    PlacerAnswer::Nothing => {
                        placer_answers = false;
                        self.shared.dispatch().placer_lost();
                    }
                }
                continue;
            }
            if !is_admitted {
                match self.admit(&mut pending).await? {
                    PlacerAnswer::At(chosen) => return Ok(chosen),
                    PlacerAnswer::Closed(target) => self.avoid.push(target),
                    PlacerAnswer::AskAgain | PlacerAnswer::Slow | PlacerAnswer::Nothing => {
                        is_admitted = true;
                    }
                }
                continue;
            }
            self.charge().await?;
            let wait = match self.choose_permitted(began + max_wait).await {
                Ok(chosen) => return Ok(chosen),
                Err(wait) => wait,
            };
            self.report_wait(wait);
            match wait {
                WaitReason::NoTarget => {
                    return Err(Refusal::retry_after(
                        Reason::NoTarget,
                        NO_TARGET_RETRY_DELAY,
                    ));
                }
                WaitReason::CutOff => {
                    return Err(Refusal::retry_after(Reason::CutOff, CUT_OFF_RETRY_DELAY));
                }
                WaitReason::NotHeld if placer_answers => return self.ask_for_load().await,
                WaitReason::NotHeld => return Err(self.not_placed()),
                WaitReason::Full if self.shared.clock.now().since(began) >= max_wait => {
                    return Err(Refusal::retry_after(Reason::Full, FULL_RETRY_DELAY));
                }
                WaitReason::Full => tokio::time::sleep(ROOM_POLL_INTERVAL).await,
                WaitReason::Limited(until) => {
                    let now = self.shared.clock.now();
                    let wait = now.until(until);
                    if now.since(began) + wait > max_wait {
                        return Err(Refusal::retry_between(
                            Reason::RateLimited,
                            wait,
                            wait + RETRY_SPREAD,
                        ));
                    }
                    tokio::time::sleep(wait.max(ROOM_POLL_INTERVAL)).await;
                }
                WaitReason::Paused(until) => {
                    let pause = self.shared.clock.now().until(until);
                    return Err(Refusal::retry_between(
                        Reason::Full,
                        pause,
                        pause + RETRY_SPREAD,
                    ));
                }
            }
        }
    }

    /// Selects a target although there is a placer, because that is slow. Returns `None` if no known
    /// target can take the request.
    async fn bypass_placer(&mut self, until: Moment) -> Result<Option<SelectedTarget>, Refusal> {
        self.charge().await?;
        let Ok(chosen) = self.choose_permitted(until).await else {
            return Ok(None);
        };
        metrics::counter!("chervilshunt_placer_bypassed_total").increment(1);
        self.report_placement("placer bypassed", Some(&chosen.target));
        Ok(Some(chosen))
    }

    fn uses_placer(&self) -> bool {
        let now = self.shared.clock.now();
        self.shared.placer.load().is_some() && self.shared.dispatch().is_placer_selecting(now)
    }

    /// Selects a target, and waits for a permit if the target has named a rate limit. Passes over targets
    /// whose limits don't allow the request before `until`.
    async fn choose_permitted(&self, until: Moment) -> Result<SelectedTarget, WaitReason> {
        loop {
            let choice = self.choose();
            if let Choice::Send {
                target,
                limit: Some(_),
                ..
            } = &choice
            {
                let within = self.shared.clock.now().until(until);
                if !self.wait_for_permit(target, within).await {
                    continue;
                }
            }
            return self.accept_choice(choice);
        }
    }

    pub(super) fn choose(&self) -> Choice {
        let now = self.shared.clock.now();
        let requirements = TargetRequirements {
            service: &self.req.service,
            weights: self.req.weights.as_ref(),
            lane: Lane::of(self.req.size),
            software: self.software.as_ref(),
            avoid: &self.avoid,
            has_transit: self.shared.transit_routes.is_available(now),
        };
        self.shared
            .dispatch()
            .choose(&requirements, rand::random, now)
    }

    /// Turns a choice into a target, and logs it.
    pub(super) fn accept_choice(&self, choice: Choice) -> Result<SelectedTarget, WaitReason> {
        match choice {
            Choice::Wait(wait) => Err(wait),
            Choice::Send {
                target,
                address,
                path,
                load,
                slots,
                load_age,
                expect_version,
                held_version,
                limit,
                since_last_response,
                pace,
            } => {
                let route = match path {
                    TargetPath::Direct => None,
                    TargetPath::Transit => Some(self.pick_route()?),
                };
                let newest = self.newest_version();
                slog::info!(self.shared.log, "placed";
                    "request" => &*self.req.id, "target" => target.as_str(),
                    "via" => route.as_ref().map(|it| it.instance.as_str().to_owned()),
                    "prompt_tokens" => self.req.size.prompt_tokens,
                    "weights" => self.req.weights.as_ref().map(ToString::to_string),
                    "load" => load, "slots" => slots,
                    "load_age_ms" => load_age.as_millis() as u64,
                    "limit_per_s" => limit.map(|it| it.per_second()),
                    "heard_ms" => since_last_response.as_millis() as u64,
                    "pace_lasting" => pace.map(|it| it.lasting),
                    "pace_momentary" => pace.map(|it| it.momentary),
                    "pace_age_ms" => pace.map(|it| it.age.as_millis() as u64),
                    "version" => expect_version, "held_version" => held_version,
                    "newest_version" => newest.map(|(version, _)| version),
                    "newest_known_for_ms" =>
                        newest.map(|(_, known_for)| known_for.as_millis() as u64));
                let heard_lately = match &route {
                    Some(route) => route.has_answered_lately(self.shared.clock.now()),
                    None => since_last_response < REACHABLE_WINDOW,
                };
                let reuse = self.req.route.repeat.is_allowed() || heard_lately;
                Ok(SelectedTarget {
                    target,
                    address,
                    expect_version,
                    held_version,
                    reuse,
                    route,
                    grant: None,
                })
            }
        }
    }

    /// Selects an instance that passes the request on.
    fn pick_route(&self) -> Result<Arc<TransitRoute>, WaitReason> {
        let now = self.shared.clock.now();
        let picked = self.shared.transit_routes.pick(rand::random(), now);
        picked.ok_or(WaitReason::CutOff)
    }

    /// Refuses a request whose service this instance does not reach, if nobody passes requests on.
    fn refuse_if_cut_off(&self) -> Result<(), Refusal> {
        let now = self.shared.clock.now();
        if !self.shared.dispatch().is_cut_off(&self.req.service)
            || self.shared.transit_routes.is_available(now)
        {
            return Ok(());
        }
        Err(Refusal::retry_after(Reason::CutOff, CUT_OFF_RETRY_DELAY))
    }

    /// Refuses a request that continues a stream if no target of the stream's software version is left.
    /// The caller has to begin anew.
    fn refuse_if_origin_gone(&self) -> Result<(), Refusal> {
        let Some(software) = &self.software else {
            return Ok(());
        };
        if self
            .shared
            .dispatch()
            .serves_software(&self.req.service, software)
        {
            return Ok(());
        }
        Err(Refusal::new(Reason::OriginGone))
    }

    /// Returns the newest version of the requested weights and how long it has been known.
    fn newest_version(&self) -> Option<(u64, Duration)> {
        let weights = self.req.weights.as_ref()?;
        let now = self.shared.clock.now();
        self.shared.dispatch().newest_version(weights, now)
    }

    /// Asks the placer for an adapter that no known target holds, although the placer has not
    /// responded lately.
    async fn ask_for_load(&mut self) -> Result<SelectedTarget, Refusal> {
        let Some(weights) = self.req.weights.clone() else {
            return Err(self.not_placed());
        };
        match self.ask_placer(weights, AskMode::Wait).await? {
            PlacerAnswer::At(chosen) => Ok(chosen),
            PlacerAnswer::Closed(_)
            | PlacerAnswer::AskAgain
            | PlacerAnswer::Slow
            | PlacerAnswer::Nothing => Err(self.not_placed()),
        }
    }

    /// Refuses a request whose adapter can't be loaded now.
    ///
    /// A caller retries once and waits at most a third of its remaining time. If there is no
    /// placer, it is asked to retry when there will be one again, as far as it waits that long: an
    /// earlier retry would be refused as well and the request lost.
    fn not_placed(&self) -> Refusal {
        let now = self.shared.clock.now();
        let back = self.shared.placer_return().map(|at| now.until(at));
        let longest = self.req.time_left(now) / RETRY_TIME_DIVISOR;
        let pause = back.unwrap_or_default().max(NOT_PLACED_RETRY_DELAY);
        Refusal::retry_between(
            Reason::NotPlaced,
            pause.min(longest),
            longest.min(pause + RETRY_SPREAD),
        )
    }

    /// Logs why this instance finds no target on its own, with the number of the service's listed
    /// targets. The number shows whether targets are missing or none of them is suitable.
    fn report_wait(&self, wait: WaitReason) {
        match wait {
            WaitReason::NoTarget | WaitReason::NotHeld | WaitReason::CutOff => {
                let listed = self.shared.dispatch().target_count(&self.req.service);
                slog::info!(self.shared.log, "no target found";
                    "request" => &*self.req.id, "wait" => ?wait, "listed" => listed,
                    "weights" => self.req.weights.as_ref().map(ToString::to_string));
            }
            // These are retried every few milliseconds; a refusal for lack of room is logged
            // separately.
            WaitReason::Full | WaitReason::Limited(_) | WaitReason::Paused(_) => {}
        }
    }
}

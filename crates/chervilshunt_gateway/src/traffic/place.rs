//! Finding a target for a request: among those known, or by asking the placer.

use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_core::{
    AdapterHolding, Choice, Lane, PlacementRequest, PlacementResult, TargetRequirements,
    WaitReason, Weights,
};
use chervilshunt_model::TargetName;

use super::attempt::Run;
use super::refusal::{Reason, Refusal};
use crate::grants::Grant;
use crate::peers::PeerMessage;

/// When a caller should come back for whom there was no target.
const NO_TARGET_RETRY: Duration = Duration::from_millis(500);
/// When a caller should come back whose adapter could not be placed: a placer that is replaced
/// begins after some seconds, and callers wait a third of their time at most.
const NOT_PLACED_RETRY: Duration = Duration::from_millis(700);
/// The time over which callers come back that were asked to come back when there is a placer.
const SPREAD: Duration = Duration::from_millis(600);
/// Callers wait for this part of the time that they have left at most.
const RETRY_SHARE: u32 = 3;
/// When a caller should come back for whom there was no room: requests end within a second or two.
const FULL_RETRY: Duration = Duration::from_millis(500);
/// The pause before a request looks for room again.
const ROOM_PAUSE: Duration = Duration::from_millis(15);
/// The part of its objective for which a request waits for room; beyond it the caller is better
/// off knowing.
const ROOM_PATIENCE: f64 = 0.12;
/// How long a request waits for its adapter, as a multiple of its objective. Beyond that it waits for
/// a placer that is gone, or behind so many loads that another is better off in its place.
const PLACE_PATIENCE: f64 = 1.0;
/// How much longer than a request waits its instance waits for the placer's answer: told that there is no
/// place, the caller can come back; without an answer nobody knows when.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);
/// The silence of the placer after which a request that waits for its answer goes by what is known, if
/// a target is known to hold its adapter: the placer answers at once where no load is needed.
const SUSPECT_AFTER: Duration = Duration::from_millis(250);
/// The same where no target is known to hold its adapter: the placer has missed two of the tellings that
/// come each 0.4 s, and the caller is better off told so than held until its patience is over.
const GONE_AFTER: Duration = Duration::from_millis(850);
/// A target is taken to be there, and a connection to it good, if it was heard of within this time.
/// A request on a connection to a target that has lost power is lost if it may not run twice; on a
/// new connection it would not leave.
const SURELY_THERE: Duration = Duration::from_millis(250);

/// Where a request is sent.
#[derive(Debug)]
pub(crate) struct Chosen {
    pub(crate) target: TargetName,
    pub(crate) address: SocketAddr,
    pub(crate) expect_version: Option<u64>,
    /// The version that the target is known to hold, if any.
    pub(crate) held_version: Option<u64>,
    /// Whether a connection that was used before may carry it.
    pub(crate) reuse: bool,
    /// The placer's leave, if the placer has chosen.
    pub(crate) grant: Option<Grant>,
}

/// What the placer told.
enum PlacerAnswer {
    /// Where the request may be sent.
    At(Chosen),
    /// A target that takes nothing from this instance.
    Closed(TargetName),
    /// It gave no answer.
    Nothing,
}

impl Run<'_> {
    /// Finds a target, waiting for room or for a load where that is worth while.
    ///
    /// Where an adapter is wanted the placer chooses, which knows what all instances have under way. An
    /// instance that does not hear it goes by what it knows itself, and asks for what it knows nowhere.
    pub(crate) async fn find_target(&mut self) -> Result<Chosen, Refusal> {
        let began = self.shared.clock.now();
        let patience = self.req.route.objective.mul_f64(ROOM_PATIENCE);
        let mut placer_answers = true;
        loop {
            if let Some(weights) = self.req.weights.clone()
                && self.is_guided()
            {
                match self.ask_placer(weights).await? {
                    PlacerAnswer::At(chosen) => return Ok(chosen),
                    PlacerAnswer::Closed(target) => self.avoid.push(target),
                    PlacerAnswer::Nothing => {
                        placer_answers = false;
                        self.shared.dispatch().placer_lost();
                    }
                }
                continue;
            }
            let wait = match self.choose() {
                Ok(chosen) => return Ok(chosen),
                Err(wait) => wait,
            };
            self.report_wait(wait);
            match wait {
                WaitReason::NoTarget => {
                    return Err(Refusal::retry_after(Reason::NoTarget, NO_TARGET_RETRY));
                }
                WaitReason::NotHeld if placer_answers => return self.ask_for_load().await,
                WaitReason::NotHeld => return Err(self.not_placed()),
                WaitReason::Full if self.shared.clock.now().since(began) >= patience => {
                    return Err(Refusal::retry_after(Reason::Full, FULL_RETRY));
                }
                WaitReason::Full => tokio::time::sleep(ROOM_PAUSE).await,
                WaitReason::Paused(until) => {
                    let pause = self.shared.clock.now().until(until);
                    return Err(Refusal::retry_between(Reason::Full, pause, pause + SPREAD));
                }
            }
        }
    }

    fn is_guided(&self) -> bool {
        let now = self.shared.clock.now();
        self.shared.placer.load().is_some() && self.shared.dispatch().is_placer_selecting(now)
    }

    fn choose(&self) -> Result<Chosen, WaitReason> {
        let now = self.shared.clock.now();
        let ask = TargetRequirements {
            service: &self.req.service,
            weights: self.req.weights.as_ref(),
            lane: Lane::of(self.req.size),
            avoid: &self.avoid,
        };
        let choice = self.shared.dispatch().choose(&ask, rand::random, now);
        self.take(choice)
    }

    /// Takes a choice, which gets a line in the log.
    fn take(&self, choice: Choice) -> Result<Chosen, WaitReason> {
        match choice {
            Choice::Wait(wait) => Err(wait),
            Choice::Send {
                target,
                address,
                load,
                slots,
                load_age,
                expect_version,
                held_version,
                since_last_response,
            } => {
                let newest = self.newest_version();
                slog::info!(self.shared.log, "placed";
                    "request" => &*self.req.id, "target" => target.as_str(),
                    "prompt_tokens" => self.req.size.prompt_tokens,
                    "weights" => self.req.weights.as_ref().map(ToString::to_string),
                    "load" => load, "slots" => slots,
                    "load_age_ms" => load_age.as_millis() as u64,
                    "heard_ms" => since_last_response.as_millis() as u64,
                    "version" => expect_version, "held_version" => held_version,
                    "newest_version" => newest.map(|(version, _)| version),
                    "newest_known_for_ms" =>
                        newest.map(|(_, known_for)| known_for.as_millis() as u64));
                let reuse =
                    self.req.route.repeat.is_allowed() || since_last_response < SURELY_THERE;
                Ok(Chosen {
                    target,
                    address,
                    expect_version,
                    held_version,
                    reuse,
                    grant: None,
                })
            }
        }
    }

    /// Returns the newest version of the requested weights and how long it has been known.
    fn newest_version(&self) -> Option<(u64, Duration)> {
        let weights = self.req.weights.as_ref()?;
        let now = self.shared.clock.now();
        self.shared.dispatch().newest_version(weights, now)
    }

    /// Asks the placer for an adapter that is known nowhere, without hearing much of it.
    async fn ask_for_load(&mut self) -> Result<Chosen, Refusal> {
        let Some(weights) = self.req.weights.clone() else {
            return Err(self.not_placed());
        };
        match self.ask_placer(weights).await? {
            PlacerAnswer::At(chosen) => Ok(chosen),
            PlacerAnswer::Closed(_) | PlacerAnswer::Nothing => Err(self.not_placed()),
        }
    }

    /// Asks the placer for a target, and waits until that holds the adapter.
    async fn ask_placer(&self, weights: Weights) -> Result<PlacerAnswer, Refusal> {
        let Some(placer) = self.shared.placer.load_full() else {
            self.report_placement("nobody places", None);
            return Ok(PlacerAnswer::Nothing);
        };
        let now = self.shared.clock.now();
        let patience = self.req.route.objective.mul_f64(PLACE_PATIENCE);
        let patience = patience.min(self.req.left(now));
        let mut avoid = {
            let dispatch = self.shared.dispatch();
            let mut avoid = dispatch.suspect_targets(&self.req.service, now);
            avoid.extend(dispatch.closed_targets(&self.req.service, now));
            avoid
        };
        avoid.extend(self.avoid.iter().cloned());
        let want = PlacementRequest {
            service: self.req.service.clone(),
            weights,
            prompt_tokens: self.req.size.prompt_tokens,
            lane: Lane::of(self.req.size),
            zone: self.shared.settings.instance.zone.clone(),
            avoid,
        };
        let message = PeerMessage::Want(want, patience);
        let answer = self
            .shared
            .mesh
            .request(&placer, message, patience + ANSWER_MARGIN);
        match self.unless_silent(answer).await {
            Some(Ok(PeerMessage::Placed(PlacementResult::At { target, version }, number))) => {
                let grant = Grant::new(self.shared, number);
                self.heard();
                self.report_placement("placed", Some(&target));
                self.note_holder(&target, version);
                Ok(self.at_target(target, grant))
            }
            Some(Ok(PeerMessage::Placed(PlacementResult::Later { retry_in }, _))) => {
                self.heard();
                self.report_placement("no room", None);
                Err(Refusal::retry_after(Reason::NotPlaced, retry_in))
            }
            Some(Ok(_)) => Ok(PlacerAnswer::Nothing),
            Some(Err(error)) => {
                slog::info!(self.shared.log, "placer silent";
                    "request" => &*self.req.id, "reason" => error.to_string());
                Ok(PlacerAnswer::Nothing)
            }
            None => {
                slog::info!(self.shared.log, "placer silent";
                    "request" => &*self.req.id, "reason" => "nothing heard of it");
                Ok(PlacerAnswer::Nothing)
            }
        }
    }

    /// Takes note that a target holds what this request names.
    fn note_holder(&self, target: &TargetName, version: Option<u64>) {
        let (Some(weights), Some(version)) = (&self.req.weights, version) else {
            return;
        };
        let mut dispatch = self.shared.dispatch();
        let started = dispatch.started(target);
        dispatch.holding_changed(AdapterHolding {
            target: target.clone(),
            started,
            weights: weights.clone(),
            version: Some(version),
        });
    }

    fn heard(&self) {
        let now = self.shared.clock.now();
        self.shared.dispatch().placer_responded(now);
    }

    /// Waits for the placer's answer; none if the placer falls silent and another way is known.
    async fn unless_silent<T>(&self, answer: impl Future<Output = T>) -> Option<T> {
        let mut answer = std::pin::pin!(answer);
        loop {
            if let Ok(answer) = tokio::time::timeout(SUSPECT_AFTER, &mut answer).await {
                return Some(answer);
            }
            let now = self.shared.clock.now();
            let dispatch = self.shared.dispatch();
            let is_known = self.req.weights.as_ref().is_some_and(|weights| {
                weights.adapter.is_none() || dispatch.holders_of(weights).next().is_some()
            });
            let silence = if is_known { SUSPECT_AFTER } else { GONE_AFTER };
            if !dispatch.placer_responded_within(silence, now) {
                return None;
            }
        }
    }

    /// Refuses a request whose adapter nobody can have loaded now.
    ///
    /// A caller comes back once and waits a third of its time at most. While there is no placer it
    /// is asked to come back when there is one again, as far as it would wait so long: earlier it
    /// would meet the same refusal and be lost.
    fn not_placed(&self) -> Refusal {
        let now = self.shared.clock.now();
        let back = self.shared.placer_back().map(|at| now.until(at));
        let longest = self.req.left(now) / RETRY_SHARE;
        let pause = back.unwrap_or_default().max(NOT_PLACED_RETRY);
        Refusal::retry_between(
            Reason::NotPlaced,
            pause.min(longest),
            longest.min(pause + SPREAD),
        )
    }

    /// Logs why this instance itself finds no target, and how many the service has: whether its targets
    /// are not listed, or none of them is fit.
    fn report_wait(&self, wait: WaitReason) {
        match wait {
            WaitReason::NoTarget | WaitReason::NotHeld => {
                let listed = self.shared.dispatch().target_count(&self.req.service);
                slog::info!(self.shared.log, "no choice";
                    "request" => &*self.req.id, "wait" => ?wait, "listed" => listed,
                    "weights" => self.req.weights.as_ref().map(ToString::to_string));
            }
            // Tried again every few milliseconds; a refusal for want of room says so itself.
            WaitReason::Full | WaitReason::Paused(_) => {}
        }
    }

    fn report_placement(&self, outcome: &str, target: Option<&TargetName>) {
        slog::info!(self.shared.log, "adapter wanted";
            "request" => &*self.req.id, "outcome" => outcome,
            "weights" => self.req.weights.as_ref().map(ToString::to_string),
            "target" => target.map(|it| it.as_str().to_owned()));
    }

    /// Sends to a target that the placer named, unless it takes nothing from this instance.
    fn at_target(&self, target: TargetName, grant: Grant) -> PlacerAnswer {
        let now = self.shared.clock.now();
        let weights = self.req.weights.as_ref();
        let choice = self.shared.dispatch().choose_named(&target, weights, now);
        match self.take(choice) {
            Ok(chosen) => PlacerAnswer::At(Chosen {
                grant: Some(grant),
                ..chosen
            }),
            Err(_) => {
                self.remind_of_leaving(&target);
                PlacerAnswer::Closed(target)
            }
        }
    }

    /// Tells the placer, which has chosen it, that a target leaves: another placer may have been told.
    fn remind_of_leaving(&self, target: &TargetName) {
        let dispatch = self.shared.dispatch();
        let known = dispatch.target(target).filter(|it| it.leaving.is_some());
        let started = known.map(|it| it.started);
        drop(dispatch);
        if let Some(started) = started {
            self.shared.tell_placer_it_leaves(target, started);
        }
    }
}

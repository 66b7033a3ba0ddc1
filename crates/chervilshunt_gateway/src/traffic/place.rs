//! Finding a target for a request: among those known, or by asking the placer.

use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_core::{Ask, Choice, Lane, Placed, Wait};
use chervilshunt_model::Moment;
use chervilshunt_model::TargetName;

use super::attempt::Run;
use super::refusal::{Reason, Refusal};
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
const PLACE_PATIENCE: f64 = 2.5;
/// The same where targets hold the adapter and are full: a load at another one has to end within the
/// objective to be better than a slot that falls free.
const ELSEWHERE_PATIENCE: f64 = 0.8;
/// A target is taken to be there, and a connection to it good, if it was heard of within this time.
/// A request on a connection to a target that has lost power is lost if it may not run twice; on a
/// new connection it would not leave.
const SURELY_THERE: Duration = Duration::from_millis(250);

/// Where a request is sent.
#[derive(Clone, Debug)]
pub(crate) struct Chosen {
    pub(crate) target: TargetName,
    pub(crate) address: SocketAddr,
    pub(crate) expect_version: Option<u64>,
    /// Whether a connection that was used before may carry it.
    pub(crate) reuse: bool,
}

impl Run<'_> {
    /// Finds a target, waiting for room or for a load where that is worth while.
    pub(crate) async fn find_target(&mut self) -> Result<Chosen, Refusal> {
        let began = self.shared.clock.now();
        let patience = self.req.route.objective.mul_f64(ROOM_PATIENCE);
        let mut asked_elsewhere = false;
        loop {
            let wait = match self.choose() {
                Ok(chosen) => return Ok(chosen),
                Err(wait) => wait,
            };
            match wait {
                Wait::NoTarget => {
                    return Err(Refusal::retry_after(Reason::NoTarget, NO_TARGET_RETRY));
                }
                Wait::NotHeld => return self.ask_placer(PLACE_PATIENCE, &[]).await,
                Wait::HoldersFull if !asked_elsewhere => {
                    asked_elsewhere = true;
                    let full = self.holders();
                    if let Ok(chosen) = self.ask_placer(ELSEWHERE_PATIENCE, &full).await {
                        return Ok(chosen);
                    }
                }
                Wait::HoldersFull | Wait::Full
                    if self.shared.clock.now().since(began) >= patience =>
                {
                    return Err(Refusal::retry_after(Reason::Full, FULL_RETRY));
                }
                Wait::HoldersFull | Wait::Full => tokio::time::sleep(ROOM_PAUSE).await,
            }
        }
    }

    fn choose(&self) -> Result<Chosen, Wait> {
        let now = self.shared.clock.now();
        let ask = Ask {
            service: &self.req.service,
            weights: self.req.weights.as_ref(),
            lane: Lane::of(self.req.size),
            may_ask: self.may_ask(now),
            avoid: &self.avoid,
        };
        let choice = self.shared.dispatch().choose(&ask, rand::random, now);
        self.take(choice)
    }

    /// Takes a choice, which gets a line in the log.
    fn take(&self, choice: Choice) -> Result<Chosen, Wait> {
        match choice {
            Choice::Wait(wait) => Err(wait),
            Choice::Send {
                target,
                address,
                load,
                slots,
                load_age,
                expect_version,
                heard_before,
            } => {
                slog::info!(self.shared.log, "placed";
                    "request" => &*self.req.id, "target" => target.as_str(),
                    "prompt_tokens" => self.req.size.prompt_tokens,
                    "weights" => self.req.weights.as_ref().map(ToString::to_string),
                    "load" => load, "slots" => slots,
                    "load_age_ms" => load_age.as_millis() as u64,
                    "heard_ms" => heard_before.as_millis() as u64,
                    "version" => expect_version);
                let reuse = self.req.route.repeat.is_allowed() || heard_before < SURELY_THERE;
                Ok(Chosen {
                    target,
                    address,
                    expect_version,
                    reuse,
                })
            }
        }
    }

    /// Says whether it is worth while to ask for the adapter at another target than holds it.
    fn may_ask(&self, now: Moment) -> bool {
        let adapter = self.req.weights.as_ref().and_then(|it| it.adapter.as_ref());
        adapter.is_some() && self.avoid.is_empty() && self.shared.dispatch().has_loads_to_spare(now)
    }

    /// Returns the targets that hold the request's adapter.
    fn holders(&self) -> Vec<TargetName> {
        let weights = self.req.weights.as_ref();
        let holders = weights.map(|it| self.shared.dispatch().holders_of(it).cloned().collect());
        holders.unwrap_or_default()
    }

    /// Asks the placer for the adapter at none of some targets, and waits until it is ready, at most
    /// for a multiple of the request's objective.
    async fn ask_placer(
        &mut self,
        patience: f64,
        besides: &[TargetName],
    ) -> Result<Chosen, Refusal> {
        let not_placed = || self.not_placed();
        let Some(weights) = self.req.weights.clone() else {
            return Err(not_placed());
        };
        let Some(placer) = self.shared.placer.load_full() else {
            self.report_placement("nobody places", None);
            return Err(not_placed());
        };
        let patience = self.req.route.objective.mul_f64(patience);
        let patience = patience.min(self.req.left(self.shared.clock.now()));
        let message = PeerMessage::Want {
            service: self.req.service.clone(),
            weights,
            within: patience,
            lane: Lane::of(self.req.size),
            avoid: self.avoid.iter().chain(besides).cloned().collect(),
        };
        match self.shared.mesh.request(&placer, message, patience).await {
            Ok(PeerMessage::Placed(Placed::At { target })) => {
                self.report_placement("placed", Some(&target));
                self.at_target(&target).ok_or_else(not_placed)
            }
            Ok(PeerMessage::Placed(Placed::Later { retry_in })) => {
                self.report_placement("no room", None);
                Err(Refusal::retry_after(Reason::NotPlaced, retry_in))
            }
            Ok(_) => Err(not_placed()),
            Err(error) => {
                slog::info!(self.shared.log, "placer silent";
                    "request" => &*self.req.id, "reason" => error.to_string());
                Err(not_placed())
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

    fn report_placement(&self, outcome: &str, target: Option<&TargetName>) {
        slog::info!(self.shared.log, "adapter wanted";
            "request" => &*self.req.id, "outcome" => outcome,
            "weights" => self.req.weights.as_ref().map(ToString::to_string),
            "target" => target.map(|it| it.as_str().to_owned()));
    }

    /// Sends to a target that the placer named, unless it leaves.
    fn at_target(&self, target: &TargetName) -> Option<Chosen> {
        let now = self.shared.clock.now();
        let weights = self.req.weights.as_ref();
        let choice = self.shared.dispatch().choose_named(target, weights, now);
        self.take(choice).ok()
    }
}

//! Measures how quickly the placer answers, and decides which requests do without it.
//!
//! See `docs/design/slow-placer.md`.

use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chervilshunt_core::{
    ChargeNumber, Choice, PlacementResult, PlacerPace, PlacerPaceChange, PlacerUse,
};
use chervilshunt_mesh::{Peer, RequestError};
use chervilshunt_model::{Moment, TargetName};
use tokio::time::MissedTickBehavior;

use super::attempt::RequestAttempts;
use crate::admit::AdmitOutcome;
use crate::grants::Grant;
use crate::peers::PeerMessage;
use crate::shared::Shared;

/// Interval at which a wait checks whether this process runs.
const RUNNING_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Delay of such a check beyond which this process did not run. Timers have a resolution of 1 ms.
const TIMER_TOLERANCE: Duration = Duration::from_millis(5);

/// Time without a response from the placer after which a waiting request stops waiting for it, if a
/// target is known to hold its adapter. The placer answers at once if no load is needed.
const KNOWN_HOLDER_TIMEOUT: Duration = Duration::from_millis(250);
/// The same if no target is known to hold the adapter: the placer has missed two of its reports,
/// which it sends every 0.4 s, and it is better to refuse the request than to hold it until its
/// wait ends.
const NO_HOLDER_TIMEOUT: Duration = Duration::from_millis(850);

/// Time for which an answer that is due at once is still expected after its request has done without
/// it.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(500);

/// The result of asking the placer.
pub(super) type Asked = Result<PeerMessage, RequestError>;

/// Waits for an answer, and returns it with the time that it took. Times in which this process did
/// not run do not count: an instance that has used up its processor time would otherwise take the
/// placer for slow.
async fn measure<T>(answer: impl Future<Output = T>) -> (T, Duration) {
    let mut answer = std::pin::pin!(answer);
    let began = Instant::now();
    let first = tokio::time::Instant::now() + RUNNING_CHECK_INTERVAL;
    let mut checks = tokio::time::interval_at(first, RUNNING_CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut stopped = Duration::ZERO;
    loop {
        tokio::select! {
            biased;
            due = checks.tick() => {
                let late = due.elapsed();
                if late > TIMER_TOLERANCE {
                    stopped += late;
                }
            }
            answer = &mut answer => return (answer, began.elapsed().saturating_sub(stopped)),
        }
    }
}

/// The targets known to hold what a request names, when the placer is asked.
#[derive(Debug)]
pub(super) enum KnownHolders {
    /// All targets, because the request names a base model.
    All,
    Some(Vec<TargetName>),
}

impl KnownHolders {
    fn is_empty(&self) -> bool {
        matches!(self, Self::Some(targets) if targets.is_empty())
    }

    fn includes(&self, target: &TargetName) -> bool {
        match self {
            Self::All => true,
            Self::Some(targets) => targets.contains(target),
        }
    }
}

/// A placement request on its way.
pub(super) struct OpenQuestion {
    shared: Arc<Shared>,
    placer: Arc<Peer>,
    holders: KnownHolders,
    answer: Pin<Box<dyn Future<Output = (Asked, Duration)> + Send>>,
}

/// Why a request does not wait for the placer any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GivenUp {
    /// The placer has not responded for too long.
    Silent,
    /// The placer counts as slow, and a target is known to which the request can be sent.
    Slow,
}

impl OpenQuestion {
    pub(super) fn ask(
        shared: &Arc<Shared>,
        placer: &Arc<Peer>,
        message: PeerMessage,
        max_wait: Duration,
        holders: KnownHolders,
    ) -> Self {
        let (asking, asked) = (Arc::clone(shared), Arc::clone(placer));
        // A request that waits for a load is not measured, which would take processor time.
        let is_measured = !holders.is_empty();
        let answer = async move {
            let answer = asking.mesh.request(&asked, message, max_wait);
            if is_measured {
                measure(answer).await
            } else {
                (answer.await, Duration::ZERO)
            }
        };
        Self {
            shared: Arc::clone(shared),
            placer: Arc::clone(placer),
            holders,
            answer: Box::pin(answer),
        }
    }

    /// Waits for the answer for a time. Returns `None` if there is none by then.
    pub(super) async fn wait(&mut self, time: Duration) -> Option<Asked> {
        let (answer, took) = tokio::time::timeout(time, &mut self.answer).await.ok()?;
        self.shared
            .record_placer_answer(&self.holders, &answer, took);
        Some(answer)
    }

    /// Gives up waiting. If the answer still arrives, its time is recorded, and what it grants is
    /// given back.
    pub(super) fn give_up(self, why: GivenUp) {
        let Self {
            shared,
            placer,
            holders,
            answer,
        } = self;
        if why == GivenUp::Silent && !holders.is_empty() {
            shared.record_unanswered();
        }
        tokio::spawn(async move {
            let (answer, took) = answer.await;
            if answer.is_ok() || why == GivenUp::Slow {
                shared.record_placer_answer(&holders, &answer, took);
            }
            give_back(&shared, &placer, answer);
        });
    }
}

/// Asks the placer or the deputy a question that it answers at once. If the answer comes later than
/// `within`, what it grants is given back, since this instance has decided alone by then.
pub(super) async fn ask_within(
    shared: &Arc<Shared>,
    peer: &Arc<Peer>,
    message: PeerMessage,
    within: Duration,
) -> Asked {
    let (asking, asked) = (Arc::clone(shared), Arc::clone(peer));
    let mut answer = Box::pin(async move {
        let answer = asking
            .mesh
            .request(&asked, message, within + LATE_ANSWER_TIME);
        measure(answer).await
    });
    if let Ok((answer, took)) = tokio::time::timeout(within, &mut answer).await {
        shared.record_immediate_answer(peer, &answer, took);
        return answer;
    }
    shared.record_immediate_answer(peer, &Err(RequestError::Timeout), within);
    let (shared, peer) = (Arc::clone(shared), Arc::clone(peer));
    tokio::spawn(async move { give_back(&shared, &peer, answer.await.0) });
    Err(RequestError::Timeout)
}

/// Gives back what an answer grants that comes too late.
fn give_back(shared: &Arc<Shared>, placer: &Peer, answer: Asked) {
    let (charge, grant) = match answer {
        Ok(PeerMessage::ChargeAnswer(_, number)) => (Some(number), None),
        Ok(PeerMessage::PlacementAnswer(PlacementResult::At { .. }, number)) => {
            (None, Some(number))
        }
        Ok(PeerMessage::ChargedPlacementAnswer(PlacementResult::At { .. }, number, _)) => {
            (Some(ChargeNumber(number.0)), Some(number))
        }
        Ok(PeerMessage::AdmitAnswer(answer)) => {
            let is_granted = matches!(answer.outcome, AdmitOutcome::At(_));
            // The placer has given back the charge of a request that it has refused.
            let is_charged = !matches!(answer.outcome, AdmitOutcome::Busy { .. });
            (
                is_charged.then_some(ChargeNumber(answer.number.0)),
                is_granted.then_some(answer.number),
            )
        }
        Ok(_) | Err(_) => return,
    };
    drop(grant.map(|number| Grant::new(shared, number)));
    if let Some(number) = charge
        && let Err(error) = shared.mesh.send(placer, PeerMessage::Uncharge(number))
    {
        slog::debug!(shared.log, "charge not given back"; "reason" => error.to_string());
    }
}

impl Shared {
    /// Records the answer to a placement request, if the request needed no load.
    fn record_placer_answer(&self, holders: &KnownHolders, answer: &Asked, took: Duration) {
        match answer {
            Ok(
                PeerMessage::PlacementAnswer(PlacementResult::At { target, .. }, _)
                | PeerMessage::ChargedPlacementAnswer(PlacementResult::At { target, .. }, _, _),
            ) if holders.includes(target) => self.record_placer_time(took),
            Ok(_) => {}
            Err(_) if holders.is_empty() => {}
            Err(_) => self.record_unanswered(),
        }
    }

    /// Records the time of an answer to a question that is answered at once.
    fn record_immediate_answer(&self, peer: &Peer, answer: &Asked, took: Duration) {
        if !self.is_known_placer(peer) {
            return;
        }
        match answer {
            Ok(_) => self.record_placer_time(took),
            // A probe waits only for as long as a quick answer takes, so its time shows nothing.
            Err(RequestError::Timeout) if self.placer_pace().is_slow() => self.record_unanswered(),
            Err(RequestError::Timeout) => self.record_placer_time(took),
            Err(_) => {}
        }
    }

    fn is_known_placer(&self, peer: &Peer) -> bool {
        let placer = self.placer.load();
        placer.as_ref().is_some_and(|it| **it == *peer)
    }

    fn record_placer_time(&self, took: Duration) {
        let now = self.clock.now();
        let change = self.placer_pace().answered(took, now);
        self.report_pace_change(change);
    }

    fn record_unanswered(&self) {
        let now = self.clock.now();
        let change = self.placer_pace().unanswered(now);
        self.report_pace_change(change);
    }

    fn report_pace_change(&self, change: Option<PlacerPaceChange>) {
        let placer = self.placer.load();
        let placer = placer.as_ref().map(|it| it.instance.as_str().to_owned());
        match change {
            None => {}
            Some(PlacerPaceChange::Slow { median, unanswered }) => {
                slog::info!(self.log, "placer slow"; "placer" => placer,
                    "median_ms" => median.map(|it| it.as_millis() as u64),
                    "unanswered" => unanswered);
                self.placer_slowed.send_replace(());
            }
            Some(PlacerPaceChange::Recovered { longest }) => {
                slog::info!(self.log, "placer recovered"; "placer" => placer,
                    "longest_ms" => longest.as_millis() as u64);
            }
        }
    }
}

/// How long a request waits for the placer's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AskMode {
    /// As long as it waits for a placer that is not slow.
    Wait,
    /// As long as an answer takes that counts as quick.
    Probe,
}

impl RequestAttempts<'_> {
    /// Returns how a request uses the placer; `None` if it does without it.
    pub(super) fn ask_mode(&self) -> Option<AskMode> {
        let is_slow = self.shared.placer_pace().is_slow();
        if !is_slow || !self.has_usable_holder() {
            return Some(AskMode::Wait);
        }
        let now = self.shared.clock.now();
        let next = self.shared.placer_pace().next_use(now);
        match next {
            PlacerUse::Ask => Some(AskMode::Wait),
            PlacerUse::Probe => Some(AskMode::Probe),
            PlacerUse::Bypass => None,
        }
    }

    /// Returns whether a target is known to which the request can be sent without the placer.
    fn has_usable_holder(&self) -> bool {
        matches!(self.choose(), Choice::Send { .. })
    }

    /// Returns how a charge uses the keeper of the account. While that is the placer and slow, this
    /// instance's share of the quota is charged, and some charges probe the placer.
    pub(super) fn account_use(&self, keeper: &Peer) -> PlacerUse {
        if !self.shared.is_known_placer(keeper) {
            return PlacerUse::Ask;
        }
        let now = self.shared.clock.now();
        let mut pace = self.shared.placer_pace();
        // A request for an adapter has decided before whether it probes the placer.
        if self.req.weights.is_some() && pace.is_slow() {
            return PlacerUse::Bypass;
        }
        pace.next_use(now)
    }

    /// Waits for the placer's answer, as long as that is better than to do without it.
    pub(super) async fn until_given_up(
        &self,
        question: &mut OpenQuestion,
        mode: AskMode,
    ) -> Result<Asked, GivenUp> {
        if mode == AskMode::Probe {
            let answer = question.wait(PlacerPace::PROBE_WAIT).await;
            return answer.ok_or(GivenUp::Slow);
        }
        let mut slowed = self.shared.placer_slowed.subscribe();
        let mut is_known_slow = self.shared.placer_pace().is_slow();
        loop {
            let answer = tokio::select! {
                biased;
                answer = question.wait(KNOWN_HOLDER_TIMEOUT) => answer,
                Ok(()) = slowed.changed(), if !is_known_slow => {
                    is_known_slow = true;
                    if self.has_usable_holder() {
                        return Err(GivenUp::Slow);
                    }
                    continue;
                }
            };
            if let Some(answer) = answer {
                return Ok(answer);
            }
            if self.is_placer_gone(self.shared.clock.now()) {
                return Err(GivenUp::Silent);
            }
        }
    }

    /// Returns whether the placer has not responded for too long; the limit is shorter if a target is
    /// known to hold the adapter.
    fn is_placer_gone(&self, now: Moment) -> bool {
        let dispatch = self.shared.dispatch();
        let is_known = self.req.weights.as_ref().is_some_and(|weights| {
            weights.adapter.is_none() || dispatch.holders_of(weights).next().is_some()
        });
        let timeout = if is_known {
            KNOWN_HOLDER_TIMEOUT
        } else {
            NO_HOLDER_TIMEOUT
        };
        !dispatch.placer_responded_within(timeout, now)
    }

    /// Returns the targets known to hold what the request names.
    pub(super) fn known_holders(&self) -> KnownHolders {
        match &self.req.weights {
            Some(weights) if weights.adapter.is_some() => {
                let dispatch = self.shared.dispatch();
                KnownHolders::Some(dispatch.holders_of(weights).cloned().collect())
            }
            Some(_) | None => KnownHolders::All,
        }
    }
}

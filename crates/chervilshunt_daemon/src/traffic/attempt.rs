//! A request's tries: a permit, a call, and what may be tried again.

use std::time::{Duration, Instant};

use chervilshunt_core::{PermitRequest, RefusalReason, ReleaseOutcome, rank_targets};
use chervilshunt_engine::{
    Answer, Call, EngineError, Expect, Limits as CallLimits, Outcome as Ran, Stage,
};
use chervilshunt_model::{AdapterVersion, AttemptId, Class, TargetName};
use http::Response;

use super::body::ResponseBody;
use super::caller::CallerRequest;
use super::claims::{Claim, KeptAnswer};
use super::metrics;
use super::permits::{Asked, HeldPermit};
use super::problem::{Outcome, Problem, Reason};
use super::relay::{Relay, relayed};
use super::serve::{OpenSlot, Traffic};
use crate::routing::Routing;

/// Targets whose owners are asked in one round.
const TARGETS_A_ROUND: usize = 4;
/// Redirects that one request follows in one round.
const MAX_HOPS: u8 = 3;
/// Tries of one request, the first included.
const MAX_TRIES: u32 = 4;
/// The pause before owners are asked again when none of them could be.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// How long a live request looks for an owner. An owner that died takes the length of a lease to
/// replace; asking the caller to come back is better than to keep it waiting for that.
const LIVE_PATIENCE: Duration = Duration::from_secs(2);
/// When a caller should come back if no owner or target could be reached.
const UNREACHED_RETRY: Duration = Duration::from_secs(2);
/// When a caller should come back if the budget of retries is spent.
const BUDGET_RETRY: Duration = Duration::from_secs(1);
/// When a caller should come back after its deadline has passed in a queue.
const LATE_RETRY: Duration = Duration::from_secs(5);

/// One failed try.
struct Failed {
    problem: Problem,
    again: Again,
}

/// Whether a failed try may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Again {
    /// It did not run: at this target too.
    Anywhere,
    /// It did not run: at another target.
    Elsewhere,
    /// It may have run: at another target, if the request is idempotent.
    ElsewhereIfIdempotent,
    /// The answer would be the same.
    Never,
}

/// A request with what its tries have in common.
struct Run<'a> {
    traffic: &'a Traffic,
    req: CallerRequest,
    /// Its claim, if it is keyed and may run only once.
    claim: Option<Claim>,
    /// Targets that have failed the request.
    avoid: Vec<TargetName>,
}

impl Traffic {
    /// Answers a request from a target, trying again where that can do no harm.
    pub(super) async fn run(
        &self,
        req: CallerRequest,
        slot: OpenSlot,
        claim: Option<Claim>,
    ) -> Result<Response<ResponseBody>, Problem> {
        self.record_first_try();
        let mut run = Run {
            traffic: self,
            req,
            claim,
            avoid: Vec::new(),
        };
        let mut tries = 1;
        loop {
            let failed = match run.once().await {
                Ok((permit, answer)) => return Ok(run.answered(permit, answer, slot)),
                Err(failed) => failed,
            };
            let harmless = match failed.again {
                Again::Anywhere | Again::Elsewhere => true,
                Again::ElsewhereIfIdempotent => run.req.idempotent,
                Again::Never => false,
            };
            if !harmless || tries >= MAX_TRIES || run.req.left(Instant::now()).is_zero() {
                return Err(failed.problem);
            }
            if !self.try_retry(failed.problem.reason.as_str()) {
                return Err(failed.problem.retry_after(BUDGET_RETRY));
            }
            slog::info!(self.parts.log, "trying again";
                "request" => %run.req.id,
                "try" => tries,
                "reason" => failed.problem.reason.as_str(),
                "detail" => &failed.problem.detail,
            );
            tries += 1;
        }
    }
}

impl Run<'_> {
    /// Makes one try: a permit and a call.
    async fn once(&mut self) -> Result<(HeldPermit, Answer), Failed> {
        let asked_at = Instant::now();
        let mut permit = self.permit().await.map_err(final_failure)?;
        metrics::permit_wait(self.req.class, asked_at.elapsed());
        let target = permit.target().clone();
        let routing = self.traffic.parts.routing.get();
        let Some(address) = routing
            .deployment
            .targets
            .get(&target)
            .map(|target| target.address)
        else {
            let detail = format!("the target {target} has been deleted");
            let problem = Problem::not_run(Reason::NoTarget, detail);
            return Err(Failed {
                problem,
                again: Again::Elsewhere,
            });
        };
        if !permit.is_usable(Instant::now()) {
            let problem = Problem::not_run(Reason::NoTarget, "the permit came too late to be used");
            return Err(Failed {
                problem,
                again: Again::Anywhere,
            });
        }
        slog::info!(self.traffic.parts.log, "routing";
            "request" => %self.req.id,
            "attempt" => %permit.attempt(),
            "target" => %target,
            "model" => self.req.engine_model.as_deref(),
            "class" => self.req.class.as_str(),
            "avoided" => self.avoid.iter().map(TargetName::as_str).collect::<Vec<_>>().join(","),
        );
        let client = self.traffic.parts.engines.client(address);
        if let Some(claim) = &mut self.claim {
            claim.may_run();
        }
        let opened = match client.open(self.call(&permit)).await {
            Ok(mut answer) => answer.body.first_piece().await.map(|()| answer),
            Err(error) => Err(error),
        };
        match opened {
            Ok(answer) => Ok((permit, answer)),
            Err(error) => {
                let failed = failed_call(&error);
                if failed.problem.outcome == Outcome::NotRun
                    && let Some(claim) = &mut self.claim
                {
                    claim.did_not_run();
                }
                if failed.again != Again::Anywhere {
                    self.avoid.push(target);
                }
                permit.ended(release_outcome(&error));
                Err(failed)
            }
        }
    }

    /// Asks owners until one grants a permit or the request has to be given up on.
    async fn permit(&self) -> Result<HeldPermit, Problem> {
        let give_up = match self.req.class {
            Class::Live => self.req.deadline.min(Instant::now() + LIVE_PATIENCE),
            Class::Deferrable => self.req.deadline,
        };
        loop {
            let (problem, pause) = match self.round().await {
                Round::Granted(permit) => return Ok(permit),
                Round::Refused(problem) => return Err(problem),
                Round::NotNow(problem, pause) => (problem, pause),
            };
            if Instant::now() + pause >= give_up {
                return Err(problem);
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Asks the owners of the best targets, one after the other.
    async fn round(&self) -> Round {
        let routing = self.traffic.parts.routing.get();
        let mut targets: std::collections::VecDeque<TargetName> = self.ranked(&routing).into();
        if targets.is_empty() {
            let detail = format!("no target of {} takes new work", self.req.service);
            return Round::not_now(Reason::NoTarget, detail);
        }
        let mut hops = 0;
        let mut last = None;
        while let Some(target) = targets.pop_front() {
            let ask = self.permit_request(target.clone(), hops);
            match self.traffic.parts.permits.ask(ask, self.req.deadline).await {
                Asked::Granted(permit) => return Round::Granted(permit),
                Asked::Redirect(to) => {
                    hops += 1;
                    if hops <= MAX_HOPS {
                        targets.retain(|other| !to.contains(other));
                        to.into_iter()
                            .rev()
                            .for_each(|target| targets.push_front(target));
                    }
                }
                Asked::Refused(reason, after) => match reason {
                    RefusalReason::NotOwner
                    | RefusalReason::Draining
                    | RefusalReason::TargetDown => last = Some((reason, after)),
                    RefusalReason::QueueFull => return self.queue_full(&target, after),
                    RefusalReason::Deadline | RefusalReason::LoadFailed => {
                        return Round::Refused(refused(reason, &target, after));
                    }
                },
                Asked::NoOwner => {}
                Asked::Late => {
                    return Round::Refused(refused(RefusalReason::Deadline, &target, LATE_RETRY));
                }
            }
        }
        match last {
            Some((reason, after)) => Round::NotNow(
                Problem::not_run(
                    Reason::Owner(reason),
                    format!("no target of {} can take the request now", self.req.service),
                )
                .retry_after(after.max(UNREACHED_RETRY)),
                ROUND_PAUSE,
            ),
            None => Round::not_now(Reason::NoOwner, "no owner of a target could be reached"),
        }
    }

    /// Deferrable work waits for room rather than fail; live work is told at once.
    fn queue_full(&self, target: &TargetName, after: Duration) -> Round {
        let problem = refused(RefusalReason::QueueFull, target, after);
        match self.req.class {
            Class::Live => Round::Refused(problem),
            Class::Deferrable => Round::NotNow(problem, after.max(ROUND_PAUSE)),
        }
    }

    fn ranked(&self, routing: &Routing) -> Vec<TargetName> {
        let takes_work = |name: &TargetName| !routing.leaving.contains(name);
        let active = || {
            let targets = routing.deployment.active_targets(&self.req.service);
            targets
                .map(|(name, _)| name)
                .filter(|name| takes_work(name))
        };
        let key = self.req.model.clone().unwrap_or_else(|| self.spread_key());
        let fresh = active().filter(|name| !self.avoid.contains(name));
        let ranked = rank_targets(&key, fresh, TARGETS_A_ROUND);
        if ranked.is_empty() {
            // Each of them has failed the request once; one may be back by now.
            return rank_targets(&key, active(), TARGETS_A_ROUND)
                .into_iter()
                .cloned()
                .collect();
        }
        ranked.into_iter().cloned().collect()
    }

    /// Work without an adapter has no home: it is spread evenly by request.
    fn spread_key(&self) -> AdapterVersion {
        AdapterVersion::new(self.req.service.as_str(), self.req.id.as_str())
    }

    fn permit_request(&self, target: TargetName, hops: u8) -> PermitRequest {
        let left = self.req.left(Instant::now());
        PermitRequest {
            attempt: AttemptId::random(),
            entry: self.traffic.parts.settings.instance.id.clone(),
            target,
            model: self.req.model.clone(),
            class: self.req.class,
            weight: self.req.weight,
            caller: self.req.caller.clone(),
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            prompt_tokens: self.req.prompt_tokens,
            max_tokens: self.req.max_tokens,
            prefix: self.req.prefix,
            hops,
        }
    }

    fn call(&self, permit: &HeldPermit) -> Call {
        let expect = match &self.req.engine_model {
            Some(model) => Expect::Model(model.as_str().into()),
            None => Expect::Anything,
        };
        let head = self.req.left(Instant::now());
        Call {
            method: self.req.method.clone(),
            path: self.req.path.clone(),
            headers: self.req.headers.clone(),
            body: self.req.body.clone(),
            request: self.req.id.clone(),
            attempt: permit.attempt(),
            expect,
            idempotent: self.req.idempotent,
            limits: CallLimits {
                head,
                ..CallLimits::default()
            },
        }
    }

    fn answered(
        self,
        permit: HeldPermit,
        answer: Answer,
        slot: OpenSlot,
    ) -> Response<ResponseBody> {
        let mut claim = self.claim;
        if let Some(claim) = &mut claim {
            claim.answered(answer.status.as_u16(), None);
        }
        let relay = Relay {
            claim: claim.map(|claim| (claim, KeptAnswer::default())),
            status: answer.status.as_u16(),
            traffic: self.traffic.clone(),
            permit,
            _slot: slot,
            request: self.req.id.clone(),
            class: self.req.class,
            stream: self.req.stream,
            opened: Instant::now(),
        };
        relayed(relay, answer, self.req.engine_model.as_deref())
    }
}

/// What one round of asking owners brought.
enum Round {
    Granted(HeldPermit),
    /// The request is given up on.
    Refused(Problem),
    /// It is worth asking again after the pause; the problem is what to say if time has run out.
    NotNow(Problem, Duration),
}

impl Round {
    fn not_now(reason: Reason, detail: impl Into<String>) -> Self {
        let problem = Problem::not_run(reason, detail).retry_after(UNREACHED_RETRY);
        Self::NotNow(problem, ROUND_PAUSE)
    }
}

fn refused(reason: RefusalReason, target: &TargetName, after: Duration) -> Problem {
    let detail = match reason {
        RefusalReason::QueueFull => format!("the queue of {target} is full"),
        RefusalReason::Deadline => format!("the deadline can't be kept at {target}"),
        RefusalReason::LoadFailed => format!("{target} could not load the adapter"),
        RefusalReason::Draining | RefusalReason::NotOwner | RefusalReason::TargetDown => {
            format!("{target} takes no new work now")
        }
    };
    Problem::not_run(Reason::Owner(reason), detail).retry_after(after)
}

fn final_failure(problem: Problem) -> Failed {
    Failed {
        problem,
        again: Again::Never,
    }
}

/// Turns a failed call into what the caller may be told and what may be tried again.
fn failed_call(error: &EngineError) -> Failed {
    let detail = error.to_string();
    let reason = match error {
        EngineError::NotSent { .. }
        | EngineError::Timeout {
            stage: Stage::Connect,
            ..
        } => Reason::NoTarget,
        EngineError::Timeout { .. } => Reason::TargetTimeout,
        EngineError::Refused { .. } | EngineError::Fenced { .. } => Reason::TargetRefused,
        EngineError::WrongModel { .. } => Reason::WrongModel,
        EngineError::BrokenOff { .. } | EngineError::FailedMidway { .. } => Reason::BrokenOff,
        _ => Reason::TargetFailed,
    };
    let (problem, again) = match error.outcome() {
        Ran::NotRun => (Problem::not_run(reason, detail), after_not_run(error)),
        // Nothing has been handed on, so that the caller can't have seen a part of the answer.
        Ran::Unknown | Ran::CutShort => (
            Problem::unknown(reason, detail),
            Again::ElsewhereIfIdempotent,
        ),
    };
    debug_assert!(
        problem.outcome != Outcome::CutShort,
        "no byte has been handed on"
    );
    Failed {
        problem: problem.retry_after(UNREACHED_RETRY),
        again,
    }
}

fn after_not_run(error: &EngineError) -> Again {
    match error {
        EngineError::AdapterMissing { .. } => Again::Anywhere,
        EngineError::Refused { status, .. } if status.is_client_error() => match status.as_u16() {
            408 | 425 | 429 => Again::Elsewhere,
            _ => Again::Never,
        },
        _ => Again::Elsewhere,
    }
}

fn release_outcome(error: &EngineError) -> ReleaseOutcome {
    match error {
        EngineError::AdapterMissing { .. } => ReleaseOutcome::AdapterMissing,
        EngineError::Refused { status, .. } if status.is_client_error() => {
            ReleaseOutcome::Cancelled
        }
        _ => ReleaseOutcome::TargetFailed,
    }
}

//! A request's attempts: obtaining a permit, calling the target, and retrying where it is safe.

use std::time::Duration;

use chervilshunt_core::ReleaseOutcome;
use chervilshunt_engine::{
    Answer, Call, CallStage, EngineClient, EngineError, ExpectedAnswer, Limits as CallLimits,
    Outcome as Ran,
};
use chervilshunt_model::{Moment, TargetName};
use http::Response;

use super::body::ResponseBody;
use super::caller::CallerRequest;
use super::claims::{Claim, KeptAnswer};
use super::metrics;
use super::now;
use super::permits::HeldPermit;
use super::problem::{Outcome, Problem, Reason};
use super::relay::{Relay, relayed};
use super::serve::{OpenSlot, Traffic};

/// The maximum number of attempts for one request, including the first.
const MAX_TRIES: u32 = 4;
/// The `Retry-After` if no owner or target could be reached.
pub(super) const UNREACHED_RETRY: Duration = Duration::from_secs(2);
/// The `Retry-After` if the retry budget is exhausted.
const BUDGET_RETRY: Duration = Duration::from_secs(1);

/// An attempt that has received the first piece of its answer.
struct Answered {
    permit: HeldPermit,
    answer: Answer,
    /// When the call to the target was opened.
    opened: Moment,
    /// The time from opening the call to the first piece of the answer.
    first_byte: Duration,
}

/// A failed attempt.
struct Failed {
    problem: Problem,
    retry: RetryRule,
}

/// Whether a failed attempt may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryRule {
    /// The call did not run, or is idempotent, and may be retried at any target, including the same
    /// one.
    Anywhere,
    /// The call did not run, or is idempotent, and may be retried at another target.
    Elsewhere,
    /// The call may have run and may be retried at another target if the request is idempotent.
    ElsewhereIfIdempotent,
    /// A retry would fail in the same way.
    Never,
}

/// A request and the state that its attempts share.
pub(super) struct Run<'a> {
    pub(super) traffic: &'a Traffic,
    pub(super) req: CallerRequest,
    /// The idempotency claim, if the request is keyed and not idempotent.
    claim: Option<Claim>,
    /// Targets at which an attempt of this request has failed.
    pub(super) avoid: Vec<TargetName>,
}

impl Traffic {
    /// Sends a request to a target, retrying failed attempts where that is safe.
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
        let mut may_have_run = None;
        loop {
            let failed = match run.once().await {
                Ok(answered) => return Ok(run.answered(answered, slot)),
                Err(failed) => failed,
            };
            let retryable = match failed.retry {
                RetryRule::Anywhere | RetryRule::Elsewhere => true,
                RetryRule::ElsewhereIfIdempotent => run.req.idempotent,
                RetryRule::Never => false,
            };
            if !retryable || tries >= MAX_TRIES || run.req.time_left(now()).is_zero() {
                return Err(failed.problem.after(may_have_run));
            }
            if !self.try_retry(failed.problem.reason.as_str()) {
                return Err(failed.problem.retry_after(BUDGET_RETRY).after(may_have_run));
            }
            slog::info!(self.parts.log, "retrying";
                "request" => %run.req.id,
                "try" => tries,
                "reason" => failed.problem.reason.as_str(),
                "detail" => &failed.problem.detail,
            );
            tries += 1;
            if failed.problem.outcome != Outcome::NotRun {
                may_have_run = Some(failed.problem);
            }
        }
    }
}

impl Run<'_> {
    /// Makes one attempt: obtains a permit and calls the target.
    async fn once(&mut self) -> Result<Answered, Failed> {
        let asked_at = now();
        let mut permit = self.permit().await.map_err(final_failure)?;
        metrics::permit_wait(self.req.class, now().since(asked_at));
        let target = permit.target().clone();
        let routing = self.traffic.parts.routing.get();
        let Some(address) = routing
            .deployment
            .targets
            .get(&target)
            .map(|target| target.address)
        else {
            let detail = format!("the target {target} has been deleted");
            let problem = Problem::not_run(Reason::NoTarget, detail).retry_after(UNREACHED_RETRY);
            return Err(Failed {
                problem,
                retry: RetryRule::Elsewhere,
            });
        };
        if !permit.is_usable(now()) {
            let problem = Problem::not_run(
                Reason::NoTarget,
                "the permit expired before it could be used",
            )
            .retry_after(UNREACHED_RETRY);
            return Err(Failed {
                problem,
                retry: RetryRule::Anywhere,
            });
        }
        let client = self.traffic.parts.engines.client(address);
        if let Some(claim) = &mut self.claim {
            claim.may_run();
        }
        let opened = now();
        let result = self.open(&client, self.call(&permit)).await;
        match result {
            Ok(answer) => Ok(Answered {
                permit,
                answer,
                opened,
                first_byte: now().since(opened),
            }),
            Err(error) => {
                let failed = failed_call(&error);
                if failed.problem.outcome == Outcome::NotRun
                    && let Some(claim) = &mut self.claim
                {
                    claim.did_not_run();
                }
                if failed.retry != RetryRule::Anywhere && !self.avoid.contains(&target) {
                    self.avoid.push(target);
                }
                permit.set_outcome(release_outcome(&error));
                Err(failed)
            }
        }
    }

    /// Sends a call and waits for the first piece of its answer that may be passed on.
    ///
    /// A target that sends comments or a part of an event, a little at a time and without end, never
    /// sends one, so that the wait has a limit of its own.
    async fn open(&self, client: &EngineClient, call: Call) -> Result<Answer, EngineError> {
        let idle = call.limits.idle;
        let mut answer = client.open(call).await?;
        let limit = self.req.time_left(now()).max(idle);
        let first_chunk = answer.body.buffer_first_chunk();
        match tokio::time::timeout(limit, first_chunk).await {
            Ok(first_chunk) => first_chunk.map(|()| answer),
            Err(_elapsed) => Err(EngineError::Timeout {
                address: client.address(),
                stage: CallStage::Body,
                limit,
            }),
        }
    }

    fn call(&self, permit: &HeldPermit) -> Call {
        let expect = match &self.req.engine_model {
            Some(model) => ExpectedAnswer::Model(model.as_str().into()),
            None => ExpectedAnswer::Any,
        };
        let head = self.req.time_left(now());
        let limits = CallLimits::default();
        let body = if self.req.stream { limits.body } else { head };
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
                body,
                ..limits
            },
        }
    }

    fn answered(self, answered: Answered, slot: OpenSlot) -> Response<ResponseBody> {
        let Answered {
            permit,
            answer,
            opened,
            first_byte,
        } = answered;
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
            arrived: self.req.arrived,
            opened,
            first_byte,
        };
        relayed(relay, answer, self.req.engine_model.as_deref())
    }
}

fn final_failure(problem: Problem) -> Failed {
    Failed {
        problem,
        retry: RetryRule::Never,
    }
}

/// Maps a failed call to the problem for the caller and the retry rule.
fn failed_call(error: &EngineError) -> Failed {
    let detail = error.to_string();
    let reason = match error {
        EngineError::NotSent { .. }
        | EngineError::Timeout {
            stage: CallStage::Connect,
            ..
        } => Reason::NoTarget,
        EngineError::Timeout { .. } => Reason::TargetTimeout,
        EngineError::Refused { .. } | EngineError::Fenced { .. } => Reason::TargetRefused,
        EngineError::WrongModel { .. } => Reason::WrongModel,
        EngineError::Truncated { .. } | EngineError::FailedMidway { .. } => Reason::BrokenOff,
        _ => Reason::TargetFailed,
    };
    let (problem, retry) = match error.outcome() {
        Ran::NotRun => (Problem::not_run(reason, detail), after_not_run(error)),
        // Only idempotent calls meet such a refusal, so that it may be wrong and the retry is safe.
        Ran::Unknown if error.is_unproved_refusal() => {
            (Problem::unknown(reason, detail), after_not_run(error))
        }
        // Nothing has been relayed yet, so the caller can't have received a part of the answer.
        Ran::Unknown | Ran::CutShort => (
            Problem::unknown(reason, detail),
            RetryRule::ElsewhereIfIdempotent,
        ),
    };
    debug_assert!(
        problem.outcome != Outcome::CutShort,
        "no byte has been relayed"
    );
    Failed {
        problem: problem.retry_after(UNREACHED_RETRY),
        retry,
    }
}

fn after_not_run(error: &EngineError) -> RetryRule {
    match error {
        EngineError::AdapterMissing { .. } => RetryRule::Anywhere,
        EngineError::Refused { status, .. } if status.is_client_error() => match status.as_u16() {
            408 | 425 | 429 => RetryRule::Elsewhere,
            _ => RetryRule::Never,
        },
        _ => RetryRule::Elsewhere,
    }
}

fn release_outcome(error: &EngineError) -> ReleaseOutcome {
    match error {
        EngineError::AdapterMissing { .. } => ReleaseOutcome::AdapterMissing,
        EngineError::Refused { status, .. } if status.is_client_error() => {
            ReleaseOutcome::Cancelled
        }
        EngineError::Timeout {
            stage: CallStage::Connect,
            ..
        } => ReleaseOutcome::TargetFailed,
        EngineError::Timeout { .. } => ReleaseOutcome::TimedOut,
        _ => ReleaseOutcome::TargetFailed,
    }
}

#[cfg(test)]
mod tests;

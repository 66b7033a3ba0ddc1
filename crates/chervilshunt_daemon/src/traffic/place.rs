//! Selects the target of a request: ranks targets and requests a permit from their owners.

use std::collections::VecDeque;
use std::time::Duration;

use chervilshunt_core::{PermitRequest, RefusalReason, rank_targets};
use chervilshunt_model::{AdapterVersion, AttemptId, Class, TargetName};
use smallvec::SmallVec;

use super::attempt::{Run, UNREACHED_RETRY};
use super::now;
use super::permits::{HeldPermit, PermitResult};
use super::problem::{Problem, Reason};
use crate::routing::Routing;

/// The number of targets that are ranked in one round.
const TARGETS_PER_ROUND: usize = 4;
/// The maximum number of redirects that a request follows in one round.
const MAX_HOPS: u8 = 3;
/// The delay before the next round when no owner granted a permit.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// How long a live request tries to obtain a permit. Replacing a failed owner takes a lease
/// duration, and it is better to ask the caller to retry than to keep it waiting for that.
const LIVE_PERMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// The `Retry-After` when the deadline has passed in a queue.
const LATE_RETRY: Duration = Duration::from_secs(5);

impl Run<'_> {
    /// Requests a permit in rounds until one is granted or the request has to be refused.
    pub(super) async fn permit(&self) -> Result<HeldPermit, Problem> {
        let give_up = match self.req.class {
            Class::Live => self.req.deadline.min(now() + LIVE_PERMIT_TIMEOUT),
            Class::Deferrable => self.req.deadline,
        };
        loop {
            let (problem, pause) = match self.round().await {
                Round::Granted(permit) => return Ok(permit),
                Round::Refused(problem) => return Err(problem),
                Round::NotNow(problem, pause) => (problem, pause),
            };
            if now() + pause >= give_up {
                return Err(problem);
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Requests a permit from the owners of the best targets, one after the other.
    async fn round(&self) -> Round {
        let routing = self.traffic.parts.routing.get();
        let mut targets: VecDeque<TargetName> = self.ranked(&routing).into();
        if targets.is_empty() {
            let detail = format!("no target of {} accepts new requests", self.req.service);
            return Round::not_now(Reason::NoTarget, detail);
        }
        let mut hops = 0;
        let mut last = None;
        let mut avoid: SmallVec<[TargetName; 4]> = self.avoid.iter().cloned().collect();
        while let Some(target) = targets.pop_front() {
            let ask = self.permit_request(target.clone(), hops, avoid.clone());
            let attempt = ask.attempt;
            let result = self.traffic.parts.permits.ask(ask, self.req.deadline).await;
            self.log_result(attempt, &target, &result, targets.make_contiguous());
            match result {
                PermitResult::Granted(permit) => return Round::Granted(permit),
                PermitResult::Redirect(to) => {
                    // Without this, two owners that accept no work now would redirect the request
                    // to each other until its hops are used up, and neither would give a reason.
                    avoid.push(target);
                    hops += 1;
                    if hops <= MAX_HOPS {
                        targets.retain(|other| !to.contains(other));
                        to.into_iter()
                            .rev()
                            .for_each(|target| targets.push_front(target));
                    }
                }
                PermitResult::Refused(reason, after) => match reason {
                    RefusalReason::NotOwner
                    | RefusalReason::Draining
                    | RefusalReason::TargetDown
                    | RefusalReason::TargetFailing => last = Some((reason, after)),
                    RefusalReason::QueueFull => return self.queue_full(&target, after),
                    RefusalReason::Deadline | RefusalReason::LoadFailed => {
                        return Round::Refused(refused(reason, &target, after));
                    }
                },
                PermitResult::NoOwner => {}
                PermitResult::Late => {
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
                pause_after(reason, after),
            ),
            // The owners answered, but only with redirects.
            None if hops > 0 => {
                let detail = format!("no target of {} can take the request now", self.req.service);
                Round::not_now(Reason::NoTarget, detail)
            }
            None => Round::not_now(Reason::NoOwner, "no owner of a target could be reached"),
        }
    }

    /// Logs an owner's answer. The line links the id of the request to that of the attempt.
    fn log_result(
        &self,
        attempt: AttemptId,
        target: &TargetName,
        result: &PermitResult,
        alternatives: &[TargetName],
    ) {
        let (answer, reason) = match result {
            PermitResult::Granted(_) => ("granted", None),
            PermitResult::Redirect(_) => ("redirected", None),
            PermitResult::Refused(reason, _) => ("refused", Some(reason.as_str())),
            PermitResult::NoOwner => ("no_owner", Some("the owner is unknown or unreachable")),
            PermitResult::Late => (
                "late",
                Some("the deadline passed while waiting for the permit"),
            ),
        };
        let sent_on = match result {
            PermitResult::Redirect(to) => joined(to),
            PermitResult::Granted(_)
            | PermitResult::Refused(..)
            | PermitResult::NoOwner
            | PermitResult::Late => String::new(),
        };
        slog::info!(self.traffic.parts.log, "routing";
            "request" => %self.req.id,
            "attempt" => %attempt,
            "target" => %target,
            "answer" => answer,
            "reason" => reason,
            "sent_on" => sent_on,
            "alternatives" => joined(alternatives),
            "avoided" => joined(&self.avoid),
            "model" => self.req.engine_model.as_deref(),
            "class" => self.req.class.as_str(),
        );
    }

    /// Handles a full queue: deferrable requests wait for space, live requests are refused at once.
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
        let ranked = rank_targets(&key, fresh, TARGETS_PER_ROUND);
        if ranked.is_empty() {
            // An attempt has failed at each of them; one may have recovered by now.
            return rank_targets(&key, active(), TARGETS_PER_ROUND)
                .into_iter()
                .cloned()
                .collect();
        }
        ranked.into_iter().cloned().collect()
    }

    /// Returns the ranking key of a request without an adapter, which spreads such requests evenly.
    fn spread_key(&self) -> AdapterVersion {
        AdapterVersion::new(self.req.service.as_str(), self.req.id.as_str())
    }

    fn permit_request(
        &self,
        target: TargetName,
        hops: u8,
        avoid: SmallVec<[TargetName; 4]>,
    ) -> PermitRequest {
        let left = self.req.time_left(now());
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
            avoid,
        }
    }
}

/// The result of one round of permit requests.
enum Round {
    Granted(HeldPermit),
    /// The request is refused for good.
    Refused(Problem),
    /// Another round may succeed after the delay; the problem is returned if no time is left.
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
        RefusalReason::Deadline => format!("the deadline can't be met at {target}"),
        RefusalReason::LoadFailed => format!("{target} could not load the adapter"),
        RefusalReason::Draining
        | RefusalReason::NotOwner
        | RefusalReason::TargetDown
        | RefusalReason::TargetFailing => format!("{target} accepts no new requests now"),
    };
    Problem::not_run(Reason::Owner(reason), detail).retry_after(after)
}

/// Returns the delay before the next round.
///
/// An owner whose target fails its calls knows when it will let the next call through. Asking it
/// again every 100 ms until then would send it many times the messages that the owners of healthy
/// targets get.
fn pause_after(reason: RefusalReason, after: Duration) -> Duration {
    match reason {
        RefusalReason::TargetFailing => after.max(ROUND_PAUSE),
        RefusalReason::QueueFull
        | RefusalReason::Deadline
        | RefusalReason::LoadFailed
        | RefusalReason::Draining
        | RefusalReason::NotOwner
        | RefusalReason::TargetDown => ROUND_PAUSE,
    }
}

fn joined(names: &[TargetName]) -> String {
    let names: Vec<&str> = names.iter().map(TargetName::as_str).collect();
    names.join(",")
}

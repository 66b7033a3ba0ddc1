//! Tests of the retry budget, backoff, token bucket and circuit breaker.

use std::time::Duration;

use chervilshunt_core::{
    Admission, Backoff, BackoffConfig, Breaker, BreakerConfig, BreakerState, CallOutcome,
    RetryBudget, RetryBudgetConfig, TokenBucket,
};
use chervilshunt_model::Moment;
use proptest::prelude::*;
use rstest::rstest;

/// Tolerance for rounding errors of many small refills.
const TOLERANCE: f64 = 1e-3;

const fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

proptest! {
    /// In every time span, not only from the start, no more tokens are taken than the burst plus
    /// the refill.
    #[test]
    fn a_token_bucket_bounds_every_span(
        per_second in 0.0..50.0,
        burst in 1.0..20.0,
        steps in prop::collection::vec(0_u64..400, 1..120),
    ) {
        let mut bucket = TokenBucket::new(per_second, burst, Moment::ZERO);
        let mut now = 0;
        let mut taken = Vec::new();
        for step in steps {
            now += step;
            if bucket.try_take(0.0, at(now)).is_ok() {
                taken.push(now);
            }
        }
        for (first, began) in taken.iter().enumerate() {
            for (last, ended) in taken.iter().enumerate().skip(first) {
                let span = (ended - began) as f64 / 1000.0;
                let count = (last - first + 1) as f64;
                prop_assert!(count <= burst + per_second * span + TOLERANCE);
            }
        }
    }

    /// A caller that waits until the returned time gets the token.
    #[test]
    fn a_token_is_available_at_the_returned_time(
        per_second in 0.01..50.0,
        burst in 1.0..20.0,
        reserve in 0.0..5.0,
        takes in 1_usize..40,
    ) {
        let mut bucket = TokenBucket::new(per_second, burst, Moment::ZERO);
        let mut now = Moment::ZERO;
        for _ in 0..takes {
            match bucket.try_take(reserve, now) {
                Ok(()) => {}
                Err(Some(ready_at)) => {
                    now = ready_at;
                    prop_assert_eq!(bucket.try_take(reserve, now), Ok(()));
                }
                Err(None) => {
                    prop_assert!(reserve + 1.0 > burst);
                    return Ok(());
                }
            }
        }
    }

    /// However calls fail, retries stay within the budget.
    #[test]
    fn a_retry_budget_bounds_retries(
        ratio in 0.0..0.5,
        per_second in 0.0..2.0,
        burst in 0.0..20.0,
        calls in prop::collection::vec((0_u64..300, 0_u32..5), 1..200),
    ) {
        let cfg = RetryBudgetConfig { ratio, per_second, burst };
        let mut budget = RetryBudget::new(cfg, Moment::ZERO);
        let mut now = 0;
        let mut first_attempts = 0_u32;
        let mut retries = 0_u32;
        for (step, wanted) in calls {
            now += step;
            first_attempts += 1;
            budget.record_first_try(at(now));
            for _ in 0..wanted {
                retries += u32::from(budget.try_retry(at(now)));
            }
            let span = now as f64 / 1000.0;
            let bound = burst + ratio * f64::from(first_attempts) + per_second * span;
            prop_assert!(f64::from(retries) <= bound + TOLERANCE);
        }
    }

    /// Each wait lies between the base and the cap, and is at most three times the previous one.
    #[test]
    fn waits_stay_within_their_bounds(
        base in 1_u64..100,
        factor in 1_u32..50,
        randoms in prop::collection::vec(0.0..1.0, 1..50),
    ) {
        let base = Duration::from_millis(base);
        let cfg = BackoffConfig { base, cap: base * factor };
        let mut backoff = Backoff::new(cfg);
        let mut previous = base;
        for random in randoms {
            let wait = backoff.next_wait(|| random);
            prop_assert!(wait >= cfg.base && wait <= cfg.cap);
            prop_assert!(wait <= previous * 3);
            previous = wait;
        }
    }

    /// Whatever happens to calls, including late and lost outcomes, an open breaker admits none, a
    /// half-open breaker admits one at a time, and calls are always admitted again eventually.
    #[test]
    fn a_breaker_bounds_calls_and_recovers(
        steps in prop::collection::vec((0_u64..2_000, 0_u8..4, 0.0..1.0), 1..300),
    ) {
        let cfg = BreakerConfig::default();
        let longest_wait = cfg.probe_timeout.max(cfg.open_for_cap * 3 / 2);
        let mut breaker = Breaker::new(cfg, Moment::ZERO);
        let mut now = Moment::ZERO;
        let mut calls = Vec::new();
        let mut probe = None;
        for (step, kind, random) in steps {
            now = now + Duration::from_millis(step);
            if kind == 0 {
                let before = breaker.state();
                match breaker.admit(now) {
                    Admission::Admitted(ticket) => {
                        calls.push(ticket);
                        if before != BreakerState::Closed {
                            prop_assert_eq!(breaker.state(), BreakerState::HalfOpen);
                            let running = probe.is_some_and(|(_, ends)| now < ends);
                            prop_assert!(!running, "two probes at a time");
                            probe = Some((ticket, now + cfg.probe_timeout));
                        }
                    }
                    Admission::Refused { retry_at } => {
                        prop_assert_ne!(before, BreakerState::Closed);
                        prop_assert!(now < retry_at && retry_at <= now + longest_wait);
                    }
                }
            } else if let Some(ticket) = calls.pop() {
                let outcome = match kind {
                    1 => CallOutcome::Success,
                    2 => CallOutcome::Failure,
                    _ => CallOutcome::Unknown,
                };
                breaker.record(ticket, outcome, now, || random);
                probe = probe.filter(|(of_probe, _)| *of_probe != ticket);
            }
        }
        let later = now + cfg.probe_timeout + cfg.open_for_cap * 2;
        prop_assert!(matches!(breaker.admit(later), Admission::Admitted(_)));
    }
}

fn call(breaker: &mut Breaker, outcome: CallOutcome, now: Moment) {
    let Admission::Admitted(ticket) = breaker.admit(now) else {
        panic!("the call is refused");
    };
    breaker.record(ticket, outcome, now, || 0.0);
}

#[rstest]
#[case::all_fail(&[false; 5], BreakerState::Open)]
#[case::half_fail(&[true, false, true, false, true, false], BreakerState::Open)]
#[case::too_few(&[false; 4], BreakerState::Closed)]
#[case::few_fail(&[true, true, false, true, true, false, true, true], BreakerState::Closed)]
fn opens_at_the_failure_ratio(#[case] outcomes: &[bool], #[case] state: BreakerState) {
    let mut breaker = Breaker::new(BreakerConfig::default(), Moment::ZERO);
    for success in outcomes {
        let outcome = match success {
            true => CallOutcome::Success,
            false => CallOutcome::Failure,
        };
        call(&mut breaker, outcome, at(100));
    }
    assert_eq!(breaker.state(), state);
}

/// Failures older than the window do not open the breaker.
#[test]
fn forgets_old_failures() {
    let mut breaker = Breaker::new(BreakerConfig::default(), Moment::ZERO);
    for _ in 0..4 {
        call(&mut breaker, CallOutcome::Failure, at(0));
    }
    for _ in 0..4 {
        call(&mut breaker, CallOutcome::Failure, at(20_000));
    }
    assert_eq!(breaker.state(), BreakerState::Closed);
}

/// After the target fails, the breaker closes only once two probes have succeeded. A failed probe
/// doubles the next open period.
#[test]
fn probes_before_it_closes() {
    let mut breaker = Breaker::new(BreakerConfig::default(), Moment::ZERO);
    for _ in 0..5 {
        call(&mut breaker, CallOutcome::Failure, at(0));
    }
    let until = |millis| Admission::Refused {
        retry_at: at(millis),
    };
    assert_eq!(breaker.admit(at(499)), until(500));
    call(&mut breaker, CallOutcome::Failure, at(500));
    assert_eq!(breaker.admit(at(1_499)), until(1_500));
    call(&mut breaker, CallOutcome::Success, at(1_500));
    assert_eq!(breaker.state(), BreakerState::HalfOpen);
    call(&mut breaker, CallOutcome::Success, at(1_501));
    assert_eq!(breaker.state(), BreakerState::Closed);
}

/// A call that was admitted before the target failed succeeds afterwards. Its outcome says nothing
/// about the current state of the target and must not close the breaker.
#[test]
fn ignores_outcomes_of_calls_admitted_before_it_opened() {
    let mut breaker = Breaker::new(BreakerConfig::default(), Moment::ZERO);
    let Admission::Admitted(early) = breaker.admit(at(0)) else {
        panic!("the call is refused");
    };
    for _ in 0..5 {
        call(&mut breaker, CallOutcome::Failure, at(1));
    }
    assert!(matches!(breaker.admit(at(600)), Admission::Admitted(_)));
    for _ in 0..3 {
        breaker.record(early, CallOutcome::Success, at(601), || 0.0);
    }
    assert_eq!(breaker.state(), BreakerState::HalfOpen);
    assert!(matches!(breaker.admit(at(602)), Admission::Refused { .. }));
}

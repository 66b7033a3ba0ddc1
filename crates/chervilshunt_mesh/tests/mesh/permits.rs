//! The messages of a permit round come through unchanged, and stay within their budget of bytes.

use chervilshunt_core::{
    Permit, PermitAnswer, PermitRequest, RefusalReason, ReleaseOutcome, ReleasedPermit,
};
use chervilshunt_model::{AdapterVersion, AttemptId, Class, Epoch};
use rstest::rstest;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes of the three messages of a round with names of usual length, with their variant in the
/// daemon's enum but without frames. The bound of 600 bytes a request also has to carry the frames
/// (about 25), the acknowledgement of the release and a share of all other control traffic.
const ROUND_BYTES: usize = 340;

fn request() -> PermitRequest {
    PermitRequest {
        attempt: AttemptId::from_u128(u128::MAX / 3),
        entry: "chervilshunt-7d9f8b6c5-x2x4z".into(),
        target: "regatta-lm-17".into(),
        model: Some(AdapterVersion::new("aarhus-sejlklub-handicap", "v12")),
        class: Class::Live,
        weight: 1,
        caller: "aarhus-sejlklub".into(),
        deadline_ms: 20_000,
        prompt_tokens: 700,
        max_tokens: 400,
        prefix: u64::MAX / 3,
        hops: 0,
        avoid: Default::default(),
    }
}

fn granted() -> PermitAnswer {
    let request = request();
    PermitAnswer::Granted {
        permit: Permit {
            attempt: request.attempt,
            entry: request.entry,
            target: request.target.clone(),
            model: request.model,
            class: request.class,
            epoch: Epoch::new(1_234),
            window_ms: 2_000,
        },
        spread: [request.target, "regatta-lm-03".into()]
            .into_iter()
            .collect(),
    }
}

fn released(outcome: ReleaseOutcome) -> ReleasedPermit {
    ReleasedPermit {
        attempt: request().attempt,
        target: request().target,
        outcome,
    }
}

fn finished() -> ReleaseOutcome {
    ReleaseOutcome::Finished {
        tokens: 421,
        first_byte_ms: 350,
        total_ms: 14_500,
    }
}

fn encode(message: &impl Serialize) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).expect("memory takes it");
    buf
}

#[rstest]
#[case::request(request())]
#[case::plain_request(PermitRequest { model: None, ..request() })]
#[case::granted(granted())]
#[case::redirect(PermitAnswer::Redirect { targets: ["t1".into()].into_iter().collect() })]
#[case::refused(PermitAnswer::Refused { reason: RefusalReason::QueueFull, retry_after_ms: 9 })]
#[case::finished(released(finished()))]
#[case::cancelled(released(ReleaseOutcome::Cancelled))]
#[case::failed(released(ReleaseOutcome::TargetFailed))]
#[case::timed_out(released(ReleaseOutcome::TimedOut))]
#[case::missing(released(ReleaseOutcome::AdapterMissing))]
fn messages_come_through<M>(#[case] message: M)
where
    M: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let read: M = ciborium::from_reader(&*encode(&message)).expect("it was written so");
    assert_eq!(read, message);
}

#[test]
fn a_round_stays_within_its_budget() {
    let round =
        encode(&request()).len() + encode(&granted()).len() + encode(&released(finished())).len();
    let variants = 3 * encode(&[("p", 0)]).len() - 3 * encode(&[0]).len();
    assert!(round + variants <= ROUND_BYTES, "{round} + {variants}");
}

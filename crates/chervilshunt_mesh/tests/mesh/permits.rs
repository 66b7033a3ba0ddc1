//! The messages of a permit round survive encoding unchanged and stay within their size budget.

use chervilshunt_core::{
    CompactAnswer, CompactRequest, MismatchedAnswer, Permit, PermitAnswer, PermitRequest,
    RefusalReason, ReleaseOutcome, ReleasedPermit, RequestChecksum,
};
use chervilshunt_model::{AdapterVersion, AttemptId, Class, Epoch};
use rstest::rstest;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The size limit of the three messages of a round with names of typical length, including their
/// variant in the daemon's enum but without frames. The budget of 600 bytes per request must also
/// cover the frames (about 25), the acknowledgement of the release and a share of all other control
/// traffic.
const ROUND_BYTES: usize = 230;

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
#[case::finished(released(finished()))]
#[case::cancelled(released(ReleaseOutcome::Cancelled))]
#[case::failed(released(ReleaseOutcome::TargetFailed))]
#[case::timed_out(released(ReleaseOutcome::TimedOut))]
#[case::missing(released(ReleaseOutcome::AdapterMissing))]
fn messages_round_trip<M>(#[case] message: M)
where
    M: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let read: M = ciborium::from_reader(&*encode(&message)).expect("it was written so");
    assert_eq!(read, message);
}

#[rstest]
#[case::named(request())]
#[case::plain(PermitRequest { model: None, ..request() })]
#[case::retried(PermitRequest { avoid: ["t1".into()].into_iter().collect(), ..request() })]
fn a_request_round_trips(#[case] request: PermitRequest) {
    let sent = encode(&CompactRequest::of(&request));
    let read: CompactRequest = ciborium::from_reader(&*sent).expect("it was written so");
    assert_eq!(read.sent_by(request.entry.clone()), request);
}

fn redirect() -> PermitAnswer {
    PermitAnswer::Redirect {
        targets: ["t1".into()].into_iter().collect(),
    }
}

fn refused() -> PermitAnswer {
    PermitAnswer::Refused {
        reason: RefusalReason::QueueFull,
        retry_after_ms: 9,
    }
}

/// Encodes an answer to `asked`, decodes it and joins it with `req`.
fn joined(
    answer: PermitAnswer,
    asked: &PermitRequest,
    req: &PermitRequest,
) -> Result<PermitAnswer, MismatchedAnswer> {
    let sent = encode(&CompactAnswer::of(
        answer,
        RequestChecksum::of_request(asked),
    ));
    let read: CompactAnswer = ciborium::from_reader(&*sent).expect("it was written so");
    read.join(req)
}

#[rstest]
#[case::granted(granted())]
#[case::redirect(redirect())]
#[case::refused(refused())]
fn an_answer_round_trips(#[case] answer: PermitAnswer) {
    let request = request();
    assert_eq!(joined(answer.clone(), &request, &request), Ok(answer));
}

/// Guards against accepting an answer that belongs to another request. An answer arrives late,
/// after its request was withdrawn and another one sent: for another attempt or target, or with
/// another version or class. The caller would then be served by an adapter that a different request
/// has pinned, or its own adapter would be evicted during use. The checksum in the answer is that
/// of the original request, so that the answer is rejected.
#[rstest]
fn an_answer_to_another_request_is_rejected(
    #[values(granted(), redirect(), refused())] answer: PermitAnswer,
    #[values(
        PermitRequest { attempt: AttemptId::from_u128(7), ..request() },
        PermitRequest { target: "regatta-lm-03".into(), ..request() },
        PermitRequest {
            model: Some(AdapterVersion::new("aarhus-sejlklub-handicap", "v13")),
            ..request()
        },
        PermitRequest {
            model: Some(AdapterVersion::new("aarhus-sejlklub-handica", "pv12")),
            ..request()
        },
        PermitRequest { model: None, ..request() },
        PermitRequest { class: Class::Deferrable, ..request() }
    )]
    other: PermitRequest,
) {
    assert_eq!(joined(answer, &request(), &other), Err(MismatchedAnswer));
}

/// Guards against an owner that grants something else than was requested.
#[test]
fn a_permit_for_another_request_is_rejected() {
    let asked = PermitRequest {
        attempt: AttemptId::from_u128(7),
        ..request()
    };
    assert_eq!(joined(granted(), &asked, &asked), Err(MismatchedAnswer));
}

#[test]
fn a_round_stays_within_its_budget() {
    let request = request();
    let answer = CompactAnswer::of(granted(), RequestChecksum::of_request(&request));
    let round = encode(&CompactRequest::of(&request)).len()
        + encode(&answer).len()
        + encode(&released(finished())).len();
    let variants = 3 * encode(&[("p", 0)]).len() - 3 * encode(&[0]).len();
    assert!(round + variants <= ROUND_BYTES, "{round} + {variants}");
}

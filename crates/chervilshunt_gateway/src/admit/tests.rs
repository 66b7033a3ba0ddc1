use std::time::Duration;

use chervilshunt_core::{ChargeResult, Fingerprint, GrantNumber};
use chervilshunt_model::{ServiceName, TargetName};

use super::{AdmitAnswer, AdmitOutcome, AdmitRequest};
use crate::peers::PeerMessage;

fn encode(message: &PeerMessage) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("an encoding");
    bytes
}

fn decode(bytes: &[u8]) -> PeerMessage {
    ciborium::from_reader(bytes).expect("a message")
}

fn status(admits: bool) -> PeerMessage {
    PeerMessage::PlacerStatus {
        knows_targets: true,
        estimates: None,
        instances: 3,
        platform: None,
        lease: None,
        deputy: None,
        limits: Vec::new(),
        transit: Vec::new(),
        admits,
        grants_retries: admits,
        records_streams: admits,
    }
}

/// Guards against an instance that waits for a placer of an earlier version, which does not know
/// the messages.
#[test]
fn only_a_placer_that_says_so_is_asked() {
    let (with, without) = (encode(&status(true)), encode(&status(false)));
    assert!(without.len() < with.len(), "the default is written");
    assert!(matches!(
        decode(&without),
        PeerMessage::PlacerStatus {
            admits: false,
            grants_retries: false,
            records_streams: false,
            ..
        }
    ));
    assert!(matches!(
        decode(&with),
        PeerMessage::PlacerStatus {
            admits: true,
            grants_retries: true,
            records_streams: true,
            ..
        }
    ));
}

/// Guards against messages that are longer than needed: each plain request of a team sends one.
#[test]
fn a_request_and_its_answer_are_short() {
    let request = AdmitRequest {
        service: ServiceName::new("plain"),
        charge: None,
        team: None,
        objective_left: Duration::from_millis(150),
        time_left: Duration::from_secs(3),
        priority: 0,
        content: Fingerprint::of([&b"content"[..]]),
        is_repeat: false,
        zone: None,
        avoid: Vec::new(),
    };
    let content = request.content;
    let bytes = encode(&PeerMessage::AdmitRequest(request));
    assert!(bytes.len() < 120, "{} bytes", bytes.len());
    let PeerMessage::AdmitRequest(read) = decode(&bytes) else {
        panic!("another message");
    };
    assert_eq!(read.content, content);
    assert!(read.charge.is_none() && read.avoid.is_empty() && !read.is_repeat);
    let answer = AdmitAnswer {
        charge: Some(ChargeResult::Admitted { fleet_rate: None }),
        number: GrantNumber(7),
        outcome: AdmitOutcome::At(TargetName::new("p1")),
        slot_time: None,
    };
    let bytes = encode(&PeerMessage::AdmitAnswer(answer));
    assert!(bytes.len() < 40, "{} bytes", bytes.len());
    assert!(matches!(
        decode(&bytes),
        PeerMessage::AdmitAnswer(AdmitAnswer { outcome: AdmitOutcome::At(target), .. })
            if target.as_str() == "p1"
    ));
}

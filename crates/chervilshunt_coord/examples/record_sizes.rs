//! Measures the sizes of the objects that instances store in the platform and of the messages that
//! they exchange for coordination.
//!
//! Run it with `cargo run --release -p chervilshunt_coord --example record_sizes`. The results are
//! in `docs/CAPACITY.md`.

use std::collections::BTreeMap;

use chervilshunt_coord::{
    AssignmentRecord, AssignmentShard, ClaimEntry, ClaimKey, ClaimOutcome, ClaimRequest,
    ConfigMessage, CoordMessage, Elector, HeadRecord, Holder, Incarnation, PageKey, PageStamp,
    Prepare, Role, RoleEntry,
};
use chervilshunt_model::{AttemptId, ChangeId, Epoch, InstanceId, Revision, TargetName};
use serde::Serialize;

/// Numbers of pages of a configuration.
const PAGES: [usize; 4] = [1, 65, 129, 257];
/// Numbers of roles in one assignment object.
const ROLES: [usize; 4] = [5, 10, 26, 60];
/// Numbers of instances to which one message is forwarded.
const FORWARDED: [usize; 4] = [2, 5, 10, 18];
/// Numbers of claims in one page.
const CLAIMS: [usize; 4] = [1, 10, 100, 1_000];

fn main() {
    table("head object by pages, JSON bytes", &PAGES, |pages| {
        json(&head(pages))
    });
    table("assignment object by roles, JSON bytes", &ROLES, |roles| {
        json(&assignment(roles))
    });
    table(
        "claims and outcomes of a page by claims, JSON bytes",
        &CLAIMS,
        |claims| json(&claim_entries(claims)),
    );
    table(
        "request to acknowledge, passed on, by instances, CBOR bytes",
        &FORWARDED,
        |instances| {
            cbor(&message(ConfigMessage::Forward {
                to: (0..instances).map(instance).collect(),
                message: Box::new(prepare()),
            }))
        },
    );
    println!(
        "request to acknowledge: {} CBOR bytes",
        cbor(&message(prepare()))
    );
    println!(
        "acknowledgement: {} CBOR bytes",
        cbor(&message(acknowledge()))
    );
    println!("decision: {} CBOR bytes", cbor(&message(decided())));
    println!("request for a claim: {} CBOR bytes", cbor(&claim_request()));
}

/// Prints the size for each count, and the linear fit through them.
fn table(title: &str, counts: &[usize], size: impl Fn(usize) -> usize) {
    println!("{title}:");
    let points: Vec<(f64, f64)> = counts
        .iter()
        .map(|count| {
            let bytes = size(*count);
            println!("{count:8}  {bytes:8}");
            (*count as f64, bytes as f64)
        })
        .collect();
    let (fixed, slope, r2) = fit(&points);
    println!("    {fixed:.0} + {slope:.1} each, R2 {r2:.4}");
}

/// Returns the intercept and slope of the least-squares line, and the share of the variance that it
/// explains.
fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
    let of = |f: &dyn Fn(f64, f64) -> f64| -> f64 {
        points.iter().map(|(x, y)| f(x - mean_x, y - mean_y)).sum()
    };
    let (xx, xy, yy) = (of(&|x, _| x * x), of(&|x, y| x * y), of(&|_, y| y * y));
    let slope = xy / xx;
    (mean_y - slope * mean_x, slope, xy * xy / (xx * yy))
}

fn head(pages: usize) -> HeadRecord {
    let electors = (0..7).map(|number| Elector {
        instance: instance(number),
        address: "10.20.30.40:7001".parse().expect("it is an address"),
    });
    let outcomes = (0..32).map(|number| (change(number), Some(Revision::new(9_000))));
    HeadRecord {
        generation: 20_000,
        revision: Revision::new(10_000),
        pages: (0..pages).map(page).collect(),
        outcomes: outcomes.collect(),
        ..HeadRecord::first(electors.collect())
    }
}

fn page(number: usize) -> (PageKey, PageStamp) {
    let stamp = format!("{:016x}.{:08x}", u64::MAX / 3, u32::MAX / 3);
    let stamp = stamp.parse().expect("it is a stamp");
    (PageKey::new(format!("adapters-{number:02x}")), stamp)
}

fn assignment(roles: usize) -> AssignmentRecord {
    let role = |number: usize| Role::Target(TargetName::new(format!("target-{number:04}")));
    let entry = |number: usize| RoleEntry {
        holder: holder(number),
        epoch: Epoch::new((10_000 << 20) + 5),
        next: None,
        previous: Some(holder(number + 1)),
        handed_over: true,
    };
    AssignmentRecord {
        generation: 20_000,
        revision: Revision::new(10_000),
        roles: (0..roles)
            .map(|number| (role(number), entry(number)))
            .collect::<BTreeMap<_, _>>(),
        ..AssignmentRecord::empty(AssignmentShard::of(&role(0)))
    }
}

fn claim_entries(claims: usize) -> Vec<ClaimEntry> {
    let entries = (0..claims).flat_map(|number| {
        let key = ClaimKey::new("caller", "service", &number.to_string());
        let claimed = ClaimEntry::Claimed {
            key,
            fingerprint: u64::MAX / 3,
            attempt: attempt(),
            entry: holder(number),
        };
        let outcome = ClaimOutcome::Done {
            status: 200,
            body: None,
        };
        [claimed, ClaimEntry::Ended { key, outcome }]
    });
    entries.collect()
}

fn claim_request() -> ClaimRequest {
    ClaimRequest {
        key: ClaimKey::new("caller", "service", "key"),
        fingerprint: u64::MAX / 3,
        attempt: attempt(),
        entry: holder(1),
    }
}

/// Creates a request to acknowledge whose body has the size of a change set of 160 bytes.
fn prepare() -> ConfigMessage<String> {
    ConfigMessage::Prepare(Box::new(Prepare {
        change: change(1),
        generation: 20_000,
        base: Revision::new(10_000),
        body: "x".repeat(158),
        pages: vec![page(1)],
        proposer: instance(1),
    }))
}

fn acknowledge() -> ConfigMessage<String> {
    ConfigMessage::Acknowledge {
        change: change(1),
        generation: 20_000,
        holder: holder(1),
        proposer: instance(2),
        refusal: None,
    }
}

const fn decided() -> ConfigMessage<String> {
    ConfigMessage::Decided {
        change: change(1),
        generation: 20_000,
        accepted: Some(Revision::new(10_001)),
    }
}

const fn message(message: ConfigMessage<String>) -> CoordMessage<String> {
    CoordMessage::Config(message)
}

fn instance(number: usize) -> InstanceId {
    InstanceId::new(format!("instance-{number:03}"))
}

fn holder(number: usize) -> Holder {
    Holder::new(instance(number), Incarnation::new(u64::MAX / 3))
}

const fn change(number: u128) -> ChangeId {
    ChangeId::from_u128(u128::MAX / 3 + number)
}

const fn attempt() -> AttemptId {
    AttemptId::from_u128(u128::MAX / 3)
}

fn json(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).expect("it can be written").len()
}

fn cbor(value: &impl Serialize) -> usize {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("it can be written");
    buf.len()
}

//! Measures the memory and time that claims and roles cost an instance, by their number.
//!
//! Run it with `cargo run --release -p chervilshunt_coord --example machine_costs`. The results are
//! in `docs/CAPACITY.md`.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use chervilshunt_coord::{
    AssignmentRecord, AssignmentShard, ClaimAction, ClaimConfig, ClaimEvent, ClaimKeeper, ClaimKey,
    ClaimOutcome, ClaimRequest, Holder, Incarnation, ObjectVersion, PlatformOp, PlatformResult,
    Role, RoleConfig, RoleEntry, RoleEvent, RoleTable,
};
use chervilshunt_model::{AttemptId, Epoch, Moment, Revision, TargetName, ZoneName};
use peak_alloc::PeakAlloc;

#[global_allocator]
static ALLOC: PeakAlloc = PeakAlloc;

/// Numbers of claims held by a keeper.
const CLAIMS: [usize; 4] = [1_000, 5_000, 20_000, 40_000];
/// Number of claims that share a page.
const BATCH: usize = 10;
/// Numbers of roles of a deployment.
const ROLES: [usize; 4] = [100, 400, 800, 1_630];

fn main() {
    println!("claim keeper: claims  heap B a claim  us a claim with its outcome");
    for claims in CLAIMS {
        let (heap, micros) = keeper(claims);
        println!("{claims:20}  {:14}  {micros:27.2}", heap / claims);
    }
    println!("role table: roles  heap B a role  us to take in one object's change");
    for roles in ROLES {
        let (heap, micros) = table(roles);
        println!("{roles:17}  {:13}  {micros:33.2}", heap / roles);
    }
}

/// Returns the heap bytes of a keeper with `claims` claims and the microseconds per claim.
fn keeper(claims: usize) -> (usize, f64) {
    let before = ALLOC.current_usage();
    let mut now = Moment::from_millis(1_000);
    let cfg = ClaimConfig::new(0, holder(0), Epoch::new(1));
    let mut keeper = ClaimKeeper::new(cfg, now);
    let mut granted = 0;
    settle(&mut keeper, ClaimEvent::Tick, now, &mut granted);
    let begun = Instant::now();
    for first in (0..claims).step_by(BATCH) {
        // The minimum time between two pages has passed at each step, so that each step writes a
        // page.
        now = now + Duration::from_millis(100);
        for number in first..first + BATCH {
            settle(
                &mut keeper,
                ClaimEvent::Requested(request(number)),
                now,
                &mut granted,
            );
        }
        now = now + Duration::from_millis(100);
        settle(&mut keeper, ClaimEvent::Tick, now, &mut granted);
        for number in first..first + BATCH {
            let req = request(number);
            let ended = ClaimEvent::Ended {
                key: req.key,
                attempt: req.attempt,
                outcome: ClaimOutcome::Done {
                    status: 200,
                    body: None,
                },
            };
            settle(&mut keeper, ended, now, &mut granted);
        }
    }
    let micros = begun.elapsed().as_secs_f64() * 1e6 / claims as f64;
    assert_eq!(granted, claims, "every claim is granted once");
    (ALLOC.current_usage() - before, micros)
}

/// Passes an event to a keeper and answers all its calls like an empty platform.
fn settle(keeper: &mut ClaimKeeper, event: ClaimEvent, now: Moment, granted: &mut usize) {
    let mut events = VecDeque::from([event]);
    while let Some(event) = events.pop_front() {
        for action in keeper.handle(event, now) {
            match action {
                ClaimAction::Call(call) => {
                    events.push_back(ClaimEvent::Reply(call.id, answer(&call.op)));
                }
                ClaimAction::Answer { .. } => *granted += 1,
                ClaimAction::QueryAttempt { .. } => {}
                ClaimAction::Superseded => panic!("nobody else keeps the shard"),
            }
        }
    }
}

fn answer(op: &PlatformOp) -> PlatformResult {
    match op {
        PlatformOp::Read(_) => PlatformResult::NotFound,
        PlatformOp::List(_) | PlatformOp::ListClaims(_) => PlatformResult::Listed(Vec::new()),
        PlatformOp::Create(_) | PlatformOp::Update(..) | PlatformOp::Delete(..) => {
            PlatformResult::Written(ObjectVersion::new("1"))
        }
    }
}

fn request(number: usize) -> ClaimRequest {
    ClaimRequest {
        key: ClaimKey::new("caller", "service", &number.to_string()),
        fingerprint: number as u64,
        attempt: AttemptId::from_u128(number as u128),
        entry: holder(number % 370),
    }
}

/// Returns the heap bytes of a role table with `roles` roles and the microseconds to process the
/// change of one object.
fn table(roles: usize) -> (usize, f64) {
    const CHANGES: usize = 2_000;
    let mut records: BTreeMap<AssignmentShard, AssignmentRecord> = BTreeMap::new();
    for number in 0..roles {
        let role = Role::Target(TargetName::new(format!("target-{number:04}")));
        let shard = AssignmentShard::of(&role);
        let record = records
            .entry(shard)
            .or_insert_with(|| AssignmentRecord::empty(shard));
        record.generation = 1;
        record.revision = Revision::new(1);
        record.roles.insert(role, entry(number));
    }
    let before = ALLOC.current_usage();
    let now = Moment::from_millis(1_000);
    let zone = ZoneName::from("zone-01");
    let mut table = RoleTable::new(RoleConfig::default(), holder(999), zone, now);
    for record in records.values() {
        // Deserialized from JSON, as a watch delivers it, so that no text is shared with the
        // original.
        let text = serde_json::to_string(record).expect("it can be written");
        let record = serde_json::from_str(&text).expect("it was written");
        drop(table.handle(RoleEvent::Seen(record, ObjectVersion::new("1")), now));
    }
    let heap = ALLOC.current_usage() - before;
    let mut changes: Vec<AssignmentRecord> = Vec::with_capacity(CHANGES);
    for (change, record) in records.values().cycle().take(CHANGES).enumerate() {
        let mut record = record.clone();
        record.generation = 2 + change as u64;
        changes.push(record);
    }
    let begun = Instant::now();
    for record in changes {
        drop(table.handle(RoleEvent::Seen(record, ObjectVersion::new("2")), now));
    }
    (heap, begun.elapsed().as_secs_f64() * 1e6 / CHANGES as f64)
}

fn entry(number: usize) -> RoleEntry {
    RoleEntry {
        holder: holder(number % 370),
        epoch: Epoch::new((1 << 20) + 1),
        next: None,
        previous: Some(holder((number + 1) % 370)),
        handed_over: true,
    }
}

fn holder(number: usize) -> Holder {
    let instance = format!("instance-{number:03}");
    Holder::new(instance.as_str(), Incarnation::new(u64::MAX / 3))
}

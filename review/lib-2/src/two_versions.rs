//! Replicas start again under their ids with another software version, and crash soon after.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::cases::{Route, Setup, configuration};
use crate::client::{Pace, Request, call};
use crate::fleet::Fleet;

/// The replicas of the service and the instances, as the sheet has.
const REPLICAS: usize = 9;
const INSTANCES: usize = 7;
/// The replicas that start again, one after the other, and how often one does.
const RESTARTED: usize = 4;
const TURNS: usize = 12;
/// Time between two streams: 65 a second, as the sheet has.
const INTERVAL: Duration = Duration::from_millis(15);
const DEADLINE: Duration = Duration::from_secs(15);
/// Time from a restart to the crash of the new version.
const CRASHES_AFTER: Duration = Duration::from_millis(1_500);
/// Time that a replica is down after the second crash.
const DOWN: Duration = Duration::from_secs(1);
/// Time from then on to the next replica.
const REST: Duration = Duration::from_secs(3);
/// More streams of two versions than this break the rule.
const ALLOWED: usize = 2;

pub fn play(setup: &Setup) -> Result<bool, String> {
    let routes = [Route {
        name: "notes",
        kind: "streaming",
        service: "narrator",
        timeout_ms: 15_000,
        aim_ms: 600,
        max_attempts: 2,
        is_resumable: true,
    }];
    let text = configuration(&routes, &["narrator"], None);
    let mut fleet = Fleet::start(setup.record.clone(), &text)?;
    let options = [
        "--stream",
        "--framing",
        "chunks",
        "--pieces",
        "40",
        "--gap-ms",
        "90",
    ];
    let mut replicas = Vec::new();
    for number in 1..=REPLICAS {
        replicas.push(fleet.add_replica(&format!("i-{number}"), "narrator", "v1", &options)?);
    }
    for number in 0..INSTANCES {
        fleet.add_instance(["worcester", "providence", "portland"][number % 3])?;
    }
    fleet.wait_until_ready()?;
    let callers: Vec<_> = fleet.instances.iter().map(|it| it.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let (over, record) = (Arc::clone(&is_over), setup.record.clone());
    let load = thread::spawn(move || {
        let mut streams = Vec::new();
        let mut next = Instant::now();
        while !over.load(Ordering::SeqCst) {
            let number = streams.len();
            let (address, record) = (callers[number % callers.len()], record.clone());
            streams.push(thread::spawn(move || {
                let request = Request {
                    id: format!("stream-{number}"),
                    path: "/notes/x".to_owned(),
                    deadline: DEADLINE,
                    headers: Vec::new(),
                };
                record.note(&format!("sent {} to {address}", request.id));
                let answer = call(address, &request, Pace::Full);
                let events = answer.events();
                let versions = events.iter().filter_map(|it| it.split(' ').next());
                let versions: BTreeSet<String> = versions.map(str::to_owned).collect();
                record.note(&format!(
                    "answer to {}: status {}, {} events of {versions:?}, end: {}",
                    request.id,
                    answer.status,
                    events.len(),
                    answer.end
                ));
                (answer, versions.len())
            }));
            next += INTERVAL;
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        streams
    });
    thread::sleep(Duration::from_secs(5));
    if setup.has_trouble {
        for turn in 0..TURNS {
            let replica = &mut replicas[turn % RESTARTED];
            let id = replica.id.clone();
            replica.crash();
            replica.restart(&fleet, "v2")?;
            setup.record.note(&format!(
                "{id} has started again, with version v2, and is listed"
            ));
            thread::sleep(CRASHES_AFTER);
            replica.crash();
            setup.record.note(&format!("{id} has crashed"));
            thread::sleep(DOWN);
            replica.restart(&fleet, "v1")?;
            setup.record.note(&format!(
                "{id} has started again, with version v1, and is listed"
            ));
            thread::sleep(REST);
        }
    } else {
        thread::sleep(Duration::from_secs(30));
    }
    is_over.store(true, Ordering::SeqCst);
    let streams = load.join().map_err(|_| "the load has failed")?;
    let streams: Vec<_> = streams
        .into_iter()
        .filter_map(|it| it.join().ok())
        .collect();
    let whole = streams
        .iter()
        .filter(|(it, _)| it.status == 200 && it.is_whole)
        .count();
    let mixed = streams.iter().filter(|(_, versions)| *versions > 1).count();
    let line = format!(
        "{} streams: {whole} whole, {mixed} with events of two versions (more than {ALLOWED} break the rule)",
        streams.len()
    );
    setup.record.note(&line);
    println!("{line}");
    if whole == 0 {
        return Err("no stream was served".to_owned());
    }
    Ok(mixed <= ALLOWED)
}

//! Streams begin while the platform's store is silent, break off later, and are taken up by their clients.

use std::thread;
use std::time::{Duration, Instant};

use crate::cases::{Route, Setup, configuration};
use crate::client::{Answer, Pace, Request, call};
use crate::fleet::Fleet;

/// The replicas of the service and those that crash, of which the pages allow a quarter.
const REPLICAS: usize = 9;
const CRASHED: usize = 2;
/// Time for which the replicas are down, which the pages have for a quarter of them.
const DOWN: Duration = Duration::from_secs(2);
const INSTANCES: usize = 7;
/// For how long the store is silent.
const SILENCE: Duration = Duration::from_millis(4_500);
/// Time from the begin of the silence to the first stream, and from then to the last one.
const STREAMS_FROM: Duration = Duration::from_millis(1_500);
const STREAMS_FOR: Duration = Duration::from_millis(2_500);
/// Time between two streams: 65 a second, as the sheet has.
const INTERVAL: Duration = Duration::from_millis(15);
/// Time from the end of the silence to the crash: `contact_ms` is 3 s.
const CRASH_AFTER: Duration = Duration::from_millis(3_500);
const DEADLINE: Duration = Duration::from_secs(15);
/// Fewer streams than this that are taken up again don't count.
const LEAST: usize = 12;

pub fn play(setup: &Setup) -> Result<bool, String> {
    let routes = [Route {
        name: "draft",
        kind: "streaming",
        service: "assistant",
        timeout_ms: 15_000,
        aim_ms: 600,
        max_attempts: 1,
        is_resumable: true,
    }];
    let text = configuration(&routes, &[], Some("assistant"));
    let mut fleet = Fleet::start(setup.record.clone(), &text)?;
    let options = [
        "--stream",
        "--no-born",
        "--framing",
        "chunks",
        "--model",
        "base",
        "--pieces",
        "58",
        "--gap-ms",
        "190",
    ];
    let mut replicas = Vec::new();
    for number in 1..=REPLICAS {
        replicas.push(fleet.add_replica(&format!("i-{number}"), "assistant", "v1", &options)?);
    }
    for number in 0..INSTANCES {
        fleet.add_instance(["worcester", "providence", "portland"][number % 3])?;
    }
    fleet.wait_until_ready()?;
    thread::sleep(Duration::from_secs(2));
    if setup.has_trouble {
        fleet.store.set_silent(true);
        setup.record.note("the store is silent");
    }
    thread::sleep(STREAMS_FROM);
    let callers: Vec<_> = fleet.instances.iter().map(|it| it.callers).collect();
    let count = (STREAMS_FOR.as_millis() / INTERVAL.as_millis()) as usize;
    let streams: Vec<_> = (0..count)
        .map(|number| {
            let (addresses, record) = (callers.clone(), setup.record.clone());
            thread::sleep(INTERVAL);
            thread::spawn(move || {
                let id = format!("stream-{number}");
                let first = send(addresses[number % INSTANCES], &record, &id, Vec::new());
                if first.status != 200 || first.is_whole || first.events().is_empty() {
                    return (first, None);
                }
                let last = first.events().len();
                let headers = vec![
                    ("Last-Event-Id".to_owned(), last.to_string()),
                    ("Resumes".to_owned(), id.clone()),
                ];
                // Retries reach other nodes.
                let address = addresses[(number + 1) % INSTANCES];
                let again = send(address, &record, &format!("{id}-again"), headers);
                (first, Some(again))
            })
        })
        .collect();
    thread::sleep(SILENCE.saturating_sub(STREAMS_FROM + STREAMS_FOR));
    fleet.store.set_silent(false);
    setup.record.note("the store answers");
    thread::sleep(CRASH_AFTER);
    for replica in replicas.iter_mut().take(CRASHED) {
        replica.crash();
        setup.record.note(&format!("{} has crashed", replica.id));
    }
    let down_from = Instant::now();
    // New streams at the same time and at the same instances.
    let new: Vec<_> = (0..30)
        .map(|number| {
            let (address, record) = (callers[number % INSTANCES], setup.record.clone());
            thread::sleep(INTERVAL);
            thread::spawn(move || send(address, &record, &format!("new-{number}"), Vec::new()))
        })
        .collect();
    thread::sleep(DOWN.saturating_sub(down_from.elapsed()));
    for replica in replicas.iter_mut().take(CRASHED) {
        replica.restart(&fleet, "v1")?;
        setup
            .record
            .note(&format!("{} has started again", replica.id));
    }
    let streams: Vec<_> = streams
        .into_iter()
        .filter_map(|it| it.join().ok())
        .collect();
    let new: Vec<Answer> = new.into_iter().filter_map(|it| it.join().ok()).collect();
    let taken_up: Vec<&Answer> = streams
        .iter()
        .filter_map(|(_, again)| again.as_ref())
        .collect();
    let went_on = taken_up.iter().filter(|it| it.status == 200).count();
    let began = new.iter().filter(|it| it.status == 200).count();
    let line = format!(
        "{} streams: {} taken up again, {went_on} of these went on; {began} of {} new ones began",
        streams.len(),
        taken_up.len(),
        new.len()
    );
    setup.record.note(&line);
    println!("{line}");
    if taken_up.len() < LEAST || began == 0 {
        return Err("too few streams were taken up again".to_owned());
    }
    let share = went_on as f64 / taken_up.len() as f64;
    Ok(share >= 0.5 * began as f64 / new.len() as f64)
}

fn send(
    address: std::net::SocketAddrV4,
    record: &crate::fleet::Record,
    id: &str,
    mut headers: Vec<(String, String)>,
) -> Answer {
    headers.push(("X-Chervilshunt-Model".to_owned(), "base".to_owned()));
    let request = Request {
        id: id.to_owned(),
        path: "/draft/x".to_owned(),
        deadline: DEADLINE,
        headers,
    };
    record.note(&format!("sent {id} to {address}"));
    let answer = call(address, &request, Pace::Full);
    record.note(&format!(
        "answer to {id}: status {}, {} events, end: {}",
        answer.status,
        answer.events().len(),
        answer.end
    ));
    answer
}

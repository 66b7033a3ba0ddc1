//! A replica is removed at short notice while it writes streams that end with their connection.

use std::thread;
use std::time::{Duration, Instant};

use crate::cases::{Route, Setup, configuration};
use crate::client::{Answer, Pace, Request, call};
use crate::fleet::Fleet;

/// The replicas of the service, as the sheet has: one of them is less than the share that the pages name.
const REPLICAS: usize = 9;
/// Streams, and the time between two: 65 a second, as the sheet has.
const STREAMS: usize = 72;
const INTERVAL: Duration = Duration::from_millis(15);
const EVENTS: usize = 58;
/// Notice that the replica gives: the largest one of the pages is 2.5 s.
const NOTICE: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(15);

pub fn play(setup: &Setup) -> Result<bool, String> {
    let routes = [Route {
        name: "draft",
        kind: "streaming",
        service: "assistant",
        timeout_ms: 15_000,
        aim_ms: 600,
        max_attempts: 1,
        is_resumable: false,
    }];
    let text = configuration(&routes, &[], Some("assistant"));
    let mut fleet = Fleet::start(setup.record.clone(), &text)?;
    let options = [
        "--stream",
        "--framing",
        "connection",
        "--model",
        "base",
        "--pieces",
        "58",
        "--gap-ms",
        "90",
    ];
    let mut replicas = Vec::new();
    for number in 1..=REPLICAS {
        replicas.push(fleet.add_replica(&format!("i-{number}"), "assistant", "v1", &options)?);
    }
    for zone in ["worcester", "providence", "portland"] {
        fleet.add_instance(zone)?;
    }
    fleet.wait_until_ready()?;
    let callers: Vec<_> = fleet.instances.iter().map(|it| it.callers).collect();
    let began = Instant::now();
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (address, record) = (callers[number % callers.len()], setup.record.clone());
            thread::sleep(INTERVAL);
            thread::spawn(move || {
                let request = Request {
                    id: format!("stream-{number}"),
                    path: "/draft/x".to_owned(),
                    deadline: DEADLINE,
                    headers: vec![("X-Chervilshunt-Model".to_owned(), "base".to_owned())],
                };
                record.note(&format!("sent {} to {address}", request.id));
                let answer = call(address, &request, Pace::Full);
                let events = answer.events().len();
                record.note(&format!(
                    "answer to {}: status {}, {events} events, end: {}",
                    request.id, answer.status, answer.end
                ));
                answer
            })
        })
        .collect();
    if setup.has_trouble {
        let gone = &mut replicas[0];
        setup
            .record
            .note(&format!("{} is draining, {NOTICE:?} remain", gone.id));
        gone.give_notice(&fleet.store, NOTICE);
        thread::sleep(NOTICE);
        gone.crash();
        setup.record.note(&format!("{} is gone", gone.id));
        fleet.store.remove("servers", &replicas[0].id);
    }
    let answers: Vec<Answer> = streams
        .into_iter()
        .filter_map(|it| it.join().ok())
        .collect();
    let count = |holds: &dyn Fn(&Answer) -> bool| answers.iter().filter(|it| holds(it)).count();
    let whole = count(&|it| it.status == 200 && it.is_whole && it.events().len() == EVENTS);
    let cut = count(&|it| it.status == 200 && !it.is_whole);
    let false_ends = count(&|it| it.status == 200 && it.is_whole && it.events().len() < EVENTS);
    let line = format!(
        "{} streams in {:.1} s: {whole} whole, {cut} broken off, {false_ends} that look complete and lack events",
        answers.len(),
        began.elapsed().as_secs_f64()
    );
    setup.record.note(&line);
    println!("{line}");
    if whole == 0 {
        return Err("no stream was served".to_owned());
    }
    Ok(false_ends == 0)
}

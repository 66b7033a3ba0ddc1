//! An instance is stopped in an orderly way while a sound replica falls silent for about a second.

use std::thread;
use std::time::{Duration, Instant};

use crate::cases::{Route, Setup, configuration};
use crate::client::{Answer, Pace, Request, call};
use crate::fleet::Fleet;
use crate::sys::{SIGTERM, signal};

/// "A sound replica may fall silent for a second or so and go on".
const SILENCE: Duration = Duration::from_millis(1_200);
/// Time between two stops.
const GAP: Duration = Duration::from_secs(4);
/// Requests to an instance that is being stopped, and the time between two.
const CALLS: usize = 24;
const INTERVAL: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_secs(3);

pub fn play(setup: &Setup) -> Result<bool, String> {
    let routes = [Route {
        name: "entry",
        kind: "unsafe",
        service: "app",
        timeout_ms: 3_000,
        aim_ms: 300,
        max_attempts: 1,
        is_resumable: false,
    }];
    let text = configuration(&routes, &["app"], None);
    let mut fleet = Fleet::start(setup.record.clone(), &text)?;
    let options = ["--framing", "connection", "--gap-ms", "60"];
    let mut replicas = Vec::new();
    for id in ["i-one", "i-two", "i-three"] {
        replicas.push(fleet.add_replica(id, "app", "v1", &options)?);
    }
    for zone in ["worcester", "providence", "portland"] {
        fleet.add_instance(zone)?;
    }
    fleet.wait_until_ready()?;
    let mut calls = Vec::new();
    for (instance, replica) in fleet.instances.iter().zip(&replicas) {
        let began = Instant::now();
        if setup.has_trouble {
            let sent = signal(instance.process.pid(), SIGTERM);
            sent.map_err(|it| format!("no signal was sent: {it}"))?;
            setup.record.note(&format!("SIGTERM to {}", instance.name));
        }
        for number in 0..CALLS {
            if setup.has_trouble && number == CALLS / 2 {
                replica.fall_silent(SILENCE);
                setup.record.note(&format!(
                    "{} falls silent after its next answer",
                    replica.id
                ));
            }
            let (address, record) = (instance.callers, setup.record.clone());
            let number = calls.len();
            calls.push(thread::spawn(move || {
                let request = Request {
                    id: format!("entry-{number}"),
                    path: "/entry/x".to_owned(),
                    deadline: DEADLINE,
                    headers: Vec::new(),
                };
                record.note(&format!("sent {} to {address}", request.id));
                let answer = call(address, &request, Pace::Full);
                record.note(&format!(
                    "answer to {}: status {}, {} bytes after {:.2} s, end: {}",
                    request.id,
                    answer.status,
                    answer.body.len(),
                    answer.took.as_secs_f64(),
                    answer.end
                ));
                answer
            }));
            thread::sleep(INTERVAL);
        }
        thread::sleep(GAP.saturating_sub(began.elapsed()));
    }
    let answers: Vec<Answer> = calls.into_iter().filter_map(|it| it.join().ok()).collect();
    let whole = answers
        .iter()
        .filter(|it| it.status == 200 && it.is_whole)
        .count();
    let lost = answers
        .iter()
        .filter(|it| it.status == 200 && !it.is_whole && it.took < DEADLINE);
    let lost = lost.count();
    let line = format!(
        "{} calls: {whole} whole, {lost} ended without their end and before their deadline",
        answers.len()
    );
    setup.record.note(&line);
    println!("{line}");
    if whole == 0 {
        return Err("no call was served".to_owned());
    }
    Ok(lost == 0)
}

//! Instances are stopped in turn, in an orderly way, while clients read their answers slowly.

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::cases::{Route, Setup, configuration};
use crate::client::{Answer, Pace, Request, call};
use crate::fleet::Fleet;
use crate::sys::{SIGTERM, signal};

const INSTANCES: usize = 8;
/// How often each instance is stopped.
const ROUNDS: usize = 3;
/// Time between two stops, as `roll_term` has by default.
const GAP: Duration = Duration::from_secs(1);
/// Time from the signal to the requests. The platform asks for readiness once a second, and sends callers until two
/// answers in a row are no 200.
const SENT_AFTER: Duration = Duration::from_millis(1_700);
/// Clients of an instance that is being stopped.
const CLIENTS: usize = 4;
/// Sizes of the answers, in bytes.
const LEAST_BYTES: usize = 1_000 * 1024;
const SPREAD_BYTES: usize = 150 * 1024;
/// How fast clients read, in bytes a second.
const PER_SECOND: usize = 450 * 1024;
const DEADLINE: Duration = Duration::from_secs(3);
/// Time in which an instance ends after the signal (`grace_s`), and a little more.
const GRACE: Duration = Duration::from_secs(9);

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
    let options = ["--framing", "length"];
    let mut replicas = Vec::new();
    for id in ["i-one", "i-two", "i-three"] {
        replicas.push(fleet.add_replica(id, "app", "v1", &options)?);
    }
    for number in 0..INSTANCES {
        fleet.add_instance(["worcester", "providence", "portland"][number % 3])?;
    }
    fleet.wait_until_ready()?;
    let mut sizes = Sizes::start();
    let mut calls = Vec::new();
    for _ in 0..ROUNDS {
        for instance in &fleet.instances {
            if setup.has_trouble {
                let sent = signal(instance.process.pid(), SIGTERM);
                sent.map_err(|it| format!("no signal was sent: {it}"))?;
                setup.record.note(&format!("SIGTERM to {}", instance.name));
            }
            for _ in 0..CLIENTS {
                let (address, record) = (instance.callers, setup.record.clone());
                let (number, bytes) = (calls.len(), sizes.next());
                calls.push(thread::spawn(move || {
                    thread::sleep(SENT_AFTER);
                    let request = Request {
                        id: format!("entry-{number}"),
                        path: format!("/entry/x?bytes={bytes}"),
                        deadline: DEADLINE,
                        headers: Vec::new(),
                    };
                    record.note(&format!("sent {} to {address}", request.id));
                    let answer = call(address, &request, Pace::Slow(PER_SECOND));
                    record.note(&format!(
                        "answer to {}: status {}, {} of {bytes} bytes after {:.2} s, end: {}",
                        request.id,
                        answer.status,
                        answer.body.len(),
                        answer.took.as_secs_f64(),
                        answer.end
                    ));
                    answer
                }));
            }
            thread::sleep(GAP);
        }
        if setup.has_trouble {
            let ends = Instant::now() + GRACE;
            for number in 0..INSTANCES {
                while !fleet.instances[number].process.has_ended() {
                    if Instant::now() > ends {
                        return Err(format!("{} does not end", fleet.instances[number].name));
                    }
                    thread::sleep(Duration::from_millis(20));
                }
                fleet.restart_instance(number)?;
            }
            fleet.wait_until_ready()?;
        }
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
        "{} calls: {whole} whole, {lost} ended before their end and their deadline",
        answers.len()
    );
    setup.record.note(&line);
    println!("{line}");
    if whole == 0 {
        return Err("no call was served".to_owned());
    }
    Ok(lost == 0)
}

/// Draws the sizes of answers.
struct Sizes(u64);

impl Sizes {
    fn start() -> Self {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self(now.as_nanos() as u64 | 1)
    }

    fn next(&mut self) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        LEAST_BYTES + (self.0 % SPREAD_BYTES as u64) as usize
    }
}

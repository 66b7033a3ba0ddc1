//! Measures the cost of planner events while the base models of targets are outdated.
//!
//! `cargo run --release -p chervilshunt_core --example model_update_costs` prints the mean time of
//! a placement request and its end, for several numbers of targets, with and without a newer
//! version of their base model.

#[path = "../tests/support/placing.rs"]
mod placing;

use std::hint::black_box;
use std::time::{Duration, Instant};

use chervilshunt_core::{
    GrantNumber, GrantProgress, ResidencyAction, ResidencyEvent, ResidencyPlanner, Weights,
};
use placing::{at, placement_request, reported, unqueried_planner};

/// Concurrent requests and adapter slots of each target.
const SLOTS: u32 = 64;
const ADAPTER_SLOTS: usize = 20;
const REQUESTS: u64 = 5_000;
/// 1,400 requests per second, which is the load at the design size.
const REQUEST_INTERVAL: Duration = Duration::from_micros(714);

/// Creates a planner that knows what all its targets hold.
fn planner(targets: usize) -> ResidencyPlanner {
    let mut residency = unqueried_planner(targets, SLOTS, ADAPTER_SLOTS);
    residency.handle(ResidencyEvent::Tick, at(1_000));
    for index in 0..targets {
        residency.handle(reported(index, Vec::new()), at(1_000));
    }
    residency
}

fn mean_time(targets: usize, outdated: bool) -> Duration {
    let mut residency = planner(targets);
    let mut now = at(2_000);
    let base = Weights::base(&"base".into());
    if outdated {
        residency.handle(ResidencyEvent::VersionAnnounced(base.clone(), 2), now);
    }
    let started = Instant::now();
    for number in 0..REQUESTS {
        now = now + REQUEST_INTERVAL;
        let wanted = placement_request(number, base.clone(), 1_000);
        let actions: Vec<ResidencyAction> = residency.handle(wanted, now);
        black_box(actions);
        let ended = ResidencyEvent::GrantsProgressed(GrantProgress {
            ended: vec![GrantNumber(number)],
            ..GrantProgress::default()
        });
        black_box(residency.handle(ended, now));
    }
    started.elapsed() / u32::try_from(REQUESTS).unwrap_or(u32::MAX)
}

fn main() {
    println!("targets  current  outdated (mean time of a placement request and its end)");
    for targets in [9, 112, 400, 1_600] {
        let current = mean_time(targets, false);
        let outdated = mean_time(targets, true);
        println!("{targets:>7}  {current:>7.1?}  {outdated:>7.1?}");
    }
}

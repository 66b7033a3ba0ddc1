//! What an event costs the placer while the base models of its targets are outdated.
//!
//! `cargo run --release -p chervilshunt_core --example model_update_costs` prints the mean time of a want with
//! its end, before so many targets, with and without a newer version of their base model.

#[path = "../tests/support/placing.rs"]
mod placing;

use std::hint::black_box;
use std::time::{Duration, Instant};

use chervilshunt_core::{
    GrantNumber, GrantProgress, ResidencyAction, ResidencyEvent, ResidencyPlanner, Weights,
};
use placing::{at, placement_request, reported, unqueried_planner};

/// Requests and adapters that a target takes at a time.
const SLOTS: u32 = 64;
const ADAPTER_SLOTS: usize = 20;
const WANTS: u64 = 5_000;
/// 1,400 requests a second, as at the size that the design is for.
const WANT_EVERY: Duration = Duration::from_micros(714);

/// A planner that knows what all its targets hold.
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
    let began = Instant::now();
    for question in 0..WANTS {
        now = now + WANT_EVERY;
        let wanted = placement_request(question, base.clone(), 1_000);
        let actions: Vec<ResidencyAction> = residency.handle(wanted, now);
        black_box(actions);
        let ended = ResidencyEvent::GrantsProgressed(GrantProgress {
            ended: vec![GrantNumber(question)],
            ..GrantProgress::default()
        });
        black_box(residency.handle(ended, now));
    }
    began.elapsed() / u32::try_from(WANTS).unwrap_or(u32::MAX)
}

fn main() {
    println!("targets  current  outdated (mean time of a want and its end)");
    for targets in [9, 112, 400, 1_600] {
        let current = mean_time(targets, false);
        let outdated = mean_time(targets, true);
        println!("{targets:>7}  {current:>7.1?}  {outdated:>7.1?}");
    }
}

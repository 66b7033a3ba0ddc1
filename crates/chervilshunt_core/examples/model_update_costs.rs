//! What an event costs the placer while the base models of its targets are outdated.
//!
//! `cargo run --release -p chervilshunt_core --example model_update_costs` prints the mean time of a want with
//! its end, before so many targets, with and without a newer version of their base model.

use std::hint::black_box;
use std::time::{Duration, Instant};

use chervilshunt_core::{
    GrantNumber, GrantProgress, Lane, LoadedModel, ModelSpec, PlacementLimits, Residency,
    ResidencyAction, ResidencyConfig, ResidencyEvent, TargetFacts, TargetReport, Want, Weights,
};
use chervilshunt_model::{InstanceId, Moment, ServiceName, TargetName, ZoneName};

const WANTS: u64 = 5_000;
/// 1,400 requests a second, as at the size that the design is for.
const WANT_EVERY: Duration = Duration::from_micros(714);

fn service() -> ServiceName {
    ServiceName::from("drafts")
}

/// A planner that knows what all its targets hold.
fn planner(targets: usize, now: Moment) -> Residency {
    let mut residency = Residency::new(ResidencyConfig::default(), now);
    let limits = PlacementLimits {
        models: vec![ModelSpec {
            name: "base".into(),
            megabytes: 100.0,
            load_time: Duration::from_millis(600),
            adapter_megabytes: 1.0,
        }],
        megabytes: 200.0,
        adapter_slots: 20,
        loads_per_second: 4.0,
    };
    residency.handle(ResidencyEvent::Limits(service(), limits), now);
    let names: Vec<TargetName> = (0..targets)
        .map(|it| TargetName::new(format!("t{it}")))
        .collect();
    for name in &names {
        let facts = TargetFacts {
            started: None,
            name: name.clone(),
            service: service(),
            address: ([10, 0, 0, 1], 8000).into(),
            zone: ZoneName::from("zone"),
            slots: 64,
            leaving: None,
            models: vec![LoadedModel {
                name: "base".into(),
                version: 1,
                adapters: Vec::new(),
            }],
        };
        residency.handle(ResidencyEvent::TargetSeen(facts), now);
    }
    let asked = now + Duration::from_secs(1);
    residency.handle(ResidencyEvent::Tick, asked);
    for name in names {
        let report = TargetReport {
            started: None,
            accepted: 0,
            busy: false,
            models: vec![(Weights::base(&"base".into()), 1)],
            adapters: Vec::new(),
            loading: Vec::new(),
        };
        residency.handle(ResidencyEvent::Reported(name, report), asked);
    }
    residency
}

fn mean_time(targets: usize, outdated: bool) -> Duration {
    let mut now = Moment::from_millis(50_000);
    let mut residency = planner(targets, now);
    now = now + Duration::from_secs(2);
    let base = Weights::base(&"base".into());
    if outdated {
        residency.handle(ResidencyEvent::VersionNamed(base.clone(), 2), now);
    }
    let began = Instant::now();
    for question in 0..WANTS {
        now = now + WANT_EVERY;
        let want = Want {
            service: service(),
            weights: base.clone(),
            prompt_tokens: 800,
            lane: Lane::General,
            zone: ZoneName::from("zone"),
            avoid: Vec::new(),
        };
        let wanted = ResidencyEvent::Wanted {
            question,
            from: InstanceId::from("i"),
            want,
            within: Duration::from_secs(1),
        };
        let actions: Vec<ResidencyAction> = residency.handle(wanted, now);
        black_box(actions);
        let ended = ResidencyEvent::Progressed(GrantProgress {
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

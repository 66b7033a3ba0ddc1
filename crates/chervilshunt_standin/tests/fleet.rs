//! The process harness starts, pauses and kills real stand-in processes.

use std::time::Duration;

use chervilshunt_standin::fleet::{Fleet, FleetOptions, wait_until};
use serde_json::json;

const BOUND: Duration = Duration::from_secs(10);

/// Returns whether a process exists and is not a zombie.
fn runs(pid: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    !status.is_empty() && !status.contains(") Z ")
}

#[tokio::test]
async fn stand_ins_are_started_listed_paused_and_killed() {
    let fleet = Fleet::start_standins(FleetOptions::default())
        .await
        .unwrap();
    assert_eq!(
        fleet.targets().keys().collect::<Vec<_>>(),
        ["desk-1", "engine-1", "engine-2"]
    );
    assert!(fleet.wait_listed(BOUND).await);

    fleet
        .set_faults("engine-1", json!({"load_fails": 0.5}))
        .await
        .unwrap();
    fleet
        .set_faults("engine-1", json!({"no_such_switch": true}))
        .await
        .unwrap_err();
    fleet.set_faults("nobody", json!({})).await.unwrap_err();

    let engine = &fleet.targets()["engine-2"];
    let pid = engine.process.id().unwrap();
    fleet.freeze("engine-2").unwrap();
    let stopped = || async {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
        stat.contains(") T ").then_some(())
    };
    wait_until(BOUND, stopped)
        .await
        .expect("the engine should be paused");
    fleet.thaw("engine-2").unwrap();
    fleet.stats("engine-2").await.unwrap();

    // Dropping the fleet must also kill a paused process.
    fleet.freeze("engine-2").unwrap();
    drop(fleet);
    let ended = || async { (!runs(pid)).then_some(()) };
    wait_until(BOUND, ended)
        .await
        .expect("the engine should end with its fleet");
}

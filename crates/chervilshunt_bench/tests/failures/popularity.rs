//! The popularity of adapters shifts.

use std::time::Duration;

use chervilshunt_standin::fleet::FleetOptions;

use crate::case::{Case, unanswered};

/// The least requested adapters suddenly become the most requested, while the engines' few slots
/// hold the previously popular ones, which still serve requests. The newly popular ones may replace
/// only adapters that no request uses. Answers of the old ones have to complete with the right
/// version, requests for the new ones wait for a load and are then answered, and none is refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cold_adapters_turn_busy() {
    let options = FleetOptions {
        adapters: 16,
        slots: 3,
        ..FleetOptions::default()
    };
    let case = Case::start(options, 25.0).await;
    case.run_for(Duration::from_secs(4)).await;
    let before = evictions(&case).await;
    case.load.shift_popularity();
    case.run_for(Duration::from_secs(5)).await;
    let after = evictions(&case).await;
    assert!(after > before, "nothing was evicted after the shift");

    let tries = case.finish().await;
    assert_eq!(unanswered(&tries), [""; 0]);
}

async fn evictions(case: &Case) -> u64 {
    case.count("engine-1", "unloads").await + case.count("engine-2", "unloads").await
}

//! Starts a simulated platform and clients with time limits short enough for tests.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::future::Future;
use std::time::Duration;

use chervilshunt_core::{BackoffConfig, RetryBudgetConfig};
use chervilshunt_model::InstanceId;
use chervilshunt_platform::{Platform, PlatformConfig, Timeouts, WatchEvent, WatchTiming};
use chervilshunt_standin::platform::{PlatformHandle, PlatformOptions, start_platform};
use serde::{Deserialize, Serialize};
use slog::{Discard, Logger, o};
use tokio::sync::mpsc;

/// The time limit for each wait, so that a test fails rather than hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Spec {
    pub(crate) value: u64,
}

pub(crate) async fn standin() -> PlatformHandle {
    let options = PlatformOptions {
        bookmark_interval: Duration::from_millis(50),
        ..PlatformOptions::default()
    };
    start_platform(options).await.expect("loopback is there")
}

pub(crate) fn config(standin: &PlatformHandle, instance: &str) -> PlatformConfig {
    let mut cfg = PlatformConfig::new(standin.address(), "test", InstanceId::from(instance));
    cfg.timeouts = Timeouts {
        connect: Duration::from_millis(300),
        attempt: Duration::from_millis(300),
        call: Duration::from_millis(1500),
        max_attempts: 3,
    };
    cfg.retries = RetryBudgetConfig {
        ratio: 0.1,
        per_second: 0.0,
        burst: 4.0,
    };
    cfg.backoff = BackoffConfig {
        base: Duration::from_millis(5),
        cap: Duration::from_millis(50),
    };
    cfg.rate.per_second = 1000.0;
    cfg.rate.burst = 1000.0;
    cfg.watch = WatchTiming {
        backoff: BackoffConfig {
            base: Duration::from_millis(10),
            cap: Duration::from_millis(100),
        },
        idle_timeout: Duration::from_millis(400),
        min_check_interval: Duration::from_millis(300),
        checks_per_second: 1e6,
        settle: Duration::from_millis(50),
        lifetime: Duration::from_secs(20),
        buffer: 16,
    };
    cfg
}

pub(crate) fn client(standin: &PlatformHandle, instance: &str) -> Platform {
    Platform::new(config(standin, instance), Logger::root(Discard, o!()))
}

pub(crate) async fn within<T>(what: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_TIMEOUT, what)
        .await
        .expect("it ends in time")
}

/// Waits for the first event for which `pick` returns a value, and returns that value.
pub(crate) async fn wait_for<T>(
    rx: &mut mpsc::Receiver<WatchEvent<Spec>>,
    mut pick: impl FnMut(WatchEvent<Spec>) -> Option<T>,
) -> T {
    within(async {
        loop {
            let event = rx.recv().await.expect("the watch goes on");
            if let Some(picked) = pick(event) {
                return picked;
            }
        }
    })
    .await
}

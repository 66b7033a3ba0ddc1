//! Periodic checks for events that a watch did not deliver.

use std::pin::Pin;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use crate::{Platform, PlatformError, Resource, Selector, VersionList};

/// The next step of a check for events that the watch did not deliver.
///
/// It is kept across the lines of the watch: if it were restarted with each line, it would never
/// complete on a busy watch.
pub(super) type Check = Pin<Box<dyn Future<Output = CheckProgress> + Send>>;

/// The result of a step of a check.
pub(super) enum CheckProgress {
    /// The objects were listed. Events still in transit may yet arrive.
    Listed(VersionList),
    /// The list call failed.
    Failed(PlatformError),
    /// Events in transit at the time of the list have had time to arrive.
    Settled(VersionList),
}

/// Lists names and versions at the time `at`.
pub(super) fn check_at(
    platform: Platform,
    resource: Resource,
    selector: Selector,
    at: Instant,
) -> Check {
    Box::pin(async move {
        sleep_until(at).await;
        let listed = platform.reconnects().call(
            async || platform.list_versions(resource, &selector).await,
            async |_outage| {},
        );
        match listed.await {
            Ok(listed) => CheckProgress::Listed(listed),
            Err(err) => CheckProgress::Failed(err),
        }
    })
}

/// Waits for events that were in transit when the list was made.
pub(super) fn settle(listed: VersionList, settle: Duration) -> Check {
    Box::pin(async move {
        sleep(settle).await;
        CheckProgress::Settled(listed)
    })
}

//! The look for events that a watch never told.

use std::pin::Pin;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use crate::{Platform, PlatformError, Resource, Selector, VersionList};

/// The look for events that a watch never told, as far as it has come.
///
/// It lives beside the watch: begun anew with each line, it would never end on a busy one.
pub(super) type Check = Pin<Box<dyn Future<Output = Checked> + Send>>;

/// How far a check has come.
pub(super) enum Checked {
    /// The list was made; events that were on their way may still arrive.
    Listed(VersionList),
    Failed(PlatformError),
    Settled(VersionList),
}

/// Lists names and versions at a time.
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
            Ok(listed) => Checked::Listed(listed),
            Err(err) => Checked::Failed(err),
        }
    })
}

/// Waits for events that were on their way when the list was made.
pub(super) fn settle(listed: VersionList, settle: Duration) -> Check {
    Box::pin(async move {
        sleep(settle).await;
        Checked::Settled(listed)
    })
}

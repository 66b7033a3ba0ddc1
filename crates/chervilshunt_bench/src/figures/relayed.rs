//! SSE event throughput of one instance.

use std::time::Duration;

use chervilshunt_standin::fleet::FleetOptions;
use snafu::ResultExt as _;

use super::deployment::{models, only_instance, start};
use super::error::{FiguresError, LoadSnafu};
use super::figure::{Bound, Figure};
use crate::load::{RelayPlan, relay};

const ENGINES: usize = 4;
const STREAMS: usize = 64;

/// Tokens per stream; long enough that the time to open the streams is negligible.
const TOKENS: u32 = 30_000;

/// Measures with engines that emit tokens as fast as they can.
///
/// # Errors
/// Returns an error if the deployment can't be started or a stream fails.
pub(crate) async fn measure() -> Result<Vec<Figure>, FiguresError> {
    let fleet = start(FleetOptions {
        instances: 1,
        engines: ENGINES,
        plains: 0,
        adapters: ENGINES,
        max_batch: 64,
        step: Duration::ZERO,
        ..FleetOptions::default()
    })
    .await?;
    let (instance, pid) = only_instance(&fleet)?;
    let plan = RelayPlan {
        entry: instance.callers(),
        models: models(&fleet),
        streams: STREAMS,
        tokens: TOKENS,
        pid: Some(pid),
        timeout: Duration::from_secs(120),
    };
    // The first streams load the adapters.
    let short = RelayPlan {
        tokens: 10,
        ..plan.clone()
    };
    relay(short).await.context(LoadSnafu)?;
    let report = relay(plan).await.context(LoadSnafu)?;
    let cpu = report.instance_cpu_us_per_event.unwrap_or_default();
    Ok(vec![
        Figure::new(
            "events relayed by one instance",
            report.events_per_second,
            "events/s",
            Some(Bound::AtLeast(100_000.0)),
        ),
        Figure::new(
            "processor time of the instance for an event",
            cpu,
            "µs",
            None,
        ),
    ])
}

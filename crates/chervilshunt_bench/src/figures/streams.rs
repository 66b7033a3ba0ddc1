//! Memory of an instance with 1,000 open streams.

use std::time::Duration;

use chervilshunt_standin::fleet::FleetOptions;
use snafu::ResultExt as _;

use super::deployment::{models, only_instance, start};
use super::error::{FiguresError, LoadSnafu};
use super::figure::{Bound, Figure};
use crate::load::{OpenStreamsPlan, OpenStreamsReport, open_streams};

const ENGINES: usize = 4;
const STREAMS: usize = 1_000;
const MAX_MIB: f64 = 64.0;

/// Measures with callers that read their streams, and with callers that have stopped reading.
///
/// # Errors
/// Returns an error if the deployment can't be started or a stream fails.
pub(crate) async fn measure() -> Result<Vec<Figure>, FiguresError> {
    let mut figures = Vec::new();
    for (stalled, what, step) in [
        (false, "read", Duration::from_millis(50)),
        (true, "stalled", Duration::from_millis(1)),
    ] {
        let report = hold(stalled, step).await?;
        let name = format!("resident memory with {STREAMS} open streams, {what}");
        let bound = Some(Bound::AtMost(MAX_MIB));
        figures.push(Figure::new(name, mib(report.peak_kib), "MiB", bound));
        let name = format!("resident memory before, {what}");
        figures.push(Figure::new(name, mib(report.before_kib), "MiB", None));
        let name = format!("added by a stream, {what}");
        figures.push(Figure::new(name, report.kib_per_stream, "KiB", None));
    }
    Ok(figures)
}

async fn hold(stalled: bool, step: Duration) -> Result<OpenStreamsReport, FiguresError> {
    let fleet = start(FleetOptions {
        instances: 1,
        engines: ENGINES,
        plains: 0,
        adapters: ENGINES,
        max_batch: 512,
        step,
        ..FleetOptions::default()
    })
    .await?;
    let (instance, pid) = only_instance(&fleet)?;
    open_streams(OpenStreamsPlan {
        entry: instance.callers(),
        pid,
        models: models(&fleet),
        streams: STREAMS,
        tokens: 1_000_000,
        hold: Duration::from_secs(10),
        stalled,
        timeout: Duration::from_secs(60),
    })
    .await
    .context(LoadSnafu)
}

#[expect(clippy::cast_precision_loss, reason = "memory is far below 2^53 KiB")]
const fn mib(kib: u64) -> f64 {
    kib as f64 / 1_024.0
}

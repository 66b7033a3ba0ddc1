//! Installing the recorder of metrics.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::error::{MetricsSnafu, StartError};

/// Installs the recorder; `buckets` are the upper bounds of latency histograms, in seconds.
///
/// # Errors
/// Fails if there is a recorder already, or no buckets are given.
pub fn install_metrics(buckets: &[f64]) -> Result<PrometheusHandle, StartError> {
    let builder = PrometheusBuilder::new().set_buckets(buckets);
    let installed = builder.and_then(PrometheusBuilder::install_recorder);
    installed.map_err(|error| {
        MetricsSnafu {
            reason: error.to_string(),
        }
        .build()
    })
}

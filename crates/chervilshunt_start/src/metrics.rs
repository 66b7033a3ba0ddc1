//! Installs the metrics recorder.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::error::{MetricsSnafu, StartError};

/// Installs the global metrics recorder; `buckets` are the upper bounds of latency histograms, in
/// seconds.
///
/// # Errors
/// Returns an error if a recorder is installed already, or if no buckets are given.
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

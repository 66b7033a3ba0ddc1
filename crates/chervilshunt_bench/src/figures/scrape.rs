//! Reads counters from the operators' ports of instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chervilshunt_standin::fleet::HttpClient;
use http::Method;
use snafu::ResultExt as _;

use super::error::{DeploymentSnafu, FiguresError};

/// Prometheus counters by name including labels, summed over instances.
pub(crate) type Counters = BTreeMap<String, f64>;

/// Reads the counters whose name begins with `prefix` and sums them over the instances.
///
/// # Errors
/// Returns an error if an instance does not answer the request for its metrics.
pub(crate) async fn scrape(
    instances: &[SocketAddr],
    prefix: &str,
) -> Result<Counters, FiguresError> {
    let client = HttpClient::default();
    let mut counters = Counters::new();
    for instance in instances {
        let reply = client.call(Method::GET, *instance, "/metrics", None).await;
        let reply = reply.context(DeploymentSnafu)?;
        for line in reply.text.lines().filter(|line| line.starts_with(prefix)) {
            let Some((name, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let value: f64 = value.parse().unwrap_or_default();
            *counters.entry(name.to_owned()).or_default() += value;
        }
    }
    Ok(counters)
}

/// Returns the increase of each counter; one that is missing in `before` counts from 0.
pub(crate) fn increase(before: &Counters, after: &Counters) -> Counters {
    let rise = |name: &String, value: f64| value - before.get(name).copied().unwrap_or_default();
    after
        .iter()
        .map(|(name, value)| (name.clone(), rise(name, *value)))
        .collect()
}

/// Returns the value of a label in a counter's name.
pub(crate) fn label<'a>(name: &'a str, label: &str) -> Option<&'a str> {
    let (_, labels) = name.split_once('{')?;
    let rest = labels
        .split(',')
        .find_map(|pair| pair.strip_prefix(label))?;
    rest.strip_prefix("=\"")?.split('"').next()
}

#[cfg(test)]
mod tests;

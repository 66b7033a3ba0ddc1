//! Runs a fleet of one size and measures its instances' traffic and platform API calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_standin::fleet::{Fleet, FleetOptions};
use snafu::{OptionExt as _, ResultExt as _};
use tokio::time::{Instant, sleep};

use crate::figures::FiguresError;
use crate::figures::error::{AnswersSnafu, DeploymentSnafu};
use crate::figures::scrape::{Counters, increase, label, scrape};

/// Time for a freshly started fleet to become idle: every lease is observed twice.
const SETTLE: Duration = Duration::from_secs(12);
/// Time limit for an instance to terminate.
const ENDING: Duration = Duration::from_secs(30);

/// Engines per instance: the ratio at the largest fleet size of the design, rounded down to keep
/// the number of stand-ins on the machine small.
const ENGINES_PER_INSTANCE: usize = 1;
const ADAPTERS: usize = 50;

/// Measured values by name, each a mean over instances.
pub(crate) type Values = BTreeMap<String, f64>;

/// Traffic and platform API calls measured at one fleet size.
#[derive(Debug)]
pub(crate) struct Sample {
    /// Number of instances in the fleet.
    pub(crate) instances: usize,
    /// Bytes and calls per second of an idle instance.
    pub(crate) idle: Values,
    /// Bytes and calls of each other instance during one restart, less those of an idle instance
    /// over the same time.
    pub(crate) restart: Values,
    /// Bytes and calls of the new instance until it was ready.
    pub(crate) new_instance: Values,
}

/// Measures one fleet size: idle for `window`, then through one graceful restart.
///
/// # Errors
/// Returns an error if the fleet can't be started or an instance's metrics can't be read.
pub(crate) async fn measure(instances: usize, window: Duration) -> Result<Sample, FiguresError> {
    let options = FleetOptions {
        instances,
        engines: instances * ENGINES_PER_INSTANCE,
        adapters: ADAPTERS,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(options).await.context(DeploymentSnafu)?;
    sleep(SETTLE).await;

    let all: Vec<SocketAddr> = ports(&fleet, "");
    let (began, before) = (Instant::now(), counters(&all).await?);
    sleep(window).await;
    let idle = increase(&before, &counters(&all).await?);
    let idle = values(&idle, began.elapsed().as_secs_f64() * instances as f64);

    let leaving = fleet.instances().keys().next_back().cloned();
    let leaving = leaving.context(AnswersSnafu {
        problem: "the fleet has no instance",
    })?;
    let others = ports(&fleet, &leaving);
    let (began, before) = (Instant::now(), counters(&others).await?);
    fleet.terminate(&leaving).context(DeploymentSnafu)?;
    let ended = fleet.wait_terminated(&leaving, ENDING).await;
    ended.context(DeploymentSnafu)?;
    let new_instance = fleet.add_instance().await.context(DeploymentSnafu)?;
    let ready = fleet.wait_instance_ready(&new_instance).await;
    ready.context(DeploymentSnafu)?;
    let new_instance = fleet.instance(&new_instance).context(DeploymentSnafu)?;
    let new_instance = values(&counters(&[new_instance.operators()]).await?, 1.0);
    sleep(window).await;
    let traffic = increase(&before, &counters(&others).await?);
    let traffic = values(&traffic, others.len() as f64);
    let restart = above_idle(&traffic, &idle, began.elapsed().as_secs_f64());
    Ok(Sample {
        instances,
        idle,
        restart,
        new_instance,
    })
}

/// Returns the addresses of the operators' ports of all instances except `without`.
fn ports(fleet: &Fleet, without: &str) -> Vec<SocketAddr> {
    let instances = fleet.instances().iter();
    let others = instances.filter(|(id, _)| *id != without);
    others.map(|(_, instance)| instance.operators()).collect()
}

async fn counters(instances: &[SocketAddr]) -> Result<Counters, FiguresError> {
    let mut counters = scrape(instances, "mesh_").await?;
    counters.extend(scrape(instances, "chervilshunt_platform_").await?);
    Ok(counters)
}

/// Sums counters by the value they belong to and divides by `divisor`.
///
/// Mesh traffic is counted at the sender only; platform traffic at the instance, in both
/// directions.
fn values(counters: &Counters, divisor: f64) -> Values {
    let mut values = Values::new();
    for (name, value) in counters {
        let Some(what) = value_name(name) else {
            continue;
        };
        *values.entry(what).or_default() += value / divisor;
    }
    values
}

/// Returns the name of the value that a counter contributes to, if any.
fn value_name(name: &str) -> Option<String> {
    let base = name.split('{').next().unwrap_or(name);
    let of = |key: &str| label(name, key).unwrap_or_default();
    match base {
        "mesh_message_bytes_total" if of("direction") == "out" => {
            Some(format!("bytes, mesh {}", of("purpose")))
        }
        "mesh_socket_bytes_total" if of("direction") == "out" => {
            Some("bytes, mesh in all".to_owned())
        }
        "chervilshunt_platform_bytes_total" => Some("bytes, platform in all".to_owned()),
        "chervilshunt_platform_calls_total" => {
            Some(format!("calls, {} {}", of("purpose"), of("verb")))
        }
        _ => None,
    }
}

/// Subtracts the cost of an idle instance over `seconds`.
fn above_idle(traffic: &Values, idle: &Values, seconds: f64) -> Values {
    let while_idle = |what: &String| idle.get(what).copied().unwrap_or_default() * seconds;
    traffic
        .iter()
        .map(|(what, value)| (what.clone(), value - while_idle(what)))
        .collect()
}

#[cfg(test)]
mod tests;

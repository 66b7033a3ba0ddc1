//! Runs one size of a fleet and counts what its instances sent, received and called.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_standin::fleet::{Fleet, FleetOptions};
use snafu::{OptionExt as _, ResultExt as _};
use tokio::time::{Instant, sleep};

use crate::figures::FiguresError;
use crate::figures::error::{AnswersSnafu, DeploymentSnafu};
use crate::figures::scrape::{Counters, label, risen, scrape};

/// The time in which a fleet that has just started comes to rest: leases are seen twice.
const SETTLE: Duration = Duration::from_secs(12);
/// The time that an instance has to end.
const ENDING: Duration = Duration::from_secs(30);

/// Targets of a fleet for each of its instances, as at the size that bounds the design, rounded
/// down so that the machine's stand-ins stay few.
const ENGINES_AN_INSTANCE: usize = 1;
const ADAPTERS: usize = 50;

/// Values by what they are, each a mean over instances.
pub(crate) type Values = BTreeMap<String, f64>;

/// What one size of a fleet cost.
#[derive(Debug)]
pub(crate) struct Sample {
    /// Instances.
    pub(crate) instances: usize,
    /// Bytes and calls a second of an instance at rest.
    pub(crate) rest: Values,
    /// Bytes and calls of each other instance through one restart, beyond those at rest.
    pub(crate) restart: Values,
    /// Bytes and calls of the newcomer until it was ready.
    pub(crate) newcomer: Values,
}

/// Measures one size.
pub(crate) async fn measure(instances: usize, window: Duration) -> Result<Sample, FiguresError> {
    let options = FleetOptions {
        instances,
        engines: instances * ENGINES_AN_INSTANCE,
        adapters: ADAPTERS,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(options).await.context(DeploymentSnafu)?;
    sleep(SETTLE).await;

    let everyone: Vec<SocketAddr> = ports(&fleet, "");
    let (began, before) = (Instant::now(), counters(&everyone).await?);
    sleep(window).await;
    let rest = risen(&before, &counters(&everyone).await?);
    let rest = values(&rest, began.elapsed().as_secs_f64() * instances as f64);

    let leaver = fleet.instances().keys().next_back().cloned();
    let leaver = leaver.context(AnswersSnafu {
        problem: "the fleet has no instance",
    })?;
    let others = ports(&fleet, &leaver);
    let (began, before) = (Instant::now(), counters(&others).await?);
    fleet.terminate(&leaver).context(DeploymentSnafu)?;
    let ended = fleet.wait_terminated(&leaver, ENDING).await;
    ended.context(DeploymentSnafu)?;
    let newcomer = fleet.add_instance().await.context(DeploymentSnafu)?;
    let ready = fleet.wait_instance_ready(&newcomer).await;
    ready.context(DeploymentSnafu)?;
    let newcomer = fleet.instance(&newcomer).context(DeploymentSnafu)?;
    let newcomer = values(&counters(&[newcomer.operators()]).await?, 1.0);
    sleep(window).await;
    let moved = risen(&before, &counters(&others).await?);
    let moved = values(&moved, others.len() as f64);
    let restart = beyond(&moved, &rest, began.elapsed().as_secs_f64());
    Ok(Sample {
        instances,
        rest,
        restart,
        newcomer,
    })
}

/// Returns the operators' ports of all instances but one.
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

/// Sums counters up by what they are, over `divisor`.
///
/// A message between instances is counted at its sender; calls to the platform at the instance,
/// both ways.
fn values(counters: &Counters, divisor: f64) -> Values {
    let mut values = Values::new();
    for (name, value) in counters {
        let Some(what) = meaning(name) else {
            continue;
        };
        *values.entry(what).or_default() += value / divisor;
    }
    values
}

/// Says what a counter adds to, if to anything.
fn meaning(name: &str) -> Option<String> {
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

/// Takes off what the same time at rest costs.
fn beyond(moved: &Values, rest: &Values, seconds: f64) -> Values {
    let of_rest = |what: &String| rest.get(what).copied().unwrap_or_default() * seconds;
    moved
        .iter()
        .map(|(what, value)| (what.clone(), value - of_rest(what)))
        .collect()
}

#[cfg(test)]
mod tests;

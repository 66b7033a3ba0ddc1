//! Probes that determine when a deployment has recovered.

use std::net::SocketAddr;
use std::time::Duration;

use chervilshunt_standin::check::{Api, RequestPlan, Verdict};
use chervilshunt_standin::fleet::{Fleet, Load, completion, entry, model_name};
use futures_util::future::join_all;
use tokio::time::Instant;

/// The time within which a recovered deployment must answer a probe.
const PROMPT_ANSWER_TIME: Duration = Duration::from_secs(3);

/// The timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(40);

/// The pause between two rounds of probes.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Number of models requested in each round, enough to reach every engine's owner.
const MODELS: usize = 4;

/// Number of tokens in the answer to a probe.
const TOKENS: u32 = 3;

/// Sends rounds of probes until every probe of a round is answered promptly.
///
/// Returns the time from `healed` to the start of that round.
///
/// # Errors
///
/// Returns the first failure of the last round if no round succeeded within `bound`.
pub(crate) async fn until_recovered(
    fleet: &Fleet,
    load: &Load,
    episode: usize,
    healed: Instant,
    bound: Duration,
) -> Result<Duration, String> {
    for round in 0_usize.. {
        let began = Instant::now();
        let failures = send_round(fleet, load, &format!("p{episode}-{round}")).await;
        let Some(failure) = failures.into_iter().next() else {
            return Ok(began - healed);
        };
        if healed.elapsed() > bound {
            return Err(failure);
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
    Err(String::new())
}

/// Sends probes to every instance and describes those that were not answered promptly.
async fn send_round(fleet: &Fleet, load: &Load, name: &str) -> Vec<String> {
    let instances = fleet.ready_instances();
    let probes = instances.iter().flat_map(|(id, address)| {
        let models = (0..MODELS).map(move |number| {
            let probe = format!("{name}-{id}-{number}");
            completion(&probe, &model_name(number), TOKENS, Api::Text, true)
        });
        let entry = entry(&format!("{name}-{id}-entry"), true);
        models
            .chain([entry])
            .map(move |req| send_probe(load, id, *address, req))
    });
    join_all(probes).await.into_iter().flatten().collect()
}

async fn send_probe(
    load: &Load,
    id: &str,
    address: SocketAddr,
    req: RequestPlan,
) -> Option<String> {
    let sent = Instant::now();
    let name = std::sync::Arc::clone(&req.request_id);
    let req = RequestPlan {
        to: address,
        timeout: PROBE_TIMEOUT,
        ..req
    };
    let verdict = load.send(id, req).await;
    let took = sent.elapsed();
    match &verdict {
        Verdict::Answered(_) if took <= PROMPT_ANSWER_TIME => None,
        Verdict::Answered(_) => Some(format!("{name}: answered after {took:.1?}")),
        _ => Some(format!(
            "{name}: {}",
            chervilshunt_standin::fleet::describe(&verdict)
        )),
    }
}

//! Latency that the system adds to the first token, and control traffic per request.

use std::time::Duration;

use chervilshunt_standin::fleet::{Fleet, FleetOptions, Instance, TargetKind};
use snafu::ResultExt as _;

use super::deployment::{addresses, models, start};
use super::error::{AnswersSnafu, DeploymentSnafu, FiguresError, LoadSnafu};
use super::figure::{Bound, Figure};
use super::scrape::{Counters, increase, label, scrape};
use crate::load::{LoadPlan, LoadRunReport, run};

const INSTANCES: usize = 7;
const ENGINES: usize = 12;
const RATE: f64 = 300.0;
const STEP: Duration = Duration::from_millis(5);

/// Time at the start, not measured, in which adapters are loaded and connections opened.
const WARMUP: Duration = Duration::from_secs(10);

/// Prefix of the counters of mesh traffic between instances.
const MESH_PREFIX: &str = "mesh_";

/// Measures at 300 requests/s over 7 instances, with live streams only.
///
/// The same completions are also sent directly to an equal number of separate engines, so that the
/// two loads never share a batch.
///
/// # Errors
/// Returns an error if the deployment or the load fails, or an answer is wrong or missing.
pub(crate) async fn measure(measured: Duration) -> Result<Vec<Figure>, FiguresError> {
    let options = FleetOptions {
        instances: INSTANCES,
        engines: ENGINES,
        plains: 0,
        adapters: ENGINES,
        step: STEP,
        ..FleetOptions::default()
    };
    let fleet = start(options.clone()).await?;
    let compared = Fleet::start_standins(options)
        .await
        .context(DeploymentSnafu)?;
    let operators = addresses(&fleet, Instance::operators);
    let before = scrape(&operators, MESH_PREFIX).await?;
    let report = run(plan(&fleet, &compared, measured)?)
        .await
        .context(LoadSnafu)?;
    let mesh = increase(&before, &scrape(&operators, MESH_PREFIX).await?);
    check(&report)?;
    let mut figures = added(&report);
    figures.extend(control(&mesh, &report));
    Ok(figures)
}

fn plan(fleet: &Fleet, compared: &Fleet, measured: Duration) -> Result<LoadPlan, FiguresError> {
    let engines = compared
        .targets()
        .values()
        .filter(|target| target.kind == TargetKind::Engine)
        .map(|target| target.endpoint.ports["http"]);
    Ok(LoadPlan {
        entries: addresses(fleet, Instance::callers),
        direct: engines.collect(),
        standins: fleet.target_controls().context(DeploymentSnafu)?,
        rate: RATE,
        duration: WARMUP + measured,
        warmup: WARMUP,
        models: models(fleet),
        deferrable_share: 0.0,
        keyed_share: 0.0,
        stream_share: 1.0,
        tokens: (4, 16),
        ..LoadPlan::default()
    })
}

/// Returns an error if any answer of the run was wrong or missing.
fn check(report: &LoadRunReport) -> Result<(), FiguresError> {
    let path = &report.system;
    if report.passed && path.answered == path.sent {
        return Ok(());
    }
    let problem = format!(
        "{} of {} answered, {:?}, {:?}",
        path.answered, path.sent, path.refused, report.violations
    );
    AnswersSnafu { problem }.fail()
}

fn added(report: &LoadRunReport) -> Vec<Figure> {
    let Some(added) = &report.added_first_token else {
        return Vec::new();
    };
    let ms = |name, value, bound| Figure::new(name, value, "ms", bound);
    vec![
        ms(
            "added first token, p50",
            added.p50_ms,
            Some(Bound::AtMost(2.0)),
        ),
        ms(
            "added first token, p99",
            added.p99_ms,
            Some(Bound::AtMost(5.0)),
        ),
        ms(
            "first token through the system, p50",
            added.system.p50_ms,
            None,
        ),
        ms(
            "first token through the system, p99",
            added.system.p99_ms,
            None,
        ),
        ms("first token from engines, p50", added.direct.p50_ms, None),
        ms("first token from engines, p99", added.direct.p99_ms, None),
        ms("sent late by the tool, p99", report.send_lag.p99_ms, None),
    ]
}

/// Computes control traffic from the bytes that instances sent to each other.
///
/// Every byte sent by one instance is received by another, so the total of both directions is
/// twice the bytes sent.
fn control(mesh: &Counters, report: &LoadRunReport) -> Vec<Figure> {
    #[expect(
        clippy::cast_precision_loss,
        reason = "there are far fewer than 2^53 requests"
    )]
    let requests = report.system.sent as f64;
    let sent = |name: &&String| label(name, "direction") == Some("out");
    let bytes = |metric: &'static str| {
        mesh.iter()
            .filter(move |(name, _)| name.starts_with(metric))
            .filter(|(name, _)| sent(name))
    };
    let total: f64 = bytes("mesh_socket_bytes_total")
        .map(|(_, bytes)| bytes)
        .sum();
    #[expect(clippy::cast_precision_loss, reason = "there are few instances")]
    let per_instance = 2.0 * total / (INSTANCES as f64 * report.seconds);
    let mut figures = vec![
        Figure::new(
            "control bytes a request",
            total / requests,
            "bytes",
            Some(Bound::AtMost(600.0)),
        ),
        Figure::new(
            "control bytes a second and instance, both directions",
            per_instance,
            "bytes",
            None,
        ),
    ];
    figures.extend(bytes("mesh_message_bytes_total").map(|(name, bytes)| {
        let purpose = label(name, "purpose").unwrap_or("?");
        let name = format!("control bytes a request, {purpose}");
        Figure::new(name, bytes / requests, "bytes", None)
    }));
    figures
}

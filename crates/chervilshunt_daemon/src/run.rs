//! Starts and stops the daemon: ports, threads and actors.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_config::{InstanceSettings, LogLevel, Settings};
use chervilshunt_coord::{Coordinator, CoordinatorConfig, Holder, Incarnation, deployment_model};
use chervilshunt_core::{RetryBudget, RetryBudgetConfig};
use chervilshunt_mesh::{Mesh, MeshConfig};
use chervilshunt_platform::{Platform, PlatformConfig};
use chervilshunt_start::{
    Port, StartError, forward, install_metrics, on_control_thread, open_ports,
};
use metrics_exporter_prometheus::PrometheusHandle;
use slog::Logger;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use xtra::prelude::*;

use crate::control::{Begin, Context, Control, FromPeer};
use crate::keyed::KeyedAttempts;
use crate::lease_timing::LeaseTiming;
use crate::operators::{Health, Operators, Statements, serve_operators};
use crate::routing::SharedRouting;
use crate::shutdown::{Shutdown, ShutdownError, Signals, longest_shutdown};
use crate::traffic::{Claims, HeldPermits, Links, Permits, Traffic, serve_callers};
use crate::wire::PeerMessage;
use chervilshunt_engine::EngineClients;
use chervilshunt_model::Clock;

/// The capacity of the control actor's mailbox; senders wait when it is full.
const CONTROL_MAILBOX: usize = 8_192;
/// The part that each role adds to the interval between full lists of the assignments; 1,630 roles
/// give one list in 38 minutes.
///
/// The list finds events that a watch failed to deliver. The daemon's watches already check for
/// those themselves, by comparing names and versions every 19 s at 370 instances, so the list is
/// only a second safeguard. A list takes 218 KB; at the interval that embedders of the coordinator
/// without such watches use, it would take an eighth of an instance's byte budget. See
/// `docs/CAPACITY.md`.
const ASSIGNMENT_LIST_LATER_BY_ROLE: Duration = Duration::from_millis(1_400);
/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// The reason why the daemon could not start, or did not shut down gracefully.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum RunError {
    /// The daemon could not start.
    #[snafu(display("{source}"), context(false))]
    Start {
        /// The underlying error.
        source: StartError,
    },
    /// The shutdown was not graceful.
    #[snafu(display("{source}"))]
    Stopped {
        /// The underlying error.
        source: ShutdownError,
    },
}

/// Runs an instance until it has received a shutdown signal and has shut down.
///
/// # Errors
/// Returns an error if a port can't be bound or a thread can't be started, or if open requests had
/// to be aborted during the shutdown.
pub fn run(settings: Settings) -> Result<(), RunError> {
    let (log, _flushed_on_drop) = start_log(&settings);
    let result = run_with_log(settings, &log);
    match &result {
        Ok(()) => {}
        Err(RunError::Start { source }) => {
            slog::error!(log, "start failed"; "reason" => source.to_string());
        }
        Err(RunError::Stopped { source }) => {
            slog::error!(log, "shutdown failed"; "reason" => source.to_string());
        }
    }
    result
}

fn run_with_log(settings: Settings, log: &Logger) -> Result<(), RunError> {
    let metrics = install_metrics(&LATENCY_BUCKETS)?;
    let traffic = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.runtime.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(StartError::from)?;
    let result = traffic.block_on(serve(Arc::new(settings), log.clone(), metrics));
    traffic.shutdown_background();
    result
}

fn start_log(settings: &Settings) -> (Logger, impl Sized + use<>) {
    let level = match settings.log.level {
        LogLevel::Error => slog::Level::Error,
        LogLevel::Warning => slog::Level::Warning,
        LogLevel::Info => slog::Level::Info,
        LogLevel::Debug => slog::Level::Debug,
        LogLevel::Trace => slog::Level::Trace,
    };
    let InstanceSettings { id, zone, .. } = &settings.instance;
    chervilshunt_log::start(id.as_str(), zone.as_str(), level)
}

async fn serve(
    settings: Arc<Settings>,
    log: Logger,
    metrics: PrometheusHandle,
) -> Result<(), RunError> {
    let mut signals = Signals::listen().context(StoppedSnafu)?;
    let clock = Clock::boot();
    // Without a bound on the send buffer, the kernel would hold megabytes for a caller that does
    // not read, and the engine would generate that much ahead of it.
    let send_buffer = settings.limits.stream_buffer_bytes;
    let ports = [
        Port::new("callers", settings.addresses.callers).with_send_buffer(send_buffer),
        Port::new("operators", settings.addresses.operators),
        Port::new("peers", settings.addresses.peers),
    ];
    let opened = tokio::select! {
        opened = open_ports(ports, longest_shutdown(settings.limits.shutdown), &log) => opened?,
        () = signals.next() => {
            slog::info!(log, "shutdown"; "step" => "signal before all ports were open");
            return Ok(());
        }
    };
    let [callers, operators, peers] = opened;
    let mesh_cfg = MeshConfig::new(settings.instance.id.clone());
    let (mesh, inbound) =
        Mesh::<PeerMessage>::start(mesh_cfg, peers, log.clone()).map_err(StartError::from)?;
    let callers_address = address_of(&callers, settings.addresses.callers);
    let operators_address = address_of(&operators, settings.addresses.operators);

    let routing = SharedRouting::default();
    let held = HeldPermits::default();
    let tries = KeyedAttempts::default();
    let cx = Context {
        settings: Arc::clone(&settings),
        log: log.clone(),
        clock,
        mesh: mesh.clone(),
        engines: EngineClients::default(),
        platform: Platform::new(platform_config(&settings), log.clone()),
        routing: routing.clone(),
        held: held.clone(),
        tries: tries.clone(),
    };
    let advertised = settings
        .advertise
        .peers
        .unwrap_or_else(|| mesh.local_addr());
    let coordinator = coordinator(&cx, advertised, operators_address);
    let control = start_control(Control::new(cx, coordinator))?;
    forward(inbound, control.clone(), FromPeer);

    let health = Health::new(routing.clone(), clock);
    let links = Links {
        me: settings.instance.id.clone(),
        control: control.clone(),
        mesh: mesh.clone(),
        routing: routing.clone(),
        runtime: tokio::runtime::Handle::current(),
    };
    let permits = Permits::new(links.clone(), held);
    let claims = Claims::new(links, tries, settings.outage.keyed_requests);
    let retries = RetryBudgetConfig {
        ratio: settings.limits.retry_budget_ratio,
        ..RetryBudgetConfig::default()
    };
    let traffic = Traffic::new(
        Arc::clone(&settings),
        log.clone(),
        clock,
        routing.clone(),
        permits,
        claims,
        RetryBudget::new(retries, clock.now()),
    );
    let stop_callers = CancellationToken::new();
    let stop_operators = CancellationToken::new();
    let open_requests = tokio::spawn(serve_callers(callers, traffic, stop_callers.clone()));
    let statements = Statements {
        me: settings.instance.id.clone(),
        control: control.clone(),
        mesh: mesh.clone(),
        routing,
    };
    let answering = Operators {
        health: health.clone(),
        statements,
        metrics,
        log: log.clone(),
    };
    tokio::spawn(serve_operators(
        operators,
        answering,
        stop_operators.clone(),
    ));
    slog::info!(log, "listening";
        "callers" => callers_address.to_string(),
        "peers" => mesh.local_addr().to_string(),
        "operators" => operators_address.to_string(),
    );

    signals.next().await;
    let shutdown = Shutdown {
        log,
        health,
        control,
        stop_callers,
        callers: open_requests,
        bound: settings.limits.shutdown,
    };
    let result = shutdown.run(&mut signals).await.context(StoppedSnafu);
    stop_operators.cancel();
    mesh.shutdown().await;
    result
}

fn address_of(listener: &TcpListener, configured: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(configured)
}

fn platform_config(settings: &Settings) -> PlatformConfig {
    let platform = &settings.platform;
    let mut cfg = PlatformConfig::new(
        platform.address,
        Arc::clone(&platform.namespace),
        settings.instance.id.clone(),
    );
    cfg.timeouts.attempt = platform.timeout;
    cfg.rate.per_second = platform.calls_per_second;
    cfg
}

fn coordinator(
    cx: &Context,
    peers: SocketAddr,
    operators: SocketAddr,
) -> Coordinator<chervilshunt_model::Deployment, chervilshunt_model::ChangeSet> {
    let settings = &cx.settings;
    let incarnation = Incarnation::new(rand::random());
    let me = Holder::new(settings.instance.id.clone(), incarnation);
    let mut cfg = CoordinatorConfig::new(
        me,
        settings.instance.zone.clone(),
        settings.instance.region.clone(),
        peers,
        operators,
        deployment_model(),
    );
    let timing = LeaseTiming::new(&settings.lease);
    cfg.lease = timing.lease;
    cfg.observer = timing.observer;
    cfg.elector = timing.elector;
    cfg.lease_extension = timing.hold;
    cfg.roles.list_interval_per_role = ASSIGNMENT_LIST_LATER_BY_ROLE;
    Coordinator::new(cfg, cx.now())
}

/// Starts the control thread and its actor.
fn start_control(control: Control) -> Result<Address<Control>, StartError> {
    let (address, mailbox) = Mailbox::bounded(CONTROL_MAILBOX);
    let begin = address.clone();
    on_control_thread(move || async move {
        let own = begin.clone();
        tokio::spawn(async move { drop(begin.send(Begin(own)).await) });
        xtra::run(mailbox, control).await;
    })?;
    Ok(address)
}

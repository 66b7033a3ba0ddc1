//! Startup and shutdown of an instance: ports, threads and the control actor.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chervilshunt_mesh::{Mesh, MeshConfig};
use chervilshunt_platform::{Exchange, PlatformConfig, RateLimit};
use chervilshunt_start::{
    Port, StartError, forward, install_metrics, on_control_thread, open_ports,
};
use metrics_exporter_prometheus::PrometheusHandle;
use slog::Logger;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use xtra::prelude::*;

use crate::control::{
    Begin, Control, FollowModes, PeerEvent, Reader, Reload, Stop, start_followers,
};
use crate::crashes::{CrashObservation, CrashObservationSender, record_crashes};
use crate::dialect::Dialect;
use crate::front::serve_callers;
use crate::grants::report_progress;
use crate::peers::PeerMessage;
use crate::ports::{serve_metrics, serve_readiness};
use crate::settings::{LogLevel, Settings};
use crate::shared::Shared;
use crate::stalls::watch_for_stalls;
use crate::streams::{
    ReadRequests, RecordReader, forward_streams, read_records, sweep_records, write_records,
};
use crate::transit::{probe_lost_links, serve_transit};

/// Capacity of the control actor's mailbox; senders wait while it is full.
const CONTROL_MAILBOX: usize = 4_096;
/// Time for which an instance that shuts down still accepts requests. The platform probes readiness
/// every second and takes an instance out of rotation after two negative answers. A request that is
/// accepted later may not end before the process does.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_700);
/// Part of the shutdown time that is reserved for the process to exit by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Share of the shutdown time after which no request is sent to a target any more.
const SENDING_SHARE: f64 = 5.0 / 6.0;
/// Interval at which the shutdown checks for open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Limit on one instance's calls per second to the platform's object service, and on bursts. It is
/// far above what following needs, and low enough that a fault in this program can't exhaust the
/// service's rate limit for everyone.
const PLATFORM_RATE_LIMIT: RateLimit = RateLimit {
    per_second: 20.0,
    burst: 40.0,
    urgent_reserve: 5.0,
};
/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, 15.0,
];

/// Runs an instance until a signal stops it and the shutdown is complete.
///
/// # Errors Fails if a port can't be bound or a thread can't be started.
pub fn run(settings: Settings, settings_file: PathBuf, dialect: Dialect) -> Result<(), StartError> {
    let instance = &settings.instance;
    let level = slog_level(settings.log_level);
    let (log, _flushed_on_drop) =
        chervilshunt_log::start(instance.id.as_str(), instance.zone.as_str(), level);
    let result = run_with_log(settings, settings_file, dialect, &log);
    if let Err(error) = &result {
        slog::error!(log, "start failed"; "reason" => error.to_string());
    }
    slog::info!(log, "stopped"; "orderly" => result.is_ok());
    result
}

fn run_with_log(
    settings: Settings,
    settings_file: PathBuf,
    dialect: Dialect,
    log: &Logger,
) -> Result<(), StartError> {
    let metrics = install_metrics(&LATENCY_BUCKETS)?;
    let traffic = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let served = serve(settings, settings_file, dialect, log.clone(), metrics);
    let result = traffic.block_on(served);
    traffic.shutdown_background();
    result
}

async fn serve(
    settings: Settings,
    settings_file: PathBuf,
    dialect: Dialect,
    log: Logger,
    metrics: PrometheusHandle,
) -> Result<(), StartError> {
    let mut signals = Signals::listen()?;
    let addresses = settings.addresses;
    let ports = [
        Port::new("callers", addresses.callers),
        Port::new("readiness", addresses.readiness),
        Port::new("transit", addresses.transit),
        Port::new("metrics", addresses.metrics),
        Port::new("peers", addresses.peers),
    ];
    let opened = tokio::select! {
        opened = open_ports(ports, settings.bounds.shutdown, &log) => opened?,
        () = signals.stop() => {
            slog::info!(log, "stopping"; "reason" => "signal before all ports were open");
            return Ok(());
        }
    };
    let [callers, readiness, transit, for_metrics, peers] = opened;
    let mesh_cfg = MeshConfig::new(settings.instance.id.clone());
    let (mesh, inbound) = Mesh::<PeerMessage>::start(mesh_cfg, peers, log.clone())?;
    slog::info!(log, "started";
        "version" => env!("CARGO_PKG_VERSION"), "callers" => addresses.callers.to_string(),
        "peers" => addresses.peers.to_string(),
        "transit" => addresses.transit.to_string(), "platform" => settings.platform.address.to_string());

    let exchange = Arc::new(Exchange::new(platform_config(&settings)));
    let bound = settings.bounds.shutdown;
    let (crash_observations, observations) = CrashObservationSender::new();
    let (record_reader, read_requests) = RecordReader::new();
    let shared = Shared::new(
        settings,
        settings_file,
        dialect,
        log.clone(),
        mesh,
        crash_observations,
        record_reader,
    );
    let control = start_control(&shared, exchange, observations, read_requests)?;
    forward(inbound, control.clone(), PeerEvent);
    tokio::spawn(report_progress(Arc::clone(&shared)));
    tokio::spawn(watch_for_stalls(Arc::clone(&shared)));
    tokio::spawn(forward_streams(Arc::clone(&shared)));
    tokio::spawn(serve_callers(callers, Arc::clone(&shared)));
    tokio::spawn(serve_transit(transit, Arc::clone(&shared)));
    tokio::spawn(probe_lost_links(Arc::clone(&shared)));
    tokio::spawn(serve_readiness(readiness, Arc::clone(&shared)));
    tokio::spawn(serve_metrics(for_metrics, metrics));

    signals.until_stop(&control).await;
    stop(&shared, &control, bound).await;
    Ok(())
}

/// Shuts down: the platform sends callers elsewhere, and open requests are served to their end.
async fn stop(shared: &Arc<Shared>, control: &Address<Control>, bound: Duration) {
    let began = tokio::time::Instant::now();
    slog::info!(shared.log, "stopping"; "bound_s" => bound.as_secs_f64());
    shared.set_stopping();
    if control.send(Stop).await.is_err() {
        slog::warn!(shared.log, "control actor has stopped");
    }
    loop {
        let passed = began.elapsed();
        let under_way = shared.open_requests() + shared.unwritten_answers.load(Ordering::Relaxed);
        if passed >= ACCEPT_AFTER_STOP {
            shared.close_connections.cancel();
        }
        if passed >= bound.mul_f64(SENDING_SHARE) {
            shared.stop_sending.cancel();
        }
        if passed + EXIT_MARGIN >= bound || (under_way == 0 && passed >= ACCEPT_AFTER_STOP) {
            slog::info!(shared.log, "ending"; "open_requests" => under_way);
            return;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// The signals that an instance handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    fn listen() -> Result<Self, StartError> {
        let on = |kind| signal(kind).map_err(StartError::from);
        Ok(Self {
            terminate: on(SignalKind::terminate())?,
            interrupt: on(SignalKind::interrupt())?,
            hang_up: on(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal to stop.
    async fn stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Waits for a signal to stop, and handles other signals in the meantime.
    async fn until_stop(&mut self, control: &Address<Control>) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hang_up.recv() => drop(control.send(Reload).await),
            }
        }
    }
}

fn platform_config(settings: &Settings) -> PlatformConfig {
    let instance = settings.instance.id.clone();
    let mut cfg = PlatformConfig::new(settings.platform.address, "", instance);
    cfg.timeouts.connect = Duration::from_millis(500);
    cfg.rate = PLATFORM_RATE_LIMIT;
    cfg
}

fn slog_level(level: LogLevel) -> slog::Level {
    match level {
        LogLevel::Error => slog::Level::Error,
        LogLevel::Warning => slog::Level::Warning,
        LogLevel::Info => slog::Level::Info,
        LogLevel::Debug => slog::Level::Debug,
    }
}

/// Starts the control thread with its actor and the followers of the platform.
fn start_control(
    shared: &Arc<Shared>,
    exchange: Arc<Exchange>,
    observations: mpsc::Receiver<CrashObservation>,
    read_requests: ReadRequests,
) -> Result<Address<Control>, StartError> {
    let (address, mailbox) = Mailbox::bounded(CONTROL_MAILBOX);
    let own = address.clone();
    let shared = Arc::clone(shared);
    on_control_thread(move || async move {
        let (follow_modes, receivers) = FollowModes::new();
        let control = Control::new(Arc::clone(&shared), Arc::clone(&exchange), follow_modes);
        let begin = own.clone();
        tokio::spawn(async move { drop(begin.send(Begin(begin.clone())).await) });
        tokio::spawn(record_crashes(
            Arc::clone(&shared),
            Arc::clone(&exchange),
            observations,
        ));
        tokio::spawn(write_records(Arc::clone(&shared), Arc::clone(&exchange)));
        tokio::spawn(sweep_records(Arc::clone(&shared), Arc::clone(&exchange)));
        tokio::spawn(read_records(
            Arc::clone(&shared),
            Arc::clone(&exchange),
            read_requests,
        ));
        let reader = Reader::new(&shared, exchange, control.relays());
        start_followers(&shared, reader, &own, receivers, &control.era());
        drop(own);
        xtra::run(mailbox, control).await;
    })?;
    Ok(address)
}

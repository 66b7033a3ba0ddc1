//! Graceful shutdown: become unready, hand over roles, drain open requests, give up the lease.

use std::time::Duration;

use slog::Logger;
use snafu::{ResultExt, Snafu};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use xtra::prelude::*;

use crate::control::{Control, EndLease, HandOverRoles};
use crate::operators::Health;

/// How long new connections are still accepted after the instance has become unready, so that a
/// load balancer that has not noticed yet sees no refused connections.
const UNREADY_GRACE: Duration = Duration::from_secs(3);
/// The maximum wait for other instances to take over this instance's roles.
const HANDOVER_BOUND: Duration = Duration::from_secs(10);
/// The maximum wait for the lease to be given up.
const LEAVE_BOUND: Duration = Duration::from_secs(5);

/// Returns the longest time that a graceful shutdown takes; `bound` is the maximum wait for open
/// requests.
pub(crate) fn longest_shutdown(bound: Duration) -> Duration {
    UNREADY_GRACE + HANDOVER_BOUND + bound + LEAVE_BOUND
}

/// The reason why a shutdown was not graceful.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ShutdownError {
    /// The handlers for shutdown signals could not be installed.
    #[snafu(display("can't listen for signals: {source}"))]
    Signals {
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A second signal arrived during the shutdown.
    #[snafu(display("a second signal ended the shutdown; open requests were aborted"))]
    Forced,
    /// Requests were still open when the time limit expired.
    #[snafu(display("requests were still open after limits.shutdown_ms; they were aborted"))]
    OutOfTime,
}

/// The signals that start a shutdown.
#[derive(Debug)]
pub(crate) struct Signals {
    term: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    pub(crate) fn listen() -> Result<Self, ShutdownError> {
        let term = signal(SignalKind::terminate()).context(SignalsSnafu)?;
        let interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
        Ok(Self { term, interrupt })
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The components that a shutdown stops.
#[derive(Debug)]
pub(crate) struct Shutdown {
    /// The logger.
    pub(crate) log: Logger,
    /// The readiness state behind `/readyz`.
    pub(crate) health: Health,
    /// The control actor.
    pub(crate) control: Address<Control>,
    /// Stops accepting callers' connections.
    pub(crate) stop_callers: CancellationToken,
    /// Completes when all callers' connections have ended.
    pub(crate) callers: JoinHandle<()>,
    /// The maximum wait for open requests.
    pub(crate) bound: Duration,
}

impl Shutdown {
    /// Shuts down gracefully; another signal aborts the wait.
    pub(crate) async fn run(self, signals: &mut Signals) -> Result<(), ShutdownError> {
        tokio::select! {
            result = self.gracefully() => result,
            () = signals.next() => ForcedSnafu.fail(),
        }
    }

    async fn gracefully(self) -> Result<(), ShutdownError> {
        slog::info!(self.log, "shutdown"; "step" => "unready");
        self.health.stop();
        tokio::time::sleep(UNREADY_GRACE).await;
        slog::info!(self.log, "shutdown"; "step" => "giving roles away");
        let given_away = self.control.send(HandOverRoles).await.ok();
        if !ended_within(HANDOVER_BOUND, given_away).await {
            slog::warn!(self.log, "shutdown"; "step" => "roles were not taken over in time");
        }
        slog::info!(self.log, "shutdown"; "step" => "waiting for open requests");
        self.stop_callers.cancel();
        let drained = tokio::time::timeout(self.bound, self.callers).await;
        let left = self.control.send(EndLease).await.ok();
        if !ended_within(LEAVE_BOUND, left).await {
            slog::warn!(self.log, "shutdown"; "step" => "the lease could not be given up");
        }
        slog::info!(self.log, "shutdown"; "step" => "done");
        drained
            .map(drop)
            .map_err(|_elapsed| ShutdownError::OutOfTime)
    }
}

async fn ended_within(bound: Duration, rx: Option<oneshot::Receiver<()>>) -> bool {
    let Some(rx) = rx else {
        return false;
    };
    matches!(tokio::time::timeout(bound, rx).await, Ok(Ok(())))
}

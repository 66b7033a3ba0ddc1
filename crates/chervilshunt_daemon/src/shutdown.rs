//! The graceful shutdown: unready, without roles, without open requests, gone.

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

/// How long callers are still taken in after the instance has turned unready, so that a balancer
/// that has not noticed yet gets no refusal.
const UNREADY_GRACE: Duration = Duration::from_secs(3);
/// How long the instance waits for others to take its roles over.
const HANDOVER_BOUND: Duration = Duration::from_secs(10);
/// How long the instance waits to give up its lease.
const LEAVE_BOUND: Duration = Duration::from_secs(5);

/// Why a shutdown was not graceful.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ShutdownError {
    /// The process can't be told to shut down.
    #[snafu(display("can't listen for signals: {source}"))]
    Signals {
        /// What the system said.
        source: std::io::Error,
    },
    /// A second signal came.
    #[snafu(display("a second signal ended the shutdown; open requests were cut off"))]
    Forced,
    /// Requests were open when the bound had passed.
    #[snafu(display("requests were still open after limits.shutdown_ms; they were cut off"))]
    OutOfTime,
}

/// The signals that ask for a shutdown.
#[derive(Debug)]
pub(crate) struct Signals {
    term: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Begins to listen.
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

/// The parts that a shutdown has to end.
#[derive(Debug)]
pub(crate) struct Shutdown {
    /// The log.
    pub(crate) log: Logger,
    /// What `/readyz` answers from.
    pub(crate) health: Health,
    /// The control state.
    pub(crate) control: Address<Control>,
    /// Stops taking in callers.
    pub(crate) stop_callers: CancellationToken,
    /// Ends when every open request has ended.
    pub(crate) callers: JoinHandle<()>,
    /// How long open requests are waited for.
    pub(crate) bound: Duration,
}

impl Shutdown {
    /// Shuts down, unless another signal comes first.
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

//! The pool of idle connections to one target.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::time::Instant;

use crate::connection::{IDLE_LIMIT, TargetConnection};

/// The interval at which connections that have been idle for too long are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(4);
/// The maximum number of idle connections to one target.
const MAX_IDLE: usize = 64;
/// The number of idle connections to one target that are kept for as long as the target announces.
/// An instance sends a target a few requests in ten seconds, one after another. The further
/// connections that a burst leaves behind would count against the target's limit on connections.
const LONG_IDLE: usize = 1;

/// The pool of idle connections to one target; clones share it.
#[derive(Clone)]
pub(crate) struct Pool {
    pub(crate) address: SocketAddr,
    idle: Arc<Mutex<Idle>>,
}

#[derive(Default)]
struct Idle {
    /// The idle connections. The most recently used one is last and is reused first, so that the
    /// others reach their idle limit.
    connections: Vec<TargetConnection>,
    sweeping: bool,
}

impl Idle {
    /// Closes the connections that have been idle for too long.
    fn close_outdated(&mut self) {
        let mut newer = self.connections.len();
        self.connections.retain(|connection| {
            newer -= 1;
            is_kept(connection.idle_time(), connection.idle_limit, newer)
        });
    }
}

/// Returns whether an idle connection is kept while `newer` idle ones were used after it.
fn is_kept(idle_time: Duration, idle_limit: Duration, newer: usize) -> bool {
    let limit = if newer < LONG_IDLE {
        idle_limit
    } else {
        idle_limit.min(IDLE_LIMIT)
    };
    idle_time < limit
}

impl Pool {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Arc::default(),
        }
    }

    /// Removes and returns a usable idle connection; the target may be closing it.
    ///
    /// Only connections opened on the current runtime are returned. Otherwise another runtime's
    /// thread would deliver a stream's wake-ups, and callers' streams would wait behind the work of
    /// the control thread.
    pub(crate) fn take(&self) -> Option<TargetConnection> {
        let current_runtime = Handle::current().id();
        let mut idle = self.lock();
        idle.close_outdated();
        let connections = &mut idle.connections;
        while let Some(last) = connections
            .iter()
            .rposition(|it| it.runtime == current_runtime)
        {
            let mut connection = connections.remove(last);
            if connection.poll_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection whose answer has been read completely to the pool.
    pub(crate) fn put(&self, mut connection: TargetConnection) {
        // hyper makes a connection ready for the next request only when it is polled once more
        // after the last byte.
        if !connection.poll_usable() || connection.idle_limit.is_zero() {
            return;
        }
        connection.is_reused = true;
        connection.idle_since = Instant::now();
        let mut idle = self.lock();
        if idle.connections.len() >= MAX_IDLE {
            return;
        }
        idle.connections.push(connection);
        let start_sweeping = !std::mem::replace(&mut idle.sweeping, true);
        drop(idle);
        if start_sweeping {
            tokio::spawn(sweep(Arc::downgrade(&self.idle)));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes connections that have been idle for too long, until none is left.
///
/// Without it, an instance that once called many targets would keep a socket to each of them.
async fn sweep(idle: std::sync::Weak<Mutex<Idle>>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let Some(idle) = idle.upgrade() else {
            return;
        };
        let mut idle = idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.close_outdated();
        if idle.connections.is_empty() {
            idle.sweeping = false;
            return;
        }
    }
}

#[cfg(test)]
mod tests;

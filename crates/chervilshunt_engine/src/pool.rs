//! Idle connections to one target, for reuse.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::time::Instant;

use crate::connection::Connection;

/// How often connections that have been idle for too long are closed.
const SWEEP_EVERY: Duration = Duration::from_secs(4);
/// The most idle connections to one target.
const MAX_IDLE: usize = 64;

/// Idle connections to one target.
#[derive(Clone)]
pub(crate) struct Pool {
    pub(crate) address: SocketAddr,
    idle: Arc<Mutex<Idle>>,
}

#[derive(Default)]
struct Idle {
    /// The one used last comes last, so that the others grow old and go.
    connections: Vec<Connection>,
    sweeping: bool,
}

impl Pool {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Arc::default(),
        }
    }

    /// Returns an idle connection on which nothing has come; the target may be closing it.
    ///
    /// It was made on the present runtime: on another one a stream would get its wake-ups from that
    /// one's thread, and those of callers would wait behind the control state's work.
    pub(crate) fn take(&self) -> Option<Connection> {
        let here = Handle::current().id();
        let mut idle = self.lock();
        let connections = &mut idle.connections;
        connections.retain(Connection::is_fresh);
        while let Some(last) = connections.iter().rposition(|it| it.runtime == here) {
            let mut connection = connections.remove(last);
            if connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Puts a connection aside whose answer has been read to its end.
    pub(crate) fn put(&self, mut connection: Connection) {
        // The library frees a connection for the next request only when it is driven once more
        // after the last byte.
        if !connection.is_quiet() {
            return;
        }
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
/// Without it, an instance that once called each of many targets would keep their sockets.
async fn sweep(idle: std::sync::Weak<Mutex<Idle>>) {
    loop {
        tokio::time::sleep(SWEEP_EVERY).await;
        let Some(idle) = idle.upgrade() else {
            return;
        };
        let mut idle = idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.connections.retain(Connection::is_fresh);
        if idle.connections.is_empty() {
            idle.sweeping = false;
            return;
        }
    }
}

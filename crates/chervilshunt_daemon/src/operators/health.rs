//! Whether the process lives and whether it takes new work.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::routing::SharedRouting;
use chervilshunt_model::Clock;

/// What `/healthz` and `/readyz` answer from.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    stopping: Arc<AtomicBool>,
    routing: SharedRouting,
    clock: Clock,
}

impl Health {
    /// Starts out of work: the instance is ready once its routing says so.
    pub(crate) fn new(routing: SharedRouting, clock: Clock) -> Self {
        Self {
            stopping: Arc::default(),
            routing,
            clock,
        }
    }

    /// Turns unready for good.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns whether a shutdown has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Returns whether the balancer should send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routing.takes_work(self.clock.now())
    }
}

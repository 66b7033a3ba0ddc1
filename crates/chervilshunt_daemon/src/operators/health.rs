//! Readiness and shutdown state, for the health endpoints.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::routing::SharedRouting;
use chervilshunt_model::Clock;

/// The state behind `/healthz` and `/readyz`.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    stopping: Arc<AtomicBool>,
    routing: SharedRouting,
    clock: Clock,
}

impl Health {
    /// Creates the state; the instance becomes ready once its routing allows new work.
    pub(crate) fn new(routing: SharedRouting, clock: Clock) -> Self {
        Self {
            stopping: Arc::default(),
            routing,
            clock,
        }
    }

    /// Makes the instance unready for the rest of the process's life.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns whether a shutdown has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Returns whether the load balancer should send callers to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routing.takes_work(self.clock.now())
    }
}

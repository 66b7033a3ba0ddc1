//! The instances that pass on this one's requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilshunt_engine::EngineClient;
use chervilshunt_model::{InstanceId, Moment};

use super::ticket::Ticket;

/// How long a route is used after it was last offered: longer than it takes to replace the placer,
/// which offers them.
const ROUTE_VALIDITY: Duration = Duration::from_secs(10);
/// How long a route that failed is not used.
const FAILED_ROUTE_PAUSE: Duration = Duration::from_secs(1);
/// Time since a route's last answer within which its pooled connections are assumed to work.
const ANSWERED_WINDOW: Duration = Duration::from_millis(250);

/// An instance that passes on requests.
#[derive(Debug)]
pub(crate) struct TransitRoute {
    pub(crate) instance: InstanceId,
    pub(crate) ticket: Ticket,
    pub(crate) client: EngineClient,
    /// Whether the instance is in this one's availability zone.
    is_near: bool,
    state: Mutex<RouteState>,
}

#[derive(Clone, Copy, Debug)]
struct RouteState {
    offered_at: Moment,
    answered_at: Option<Moment>,
    unusable_until: Moment,
}

impl TransitRoute {
    /// Creates a route through the instance that issued the ticket.
    pub(crate) fn new(
        instance: InstanceId,
        client: EngineClient,
        ticket: Ticket,
        is_near: bool,
        now: Moment,
    ) -> Self {
        Self {
            instance,
            ticket,
            client,
            is_near,
            state: Mutex::new(RouteState {
                offered_at: now,
                answered_at: None,
                unusable_until: Moment::ZERO,
            }),
        }
    }

    /// Records an answer of the instance.
    pub(crate) fn record_answer(&self, now: Moment) {
        self.state().answered_at = Some(now);
    }

    /// Records that the instance passes on no requests now.
    pub(crate) fn record_failure(&self, now: Moment) {
        self.state().unusable_until = now + FAILED_ROUTE_PAUSE;
    }

    /// Returns whether a request that may run only once can be sent on a pooled connection.
    pub(crate) fn has_answered_lately(&self, now: Moment) -> bool {
        let answered_at = self.state().answered_at;
        answered_at.is_some_and(|at| now.since(at) < ANSWERED_WINDOW)
    }

    fn is_usable(&self, now: Moment) -> bool {
        let state = *self.state();
        now >= state.unusable_until && now.since(state.offered_at) < ROUTE_VALIDITY
    }

    fn state(&self) -> MutexGuard<'_, RouteState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The instances that pass on this one's requests.
#[derive(Debug, Default)]
pub(crate) struct TransitRoutes(Mutex<Vec<Arc<TransitRoute>>>);

impl TransitRoutes {
    /// Adds a route, in place of an earlier one through the same instance.
    pub(crate) fn add(&self, route: TransitRoute) {
        let mut routes = self.lock();
        routes.retain(|it| it.instance != route.instance);
        routes.push(Arc::new(route));
    }

    /// Records that a route is offered again; returns whether it is known.
    pub(crate) fn renew(&self, instance: &InstanceId, now: Moment) -> bool {
        let routes = self.lock();
        let known = routes.iter().find(|it| it.instance == *instance);
        if let Some(route) = known {
            route.state().offered_at = now;
        }
        known.is_some()
    }

    /// Removes the route through an instance, whose ticket is no longer valid.
    pub(crate) fn remove(&self, instance: &InstanceId) {
        self.lock().retain(|it| it.instance != *instance);
    }

    /// Returns whether there is a usable route.
    pub(crate) fn is_available(&self, now: Moment) -> bool {
        self.lock().iter().any(|it| it.is_usable(now))
    }

    /// Selects a route at random, in this instance's availability zone if there is one; `draw` is
    /// a random number from 0 to 1.
    pub(crate) fn pick(&self, draw: f64, now: Moment) -> Option<Arc<TransitRoute>> {
        let routes = self.lock();
        let usable = routes.iter().filter(|it| it.is_usable(now));
        let (near, far): (Vec<_>, Vec<_>) = usable.partition(|it| it.is_near);
        let from = if near.is_empty() { far } else { near };
        let index = (draw * from.len() as f64) as usize;
        let picked = from.get(index).or(from.last());
        picked.map(|it| Arc::clone(it))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arc<TransitRoute>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Leaves placing to other instances while this one does not reach the targets.

use std::time::Duration;

use chervilshunt_coord::ExclusiveLeaseEvent;
use chervilshunt_model::ServiceName;

use super::actor::Control;

/// Time for which a placer has to be cut off from a service before it gives up its lease. Until the
/// next one places, nobody does for several seconds, so that a short cut is better endured.
const SUSPEND_AFTER: Duration = Duration::from_secs(1);

impl Control {
    /// Gives up the lease, or does not compete for it, while this instance reaches no target of a
    /// service that needs a placer.
    ///
    /// A placer that reaches no target can order no loads, so that requests for adapters that are
    /// not loaded are refused at all instances. It keeps its lease if no other instance reaches the
    /// targets.
    pub(super) fn check_links(&mut self) {
        let lost = self.lost_service();
        let is_suspended = match &lost {
            None => false,
            // Once suspended, the instance no longer knows what the others reach.
            Some(_) if self.suspended => true,
            Some((service, cut_off_for)) => match &self.placer {
                None => true,
                Some(placer) => {
                    *cut_off_for >= SUSPEND_AFTER && placer.presence.is_reached(service)
                }
            },
        };
        if is_suspended == self.suspended {
            return;
        }
        self.suspended = is_suspended;
        let service = lost.map(|(service, _)| service.as_str().to_owned());
        if is_suspended {
            slog::warn!(self.shared.log, "cut off; leaving placing to others";
                "service" => service, "placing" => self.placer.is_some());
            self.lease_event(ExclusiveLeaseEvent::Suspend);
        } else {
            slog::info!(self.shared.log, "targets reached; may place again");
            self.lease_event(ExclusiveLeaseEvent::Resume);
        }
    }

    /// Returns a service with models that this instance has been cut off from, and for how long.
    fn lost_service(&self) -> Option<(ServiceName, Duration)> {
        let now = self.now();
        let routes = self.shared.routes.load_full()?;
        let dispatch = self.shared.dispatch();
        let needs_placer = |service: &ServiceName| {
            let spec = routes.services.get(service);
            spec.is_some_and(|it| it.placement.is_some())
        };
        let lost = dispatch.cut_off_services();
        let mut lost = lost.filter(|(service, _)| needs_placer(service));
        let (service, since) = lost.next()?;
        Some((service.clone(), now.since(since)))
    }
}

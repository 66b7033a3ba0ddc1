//! What an instance knows of a plain service when it admits requests on its own.

use chervilshunt_model::ServiceName;

use super::state::{Dispatch, Target};

impl Dispatch {
    fn of_service<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Target> {
        let targets = self.targets.values();
        targets.filter(move |it| it.facts.service == *service)
    }

    /// Returns the number of slots of all targets of a service that take new requests.
    pub fn service_slots(&self, service: &ServiceName) -> u32 {
        let targets = self.of_service(service);
        let usable = targets.filter(|it| it.facts.leaving.is_none());
        usable.map(|it| it.facts.slots).sum()
    }

    /// Returns the number of requests that this instance has in flight at a service.
    pub fn service_in_flight(&self, service: &ServiceName) -> u32 {
        self.of_service(service).map(|it| it.load.own()).sum()
    }

    /// Returns whether a target of a service has named a rate limit.
    pub fn has_limited_target(&self, service: &ServiceName) -> bool {
        self.limited_target_count() > 0
            && self
                .of_service(service)
                .any(|it| self.limit_of(&it.facts.name).is_some())
    }
}

//! Maintains the set of instances and targets from the slices that a watch delivers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;

use chervilshunt_model::{ServiceName, ZoneName};

use super::slice::{Endpoint, EndpointSlice, SERVICE_LABEL};
use crate::{Object, ResourceVersion, WatchEvent};

/// One instance or target of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// The service to which it belongs.
    pub service: ServiceName,
    /// The instance id or the target's name.
    pub name: Arc<str>,
    /// The IP address.
    pub address: IpAddr,
    /// The availability zone, if the slice gives one.
    pub zone: Option<ZoneName>,
    /// The port numbers by port name.
    pub ports: BTreeMap<Arc<str>, u16>,
    /// Whether it accepts new work.
    pub ready: bool,
    /// Whether it responds to requests.
    pub serving: bool,
    /// Whether it is shutting down.
    pub terminating: bool,
}

impl ListedInstance {
    /// Returns whether new work may be sent to it.
    pub const fn takes_new_work(&self) -> bool {
        self.serving && !self.terminating
    }
}

/// A change to the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstanceChange {
    /// An instance or target was added.
    Joined(ListedInstance),
    /// The state, address, zone or ports of an instance or target changed.
    Changed(ListedInstance),
    /// An instance or target was removed.
    Left {
        /// The service to which it belonged.
        service: ServiceName,
        /// The instance id or the target's name.
        name: Arc<str>,
    },
    /// An endpoint, or a whole slice, was skipped because it is malformed.
    Skipped {
        /// The name of the slice.
        slice: Arc<str>,
        /// The reason.
        problem: EndpointProblem,
    },
}

/// The reason why an endpoint or a slice is skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointProblem {
    /// The slice can't be decoded. Its previous content, if any, remains in force.
    MalformedSlice,
    /// The slice has no label with the name of its service.
    NoService,
    /// The endpoint has no reference to an instance or target.
    NoName,
    /// The endpoint has no address, or its first address is not an IP address.
    NoAddress,
}

/// The instances and targets of all slices.
///
/// An instance may be in two slices for a while when the platform moves it from one to the other.
/// The slice with the higher version takes precedence, and the instance is removed from the list
/// once no slice contains it.
#[derive(Clone, Debug, Default)]
pub struct InstanceList {
    slices: BTreeMap<Arc<str>, SliceView>,
    instances: BTreeMap<InstanceKey, ListedInstance>,
    is_current: bool,
}

type InstanceKey = (ServiceName, Arc<str>);

#[derive(Clone, Debug)]
struct SliceView {
    version: Option<ResourceVersion>,
    instances: BTreeMap<InstanceKey, ListedInstance>,
}

impl InstanceList {
    /// Returns an instance or target.
    pub fn get(&self, service: &ServiceName, name: &str) -> Option<&ListedInstance> {
        self.instances.get(&(service.clone(), name.into()))
    }

    /// Returns all instances and targets, ordered by service and name.
    pub fn iter(&self) -> impl Iterator<Item = &ListedInstance> {
        self.instances.values()
    }

    /// Returns the instances or targets of a service, ordered by name.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a ListedInstance> {
        self.iter()
            .filter(move |instance| instance.service == *service)
    }

    /// Returns whether the watch has delivered the complete list and is not stalled.
    pub const fn is_current(&self) -> bool {
        self.is_current
    }

    /// Applies an event of the watch and returns the resulting changes.
    pub fn apply(&mut self, event: WatchEvent<EndpointSlice>) -> Vec<InstanceChange> {
        match event {
            WatchEvent::Applied(slice) => self.put(slice),
            WatchEvent::Deleted { name } => match self.slices.remove(&name) {
                Some(view) => self.recompute(view.instances.into_keys().collect()),
                None => Vec::new(),
            },
            WatchEvent::Malformed { name, .. } => vec![InstanceChange::Skipped {
                slice: name,
                problem: EndpointProblem::MalformedSlice,
            }],
            WatchEvent::Synced { .. } => {
                self.is_current = true;
                Vec::new()
            }
            WatchEvent::Stalled { .. } => {
                self.is_current = false;
                Vec::new()
            }
        }
    }

    fn put(&mut self, slice: Object<EndpointSlice>) -> Vec<InstanceChange> {
        let (instances, problems) = parse_slice(&slice);
        let view = SliceView {
            version: slice.resource_version,
            instances,
        };
        let mut affected: BTreeSet<_> = view.instances.keys().cloned().collect();
        if let Some(before) = self.slices.insert(Arc::clone(&slice.name), view) {
            affected.extend(before.instances.into_keys());
        }
        let mut changes = self.recompute(affected);
        changes.extend(problems.into_iter().map(|problem| InstanceChange::Skipped {
            slice: Arc::clone(&slice.name),
            problem,
        }));
        changes
    }

    /// Recomputes the instances whose slices have changed.
    fn recompute(&mut self, affected: BTreeSet<InstanceKey>) -> Vec<InstanceChange> {
        affected
            .into_iter()
            .filter_map(|key| self.recompute_one(key))
            .collect()
    }

    fn recompute_one(&mut self, key: InstanceKey) -> Option<InstanceChange> {
        let newest = self
            .slices
            .values()
            .filter_map(|slice| Some((slice.version, slice.instances.get(&key)?)))
            .max_by_key(|(version, _)| *version)
            .map(|(_, instance)| instance.clone());
        match newest {
            Some(instance) => match self.instances.insert(key, instance.clone()) {
                None => Some(InstanceChange::Joined(instance)),
                Some(before) if before != instance => Some(InstanceChange::Changed(instance)),
                Some(_same) => None,
            },
            None => {
                let gone = self.instances.remove(&key)?;
                Some(InstanceChange::Left {
                    service: gone.service,
                    name: gone.name,
                })
            }
        }
    }
}

/// Returns the instances of a slice, and the problems of its malformed endpoints.
fn parse_slice(
    slice: &Object<EndpointSlice>,
) -> (BTreeMap<InstanceKey, ListedInstance>, Vec<EndpointProblem>) {
    let Some(service) = slice.labels.get(SERVICE_LABEL) else {
        return (BTreeMap::new(), vec![EndpointProblem::NoService]);
    };
    let service = ServiceName::new(service.as_str());
    let ports = slice.spec.ports.iter();
    let ports: BTreeMap<_, _> = ports
        .map(|port| (Arc::clone(&port.name), port.port))
        .collect();
    let mut instances = BTreeMap::new();
    let mut problems = Vec::new();
    for endpoint in &slice.spec.endpoints {
        match parse_endpoint(&service, &ports, endpoint) {
            Ok(instance) => {
                let key = (service.clone(), Arc::clone(&instance.name));
                instances.insert(key, instance);
            }
            Err(problem) => problems.push(problem),
        }
    }
    (instances, problems)
}

fn parse_endpoint(
    service: &ServiceName,
    ports: &BTreeMap<Arc<str>, u16>,
    endpoint: &Endpoint,
) -> Result<ListedInstance, EndpointProblem> {
    let target = endpoint.target_ref.as_ref();
    let target = target.ok_or(EndpointProblem::NoName)?;
    let address = endpoint.addresses.first();
    let address = address.and_then(|address| address.parse().ok());
    let conditions = endpoint.conditions;
    let ready = conditions.ready.unwrap_or(true);
    Ok(ListedInstance {
        service: service.clone(),
        name: Arc::clone(&target.name),
        address: address.ok_or(EndpointProblem::NoAddress)?,
        zone: endpoint.zone.as_deref().map(ZoneName::from),
        ports: ports.clone(),
        ready,
        serving: conditions.serving.unwrap_or(ready),
        terminating: conditions.terminating.unwrap_or(false),
    })
}

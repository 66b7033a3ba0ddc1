//! The instances and targets that the slices of a watch add up to.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;

use chervilshunt_model::{ServiceName, ZoneName};

use super::slice::{Endpoint, EndpointSlice, SERVICE_LABEL};
use crate::{Object, ResourceVersion, WatchEvent};

/// One instance or target as the list has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The instance id or the target's name.
    pub name: Arc<str>,
    /// Its address.
    pub address: IpAddr,
    /// The availability zone that it stands in, if the list says so.
    pub zone: Option<ZoneName>,
    /// Its ports by name.
    pub ports: BTreeMap<Arc<str>, u16>,
    /// Whether it takes new work.
    pub ready: bool,
    /// Whether it answers.
    pub serving: bool,
    /// Whether it is about to leave.
    pub terminating: bool,
}

impl ListedInstance {
    /// Says whether new work may be given to it.
    pub const fn takes_new_work(&self) -> bool {
        self.serving && !self.terminating
    }
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstanceChange {
    /// It is new.
    Joined(ListedInstance),
    /// It has changed: its state, address, zone or ports.
    Changed(ListedInstance),
    /// It is gone from the list.
    Left {
        /// The service that it belonged to.
        service: ServiceName,
        /// Its name.
        name: Arc<str>,
    },
    /// An endpoint was left out of the list as it can't be read.
    Skipped {
        /// The slice that it is in.
        slice: Arc<str>,
        /// What is wrong with it.
        problem: EndpointProblem,
    },
}

/// Why an endpoint can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointProblem {
    /// The slice can't be read at all; what it said before stands.
    MalformedSlice,
    /// The slice does not name its service.
    NoService,
    /// The endpoint does not name what it stands for.
    NoName,
    /// The endpoint has no address that is an IP number.
    NoAddress,
}

/// Adds up slices to instances.
///
/// An instance may stand in two slices for a while when the platform moves it from one to the
/// other: the slice that was written last counts, and the instance leaves when the last one has
/// dropped it.
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

    /// Returns all instances and targets by service and name.
    pub fn iter(&self) -> impl Iterator<Item = &ListedInstance> {
        self.instances.values()
    }

    /// Returns the instances or targets of a service, by name.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a ListedInstance> {
        self.iter()
            .filter(move |instance| instance.service == *service)
    }

    /// Says whether the list was told in full and is being kept up.
    pub const fn is_current(&self) -> bool {
        self.is_current
    }

    /// Takes an event of the watch and returns what it changes.
    pub fn apply(&mut self, event: WatchEvent<EndpointSlice>) -> Vec<InstanceChange> {
        match event {
            WatchEvent::Applied(slice) => self.put(slice),
            WatchEvent::Deleted { name } => match self.slices.remove(&name) {
                Some(view) => self.settle(view.instances.into_keys().collect()),
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
        let (instances, problems) = read_slice(&slice);
        let view = SliceView {
            version: slice.resource_version,
            instances,
        };
        let mut touched: BTreeSet<_> = view.instances.keys().cloned().collect();
        if let Some(before) = self.slices.insert(Arc::clone(&slice.name), view) {
            touched.extend(before.instances.into_keys());
        }
        let mut changes = self.settle(touched);
        changes.extend(problems.into_iter().map(|problem| InstanceChange::Skipped {
            slice: Arc::clone(&slice.name),
            problem,
        }));
        changes
    }

    /// Works out anew the instances whose slices have changed.
    fn settle(&mut self, touched: BTreeSet<InstanceKey>) -> Vec<InstanceChange> {
        touched
            .into_iter()
            .filter_map(|key| self.settle_one(key))
            .collect()
    }

    fn settle_one(&mut self, key: InstanceKey) -> Option<InstanceChange> {
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

/// Reads the endpoints of a slice, and what is wrong with those that can't be read.
fn read_slice(
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
        match read_endpoint(&service, &ports, endpoint) {
            Ok(instance) => {
                let key = (service.clone(), Arc::clone(&instance.name));
                instances.insert(key, instance);
            }
            Err(problem) => problems.push(problem),
        }
    }
    (instances, problems)
}

fn read_endpoint(
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

//! Validation of the objects affected by changes, and of the references between objects.
//!
//! Only the changed objects are checked, as the others were valid before.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

use snafu::ensure;

use crate::change_error::{
    AddressTakenSnafu, BadNameSnafu, BadValueSnafu, DanglingReferenceSnafu, InUseSnafu,
    NotEngineServiceSnafu,
};
use crate::{
    Adapter, AdapterVersion, Change, ChangeError, Deployment, ObjectKind, ObjectRef, Priority,
    PriorityName, Service, ServiceKind, ServiceName, Site, SiteName, StoreName, Target, TargetName,
    Version, WeightStore,
};

/// The maximum length of a name, in bytes. Names are used in headers, labels and paths.
const MAX_NAME_LEN: usize = 128;

/// The maximum length of a version's source, in bytes.
const MAX_SOURCE_LEN: usize = 1_024;

/// The maximum deadline: one week.
const MAX_DEADLINE_MS: u64 = 7 * 24 * 3_600_000;

/// Validates the objects that the changes created or set, and checks that no object refers to those
/// that the changes deleted.
pub(crate) fn check(deployment: &Deployment, changes: &[Change]) -> Result<(), ChangeError> {
    let addresses = changes
        .iter()
        .any(|change| matches!(change, Change::Target { .. }))
        .then(|| addresses_of(deployment));
    for change in changes {
        let checks = Checks {
            deployment,
            object: change.object(),
        };
        checks.change(change)?;
        if let (Change::Target { name, .. }, Some(addresses)) = (change, &addresses) {
            checks.address(name, addresses)?;
        }
    }
    Ok(())
}

/// Returns the targets of each address, ordered by name.
fn addresses_of(deployment: &Deployment) -> HashMap<SocketAddr, Vec<&TargetName>> {
    let mut addresses: HashMap<_, Vec<_>> = HashMap::with_capacity(deployment.targets.len());
    for (name, target) in &deployment.targets {
        addresses.entry(target.address).or_default().push(name);
    }
    addresses
}

/// Validates one changed object.
struct Checks<'a> {
    deployment: &'a Deployment,
    object: ObjectRef,
}

impl Checks<'_> {
    fn change(&self, change: &Change) -> Result<(), ChangeError> {
        let deployment = self.deployment;
        match change {
            Change::Adapter { name, .. } => match deployment.adapters.get(name) {
                Some(adapter) => self.adapter(name.as_str(), adapter),
                None => Ok(()),
            },
            Change::Version { name, .. } => match deployment.version(name) {
                Some(version) => self.version(name, version),
                None => Ok(()),
            },
            Change::Service { name, .. } => match deployment.services.get(name) {
                Some(service) => self.service(name, service),
                None => self.service_unused(name),
            },
            Change::Target { name, .. } => match deployment.targets.get(name) {
                Some(target) => self.target(name, target),
                None => Ok(()),
            },
            Change::Priority { name, .. } => match deployment.priorities.get(name) {
                Some(priority) => self.priority(name, *priority),
                None => self.priority_unused(name),
            },
            Change::Site { name, .. } => match deployment.sites.get(name) {
                Some(site) => self.site(name, *site),
                None => self.site_unused(name),
            },
            Change::Store { name, .. } => match deployment.stores.get(name) {
                Some(store) => self.store(name, *store),
                None => self.store_unused(name),
            },
        }
    }

    fn adapter(&self, name: &str, adapter: &Adapter) -> Result<(), ChangeError> {
        self.name(name)?;
        let service = self.service_of("service", &adapter.service)?;
        ensure!(
            service.kind != ServiceKind::Plain,
            NotEngineServiceSnafu {
                object: self.object.clone(),
                service: ObjectRef::new(ObjectKind::Service, &adapter.service),
            }
        );
        if let Some(priority) = &adapter.priority {
            self.priority_exists(priority)?;
        }
        for (version_name, version) in adapter.versions.iter() {
            self.name(version_name.as_str())?;
            self.source(version)?;
        }
        Ok(())
    }

    fn version(&self, name: &AdapterVersion, version: &Version) -> Result<(), ChangeError> {
        self.name(name.version.as_str())?;
        self.source(version)
    }

    fn source(&self, version: &Version) -> Result<(), ChangeError> {
        let source = &*version.source;
        self.value(
            "source",
            source.escape_debug(),
            is_valid_text(source, MAX_SOURCE_LEN),
            "give 1 to 1024 characters without control characters",
        )
    }

    fn service(&self, name: &ServiceName, service: &Service) -> Result<(), ChangeError> {
        self.name(name.as_str())?;
        self.priority_exists(&service.priority)?;
        let deadline_ms = service.deadline_ms;
        let in_range = (1..=MAX_DEADLINE_MS).contains(&deadline_ms);
        self.value(
            "deadline_ms",
            deadline_ms,
            in_range,
            "give 1 to 604800000, which is a week",
        )?;
        match &service.kind {
            ServiceKind::Plain => Ok(()),
            ServiceKind::Engine { base_model } => {
                let is_valid =
                    is_valid_text(base_model, MAX_NAME_LEN) && !base_model.contains(['@', ' ']);
                self.value(
                    "base_model",
                    base_model.escape_debug(),
                    is_valid,
                    "give 1 to 128 characters without '@', spaces and control characters",
                )
            }
        }
    }

    fn target(&self, name: &TargetName, target: &Target) -> Result<(), ChangeError> {
        self.name(name.as_str())?;
        let service = self.service_of("service", &target.service)?;
        let zone = &target.zone;
        self.value(
            "zone",
            zone.as_str().escape_debug(),
            is_valid_name(zone.as_str()),
            "give 1 to 128 letters, digits, '-', '_' or '.', the first a letter or digit",
        )?;
        let site = self.deployment.sites.contains_key(&target.site);
        self.reference(site, "site", ObjectKind::Site, &target.site)?;
        match service.kind {
            ServiceKind::Engine { .. } => {
                let store = self.deployment.stores.contains_key(&target.store);
                self.reference(store, "store", ObjectKind::Store, &target.store)?;
                self.value(
                    "slots",
                    target.slots,
                    target.slots > 0,
                    "a target of an engine service holds at least 1 adapter",
                )?;
            }
            ServiceKind::Plain => self.value(
                "slots",
                target.slots,
                target.slots == 0,
                "a target of a plain service holds no adapter; give 0",
            )?,
        }
        self.value(
            "max_batch",
            target.max_batch,
            target.max_batch > 0,
            "give at least 1",
        )?;
        self.watts("idle_watts", target.idle_watts)?;
        self.watts("watts_per_sequence", target.watts_per_sequence)
    }

    fn watts(&self, field: &'static str, watts: f64) -> Result<(), ChangeError> {
        let is_valid = watts.is_finite() && watts >= 0.0;
        self.value(
            field,
            watts,
            is_valid,
            "give a finite number of watts, at least 0",
        )
    }

    fn priority(&self, name: &PriorityName, priority: Priority) -> Result<(), ChangeError> {
        self.name(name.as_str())?;
        self.value(
            "weight",
            priority.weight,
            priority.weight > 0,
            "give at least 1",
        )
    }

    fn site(&self, name: &SiteName, site: Site) -> Result<(), ChangeError> {
        self.name(name.as_str())?;
        let is_valid = site.cap_watts.is_finite() && site.cap_watts > 0.0;
        self.value(
            "cap_watts",
            site.cap_watts,
            is_valid,
            "give a finite number of watts above 0",
        )
    }

    fn store(&self, name: &StoreName, store: WeightStore) -> Result<(), ChangeError> {
        self.name(name.as_str())?;
        self.value(
            "concurrency",
            store.concurrency,
            store.concurrency > 0,
            "give at least 1",
        )?;
        let rate = store.loads_per_second;
        let is_valid = rate.is_finite() && rate > 0.0;
        self.value(
            "loads_per_second",
            rate,
            is_valid,
            "give a finite number above 0",
        )
    }

    fn service_unused(&self, name: &ServiceName) -> Result<(), ChangeError> {
        let mut targets = self.deployment.targets.iter();
        let target = targets.find(|(_, target)| target.service == *name);
        self.unused(ObjectKind::Target, target.map(|(name, _)| name))?;
        let mut adapters = self.deployment.adapters.iter();
        let adapter = adapters.find(|(_, adapter)| adapter.service == *name);
        self.unused(ObjectKind::Adapter, adapter.map(|(name, _)| name))
    }

    fn priority_unused(&self, name: &PriorityName) -> Result<(), ChangeError> {
        let mut services = self.deployment.services.iter();
        let service = services.find(|(_, service)| service.priority == *name);
        self.unused(ObjectKind::Service, service.map(|(name, _)| name))?;
        let mut adapters = self.deployment.adapters.iter();
        let adapter = adapters.find(|(_, adapter)| adapter.priority.as_ref() == Some(name));
        self.unused(ObjectKind::Adapter, adapter.map(|(name, _)| name))
    }

    fn site_unused(&self, name: &SiteName) -> Result<(), ChangeError> {
        let mut targets = self.deployment.targets.iter();
        let target = targets.find(|(_, target)| target.site == *name);
        self.unused(ObjectKind::Target, target.map(|(name, _)| name))
    }

    fn store_unused(&self, name: &StoreName) -> Result<(), ChangeError> {
        let mut targets = self.deployment.targets.iter();
        let target = targets.find(|(_, target)| target.store == *name);
        self.unused(ObjectKind::Target, target.map(|(name, _)| name))
    }

    fn unused(&self, kind: ObjectKind, user: Option<impl fmt::Display>) -> Result<(), ChangeError> {
        match user {
            None => Ok(()),
            Some(name) => InUseSnafu {
                object: self.object.clone(),
                user: ObjectRef::new(kind, name),
            }
            .fail(),
        }
    }

    fn service_of(&self, field: &'static str, name: &ServiceName) -> Result<&Service, ChangeError> {
        let service = self.deployment.services.get(name);
        self.reference(service.is_some(), field, ObjectKind::Service, name)?;
        Ok(service.expect("the reference was checked"))
    }

    fn priority_exists(&self, name: &PriorityName) -> Result<(), ChangeError> {
        let exists = self.deployment.priorities.contains_key(name);
        self.reference(exists, "priority", ObjectKind::Priority, name)
    }

    fn reference(
        &self,
        exists: bool,
        field: &'static str,
        kind: ObjectKind,
        name: impl fmt::Display,
    ) -> Result<(), ChangeError> {
        ensure!(
            exists,
            DanglingReferenceSnafu {
                object: self.object.clone(),
                field,
                refers_to: ObjectRef::new(kind, name),
            }
        );
        Ok(())
    }

    fn address(
        &self,
        name: &TargetName,
        addresses: &HashMap<SocketAddr, Vec<&TargetName>>,
    ) -> Result<(), ChangeError> {
        let Some(target) = self.deployment.targets.get(name) else {
            return Ok(());
        };
        let targets = addresses.get(&target.address).into_iter().flatten();
        match targets.copied().find(|other| *other != name) {
            None => Ok(()),
            Some(other) => AddressTakenSnafu {
                object: self.object.clone(),
                address: target.address,
                other: ObjectRef::new(ObjectKind::Target, other),
            }
            .fail(),
        }
    }

    fn name(&self, name: &str) -> Result<(), ChangeError> {
        ensure!(
            is_valid_name(name),
            BadNameSnafu {
                object: self.object.clone(),
                max_len: MAX_NAME_LEN,
            }
        );
        Ok(())
    }

    fn value(
        &self,
        field: &'static str,
        value: impl fmt::Display,
        is_valid: bool,
        allowed: &'static str,
    ) -> Result<(), ChangeError> {
        ensure!(
            is_valid,
            BadValueSnafu {
                object: self.object.clone(),
                field,
                value: value.to_string(),
                allowed,
            }
        );
        Ok(())
    }
}

fn is_valid_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    name.len() <= MAX_NAME_LEN
        && name.starts_with(|c: char| c.is_ascii_alphanumeric())
        && name.chars().all(allowed)
}

fn is_valid_text(text: &str, max_len: usize) -> bool {
    !text.is_empty() && text.len() <= max_len && !text.chars().any(char::is_control)
}

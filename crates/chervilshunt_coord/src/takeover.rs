//! Which instances may still hold permits of a role that was taken over.

use std::collections::{BTreeMap, BTreeSet};

use chervilshunt_model::InstanceId;

use crate::roles::Role;

/// Waits, for each role taken over, until all that could hold permits of it have answered.
///
/// An instance whose lease has lapsed may still stream an answer that its permit allowed, so only
/// its own answer, or its having left the instance list, ends the wait for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Takeovers {
    waiting: BTreeMap<Role, BTreeSet<InstanceId>>,
}

impl Takeovers {
    /// Begins to wait for these instances.
    pub fn begin(&mut self, role: Role, instances: &[InstanceId]) {
        let instances = instances.iter().cloned().collect();
        self.waiting.insert(role, instances);
    }

    /// Ends the wait, as the role is held no longer.
    pub fn end(&mut self, role: &Role) {
        self.waiting.remove(role);
    }

    /// Takes the answer of an instance; returns the role if it was the last one.
    pub fn answered(&mut self, role: &Role, instance: &InstanceId) -> Option<Role> {
        self.waiting.get_mut(role)?.remove(instance);
        self.take_complete(role)
    }

    /// Waits no longer for instances that are not among `listed`; returns the roles for which
    /// these were the last ones.
    pub fn keep_only(&mut self, listed: &BTreeSet<InstanceId>) -> Vec<Role> {
        for instances in self.waiting.values_mut() {
            instances.retain(|instance| listed.contains(instance));
        }
        let roles: Vec<_> = self.waiting.keys().cloned().collect();
        roles
            .iter()
            .filter_map(|role| self.take_complete(role))
            .collect()
    }

    /// Returns the instances that a role waits for.
    pub fn waiting(&self, role: &Role) -> impl Iterator<Item = &InstanceId> {
        self.waiting.get(role).into_iter().flatten()
    }

    fn take_complete(&mut self, role: &Role) -> Option<Role> {
        if !self.waiting.get(role)?.is_empty() {
            return None;
        }
        self.waiting.remove_entry(role).map(|(role, _)| role)
    }
}

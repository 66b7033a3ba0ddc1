//! Tracks the instances that may still hold permits of a role after a takeover.

use std::collections::{BTreeMap, BTreeSet};

use chervilshunt_model::InstanceId;

use crate::roles::Role;

/// For each role taken over, waits until all instances that could hold permits of it have answered.
///
/// An instance whose lease has lapsed may still stream a response that its permit allowed. The wait
/// for it therefore ends only with its own answer or when it leaves the instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Takeovers {
    waiting: BTreeMap<Role, BTreeSet<InstanceId>>,
}

impl Takeovers {
    /// Starts to wait for the answers of these instances.
    pub fn begin(&mut self, role: Role, instances: &[InstanceId]) {
        let instances = instances.iter().cloned().collect();
        self.waiting.insert(role, instances);
    }

    /// Stops waiting, because this run no longer holds the role.
    pub fn end(&mut self, role: &Role) {
        self.waiting.remove(role);
    }

    /// Records the answer of an instance. Returns the role if this was the last outstanding answer.
    pub fn answered(&mut self, role: &Role, instance: &InstanceId) -> Option<Role> {
        self.waiting.get_mut(role)?.remove(instance);
        self.take_complete(role)
    }

    /// Stops waiting for instances that are not in `listed`. Returns the roles for which no answer
    /// is outstanding any more.
    pub fn retain_listed(&mut self, listed: &BTreeSet<InstanceId>) -> Vec<Role> {
        for instances in self.waiting.values_mut() {
            instances.retain(|instance| listed.contains(instance));
        }
        let roles: Vec<_> = self.waiting.keys().cloned().collect();
        roles
            .iter()
            .filter_map(|role| self.take_complete(role))
            .collect()
    }

    /// Returns the instances whose answers for `role` are outstanding.
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

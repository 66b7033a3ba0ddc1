//! Applying changes to a deployment.

use std::collections::BTreeMap;

use snafu::{OptionExt, ensure};

use crate::change_error::{
    EmptyPatchSnafu, ExistsSnafu, MissingSnafu, NoChangeSnafu, RevisionMovedSnafu,
};
use crate::pages::share_names;
use crate::patches::Patch;
use crate::{
    Adapter, AdapterName, AdapterPatch, AdapterVersion, Change, ChangeError, ChangeSet, Deployment,
    Edit, NoPatch, ObjectKind, ObjectRef, Version, references,
};

impl Deployment {
    /// Returns the deployment with a change set applied, at the next revision.
    ///
    /// Either all changes take effect or none. They are applied in order, and references are
    /// checked at the end, so objects that refer to each other may be created in any order. The
    /// result shares the adapter pages that the changes don't touch with this deployment.
    ///
    /// # Errors
    /// Returns the error of the first change that can't be applied, or else of the first failed
    /// check of the resulting deployment.
    pub fn apply(&self, set: &ChangeSet) -> Result<Self, ChangeError> {
        if let Some(expected) = set.expected {
            let actual = self.revision;
            ensure!(expected == actual, RevisionMovedSnafu { expected, actual });
        }
        ensure!(!set.changes.is_empty(), NoChangeSnafu);
        let mut next = self.clone();
        next.revision = self.revision.next();
        for change in &set.changes {
            next.apply_one(change)?;
        }
        references::check(&next, &set.changes)?;
        Ok(next)
    }

    fn apply_one(&mut self, change: &Change) -> Result<(), ChangeError> {
        let object = change.object();
        match change {
            Change::Adapter { name, edit } => self.edit_adapter(name, edit, object),
            Change::Version { name, edit } => self.edit_version(name, edit, object),
            Change::Service { name, edit } => edit_entry(&mut self.services, name, edit, object),
            Change::Target { name, edit } => edit_entry(&mut self.targets, name, edit, object),
            Change::Priority { name, edit } => edit_entry(&mut self.priorities, name, edit, object),
            Change::Site { name, edit } => edit_entry(&mut self.sites, name, edit, object),
            Change::Store { name, edit } => edit_entry(&mut self.stores, name, edit, object),
        }
    }

    fn edit_adapter(
        &mut self,
        name: &AdapterName,
        edit: &Edit<Adapter, AdapterPatch>,
        object: ObjectRef,
    ) -> Result<(), ChangeError> {
        match edit {
            Edit::Create(adapter) => {
                ensure!(!self.adapters.contains_key(name), ExistsSnafu { object });
                let mut adapter = adapter.clone();
                share_names(&mut adapter, self);
                self.adapters.insert(name.clone(), adapter);
            }
            Edit::Set(patch) => {
                ensure!(!patch.is_empty(), EmptyPatchSnafu { object });
                let adapter = self.adapters.get_mut(name);
                patch.apply(adapter.context(MissingSnafu { object })?);
            }
            Edit::Delete => {
                let removed = self.adapters.remove(name);
                removed.context(MissingSnafu { object })?;
            }
        }
        Ok(())
    }

    fn edit_version(
        &mut self,
        name: &AdapterVersion,
        edit: &Edit<Version, NoPatch>,
        object: ObjectRef,
    ) -> Result<(), ChangeError> {
        let adapter = self.adapters.get_mut(&name.adapter);
        let versions = &mut adapter
            .context(MissingSnafu {
                object: ObjectRef::new(ObjectKind::Adapter, &name.adapter),
            })?
            .versions;
        match edit {
            Edit::Create(version) => {
                ensure!(
                    !versions.contains_key(&name.version),
                    ExistsSnafu { object }
                );
                versions.insert(name.version.clone(), version.clone());
            }
            Edit::Set(never) => match *never {},
            Edit::Delete => {
                let removed = versions.remove(&name.version);
                removed.context(MissingSnafu { object })?;
            }
        }
        Ok(())
    }
}

fn edit_entry<N: Ord + Clone, O: Clone, P: Patch<O>>(
    objects: &mut BTreeMap<N, O>,
    name: &N,
    edit: &Edit<O, P>,
    object: ObjectRef,
) -> Result<(), ChangeError> {
    match edit {
        Edit::Create(created) => {
            ensure!(!objects.contains_key(name), ExistsSnafu { object });
            objects.insert(name.clone(), created.clone());
        }
        Edit::Set(patch) => {
            ensure!(!patch.is_empty(), EmptyPatchSnafu { object });
            let found = objects.get_mut(name);
            patch.apply(found.context(MissingSnafu { object })?);
        }
        Edit::Delete => {
            objects.remove(name).context(MissingSnafu { object })?;
        }
    }
    Ok(())
}

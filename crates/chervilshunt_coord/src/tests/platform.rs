//! The platform's object API, in memory.

use std::collections::BTreeMap;

use crate::{Object, ObjectKind, ObjectName, ObjectVersion, PlatformOp, PlatformResult, Stored};

/// Objects with versions and conditional updates.
#[derive(Clone, Debug, Default, Hash)]
pub(super) struct FakePlatform {
    objects: BTreeMap<ObjectName, (Object, u64)>,
    version: u64,
}

impl FakePlatform {
    /// Carries a call out; the stored object comes with it if it was written.
    pub(super) fn carry_out(&mut self, op: &PlatformOp) -> (PlatformResult, Option<Stored>) {
        match op {
            PlatformOp::Read(name) => {
                let found = self.get(name);
                (
                    found.map_or(PlatformResult::NotFound, PlatformResult::Found),
                    None,
                )
            }
            PlatformOp::List(kind) => (PlatformResult::Listed(self.list(*kind)), None),
            PlatformOp::ListClaims(shard) => {
                let mut pages = self.list(ObjectKind::Claims);
                pages.retain(|stored| {
                    matches!(&stored.object, Object::Claims(page) if page.name.shard == *shard)
                });
                (PlatformResult::Listed(pages), None)
            }
            PlatformOp::Create(object) => {
                if self.objects.contains_key(&object.name()) {
                    return (PlatformResult::AlreadyExists, None);
                }
                self.put(object)
            }
            PlatformOp::Update(object, version) => match self.objects.get(&object.name()) {
                None => (PlatformResult::NotFound, None),
                Some((_, held)) if held.to_string() != version.as_str() => {
                    (PlatformResult::Conflict, None)
                }
                Some(_) => self.put(object),
            },
            PlatformOp::Delete(name, version) => self.delete(name, version.as_ref()),
        }
    }

    pub(super) fn get(&self, name: &ObjectName) -> Option<Stored> {
        let (object, version) = self.objects.get(name)?;
        Some(Stored {
            object: object.clone(),
            version: ObjectVersion::new(version.to_string()),
        })
    }

    pub(super) fn list(&self, kind: ObjectKind) -> Vec<Stored> {
        let names = self.objects.keys().filter(|name| name.kind() == kind);
        names.filter_map(|name| self.get(name)).collect()
    }

    fn put(&mut self, object: &Object) -> (PlatformResult, Option<Stored>) {
        self.version += 1;
        let name = object.name();
        self.objects
            .insert(name.clone(), (object.clone(), self.version));
        let version = ObjectVersion::new(self.version.to_string());
        (PlatformResult::Written(version), self.get(&name))
    }

    fn delete(
        &mut self,
        name: &ObjectName,
        version: Option<&ObjectVersion>,
    ) -> (PlatformResult, Option<Stored>) {
        match self.objects.get(name) {
            None => (PlatformResult::NotFound, None),
            Some((_, held)) if version.is_some_and(|v| v.as_str() != held.to_string()) => {
                (PlatformResult::Conflict, None)
            }
            Some(_) => {
                self.objects.remove(name);
                self.version += 1;
                let version = ObjectVersion::new(self.version.to_string());
                (PlatformResult::Written(version), None)
            }
        }
    }
}

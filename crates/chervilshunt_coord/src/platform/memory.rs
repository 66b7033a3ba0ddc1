//! The platform's object API, in memory.
//!
//! For examples and for the tests of programs that embed this crate; it keeps nothing.

use std::collections::BTreeMap;

use super::call::{PlatformOp, PlatformResult};
use super::object::{Object, ObjectKind, ObjectName, ObjectVersion, Stored};

/// Objects with versions and conditional updates.
///
/// It does what the machines rely on and no more: reads and lists show the last write, and an
/// update or a deletion that names an old version changes nothing. Whoever drives the machines
/// makes calls fail, be late or lose their answer as a test needs it.
#[derive(Clone, Debug, Default, Hash)]
pub struct MemoryPlatform {
    objects: BTreeMap<ObjectName, (Object, u64)>,
    version: u64,
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CarriedOut {
    /// What the caller is told.
    pub result: PlatformResult,
    /// The object that the call wrote, as a watch shows it to others.
    pub written: Option<Stored>,
}

impl CarriedOut {
    const fn answer(result: PlatformResult) -> Self {
        Self {
            result,
            written: None,
        }
    }
}

impl MemoryPlatform {
    /// Carries a call out.
    pub fn carry_out(&mut self, op: &PlatformOp) -> CarriedOut {
        match op {
            PlatformOp::Read(name) => {
                let found = self.get(name);
                CarriedOut::answer(found.map_or(PlatformResult::NotFound, PlatformResult::Found))
            }
            PlatformOp::List(kind) => CarriedOut::answer(PlatformResult::Listed(self.list(*kind))),
            PlatformOp::ListClaims(shard) => {
                let mut pages = self.list(ObjectKind::Claims);
                pages.retain(|stored| {
                    matches!(&stored.object, Object::Claims(page) if page.name.shard == *shard)
                });
                CarriedOut::answer(PlatformResult::Listed(pages))
            }
            PlatformOp::Create(object) => {
                if self.objects.contains_key(&object.name()) {
                    return CarriedOut::answer(PlatformResult::AlreadyExists);
                }
                self.put(object)
            }
            PlatformOp::Update(object, version) => match self.objects.get(&object.name()) {
                None => CarriedOut::answer(PlatformResult::NotFound),
                Some((_, held)) if held.to_string() != version.as_str() => {
                    CarriedOut::answer(PlatformResult::Conflict)
                }
                Some(_) => self.put(object),
            },
            PlatformOp::Delete(name, version) => {
                CarriedOut::answer(self.delete(name, version.as_ref()))
            }
        }
    }

    /// Returns an object.
    pub fn get(&self, name: &ObjectName) -> Option<Stored> {
        let (object, version) = self.objects.get(name)?;
        Some(Stored {
            object: object.clone(),
            version: ObjectVersion::new(version.to_string()),
        })
    }

    /// Returns all objects of a kind, by name.
    pub fn list(&self, kind: ObjectKind) -> Vec<Stored> {
        let names = self.objects.keys().filter(|name| name.kind() == kind);
        names.filter_map(|name| self.get(name)).collect()
    }

    fn put(&mut self, object: &Object) -> CarriedOut {
        self.version += 1;
        let name = object.name();
        self.objects
            .insert(name.clone(), (object.clone(), self.version));
        let version = ObjectVersion::new(self.version.to_string());
        CarriedOut {
            result: PlatformResult::Written(version),
            written: self.get(&name),
        }
    }

    fn delete(&mut self, name: &ObjectName, version: Option<&ObjectVersion>) -> PlatformResult {
        match self.objects.get(name) {
            None => PlatformResult::NotFound,
            Some((_, held)) if version.is_some_and(|v| v.as_str() != held.to_string()) => {
                PlatformResult::Conflict
            }
            Some(_) => {
                self.objects.remove(name);
                self.version += 1;
                PlatformResult::Written(ObjectVersion::new(self.version.to_string()))
            }
        }
    }
}

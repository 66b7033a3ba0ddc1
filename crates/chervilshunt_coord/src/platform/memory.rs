//! An in-memory implementation of the platform's object API, without persistence.
//!
//! It serves the examples and the tests of programs that embed this crate.

use std::collections::BTreeMap;

use super::call::{PlatformOp, PlatformResult};
use super::object::{Object, ObjectKind, ObjectName, ObjectVersion, StoredObject};

/// Objects with versions and conditional updates.
///
/// It provides only the guarantees that the state machines rely on: reads and lists return the last
/// write, and an update or a deletion with an outdated version changes nothing. The driver of the
/// state machines can make calls fail, delay them or drop their answers as a test requires.
#[derive(Clone, Debug, Default, Hash)]
pub struct MemoryPlatform {
    objects: BTreeMap<ObjectName, (Object, u64)>,
    version: u64,
}

/// The effect of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallEffect {
    /// The result to report to the caller.
    pub result: PlatformResult,
    /// The object that the call wrote, as a watch reports it to other instances.
    pub written: Option<StoredObject>,
}

impl CallEffect {
    const fn answer(result: PlatformResult) -> Self {
        Self {
            result,
            written: None,
        }
    }
}

impl MemoryPlatform {
    /// Carries out an operation.
    pub fn carry_out(&mut self, op: &PlatformOp) -> CallEffect {
        match op {
            PlatformOp::Read(name) => {
                let found = self.get(name);
                CallEffect::answer(found.map_or(PlatformResult::NotFound, PlatformResult::Found))
            }
            PlatformOp::List(kind) => CallEffect::answer(PlatformResult::Listed(self.list(*kind))),
            PlatformOp::ListClaims(shard) => {
                let mut pages = self.list(ObjectKind::Claims);
                pages.retain(|stored| {
                    matches!(&stored.object, Object::Claims(page) if page.name.shard == *shard)
                });
                CallEffect::answer(PlatformResult::Listed(pages))
            }
            PlatformOp::Create(object) => {
                if self.objects.contains_key(&object.name()) {
                    return CallEffect::answer(PlatformResult::AlreadyExists);
                }
                self.put(object)
            }
            PlatformOp::Update(object, version) => match self.objects.get(&object.name()) {
                None => CallEffect::answer(PlatformResult::NotFound),
                Some((_, held)) if held.to_string() != version.as_str() => {
                    CallEffect::answer(PlatformResult::Conflict)
                }
                Some(_) => self.put(object),
            },
            PlatformOp::Delete(name, version) => {
                CallEffect::answer(self.delete(name, version.as_ref()))
            }
        }
    }

    /// Returns an object with its version.
    pub fn get(&self, name: &ObjectName) -> Option<StoredObject> {
        let (object, version) = self.objects.get(name)?;
        Some(StoredObject {
            object: object.clone(),
            version: ObjectVersion::new(version.to_string()),
        })
    }

    /// Returns all objects of a kind, ordered by name.
    pub fn list(&self, kind: ObjectKind) -> Vec<StoredObject> {
        let names = self.objects.keys().filter(|name| name.kind() == kind);
        names.filter_map(|name| self.get(name)).collect()
    }

    fn put(&mut self, object: &Object) -> CallEffect {
        self.version += 1;
        let name = object.name();
        self.objects
            .insert(name.clone(), (object.clone(), self.version));
        let version = ObjectVersion::new(self.version.to_string());
        CallEffect {
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

//! An in-memory object store with a history of changes, which serves reads at past revisions and
//! watches.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde_json::{Map, Value, json};
use tokio::time::Instant;

use super::path::{Collection, Continue, Selector};

/// One version of an object, with its JSON already serialized.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct StoredObject {
    pub(crate) name: String,
    pub(crate) revision: u64,
    pub(crate) labels: Vec<(String, String)>,
    pub(crate) json: String,
    /// The object's metadata only, for lists that request no more.
    pub(crate) metadata_json: String,
}

/// One write, with the object's state before and after it.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) revision: u64,
    pub(crate) at: Instant,
    pub(crate) collection: Arc<Collection>,
    pub(crate) before: Option<Arc<StoredObject>>,
    pub(crate) after: Option<Arc<StoredObject>>,
    /// The object at its deletion, as sent to watches.
    pub(crate) deleted: Option<Arc<StoredObject>>,
    /// Whether watches omit the change.
    pub(crate) hidden: bool,
}

/// The reason why the store rejected a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StoreError {
    NotFound,
    AlreadyExists,
    /// The object's version differs from the one that the call expects.
    Conflict,
    /// The requested version is older than the history that is kept.
    Expired,
    /// The object is malformed; holds the description of the problem.
    Invalid(String),
}

/// One page of a list.
#[derive(Debug)]
pub(crate) struct Page {
    pub(crate) revision: u64,
    pub(crate) objects: Vec<Arc<StoredObject>>,
    pub(crate) next: Option<Continue>,
    pub(crate) remaining: usize,
}

/// All objects and their most recent changes.
#[derive(Debug)]
pub(crate) struct Store {
    revision: u64,
    collections: BTreeMap<Arc<Collection>, BTreeMap<String, Arc<StoredObject>>>,
    history: VecDeque<Change>,
    history_bound: usize,
    /// The oldest revision whose later changes are all still in the history.
    oldest: u64,
}

impl Store {
    /// Creates an empty store that keeps the latest `history_bound` changes.
    pub(crate) const fn new(history_bound: usize) -> Self {
        Self {
            revision: 1,
            collections: BTreeMap::new(),
            history: VecDeque::new(),
            history_bound,
            oldest: 1,
        }
    }

    /// Returns the revision of the latest write.
    pub(crate) const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision of the latest write made at or before `at`.
    pub(crate) fn revision_at(&self, at: Instant) -> u64 {
        let visible = self.history.partition_point(|change| change.at <= at);
        visible
            .checked_sub(1)
            .and_then(|index| self.history.get(index))
            .map_or(self.oldest, |change| change.revision)
    }

    /// Returns the time of the first write after `revision`.
    pub(crate) fn next_write_after(&self, revision: u64) -> Option<Instant> {
        let seen = self
            .history
            .partition_point(|change| change.revision <= revision);
        self.history.get(seen).map(|change| change.at)
    }

    /// Returns the revision just before the last `count` changes of a collection.
    pub(crate) fn revision_before(&self, collection: &Collection, count: u64) -> u64 {
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        let mut last = self.history.iter().rev();
        let mut last = last
            .by_ref()
            .filter(|change| *change.collection == *collection);
        match count.checked_sub(1) {
            None => self.revision,
            Some(skipped) => last
                .nth(skipped)
                .map_or(self.oldest, |change| change.revision - 1),
        }
    }

    /// Returns an object as of a revision.
    pub(crate) fn get(
        &self,
        collection: &Collection,
        name: &str,
        at: u64,
    ) -> Result<Arc<StoredObject>, StoreError> {
        let changed = self
            .changes_after(collection, at)?
            .find(|change| change.name() == name);
        let object = match changed {
            Some(change) => change.before.as_ref(),
            None => self
                .collections
                .get(collection)
                .and_then(|objects| objects.get(name)),
        };
        object.cloned().ok_or(StoreError::NotFound)
    }

    /// Returns the objects that match a selector, in name order, as of a revision.
    pub(crate) fn list(
        &self,
        collection: &Collection,
        selector: &Selector,
        limit: Option<usize>,
        after: Option<&Continue>,
        at: u64,
    ) -> Result<Page, StoreError> {
        let revision = after.map_or(at, |after| after.revision);
        let objects = self.objects_at(collection, revision)?;
        let mut matching = objects
            .into_values()
            .filter(|object| after.is_none_or(|after| object.name > after.last))
            .filter(|object| selector.matches(&object.labels));
        let limit = limit.unwrap_or(usize::MAX);
        let objects: Vec<_> = matching.by_ref().take(limit).collect();
        let remaining = matching.count();
        let next = objects
            .last()
            .filter(|_| remaining > 0)
            .map(|last| Continue {
                revision,
                last: last.name.clone(),
            });
        Ok(Page {
            revision,
            objects,
            next,
            remaining,
        })
    }

    /// Returns the changes of a collection after a revision, oldest first.
    pub(crate) fn changes_after<'a>(
        &'a self,
        collection: &'a Collection,
        revision: u64,
    ) -> Result<impl DoubleEndedIterator<Item = &'a Change>, StoreError> {
        if revision < self.oldest {
            return Err(StoreError::Expired);
        }
        let seen = self
            .history
            .partition_point(|change| change.revision <= revision);
        let later = self.history.range(seen..);
        Ok(later.filter(move |change| *change.collection == *collection))
    }

    /// Creates an object.
    pub(crate) fn create(
        &mut self,
        collection: &Collection,
        object: Value,
        write: Write,
    ) -> Result<Arc<StoredObject>, StoreError> {
        let draft = Draft::parse(object)?;
        if draft.revision.is_some() {
            let problem = "resourceVersion should not be set on objects to be created";
            return Err(StoreError::Invalid(problem.to_owned()));
        }
        if self.current(collection, &draft.name).is_some() {
            return Err(StoreError::AlreadyExists);
        }
        Ok(self.put(collection, draft, write))
    }

    /// Replaces an object. If `object` carries a version, it must match the current one.
    pub(crate) fn update(
        &mut self,
        collection: &Collection,
        name: &str,
        object: Value,
        write: Write,
    ) -> Result<Arc<StoredObject>, StoreError> {
        let draft = Draft::parse(object)?;
        if draft.name != name {
            let problem = format!("the object is named {}, the path names {name}", draft.name);
            return Err(StoreError::Invalid(problem));
        }
        let current = self.current(collection, name).ok_or(StoreError::NotFound)?;
        if draft.revision.is_some_and(|rev| rev != current.revision) {
            return Err(StoreError::Conflict);
        }
        Ok(self.put(collection, draft, write))
    }

    /// Deletes an object. If a version is given, it must match the current one.
    pub(crate) fn delete(
        &mut self,
        collection: &Collection,
        name: &str,
        expected: Option<u64>,
        write: Write,
    ) -> Result<Arc<StoredObject>, StoreError> {
        let current = self.current(collection, name).ok_or(StoreError::NotFound)?;
        if expected.is_some_and(|expected| expected != current.revision) {
            return Err(StoreError::Conflict);
        }
        let before = Arc::clone(current);
        self.revision += 1;
        let object = serde_json::from_str(&before.json).unwrap_or_default();
        let draft = Draft::parse(object)?;
        let deleted = Arc::new(draft.store(collection, self.revision));
        let collection = self.collection(collection);
        if let Some(objects) = self.collections.get_mut(&collection) {
            objects.remove(name);
        }
        self.record(Change {
            revision: self.revision,
            at: write.at,
            collection,
            before: Some(before),
            after: None,
            deleted: Some(Arc::clone(&deleted)),
            hidden: write.hidden,
        });
        Ok(deleted)
    }

    fn current(&self, collection: &Collection, name: &str) -> Option<&Arc<StoredObject>> {
        self.collections.get(collection)?.get(name)
    }

    fn put(&mut self, collection: &Collection, draft: Draft, write: Write) -> Arc<StoredObject> {
        self.revision += 1;
        let name = draft.name.clone();
        let object = Arc::new(draft.store(collection, self.revision));
        let collection = self.collection(collection);
        let objects = self.collections.entry(Arc::clone(&collection)).or_default();
        let before = objects.insert(name, Arc::clone(&object));
        self.record(Change {
            revision: self.revision,
            at: write.at,
            collection,
            before,
            after: Some(Arc::clone(&object)),
            deleted: None,
            hidden: write.hidden,
        });
        object
    }

    fn record(&mut self, change: Change) {
        self.history.push_back(change);
        if self.history.len() > self.history_bound
            && let Some(forgotten) = self.history.pop_front()
        {
            self.oldest = forgotten.revision;
        }
    }

    fn collection(&self, collection: &Collection) -> Arc<Collection> {
        match self.collections.get_key_value(collection) {
            Some((key, _)) => Arc::clone(key),
            None => Arc::new(collection.clone()),
        }
    }

    fn objects_at(
        &self,
        collection: &Collection,
        revision: u64,
    ) -> Result<BTreeMap<String, Arc<StoredObject>>, StoreError> {
        let mut objects = self
            .collections
            .get(collection)
            .cloned()
            .unwrap_or_default();
        for change in self.changes_after(collection, revision)?.rev() {
            match &change.before {
                Some(before) => objects.insert(before.name.clone(), Arc::clone(before)),
                None => objects.remove(change.name()),
            };
        }
        Ok(objects)
    }
}

/// The time of a write, and whether watches omit it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Write {
    pub(crate) at: Instant,
    pub(crate) hidden: bool,
}

impl Change {
    /// Returns the name of the changed object.
    pub(crate) fn name(&self) -> &str {
        let object = self.after.as_ref().or(self.before.as_ref());
        object.map_or("", |object| &object.name)
    }
}

/// A parsed object from a client, not yet stored.
struct Draft {
    name: String,
    /// The version that the stored object is expected to have.
    revision: Option<u64>,
    labels: Vec<(String, String)>,
    object: Map<String, Value>,
}

impl Draft {
    fn parse(object: Value) -> Result<Self, StoreError> {
        let invalid = |problem: &str| StoreError::Invalid(problem.to_owned());
        let Value::Object(object) = object else {
            return Err(invalid("the body is not a JSON object"));
        };
        let metadata = object.get("metadata");
        let field = |name: &str| metadata.and_then(|metadata| metadata.get(name));
        let name = field("name").and_then(Value::as_str).unwrap_or_default();
        if name.is_empty() || name.contains('/') {
            return Err(invalid("metadata.name is missing or malformed"));
        }
        let revision = match field("resourceVersion").and_then(Value::as_str) {
            None | Some("") => None,
            Some(text) => {
                let parsed = text.parse();
                Some(parsed.map_err(|_err| invalid("metadata.resourceVersion is malformed"))?)
            }
        };
        let labels = match field("labels") {
            Some(Value::Object(labels)) => labels
                .iter()
                .filter_map(|(key, value)| Some((key.clone(), value.as_str()?.to_owned())))
                .collect(),
            _ => Vec::new(),
        };
        Ok(Self {
            name: name.to_owned(),
            revision,
            labels,
            object,
        })
    }

    fn store(mut self, collection: &Collection, revision: u64) -> StoredObject {
        let api_version = collection.api_version();
        self.object
            .entry("apiVersion")
            .or_insert_with(|| json!(api_version));
        let metadata = self.object.entry("metadata").or_insert_with(|| json!({}));
        metadata["resourceVersion"] = json!(revision.to_string());
        metadata["namespace"] = json!(collection.namespace);
        let metadata_json = json!({
            "apiVersion": "meta.k8s.io/v1",
            "kind": "PartialObjectMetadata",
            "metadata": metadata,
        })
        .to_string();
        StoredObject {
            name: self.name,
            revision,
            labels: self.labels,
            json: Value::Object(self.object).to_string(),
            metadata_json,
        }
    }
}

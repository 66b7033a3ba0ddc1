//! Converts objects and patches to the text of their fields.

use chervilshunt_model::{
    Adapter, AdapterPatch, Fencing, Lifecycle, Priority, PriorityChoice, PriorityPatch, Service,
    ServiceKind, ServicePatch, Site, SitePatch, StoreName, Target, TargetPatch, Version,
    WeightStore, WeightStorePatch,
};

use super::specs::{DRAINING, NONE};

/// The text of one field of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldText {
    /// The name of the field.
    pub field: &'static str,
    /// The text of its value; `None` if the object has no value for it.
    pub text: Option<String>,
}

/// An object or patch whose fields can be written as text.
pub trait FieldTexts {
    /// Returns the texts of the fields, in the order in which they are printed.
    fn field_texts(&self) -> Vec<FieldText>;
}

fn some(field: &'static str, value: impl ToString) -> FieldText {
    FieldText {
        field,
        text: Some(value.to_string()),
    }
}

fn none(field: &'static str) -> FieldText {
    FieldText { field, text: None }
}

/// Collects the fields that a patch sets.
#[derive(Default)]
struct PatchTexts(Vec<FieldText>);

impl PatchTexts {
    fn add<T: ToString>(mut self, field: &'static str, value: &Option<T>) -> Self {
        if let Some(value) = value {
            self.0.push(some(field, value.to_string()));
        }
        self
    }
}

impl FieldTexts for Adapter {
    fn field_texts(&self) -> Vec<FieldText> {
        vec![
            some("service", &self.service),
            FieldText {
                field: "priority",
                text: self.priority.as_ref().map(ToString::to_string),
            },
        ]
    }
}

impl FieldTexts for AdapterPatch {
    fn field_texts(&self) -> Vec<FieldText> {
        let priority = self.priority.as_ref().map(|priority| match priority {
            PriorityChoice::Own(name) => name.as_str(),
            PriorityChoice::OfService => NONE,
        });
        PatchTexts::default().add("priority", &priority).0
    }
}

impl FieldTexts for Version {
    fn field_texts(&self) -> Vec<FieldText> {
        vec![some("source", &self.source)]
    }
}

impl FieldTexts for Service {
    fn field_texts(&self) -> Vec<FieldText> {
        let (kind, base_model) = match &self.kind {
            ServiceKind::Engine { base_model } => ("engine", some("base_model", base_model)),
            ServiceKind::Plain => ("plain", none("base_model")),
        };
        vec![
            some("kind", kind),
            base_model,
            some("priority", &self.priority),
            some("idempotent", self.idempotent),
            some("deadline_ms", self.deadline_ms),
        ]
    }
}

impl FieldTexts for ServicePatch {
    fn field_texts(&self) -> Vec<FieldText> {
        PatchTexts::default()
            .add("priority", &self.priority)
            .add("idempotent", &self.idempotent)
            .add("deadline_ms", &self.deadline_ms)
            .0
    }
}

impl FieldTexts for Target {
    fn field_texts(&self) -> Vec<FieldText> {
        vec![
            some("service", &self.service),
            some("address", self.address),
            some("zone", &self.zone),
            some("site", &self.site),
            FieldText {
                field: "store",
                text: (!self.store.as_str().is_empty()).then(|| self.store.to_string()),
            },
            some("slots", self.slots),
            some("max_batch", self.max_batch),
            some("fencing", fencing(self.fencing)),
            some("lifecycle", lifecycle(self.lifecycle)),
            some("idle_watts", self.idle_watts),
            some("watts_per_sequence", self.watts_per_sequence),
        ]
    }
}

impl FieldTexts for TargetPatch {
    fn field_texts(&self) -> Vec<FieldText> {
        PatchTexts::default()
            .add("address", &self.address)
            .add("zone", &self.zone)
            .add("site", &self.site)
            .add("store", &self.store.as_ref().map(store))
            .add("slots", &self.slots)
            .add("max_batch", &self.max_batch)
            .add("fencing", &self.fencing.map(fencing))
            .add("lifecycle", &self.lifecycle.map(lifecycle))
            .add("idle_watts", &self.idle_watts)
            .add("watts_per_sequence", &self.watts_per_sequence)
            .0
    }
}

impl FieldTexts for Priority {
    fn field_texts(&self) -> Vec<FieldText> {
        vec![some("class", self.class), some("weight", self.weight)]
    }
}

impl FieldTexts for PriorityPatch {
    fn field_texts(&self) -> Vec<FieldText> {
        PatchTexts::default()
            .add("class", &self.class)
            .add("weight", &self.weight)
            .0
    }
}

impl FieldTexts for Site {
    fn field_texts(&self) -> Vec<FieldText> {
        vec![some("cap_watts", self.cap_watts)]
    }
}

impl FieldTexts for SitePatch {
    fn field_texts(&self) -> Vec<FieldText> {
        PatchTexts::default().add("cap_watts", &self.cap_watts).0
    }
}

impl FieldTexts for WeightStore {
    fn field_texts(&self) -> Vec<FieldText> {
        vec![
            some("concurrency", self.concurrency),
            some("loads_per_second", self.loads_per_second),
        ]
    }
}

impl FieldTexts for WeightStorePatch {
    fn field_texts(&self) -> Vec<FieldText> {
        PatchTexts::default()
            .add("concurrency", &self.concurrency)
            .add("loads_per_second", &self.loads_per_second)
            .0
    }
}

const fn fencing(fencing: Fencing) -> &'static str {
    match fencing {
        Fencing::Checks => "checks",
        Fencing::Ignores => "ignores",
    }
}

const fn lifecycle(lifecycle: Lifecycle) -> &'static str {
    match lifecycle {
        Lifecycle::Active => "active",
        Lifecycle::Draining => DRAINING,
    }
}

fn store(store: &StoreName) -> &str {
    match store.as_str() {
        "" => NONE,
        name => name,
    }
}

//! Converts parsed assignments to objects and patches.

use std::str::FromStr;
use std::sync::Arc;

use chervilshunt_model::{
    Adapter, AdapterPatch, Class, Fencing, Lifecycle, ObjectKind, Priority, PriorityChoice,
    PriorityName, PriorityPatch, Service, ServiceKind, ServicePatch, Site, SitePatch, StoreName,
    Target, TargetPatch, Version, VersionMap, WeightStore, WeightStorePatch,
};
use chumsky::span::Span as _;

use super::specs::{self, DRAINING, FieldSpec, NONE};
use crate::error::QueryError;
use crate::syntax::Assignment;

/// Reads the assignments of one change as an object or patch, and records errors in them.
pub(crate) struct Reader<'a> {
    text: &'a str,
    kind: ObjectKind,
    assignments: Vec<Assignment>,
    end: usize,
    errors: &'a mut Vec<QueryError>,
}

impl<'a> Reader<'a> {
    /// Creates a reader for the assignments of a change that ends at byte `end` of the text.
    pub(crate) fn new(
        text: &'a str,
        kind: ObjectKind,
        assignments: Vec<Assignment>,
        end: usize,
        errors: &'a mut Vec<QueryError>,
    ) -> Self {
        Self {
            text,
            kind,
            assignments,
            end,
            errors,
        }
    }

    /// Records an error for each field that is unknown, given twice, or not settable if
    /// `settable_only`.
    pub(crate) fn check_names(&mut self, settable_only: bool) {
        let specs = specs::of(self.kind);
        let known: Vec<_> = specs
            .iter()
            .filter(|spec| spec.settable || !settable_only)
            .map(|spec| spec.name)
            .collect();
        for (index, assignment) in self.assignments.iter().enumerate() {
            let (name, span) = &assignment.field;
            let span = span.start()..span.end();
            let expected = || known.iter().map(ToString::to_string).collect();
            let earlier = &self.assignments[..index];
            let hint = if !specs.iter().any(|spec| spec.name == name) {
                Some(format!("{} has no field {name}", self.kind))
            } else if !known.contains(&name.as_str()) {
                Some(format!(
                    "{name} is fixed when the {} is created; delete it and create another",
                    self.kind
                ))
            } else if earlier.iter().any(|other| other.field.0 == *name) {
                Some(format!("{name} is given twice"))
            } else {
                None
            };
            if let Some(hint) = hint {
                let error = QueryError::at(self.text, span, expected(), Some(hint));
                self.errors.push(error);
            }
        }
    }

    pub(crate) fn adapter(&mut self) -> Option<Adapter> {
        let service = self.required("service", name);
        let priority = self.required("priority", priority_choice);
        Some(Adapter {
            service: service?,
            priority: match priority? {
                PriorityChoice::Own(priority) => Some(priority),
                PriorityChoice::OfService => None,
            },
            versions: VersionMap::new(),
        })
    }

    pub(crate) fn adapter_patch(&mut self) -> Option<AdapterPatch> {
        Some(AdapterPatch {
            priority: self.given("priority", priority_choice),
        })
    }

    pub(crate) fn version(&mut self) -> Option<Version> {
        let source = self.required("source", text);
        Some(Version { source: source? })
    }

    pub(crate) fn service(&mut self) -> Option<Service> {
        let is_engine = self.required("kind", |value| match value {
            "engine" => Some(true),
            "plain" => Some(false),
            _ => None,
        });
        let base_model = match is_engine {
            Some(true) => self.required("base_model", text),
            Some(false) => self.no_base_model(),
            None => None,
        };
        let priority = self.required("priority", name);
        let idempotent = self.required("idempotent", number);
        let deadline_ms = self.required("deadline_ms", number);
        let base_model = base_model?;
        Some(Service {
            kind: match is_engine? {
                true => ServiceKind::Engine { base_model },
                false => ServiceKind::Plain,
            },
            priority: priority?,
            idempotent: idempotent?,
            deadline_ms: deadline_ms?,
        })
    }

    /// Records an error if a base model is given for a plain service.
    fn no_base_model(&mut self) -> Option<Arc<str>> {
        let given = self.assignment("base_model");
        if let Some((_, value_span)) = given {
            let hint = "a service of kind plain has no base model; leave it out".to_owned();
            let error = QueryError::at(self.text, value_span, Vec::new(), Some(hint));
            self.errors.push(error);
        }
        Some("".into())
    }

    pub(crate) fn service_patch(&mut self) -> Option<ServicePatch> {
        Some(ServicePatch {
            priority: self.given("priority", name),
            idempotent: self.given("idempotent", number),
            deadline_ms: self.given("deadline_ms", number),
        })
    }

    pub(crate) fn target(&mut self) -> Option<Target> {
        let service = self.required("service", name);
        let address = self.required("address", number);
        let zone = self.required("zone", name);
        let site = self.required("site", name);
        let store = self.required("store", store);
        let slots = self.required("slots", number);
        let max_batch = self.required("max_batch", number);
        let fencing = self.required("fencing", fencing);
        let lifecycle = self.required("lifecycle", lifecycle);
        let idle_watts = self.required("idle_watts", finite);
        let watts_per_sequence = self.required("watts_per_sequence", finite);
        Some(Target {
            service: service?,
            address: address?,
            zone: zone?,
            site: site?,
            store: store?,
            slots: slots?,
            max_batch: max_batch?,
            fencing: fencing?,
            lifecycle: lifecycle?,
            idle_watts: idle_watts?,
            watts_per_sequence: watts_per_sequence?,
        })
    }

    pub(crate) fn target_patch(&mut self) -> Option<TargetPatch> {
        Some(TargetPatch {
            address: self.given("address", number),
            zone: self.given("zone", name),
            site: self.given("site", name),
            store: self.given("store", store),
            slots: self.given("slots", number),
            max_batch: self.given("max_batch", number),
            fencing: self.given("fencing", fencing),
            lifecycle: self.given("lifecycle", lifecycle),
            idle_watts: self.given("idle_watts", finite),
            watts_per_sequence: self.given("watts_per_sequence", finite),
        })
    }

    pub(crate) fn priority(&mut self) -> Option<Priority> {
        let class = self.required("class", class);
        let weight = self.required("weight", number);
        Some(Priority {
            class: class?,
            weight: weight?,
        })
    }

    pub(crate) fn priority_patch(&mut self) -> Option<PriorityPatch> {
        Some(PriorityPatch {
            class: self.given("class", class),
            weight: self.given("weight", number),
        })
    }

    pub(crate) fn site(&mut self) -> Option<Site> {
        let cap_watts = self.required("cap_watts", finite);
        Some(Site {
            cap_watts: cap_watts?,
        })
    }

    pub(crate) fn site_patch(&mut self) -> Option<SitePatch> {
        Some(SitePatch {
            cap_watts: self.given("cap_watts", finite),
        })
    }

    pub(crate) fn store(&mut self) -> Option<WeightStore> {
        let concurrency = self.required("concurrency", number);
        let loads_per_second = self.required("loads_per_second", finite);
        Some(WeightStore {
            concurrency: concurrency?,
            loads_per_second: loads_per_second?,
        })
    }

    pub(crate) fn store_patch(&mut self) -> Option<WeightStorePatch> {
        Some(WeightStorePatch {
            concurrency: self.given("concurrency", number),
            loads_per_second: self.given("loads_per_second", finite),
        })
    }

    /// Reads a field, or its default; records an error if it is missing without a default or
    /// invalid.
    fn required<T>(&mut self, field: &str, parse: fn(&str) -> Option<T>) -> Option<T> {
        if self.assignment(field).is_some() {
            return self.given(field, parse);
        }
        let spec = self.spec(field);
        let value = spec.default.and_then(parse);
        if value.is_none() {
            let expected = vec![format!("{}=VALUE", spec.name)];
            let hint = format!("{} is required: {}", spec.name, spec.allowed);
            let error = QueryError::at(self.text, self.end..self.end, expected, Some(hint));
            self.errors.push(error);
        }
        value
    }

    /// Reads a field if it is given; records an error if its value is invalid.
    fn given<T>(&mut self, field: &str, parse: fn(&str) -> Option<T>) -> Option<T> {
        let (value, span) = self.assignment(field)?;
        let parsed = parse(&value);
        if parsed.is_none() {
            let spec = self.spec(field);
            let expected = vec![spec.allowed.to_owned()];
            let hint = format!("{value:?} is not a valid value of {}", spec.name);
            let error = QueryError::at(self.text, span, expected, Some(hint));
            self.errors.push(error);
        }
        parsed
    }

    fn assignment(&self, field: &str) -> Option<(String, std::ops::Range<usize>)> {
        let assignment = self
            .assignments
            .iter()
            .find(|assignment| assignment.field.0 == field)?;
        let (value, span) = &assignment.value;
        Some((value.clone(), span.start()..span.end()))
    }

    fn spec(&self, field: &str) -> &'static FieldSpec {
        specs::of(self.kind)
            .iter()
            .find(|spec| spec.name == field)
            .expect("every field that is read is in the table of fields")
    }
}

fn name<T: for<'a> From<&'a str>>(value: &str) -> Option<T> {
    (!value.is_empty()).then(|| T::from(value))
}

fn text(value: &str) -> Option<Arc<str>> {
    (!value.is_empty()).then(|| value.into())
}

fn number<T: FromStr>(value: &str) -> Option<T> {
    value.parse().ok()
}

fn finite(value: &str) -> Option<f64> {
    number(value).filter(|number: &f64| number.is_finite())
}

fn priority_choice(value: &str) -> Option<PriorityChoice> {
    match value {
        "" => None,
        NONE => Some(PriorityChoice::OfService),
        own => Some(PriorityChoice::Own(PriorityName::new(own))),
    }
}

/// Parses the name of a weight store; the name is empty for a target of a plain service, which has
/// no store.
fn store(value: &str) -> Option<StoreName> {
    match value {
        "" => None,
        NONE => Some(StoreName::new("")),
        store => Some(StoreName::new(store)),
    }
}

fn fencing(value: &str) -> Option<Fencing> {
    match value {
        "checks" => Some(Fencing::Checks),
        "ignores" => Some(Fencing::Ignores),
        _ => None,
    }
}

fn lifecycle(value: &str) -> Option<Lifecycle> {
    match value {
        "active" => Some(Lifecycle::Active),
        DRAINING => Some(Lifecycle::Draining),
        _ => None,
    }
}

fn class(value: &str) -> Option<Class> {
    [Class::Live, Class::Deferrable]
        .into_iter()
        .find(|class| class.as_str() == value)
}

//! The table of fields: the allowed values of each, its default, and whether `set` may change it.

use chervilshunt_model::ObjectKind;

/// The value of a field that refers to no object.
pub(crate) const NONE: &str = "none";

/// The value of `lifecycle` for a target that takes no new work.
pub(crate) const DRAINING: &str = "draining";

/// A field of a kind of object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FieldSpec {
    /// The name in the language.
    pub name: &'static str,
    /// The allowed values, described for operators.
    pub allowed: &'static str,
    /// The value that `create` uses if none is given; a field without a default is required.
    pub default: Option<&'static str>,
    /// Whether `set` may change it.
    pub settable: bool,
}

const fn required(name: &'static str, allowed: &'static str) -> FieldSpec {
    FieldSpec {
        name,
        allowed,
        default: None,
        settable: true,
    }
}

const fn optional(name: &'static str, allowed: &'static str, default: &'static str) -> FieldSpec {
    FieldSpec {
        name,
        allowed,
        default: Some(default),
        settable: true,
    }
}

impl FieldSpec {
    const fn fixed(self) -> Self {
        Self {
            settable: false,
            ..self
        }
    }
}

const NAME_OF_SERVICE: &str = "the name of a service";
const NAME_OF_PRIORITY: &str = "the name of a priority";
const WATTS: &str = "watts, at least 0";
const COUNT: &str = "a whole number, at least 1";

const ADAPTER: &[FieldSpec] = &[
    required("service", NAME_OF_SERVICE).fixed(),
    optional(
        "priority",
        "the name of a priority, or none for the service's",
        NONE,
    ),
];

const VERSION: &[FieldSpec] = &[required("source", "where the weight store keeps it").fixed()];

const SERVICE: &[FieldSpec] = &[
    optional("kind", "engine or plain", "engine").fixed(),
    optional(
        "base_model",
        "the base model's name at the engines; required for kind=engine",
        "",
    )
    .fixed(),
    required("priority", NAME_OF_PRIORITY),
    optional("idempotent", "true or false", "false"),
    optional(
        "deadline_ms",
        "milliseconds, a whole number, at least 1",
        "60000",
    ),
];

const TARGET: &[FieldSpec] = &[
    required("service", NAME_OF_SERVICE).fixed(),
    required("address", "IP:PORT"),
    required("zone", "the name of an availability zone"),
    required("site", "the name of a site"),
    optional(
        "store",
        "the name of a weight store; required for a target of an engine service",
        NONE,
    ),
    optional(
        "slots",
        "a whole number; at least 1 for a target of an engine service, 0 for others",
        "0",
    ),
    required("max_batch", COUNT),
    optional("fencing", "checks or ignores", "ignores"),
    optional("lifecycle", "active or draining", "active"),
    optional("idle_watts", WATTS, "0"),
    optional("watts_per_sequence", WATTS, "0"),
];

const PRIORITY: &[FieldSpec] = &[
    required("class", "live or deferrable"),
    optional("weight", COUNT, "1"),
];

const SITE: &[FieldSpec] = &[required("cap_watts", "watts, above 0")];

const STORE: &[FieldSpec] = &[
    required("concurrency", COUNT),
    required("loads_per_second", "a number above 0"),
];

/// Returns the fields of a kind, in the order in which they are printed.
pub(crate) const fn of(kind: ObjectKind) -> &'static [FieldSpec] {
    match kind {
        ObjectKind::Adapter => ADAPTER,
        ObjectKind::Version => VERSION,
        ObjectKind::Service => SERVICE,
        ObjectKind::Target => TARGET,
        ObjectKind::Priority => PRIORITY,
        ObjectKind::Site => SITE,
        ObjectKind::Store => STORE,
    }
}

//! The table of keys: the purpose, default and allowed values of each.
//!
//! Validation, error texts and the file of defaults all use this table, so that they agree.

/// A section of the file.
#[derive(Debug)]
pub(crate) struct Section {
    pub(crate) name: &'static str,
    pub(crate) comment: &'static str,
    pub(crate) keys: &'static [Key],
}

/// A key of a section.
#[derive(Debug)]
pub(crate) struct Key {
    pub(crate) name: &'static str,
    pub(crate) comment: &'static str,
    pub(crate) shape: Shape,
}

/// The type, bounds and default of a key's value.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Shape {
    /// A required name; the file of defaults shows the example.
    RequiredName { example: &'static str },
    /// A name with a default.
    Name { default: &'static str },
    /// A required `IP:PORT`; the file of defaults shows the example.
    RequiredAddress { example: &'static str },
    /// An optional `IP:PORT`.
    OptionalAddress,
    /// An integer within bounds, both included.
    Integer {
        default: u64,
        min: u64,
        max: u64,
        unit: &'static str,
    },
    /// A number within bounds, both included.
    Number { default: f64, min: f64, max: f64 },
    /// One of a fixed set of words.
    Word {
        default: &'static str,
        words: &'static [&'static str],
    },
}

impl Shape {
    /// Describes the allowed values for operators.
    pub(crate) fn allowed(self) -> String {
        match self {
            Self::RequiredName { .. } | Self::Name { .. } => {
                format!("a text of 1 to {MAX_NAME_LEN} letters, digits, '-', '_' or '.'")
            }
            Self::RequiredAddress { .. } => {
                "a text \"IP:PORT\" or \"[IPv6]:PORT\", such as \"10.0.0.7:8080\"".to_owned()
            }
            Self::OptionalAddress => {
                "null, or a text \"IP:PORT\" or \"[IPv6]:PORT\" with a port above 0".to_owned()
            }
            Self::Integer { min, max, unit, .. } => {
                format!("a whole number from {min} to {max}{unit}")
            }
            Self::Number { min, max, .. } => format!("a number from {min} to {max}"),
            Self::Word { words, .. } => {
                let quoted: Vec<_> = words.iter().map(|word| format!("\"{word}\"")).collect();
                format!("one of {}", quoted.join(", "))
            }
        }
    }

    /// Returns the default, or the example of a required key, as JSON.
    pub(crate) fn default_json(self) -> String {
        match self {
            Self::RequiredName { example: text }
            | Self::RequiredAddress { example: text }
            | Self::Name { default: text }
            | Self::Word { default: text, .. } => format!("\"{text}\""),
            Self::OptionalAddress => "null".to_owned(),
            Self::Integer { default, .. } => default.to_string(),
            Self::Number { default, .. } => format!("{default:?}"),
        }
    }

    /// Returns whether the key is required.
    pub(crate) const fn required(self) -> bool {
        matches!(
            self,
            Self::RequiredName { .. } | Self::RequiredAddress { .. }
        )
    }
}

/// The maximum length of a name in bytes, which is that of the name of a Kubernetes object.
pub(crate) const MAX_NAME_LEN: usize = 253;

const MS: &str = " (milliseconds)";
const BYTES: &str = " (bytes)";
const COUNT: &str = "";

const fn key(name: &'static str, comment: &'static str, shape: Shape) -> Key {
    Key {
        name,
        comment,
        shape,
    }
}

const fn integer(default: u64, min: u64, max: u64, unit: &'static str) -> Shape {
    Shape::Integer {
        default,
        min,
        max,
        unit,
    }
}

const fn number(default: f64, min: f64, max: f64) -> Shape {
    Shape::Number { default, min, max }
}

/// All sections, in the order in which they are printed.
pub(crate) const SECTIONS: &[Section] = &[
    Section {
        name: "instance",
        comment: "The identity and location of this instance.",
        keys: &[
            key(
                "id",
                "Unlike that of any other instance; the instance list calls it by this name.",
                Shape::RequiredName { example: "entry-1" },
            ),
            key(
                "zone",
                "The availability zone.",
                Shape::RequiredName { example: "zone-a" },
            ),
            key(
                "region",
                "The region that the availability zone belongs to.",
                Shape::RequiredName {
                    example: "region-1",
                },
            ),
        ],
    },
    Section {
        name: "addresses",
        comment: "Where this instance listens. Port 0 takes any free port.",
        keys: &[
            key(
                "callers",
                "Requests of callers: HTTP/1.1 and HTTP/2.",
                Shape::RequiredAddress {
                    example: "127.0.0.1:8080",
                },
            ),
            key(
                "peers",
                "Other instances. Open it to them only.",
                Shape::RequiredAddress {
                    example: "127.0.0.1:8081",
                },
            ),
            key(
                "operators",
                "Statements, /metrics, /healthz and /readyz. Open it to operators only.",
                Shape::RequiredAddress {
                    example: "127.0.0.1:8082",
                },
            ),
        ],
    },
    Section {
        name: "advertise",
        comment: "Addresses that others use to connect, where they can't use the ones above.",
        keys: &[key(
            "peers",
            "Where other instances connect; null is addresses.peers.",
            Shape::OptionalAddress,
        )],
    },
    Section {
        name: "platform",
        comment: "The platform's object service, which stores all persistent state.",
        keys: &[
            key(
                "address",
                "Where it listens.",
                Shape::RequiredAddress {
                    example: "127.0.0.1:6443",
                },
            ),
            key(
                "namespace",
                "The namespace of this deployment's objects.",
                Shape::Name {
                    default: "chervilshunt",
                },
            ),
            key(
                "timeout_ms",
                "How long a call may take; then its outcome counts as unknown and is read back.",
                integer(2_000, 50, 60_000, MS),
            ),
            key(
                "calls_per_second",
                "The most calls that this instance makes; a waiting watch counts as one.",
                number(20.0, 1.0, 1_000.0),
            ),
        ],
    },
    Section {
        name: "limits",
        comment: "Bounds on what callers may use.",
        keys: &[
            key(
                "body_bytes",
                "The longest body of a request; a longer one gets 413.",
                integer(1_048_576, 1_024, 67_108_864, BYTES),
            ),
            key(
                "header_bytes",
                "The longest head of a request; a longer one gets 431.",
                integer(8_192, 8_192, 1_048_576, BYTES),
            ),
            key(
                "header_timeout_ms",
                "How long the head of a request may take to arrive.",
                integer(5_000, 100, 120_000, MS),
            ),
            key(
                "body_timeout_ms",
                "How long the body of a request may take to arrive; then the caller gets 408.",
                integer(10_000, 100, 600_000, MS),
            ),
            key(
                "open_requests",
                "The most requests open at a time; one more gets 429 and Retry-After.",
                integer(2_000, 1, 1_000_000, COUNT),
            ),
            key(
                "queue_live",
                "The most live requests that wait for one target.",
                integer(64, 1, 100_000, COUNT),
            ),
            key(
                "queue_deferrable",
                "The most deferrable requests that wait for one target.",
                integer(512, 1, 100_000, COUNT),
            ),
            key(
                "stream_buffer_bytes",
                "The most of an answer that is held for a slow caller; then the target waits.",
                integer(8_192, 1_024, 1_048_576, BYTES),
            ),
            key(
                "shutdown_ms",
                "How long a graceful shutdown waits for open streams before it cuts them.",
                integer(600_000, 0, 86_400_000, MS),
            ),
            key(
                "retry_budget_ratio",
                "The most retries, as a share of first tries.",
                number(0.1, 0.0, 1.0),
            ),
            key(
                "permit_window_ms",
                "The time within which a permit has to be used.",
                integer(1_000, 50, 10_000, MS),
            ),
        ],
    },
    Section {
        name: "lease",
        comment: "The lease that this instance renews to show that it is alive. Equal on all instances.",
        keys: &[
            key(
                "duration_ms",
                "How long after its last renewal others take its roles over.",
                integer(15_000, 500, 300_000, MS),
            ),
            key(
                "renew_ms",
                "How often it is renewed; two renewals and the margin fit into the duration.",
                integer(5_000, 50, 100_000, MS),
            ),
            key(
                "margin_ms",
                "How much earlier than its end the holder stops giving orders.",
                integer(1_500, 10, 60_000, MS),
            ),
        ],
    },
    Section {
        name: "policy",
        comment: "Weights of the scheduling policy; only their ratio counts. Equal on all instances.",
        keys: &[
            key(
                "load_stalls",
                "Weight of requests that wait on an adapter load.",
                number(1.0, 0.0, 1_000.0),
            ),
            key(
                "batch_efficiency",
                "Weight of useful work in each engine step under the power cap.",
                number(1.0, 0.0, 1_000.0),
            ),
        ],
    },
    Section {
        name: "outage",
        comment: "Behaviour while the platform is unreachable.",
        keys: &[key(
            "keyed_requests",
            "A non-idempotent request with a key: \"refuse\" it at once, or \"queue\" it.",
            Shape::Word {
                default: "refuse",
                words: &["refuse", "queue"],
            },
        )],
    },
    Section {
        name: "runtime",
        comment: "Threads of the process.",
        keys: &[key(
            "traffic_threads",
            "Threads that carry traffic, beside the one for control state; 0 is one a core.",
            integer(0, 0, 1_024, COUNT),
        )],
    },
    Section {
        name: "log",
        comment: "JSON lines on standard output.",
        keys: &[key(
            "level",
            "The least severe level that is written; decisions are \"info\".",
            Shape::Word {
                default: "info",
                words: &["error", "warning", "info", "debug", "trace"],
            },
        )],
    },
];

/// Finds a section by its name.
pub(crate) fn find_section(name: &str) -> Option<&'static Section> {
    SECTIONS.iter().find(|section| section.name == name)
}

/// Finds a key by its path, `section.key`.
pub(crate) fn find_key(path: &str) -> Option<&'static Key> {
    let (section, name) = path.split_once('.')?;
    find_section(section)?
        .keys
        .iter()
        .find(|key| key.name == name)
}

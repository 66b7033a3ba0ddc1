//! The weights by which a deployment says what it minds most.

use serde::{Deserialize, Serialize};

/// How much a deployment minds load stalls and how much it wants full batches.
///
/// Only their ratio counts. Kølvand weighs stalls more, Hollowell & Pike batches; see
/// `docs/design/placement.md`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyWeights {
    /// Weight of requests that wait on an adapter load.
    pub load_stalls: f64,
    /// Weight of useful work in each engine step.
    pub batch_efficiency: f64,
}

impl Default for PolicyWeights {
    fn default() -> Self {
        Self {
            load_stalls: 1.0,
            batch_efficiency: 1.0,
        }
    }
}

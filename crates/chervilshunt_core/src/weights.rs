//! Policy weights of a deployment.

use serde::{Deserialize, Serialize};

/// The relative importance of avoiding load stalls and of filling batches.
///
/// Only the ratio of the two counts. Kølvand gives more weight to stalls, Hollowell & Pike to
/// batches; see `docs/design/placement.md`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyWeights {
    /// Weight of avoiding requests that wait for an adapter load.
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

//! What a placer has learnt by trying, which the next one need not try anew.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a placer has learnt of the weight store and of the targets.
///
/// It takes a second or more of loads to learn, in which callers of cold adapters are refused; so it is
/// told to all instances, any of which may be the next placer. It is a beginning and no belief: where it
/// is wrong, the next rounds of loads show that as they showed it first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Learnt {
    /// How long a load from the weight store takes at full speed.
    #[serde(rename = "t")]
    pub load_time: Duration,
    /// How many loads the store serves at a time.
    #[serde(rename = "n")]
    pub loads_at_once: u32,
    /// How many adapters each target keeps in memory.
    #[serde(rename = "k")]
    pub kept_in_memory: u32,
}

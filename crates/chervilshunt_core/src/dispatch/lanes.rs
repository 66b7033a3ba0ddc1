//! Reserves targets for long prompts, when an instance selects targets itself or the placer has
//! observed paused streams (`residency/lanes.rs`).
//!
//! A target prefills a prompt in chunks between the decoding steps of its running requests. A
//! prompt of 7,000 tokens delays each of 15 concurrent streams by a fifth of a second or more, so
//! that all of them exceed the pause that their callers want kept. In a replay at low load, this
//! happened to 125 of 1,600 streams, nearly all next to such a prompt. On reserved targets, long
//! prompts share a target only with each other and with short answers.

use chervilshunt_model::TargetName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::facts::RequestSize;

/// The shortest prompt, in tokens, that is sent to the reserved targets. Two such prompts in a row
/// take 130 ms to prefill, which keeps the pause of a stream below 250 ms.
const LONG_PROMPT_TOKENS: u32 = 2_500;
/// The highest ratio of generated to prompt tokens at which a request counts as dominated by
/// prefill: one that generates for seconds would be delayed itself.
const MAX_OUTPUT_RATIO: f64 = 0.05;
/// The number of targets for each one that is reserved for long prompts. Such prompts take about an
/// eighth of the time of all targets where they are most frequent, and queue behind each other if
/// they take much more than half of a target's time.
const TARGETS_PER_RESERVED: usize = 6;
/// The smallest number of targets of which one can be reserved.
const MIN_TARGETS: usize = 4;

/// The kind of work that dominates a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lane {
    /// It mostly generates, or has a short prompt.
    #[default]
    General,
    /// It has a long prompt and generates little.
    LongPrompt,
}

impl Lane {
    /// Returns the lane of a request of the given size.
    pub fn of(size: RequestSize) -> Self {
        let generated = f64::from(size.output_tokens);
        let reads = generated <= f64::from(size.prompt_tokens) * MAX_OUTPUT_RATIO;
        if size.prompt_tokens >= LONG_PROMPT_TOKENS && reads {
            Self::LongPrompt
        } else {
            Self::General
        }
    }
}

/// Returns the targets reserved for long prompts, out of the targets of one service that take
/// requests.
///
/// They are the first ones in hash order, so that all instances that see the same targets agree
/// without communication, and adding or removing a target changes little.
pub fn long_prompt_targets<'a>(
    targets: impl IntoIterator<Item = &'a TargetName>,
) -> Vec<&'a TargetName> {
    let mut targets: Vec<&TargetName> = targets.into_iter().collect();
    if targets.len() < MIN_TARGETS {
        return Vec::new();
    }
    let kept = targets.len().div_ceil(TARGETS_PER_RESERVED);
    targets.sort_by_key(|name| xxh3_64(name.as_str().as_bytes()));
    targets.truncate(kept);
    targets
}

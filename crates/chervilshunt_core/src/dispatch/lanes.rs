//! Targets of their own for long prompts, where an instance chooses by itself or the placer has seen that
//! streams pause (`residency/lanes.rs`).
//!
//! A target reads a prompt in pieces between the tokens of all that it generates. A prompt of 7,000
//! tokens holds each of 15 streams beside it up for a fifth of a second and more, so that every one
//! of them misses the pause that its caller wants kept. Replayed on a calm load, 125 of 1,600
//! streams did, nearly all beside such a prompt. On targets of their own long prompts meet each
//! other and short answers only.

use chervilshunt_model::TargetName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::facts::RequestSize;

/// The shortest prompt, in tokens, that is kept apart. Two of them in a row take 130 ms to read,
/// which leaves a stream within a pause of 250 ms.
const LONG_PROMPT: u32 = 2_500;
/// The most tokens generated for one prompt token for which a request counts as reading rather than
/// generating: one that generates for seconds would be held up itself.
const READING_SHARE: f64 = 0.05;
/// Targets for each one that is kept for long prompts. Such prompts take about an eighth of the time
/// of all targets where they are most frequent, and wait for each other if they take much more than
/// half of a target's.
const TARGETS_A_LANE: usize = 6;
/// The fewest targets of which one can be spared.
const FEWEST_TARGETS: usize = 4;

/// What a request mostly makes a target do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lane {
    /// It generates, or reads little.
    #[default]
    General,
    /// It reads a long prompt and generates little.
    LongPrompt,
}

impl Lane {
    /// Returns the lane of a request of a size.
    pub fn of(size: RequestSize) -> Self {
        let generated = f64::from(size.output_tokens);
        let reads = generated <= f64::from(size.prompt_tokens) * READING_SHARE;
        if size.prompt_tokens >= LONG_PROMPT && reads {
            Self::LongPrompt
        } else {
            Self::General
        }
    }
}

/// Returns the targets that are kept for long prompts, of those of one service that take work.
///
/// They are the first in the order of a hash, so that all instances that see the same targets agree
/// without a message, and a target that comes or goes changes little.
pub fn long_prompt_targets<'a>(
    targets: impl IntoIterator<Item = &'a TargetName>,
) -> Vec<&'a TargetName> {
    let mut targets: Vec<&TargetName> = targets.into_iter().collect();
    if targets.len() < FEWEST_TARGETS {
        return Vec::new();
    }
    let kept = targets.len().div_ceil(TARGETS_A_LANE);
    targets.sort_by_key(|name| xxh3_64(name.as_str().as_bytes()));
    targets.truncate(kept);
    targets
}

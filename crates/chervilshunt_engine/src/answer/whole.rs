//! Validates a non-streaming answer.

use std::borrow::Cow;
use std::sync::Arc;

use serde::Deserialize;

use super::{AnswerSummary, Usage};
use crate::error::{EngineError, MalformedSnafu, WrongModelSnafu};

/// The members of a completion or chat completion that are validated.
#[derive(Deserialize)]
struct WholeAnswer<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    usage: Option<Usage>,
}

/// Validates that a non-streaming answer names `model`, and returns its summary.
pub(crate) fn check(body: &[u8], model: &Arc<str>) -> Result<AnswerSummary, EngineError> {
    let answer: WholeAnswer<'_> = match serde_json::from_slice(body) {
        Ok(answer) => answer,
        Err(err) => {
            return MalformedSnafu {
                problem: err.to_string(),
            }
            .fail();
        }
    };
    if answer.model != **model {
        return WrongModelSnafu {
            named: Arc::clone(model),
            served: answer.model,
        }
        .fail();
    }
    Ok(AnswerSummary {
        complete: true,
        events: 1,
        usage: answer.usage,
    })
}

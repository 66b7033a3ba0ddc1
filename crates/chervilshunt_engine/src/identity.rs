//! Whether an answer belongs to the request that was sent.
//!
//! A target may send a further or late answer, which is then read as the answer to the next request
//! on its connection. See `docs/design/answer-identity.md`.

use http::{HeaderMap, HeaderName, HeaderValue};

use crate::headers::ATTEMPT_ID;

/// The header in which a request states its id and its answer repeats it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdHeader {
    /// The name of the header.
    pub name: HeaderName,
    /// Whether every target repeats it. If so, an answer without it proves nothing on a connection
    /// that has carried another exchange. Otherwise this holds for the connections on which the
    /// target has repeated one.
    pub is_always_repeated: bool,
}

/// What a connection has carried before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum History {
    /// Nothing.
    New,
    /// Exchanges whose answers did not state the ids of their requests.
    Used,
    /// Exchanges, of which one at least had an answer that stated the id of its request.
    HasRepeatedId,
}

impl Default for IdHeader {
    /// The header of this system's own calls, which engines need not know.
    fn default() -> Self {
        Self {
            name: ATTEMPT_ID,
            is_always_repeated: false,
        }
    }
}

/// What shows that an answer belongs to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AnswerProof {
    /// It states the id of the request, and no other.
    OwnId,
    /// It states no id, and its connection was opened for the request, so that there is no other one
    /// that it could answer.
    NewConnection,
}

/// An answer that belongs to another request, or may: the ids that it states, if any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Mismatch(pub(crate) Option<String>);

impl IdHeader {
    /// Returns the id of a request.
    pub(crate) fn of<'a>(&self, headers: &'a HeaderMap) -> Option<&'a HeaderValue> {
        headers.get(&self.name)
    }

    /// Returns what shows that an answer belongs to the request with the id `sent`; `None` if
    /// nothing does, and nothing has to.
    pub(crate) fn verify(
        &self,
        sent: Option<&HeaderValue>,
        answer: &HeaderMap,
        history: History,
    ) -> Result<Option<AnswerProof>, Mismatch> {
        let stated: Vec<&HeaderValue> = answer.get_all(&self.name).iter().collect();
        if stated.is_empty() {
            return match (history, sent) {
                (History::New, _) => Ok(Some(AnswerProof::NewConnection)),
                (History::HasRepeatedId, Some(_)) => Err(Mismatch(None)),
                (History::Used, Some(_)) if self.is_always_repeated => Err(Mismatch(None)),
                (History::Used, Some(_)) | (History::Used | History::HasRepeatedId, None) => {
                    Ok(None)
                }
            };
        }
        if stated.iter().all(|it| Some(*it) == sent) {
            return Ok(Some(AnswerProof::OwnId));
        }
        let text = stated
            .iter()
            .map(|it| String::from_utf8_lossy(it.as_bytes()));
        Err(Mismatch(Some(text.collect::<Vec<_>>().join(", "))))
    }
}

#[cfg(test)]
mod tests;

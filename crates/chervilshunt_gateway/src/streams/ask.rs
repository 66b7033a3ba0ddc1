//! Finds where a stream began that its caller continues.

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_core::{StreamKey, StreamOrigin};
use chervilshunt_mesh::Peer;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;

use crate::peers::PeerMessage;
use crate::shared::Shared;

/// Timeout of a question to another instance. One that has used up its share of a processor answers at
/// most 0.1 s late.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Where a stream began, and how that was found.
#[derive(Debug)]
pub(crate) struct FoundOrigin {
    pub(crate) origin: StreamOrigin,
    pub(crate) by: FoundBy,
}

/// How it was found where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FoundBy {
    /// This instance began it, or has been told of it.
    OwnMemory,
    /// Another instance has answered.
    Asking,
    /// An instance has written it to the platform.
    Record,
}

impl FoundBy {
    /// Returns the name used in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::OwnMemory => "own_memory",
            Self::Asking => "asked",
            Self::Record => "record",
        }
    }
}

/// Why it is not known where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OriginError {
    /// No instance that was asked knows it.
    Unknown,
    /// Instances that may know it have not answered.
    Unanswered,
}

/// Finds where a stream began: from this instance's memory, by asking the instances that keep the
/// streams of others, or else from the records at the platform.
pub(crate) async fn find_origin(
    shared: &Arc<Shared>,
    key: StreamKey,
) -> Result<FoundOrigin, OriginError> {
    if let Some(found) = remembered(shared, key, FoundBy::OwnMemory) {
        return Ok(found);
    }
    let error = match ask_keepers(shared, key).await {
        Ok(origin) => {
            let by = FoundBy::Asking;
            return Ok(FoundOrigin { origin, by });
        }
        Err(error) => error,
    };
    if !shared.record_reader.read().await {
        return Err(OriginError::Unanswered);
    }
    remembered(shared, key, FoundBy::Record).ok_or(error)
}

fn remembered(shared: &Shared, key: StreamKey, by: FoundBy) -> Option<FoundOrigin> {
    let origins = shared.streams.origins();
    let origin = origins.origin(key, shared.clock.now()).cloned();
    origin.map(|origin| FoundOrigin { origin, by })
}

/// Asks all keepers at the same time; the first one that knows decides.
async fn ask_keepers(shared: &Arc<Shared>, key: StreamKey) -> Result<StreamOrigin, OriginError> {
    let keepers = shared.stream_keepers.others(&shared.settings.instance.id);
    let mut answers: FuturesUnordered<_> = keepers.iter().map(|it| ask(shared, it, key)).collect();
    let mut error = if keepers.is_empty() {
        OriginError::Unanswered
    } else {
        OriginError::Unknown
    };
    while let Some(answer) = answers.next().await {
        match answer {
            Ok(Some(origin)) => return Ok(origin),
            Ok(None) => {}
            Err(Unanswered) => error = OriginError::Unanswered,
        }
    }
    Err(error)
}

/// No answer came from an instance.
struct Unanswered;

async fn ask(
    shared: &Shared,
    keeper: &Peer,
    key: StreamKey,
) -> Result<Option<StreamOrigin>, Unanswered> {
    let message = PeerMessage::StreamOriginRequest(key);
    match shared.mesh.request(keeper, message, ANSWER_TIMEOUT).await {
        Ok(PeerMessage::StreamOriginAnswer(origin)) => Ok(origin),
        // An older version does not know the message.
        Ok(_) => Err(Unanswered),
        Err(error) => {
            slog::info!(shared.log, "origin of a stream not asked";
                "peer" => keeper.instance.as_str(), "reason" => error.to_string());
            Err(Unanswered)
        }
    }
}

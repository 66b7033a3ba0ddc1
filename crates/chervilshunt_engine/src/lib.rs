//! Clients of model engines and plain services.
//!
//! Each call is sent at most once, and each failure states whether the call may have run. Engines'
//! answers are validated for the model that served them before a caller receives them. See
//! `docs/design/engine-client.md` and `docs/operators/targets.md`.

mod answer;
mod call;
mod client;
mod connection;
mod engines;
mod error;
mod headers;
mod identity;
mod orders;
mod pool;
mod prometheus;
mod reports;

pub use answer::{
    Answer, AnswerBody, AnswerSummary, BodyReader, EventScanner, FINAL_WAIT, Framing,
    MAX_READY_CHUNKS, ScanResult, SseScanner, Usage, poll_timer,
};
pub use call::{Call, ConnectionUse, ExpectedAnswer, Limits};
pub use client::EngineClient;
pub use engines::EngineClients;
pub use error::{CallStage, EngineError, Outcome};
pub use headers::strip_hop_by_hop;
pub use identity::{AnswerProof, IdHeader};
pub use reports::{CacheEvent, CacheEventKind, LoadReport};

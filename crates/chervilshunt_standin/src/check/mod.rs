//! A client that verifies every response, for the quickstart, the load tool and the fault tool.
//!
//! [`Client::send`] makes one request and classifies the result: a complete response from the
//! requested adapter version, a well-formed refusal with its outcome, a broken connection, or a
//! violation of a guarantee. Whether a refusal was true can only be checked afterwards: [`settle`]
//! compares all records with the runs that the stand-ins recorded.

mod client;
mod exchange;
mod plan;
mod refusal;
mod settle;
mod text;
mod verdict;

pub use client::{Client, ClientOptions};
pub use plan::{Api, Call, CompletionCall, PlainCall, RequestPlan, Route};
pub use settle::{Finding, RunLog, fetch_runs, settle};
pub use verdict::{Answer, Outcome, Record, Refusal, Timing, Verdict, Violation, ViolationKind};

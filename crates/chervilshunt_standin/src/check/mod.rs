//! A caller that checks every answer, for the quickstart, the load tool and the fault tool.
//!
//! [`Client::send`] makes one request and says whether the answer is whole and the one that the
//! request named, a refusal that states its outcome, or a violation of a promise. Whether a refusal
//! was true shows only afterwards: [`settle`] compares all records with what the stand-ins ran.

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

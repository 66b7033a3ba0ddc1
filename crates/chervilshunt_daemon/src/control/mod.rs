//! The control thread, which runs one actor that holds every role of this instance.
//!
//! The actor makes all decisions, one message at a time, so that decisions cannot race. Traffic
//! threads read the results through [`SharedRouting`](crate::routing::SharedRouting) and request
//! permits by message. See `docs/ARCHITECTURE.md`.

mod actor;
mod address;
mod carry_out;
mod claims;
mod confirm;
mod context;
mod coordination;
mod instance_facts;
mod measure;
mod messages;
mod owned;
mod peers;
mod platform_calls;
mod probe;
mod roles;
mod steps;
mod timer;
mod watch_engine;
mod watches;

pub(crate) use actor::Control;
pub(crate) use claims::{CLAIM_SHARDS, ClaimReply, EndClaim, RequestClaim};
pub(crate) use context::Context;
pub(crate) use coordination::{ProposalOutcome, ProposalRefusal, ProposalRefusalKind, Propose};
pub(crate) use messages::{
    Begin, EndLease, FromPeer, GetFacts, HandOverRoles, PermitReply, ReleasePermit, RequestPermit,
};

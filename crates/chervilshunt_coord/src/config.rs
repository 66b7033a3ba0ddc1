//! Configuration: changes of many objects that take effect on all instances or on none.
//!
//! A [`ConfigFollower`] holds the configuration in force and acknowledges changes. A [`Proposer`]
//! commits a change in four steps: it writes the changed pages, writes the change into the head as
//! pending, collects the acknowledgements of all live instances, and writes the new revision into
//! the head. See `docs/design/configuration.md`.

mod follower;
mod head;
mod message;
mod model;
mod page_map;
mod proposer;
mod stamp;

pub use follower::{ConfigFollower, ConfigInForce, FollowerAction, FollowerConfig, FollowerEvent};
pub use head::{Elector, Electorate, HeadRecord, PendingChange};
pub use message::{ConfigMessage, Prepare};
pub use model::{AppliedChange, ConfigModel, PageKey, deployment_model, no_configuration};
pub use proposer::{
    ChangeRefusal, ChangeTicket, Proposer, ProposerAction, ProposerConfig, ProposerEvent,
};
pub use stamp::{PageStamp, PageStampError};

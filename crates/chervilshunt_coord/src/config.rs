//! Configuration: changes of many objects that come into force everywhere or not at all.
//!
//! A [`Follower`] holds the configuration in force and acknowledges changes; a [`Proposer`] brings
//! a change through: pages first, then the change into the head as pending, then the
//! acknowledgements of all live instances, then the head's revision. See
//! `docs/design/configuration.md`.

mod follower;
mod head;
mod message;
mod model;
mod page_map;
mod proposer;
mod stamp;

pub use follower::{Follower, FollowerAction, FollowerConfig, FollowerEvent, InForce};
pub use head::{Elector, Electorate, HeadRecord, PendingChange};
pub use message::{ConfigMessage, Prepare};
pub use model::{Applied, ConfigModel, PageKey, deployment_model, no_configuration};
pub use proposer::{
    ChangeRefusal, ChangeTicket, Proposer, ProposerAction, ProposerConfig, ProposerEvent,
};
pub use stamp::{PageStamp, PageStampError};

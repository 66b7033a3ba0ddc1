//! The control state of an instance: one actor on a thread of its own.
//!
//! The actor follows the platform and keeps or watches the placer's lease. While it holds the
//! lease, it runs the planner of `chervilshunt_core` and sends the planner's orders to targets.
//! Traffic threads read the actor's results through [`crate::shared::Shared`].

mod actor;
mod admission;
mod change_feed;
mod contact;
mod crashes;
mod follow;
mod lease;
mod limits;
mod messages;
mod overload;
mod pace;
mod placing;
mod presence;
mod quotas;
mod reading;
mod restore;
mod retries;
mod snapshots;
mod speed;
mod streams;
mod suspension;
mod targets;
mod transit;
mod using;

pub(crate) use actor::Control;
pub(crate) use follow::start_followers;
pub(crate) use messages::{Begin, PeerEvent, Reload, Stop};
pub(crate) use pace::FollowModes;
pub(crate) use reading::Reader;

//! The assignment of roles to holders, as the platform stores it.

use std::collections::BTreeMap;
use std::fmt;

use chervilshunt_model::{Epoch, Revision};
use serde::{Deserialize, Serialize};

use super::role::Role;
use crate::hashing::text_hash;
use crate::holder::Holder;

/// The number of objects over which the roles are distributed.
///
/// The object of a role must never change, because its epoch must keep increasing: if a role moved
/// between objects, two objects could name a holder for it. See `docs/design/roles.md`.
const ASSIGNMENT_SHARDS: u64 = 64;

/// The low bits of an epoch, which count changes of the holder. The high bits are the revision of
/// the configuration that added the role.
const EPOCH_CHANGE_BITS: u32 = 20;

/// One of the objects over which the roles are distributed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AssignmentShard(u16);

impl AssignmentShard {
    /// Returns the shard that contains `role`.
    pub fn of(role: &Role) -> Self {
        let shard = text_hash(&role.to_string()) % ASSIGNMENT_SHARDS;
        Self(u16::try_from(shard).unwrap_or(0))
    }
}

impl fmt::Display for AssignmentShard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "roles-{:02}", self.0)
    }
}

/// The holders of the roles in one shard.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AssignmentRecord {
    /// The shard.
    pub shard: AssignmentShard,
    /// Incremented by every write, so that stale reads can be recognised.
    pub generation: u64,
    /// The highest revision of the configuration that any writer of this record knew.
    ///
    /// A writer that knows only a lower revision does not add roles, because it could add back a
    /// role whose target has been removed.
    pub revision: Revision,
    /// The roles with their holders.
    pub roles: BTreeMap<Role, RoleEntry>,
}

impl AssignmentRecord {
    /// Returns the record that represents an object which does not exist yet.
    pub const fn empty(shard: AssignmentShard) -> Self {
        Self {
            shard,
            generation: 0,
            revision: Revision::new(0),
            roles: BTreeMap::new(),
        }
    }
}

/// The holder of one role.
///
/// The serialized field names are short because every instance reads every change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoleEntry {
    /// The holder.
    #[serde(rename = "h")]
    pub holder: Holder,
    /// The epoch, which is the fencing token, under which it holds the role.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// The run to which the holder must hand over the role.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub next: Option<Holder>,
    /// The previous holder.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub previous: Option<Holder>,
    /// Whether the previous holder handed over the role, as opposed to losing it.
    #[serde(rename = "o", default, skip_serializing_if = "std::ops::Not::not")]
    pub handed_over: bool,
}

impl RoleEntry {
    /// Assigns a role that was added at `revision` to its first holder.
    pub(crate) fn first(holder: Holder, revision: Revision) -> Self {
        Self {
            holder,
            epoch: Epoch::new((revision.get() << EPOCH_CHANGE_BITS) + 1),
            next: None,
            previous: None,
            handed_over: false,
        }
    }

    /// Assigns the role to another holder under the next epoch.
    pub(crate) fn pass_to(&self, holder: Holder, handed_over: bool) -> Self {
        Self {
            holder,
            epoch: self.epoch.next(),
            next: None,
            previous: Some(self.holder.clone()),
            handed_over,
        }
    }
}

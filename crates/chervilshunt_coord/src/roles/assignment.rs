//! Who holds which roles, as the platform keeps it.

use std::collections::BTreeMap;
use std::fmt;

use chervilshunt_model::{Epoch, Revision};
use serde::{Deserialize, Serialize};

use super::role::Role;
use crate::hashing::text_hash;
use crate::holder::Holder;

/// Number of objects over which the roles are spread.
///
/// A role stays in one object for ever, as its epoch has to rise for ever: were a role to change
/// its object, two objects could name a holder for it. See `docs/design/roles.md`.
const ASSIGNMENT_SHARDS: u64 = 64;

/// Bits of an epoch that count changes of the holder; those above are the configuration's revision
/// at which the role came into being.
const EPOCH_CHANGE_BITS: u32 = 20;

/// One of the objects over which the roles are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AssignmentShard(u16);

impl AssignmentShard {
    /// Returns the object that holds `role`.
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

/// Who holds the roles of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AssignmentRecord {
    /// The shard.
    pub shard: AssignmentShard,
    /// Rises with every write, so that a stale read is recognised.
    pub generation: u64,
    /// The highest revision of the configuration that a writer knew.
    ///
    /// A writer that knows only a lower one leaves the set of roles alone, or it would bring back
    /// a role whose target is gone.
    pub revision: Revision,
    /// The roles.
    pub roles: BTreeMap<Role, RoleEntry>,
}

impl AssignmentRecord {
    /// Makes the record that stands for an object which does not exist yet.
    pub const fn empty(shard: AssignmentShard) -> Self {
        Self {
            shard,
            generation: 0,
            revision: Revision::new(0),
            roles: BTreeMap::new(),
        }
    }
}

/// Who holds one role.
///
/// Its members have short names on the wire, as every instance reads every change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoleEntry {
    /// The holder.
    #[serde(rename = "h")]
    pub holder: Holder,
    /// The fencing number under which it holds the role.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// To whom the holder is to hand the role over.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub next: Option<Holder>,
    /// Who held it before.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub previous: Option<Holder>,
    /// Whether the holder before handed it over itself.
    #[serde(rename = "o", default, skip_serializing_if = "std::ops::Not::not")]
    pub handed_over: bool,
}

impl RoleEntry {
    /// Gives a role that came into being at `revision` to its first holder.
    pub(crate) fn first(holder: Holder, revision: Revision) -> Self {
        Self {
            holder,
            epoch: Epoch::new((revision.get() << EPOCH_CHANGE_BITS) + 1),
            next: None,
            previous: None,
            handed_over: false,
        }
    }

    /// Gives the role to another holder under the next epoch.
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

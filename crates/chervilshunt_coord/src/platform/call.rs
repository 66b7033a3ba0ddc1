//! Calls to the platform and their results.

use serde::{Deserialize, Serialize};

use super::object::{Object, ObjectKind, ObjectName, ObjectVersion, Stored};

/// The id of a call; unique within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId {
    machine: u32,
    number: u64,
}

impl CallId {
    /// Returns the machine that made the call, as given to [`Calls::new`].
    pub(crate) const fn machine(self) -> u32 {
        self.machine
    }
}

/// What a call is for; the key of the metrics of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// The own lease.
    Lease,
    /// The leases of others.
    Membership,
    /// Who holds which role.
    Roles,
    /// Configuration.
    Configuration,
    /// Claims of idempotency keys.
    Claims,
}

impl Purpose {
    /// Returns the name that metrics and logs use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Lease => "lease",
            Self::Membership => "membership",
            Self::Roles => "roles",
            Self::Configuration => "configuration",
            Self::Claims => "claims",
        }
    }
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PlatformCall {
    /// Under which id the result comes back.
    pub id: CallId,
    /// What it is for.
    pub purpose: Purpose,
    /// What is asked.
    pub op: PlatformOp,
}

/// What is asked of the platform.
///
/// Reads and lists have to be linearizable: they return the last value written, not one from a
/// cache (in Kubernetes: no `resourceVersion` parameter).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PlatformOp {
    /// Read one object.
    Read(ObjectName),
    /// List all objects of a kind.
    List(ObjectKind),
    /// List the pages of one shard of claims.
    ListClaims(u32),
    /// Create an object; refused if there is one of that name.
    Create(Object),
    /// Replace an object if it still has the version.
    Update(Object, ObjectVersion),
    /// Delete an object, if a version is given only if it still has that.
    Delete(ObjectName, Option<ObjectVersion>),
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PlatformResult {
    /// The object that was read.
    Found(Stored),
    /// There is no such object.
    NotFound,
    /// The objects that were listed.
    Listed(Vec<Stored>),
    /// The object was created, replaced or deleted; this is its version now.
    Written(ObjectVersion),
    /// The object no longer has the version that the call named.
    Conflict,
    /// There is an object of that name already.
    AlreadyExists,
    /// The platform could not be asked, or said that it did nothing.
    Unavailable,
    /// No answer came: a write may have been carried out, or may yet be.
    Unknown,
}

impl PlatformResult {
    /// Returns whether the platform answered.
    pub const fn is_answer(&self) -> bool {
        match self {
            Self::Found(_)
            | Self::NotFound
            | Self::Listed(_)
            | Self::Written(_)
            | Self::Conflict
            | Self::AlreadyExists => true,
            Self::Unavailable | Self::Unknown => false,
        }
    }
}

/// Gives calls their ids.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Calls {
    machine: u32,
    purpose: Purpose,
    next: u64,
}

impl Calls {
    /// Starts to number the calls of a machine.
    pub(crate) const fn new(machine: u32, purpose: Purpose) -> Self {
        Self {
            machine,
            purpose,
            next: 0,
        }
    }

    /// Makes a call.
    pub(crate) fn call(&mut self, op: PlatformOp) -> PlatformCall {
        let id = CallId {
            machine: self.machine,
            number: self.next,
        };
        self.next += 1;
        PlatformCall {
            id,
            purpose: self.purpose,
            op,
        }
    }
}

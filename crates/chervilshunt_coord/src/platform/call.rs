//! Calls to the platform and their results.

use serde::{Deserialize, Serialize};

use super::object::{Object, ObjectKind, ObjectName, ObjectVersion, StoredObject};

/// The id of a call, unique within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId {
    machine: u32,
    number: u64,
}

impl CallId {
    /// Returns the number of the state machine that made the call, as passed to [`Calls::new`].
    pub(crate) const fn machine(self) -> u32 {
        self.machine
    }
}

/// The purpose of a call, used as a label of the call metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallPurpose {
    /// Keeping this instance's own lease.
    Lease,
    /// Watching the leases of other instances.
    Membership,
    /// Assignments of roles.
    Roles,
    /// Configuration.
    Configuration,
    /// Claims of idempotency keys.
    Claims,
}

impl CallPurpose {
    /// Returns the name used in metrics and logs.
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
    /// The id under which the result is reported.
    pub id: CallId,
    /// The purpose of the call.
    pub purpose: CallPurpose,
    /// The operation to carry out.
    pub op: PlatformOp,
}

/// An operation of the platform's object API.
///
/// Reads and lists must be linearizable: they return the last value written, not a cached one (in
/// Kubernetes, this means that the request has no `resourceVersion` parameter).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PlatformOp {
    /// Read one object.
    Read(ObjectName),
    /// List all objects of a kind.
    List(ObjectKind),
    /// List the claim pages of one shard.
    ListClaims(u32),
    /// Create an object; refused if an object with its name exists.
    Create(Object),
    /// Replace an object if its version is still the given one.
    Update(Object, ObjectVersion),
    /// Delete an object; if a version is given, only if the object still has it.
    Delete(ObjectName, Option<ObjectVersion>),
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PlatformResult {
    /// The object that was read.
    Found(StoredObject),
    /// There is no such object.
    NotFound,
    /// The objects that were listed.
    Listed(Vec<StoredObject>),
    /// The object was created, replaced or deleted; this is the new version.
    Written(ObjectVersion),
    /// The object's version differs from the one in the call.
    Conflict,
    /// An object with that name already exists.
    AlreadyExists,
    /// The platform could not be reached, or reported that it did nothing.
    Unavailable,
    /// No answer arrived: a write may have been carried out or may still be.
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

/// Creates the calls of one state machine and numbers them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Calls {
    machine: u32,
    purpose: CallPurpose,
    next: u64,
}

impl Calls {
    /// Creates the calls of state machine `machine`, numbered from 0.
    pub(crate) const fn new(machine: u32, purpose: CallPurpose) -> Self {
        Self {
            machine,
            purpose,
            next: 0,
        }
    }

    /// Creates a call with the next id.
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

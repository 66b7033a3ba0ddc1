//! The errors of refused changes.

use std::net::SocketAddr;

use snafu::Snafu;

use crate::{ObjectKind, ObjectRef, Revision};

/// The reason why a change set is refused. None of its changes has taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum ChangeError {
    /// The current revision is not the one that the operator saw.
    #[snafu(display(
        "revision {expected} was expected, but {actual} is in force; review what has changed and \
         try again with the current revision"
    ))]
    RevisionMoved {
        /// The revision that the change set expects.
        expected: Revision,
        /// The current revision.
        actual: Revision,
    },
    /// The change set is empty.
    #[snafu(display("the change set is empty; give at least one change"))]
    NoChange,
    /// An object with that name already exists.
    #[snafu(display("{object} already exists; choose another name, or modify it with set"))]
    Exists {
        /// The object.
        object: ObjectRef,
    },
    /// No object with that name exists.
    #[snafu(display("{object} does not exist; create it, or look for its name with show"))]
    Missing {
        /// The object.
        object: ObjectRef,
    },
    /// A patch sets no field.
    #[snafu(display("{object} can't be set without a field; give at least one"))]
    EmptyPatch {
        /// The object.
        object: ObjectRef,
    },
    /// A name is empty, too long, or has characters that are not allowed in headers, paths or
    /// labels.
    #[snafu(display(
        "{object} can't have that name; a name is 1 to {max_len} letters, digits, '-', '_' or '.', \
         and starts with a letter or digit"
    ))]
    BadName {
        /// The object.
        object: ObjectRef,
        /// The maximum length of a name, in bytes.
        max_len: usize,
    },
    /// A field refers to an object that does not exist.
    #[snafu(display(
        "{object} names {refers_to} as its {field}, which does not exist; create it in the same \
         change, or name another"
    ))]
    DanglingReference {
        /// The object.
        object: ObjectRef,
        /// The field.
        field: &'static str,
        /// The object to which it refers.
        refers_to: ObjectRef,
    },
    /// An object can't be deleted because other objects refer to it.
    #[snafu(display(
        "{object} can't be deleted while {user} refers to it; delete or change the latter first, \
         or in the same change"
    ))]
    InUse {
        /// The object.
        object: ObjectRef,
        /// One of the objects that refer to it.
        user: ObjectRef,
    },
    /// A field has a value that is not allowed.
    #[snafu(display("{object} can't have {field} = {value}; {allowed}"))]
    BadValue {
        /// The object.
        object: ObjectRef,
        /// The field.
        field: &'static str,
        /// The value as text.
        value: String,
        /// The allowed values.
        allowed: &'static str,
    },
    /// An adapter refers to a service that is not an engine service.
    #[snafu(display(
        "{object} can't belong to {service}, whose kind is plain; name a service whose kind is \
         engine"
    ))]
    NotEngineService {
        /// The adapter.
        object: ObjectRef,
        /// The service.
        service: ObjectRef,
    },
    /// Two targets have the same address.
    #[snafu(display(
        "{object} can't have the address {address}, which {other} already uses; give each target \
         its own address"
    ))]
    AddressTaken {
        /// The target.
        object: ObjectRef,
        /// The address.
        address: SocketAddr,
        /// The other target with the same address.
        other: ObjectRef,
    },
}

impl ChangeError {
    /// Returns the kind of the object to which the error relates, if any.
    pub fn object_kind(&self) -> Option<ObjectKind> {
        match self {
            Self::RevisionMoved { .. } | Self::NoChange => None,
            Self::Exists { object }
            | Self::Missing { object }
            | Self::EmptyPatch { object }
            | Self::BadName { object, .. }
            | Self::DanglingReference { object, .. }
            | Self::InUse { object, .. }
            | Self::BadValue { object, .. }
            | Self::NotEngineService { object, .. }
            | Self::AddressTaken { object, .. } => Some(object.kind),
        }
    }
}

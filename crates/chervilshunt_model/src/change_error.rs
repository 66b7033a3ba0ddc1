//! Why a change is refused.

use std::net::SocketAddr;

use snafu::Snafu;

use crate::{ObjectKind, ObjectRef, Revision};

/// Why a change set is refused; nothing of it has taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum ChangeError {
    /// The revision in force is not the one that the operator saw.
    #[snafu(display(
        "revision {expected} was expected, but {actual} is in force; look at what has changed and \
         try again with it"
    ))]
    RevisionMoved {
        /// The revision that the change set expects.
        expected: Revision,
        /// The revision in force.
        actual: Revision,
    },
    /// The change set holds no change.
    #[snafu(display("the change set holds no change; give at least one"))]
    NoChange,
    /// An object of that name is there already.
    #[snafu(display("{object} exists already; choose another name, or set what may change of it"))]
    Exists {
        /// The object.
        object: ObjectRef,
    },
    /// There is no object of that name.
    #[snafu(display("{object} does not exist; create it, or look for its name with show"))]
    Missing {
        /// The object.
        object: ObjectRef,
    },
    /// A patch sets no field.
    #[snafu(display("{object} is set, but no field is given; give at least one"))]
    EmptyPatch {
        /// The object.
        object: ObjectRef,
    },
    /// A name holds characters that can't be part of headers, paths or labels.
    #[snafu(display(
        "{object} can't have that name; a name is 1 to {max_len} letters, digits, '-', '_' or '.', \
         and starts with a letter or digit"
    ))]
    BadName {
        /// The object.
        object: ObjectRef,
        /// The longest name, in bytes.
        max_len: usize,
    },
    /// A field names an object that does not exist.
    #[snafu(display(
        "{object} names {refers_to} as its {field}, which does not exist; create it in the same \
         change, or name another"
    ))]
    DanglingReference {
        /// The object.
        object: ObjectRef,
        /// The field.
        field: &'static str,
        /// What it names.
        refers_to: ObjectRef,
    },
    /// An object that others need is to be deleted.
    #[snafu(display(
        "{object} can't be deleted while {user} needs it; delete or change that first, or in the \
         same change"
    ))]
    InUse {
        /// The object.
        object: ObjectRef,
        /// One of those that need it.
        user: ObjectRef,
    },
    /// A field holds a value that is not allowed.
    #[snafu(display("{object} can't have {field} = {value}; {allowed}"))]
    BadValue {
        /// The object.
        object: ObjectRef,
        /// The field.
        field: &'static str,
        /// The value as text.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
    /// An adapter belongs to a service that is no engine service.
    #[snafu(display(
        "{object} can't belong to {service}, whose kind is plain; name a service whose kind is \
         engine"
    ))]
    NoEngine {
        /// The adapter.
        object: ObjectRef,
        /// The service.
        service: ObjectRef,
    },
    /// Two targets have the same address.
    #[snafu(display(
        "{object} can't have the address {address}, which {other} has; give each target an \
         address of its own"
    ))]
    AddressTaken {
        /// The target.
        object: ObjectRef,
        /// The address.
        address: SocketAddr,
        /// The target that has it.
        other: ObjectRef,
    },
}

impl ChangeError {
    /// Returns the kind of the object that the error is about, if it is about one.
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
            | Self::NoEngine { object, .. }
            | Self::AddressTaken { object, .. } => Some(object.kind),
        }
    }
}

//! Identifies the holder of a lease or a role: one run of one instance.

use std::fmt;
use std::str::FromStr;

use chervilshunt_model::InstanceId;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

/// Separates the instance from the incarnation in the text form of a [`Holder`].
const INCARNATION_SEPARATOR: char = '.';

/// Distinguishes the runs of one instance.
///
/// It is drawn at random when a process starts. A restarted process has the instance id of its
/// predecessor but not its memory, so it must not act on what its predecessor held.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Wraps a randomly drawn number.
    pub const fn new(nonce: u64) -> Self {
        Self(nonce)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the incarnation under which this process rejoins after losing its lease.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}

/// One run of one instance, the unit that holds leases and roles.
///
/// Its text form is `INSTANCE.INCARNATION` with the incarnation in hexadecimal, and also names its
/// Lease object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Holder {
    /// The instance.
    pub instance: InstanceId,
    /// The incarnation, which identifies the run of the instance.
    pub incarnation: Incarnation,
}

impl Holder {
    /// Creates a holder from an instance and the incarnation of one of its runs.
    pub fn new(instance: impl Into<InstanceId>, incarnation: Incarnation) -> Self {
        Self {
            instance: instance.into(),
            incarnation,
        }
    }
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}{INCARNATION_SEPARATOR}{:016x}",
            self.instance, self.incarnation.0
        )
    }
}

impl FromStr for Holder {
    type Err = HolderError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (instance, incarnation) = text
            .rsplit_once(INCARNATION_SEPARATOR)
            .context(NoIncarnationSnafu)?;
        let incarnation = u64::from_str_radix(incarnation, 16).context(BadIncarnationSnafu)?;
        Ok(Self::new(instance, Incarnation(incarnation)))
    }
}

impl From<Holder> for String {
    fn from(holder: Holder) -> Self {
        holder.to_string()
    }
}

impl TryFrom<String> for Holder {
    type Error = HolderError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// The error for a text that is not of the form `INSTANCE.INCARNATION`.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum HolderError {
    /// The text has no separator.
    #[snafu(display("a holder must be written as INSTANCE.INCARNATION"))]
    NoIncarnation,
    /// The incarnation is not a hexadecimal number.
    #[snafu(display("the incarnation of a holder must be a hexadecimal number: {source}"))]
    BadIncarnation {
        /// The error of the number parser.
        source: std::num::ParseIntError,
    },
}

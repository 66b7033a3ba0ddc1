//! Stamps of pages: which content a page has.

use std::fmt;
use std::str::FromStr;

use base64::Engine as _;
use base64::prelude::BASE64_URL_SAFE_NO_PAD as URL_SAFE_NO_PAD;
use chervilshunt_model::ChangeId;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

use super::model::PageKey;
use crate::hashing::text_hash;
use crate::platform::PageName;

const HASH_BYTES: usize = size_of::<u64>();
const STAMP_BYTES: usize = HASH_BYTES + size_of::<u32>();

/// Which content of a page: the hash of its text, and the change that wrote it.
///
/// In the name of the page's object it is written as hexadecimal numbers, as such names have small
/// letters only; in the head and in messages as Base64, as each instance reads hundreds with each
/// change.
///
/// The change is part of it so that no two changes write the same page object; else one could
/// delete, as no longer needed, what another has just come to rely on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct PageStamp {
    hash: u64,
    change: u32,
}

impl PageStamp {
    /// Stamps the text of a page that `change` writes.
    pub(crate) fn of(body: &str, change: ChangeId) -> Self {
        let change = text_hash(&change.to_string()) >> 32;
        Self {
            hash: text_hash(body),
            change: u32::try_from(change).unwrap_or(0),
        }
    }

    /// Returns whether `body` is the text that was stamped.
    pub(crate) fn fits(self, body: &str) -> bool {
        self.hash == text_hash(body)
    }

    /// Returns the name of the page's object.
    pub(crate) fn page_name(self, key: &PageKey) -> PageName {
        PageName::new(format!("{key}-{self}"))
    }
}

impl fmt::Display for PageStamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{:08x}", self.hash, self.change)
    }
}

impl FromStr for PageStamp {
    type Err = PageStampError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (hash, change) = text.split_once('.').context(NoChangeSnafu)?;
        Ok(Self {
            hash: u64::from_str_radix(hash, 16).context(BadNumberSnafu)?,
            change: u32::from_str_radix(change, 16).context(BadNumberSnafu)?,
        })
    }
}

impl From<PageStamp> for String {
    fn from(stamp: PageStamp) -> Self {
        let mut bytes = [0; STAMP_BYTES];
        let (hash, change) = bytes.split_at_mut(HASH_BYTES);
        hash.copy_from_slice(&stamp.hash.to_be_bytes());
        change.copy_from_slice(&stamp.change.to_be_bytes());
        URL_SAFE_NO_PAD.encode(bytes)
    }
}

impl TryFrom<String> for PageStamp {
    type Error = PageStampError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        // Heads that were written before stamps had a short form.
        if text.contains('.') {
            return text.parse();
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).context(BadTextSnafu)?;
        let (hash, change) = bytes.split_first_chunk().context(BadLengthSnafu)?;
        let change = change.try_into().ok().context(BadLengthSnafu)?;
        Ok(Self {
            hash: u64::from_be_bytes(*hash),
            change: u32::from_be_bytes(change),
        })
    }
}

/// Why a text is no stamp of a page.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum PageStampError {
    /// The text has no separator.
    #[snafu(display("a page's stamp must be written as HASH.CHANGE"))]
    NoChange,
    /// The short form is no Base64 text.
    #[snafu(display("a page's stamp must be Base64 text: {source}"))]
    BadText {
        /// What the decoder said.
        source: base64::DecodeError,
    },
    /// The short form is of another length.
    #[snafu(display("a page's stamp must have {STAMP_BYTES} bytes"))]
    BadLength,
    /// A part is no hexadecimal number.
    #[snafu(display("hash and change of a page's stamp must be hexadecimal: {source}"))]
    BadNumber {
        /// What the number parser said.
        source: std::num::ParseIntError,
    },
}

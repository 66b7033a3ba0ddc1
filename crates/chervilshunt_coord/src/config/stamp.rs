//! Page stamps, which identify the content of a page.

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

/// Identifies the content of a page by the hash of its text and the change that wrote it.
///
/// A stamp is written as hexadecimal numbers in the name of the page's object, because such names
/// allow only lower-case letters. In the head and in messages it is written as Base64 to save
/// space, because each instance reads hundreds of stamps for each change.
///
/// The change is part of the stamp so that no two changes write the same page object. Otherwise one
/// change could delete an object as unused that another change has just started to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct PageStamp {
    hash: u64,
    change: u32,
}

impl PageStamp {
    /// Returns the stamp of a page text written by `change`.
    pub(crate) fn of(body: &str, change: ChangeId) -> Self {
        let change = text_hash(&change.to_string()) >> 32;
        Self {
            hash: text_hash(body),
            change: u32::try_from(change).unwrap_or(0),
        }
    }

    /// Returns whether `body` has the hash in this stamp.
    pub(crate) fn matches_body(self, body: &str) -> bool {
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
        // Heads written by earlier versions have stamps in the hexadecimal form.
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

/// Why a text is not a valid page stamp.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum PageStampError {
    /// The text has no separator.
    #[snafu(display("page stamp without a separator, expected HASH.CHANGE"))]
    NoChange,
    /// The Base64 form is not valid Base64.
    #[snafu(display("page stamp is not valid Base64: {source}"))]
    BadText {
        /// The error of the decoder.
        source: base64::DecodeError,
    },
    /// The Base64 form has the wrong length.
    #[snafu(display("page stamp does not have {STAMP_BYTES} bytes"))]
    BadLength,
    /// A part is not a hexadecimal number.
    #[snafu(display("hash or change of a page stamp is not a hexadecimal number: {source}"))]
    BadNumber {
        /// The error of the number parser.
        source: std::num::ParseIntError,
    },
}

//! Label selectors.

use std::fmt;

/// A set of label equality requirements, all of which have to hold. The default selects every
/// object.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector(Vec<(String, String)>);

impl Selector {
    /// Selects every object.
    pub const fn all() -> Self {
        Self(Vec::new())
    }

    /// Selects objects whose label `key` is `value`.
    pub fn label(key: impl Into<String>, value: impl Into<String>) -> Self {
        Self::all().and(key, value)
    }

    /// Adds the requirement that the label `key` is `value`.
    #[must_use]
    pub fn and(mut self, key: impl Into<String>, value: impl Into<String>) -> Self {
        self.0.push((key.into(), value.into()));
        self
    }

    /// Returns whether the selector matches every object.
    pub const fn is_all(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (key, value)) in self.0.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(f, "{comma}{key}={value}")?;
        }
        Ok(())
    }
}

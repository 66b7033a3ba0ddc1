//! A number of requests a second.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A number of requests a second; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate; `None` if the number is negative, infinite or not a number.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the requests a second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = &'static str;

    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        Self::new(per_second).ok_or("a rate has to be finite and not negative")
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} requests/s", self.0)
    }
}

//! Quantities that can be plotted.

use crate::policy::Row;

/// A quantity of the policy table that can be plotted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quantity {
    /// Stalled time of live requests.
    Stalls,
    /// Useful tokens per step.
    Efficiency,
}

/// Scale of the value axis.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scale {
    /// Linear, starting at zero.
    Linear,
    /// Logarithmic, because stalled time differs by two orders of magnitude between scenarios.
    Logarithmic,
}

impl Quantity {
    /// All quantities.
    pub const ALL: [Self; 2] = [Self::Stalls, Self::Efficiency];

    /// Returns the name used in file names and titles.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Stalls => "stalls",
            Self::Efficiency => "efficiency",
        }
    }

    /// Returns the label of the value axis.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Stalls => "stalled time of live requests, s (log scale)",
            Self::Efficiency => "useful tokens a step",
        }
    }

    /// Returns the scale of the value axis.
    pub const fn scale(self) -> Scale {
        match self {
            Self::Stalls => Scale::Logarithmic,
            Self::Efficiency => Scale::Linear,
        }
    }

    /// Returns the value in one row, or `None` if it has none; rows of a bound have no efficiency.
    pub const fn value(self, row: &Row) -> Option<f64> {
        match self {
            Self::Stalls => Some(row.stalled_s),
            Self::Efficiency => row.useful_tokens_per_step,
        }
    }
}

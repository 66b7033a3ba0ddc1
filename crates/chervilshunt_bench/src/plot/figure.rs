//! What a plot shows.

use crate::policy::Row;

/// One quantity of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Figure {
    /// Stalled time of live requests.
    Stalls,
    /// Useful tokens a step.
    Efficiency,
}

/// How values are laid out on the axis.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scale {
    /// From zero, evenly.
    Linear,
    /// By powers of ten: stalled time differs by two orders between scenarios.
    Logarithmic,
}

impl Figure {
    /// All figures.
    pub const ALL: [Self; 2] = [Self::Stalls, Self::Efficiency];

    /// Returns the name, as in the names of files.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Stalls => "stalls",
            Self::Efficiency => "efficiency",
        }
    }

    /// Returns the label of the axis.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Stalls => "stalled time of live requests, s (log scale)",
            Self::Efficiency => "useful tokens a step",
        }
    }

    /// Returns how the axis is laid out.
    pub const fn scale(self) -> Scale {
        match self {
            Self::Stalls => Scale::Logarithmic,
            Self::Efficiency => Scale::Linear,
        }
    }

    /// Returns the value of one row; a bound has no efficiency.
    pub const fn value(self, row: &Row) -> Option<f64> {
        match self {
            Self::Stalls => Some(row.stalled_s),
            Self::Efficiency => row.useful_tokens_per_step,
        }
    }
}

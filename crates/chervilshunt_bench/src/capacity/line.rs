//! The line of least squares through the sizes of a fleet.

/// A line, and how well it fits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Line {
    /// The value at size 0.
    pub(crate) fixed: f64,
    /// How much each unit of size adds.
    pub(crate) slope: f64,
    /// The share of the variance that the line explains; 1 where there is none.
    pub(crate) r2: f64,
}

impl Line {
    /// Fits a line through sizes and values.
    pub(crate) fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum = |term: fn(f64, f64) -> f64| -> f64 {
            let terms = points.iter().map(|(x, y)| term(x - mean_x, y - mean_y));
            terms.sum()
        };
        let (xx, xy, yy) = (sum(|x, _| x * x), sum(|x, y| x * y), sum(|_, y| y * y));
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        Self {
            fixed: mean_y - slope * mean_x,
            slope,
            r2: if yy > 0.0 { slope * xy / yy } else { 1.0 },
        }
    }
}

#[cfg(test)]
mod tests;

//! Least-squares line over fleet sizes.

/// A fitted line and its goodness of fit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Line {
    /// The intercept: the value at size 0.
    pub(crate) intercept: f64,
    /// The increase per unit of size.
    pub(crate) slope: f64,
    /// The coefficient of determination; 1 if the values have no variance.
    pub(crate) r2: f64,
}

impl Line {
    /// Fits a line to pairs of size and value by least squares.
    pub(crate) fn fit(points: &[(f64, f64)]) -> Self {
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
            intercept: mean_y - slope * mean_x,
            slope,
            r2: if yy > 0.0 { slope * xy / yy } else { 1.0 },
        }
    }
}

#[cfg(test)]
mod tests;

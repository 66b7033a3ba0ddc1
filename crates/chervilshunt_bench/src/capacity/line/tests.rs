//! Tests fitting a line to collinear points, a single point and scattered points.

use rstest::rstest;

use super::Line;

#[rstest]
#[case::rising(&[(3.0, 10.0), (6.0, 16.0), (12.0, 28.0)], 4.0, 2.0, 1.0)]
#[case::level(&[(3.0, 5.0), (6.0, 5.0), (12.0, 5.0)], 5.0, 0.0, 1.0)]
#[case::single(&[(3.0, 5.0)], 5.0, 0.0, 1.0)]
#[case::scattered(&[(0.0, 0.0), (1.0, 1.0), (2.0, 0.0)], 1.0 / 3.0, 0.0, 0.0)]
fn fits(
    #[case] points: &[(f64, f64)],
    #[case] intercept: f64,
    #[case] slope: f64,
    #[case] r2: f64,
) {
    let line = Line::fit(points);
    let near = |a: f64, b: f64| (a - b).abs() < 1e-9;
    assert!(near(line.intercept, intercept), "{line:?}");
    assert!(near(line.slope, slope), "{line:?}");
    assert!(near(line.r2, r2), "{line:?}");
}

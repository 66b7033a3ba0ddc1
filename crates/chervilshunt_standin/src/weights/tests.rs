//! Tests that loads beyond the store's concurrency share its total rate.

use rstest::rstest;

use super::{Store, WeightsStandinConfig};
use crate::serve::Port;

#[rstest]
#[case::alone(1, 3.0)]
#[case::at_its_concurrency(2, 3.0)]
#[case::beyond(4, 1.5)]
fn speed_of_a_load(#[case] active: usize, #[case] loads_per_second: f64) {
    let cfg = WeightsStandinConfig {
        concurrency: 2,
        loads_per_second: 6.0,
        ..WeightsStandinConfig::default()
    };
    let store = Store::new(cfg, Port::new());
    let loads: Vec<_> = (0..active).map(|_| store.begin()).collect();
    assert!((store.speed() - loads_per_second).abs() < 1e-9);
    drop(loads);
    assert_eq!(store.lock().stats.active, 0);
}

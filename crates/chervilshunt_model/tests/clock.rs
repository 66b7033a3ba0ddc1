//! The clock that beliefs age by, over a suspension of the machine.

use std::cell::Cell;
use std::time::{Duration, Instant};

use chervilshunt_model::Clock;

thread_local! {
    /// What the boot clock reads.
    static BOOT: Cell<Duration> = const { Cell::new(Duration::from_secs(100)) };
}

fn boot() -> Duration {
    BOOT.get()
}

/// The machine is suspended for ten seconds. The steady clock stands still meanwhile, so that a
/// lease of three seconds would look as new as before; by the boot clock it is long over.
#[test]
fn a_belief_ages_while_the_steady_clock_stands_still() {
    let clock = Clock::from_reading(boot);
    let steady = Instant::now();
    let valid_until = clock.now() + Duration::from_secs(3);
    BOOT.set(BOOT.get() + Duration::from_secs(10));
    assert!(
        steady.elapsed() < Duration::from_secs(3),
        "the steady clock"
    );
    assert!(clock.now() >= valid_until, "the boot clock");
}

#[test]
fn the_boot_clock_goes_on() {
    let clock = Clock::boot();
    let before = clock.now();
    std::thread::sleep(Duration::from_millis(5));
    let passed = clock.now().since(before);
    assert!(passed >= Duration::from_millis(5), "{passed:?}");
}

//! Tests of the boot clock across a suspension of the machine.

use std::cell::Cell;
use std::time::{Duration, Instant};

use chervilshunt_model::Clock;

thread_local! {
    /// The simulated reading of the boot clock.
    static BOOT: Cell<Duration> = const { Cell::new(Duration::from_secs(100)) };
}

fn boot() -> Duration {
    BOOT.get()
}

/// The machine is suspended for ten seconds. `Instant` does not advance meanwhile, so a lease of
/// three seconds would still look valid. By the boot clock it must have expired.
#[test]
fn a_lease_expires_during_a_suspension() {
    let clock = Clock::from_reading(boot);
    let instant = Instant::now();
    let valid_until = clock.now() + Duration::from_secs(3);
    BOOT.set(BOOT.get() + Duration::from_secs(10));
    assert!(
        instant.elapsed() < Duration::from_secs(3),
        "the monotonic clock"
    );
    assert!(clock.now() >= valid_until, "the boot clock");
}

#[test]
fn the_boot_clock_advances() {
    let clock = Clock::boot();
    let before = clock.now();
    std::thread::sleep(Duration::from_millis(5));
    let passed = clock.now().since(before);
    assert!(passed >= Duration::from_millis(5), "{passed:?}");
}

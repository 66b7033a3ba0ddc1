//! The fleet that all tests of a binary share.

use std::sync::{Arc, Mutex, OnceLock, PoisonError, Weak};

use chervilshunt_standin::fleet::{Fleet, FleetOptions};
use tokio::runtime::Runtime;

/// The runtime of the fleet's processes and tasks, which outlives single tests.
pub(crate) fn runtime() -> &'static Runtime {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME.get_or_init(|| Runtime::new().expect("the process may start threads"))
}

/// Returns the fleet that the tests of this binary share; the first caller starts it with
/// `options`.
///
/// It is dropped with the last test that holds it. A fleet in a static would never be dropped, and
/// its processes would outlive the tests.
pub(crate) fn fleet(options: impl FnOnce() -> FleetOptions) -> Arc<Fleet> {
    static FLEET: Mutex<Weak<Fleet>> = Mutex::new(Weak::new());
    let mut shared = FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(fleet) = shared.upgrade() {
        return fleet;
    }
    let started = runtime().block_on(Fleet::start(options()));
    let fleet = Arc::new(started.unwrap_or_else(|error| panic!("{error}")));
    *shared = Arc::downgrade(&fleet);
    fleet
}

/// Copies the logs at the time of a test's failure, because other tests keep using the fleet.
pub(crate) fn keep_logs(fleet: &Fleet) {
    let kept = tempfile::Builder::new()
        .prefix("chervilshunt-failed-")
        .tempdir();
    let (Ok(kept), Ok(files)) = (kept, std::fs::read_dir(fleet.folder())) else {
        return;
    };
    let kept = kept.keep();
    for file in files.flatten() {
        drop(std::fs::copy(file.path(), kept.join(file.file_name())));
    }
    eprintln!("logs are kept in {}", kept.display());
}

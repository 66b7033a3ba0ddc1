//! What another process uses, as Linux tells.

use std::time::Duration;

use super::error::{LoadError, MemorySnafu};

/// The unit of processor time in `/proc/PID/stat`.
///
/// It is the same on every Linux that Rust runs on; `sysconf` would need unsafe code or a crate.
const TICK: Duration = Duration::from_millis(10);

/// The places of user and system time behind the name in `/proc/PID/stat`.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// A process to be watched.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Watched(pub(crate) u32);

impl Watched {
    /// Returns its resident memory, in KiB.
    pub(crate) fn resident_kib(self) -> Result<u64, LoadError> {
        let status = self.read("status")?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok())
            .ok_or_else(|| self.failed("no VmRSS"))
    }

    /// Returns the processor time that it has used.
    pub(crate) fn cpu(self) -> Result<Duration, LoadError> {
        let stat = self.read("stat")?;
        let (_, fields) = stat.rsplit_once(')').unwrap_or_default();
        let field = |place| -> Option<u64> { fields.split_whitespace().nth(place)?.parse().ok() };
        let ticks = field(USER_TIME).zip(field(SYSTEM_TIME));
        let (user, system) = ticks.ok_or_else(|| self.failed("no times in its stat"))?;
        Ok(TICK * u32::try_from(user + system).unwrap_or(u32::MAX))
    }

    fn read(self, file: &str) -> Result<String, LoadError> {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.0))
            .map_err(|error| self.failed(&error.to_string()))
    }

    fn failed(self, problem: &str) -> LoadError {
        MemorySnafu {
            pid: self.0,
            problem,
        }
        .build()
    }
}

//! Memory and processor time of another process, from Linux's `/proc`.

use std::time::Duration;

use super::error::{LoadError, MemorySnafu};

/// Unit of processor time in `/proc/PID/stat`.
///
/// It is the same on every Linux platform that Rust supports; reading it with `sysconf` would need
/// unsafe code or another crate.
const TICK: Duration = Duration::from_millis(10);

/// Indexes of user and system time among the fields after the process name in `/proc/PID/stat`.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// Reads the resource usage of the process with this id.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessUsage(pub(crate) u32);

impl ProcessUsage {
    /// Returns the resident memory, in KiB.
    ///
    /// # Errors
    /// Returns an error if `/proc/PID/status` can't be read or has no resident memory.
    pub(crate) fn resident_kib(self) -> Result<u64, LoadError> {
        let status = self.read("status")?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok())
            .ok_or_else(|| self.failed("no VmRSS in /proc/PID/status"))
    }

    /// Returns the user and system time consumed so far.
    ///
    /// # Errors
    /// Returns an error if `/proc/PID/stat` can't be read or parsed.
    pub(crate) fn cpu(self) -> Result<Duration, LoadError> {
        let stat = self.read("stat")?;
        let (_, fields) = stat.rsplit_once(')').unwrap_or_default();
        let field = |place| -> Option<u64> { fields.split_whitespace().nth(place)?.parse().ok() };
        let ticks = field(USER_TIME).zip(field(SYSTEM_TIME));
        let (user, system) =
            ticks.ok_or_else(|| self.failed("no processor times in /proc/PID/stat"))?;
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

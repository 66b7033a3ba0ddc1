//! One child process with its log.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fs::{File, OpenOptions};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, kill_process};
use serde_json::Value;
use snafu::{OptionExt as _, ResultExt as _};
use tokio::process::{Child, Command};

use super::error::{
    EndedSnafu, FileSnafu, FleetError, SignalProcessSnafu, SpawnSnafu, TimedOutSnafu,
};
use super::wait::LOOK_EVERY;

/// How long a process may take to say where it listens.
const START_BOUND: Duration = Duration::from_secs(20);

/// Lines of a log that an error shows.
const TAIL_LINES: usize = 12;

/// The longest line of a log that an error shows, in characters.
const TAIL_WIDTH: usize = 400;

/// What a process can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Ends it at once (`SIGKILL`).
    Kill,
    /// Asks it to end gracefully (`SIGTERM`).
    Terminate,
    /// Pauses it (`SIGSTOP`).
    Freeze,
    /// Continues it (`SIGCONT`).
    Thaw,
}

impl Signal {
    const fn number(self) -> rustix::process::Signal {
        match self {
            Self::Kill => rustix::process::Signal::KILL,
            Self::Terminate => rustix::process::Signal::TERM,
            Self::Freeze => rustix::process::Signal::STOP,
            Self::Thaw => rustix::process::Signal::CONT,
        }
    }
}

/// A child process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
    /// Where in the log this process begins: one that starts again under its name appends to it.
    log_from: usize,
    addresses: BTreeMap<String, SocketAddr>,
}

impl Process {
    /// Starts a program and waits until it says where it listens.
    ///
    /// Standard output and errors go to the file `NAME.log` in `folder`: through a pipe, a harness
    /// that is slow to read would hold the process up.
    ///
    /// # Errors
    /// Fails if it can't be started, ends, or doesn't listen within 20 seconds.
    pub async fn start(
        name: &str,
        program: &Path,
        args: &[OsString],
        folder: &Path,
    ) -> Result<Self, FleetError> {
        let log = folder.join(format!("{name}.log"));
        let log_from = read_log(&log).len();
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(open_log(&log)?)
            .stderr(open_log(&log)?)
            .kill_on_drop(true)
            .spawn()
            .context(SpawnSnafu { process: name })?;
        let mut process = Self {
            name: name.to_owned(),
            child,
            log,
            log_from,
            addresses: BTreeMap::new(),
        };
        let found = process
            .await_log("word of where it listens", START_BOUND, listening)
            .await?;
        process.addresses = found;
        Ok(process)
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id, unless it has ended.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns the file that its output goes to.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Returns the address that it announced under `key`.
    ///
    /// # Errors
    /// Fails if it announced none.
    pub fn address(&self, key: &str) -> Result<SocketAddr, FleetError> {
        self.addresses.get(key).copied().context(TimedOutSnafu {
            process: &self.name,
            awaited: format!("address `{key}`"),
            bound: START_BOUND,
            tail: self.tail(),
        })
    }

    /// Sends a signal, if the process hasn't ended.
    ///
    /// # Errors
    /// Fails if the system refuses it.
    pub fn signal(&self, signal: Signal) -> Result<(), FleetError> {
        // An id is there only until the child was waited for, so that it can't be another's.
        let pid = self
            .child
            .id()
            .and_then(|id| Pid::from_raw(id.cast_signed()));
        let Some(pid) = pid else {
            return Ok(());
        };
        kill_process(pid, signal.number())
            .map_err(std::io::Error::from)
            .context(SignalProcessSnafu {
                process: &self.name,
            })
    }

    /// Returns how it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until it has ended.
    ///
    /// # Errors
    /// Fails if it still runs after `bound`.
    pub async fn wait_end(&mut self, bound: Duration) -> Result<ExitStatus, FleetError> {
        let status = tokio::time::timeout(bound, self.child.wait()).await;
        status.ok().and_then(Result::ok).context(TimedOutSnafu {
            process: &self.name,
            awaited: "end",
            bound,
            tail: self.tail(),
        })
    }

    /// Waits until `find` finds something in a line of the log.
    ///
    /// # Errors
    /// Fails if the process ends or nothing was found within `bound`.
    pub async fn await_log<T>(
        &mut self,
        awaited: &str,
        bound: Duration,
        find: impl Fn(&Value) -> Option<T>,
    ) -> Result<T, FleetError> {
        let end = tokio::time::Instant::now() + bound;
        loop {
            // Looking for the end first: what it wrote before is in the file by then.
            let ended = self.ended();
            if let Some(found) = self.log_lines().iter().find_map(&find) {
                return Ok(found);
            }
            if let Some(status) = ended {
                return EndedSnafu {
                    process: &self.name,
                    status,
                    awaited,
                    tail: self.tail(),
                }
                .fail();
            }
            if tokio::time::Instant::now() >= end {
                return TimedOutSnafu {
                    process: &self.name,
                    awaited,
                    bound,
                    tail: self.tail(),
                }
                .fail();
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Returns the lines that this process wrote to its log and that are JSON.
    pub fn log_lines(&self) -> Vec<Value> {
        self.log_text()
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()
    }

    /// Returns the last lines that this process wrote to its log.
    pub fn tail(&self) -> String {
        let text = self.log_text();
        let lines: Vec<_> = text.lines().collect();
        lines[lines.len().saturating_sub(TAIL_LINES)..]
            .iter()
            .map(|line| format!("  {}\n", line.chars().take(TAIL_WIDTH).collect::<String>()))
            .collect()
    }

    fn log_text(&self) -> String {
        let bytes = read_log(&self.log);
        String::from_utf8_lossy(bytes.get(self.log_from..).unwrap_or_default()).into_owned()
    }
}

/// Reads a log; one that isn't there yet is empty.
fn read_log(path: &Path) -> Vec<u8> {
    std::fs::read(path).unwrap_or_default()
}

/// Opens a log to append to, so that output and errors don't write over each other.
fn open_log(path: &Path) -> Result<File, FleetError> {
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .context(FileSnafu { path })
}

/// Reads the addresses from a line that says where a process listens.
///
/// Stand-ins write `{"listening":"IP:PORT",…}`; `chervilshuntd` writes a log line with the message
/// `listening` and a field for each port.
fn listening(line: &Value) -> Option<BTreeMap<String, SocketAddr>> {
    let fields = line.as_object()?;
    if !fields.contains_key("listening") && fields.get("msg")? != "listening" {
        return None;
    }
    let addresses = fields.iter().filter_map(|(key, value)| {
        let address = value.as_str()?.parse().ok()?;
        Some((key.clone(), address))
    });
    Some(addresses.collect())
}

//! A child process and its log file.

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
use super::wait::POLL_INTERVAL;

/// Time limit for a process to announce its addresses.
const START_BOUND: Duration = Duration::from_secs(20);

/// Number of log lines included in an error.
const TAIL_LINES: usize = 12;

/// Length to which log lines in an error are truncated, in characters.
const TAIL_WIDTH: usize = 400;

/// The signals that a process can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Kills it immediately (`SIGKILL`).
    Kill,
    /// Requests a graceful shutdown (`SIGTERM`).
    Terminate,
    /// Pauses it (`SIGSTOP`).
    Freeze,
    /// Resumes it (`SIGCONT`).
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

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
    /// Byte offset in the log at which the output of this process begins: a process restarted under
    /// the same name appends to the existing file.
    log_from: usize,
    addresses: BTreeMap<String, SocketAddr>,
}

impl Process {
    /// Starts a program and waits until it announces its listening addresses.
    ///
    /// Standard output and standard error go to the file `NAME.log` in `folder`. With a pipe, the
    /// process would block while the harness is slow to read.
    ///
    /// # Errors
    /// Returns an error if the program can't be started, exits early, or announces no address within
    /// 20 seconds.
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
            .await_log(
                "announcement of its listening addresses",
                START_BOUND,
                listening,
            )
            .await?;
        process.addresses = found;
        Ok(process)
    }

    /// Returns the name given to the process at its start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id, or `None` once the process has been reaped.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns the path of the log file.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Returns the address that the process announced under `key`.
    ///
    /// # Errors
    /// Returns an error if it announced no such address.
    pub fn address(&self, key: &str) -> Result<SocketAddr, FleetError> {
        self.addresses.get(key).copied().context(TimedOutSnafu {
            process: &self.name,
            awaited: format!("address `{key}`"),
            bound: START_BOUND,
            tail: self.tail(),
        })
    }

    /// Sends a signal. Does nothing if the process has been reaped.
    ///
    /// # Errors
    /// Returns an error if the operating system rejects the signal.
    pub fn signal(&self, signal: Signal) -> Result<(), FleetError> {
        // `id` returns `None` once the child was reaped, so the pid can't have been reused.
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

    /// Returns the exit status if the process has exited.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process has exited.
    ///
    /// # Errors
    /// Returns an error if it is still running after `bound`.
    pub async fn wait_end(&mut self, bound: Duration) -> Result<ExitStatus, FleetError> {
        let status = tokio::time::timeout(bound, self.child.wait()).await;
        status.ok().and_then(Result::ok).context(TimedOutSnafu {
            process: &self.name,
            awaited: "exit",
            bound,
            tail: self.tail(),
        })
    }

    /// Polls the log until `find` returns a value for one of its JSON lines.
    ///
    /// # Errors
    /// Returns an error if the process exits first or no line matches within `bound`.
    pub async fn await_log<T>(
        &mut self,
        awaited: &str,
        bound: Duration,
        find: impl Fn(&Value) -> Option<T>,
    ) -> Result<T, FleetError> {
        let end = tokio::time::Instant::now() + bound;
        loop {
            // Check for the exit before reading the log, so that everything the process wrote is read.
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
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the JSON lines that this process wrote to its log.
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

/// Reads a log file. Returns no bytes if it does not exist yet or can't be read.
fn read_log(path: &Path) -> Vec<u8> {
    std::fs::read(path).unwrap_or_default()
}

/// Opens a log file in append mode, so that standard output and standard error don't overwrite each
/// other.
fn open_log(path: &Path) -> Result<File, FleetError> {
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .context(FileSnafu { path })
}

/// Parses the addresses from the line that announces them; returns `None` for other lines.
///
/// Stand-ins print `{"listening":"IP:PORT",…}`; `chervilshuntd` logs the message `listening` with a
/// field for each port.
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

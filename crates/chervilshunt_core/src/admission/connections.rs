//! Decides whether a caller's connection is accepted.

use std::time::Duration;

use chervilshunt_model::Moment;

/// Limits on callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// The number of callers' connections that may be open. Each may need another one to a target, and
    /// connections to the platform and to other instances have to remain.
    pub max_connections: usize,
    /// Delay of tasks that are due from which on this instance is behind: callers give a request up that is
    /// not read within a second.
    pub behind_lag: Duration,
    /// Delay from which on it has caught up. Hysteresis keeps it from changing its mind with every task.
    pub caught_up_lag: Duration,
    /// Time for which it has to be behind, or to have caught up, before that counts for readiness: the platform
    /// moves new callers elsewhere, and that should outlast a moment.
    pub readiness_delay: Duration,
}

impl AdmissionConfig {
    /// Creates the configuration for a process that may open this many descriptors.
    pub fn for_descriptors(descriptors: usize) -> Self {
        let for_callers = descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
        Self {
            max_connections: for_callers.max(MIN_CONNECTIONS),
            ..Self::default()
        }
    }
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            max_connections: DEFAULT_MAX_CONNECTIONS,
            behind_lag: Duration::from_millis(400),
            caught_up_lag: Duration::from_millis(100),
            readiness_delay: Duration::from_secs(1),
        }
    }
}

/// Descriptors that are kept for files, the platform, other instances and their requests in transit.
const RESERVED_DESCRIPTORS: usize = 900;
/// The number of connections that are accepted however few descriptors there are.
const MIN_CONNECTIONS: usize = 16;
/// The same if the number of descriptors is not known.
const DEFAULT_MAX_CONNECTIONS: usize = 8_192;
/// Part of the connections, as a divisor, that has to be free for callers to keep theirs.
const KEEPING_DIVISOR: usize = 4;

/// Why a connection is closed unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionRefusal {
    /// As many are open as may be.
    TooMany,
    /// This instance is behind, and would read the request too late.
    Behind,
}

impl ConnectionRefusal {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TooMany => "too_many",
            Self::Behind => "behind",
        }
    }
}

/// The callers' connections of one instance.
#[derive(Clone, Debug)]
pub struct ConnectionAdmission {
    cfg: AdmissionConfig,
    open: usize,
    is_behind: bool,
    /// Since when it is behind, or has caught up; `None` if it has never been behind.
    changed_at: Option<Moment>,
    /// Whether new callers should come here.
    is_ready: bool,
}

impl ConnectionAdmission {
    /// Creates the state without connections.
    pub const fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            open: 0,
            is_behind: false,
            changed_at: None,
            is_ready: true,
        }
    }

    /// Counts a new connection.
    ///
    /// # Errors
    /// Returns why it has to be closed unread.
    pub const fn try_open(&mut self) -> Result<(), ConnectionRefusal> {
        if self.is_behind {
            return Err(ConnectionRefusal::Behind);
        }
        if self.open >= self.cfg.max_connections {
            return Err(ConnectionRefusal::TooMany);
        }
        self.open += 1;
        Ok(())
    }

    /// Counts a new connection for which another one is being closed.
    pub const fn open_replacing(&mut self) {
        self.open += 1;
    }

    /// Records that an accepted connection has ended.
    pub const fn closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Records by how much a task was late that was due. Returns whether this instance is now behind, if that
    /// has changed.
    pub fn lag_measured(&mut self, lag: Duration, now: Moment) -> Option<bool> {
        let is_behind = if self.is_behind {
            lag > self.cfg.caught_up_lag
        } else {
            lag >= self.cfg.behind_lag
        };
        if is_behind == self.is_behind {
            return None;
        }
        self.is_behind = is_behind;
        self.changed_at = Some(now);
        Some(is_behind)
    }

    /// Returns whether callers may keep their connections after an answer. Otherwise they are asked to send
    /// their next requests on new ones, which other instances get.
    pub const fn may_keep(&self) -> bool {
        !self.is_behind
            && self.open + self.cfg.max_connections / KEEPING_DIVISOR <= self.cfg.max_connections
    }

    /// Returns whether new callers should come here.
    pub fn is_ready(&mut self, now: Moment) -> bool {
        let changed_at = self.changed_at;
        if changed_at.is_some_and(|at| now.since(at) >= self.cfg.readiness_delay) {
            self.is_ready = !self.is_behind;
        }
        self.is_ready
    }

    /// Returns the number of open connections.
    pub const fn open(&self) -> usize {
        self.open
    }
}

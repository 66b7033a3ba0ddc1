//! TCP forwarders that inject network faults between instances: partitions, delays and black holes.
//!
//! Each instance advertises the address of a forwarder instead of its own peer port. The forwarder
//! looks up in `/proc` which child process opened a connection, so that the link between one pair
//! of instances can be cut while the others stay open.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use snafu::ResultExt as _;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

use super::error::{FleetError, ListenSnafu};

/// Buffer size of a forwarder per connection and direction.
const CHUNK_BYTES: usize = 16 * 1024;

/// How a link treats traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards all bytes immediately.
    Open,
    /// Closes existing connections and new ones as soon as they are accepted.
    Cut,
    /// Forwards each chunk after a delay.
    Delay(Duration),
    /// Accepts connections but forwards no bytes until the mode changes.
    BlackHole,
}

/// The link between two instances, or all links of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Link {
    a: String,
    b: Option<String>,
}

impl Link {
    /// Selects the link between two instances, in both directions.
    pub fn between(a: &str, b: &str) -> Self {
        Self {
            a: a.to_owned(),
            b: Some(b.to_owned()),
        }
    }

    /// Selects all links between one instance and its peers.
    pub fn all_of(id: &str) -> Self {
        Self {
            a: id.to_owned(),
            b: None,
        }
    }

    fn joins(&self, from: Option<&str>, to: &str) -> bool {
        let from = from.unwrap_or_default();
        match &self.b {
            Some(b) => (self.a == from && b == to) || (self.a == to && b == from),
            None => self.a == from || self.a == to,
        }
    }
}

type Rules = Vec<(Link, LinkMode)>;

/// Link rules and process ids shared by the forwarders of a fleet.
#[derive(Debug)]
pub(crate) struct Links {
    rules: watch::Sender<Rules>,
    pids: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl Links {
    pub(crate) fn new() -> Self {
        Self {
            rules: watch::Sender::new(Vec::new()),
            pids: Arc::default(),
        }
    }

    /// Sets the mode of a link, replacing an earlier mode of the same link.
    pub(crate) fn set(&self, link: Link, mode: LinkMode) {
        self.rules.send_modify(|rules| {
            rules.retain(|(other, _)| *other != link);
            if mode != LinkMode::Open {
                rules.push((link, mode));
            }
        });
    }

    /// Resets all links to [`LinkMode::Open`].
    pub(crate) fn heal(&self) {
        self.rules.send_modify(Vec::clear);
    }

    /// Starts a forwarder for the peer port of an instance that has not been started yet.
    pub(crate) async fn open(&self, to: &str) -> Result<Forwarder, FleetError> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .context(ListenSnafu)?;
        let address = listener.local_addr().context(ListenSnafu)?;
        let destination = watch::Sender::new(None);
        let accept = Accept {
            to: to.into(),
            address,
            destination: destination.subscribe(),
            rules: self.rules.subscribe(),
            pids: Arc::clone(&self.pids),
        };
        let task = AbortOnDropHandle::new(tokio::spawn(accept.run(listener)));
        Ok(Forwarder {
            address,
            destination,
            _task: task,
        })
    }

    /// Records the process id of an instance.
    pub(crate) fn set_pid(&self, id: &str, pid: u32) {
        let mut pids = self.pids.lock().unwrap_or_else(PoisonError::into_inner);
        pids.insert(id.to_owned(), pid);
    }
}

/// Accepts connections in place of the peer port of one instance.
#[derive(Debug)]
pub(crate) struct Forwarder {
    address: SocketAddr,
    destination: watch::Sender<Option<SocketAddr>>,
    _task: AbortOnDropHandle<()>,
}

impl Forwarder {
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address on which the instance itself listens.
    pub(crate) fn set_destination(&self, destination: SocketAddr) {
        self.destination.send_replace(Some(destination));
    }
}

#[derive(Clone)]
struct Accept {
    to: Arc<str>,
    address: SocketAddr,
    destination: watch::Receiver<Option<SocketAddr>>,
    rules: watch::Receiver<Rules>,
    pids: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl Accept {
    async fn run(self, listener: TcpListener) {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, from)) = listener.accept().await {
            connections.spawn(self.clone().carry(stream, from));
            while connections.try_join_next().is_some() {}
        }
    }

    async fn carry(self, stream: TcpStream, from: SocketAddr) {
        let from = self.instance_at(from);
        let mode = self.modes(from);
        let Some(destination) = *self.destination.borrow() else {
            return;
        };
        if *mode.borrow() == LinkMode::Cut {
            return;
        }
        let Ok(onward) = TcpStream::connect(destination).await else {
            return;
        };
        let _best_effort = (stream.set_nodelay(true), onward.set_nodelay(true));
        let (read, write) = stream.into_split();
        let (onward_read, onward_write) = onward.into_split();
        let mut cut = mode.clone();
        tokio::select! {
            ((), ()) = async {
                tokio::join!(copy(read, onward_write, mode.clone()), copy(onward_read, write, mode))
            } => {}
            _cut = cut.wait_for(|mode| *mode == LinkMode::Cut) => {}
        }
    }

    /// Returns the current mode for connections from an instance, updated when the rules change.
    fn modes(&self, from: Option<String>) -> watch::Receiver<LinkMode> {
        let mut rules = self.rules.clone();
        let to = Arc::clone(&self.to);
        let mode_now = move |rules: &Rules| {
            let mut joining = rules
                .iter()
                .filter(|(link, _)| link.joins(from.as_deref(), &to));
            joining.next().map_or(LinkMode::Open, |(_, mode)| *mode)
        };
        let (tx, rx) = watch::channel(mode_now(&rules.borrow_and_update()));
        tokio::spawn(async move {
            while rules.changed().await.is_ok() && !tx.is_closed() {
                tx.send_replace(mode_now(&rules.borrow_and_update()));
            }
        });
        rx
    }

    /// Returns the instance whose process owns the remote end of a connection.
    fn instance_at(&self, from: SocketAddr) -> Option<String> {
        let inode = socket_inode(from, self.address)?;
        let pids = self.pids.lock().unwrap_or_else(PoisonError::into_inner);
        let mut holders = pids.iter().filter(|(_, pid)| holds_socket(**pid, &inode));
        holders.next().map(|(id, _)| id.clone())
    }
}

async fn copy(mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, mut mode: watch::Receiver<LinkMode>) {
    let mut buf = vec![0; CHUNK_BYTES];
    while let Ok(read @ 1..) = rx.read(&mut buf).await {
        let now = *mode.borrow_and_update();
        if let LinkMode::Delay(delay) = now {
            tokio::time::sleep(delay).await;
        }
        // Bytes are held back until the black hole ends, as TCP would retransmit them then.
        drop(mode.wait_for(|mode| *mode != LinkMode::BlackHole).await);
        if tx.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
    let _best_effort = tx.shutdown().await;
}

/// Looks up the inode of a connection's socket in `/proc/net/tcp`, by local and remote address.
fn socket_inode(own: SocketAddr, far: SocketAddr) -> Option<String> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let (own, far) = (table_form(own)?, table_form(far)?);
    table.lines().find_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        (fields.next()? == own && fields.next()? == far).then_some(())?;
        // After the two addresses, six columns precede the inode.
        fields.nth(6).map(str::to_owned)
    })
}

/// Formats an address as in `/proc/net/tcp`: the four bytes read as a little-endian number, in
/// hexadecimal.
fn table_form(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(v4) = address else {
        return None;
    };
    let number = u32::from_le_bytes(v4.ip().octets());
    Some(format!("{number:08X}:{:04X}", v4.port()))
}

fn holds_socket(pid: u32, inode: &str) -> bool {
    let wanted = format!("socket:[{inode}]");
    let Ok(files) = std::fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    files
        .filter_map(|file| std::fs::read_link(file.ok()?.path()).ok())
        .any(|link| link.as_os_str() == wanted.as_str())
}

//! Links between instances that can be cut, slowed or silenced.
//!
//! Each instance advertises the address of a forwarder in place of its peers' port. The forwarder
//! asks the kernel which child process opened a connection, so that the link of one pair can be
//! cut while the others stay.

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

/// The bytes that a forwarder holds at most in one direction.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a link does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// It carries everything at once.
    Open,
    /// It closes its connections and takes no new ones.
    Cut,
    /// It carries everything after a delay.
    Delay(Duration),
    /// It takes connections and bytes and carries nothing.
    BlackHole,
}

/// A link between two instances, or of one instance with all others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Link {
    a: String,
    b: Option<String>,
}

impl Link {
    /// The link between two instances, in both directions.
    pub fn between(a: &str, b: &str) -> Self {
        Self {
            a: a.to_owned(),
            b: Some(b.to_owned()),
        }
    }

    /// All links of one instance with its peers.
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

/// The forwarders of a fleet.
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

    /// Sets what a link does, in place of what was set for it before.
    pub(crate) fn set(&self, link: Link, mode: LinkMode) {
        self.rules.send_modify(|rules| {
            rules.retain(|(other, _)| *other != link);
            if mode != LinkMode::Open {
                rules.push((link, mode));
            }
        });
    }

    /// Opens all links.
    pub(crate) fn heal(&self) {
        self.rules.send_modify(Vec::clear);
    }

    /// Opens a forwarder for the peers' port of an instance that is yet to start.
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

    /// Says which process an instance is.
    pub(crate) fn set_pid(&self, id: &str, pid: u32) {
        let mut pids = self.pids.lock().unwrap_or_else(PoisonError::into_inner);
        pids.insert(id.to_owned(), pid);
    }
}

/// Stands for the peers' port of one instance.
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

    /// Says where the instance truly listens.
    pub(crate) fn lead_to(&self, destination: SocketAddr) {
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

    /// Follows what the rules say of connections from an instance.
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

    /// Finds the instance whose process holds the other end of a connection.
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
        // Bytes wait for the link to open, as TCP would send them again after a black hole.
        drop(mode.wait_for(|mode| *mode != LinkMode::BlackHole).await);
        if tx.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
    let _best_effort = tx.shutdown().await;
}

/// Finds the socket of a connection in the kernel's table, by its own and its far end.
fn socket_inode(own: SocketAddr, far: SocketAddr) -> Option<String> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let (own, far) = (table_form(own)?, table_form(far)?);
    table.lines().find_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        (fields.next()? == own && fields.next()? == far).then_some(())?;
        // The inode stands six columns after the two addresses.
        fields.nth(6).map(str::to_owned)
    })
}

/// Writes an address as the kernel's table does: its four bytes as a little-endian number.
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

//! Counters of connections, messages and bytes, by purpose.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};

use metrics::{Counter, Gauge, counter, gauge};

/// Messages and bytes in both directions.
///
/// Bytes include the WebSocket frame header, but not TCP and IP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent.
    pub messages_out: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Messages received.
    pub messages_in: u64,
    /// Bytes received.
    pub bytes_in: u64,
}

/// A snapshot of the counters of a mesh since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MeshCounters {
    /// Traffic of the application's messages by purpose.
    pub by_purpose: BTreeMap<&'static str, Traffic>,
    /// Bytes written to sockets, including handshakes, pings and close frames.
    pub socket_bytes_out: u64,
    /// Bytes read from sockets.
    pub socket_bytes_in: u64,
    /// Connections that are open now.
    pub open: u64,
    /// Connections opened by this instance.
    pub dialled: u64,
    /// Connections opened by peers.
    pub accepted: u64,
    /// Connection requests of peers that this instance refused.
    pub refused: u64,
    /// Failed attempts to open a connection.
    pub dial_failures: u64,
    /// Connections that failed or were shut down.
    pub lost: u64,
    /// Connections that were closed because they were idle.
    pub closed_idle: u64,
    /// Requests of peers that were rejected because too many were waiting.
    pub busy: u64,
    /// Messages from peers that could not be decoded.
    pub unreadable: u64,
    /// One-way messages that were dropped before they were written to a socket.
    pub dropped: u64,
}

impl MeshCounters {
    /// Returns the bytes sent and received that belong to no message, such as handshakes and pings.
    pub fn connection_bytes(&self) -> u64 {
        let messages: u64 = self
            .by_purpose
            .values()
            .map(|traffic| traffic.bytes_out + traffic.bytes_in)
            .sum();
        (self.socket_bytes_out + self.socket_bytes_in).saturating_sub(messages)
    }
}

/// A counter that is readable for snapshots and published as a metric.
#[derive(Debug)]
pub(crate) struct MetricCounter {
    value: AtomicU64,
    metric: Counter,
}

impl MetricCounter {
    const fn new(metric: Counter) -> Self {
        Self {
            value: AtomicU64::new(0),
            metric,
        }
    }

    pub(crate) fn add(&self, amount: u64) {
        self.value.fetch_add(amount, Relaxed);
        self.metric.increment(amount);
    }

    fn get(&self) -> u64 {
        self.value.load(Relaxed)
    }
}

#[derive(Debug)]
struct PurposeCounters {
    messages_out: MetricCounter,
    bytes_out: MetricCounter,
    messages_in: MetricCounter,
    bytes_in: MetricCounter,
}

impl PurposeCounters {
    fn new(purpose: &'static str) -> Self {
        Self {
            messages_out: MetricCounter::new(
                counter!("mesh_messages_total", "purpose" => purpose, "direction" => "out"),
            ),
            bytes_out: MetricCounter::new(
                counter!("mesh_message_bytes_total", "purpose" => purpose, "direction" => "out"),
            ),
            messages_in: MetricCounter::new(
                counter!("mesh_messages_total", "purpose" => purpose, "direction" => "in"),
            ),
            bytes_in: MetricCounter::new(
                counter!("mesh_message_bytes_total", "purpose" => purpose, "direction" => "in"),
            ),
        }
    }

    fn traffic(&self) -> Traffic {
        Traffic {
            messages_out: self.messages_out.get(),
            bytes_out: self.bytes_out.get(),
            messages_in: self.messages_in.get(),
            bytes_in: self.bytes_in.get(),
        }
    }
}

/// The counters of one mesh.
#[derive(Debug)]
pub(crate) struct Counters {
    by_purpose: Mutex<BTreeMap<&'static str, Arc<PurposeCounters>>>,
    socket_out: MetricCounter,
    socket_in: MetricCounter,
    open: AtomicU64,
    open_gauge: Gauge,
    pub(crate) dialled: MetricCounter,
    pub(crate) accepted: MetricCounter,
    pub(crate) refused: MetricCounter,
    pub(crate) dial_failures: MetricCounter,
    pub(crate) lost: MetricCounter,
    pub(crate) closed_idle: MetricCounter,
    pub(crate) busy: MetricCounter,
    pub(crate) unreadable: MetricCounter,
    pub(crate) dropped: MetricCounter,
}

impl Counters {
    pub(crate) fn new() -> Self {
        Self {
            by_purpose: Mutex::new(BTreeMap::new()),
            socket_out: MetricCounter::new(
                counter!("mesh_socket_bytes_total", "direction" => "out"),
            ),
            socket_in: MetricCounter::new(counter!("mesh_socket_bytes_total", "direction" => "in")),
            open: AtomicU64::new(0),
            open_gauge: gauge!("mesh_connections"),
            dialled: MetricCounter::new(counter!("mesh_connections_opened_total", "by" => "us")),
            accepted: MetricCounter::new(counter!("mesh_connections_opened_total", "by" => "peer")),
            refused: MetricCounter::new(counter!("mesh_connections_refused_total")),
            dial_failures: MetricCounter::new(counter!("mesh_dial_failures_total")),
            lost: MetricCounter::new(counter!("mesh_connections_lost_total")),
            closed_idle: MetricCounter::new(counter!("mesh_connections_closed_idle_total")),
            busy: MetricCounter::new(counter!("mesh_requests_busy_total")),
            unreadable: MetricCounter::new(counter!("mesh_messages_unreadable_total")),
            dropped: MetricCounter::new(counter!("mesh_messages_dropped_total")),
        }
    }

    pub(crate) fn socket_out(&self, bytes: usize) {
        self.socket_out.add(bytes as u64);
    }

    pub(crate) fn socket_in(&self, bytes: usize) {
        self.socket_in.add(bytes as u64);
    }

    pub(crate) fn message_out(&self, purpose: &'static str, bytes: u64) {
        let counters = self.purpose(purpose);
        counters.messages_out.add(1);
        counters.bytes_out.add(bytes);
    }

    pub(crate) fn message_in(&self, purpose: &'static str, bytes: u64) {
        let counters = self.purpose(purpose);
        counters.messages_in.add(1);
        counters.bytes_in.add(bytes);
    }

    pub(crate) fn connection_opened(&self) {
        self.open.fetch_add(1, Relaxed);
        self.open_gauge.increment(1.0);
    }

    pub(crate) fn connection_ended(&self) {
        self.open.fetch_sub(1, Relaxed);
        self.open_gauge.decrement(1.0);
    }

    pub(crate) fn snapshot(&self) -> MeshCounters {
        let by_purpose = self
            .by_purpose
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        MeshCounters {
            by_purpose: by_purpose
                .iter()
                .map(|(purpose, counters)| (*purpose, counters.traffic()))
                .collect(),
            socket_bytes_out: self.socket_out.get(),
            socket_bytes_in: self.socket_in.get(),
            open: self.open.load(Relaxed),
            dialled: self.dialled.get(),
            accepted: self.accepted.get(),
            refused: self.refused.get(),
            dial_failures: self.dial_failures.get(),
            lost: self.lost.get(),
            closed_idle: self.closed_idle.get(),
            busy: self.busy.get(),
            unreadable: self.unreadable.get(),
            dropped: self.dropped.get(),
        }
    }

    fn purpose(&self, purpose: &'static str) -> Arc<PurposeCounters> {
        let mut by_purpose = self
            .by_purpose
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let counters = by_purpose
            .entry(purpose)
            .or_insert_with(|| Arc::new(PurposeCounters::new(purpose)));
        Arc::clone(counters)
    }
}

//! Limits of message sizes and queues, and the byte counters.

use chervilshunt_mesh::{MeshCounters, RequestError, SendError};

use crate::common::{TEST_TIMEOUT, answer, config, node, node_with, note, question};
use crate::frozen::frozen_peer;

#[tokio::test]
async fn a_message_above_the_limit_is_refused_before_it_is_sent() {
    let mut cfg = config("a");
    cfg.max_message_bytes = 100;
    let a = node_with(cfg).await;
    let mut b = node("b").await;
    let error = a.mesh.send(&b.peer, note(&"x".repeat(100))).unwrap_err();
    assert!(
        matches!(error, SendError::TooLarge { limit: 100, bytes } if bytes > 100),
        "{error}"
    );
    a.mesh.send(&b.peer, note(&"x".repeat(80))).unwrap();
    assert_eq!(b.message().await.message, note(&"x".repeat(80)));
}

/// Guards against buffering an oversized message from a peer with a higher limit. The connection
/// must fail first, and the sender's request must be reported as lost.
#[tokio::test]
async fn a_message_above_the_receivers_limit_is_not_received() {
    let a = node("a").await;
    let mut cfg = config("b");
    cfg.max_message_bytes = 100;
    let mut b = node_with(cfg).await;
    let long = question(&"x".repeat(10_000));
    let error = a
        .mesh
        .request(&b.peer, long, TEST_TIMEOUT)
        .await
        .unwrap_err();
    assert_eq!(error, RequestError::Lost);
    assert_eq!(b.lost().await, "a");
}

/// Guards against unbounded queueing for a peer that does not read. Once the queue is full, sending
/// must fail immediately, and the connection must be aborted eventually.
#[tokio::test]
async fn a_full_queue_rejects_messages_immediately() {
    let mut cfg = config("a");
    cfg.queue_messages = 3;
    let mut a = node_with(cfg).await;
    let peer = frozen_peer("b").await;
    a.mesh.send(&peer, note("hello")).unwrap();
    a.until(|counters| counters.open == 1).await;
    let megabyte = "x".repeat(1_000_000);
    let error = loop {
        if let Err(error) = a.mesh.send(&peer, note(&megabyte)) {
            break error;
        }
        tokio::task::yield_now().await;
    };
    assert!(
        matches!(error, SendError::QueueFull { limit: 3, .. }),
        "{error}"
    );
    assert_eq!(a.lost().await, "b");
}

/// Guards against handling a request that was rejected as busy. The application does not read its
/// inbound queue, so that further requests are rejected and the peer can retry on another instance.
#[tokio::test]
async fn requests_to_an_overloaded_peer_are_rejected() {
    let a = node("a").await;
    let mut cfg = config("b");
    cfg.queue_messages = 2;
    let mut b = node_with(cfg).await;
    let ask = |text: &'static str| {
        let (mesh, peer) = (a.mesh.clone(), b.peer.clone());
        tokio::spawn(async move { mesh.request(&peer, question(text), TEST_TIMEOUT).await })
    };
    let asked = [ask("1"), ask("2"), ask("3")];
    b.until(|counters| counters.busy == 1).await;
    for _ in 0..2 {
        b.message().await.reply.unwrap().send(answer("!")).unwrap();
    }
    let mut results = Vec::new();
    for asked in asked {
        results.push(asked.await.unwrap());
    }
    let busy = results
        .iter()
        .filter(|result| **result == Err(RequestError::Busy));
    assert_eq!(busy.count(), 1);
    let answered = results.iter().filter(|result| **result == Ok(answer("!")));
    assert_eq!(answered.count(), 2);
    assert!(b.inbound.try_recv().is_err());
}

/// Guards against unattributed message bytes: the remaining bytes on the socket are those of the
/// handshake, which do not grow with the messages.
#[tokio::test]
async fn every_byte_of_messages_is_attributed() {
    let a = node("a").await;
    let mut b = node("b").await;
    let mut overheads = Vec::new();
    for size in [1, 100, 200, 70_000] {
        let (mesh, peer) = (a.mesh.clone(), b.peer.clone());
        let text = "x".repeat(size);
        let asked =
            tokio::spawn(async move { mesh.request(&peer, question(&text), TEST_TIMEOUT).await });
        b.message().await.reply.unwrap().send(answer("!")).unwrap();
        asked.await.unwrap().unwrap();
        b.until(|counters| counters.socket_bytes_in == a.mesh.counters().socket_bytes_out)
            .await;
        overheads.push((
            a.mesh.counters().connection_bytes(),
            b.mesh.counters().connection_bytes(),
        ));
    }
    assert!(overheads[0].0 > 0);
    assert_eq!(overheads, [overheads[0]; 4]);
    let (sent, taken) = (a.mesh.counters(), b.mesh.counters());
    assert_eq!(sent.by_purpose["question"].messages_out, 4);
    assert_eq!(
        sent.by_purpose["question"].bytes_out,
        taken.by_purpose["question"].bytes_in
    );
    assert_eq!(
        sent.by_purpose["answer"].bytes_in,
        taken.by_purpose["answer"].bytes_out
    );
    assert_eq!(overheads[0].0, overheads[0].1);
}

#[tokio::test]
async fn a_mesh_that_sends_nothing_counts_nothing() {
    let a = node("a").await;
    assert_eq!(a.mesh.counters(), MeshCounters::default());
}

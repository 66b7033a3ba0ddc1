//! Connections that are cut on one side, or closed as idle while requests are sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_mesh::{Inbound, Peer, RequestError};
use tokio::io::copy;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::common::{TEST_TIMEOUT, answer, config, node, node_with, note, question};

/// Starts a TCP proxy to an address; each notification cuts the opener's side of the oldest
/// connection.
async fn cuttable_proxy(to: SocketAddr) -> (SocketAddr, Arc<Notify>) {
    let listener = TcpListener::bind(("127.0.0.1", 0))
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let cut = Arc::new(Notify::new());
    let cut_by = Arc::clone(&cut);
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(to).await.expect("the peer listens");
            let cut = Arc::clone(&cut_by);
            tokio::spawn(async move {
                let (mut near_in, mut near_out) = near.into_split();
                let (mut far_in, mut far_out) = far.into_split();
                tokio::select! {
                    _ = copy(&mut near_in, &mut far_out) => return,
                    _ = copy(&mut far_in, &mut near_out) => return,
                    () = cut.notified() => {}
                }
                drop((near_in, near_out));
                // The far side stays connected.
                tokio::time::sleep(TEST_TIMEOUT).await;
                drop((far_in, far_out));
            });
        }
    });
    (address, cut)
}

/// Guards against an owner dropping a new request. A connection is cut on the entry instance's side
/// only, which reconnects and sends another request. On the loss, the owner drops all queued
/// requests of that instance, so the loss must be reported before the new request is delivered.
#[tokio::test]
async fn a_loss_is_reported_before_messages_of_the_next_connection() {
    let mut a = node("a").await;
    let mut b = node("b").await;
    let (address, cut) = cuttable_proxy(b.peer.address).await;
    let peer = Peer {
        instance: "b".into(),
        address,
    };
    let ask = |text: &'static str| {
        let (mesh, peer) = (a.mesh.clone(), peer.clone());
        tokio::spawn(async move { mesh.request(&peer, question(text), TEST_TIMEOUT).await })
    };
    let first = ask("first");
    let held = b.message().await;
    cut.notify_one();
    assert_eq!(first.await.unwrap(), Err(RequestError::Lost));
    let second = ask("second");
    assert!(matches!(b.next().await, Inbound::Lost(_)));
    assert!(held.reply.unwrap().is_closed());
    let got = b.message().await;
    assert_eq!(got.message, question("second"));
    got.reply.unwrap().send(answer("!")).unwrap();
    assert_eq!(second.await.unwrap(), Ok(answer("!")));
    assert_eq!(a.lost().await, "b");
}

/// Guards against requests that are lost or delivered twice when an idle connection is closed. Both
/// sides have a very short idle timeout while requests are sent; a request that is in flight during
/// the close must be resent on another connection.
#[tokio::test]
async fn closing_idle_connections_neither_loses_nor_duplicates() {
    const ROUNDS: u64 = 400;
    let fast_idle_config = |name| {
        let mut cfg = config(name);
        cfg.idle_timeout = Duration::from_micros(500);
        cfg.ping_after = Duration::from_millis(1);
        cfg.ping_timeout = TEST_TIMEOUT;
        cfg
    };
    let a = node_with(fast_idle_config("a")).await;
    let mut b = node_with(fast_idle_config("b")).await;
    let (mesh, peer) = (a.mesh.clone(), b.peer.clone());
    let asking = tokio::spawn(async move {
        for round in 0..ROUNDS {
            tokio::time::sleep(Duration::from_micros(round * 37 % 4_000)).await;
            let result = mesh.request(&peer, question("?"), TEST_TIMEOUT).await;
            assert_eq!(result, Ok(answer("!")), "round {round}");
            mesh.send(&peer, note("done")).unwrap();
        }
    });
    let (mut questions, mut notes) = (0, 0);
    while questions + notes < 2 * ROUNDS {
        let got = b.message().await;
        match got.reply {
            Some(reply) => {
                questions += 1;
                reply.send(answer("!")).unwrap();
            }
            None => notes += 1,
        }
    }
    asking.await.unwrap();
    assert_eq!((questions, notes), (ROUNDS, ROUNDS));
    assert!(
        a.mesh.counters().closed_idle > 10,
        "{:?}",
        a.mesh.counters()
    );
    assert_eq!(a.mesh.counters().lost + b.mesh.counters().lost, 0);
    assert!(b.inbound.try_recv().is_err());
}

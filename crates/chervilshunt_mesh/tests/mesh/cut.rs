//! Connections that are cut between the peers, also on one side only.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_mesh::{Inbound, Peer, RequestError};
use tokio::io::copy;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::common::{PATIENCE, answer, config, node, node_with, note, question};

/// Passes connections on to an address; each notice cuts the opener's side of the oldest one.
async fn passage(to: SocketAddr) -> (SocketAddr, Arc<Notify>) {
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
                // The far side sees nothing of it.
                tokio::time::sleep(PATIENCE).await;
                drop((far_in, far_out));
            });
        }
    });
    (address, cut)
}

/// A connection is cut, and only the entry instance notices. It connects anew and asks again. The
/// owner has to learn of the loss before it gets the new request: it takes what it holds for the
/// instance out of its queue then, and would take out the new request too.
#[tokio::test]
async fn a_loss_is_reported_before_anything_of_the_next_connection() {
    let mut a = node("a").await;
    let mut b = node("b").await;
    let (address, cut) = passage(b.peer.address).await;
    let peer = Peer {
        instance: "b".into(),
        address,
    };
    let ask = |text: &'static str| {
        let (mesh, peer) = (a.mesh.clone(), peer.clone());
        tokio::spawn(async move { mesh.request(&peer, question(text), PATIENCE).await })
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

/// Both sides close idle connections after almost no time, while requests keep coming. A request
/// that crosses the close is sent again on another connection: none is lost, and none arrives
/// twice.
#[tokio::test]
async fn closing_idle_connections_loses_and_doubles_nothing() {
    const ROUNDS: u64 = 400;
    let eager = |name| {
        let mut cfg = config(name);
        cfg.idle_timeout = Duration::from_micros(500);
        cfg.ping_after = Duration::from_millis(1);
        cfg.ping_timeout = PATIENCE;
        cfg
    };
    let a = node_with(eager("a")).await;
    let mut b = node_with(eager("b")).await;
    let (mesh, peer) = (a.mesh.clone(), b.peer.clone());
    let asking = tokio::spawn(async move {
        for round in 0..ROUNDS {
            tokio::time::sleep(Duration::from_micros(round * 37 % 4_000)).await;
            let result = mesh.request(&peer, question("?"), PATIENCE).await;
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

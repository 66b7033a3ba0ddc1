//! Messages, requests and answers between healthy peers.

use crate::common::{TEST_TIMEOUT, answer, node, note, question};

#[tokio::test]
async fn one_way_messages_arrive_in_order() {
    let a = node("a").await;
    let mut b = node("b").await;
    for text in ["one", "two", "three"] {
        a.mesh.send(&b.peer, note(text)).unwrap();
    }
    for text in ["one", "two", "three"] {
        let got = b.message().await;
        assert_eq!(got.message, note(text));
        assert_eq!(got.from, a.peer.instance);
        assert!(got.reply.is_none());
    }
}

#[tokio::test]
async fn answers_in_another_order_reach_their_own_requests() {
    let a = node("a").await;
    let mut b = node("b").await;
    let ask = |text: &'static str| {
        let mesh = a.mesh.clone();
        let peer = b.peer.clone();
        tokio::spawn(async move { mesh.request(&peer, question(text), TEST_TIMEOUT).await })
    };
    let asked = [ask("x"), ask("y"), ask("z")];
    let mut taken = Vec::new();
    for _ in 0..asked.len() {
        taken.push(b.message().await);
    }
    for got in taken.into_iter().rev() {
        let text = format!("{:?}", got.message);
        got.reply.unwrap().send(answer(&text)).unwrap();
    }
    for (asked, text) in asked.into_iter().zip(["x", "y", "z"]) {
        let expected = answer(&format!("{:?}", question(text)));
        assert_eq!(asked.await.unwrap(), Ok(expected));
    }
}

#[tokio::test]
async fn both_directions_share_one_connection() {
    let mut a = node("a").await;
    let mut b = node("b").await;
    a.mesh.send(&b.peer, note("hello")).unwrap();
    b.message().await;
    b.mesh.send(&a.peer, note("hello yourself")).unwrap();
    assert_eq!(a.message().await.message, note("hello yourself"));
    assert_eq!((a.mesh.counters().open, b.mesh.counters().dialled), (1, 0));
}

#[tokio::test]
async fn an_instance_reaches_itself_without_a_connection() {
    let mut a = node("a").await;
    a.mesh.send(&a.peer, note("to myself")).unwrap();
    assert_eq!(a.message().await.message, note("to myself"));
    let (mesh, peer) = (a.mesh.clone(), a.peer.clone());
    let asked = tokio::spawn(async move { mesh.request(&peer, question("?"), TEST_TIMEOUT).await });
    a.message().await.reply.unwrap().send(answer("!")).unwrap();
    assert_eq!(asked.await.unwrap(), Ok(answer("!")));
    assert_eq!(a.mesh.counters().socket_bytes_out, 0);
}

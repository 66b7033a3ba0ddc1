//! No call is sent twice, and only calls that no target has received are reported as "not run".

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chervilshunt_engine::{EngineClient, Outcome};
use common::{SECOND_PART_DELAY, ScriptedTarget, Step, plain, response, run};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const ID_HEADER: &str = "x-request-id: ";

/// The number of times that a request was received, at least partly, by request id.
type ReceiveCounts = Arc<Mutex<HashMap<String, u32>>>;

/// Guards against duplicate calls and a false "not run". The target closes connections at random
/// times: between calls, during a request and after it, so often just as the client reuses one.
/// The outcome that the client reports must agree with the target's record.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn not_run_is_true_and_nothing_runs_twice(#[values(1, 2, 3, 4)] seed: u64) {
    const CALLERS: u64 = 6;
    const CALLS: u64 = 120;
    let receive_counts = ReceiveCounts::default();
    let address = start_unreliable(seed, Arc::clone(&receive_counts)).await;
    let client = EngineClient::new(address);

    let callers =
        (0..CALLERS).map(|caller| tokio::spawn(call_often(client.clone(), caller, CALLS)));
    let mut outcomes = HashMap::new();
    for caller in callers {
        outcomes.extend(caller.await.expect("caller"));
    }

    let receive_counts = receive_counts.lock().expect("lock").clone();
    for (id, outcome) in &outcomes {
        let seen = receive_counts.get(id).copied().unwrap_or(0);
        assert!(seen <= 1, "{id} was sent {seen} times");
        match outcome {
            None => assert_eq!(seen, 1, "{id} was answered but not seen"),
            Some(Outcome::NotRun) => assert_eq!(seen, 0, "{id} is said not to have run"),
            Some(Outcome::Unknown | Outcome::CutShort) => {}
        }
    }
    let answered = outcomes
        .values()
        .filter(|outcome| outcome.is_none())
        .count();
    let unknown = outcomes
        .values()
        .flatten()
        .filter(|outcome| **outcome == Outcome::Unknown);
    assert!(
        answered > 100 && unknown.count() > 20,
        "the target was not unreliable enough"
    );
}

/// Returns the outcome that the client reported for each call; `None` if it was answered.
async fn call_often(
    client: EngineClient,
    caller: u64,
    calls: u64,
) -> Vec<(String, Option<Outcome>)> {
    let mut rng = ChaCha8Rng::seed_from_u64(caller);
    let mut outcomes = Vec::new();
    for call in 0..calls {
        let id = format!("r{caller}-{call}");
        let answer = run(&client, plain(&id, rng.random_bool(0.7))).await;
        outcomes.push((id, answer.err().map(|error| error.outcome())));
        tokio::time::sleep(Duration::from_micros(rng.random_range(0..600))).await;
    }
    outcomes
}

async fn start_unreliable(seed: u64, receive_counts: ReceiveCounts) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        while let Ok((stream, _)) = listener.accept().await {
            let rng = ChaCha8Rng::seed_from_u64(rng.random());
            tokio::spawn(serve_unreliably(stream, rng, Arc::clone(&receive_counts)));
        }
    });
    address
}

/// Serves a connection until it is closed deliberately at one of the stages.
async fn serve_unreliably(
    mut stream: TcpStream,
    mut rng: ChaCha8Rng,
    receive_counts: ReceiveCounts,
) {
    loop {
        let close_before = rng.random_bool(0.2);
        let wait = Duration::from_micros(rng.random_range(0..800));
        if close_before && tokio::time::timeout(wait, stream.readable()).await.is_err() {
            return;
        }
        let Some(()) = read_one(&mut stream, &receive_counts).await else {
            return;
        };
        if rng.random_bool(0.1) {
            return;
        }
        if stream
            .write_all(response("200 OK", "", "done").as_bytes())
            .await
            .is_err()
        {
            return;
        }
        if rng.random_bool(0.1) {
            return;
        }
    }
}

/// Reads a request, and records its id as soon as it has been received.
async fn read_one(stream: &mut TcpStream, receive_counts: &ReceiveCounts) -> Option<()> {
    let mut buf = Vec::new();
    let mut noted = false;
    loop {
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
        let text = String::from_utf8_lossy(&buf);
        if !noted && let Some((_, rest)) = text.split_once(ID_HEADER) {
            let id = rest.split_once("\r\n")?.0.to_owned();
            *receive_counts.lock().expect("lock").entry(id).or_default() += 1;
            noted = true;
        }
        if text.ends_with("entry") {
            return Some(());
        }
    }
}

/// Guards against a call that fails because the target has closed the idle connection. No byte of
/// it was written there, so it is sent on a new connection.
#[rstest]
#[case::at_once(Step::AnswerAndClose(response("200 OK", "", "own")))]
#[case::later(Step::AnswerInTwoParts(response("200 OK", "", "own"), String::new()))]
#[tokio::test]
async fn closed_idle_connection_is_not_used(#[case] first: Step) {
    let second = Step::Answer(response("200 OK", "", "own"));
    let target = ScriptedTarget::start(vec![first, second]).await;
    let client = EngineClient::new(target.address);

    run(&client, plain("first", true)).await.expect("answers");
    tokio::time::sleep(SECOND_PART_DELAY * 3).await;
    run(&client, plain("second", true)).await.expect("answers");

    assert_eq!(
        (
            target.recorded().connections,
            target.recorded().requests.len()
        ),
        (2, 2)
    );
}

/// Guards against sending a call twice. The target closes the reused connection after it has read
/// the second call, whose outcome is then unknown. Only the caller may decide to retry it, even if
/// it is idempotent.
#[tokio::test]
async fn call_lost_on_reused_connection_is_not_resent() {
    let done = response("200 OK", "", "done");
    let steps = vec![
        Step::Answer(done.clone()),
        Step::AnswerAndClose(String::new()),
        Step::Answer(done),
    ];
    let target = ScriptedTarget::start(steps).await;
    let client = EngineClient::new(target.address);

    run(&client, plain("first", true)).await.expect("answers");
    let error = run(&client, plain("second", true))
        .await
        .expect_err("fails");

    assert_eq!(error.outcome(), Outcome::Unknown);
    assert_eq!(
        (
            target.recorded().connections,
            target.recorded().requests.len()
        ),
        (1, 2)
    );
}

/// Guards against sending a call that is not idempotent on a reused connection.
#[rstest]
#[case::idempotent(true, 1)]
#[case::not_idempotent(false, 3)]
#[tokio::test]
async fn only_idempotent_calls_reuse_connections(
    #[case] idempotent: bool,
    #[case] connections: usize,
) {
    let done = response("200 OK", "", "done");
    let target = ScriptedTarget::start(vec![Step::Answer(done); 3]).await;
    let client = EngineClient::new(target.address);

    for id in ["1", "2", "3"] {
        run(&client, plain(id, idempotent)).await.expect("answers");
    }

    assert_eq!(target.recorded().connections, connections);
}

/// Guards against returning a surplus answer of one call as the answer to the next one.
#[rstest]
#[case::at_once(Step::Answer(
    response("200 OK", "", "own") + &response("200 OK", "", "stray")
))]
#[case::later(Step::AnswerInTwoParts(
    response("200 OK", "", "own"),
    response("200 OK", "", "stray")
))]
#[tokio::test]
async fn surplus_answer_is_not_used_for_the_next_call(#[case] first: Step) {
    let second = Step::Answer(response("200 OK", "", "own"));
    let target = ScriptedTarget::start(vec![first, second]).await;
    let client = EngineClient::new(target.address);

    assert_eq!(
        run(&client, plain("first", true)).await.expect("answers"),
        "own"
    );
    tokio::time::sleep(SECOND_PART_DELAY * 3).await;
    assert_eq!(
        run(&client, plain("second", true)).await.expect("answers"),
        "own"
    );
}

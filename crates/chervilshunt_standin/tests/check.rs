//! The checking client accepts correct responses and detects each kind of violation.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::Class;
use chervilshunt_standin::RunRecord;
use chervilshunt_standin::check::{
    Answer, Api, Call, Client, CompletionCall, Outcome, PlainCall, Record, Refusal, RequestPlan,
    Route, RunLog, Timing, Verdict, ViolationKind, fetch_runs, settle,
};
use chervilshunt_standin::engine::{
    EngineFaultChange, EngineStandin, EngineStandinConfig, start_engine,
};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

const BASE: &str = "base";

fn plan(to: SocketAddr, stream: bool, api: Api) -> RequestPlan {
    RequestPlan {
        to,
        route: Route::Direct,
        request_id: "r1".into(),
        call: Call::Completion(CompletionCall {
            model: BASE.into(),
            api,
            stream,
            max_tokens: 5,
            prompt: "hello".into(),
        }),
        class: Class::Live,
        key: None,
        deadline: None,
        timeout: Duration::from_secs(20),
    }
}

async fn engine() -> EngineStandin {
    let cfg = EngineStandinConfig {
        base_model: BASE.into(),
        step: Duration::from_millis(1),
        ..EngineStandinConfig::default()
    };
    start_engine(cfg).await.expect("a free port")
}

#[rstest]
#[case::stream(true, Api::Text)]
#[case::chat_stream(true, Api::Chat)]
#[case::whole(false, Api::Text)]
#[case::whole_chat(false, Api::Chat)]
#[tokio::test]
async fn correct_responses_are_accepted(#[case] stream: bool, #[case] api: Api) {
    let engine = engine().await;
    let record = Client::default()
        .send(plan(engine.address, stream, api))
        .await;
    assert!(
        matches!(&record.verdict, Verdict::Answered(answer) if answer.tokens == 5),
        "{record:?}"
    );
    let runs = fetch_runs(&[engine.control]).await.unwrap();
    assert_eq!(settle(&[record], &runs), []);
}

#[tokio::test]
async fn a_cut_stream_counts_as_disconnected() {
    let engine = engine().await;
    engine.set_faults(&EngineFaultChange {
        cut_after_tokens: Some(2),
        ..EngineFaultChange::default()
    });
    let record = Client::default()
        .send(plan(engine.address, true, Api::Text))
        .await;
    assert!(
        matches!(record.verdict, Verdict::Disconnected { sent: true, .. }),
        "{record:?}"
    );
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: r1\r\n\
    x-served-by: i1\r\nx-target: t1\r\nconnection: close\r\n\r\n";

const PROBLEM_HEAD: &str = "HTTP/1.1 503 Service Unavailable\r\n\
    content-type: application/problem+json\r\nconnection: close\r\n";

fn events(texts: &[&str], tokens: u32) -> String {
    let chunk = |text: &&str| {
        format!("data: {{\"model\":\"{BASE}\",\"choices\":[{{\"text\":\"{text}\"}}]}}\n\n")
    };
    let chunks: String = texts.iter().map(chunk).collect();
    format!(
        "{HEAD}{chunks}data: {{\"choices\":[{{\"text\":\"\",\"finish_reason\":\"length\"}}],\
        \"usage\":{{\"completion_tokens\":{tokens}}}}}\n\ndata: [DONE]\n\n"
    )
}

fn problem(headers: &str, status: u16, request: &str, outcome: &str) -> String {
    format!(
        "{PROBLEM_HEAD}{headers}\r\n{{\"type\":\"about:blank\",\"title\":\"no\",\
        \"status\":{status},\"detail\":\"d\",\"outcome\":\"{outcome}\",\"reason\":\"queue_full\",\
        \"request_id\":\"{request}\"}}"
    )
}

/// Starts a server that answers one connection with fixed bytes.
async fn fixed(bytes: String) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0))
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut buf = [0; 4_096];
        let read = stream.read(&mut buf).await.expect("a request");
        assert!(read > 0);
        stream
            .write_all(bytes.as_bytes())
            .await
            .expect("the client reads");
    });
    address
}

#[rstest]
#[case::other_model(events(&["served=other request=r1", " TOKEN_0 TOKEN_1 TOKEN_2 TOKEN_3"], 5),
    ViolationKind::WrongModel)]
#[case::other_model_later(
    events(&["served=base request=r1 TOKEN_0 served=other TOKEN_1 TOKEN_2 TOKEN_3"], 5),
    ViolationKind::WrongModel)]
#[case::crossed(events(&["served=base request=r2", " TOKEN_0 TOKEN_1 TOKEN_2 TOKEN_3"], 5),
    ViolationKind::WrongRequest)]
#[case::gap(events(&["served=base request=r1", " TOKEN_0 TOKEN_2 TOKEN_3"], 5),
    ViolationKind::WrongTokens)]
#[case::double(events(&["served=base request=r1", " TOKEN_0 TOKEN_0 TOKEN_1 TOKEN_2 TOKEN_3"], 5),
    ViolationKind::WrongTokens)]
#[case::short(events(&["served=base request=r1", " TOKEN_0 TOKEN_1 TOKEN_2"], 5),
    ViolationKind::WrongTokens)]
#[case::usage(events(&["served=base request=r1", " TOKEN_0 TOKEN_1 TOKEN_2 TOKEN_3"], 4),
    ViolationKind::WrongUsage)]
#[case::no_end(HEAD.to_owned(), ViolationKind::WrongTokens)]
#[case::no_target(events(&[], 5).replace("x-target", "x-other"), ViolationKind::WrongHeader)]
#[case::not_its_id(events(&[], 5).replace("x-request-id: r1", "x-request-id: r2"),
    ViolationKind::WrongRequest)]
#[case::bare_error("HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n".to_owned(),
    ViolationKind::Malformed)]
#[case::no_retry_after(problem("", 503, "r1", "not_run"), ViolationKind::Malformed)]
#[case::other_status(
    problem("retry-after: 1\r\n", 502, "r1", "not_run"),
    ViolationKind::Malformed
)]
#[case::other_request(
    problem("retry-after: 1\r\n", 503, "r2", "not_run"),
    ViolationKind::WrongRequest
)]
#[case::odd_outcome(
    problem("retry-after: 1\r\n", 503, "r1", "maybe"),
    ViolationKind::Malformed
)]
#[tokio::test]
async fn violations_are_detected(#[case] bytes: String, #[case] kind: ViolationKind) {
    let mut plan = plan(fixed(bytes).await, true, Api::Text);
    plan.route = Route::System;
    let record = Client::default().send(plan).await;
    let Verdict::Violated(violation) = &record.verdict else {
        panic!("{record:?}");
    };
    assert_eq!(violation.kind, kind, "{violation}");
}

#[rstest]
#[case::at_once(
    problem("retry-after: 7\r\n", 503, "r1", "not_run"),
    Outcome::NotRun,
    Some(7)
)]
#[case::mid_stream(
    format!("{HEAD}event: error\ndata: {}\n\n",
        problem("", 502, "r1", "cut_short").split_once("\r\n\r\n").unwrap().1),
    Outcome::CutShort, None)]
#[tokio::test]
async fn refusals_are_parsed(
    #[case] bytes: String,
    #[case] outcome: Outcome,
    #[case] seconds: Option<u64>,
) {
    let mut plan = plan(fixed(bytes).await, true, Api::Text);
    plan.route = Route::System;
    let record = Client::default().send(plan).await;
    let Verdict::Refused(refusal) = &record.verdict else {
        panic!("{record:?}");
    };
    assert_eq!(refusal.outcome, outcome);
    assert_eq!(refusal.retry_after, seconds.map(Duration::from_secs));
}

fn refused(outcome: Outcome) -> Verdict {
    Verdict::Refused(Refusal {
        outcome,
        status: 503,
        reason: "r".into(),
        detail: String::new(),
        retry_after: None,
    })
}

fn answered() -> Verdict {
    Verdict::Answered(Answer::default())
}

fn disconnected(sent: bool) -> Verdict {
    Verdict::Disconnected {
        sent,
        detail: String::new(),
    }
}

#[rstest]
#[case::answered(vec![answered()], Some("k"), 1, BASE, &[])]
#[case::answered_twice_run(vec![answered()], Some("k"), 2, BASE, &[ViolationKind::DoubleRun])]
#[case::without_key_it_may_run_twice(vec![answered()], None, 2, BASE, &[])]
#[case::invented(vec![answered()], None, 0, BASE, &[ViolationKind::AnswerWithoutRun])]
#[case::by_another(vec![answered()], None, 1, "other", &[ViolationKind::AnswerWithoutRun])]
#[case::not_run(vec![refused(Outcome::NotRun)], None, 0, BASE, &[])]
#[case::false_not_run(vec![refused(Outcome::NotRun)], None, 1, BASE,
    &[ViolationKind::FalseNotRun])]
#[case::unknown(vec![refused(Outcome::Unknown)], Some("k"), 1, BASE, &[])]
#[case::never_sent(vec![disconnected(false)], None, 1, BASE, &[ViolationKind::FalseNotRun])]
#[case::broken(vec![disconnected(true)], None, 1, BASE, &[])]
#[case::retried(vec![refused(Outcome::Unknown), answered()], Some("k"), 1, BASE, &[])]
#[case::retried_twice_run(vec![refused(Outcome::Unknown), answered()], Some("k"), 2, BASE,
    &[ViolationKind::DoubleRun])]
fn runs_are_settled(
    #[case] verdicts: Vec<Verdict>,
    #[case] key: Option<&str>,
    #[case] count: u32,
    #[case] model: &str,
    #[case] kinds: &[ViolationKind],
) {
    let to = SocketAddr::from(([127, 0, 0, 1], 1));
    let records: Vec<_> = verdicts
        .into_iter()
        .map(|verdict| {
            let mut plan = plan(to, true, Api::Text);
            plan.key = key.map(Arc::from);
            Record {
                plan,
                verdict,
                timing: Timing::default(),
            }
        })
        .collect();
    let run = RunRecord {
        runs: count,
        models: vec![model.into()],
    };
    let runs: RunLog = HashMap::from([("r1".into(), run)]);
    let found: Vec<_> = settle(&records, &runs)
        .iter()
        .map(|finding| finding.violation.kind)
        .collect();
    assert_eq!(found, kinds);
}

#[test]
fn a_plain_call_that_may_not_be_repeated_runs_at_most_once() {
    let to = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut plan = plan(to, false, Api::Text);
    plan.call = Call::Plain(PlainCall {
        service: "scoring".into(),
        path: "/finish".into(),
        body: "{}".into(),
        idempotent: false,
    });
    assert!(plan.runs_at_most_once());
}

//! Runs the tool as a process against a small server that stands in for an operators' port.

use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use serde_json::{Value, json};

/// The id of a change.
const ID: &str = "6f1a9c2e4b7d4e0f8a3c5d6e7f8091a2";

/// How the server reacts to one statement.
#[derive(Clone, Debug)]
enum Reaction {
    Answer(u16, &'static str, String),
    RetryAfter(u16, u32, String),
    CloseWithoutAnswer,
    NeverAnswer,
}

fn ok(body: &Value) -> Reaction {
    Reaction::Answer(200, "application/json", body.to_string())
}

fn problem(status: u16, body: &Value) -> Reaction {
    Reaction::Answer(status, "application/problem+json", body.to_string())
}

fn targets() -> Value {
    json!({
        "revision": 7,
        "results": [{
            "columns": ["name", "zone", "store", "from", "age_ms"],
            "rows": [
                ["lm-1", "worcester", "weights", "entry-1", "12"],
                ["desk-with-a-long-name", "portland", null, "entry-2", "1043"],
                ["\u{1b}[2Jevil", "portland", "", "entry-2", "0"],
            ],
        }],
        "silent": ["entry-3", "entry-9"],
    })
}

fn accepted(revision: u64, changed: u64) -> Value {
    json!({
        "revision": revision,
        "results": [{"accepted": revision, "changed": changed}],
        "silent": [],
    })
}

/// A server that reacts to each statement as configured, and records the requests.
struct Server {
    address: SocketAddr,
    received: Arc<Mutex<Vec<Value>>>,
}

impl Server {
    fn start(reactions: Vec<Reaction>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let received = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&received);
        // The thread ends with the test's process.
        thread::spawn(move || serve(listener, reactions, seen));
        Self { address, received }
    }

    fn texts(&self) -> Vec<String> {
        let received = self.received.lock().expect("no test thread panicked");
        let text = |request: &Value| request["text"].as_str().map(ToOwned::to_owned);
        received.iter().filter_map(text).collect()
    }
}

fn serve(listener: TcpListener, reactions: Vec<Reaction>, seen: Arc<Mutex<Vec<Value>>>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    runtime.block_on(async {
        listener.set_nonblocking(true).expect("the socket is open");
        let listener = tokio::net::TcpListener::from_std(listener).expect("the socket is open");
        for reaction in reactions {
            let (stream, _) = listener.accept().await.expect("the tool connects");
            let seen = Arc::clone(&seen);
            let service = service_fn(move |req| react(req, reaction.clone(), Arc::clone(&seen)));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            // A connection that the reaction closes without an answer ends with an error.
            let _ended = connection.await;
        }
    });
}

async fn react(
    req: Request<Incoming>,
    reaction: Reaction,
    seen: Arc<Mutex<Vec<Value>>>,
) -> Result<Response<Full<Bytes>>, &'static str> {
    assert_eq!(req.uri().path(), "/v1/statements");
    assert_eq!(req.method(), "POST");
    let body = req
        .into_body()
        .collect()
        .await
        .expect("the tool sends a body");
    let request = serde_json::from_slice(&body.to_bytes()).expect("the body is JSON");
    seen.lock().expect("no panic").push(request);
    let response = Response::builder();
    let response = match reaction {
        Reaction::Answer(status, kind, body) => response
            .status(status)
            .header("content-type", kind)
            .body(Full::new(body.into())),
        Reaction::RetryAfter(status, seconds, body) => response
            .status(status)
            .header("retry-after", seconds)
            .body(Full::new(body.into())),
        Reaction::CloseWithoutAnswer => return Err("the connection is closed"),
        Reaction::NeverAnswer => return std::future::pending().await,
    };
    Ok(response.expect("the response is valid"))
}

fn run(arguments: &[&str], input: &str) -> Output {
    run_with(arguments, input, None)
}

fn run_with(arguments: &[&str], input: &str, variable: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chervilshuntctl"));
    command.args(arguments).env_remove("CHERVILSHUNT_SERVER");
    if let Some(server) = variable {
        command.env("CHERVILSHUNT_SERVER", server);
    }
    let mut child = command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the tool starts");
    let mut stdin = child.stdin.take().expect("it is piped");
    // The tool may have ended without reading its input.
    let _written = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the tool ends")
}

/// Formats the exit code and output of a run, with the server's address replaced.
fn shown(output: &Output, server: Option<&Server>) -> String {
    let text = format!(
        "exit code {}\n-- stdout --\n{}-- stderr --\n{}",
        output.status.code().expect("no signal ended it"),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    match server {
        Some(server) => text.replace(&server.address.to_string(), "SERVER"),
        None => text,
    }
}

#[rstest]
#[case::table("table", &["show", "targets"], ok(&targets()))]
#[case::json("json", &["--json", "show", "targets"], ok(&targets()))]
#[case::one_change("one_change", &["drain target lm-1"], ok(&accepted(8, 1)))]
#[case::group("group", &["{ drain target lm-1; resume target lm-2 }"], ok(&accepted(8, 2)))]
#[case::no_rows("no_rows", &["show sites"], ok(&json!({"revision": 1, "results": [{"columns": ["name"], "rows": []}]})))]
#[case::refused("refused", &["if revision = 3 drain target lm-1"], problem(409, &json!({"title": "Conflict", "status": 409, "detail": "revision 3 was expected, but 7 is in force", "outcome": "not_run"})))]
#[case::not_now("not_now", &["drain target lm-1"], Reaction::RetryAfter(503, 2, json!({"title": "Not now", "detail": "entry-2 did not acknowledge revision 8", "outcome": "not_run"}).to_string()))]
#[case::outcome_unknown("outcome_unknown", &["--settle", "0", "--id", ID, "drain target lm-1"], problem(503, &json!({"title": "Unknown", "detail": "the head may have moved", "outcome": "unknown"})))]
#[case::gateway_on_change("gateway_on_change", &["--settle", "0", "--id", ID, "drain target lm-1"], Reaction::Answer(502, "text/html", "<h1>bad gateway</h1>".to_owned()))]
#[case::gateway_on_show("gateway_on_show", &["show targets"], Reaction::Answer(502, "text/html", "<h1>bad gateway</h1>".to_owned()))]
#[case::no_json("no_json", &["show targets"], Reaction::Answer(200, "text/html", "<h1>hello</h1>".to_owned()))]
#[case::closed_on_show("closed_on_show", &["show targets"], Reaction::CloseWithoutAnswer)]
#[case::closed_on_change("closed_on_change", &["--settle", "0", "--id", ID, "drain target lm-1"], Reaction::CloseWithoutAnswer)]
#[case::timeout_on_change("timeout_on_change", &["--timeout", "0.2", "--settle", "0", "--id", ID, "drain target lm-1"], Reaction::NeverAnswer)]
fn answers_are_shown(#[case] name: &str, #[case] arguments: &[&str], #[case] reaction: Reaction) {
    let server = Server::start(vec![reaction]);
    let address = server.address.to_string();
    let output = run(&[&["--server", &address], arguments].concat(), "");
    insta::assert_snapshot!(name, shown(&output, Some(&server)));
}

#[rstest]
#[case::bad_statement("bad_statement", &["--server", "127.0.0.1:1", "show", "targetz"], "")]
#[case::bad_script("bad_script", &["--server", "127.0.0.1:1"], "show targets;\nset target a slot=1\n")]
#[case::no_server("no_server", &["show", "targets"], "")]
#[case::bad_server("bad_server", &["--server", "localhost:80", "show", "targets"], "")]
#[case::bad_timeout("bad_timeout", &["--server", "127.0.0.1:1", "--timeout", "-1", "show", "targets"], "")]
#[case::bad_settle("bad_settle", &["--server", "127.0.0.1:1", "--settle", "-1", "show", "targets"], "")]
#[case::bad_id("bad_id", &["--server", "127.0.0.1:1", "--id", "7", "drain target lm-1"], "")]
#[case::id_of_two("id_of_two", &["--server", "127.0.0.1:1", "--id", ID, "drain target lm-1; drain target lm-2"], "")]
#[case::unknown_option("unknown_option", &["--servr", "127.0.0.1:1"], "")]
#[case::check("check", &["--check", "show", "targets"], "")]
#[case::help("help", &["--help"], "")]
fn usage_needs_no_server(#[case] name: &str, #[case] arguments: &[&str], #[case] input: &str) {
    insta::assert_snapshot!(name, shown(&run(arguments, input), None));
}

/// A script stops at the first refused statement, because later statements may depend on it.
#[test]
fn script_stops_at_the_first_refusal() {
    let refusal = problem(
        409,
        &json!({"title": "Conflict", "detail": "target lm-2 does not exist", "outcome": "not_run"}),
    );
    let server = Server::start(vec![ok(&accepted(8, 1)), refusal]);
    let address = server.address.to_string();
    let script = "drain target lm-1;\ndrain target lm-2; # gone\ndrain target lm-3;\nshow targets";
    let output = run(&["--server", &address], script);
    insta::assert_snapshot!(shown(&output, Some(&server)));
    assert_eq!(server.texts(), ["drain target lm-1", "drain target lm-2"]);
}

fn unknown() -> Reaction {
    problem(
        503,
        &json!({"type": "/problems/change_unknown", "outcome": "unknown"}),
    )
}

fn not_run(kind: &str) -> Reaction {
    problem(
        503,
        &json!({"type": kind, "detail": "why not", "outcome": "not_run"}),
    )
}

/// The answer to a change is lost, or says that the outcome is unknown. The tool resends the change
/// under the same id until the outcome is known. A `change_not_begun` answer to a later attempt
/// does not tell whether the first one took effect.
#[rstest]
#[case::accepted(vec![Reaction::CloseWithoutAnswer, unknown(), ok(&accepted(8, 1))], 0)]
#[case::given_up(vec![unknown(), not_run("/problems/change_given_up")], 1)]
#[case::conflict(vec![unknown(), problem(409, &json!({"outcome": "not_run"}))], 1)]
#[case::not_begun(vec![unknown(), not_run("/problems/change_not_begun"), ok(&accepted(8, 1))], 0)]
#[case::never_begun(vec![not_run("/problems/change_not_begun")], 1)]
#[case::gone(vec![Reaction::CloseWithoutAnswer], 4)]
fn a_change_is_sent_again_until_its_outcome_is_known(
    #[case] reactions: Vec<Reaction>,
    #[case] exit: i32,
) {
    let tries = reactions.len();
    let server = Server::start(reactions);
    let address = server.address.to_string();
    let output = run(
        &["--server", &address, "--settle", "3.5", "drain target lm-1"],
        "",
    );
    assert_eq!(
        output.status.code(),
        Some(exit),
        "{}",
        shown(&output, Some(&server))
    );
    let received = server.received.lock().expect("no panic");
    assert_eq!(received.len(), tries);
    assert!(received[0]["id"].is_string());
    assert!(received.iter().all(|request| *request == received[0]));
}

#[test]
fn unreachable_server_is_named() {
    // A socket that is bound but does not listen refuses connections, and keeps its port from being
    // given to the server of another test.
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket can be opened");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any_port).expect("a port is free");
    let address = socket.local_addr().expect("it is bound").to_string();
    let output = run(&["--server", &address, "drain target lm-1"], "");
    let text = shown(&output, None).replace(&address, "SERVER");
    insta::assert_snapshot!(text);
}

#[test]
fn server_may_come_from_the_environment() {
    let server = Server::start(vec![ok(&accepted(8, 1))]);
    let address = server.address.to_string();
    let arguments = ["--local", "--id", ID, "resume target lm-1"];
    let output = run_with(&arguments, "", Some(&address));
    assert_eq!(output.status.code(), Some(0));
    let received = server.received.lock().expect("no panic");
    assert_eq!(
        *received,
        [
            json!({"text": "resume target lm-1", "local": true, "id": "6f1a9c2e-4b7d-4e0f-8a3c-5d6e7f8091a2"})
        ]
    );
}

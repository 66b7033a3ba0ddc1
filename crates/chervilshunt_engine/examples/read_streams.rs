//! Reads many streams of an engine stand-in concurrently and prints the events per second.
//!
//! `cargo run --release -p chervilshunt_standin -- engine --step-ms 0 --max-batch 1000` prints an
//! address; then `cargo run --release -p chervilshunt_engine --example read_streams -- IP:PORT`.
//! With `batch` as a second argument, the events arrive in steps of the batch, one event of each
//! stream per step; otherwise each stream arrives as fast as it is read.

use std::time::{Duration, Instant};

use bytes::Bytes;
use chervilshunt_engine::{Call, EngineClient, ExpectedAnswer, Limits};
use chervilshunt_model::{AttemptId, RequestId};
use http::{HeaderMap, HeaderValue, Method};
use http_body_util::BodyExt as _;
use serde_json::json;

const STREAMS: usize = 500;
const TOKENS: usize = 2_000;

#[tokio::main]
async fn main() {
    let mut args = std::env::args().skip(1);
    let address = args
        .next()
        .and_then(|text| text.parse().ok())
        .expect("an IP:PORT");
    let batch = args.next().as_deref() == Some("batch");
    let client = EngineClient::new(address);
    let begun = Instant::now();
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| tokio::spawn(read(client.clone(), number, batch)))
        .collect();
    let mut events = 0;
    let mut pieces = 0;
    for stream in streams {
        let (read_events, read_pieces) = stream.await.expect("stream");
        events += read_events;
        pieces += read_pieces;
    }
    let took = begun.elapsed().as_secs_f64();
    let rate = (f64::from(events) / took).round();
    let cpu = cpu_seconds();
    let result = json!({
        "streams": STREAMS, "events": events, "pieces": pieces, "seconds": took,
        "events_per_s": rate, "cpu_us_per_event": cpu * 1e6 / f64::from(events),
    });
    println!("{result}");
}

/// Returns the numbers of events and body chunks of one stream.
async fn read(client: EngineClient, number: usize, batch: bool) -> (u32, u32) {
    let body = json!({
        "model": "base", "prompt": "one two", "max_tokens": TOKENS, "stream": true,
    });
    let mut headers = HeaderMap::new();
    if !batch {
        headers.insert("x-step-ms", HeaderValue::from_static("0"));
    }
    let call = Call {
        method: Method::POST,
        path: http::uri::PathAndQuery::from_static("/v1/completions"),
        headers,
        body: Bytes::from(body.to_string()),
        request: RequestId::new(format!("r{number}")),
        attempt: AttemptId::random(),
        expect: ExpectedAnswer::Model("base".into()),
        idempotent: true,
        limits: Limits {
            connect: Duration::from_secs(5),
            ..Limits::default()
        },
    };
    let mut answer = client.open(call).await.expect("opens");
    let mut pieces = 0;
    while let Some(frame) = answer.body.frame().await {
        frame.expect("is right");
        pieces += 1;
    }
    let summary = answer.body.summary();
    assert!(summary.complete && summary.tokens() as usize == TOKENS);
    (summary.events, pieces)
}

/// Returns the CPU time of this process so far, from `/proc`.
fn cpu_seconds() -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The fields after the process's name, which may contain spaces; 11 and 12 are the user and
    // system time.
    let fields = stat.rsplit_once(") ").map_or("", |(_, fields)| fields);
    let ticks = fields.split(' ').skip(11).take(2);
    ticks
        .filter_map(|field| field.parse::<f64>().ok())
        .sum::<f64>()
        / TICKS_PER_SECOND
}

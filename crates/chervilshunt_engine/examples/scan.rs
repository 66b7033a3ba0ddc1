//! Measures the SSE scanner: `cargo run --release -p chervilshunt_engine --example scan`.
//!
//! Prints one JSON line for each way of splitting the stream into chunks, with the median of
//! several rounds on one thread.

use std::hint::black_box;
use std::time::{Duration, Instant};

use chervilshunt_engine::SseScanner;
use serde_json::json;

const MODEL: &str = "pack-list-0417@12";
const EVENTS: usize = 200_000;
const ROUNDS: usize = 9;

fn main() {
    let text: String = (0..EVENTS).map(event).collect();
    let bytes = text.as_bytes();
    let event_length = bytes.len() / EVENTS;
    let event_ends: Vec<usize> = text.match_indices("\n\n").map(|(at, _)| at + 2).collect();
    let by_event = chunks_at(bytes, &event_ends);
    let by_eight: Vec<usize> = event_ends.iter().copied().skip(7).step_by(8).collect();
    let ways = [
        ("one event a piece", by_event),
        ("eight events a piece", chunks_at(bytes, &by_eight)),
        (
            "two pieces an event",
            bytes.chunks(event_length / 2).collect(),
        ),
    ];
    for (name, chunks) in ways {
        let mut times: Vec<Duration> = (0..ROUNDS).map(|_| measure(&chunks)).collect();
        times.sort_unstable();
        let median = times[ROUNDS / 2].as_secs_f64();
        let result = json!({
            "pieces": name,
            "bytes_per_event": event_length,
            "ns_per_event": (median / EVENTS as f64 * 1e10).round() / 10.0,
            "events_per_s": (EVENTS as f64 / median).round(),
            "megabytes_per_s": (bytes.len() as f64 / median / 1e6).round(),
        });
        println!("{result}");
    }
}

/// Returns an event in vLLM's format.
fn event(number: usize) -> String {
    let choice = json!({
        "index": 0, "text": format!(" word{number}"), "logprobs": null, "finish_reason": null,
        "stop_reason": null,
    });
    format!(
        "data: {{\"id\":\"cmpl-3f1a77a7c2c94bd4a1\",\"object\":\"text_completion\",\
         \"created\":1764697200,\"model\":\"{MODEL}\",\"choices\":[{choice}],\"usage\":null}}\n\n"
    )
}

fn chunks_at<'a>(bytes: &'a [u8], ends: &[usize]) -> Vec<&'a [u8]> {
    let starts = std::iter::once(&0).chain(ends);
    starts
        .zip(ends)
        .map(|(start, end)| &bytes[*start..*end])
        .collect()
}

fn measure(chunks: &[&[u8]]) -> Duration {
    let mut scanner = SseScanner::new(MODEL.into());
    let begun = Instant::now();
    for chunk in chunks {
        let scanned = scanner.scan(black_box(chunk));
        assert!(scanned.failure.is_none());
        black_box(scanned.valid_bytes);
    }
    let took = begun.elapsed();
    assert!(scanner.events() as usize >= EVENTS - 8);
    took
}

//! The metrics and log lines of a running deployment, compared with the operators' documentation.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use chervilshunt_standin::fleet::{FleetOptions, model_name, wait_until};
use http::StatusCode;
use serde_json::{Value, json};

use support::http::{BOUND, Protocol, open, post, send};
use support::serial::{ExclusiveFleet, metric, run_exclusively};

const METRICS_PAGE: &str = include_str!("../../../docs/operators/metrics.md");
const LOGS_PAGE: &str = include_str!("../../../docs/operators/logs.md");
const ADAPTERS: usize = 3;

/// One engine with a single slot, so that each load of an adapter evicts another one.
fn options() -> FleetOptions {
    FleetOptions {
        instances: 2,
        engines: 1,
        plains: 1,
        adapters: ADAPTERS,
        slots: 1,
        ..FleetOptions::default()
    }
}

/// Sends requests of both classes for all adapters and to the plain service, and an invalid one.
async fn send_mixed_load(test: &ExclusiveFleet) {
    let mut answers = tokio::task::JoinSet::new();
    for number in 0..6 * ADAPTERS {
        let entry = ["i1", "i2"][number % 2];
        let to = test.fleet.instances()[entry].callers();
        let model = model_name(number % ADAPTERS);
        let body =
            json!({"model": model, "prompt": "x", "max_tokens": 5, "stream": number % 3 == 0});
        let id = format!("seen-{number}");
        let priority = if number % 4 == 0 { "u=6" } else { "u=1" };
        let headers = [("x-request-id", id.as_str()), ("priority", priority)];
        answers.spawn(send(
            to,
            Protocol::Http1,
            post(to, "/v1/completions", &headers, &body.to_string()),
        ));
        answers.spawn(send(
            to,
            Protocol::Http1,
            post(to, "/services/desk/slips", &[], "x"),
        ));
    }
    while let Some(answer) = answers.join_next().await {
        let answer = answer.expect("it ends");
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    }
    let to = test.fleet.instances()["i1"].callers();
    let refused = send(to, Protocol::Http1, post(to, "/nothing", &[], "")).await;
    assert_eq!(refused.status, StatusCode::NOT_FOUND);
}

/// Returns the concatenated metrics of all instances.
async fn all_metrics(test: &ExclusiveFleet) -> String {
    test.metrics("i1").await + &test.metrics("i2").await
}

/// Returns the names that a page lists: the first text in backquotes of each table row.
fn listed(page: &str) -> BTreeSet<&str> {
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split_once('`'))
        .map(|(name, _)| name)
        .collect()
}

/// Returns the names of a page that appear only after a rare event.
fn listed_as_rare(page: &str) -> BTreeSet<&str> {
    let rare = page.lines().filter(|line| line.ends_with("| rare |"));
    let names = rare.filter_map(|line| line.strip_prefix("| `")?.split_once('`'));
    names.map(|(name, _)| name).collect()
}

#[test]
fn metrics_match_the_documented_list() {
    run_exclusively(options, async |test| {
        send_mixed_load(&test).await;
        let text = all_metrics(&test).await;
        let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
        let exported: BTreeSet<&str> = types.filter_map(|line| line.split(' ').next()).collect();
        let listed = listed(METRICS_PAGE);
        let unlisted: Vec<_> = exported.difference(&listed).collect();
        assert!(
            unlisted.is_empty(),
            "docs/operators/metrics.md lacks {unlisted:?}"
        );
        let rare = listed_as_rare(METRICS_PAGE);
        let missing: Vec<_> = listed
            .difference(&exported)
            .filter(|name| !rare.contains(*name))
            .collect();
        assert!(missing.is_empty(), "/metrics lacks {missing:?}");
    });
}

// The metrics reflect what happened: requests waited for loads, tokens were generated, and a batch
// was partly filled.
#[test]
fn metrics_count_what_happened() {
    run_exclusively(options, async |test| {
        let before = all_metrics(&test).await;
        send_mixed_load(&test).await;
        let answered = all_metrics(&test).await;
        let first_byte = metric(&answered, "chervilshunt_first_byte_seconds_sum");
        let answers = metric(&answered, "chervilshunt_answer_seconds_sum");
        assert!(
            0.0 < first_byte && first_byte <= answers,
            "{first_byte} {answers}"
        );
        let to = test.fleet.instances()["i1"].callers();
        let body =
            json!({"model": model_name(0), "prompt": "x", "max_tokens": 400, "stream": true});
        let stream = open(
            to,
            Protocol::Http1,
            post(to, "/v1/completions", &[], &body.to_string()),
        )
        .await;
        let grown = |text: &str, name: &str| metric(text, name) - metric(&before, name);
        // The gauges are updated once a second.
        let sampled = || async {
            let text = all_metrics(&test).await;
            let running = metric(&text, "chervilshunt_target_running{target=\"engine-1\"}");
            let busy = grown(&text, "chervilshunt_target_sequence_microseconds_total{");
            (running > 0.5 && busy > 0.0).then_some(text)
        };
        let text = wait_until(BOUND, sampled)
            .await
            .expect("the batch is not seen");
        drop(stream);
        let count = |name: &str| grown(&text, name);
        assert!(count("chervilshunt_load_stall_seconds_count") >= 1.0);
        assert!(count("chervilshunt_load_stall_seconds_sum") > 0.0);
        assert!(count("chervilshunt_queue_wait_seconds_count") >= 1.0);
        // One of the adapters may already be loaded.
        let loads = count("chervilshunt_order_seconds_count{kind=\"load\",result=\"done\"}");
        assert!(loads >= (ADAPTERS - 1) as f64, "{loads}");
        assert!(count("chervilshunt_decisions_total{kind=\"evict\"}") >= 1.0);
        assert!(count("chervilshunt_tokens_total") >= (6 * ADAPTERS * 5) as f64);
        assert!(count("chervilshunt_requests_total") >= (12 * ADAPTERS) as f64);
        assert!(count("mesh_message_bytes_total{purpose=\"permits\"") > 0.0);
        let filled = count("chervilshunt_target_sequence_microseconds_total{target=\"engine-1\"}");
        let bound = count("chervilshunt_target_batch_microseconds_total{target=\"engine-1\"}");
        assert!(filled <= bound, "{filled} {bound}");
    });
}

// All decisions about a request can be found by its id: the log line of the entry instance has the
// ids of the request and the attempt, and that of the owner, on any instance, has the id of the
// attempt and the reason.
#[test]
fn log_lines_show_each_decision() {
    run_exclusively(options, async |test| {
        send_mixed_load(&test).await;
        let lines = log_lines(&test).await;
        let of = |msg: &str| {
            lines
                .iter()
                .filter(move |line| line["msg"] == msg)
                .collect::<Vec<_>>()
        };
        for number in 0..6 * ADAPTERS {
            let id = format!("seen-{number}");
            let routed = of("routing")
                .into_iter()
                .rfind(|line| line["request"] == id.as_str());
            let routed = routed.expect("a routing line");
            assert_eq!(routed["answer"], "granted");
            assert_eq!(routed["model"], model_name(number % ADAPTERS));
            assert!(routed["alternatives"].is_string());
            let decided = of("decision")
                .into_iter()
                .find(|line| line["attempt"] == routed["attempt"] && line["kind"] == "grant");
            let decided = decided.expect("the owner's line");
            assert_eq!(decided["target"], routed["target"]);
            assert!(
                decided["reason"]
                    .as_str()
                    .is_some_and(|reason| !reason.is_empty())
            );
            assert!(decided["waited_ms"].as_u64() >= decided["stalled_ms"].as_u64());
        }
        let kinds: BTreeSet<&str> = of("decision")
            .iter()
            .filter_map(|line| line["kind"].as_str())
            .collect();
        for kind in ["grant", "queue", "load", "evict", "power"] {
            assert!(kinds.contains(kind), "{kinds:?}");
        }
        assert!(!of("role gained").is_empty() && !of("coordination").is_empty());
        let told: BTreeSet<&str> = lines
            .iter()
            .filter_map(|line| line["msg"].as_str())
            .collect();
        let unlisted: Vec<_> = told.difference(&listed(LOGS_PAGE)).copied().collect();
        assert!(
            unlisted.is_empty(),
            "docs/operators/logs.md lacks {unlisted:?}"
        );
        for line in &lines {
            for field in ["ts", "level", "msg", "instance", "zone"] {
                assert!(!line[field].is_null(), "{line}");
            }
        }
    });
}

/// Returns the log lines of all instances, once those of the last request have been written.
async fn log_lines(test: &ExclusiveFleet) -> Vec<Value> {
    let fleet = Arc::clone(&test.fleet);
    let last = format!("seen-{}", 6 * ADAPTERS - 1);
    let read = || async {
        let processes = fleet.instances().values();
        let lines: Vec<Value> = processes.flat_map(|it| it.process.log_lines()).collect();
        let refused = lines.iter().any(|line| line["reason"] == "unknown_path");
        let routed = lines.iter().any(|line| line["request"] == last.as_str());
        (refused && routed).then_some(lines)
    };
    wait_until(BOUND, read)
        .await
        .expect("the log lacks the last request")
}

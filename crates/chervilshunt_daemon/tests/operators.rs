//! The operators' port of running instances, through `chervilshuntctl` and directly.

mod support;

use std::process::Stdio;
use std::time::Duration;

use chervilshunt_query::Table;
use chervilshunt_standin::fleet::{FleetOptions, HttpClient, Reply, model_name, wait_until};
use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};

use support::http::{BOUND, OpenResponse, Protocol, open, post};
use support::serial::{ExclusiveFleet, run_exclusively};

fn options() -> FleetOptions {
    FleetOptions {
        instances: 2,
        engines: 1,
        plains: 1,
        adapters: 3,
        ..FleetOptions::default()
    }
}

/// The output and exit code of a run of the command-line tool.
#[derive(Debug)]
struct Run {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

impl Run {
    fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

async fn ctl(test: &ExclusiveFleet, instance: &str, arguments: &[&str]) -> Run {
    let program = test.fleet.binaries.ctl().expect("it is built");
    let server = test.fleet.instances()[instance].operators().to_string();
    let child = tokio::process::Command::new(program)
        .args(["--server", &server, "--json"])
        .args(arguments)
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output();
    let output = tokio::time::timeout(4 * BOUND, child).await;
    let output = output.expect("the tool ends").expect("the tool starts");
    Run {
        code: output.status.code(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Posts a body to an instance's operators' port, with a longer timeout than a change may take.
async fn statements(test: &ExclusiveFleet, instance: &str, body: &Value) -> Reply {
    let address = test.fleet.instances()[instance].operators();
    let http = HttpClient::new(2 * BOUND);
    let reply = http
        .call(Method::POST, address, "/v1/statements", Some(body))
        .await;
    reply.unwrap_or_else(|error| panic!("{error}"))
}

async fn running_stream(test: &ExclusiveFleet, instance: &str) -> OpenResponse {
    let to = test.fleet.instances()[instance].callers();
    let body =
        json!({"model": model_name(0), "prompt": "x", "max_tokens": 100_000, "stream": true});
    open(
        to,
        Protocol::Http1,
        post(to, "/v1/completions", &[], &body.to_string()),
    )
    .await
}

// Every instance answers for the whole deployment: both instances and their roles, the permit that
// one granted to the other, and the adapter that its engine has loaded.
#[rstest]
fn each_instance_answers_for_the_whole_deployment(#[values("i1", "i2")] instance: &str) {
    run_exclusively(options, async |test| {
        let stream = running_stream(&test, instance).await;
        for table in Table::ALL {
            let run = ctl(&test, instance, &["show", table.as_str()]).await;
            assert_eq!((run.code, run.stderr.as_str()), (Some(0), ""));
            let answer = run.json();
            let columns = [table.columns(), &["from", "age_ms"]].concat();
            assert_eq!(answer["results"][0]["columns"], json!(columns));
            assert_eq!(answer["silent"], json!([]));
            let rows = support::serial::rows(&answer);
            for row in &rows {
                let from = row["from"].as_str();
                assert!(from == Some("i1") || from == Some("i2"), "{row}");
                assert!(
                    row["age_ms"]
                        .as_str()
                        .is_some_and(|age| age.parse::<u64>().is_ok())
                );
            }
            check_rows(table, instance, &rows);
        }
        drop(stream);
        test.wait_for_none("show permits").await;
    });
}

/// Checks the cells whose values come from running instances.
fn check_rows(table: Table, entry: &str, rows: &[Value]) {
    let is_number = |cell: &Value| {
        cell.as_str()
            .is_some_and(|text| text.parse::<u64>().is_ok())
    };
    match table {
        Table::Instances => {
            assert_eq!(rows.len(), 2);
            for row in rows {
                assert_eq!(row["name"], row["from"]);
                assert_eq!(row["state"], "ready");
                assert_eq!(row["revision"], rows[0]["revision"]);
            }
            let roles = rows.iter().filter_map(|row| row["roles"].as_str());
            let roles = roles.collect::<Vec<_>>().join(",");
            assert!(
                roles.contains("engine-1") && roles.contains("desk-1"),
                "{roles}"
            );
        }
        Table::Targets => {
            assert_eq!(rows.len(), 2);
            for row in rows {
                assert_eq!(row["owner"], row["from"]);
                assert_eq!(row["reachable"], "true");
                assert!(is_number(&row["epoch"]) && is_number(&row["share_watts"]));
            }
            let engine = rows
                .iter()
                .find(|row| row["name"] == "engine-1")
                .expect("a row");
            assert_eq!(
                (&engine["running"], &engine["waiting"]),
                (&json!("1"), &json!("0"))
            );
            // Another test may have loaded its adapter already.
            assert!(is_number(&engine["loaded"]) && engine["loaded"] != "0");
        }
        Table::Permits => {
            let [permit] = rows else { panic!("{rows:?}") };
            assert_eq!(permit["target"], "engine-1");
            assert_eq!(permit["version"], model_name(0));
            assert_eq!(permit["class"], "live");
            assert_eq!(permit["entry"], entry);
            assert!(is_number(&permit["held_ms"]));
        }
        Table::Loads => {
            let load = rows.iter().find(|row| row["version"] == model_name(0));
            let load = load.expect("the adapter that is being used");
            assert_eq!(load["state"], "loaded");
            assert_eq!(load["waited_ms"], Value::Null);
        }
        Table::Versions => {
            let [used, unused, _] = rows else {
                panic!("{rows:?}")
            };
            assert_eq!(
                (&used["state"], &used["targets"]),
                (&json!("loaded"), &json!("engine-1"))
            );
            assert_eq!(
                (&unused["state"], &unused["targets"]),
                (&json!("idle"), &json!(""))
            );
        }
        Table::Adapters => {
            assert_eq!(
                (&rows[0]["state"], &rows[1]["state"]),
                (&json!("loaded"), &json!("idle"))
            );
        }
        Table::Changes => {
            let first = rows.first().expect("the deployment's own change");
            assert_eq!(first["state"], "in_force");
            assert_eq!(first["revision"], "1");
            assert!(is_number(&first["changed"]));
        }
        Table::Sites => {
            assert!(is_number(&rows[0]["granted_watts"]) && rows[0]["allocator"].is_string());
        }
        Table::Stores => {
            assert_eq!(rows[0]["in_progress"], "0");
            assert_eq!(rows[0]["waiting"], "0");
            assert!(rows[0]["scheduler"].is_string());
        }
        Table::Services | Table::Priorities => assert_eq!(rows.len(), 2),
    }
}

// A load is in progress, and two requests wait for it.
#[test]
fn a_load_in_progress_is_shown_with_its_waiters() {
    run_exclusively(options, async |test| {
        test.fault("engine-1", json!({"load_slow_ms": 2_000})).await;
        let to = test.fleet.instances()["i1"].callers();
        let body = json!({"model": model_name(2), "prompt": "x", "max_tokens": 1});
        let send = || {
            let req = post(to, "/v1/completions", &[], &body.to_string());
            tokio::spawn(support::http::send(to, Protocol::Http1, req))
        };
        let waiting = [send(), send()];
        let question = format!("show loads where version = {}", model_name(2));
        let pending = || async {
            let rows = test.show(&question).await;
            (rows.first()?["waiters"] == "2").then(|| rows[0].clone())
        };
        let row = wait_until(BOUND, pending)
            .await
            .expect("the load is not shown");
        assert_eq!(
            (&row["state"], &row["class"]),
            (&json!("pending"), &json!("live"))
        );
        assert!(
            row["waited_ms"]
                .as_str()
                .is_some_and(|text| text.parse::<u64>().is_ok())
        );
        let stores = test.show("show stores").await;
        assert_eq!(stores[0]["in_progress"], "1");
        for answer in waiting {
            assert_eq!(answer.await.expect("it ends").status, StatusCode::OK);
        }
    });
}

// The answer to a change was lost, and the operator sends it again to another instance with the
// same id. Without the id, a second target would be drained, or the second attempt refused.
#[test]
fn a_change_that_is_sent_again_takes_effect_once() {
    run_exclusively(options, async |test| {
        let id = "6f1a9c2e-4b7d-4e0f-8a3c-5d6e7f8091a2";
        let text = "create site annex cap_watts=10; show sites; create site shed cap_watts=11";
        let body = json!({"text": text, "id": id});
        let first = statements(&test, "i1", &body).await;
        assert_eq!(first.status, StatusCode::OK, "{}", first.text);
        let again = statements(&test, "i2", &body).await;
        assert_eq!(again.status, StatusCode::OK, "{}", again.text);
        let revisions = |reply: &Reply| {
            let results = reply.json()["results"].clone();
            [
                results[0]["accepted"].clone(),
                results[2]["accepted"].clone(),
            ]
        };
        assert_eq!(revisions(&first), revisions(&again));
        let changes = test.show("show changes").await;
        let of_script = changes.iter().filter(|row| {
            revisions(&first)
                .iter()
                .any(|accepted| row["revision"].as_str() == Some(accepted.to_string().as_str()))
        });
        let ids: Vec<_> = of_script.map(|row| row["id"].clone()).collect();
        assert_eq!(ids.len(), 2);
        assert_eq!(ids[0], id.replace('-', ""));
        // Refused under a new id, because the site exists already.
        let other = statements(
            &test,
            "i1",
            &json!({"text": "create site annex cap_watts=10"}),
        )
        .await;
        assert_eq!(other.status, StatusCode::CONFLICT);
        let cleared = "{ delete site annex; delete site shed }";
        assert_eq!(ctl(&test, "i1", &[cleared]).await.code, Some(0));
    });
}

#[rstest]
#[case::no_json("show", json!("show targets"), 400, "bad_statement")]
#[case::unknown_member("", json!({"text": "show targets", "loud": true}), 400, "bad_statement")]
#[case::no_text("", json!({"local": true}), 400, "bad_statement")]
#[case::bad_id("", json!({"text": "show targets", "id": "7"}), 400, "bad_statement")]
#[case::bad_text("", json!({"text": "show targetz"}), 400, "bad_statement")]
#[case::exists("", json!({"text": "create site hall cap_watts=1"}), 409, "change_conflict")]
#[case::revision("", json!({"text": "if revision = 999 drain target desk-1"}), 409, "change_conflict")]
fn a_refused_statement_says_that_nothing_ran(
    #[case] _name: &str,
    #[case] body: Value,
    #[case] status: u16,
    #[case] kind: &str,
) {
    run_exclusively(options, async |test| {
        let reply = statements(&test, "i1", &body).await;
        assert_eq!(reply.status, status, "{}", reply.text);
        let problem = reply.json();
        assert_eq!(problem["type"], format!("/problems/{kind}"));
        assert_eq!(problem["outcome"], "not_run");
        assert_eq!(problem["done"], 0);
        if body["text"] == "show targetz" {
            assert_eq!(
                (&problem["line"], &problem["column"]),
                (&json!(1), &json!(6))
            );
            assert!(
                problem["expected"]
                    .as_array()
                    .is_some_and(|list| !list.is_empty())
            );
        }
    });
}

// One instance hangs. It can't acknowledge a change, so the change is abandoned. Queries are
// answered without the instance and list it as unreachable.
#[test]
fn an_unreachable_instance_is_listed() {
    run_exclusively(options, async |test| {
        test.fleet.freeze("i2").expect("it runs");
        let shown = ctl(&test, "i1", &["show", "instances"]).await;
        let refused = ctl(&test, "i1", &["create", "site", "annex", "cap_watts=10"]).await;
        let reply = statements(
            &test,
            "i1",
            &json!({"text": "create site shed cap_watts=10"}),
        )
        .await;
        test.fleet.thaw("i2").expect("it runs");

        assert_eq!(shown.code, Some(0));
        assert_eq!(shown.json()["silent"], json!(["i2"]));
        let rows = support::serial::rows(&shown.json());
        assert_eq!(
            rows.iter().map(|row| &row["name"]).collect::<Vec<_>>(),
            ["i1"]
        );
        assert!(
            shown.stderr.contains("no answer from i2"),
            "{}",
            shown.stderr
        );

        assert_eq!(refused.code, Some(1), "{}", refused.stderr);
        assert!(
            refused.stderr.contains("i2 did not acknowledge"),
            "{}",
            refused.stderr
        );
        assert!(
            refused.stderr.contains("try again in 20 s"),
            "{}",
            refused.stderr
        );
        let problem = reply.json();
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(problem["type"], "/problems/change_given_up");
        assert_eq!(problem["outcome"], "not_run");

        let both = || async {
            let answered = test.show("show instances where state = ready").await;
            (answered.len() == 2).then_some(())
        };
        wait_until(2 * BOUND, both)
            .await
            .expect("i2 does not come back");
        assert_eq!(
            test.show("show sites").await.len(),
            1,
            "a refused change has done nothing"
        );
    });
}

// The platform accepts the write that begins a change, loses its answer, and becomes unavailable.
// Whether the change takes effect is unknown; the tool keeps retrying until the platform is back,
// and then reports the outcome.
#[test]
fn the_outcome_of_a_change_is_reported_after_an_outage() {
    run_exclusively(options, async |test| {
        let begun = json!({
            "lose_answer_after_write": 1, "lose_answers_of": ["configheads"], "down_after_lost": true,
        });
        set_platform(&test, begun).await;
        let arguments = ["--settle", "60", "create", "site", "annex", "cap_watts=10"];
        let change = ctl(&test, "i1", &arguments);
        let outage = async {
            let down = || async { (platform_faults(&test).await["down"] != "no").then_some(()) };
            wait_until(BOUND, down)
                .await
                .expect("the change is not begun");
            // Longer than the instance waits before it reports the outcome as unknown.
            tokio::time::sleep(Duration::from_secs(12)).await;
            let healed = json!({"down": "no", "lose_answers_of": [], "down_after_lost": false});
            set_platform(&test, healed).await;
        };
        let (run, ()) = tokio::join!(change, outage);
        assert!(
            run.stderr.contains("may have taken effect"),
            "{}",
            run.stderr
        );
        let sites = test.show("show sites where name = annex").await.len();
        match run.code {
            Some(0) => assert_eq!(sites, 1),
            Some(1) => assert_eq!(sites, 0),
            _ => panic!("{run:?}"),
        }
        if sites == 1 {
            assert_eq!(
                ctl(&test, "i1", &["delete", "site", "annex"]).await.code,
                Some(0)
            );
        }
    });
}

async fn set_platform(test: &ExclusiveFleet, faults: Value) {
    let set = test.fleet.set_faults("platform", faults).await;
    set.unwrap_or_else(|error| panic!("{error}"));
}

async fn platform_faults(test: &ExclusiveFleet) -> Value {
    let faults = test.fleet.faults("platform").await;
    faults.unwrap_or_else(|error| panic!("{error}"))
}

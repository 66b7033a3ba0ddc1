//! The output of every table for a sample deployment.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use chervilshunt_model::{ChangeId, Deployment, InstanceId};
use chervilshunt_query::{Show, Statement, Table, parse};
use rstest::rstest;
use serde_json::{Value, json};

use super::{InstanceReport, Rows, Sources};
use crate::facts::InstanceFacts;

const DEPLOYMENT: &str = "{
    create priority prompt class=live weight=4;
    create priority overnight class=deferrable;
    create site mill cap_watts=4000;
    create site quay cap_watts=900;
    create store weights concurrency=2 loads_per_second=3.5;
    create store spare concurrency=1 loads_per_second=1;
    create service pack-assistant base_model=base-8b priority=prompt idempotent=true;
    create service depot-desk kind=plain priority=prompt;
    create target lm-1 service=pack-assistant address=10.0.0.11:8000 zone=worcester site=mill
      store=weights slots=8 max_batch=16 fencing=checks idle_watts=90 watts_per_sequence=12.5;
    create target lm-2 service=pack-assistant address=10.0.0.12:8000 zone=portland site=mill
      store=weights slots=8 max_batch=16;
    create target desk-1 service=depot-desk address=10.0.0.21:8000 zone=worcester site=mill
      max_batch=32 lifecycle=draining;
    create adapter flat-1 service=pack-assistant priority=overnight;
    create version flat-1@v1 source=\"s3://weights/flat-1/v1\";
    create version flat-1@v2 source=\"s3://weights/flat-1/v2\";
    create adapter flat-2 service=pack-assistant;
    create version flat-2@v1 source=\"s3://weights/flat-2/v1\";
    create adapter flat-3 service=pack-assistant
}";

fn deployment() -> Deployment {
    let statements = parse(DEPLOYMENT).unwrap();
    let Some(Statement::Change(group)) = statements.into_iter().next() else {
        panic!("the script is one group of changes");
    };
    let set = group.into_change_set(ChangeId::from_u128(1));
    Deployment::default().apply(&set).unwrap()
}

fn id(number: u128) -> String {
    ChangeId::from_u128(number).to_string()
}

fn entry_1() -> Value {
    json!({
        "instance": "entry-1", "zone": "worcester", "region": "new-england",
        "takes_work": true, "stopping": false, "revision": 3,
        "roles": ["allocator/mill", "target/lm-1"],
        "targets": [{
            "target": "lm-1", "epoch": 7, "reachable": true, "running": 2, "waiting": 3,
            "share_watts": 1999.6,
            "adapters": [
                {"model": "flat-1@v1", "state": "serving", "waiters": 0,
                 "class": null, "waited_ms": null},
                {"model": "flat-1@v2", "state": "loading", "waiters": 2,
                 "class": "live", "waited_ms": 140},
                {"model": "flat-2@v1", "state": "pending", "waiters": 1,
                 "class": "deferrable", "waited_ms": 9000},
            ],
            "permits": [
                {"attempt": id(0xa), "model": "flat-1@v1", "class": "live",
                 "entry": "entry-2", "held_ms": 812},
                {"attempt": id(0xb), "model": null, "class": "deferrable",
                 "entry": "entry-1", "held_ms": 0},
            ],
        }],
        "schedulers": [],
        "allocators": [{"site": "mill", "committed_watts": 3800.4}],
        "changes": {
            "generation": 8, "pending": null,
            "outcomes": [[id(1), 1], [id(2), null]],
            "changed": [[id(1), 17]],
        },
    })
}

fn entry_2() -> Value {
    json!({
        "instance": "entry-2", "zone": "portland", "region": "new-england",
        "takes_work": false, "stopping": false, "revision": 2,
        "roles": ["scheduler/weights", "target/lm-2"],
        "targets": [{
            "target": "lm-2", "epoch": 4, "reachable": false, "running": 0, "waiting": 0,
            "share_watts": 0.0,
            "adapters": [
                {"model": "flat-2@v1", "state": "draining", "waiters": 0,
                 "class": null, "waited_ms": null},
            ],
            "permits": [],
        }],
        "schedulers": [{"store": "weights", "in_progress": 2, "waiting": 5}],
        "allocators": [],
        "changes": {
            "generation": 9, "pending": id(4),
            "outcomes": [[id(1), 1], [id(2), null], [id(3), 3]],
            "changed": [[id(3), 2], [id(4), 1]],
        },
    })
}

/// Runs a query with one report of age 0 and one that is 34 ms old.
fn shown(question: &str) -> Rows {
    let statements = parse(question).unwrap();
    let Some(Statement::Show(show)) = statements.first() else {
        panic!("the question is a show");
    };
    rows_of(show)
}

fn rows_of(show: &Show) -> Rows {
    rows_from(show, |facts| facts)
}

/// Runs a query on the instances' state after `left` has been applied to it.
fn rows_from(show: &Show, left: impl Fn(InstanceFacts) -> InstanceFacts) -> Rows {
    let asked_at = Instant::now();
    let report = |facts: Value, age: u64| InstanceReport {
        facts: left(serde_json::from_value(facts).unwrap()),
        asked_at: asked_at + Duration::from_millis(100 - age),
    };
    let reports = [report(entry_1(), 0), report(entry_2(), 34)];
    let sources = Sources {
        here: &InstanceId::new("entry-1"),
        deployment: &deployment(),
        owners: &HashMap::from([("desk-1".into(), InstanceId::new("entry-3"))]),
        reports: &reports,
        now: asked_at + Duration::from_millis(100),
    };
    sources.show(show)
}

/// Instances report only the state that the queried table shows, to limit the size of their
/// answers. If too much were removed, cells of the table would be empty.
#[test]
fn every_table_is_complete_with_the_state_reported_for_it() {
    for table in Table::ALL {
        let statements = parse(&format!("show {}", table.as_str())).unwrap();
        let Some(Statement::Show(show)) = statements.first() else {
            panic!("the question is a show");
        };
        let reported = rows_from(show, |facts| facts.shown_by(table));
        assert_eq!(reported, rows_of(show), "{}", table.as_str());
    }
}

/// Returns the state of a fully loaded instance: four targets with 16 adapters and 16 permits each.
fn full_load() -> InstanceFacts {
    let mut facts = entry_1();
    let mut target = facts["targets"][0].clone();
    target["adapters"] = vec![target["adapters"][0].clone(); 16].into();
    target["permits"] = vec![target["permits"][0].clone(); 16].into();
    facts["targets"] = vec![target; 4].into();
    serde_json::from_value(facts).unwrap()
}

#[rstest]
#[case::instances(Table::Instances, 700)]
#[case::sites(Table::Sites, 700)]
#[case::services(Table::Services, 700)]
#[case::changes(Table::Changes, 1_000)]
#[case::targets(Table::Targets, 8_000)]
#[case::permits(Table::Permits, 11_000)]
fn a_fully_loaded_instance_reports_few_bytes(#[case] table: Table, #[case] bound: usize) {
    let bytes = |facts: &InstanceFacts| serde_json::to_string(facts).unwrap().len();
    let whole = bytes(&full_load());
    let reported = bytes(&full_load().shown_by(table));
    assert!(
        reported <= bound && reported < whole,
        "{reported} of {whole} bytes"
    );
}

fn text(rows: &Rows) -> String {
    let lines = std::iter::once(rows.columns.join(" | ")).chain(rows.rows.iter().map(|row| {
        let cells: Vec<&str> = row
            .iter()
            .map(|cell| cell.as_deref().unwrap_or("-"))
            .collect();
        cells.join(" | ")
    }));
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn every_table_is_shown_with_all_its_columns() {
    let mut shown_tables = String::new();
    for table in Table::ALL {
        let rows = shown(&format!("show {table}"));
        let (columns, tail) = rows.columns.split_at(rows.columns.len() - 2);
        assert_eq!(columns, table.columns());
        assert_eq!(tail, ["from", "age_ms"]);
        shown_tables += &format!("{table}\n{}\n\n", text(&rows));
    }
    insta::assert_snapshot!(shown_tables);
}

// Conditions apply to the values as shown, including the two columns that end each table.
#[rstest]
#[case("show targets where owner = entry-2", &["lm-2"])]
#[case("show targets where reachable = none", &["desk-1"])]
#[case("show targets where owner = entry-3", &["desk-1"])]
#[case("show targets where lifecycle != draining and zone = worcester", &["lm-1"])]
#[case("show versions where state = pending", &["flat-1@v2", "flat-2@v1"])]
#[case("show versions where name ~ flat-1@ and state = loaded", &["flat-1@v1"])]
#[case("show adapters where state = idle", &["flat-3"])]
#[case("show instances where from = entry-2", &["entry-2"])]
#[case("show instances where age_ms = 34", &["entry-2"])]
fn conditions_choose_rows(#[case] question: &str, #[case] names: &[&str]) {
    let rows = shown(question);
    let first = |row: &Vec<Option<String>>| row[0].clone().unwrap();
    assert_eq!(rows.rows.iter().map(first).collect::<Vec<_>>(), names);
}

/// An instance that has lost contact with the platform still reports a target that another instance
/// has taken over. The owner with the higher epoch is shown, whichever answered first.
#[rstest]
#[case::superseded_first(["entry-1", "entry-2"])]
#[case::superseded_last(["entry-2", "entry-1"])]
fn of_two_reported_owners_the_higher_epoch_is_shown(#[case] order: [&str; 2]) {
    let now = Instant::now();
    let reports = order.map(|instance| {
        let mut facts = entry_2();
        facts["instance"] = instance.into();
        facts["targets"][0]["epoch"] = if instance == "entry-1" { 3 } else { 4 }.into();
        InstanceReport {
            facts: serde_json::from_value(facts).unwrap(),
            asked_at: now,
        }
    });
    let sources = Sources {
        here: &InstanceId::new("entry-1"),
        deployment: &deployment(),
        owners: &HashMap::new(),
        reports: &reports,
        now,
    };
    let statements = parse("show targets where name = lm-2").unwrap();
    let Some(Statement::Show(show)) = statements.first() else {
        panic!("the question is a show");
    };
    let rows = sources.show(show);
    let owner = rows.columns.iter().position(|column| *column == "owner");
    let owners: Vec<_> = rows
        .rows
        .iter()
        .map(|row| row[owner.unwrap()].as_deref())
        .collect();
    assert_eq!(owners, [Some("entry-2")]);
}

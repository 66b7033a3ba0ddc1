//! Two concurrent failures.

use std::time::Duration;

use chervilshunt_standin::check::{Call, Verdict};
use chervilshunt_standin::fleet::{
    Attempt, FleetOptions, Statements, create_version, describe, model_name, wait_until,
};
use rstest::rstest;
use serde_json::json;
use tokio_util::task::AbortOnDropHandle;

use crate::case::{Case, LEASE_TAKEOVER_TIME, WAIT_TIMEOUT, answered};

const ENGINES: [&str; 2] = ["engine-1", "engine-2"];

/// The pause of an operator between two changes.
const OPERATORS_PAUSE: Duration = Duration::from_millis(100);

/// A failure that is injected together with another.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The instance that owns the first engine is killed.
    OwnerKilled,
    /// The platform does not respond to calls.
    PlatformHangs,
    /// The next writes take effect, but their responses are lost.
    AnswersLost,
    /// The engines lose their adapters and their running work.
    EnginesRestart,
    /// Half of all loads fail.
    LoadsFail,
    /// The least requested adapters become the most requested.
    PopularityShifts,
    /// Operators at every instance concurrently create and delete the same versions.
    OperatorsRace,
}

/// Two failures occur together under load and last longer than a lease. The safeguard against one
/// depends on something that the other takes away: a takeover depends on the platform, the retry of
/// a load on an engine that keeps its loaded adapters, a configuration change on its proposer.
/// Requests to a surviving instance have to be answered meanwhile. After the faults the engine has
/// a live owner, every instance serves, an operator's change is accepted and in force everywhere,
/// and no caller ever received a false answer.
#[rstest]
#[case::owner_killed_in_an_outage([Fault::PlatformHangs, Fault::OwnerKilled])]
#[case::owner_killed_while_answers_are_lost([Fault::AnswersLost, Fault::OwnerKilled])]
#[case::owner_killed_while_operators_race([Fault::OperatorsRace, Fault::OwnerKilled])]
#[case::engines_restart_and_loads_fail([Fault::EnginesRestart, Fault::LoadsFail])]
#[case::engines_restart_as_popularity_shifts([Fault::PopularityShifts, Fault::EnginesRestart])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_at_once(#[case] faults: [Fault; 2]) {
    let options = FleetOptions {
        adapters: 16,
        slots: 3,
        ..FleetOptions::default()
    };
    let mut case = Case::start(options, 10.0).await;
    case.run_for(Duration::from_secs(2)).await;
    // The second engine needs an owner of its own, to keep serving while the first one can't be
    // taken over. Roles may still be moving between instances that have just joined.
    let apart = || async {
        let owner = case.owner("i1", ENGINES[0], None).await;
        (case.owner("i1", ENGINES[1], None).await != owner).then_some(owner)
    };
    let owner = wait_until(WAIT_TIMEOUT, apart).await;
    let owner = owner.expect("one instance still owns both engines");
    let witness = case.other_instance(&[&owner]);
    let entries = open_entries(&mut case, &owner);
    let mut racing = Vec::new();
    for fault in faults {
        racing.extend(begin(&mut case, fault, &owner).await);
    }
    case.until_answered(&witness, &model_name(0)).await;
    case.run_for(LEASE_TAKEOVER_TIME).await;
    case.until_answered(&witness, &model_name(1)).await;

    drop(racing);
    heal(&case).await;
    let left = case.fleet.ready_instances().into_iter().map(|(id, _)| id);
    let left: Vec<_> = left.collect();
    let dead = (!left.contains(&owner)).then_some(owner.as_str());
    case.owner(&witness, ENGINES[0], dead).await;
    for entry in entries {
        case.load
            .send(&witness, case.with_destination(&witness, entry))
            .await;
    }
    check_configuration(&mut case, &left).await;
    let tries = case.finish().await;
    assert_eq!(completions_given_up(&tries), [""; 0]);
}

/// Sends keyed calls to the instance that may be lost; the test retries them elsewhere at the end.
fn open_entries(case: &mut Case, at: &str) -> Vec<chervilshunt_standin::check::RequestPlan> {
    let entries = (0..4).map(|_| case.plan_entry(at, true));
    let entries: Vec<_> = entries.collect();
    for entry in &entries {
        drop(case.load.spawn(at, entry.clone()));
    }
    entries
}

/// Injects a failure; returns tasks that keep it active until they are dropped.
async fn begin(case: &mut Case, fault: Fault, owner: &str) -> Vec<AbortOnDropHandle<()>> {
    match fault {
        Fault::OwnerKilled => {
            case.fleet.kill(owner).await.unwrap();
            case.load.set_instances(case.fleet.ready_instances());
        }
        Fault::PlatformHangs => case.set_faults("platform", json!({"freeze": true})).await,
        Fault::AnswersLost => {
            let lost = json!({"lose_answer_after_write": 12});
            case.set_faults("platform", lost).await;
        }
        Fault::EnginesRestart => {
            for engine in ENGINES {
                case.set_faults(engine, json!({"restart": true})).await;
            }
        }
        Fault::LoadsFail => {
            for engine in ENGINES {
                case.set_faults(engine, json!({"load_fails": 0.5})).await;
            }
        }
        Fault::PopularityShifts => case.load.shift_popularity(),
        Fault::OperatorsRace => {
            let ids = case.fleet.ready_instances().into_iter().map(|(id, _)| id);
            let statements = ids.map(|id| case.fleet.statements_at(&id).unwrap());
            let races = statements.map(|it| AbortOnDropHandle::new(tokio::spawn(race(it))));
            let races = races.collect();
            // Lets changes start, so that the owner can be killed while it processes one.
            case.run_for(OPERATORS_PAUSE * 3).await;
            return races;
        }
    }
    Vec::new()
}

/// Repeatedly creates and deletes the same versions as operators at the other instances.
async fn race(statements: Statements) {
    for round in 0.. {
        let model = format!("adapter-0003@race{}", round % 3);
        let delete = format!("delete version {model}");
        for text in [create_version(&model), delete] {
            // The final check of the test detects false answers; a killed instance gives none.
            drop(statements.try_run(&text).await);
            tokio::time::sleep(OPERATORS_PAUSE).await;
        }
    }
}

async fn heal(case: &Case) {
    let up = json!({"freeze": false, "lose_answer_after_write": 0});
    case.set_faults("platform", up).await;
    for engine in ENGINES {
        case.set_faults(engine, json!({"load_fails": 0.0})).await;
    }
}

/// Checks that a change is accepted, and that all instances have the same versions in force.
async fn check_configuration(case: &mut Case, ids: &[String]) {
    let statements = case.fleet.statements_at(&ids[0]).unwrap();
    let model = "adapter-0004@after";
    let create = create_version(model);
    let change = || async {
        let change = statements.try_run(&create).await.ok()?;
        change.status.is_success().then_some(())
    };
    let accepted = wait_until(WAIT_TIMEOUT, change).await;
    accepted.expect("no change was accepted after the faults");
    for id in ids {
        case.until_answered(id, model).await;
    }
    // A change whose operator stopped waiting may still come into force between two queries.
    let query = "show versions where name ~ adapter-000";
    let agree = || async {
        let versions = case.column(&ids[0], query, "name").await;
        for id in ids {
            if case.column(id, query, "name").await != versions {
                return None;
            }
        }
        Some(())
    };
    let agreed = wait_until(WAIT_TIMEOUT, agree).await;
    agreed.expect("instances disagree on the versions");
}

/// Describes the completions of the load whose final attempt was not answered.
fn completions_given_up(tries: &[Attempt]) -> Vec<String> {
    let of_load = tries
        .iter()
        .filter(|one| one.last && one.record.plan.request_id.starts_with('q'));
    let completions = of_load.filter(|one| matches!(one.record.plan.call, Call::Completion(_)));
    let given_up = completions.filter(|one| !answered(&one.record.verdict));
    given_up
        .map(|one| {
            let verdict: &Verdict = &one.record.verdict;
            format!("{}: {}", one.record.plan.request_id, describe(verdict))
        })
        .collect()
}

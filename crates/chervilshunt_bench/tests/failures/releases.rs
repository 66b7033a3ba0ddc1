//! Permits that can't be released when their answers end.

use std::time::Duration;

use chervilshunt_standin::fleet::{FleetOptions, Link, LinkMode, model_name, wait_until};

use crate::case::{Case, WAIT_TIMEOUT};

/// Number of tokens of answers that end while the owner is cut off, after about 2 s.
const TOKENS: u32 = 400;

/// How long the owner is cut off: longer than the quick retries of a release go on.
const CUT_DURATION: Duration = Duration::from_secs(10);

/// The age in milliseconds from which a permit can't belong to an answer that is still streaming.
const OVERDUE_MS: u64 = 8_000;

/// An owner loses the links to its peers but not to the platform, so that it stays the owner.
/// Answers that other instances stream end meanwhile, and their permits can't be released. Each
/// permit that is never released pins its adapter, and a slot that was to be freed for another
/// adapter serves neither. Callers see a popular adapter refused for minutes, or for ever.
#[tokio::test(flavor = "multi_thread")]
async fn permits_are_given_back_once_their_owner_can_be_reached_again() {
    let options = FleetOptions {
        links: true,
        ..FleetOptions::default()
    };
    let mut case = Case::start(options, 5.0).await;
    let owner = case.owner("i1", "engine-1", None).await;
    let entry = case.other_instance(&[&owner]);
    let mut streams = Vec::new();
    for number in 0..6 {
        let model = model_name(number);
        case.until_answered(&entry, &model).await;
        let req = case.plan_completion(&entry, &model, TOKENS);
        streams.push(case.load.spawn(&entry, req));
    }
    case.run_for(Duration::from_millis(300)).await;
    case.fleet.set_link(Link::all_of(&owner), LinkMode::Cut);
    for stream in streams {
        stream.await.unwrap();
    }
    case.run_for(CUT_DURATION).await;
    let held = case.column(&owner, "show permits", "held_ms").await;
    assert!(
        overdue(&held),
        "no permit is overdue after the cut: {held:?}"
    );

    case.fleet.heal_links();
    let look = || async {
        let held = case.column(&owner, "show permits", "held_ms").await;
        (!overdue(&held)).then_some(())
    };
    let given_back = wait_until(WAIT_TIMEOUT, look).await;
    assert!(
        given_back.is_some(),
        "{owner} still holds permits of ended answers"
    );
    case.finish().await;
}

fn overdue(held: &[String]) -> bool {
    held.iter()
        .any(|ms| ms.parse::<u64>().is_ok_and(|ms| ms >= OVERDUE_MS))
}

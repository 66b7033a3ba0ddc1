//! When a target whose connection has ended counts as crashed.

use chervilshunt_core::{RunCheck, RunFinding, RunVerdict};
use chervilshunt_model::Moment;
use rstest::rstest;

const fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

/// Records findings, each about a question that was asked at a time and took another one, and returns the last
/// verdict.
fn verdict(findings: &[(u64, u64, RunFinding)]) -> RunVerdict {
    let mut check = RunCheck::default();
    let verdicts = findings
        .iter()
        .map(|(asked, took, finding)| check.record(*finding, at(*asked), at(asked + took)));
    verdicts.last().expect("a finding")
}

/// Guards against taking a target for alive because the system still accepts connections for it, and for
/// crashed because a connection was reset.
#[rstest]
#[case::answers(&[(0, 1, RunFinding::Answered)], Some(RunVerdict::Alive))]
#[case::another_run_answers(&[(0, 1, RunFinding::Replaced)], Some(RunVerdict::Ended))]
#[case::refuses(&[(0, 1, RunFinding::Refused)], Some(RunVerdict::EndedIfLinksWork))]
#[case::refuses_after_a_while(
    &[(0, 1, RunFinding::Closed), (20, 250, RunFinding::Silent), (300, 1, RunFinding::Refused)],
    Some(RunVerdict::EndedIfLinksWork),
)]
#[case::closes(&[(0, 1, RunFinding::Closed)], None)]
#[case::always_closes(&[(0, 1, RunFinding::Closed), (2_000, 1, RunFinding::Closed), (5_000, 1, RunFinding::Closed),
    (9_000, 1, RunFinding::Closed)], None)]
#[case::unreachable(&[(0, 250, RunFinding::Unreachable), (2_000, 250, RunFinding::Unreachable),
    (4_000, 250, RunFinding::Unreachable)], None)]
#[case::silent_for_a_second(&[(0, 250, RunFinding::Silent), (300, 250, RunFinding::Silent),
    (600, 250, RunFinding::Silent), (900, 250, RunFinding::Silent)], None)]
#[case::answers_after_silence(&[(0, 250, RunFinding::Silent), (300, 250, RunFinding::Silent),
    (600, 250, RunFinding::Silent), (1_400, 10, RunFinding::Answered)], Some(RunVerdict::Alive))]
#[case::silent_for_longer(&[(0, 250, RunFinding::Silent), (300, 250, RunFinding::Silent),
    (600, 250, RunFinding::Silent), (1_250, 250, RunFinding::Silent)], Some(RunVerdict::EndedIfLinksWork))]
#[case::paused_between_two_questions(&[(0, 250, RunFinding::Silent), (9_000, 250, RunFinding::Silent)], None)]
fn an_open_address_shows_neither_life_nor_death(
    #[case] findings: &[(u64, u64, RunFinding)],
    #[case] expected: Option<RunVerdict>,
) {
    let verdict = verdict(findings);
    match expected {
        Some(expected) => assert_eq!(verdict, expected),
        None => assert!(matches!(verdict, RunVerdict::AskAgain(_)), "{verdict:?}"),
    }
}

/// Guards against questions that burden a target whose connections are reset all the time.
#[test]
fn questions_become_rarer() {
    let mut check = RunCheck::default();
    let delays: Vec<u128> = (0..8)
        .map(
            |it| match check.record(RunFinding::Closed, at(it), at(it)) {
                RunVerdict::AskAgain(delay) => delay.as_millis(),
                other => panic!("{other:?}"),
            },
        )
        .collect();
    assert_eq!(delays, [20, 40, 80, 160, 320, 500, 500, 500]);
}

//! What questions to a target whose connection has ended show.

use std::time::Duration;

use chervilshunt_core::{RunCheck, RunFinding, RunVerdict};
use chervilshunt_model::Moment;
use rstest::rstest;

const fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

/// Asks questions one after another, each at a time and with a finding after another one, and returns the last
/// verdict.
fn verdict(findings: &[(u64, u64, RunFinding)]) -> RunVerdict {
    let mut check = RunCheck::new(at(0));
    let verdicts = findings.iter().map(|(asked, took, finding)| {
        check.asked(at(*asked));
        check.record(*finding, at(asked + took))
    });
    verdicts.last().expect("a finding")
}

/// Guards against taking a target for alive because the system still accepts connections for it, and for
/// crashed because a connection was reset or a question has not been answered.
#[rstest]
#[case::answers(&[(0, 1, RunFinding::Answered)], RunVerdict::Alive)]
#[case::another_run_answers(&[(0, 1, RunFinding::Replaced)], RunVerdict::Ended)]
#[case::refuses(&[(0, 1, RunFinding::Refused)], RunVerdict::EndedIfLinksWork)]
#[case::refuses_after_a_while(
    &[(0, 1, RunFinding::Closed), (20, 250, RunFinding::Silent), (300, 1, RunFinding::Refused)],
    RunVerdict::EndedIfLinksWork,
)]
#[case::closes(&[(0, 1, RunFinding::Closed)], RunVerdict::Unknown)]
#[case::always_closes(&[(0, 1, RunFinding::Closed), (2_000, 1, RunFinding::Closed), (5_000, 1, RunFinding::Closed),
    (9_000, 1, RunFinding::Closed)], RunVerdict::Unknown)]
#[case::unreachable(&[(0, 250, RunFinding::Unreachable), (2_000, 250, RunFinding::Unreachable),
    (4_000, 250, RunFinding::Unreachable)], RunVerdict::Unknown)]
#[case::silent_for_a_second(&[(0, 250, RunFinding::Silent), (300, 250, RunFinding::Silent),
    (600, 250, RunFinding::Silent), (900, 250, RunFinding::Silent)], RunVerdict::Unknown)]
#[case::answers_after_silence(&[(0, 250, RunFinding::Silent), (300, 250, RunFinding::Silent),
    (600, 250, RunFinding::Silent), (1_400, 10, RunFinding::Answered)], RunVerdict::Alive)]
#[case::silent_for_longer(&[(0, 250, RunFinding::Silent), (300, 250, RunFinding::Silent),
    (600, 250, RunFinding::Silent), (1_250, 250, RunFinding::Silent)], RunVerdict::Unknown)]
#[case::silent_all_the_time(&[(0, 20_000, RunFinding::Silent), (1_000, 19_000, RunFinding::Silent),
    (3_000, 17_000, RunFinding::Silent)], RunVerdict::Unknown)]
#[case::paused_between_two_questions(&[(0, 250, RunFinding::Silent), (9_000, 250, RunFinding::Silent)],
    RunVerdict::Unknown)]
fn neither_an_open_address_nor_silence_shows_life_or_death(
    #[case] findings: &[(u64, u64, RunFinding)],
    #[case] expected: RunVerdict,
) {
    assert_eq!(verdict(findings), expected);
}

/// Guards against questions that burden a target whose connections are reset all the time.
#[test]
fn questions_become_rarer() {
    let mut check = RunCheck::new(at(0));
    let delays: Vec<u128> = (0..8)
        .map(|it| {
            check.asked(at(it));
            assert_eq!(
                check.record(RunFinding::Closed, at(it)),
                RunVerdict::Unknown
            );
            at(it).until(check.next_question_at()).as_millis()
        })
        .collect();
    assert_eq!(delays, [20, 40, 80, 160, 320, 500, 500, 500]);
}

/// Guards against questions that fill the queue of a full target, and against a single one whose connection has
/// failed unnoticed.
#[test]
fn few_questions_are_open_at_the_same_time() {
    let mut check = RunCheck::new(at(0));
    let mut asked_at = Vec::new();
    while check.next_question_at() < at(0) + Duration::from_secs(15) {
        let now = check.next_question_at();
        check.asked(now);
        asked_at.push(at(0).until(now).as_millis());
    }
    assert_eq!(asked_at, [0, 1_000, 3_000, 7_000]);
}

/// Guards against asking at once again because one of several open questions has failed.
#[test]
fn a_failed_question_beside_an_open_one_hastens_nothing() {
    let mut check = RunCheck::new(at(0));
    check.asked(at(0));
    check.asked(at(1_000));
    check.record(RunFinding::Closed, at(1_010));
    assert_eq!(check.next_question_at(), at(3_000));
    check.record(RunFinding::Closed, at(1_500));
    assert_eq!(check.next_question_at(), at(1_540));
}

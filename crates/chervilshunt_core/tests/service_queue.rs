//! Admission to plain services, played with the requests of all instances.

#[path = "support/plain_plays.rs"]
mod plain_plays;

use plain_plays::{CutOff, Done, End, Play, Played};
use rstest::rstest;

/// Returns the part of the requests for which something holds.
fn part<'a>(done: impl Iterator<Item = &'a Done>, holds: impl Fn(&Done) -> bool) -> f64 {
    let done: Vec<&Done> = done.collect();
    let counted = done.iter().filter(|it| holds(it)).count();
    counted as f64 / done.len().max(1) as f64
}

fn is_answered(done: &Done) -> bool {
    done.end == End::Answered
}

impl Played {
    /// Returns the requests that were sent in a time, in seconds.
    fn between(&self, from: f64, to: f64) -> impl Iterator<Item = &Done> {
        let done = self.done.iter();
        done.filter(move |it| (from..to).contains(&it.sent))
    }

    /// Returns the requests that were sent while the service was short, after its first second.
    fn under_load(&self) -> impl Iterator<Item = &Done> {
        self.between(4.0, 14.0)
    }

    /// Returns the responses within their objectives per second of load.
    fn in_time_per_second(&self) -> f64 {
        self.under_load().filter(|it| it.is_in_time()).count() as f64 / 10.0
    }
}

/// Guards against queues that grow until every response is late, against a team that takes the
/// others' part by sending more, and against refusals that go on after the load has ended.
#[rstest]
fn admitted_requests_are_in_time(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let play = Play {
        seed,
        ..Play::default()
    };
    let without = Play {
        has_placer: false,
        ..play.clone()
    };
    let (with, without) = (play.run(), without.run());
    let admitted = |it: &Played| {
        let first = it.under_load().filter(|it| it.refusals == 0);
        part(first.filter(|it| is_answered(it)), Done::is_in_time)
    };
    assert!(admitted(&with) >= 0.9, "{}", admitted(&with));
    assert!(admitted(&without) < 0.6, "{}", admitted(&without));
    let (here, there) = (with.in_time_per_second(), without.in_time_per_second());
    assert!(here > 1.4 * there, "{here} in time, {there} without");
    let answered = with.under_load().filter(|it| is_answered(it)).count() as f64 / 10.0;
    assert!(answered > 0.9 * 300.0, "{answered} answers a second");
    let others = part(
        with.under_load().filter(|it| it.team != 0),
        Done::is_in_time,
    );
    assert!(others > 0.85, "{others} of the others in time");
    assert!(with.longest <= 18, "{} at one target", with.longest);
    let after = with.between(16.0, 20.0).filter(|it| it.refusals > 0);
    assert_eq!(after.count(), 0, "refused after the load");
    assert_eq!(with.open, 0, "grants that never end");
}

/// Guards against callers that get places by ignoring the time that they are told.
#[rstest]
fn impatient_callers_gain_nothing(#[values(1, 2, 3, 4)] seed: u64) {
    let play = Play {
        seed,
        impatient: 0.5,
        ..Play::default()
    };
    let played = play.run();
    let refused = |it: &&Done| it.refusals > 0;
    let second = || played.under_load().filter(refused);
    let patient = part(second().filter(|it| !it.is_impatient), is_answered);
    let impatient = part(second().filter(|it| it.is_impatient), is_answered);
    assert!(patient > impatient, "{patient} of the patient, {impatient}");
    let at_their_times = second().filter(|it| it.has_place);
    let kept = part(at_their_times, is_answered);
    assert!(kept > 0.95, "{kept} of those that were given a time");
    let others = part(
        played.under_load().filter(|it| it.team != 0),
        Done::is_in_time,
    );
    assert!(others > 0.8, "{others} of the others in time");
}

/// Guards against a burst of less urgent requests that fills the queues, so that the most urgent
/// ones are refused.
#[rstest]
fn a_burst_of_one_class_leaves_room_for_the_other(#[values(1, 2, 3, 4)] seed: u64) {
    let play = Play {
        seed,
        hot_class: Some(1),
        ..Play::default()
    };
    let played = play.run();
    let urgent = part(
        played.under_load().filter(|it| it.class == 0),
        Done::is_in_time,
    );
    assert!(urgent > 0.8, "{urgent} of the urgent requests in time");
}

/// Guards against a team or class that is refused again and again while others are served.
#[rstest]
fn every_team_and_class_is_served(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rates: Vec<f64> = (0..16).map(|it| 5.0 + 3.0 * f64::from(it)).collect();
    rates.rotate_left(7);
    let play = Play {
        seed,
        hot: 1.0,
        rates: rates.clone(),
        ..Play::default()
    };
    let played = play.run();
    for (team, rate) in rates.iter().enumerate() {
        for class in 0..2 {
            let requests = played.under_load();
            let requests = requests.filter(|it| (it.team, it.class) == (team, class));
            let answered = part(requests, is_answered);
            assert!(
                answered > 0.3,
                "{answered} of class {class} of team {team}, {rate} a second"
            );
        }
    }
}

/// Guards against admission without a bound, and against a service that nobody is admitted to,
/// while instances don't reach the placer.
#[rstest]
#[case::a_third(1.0 / 3.0, 0.9)]
#[case::all(1.0, 0.5)]
fn instances_that_are_cut_off_keep_to_their_shares(
    #[case] part_cut_off: f64,
    #[case] in_time: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let play = Play {
        seed,
        cut_off: Some(CutOff {
            from: 5.0,
            to: 12.0,
            part: part_cut_off,
        }),
        ..Play::default()
    };
    let played = play.run();
    let admitted = played.under_load().filter(|it| it.refusals == 0);
    let admitted = part(admitted.filter(|it| is_answered(it)), Done::is_in_time);
    assert!(admitted > in_time, "{admitted} of the admitted in time");
    let served = part(played.under_load(), is_answered);
    assert!(served > 0.6, "{served} served");
    assert!(played.longest <= 36, "{} at one target", played.longest);
    let after = played.between(16.0, 20.0).filter(|it| it.refusals > 0);
    assert_eq!(after.count(), 0, "refused after the load");
}

/// Guards against refusals at the usual load while nobody reaches the placer.
#[rstest]
fn the_usual_load_is_served_without_a_placer(#[values(1, 2, 3)] seed: u64) {
    let play = Play {
        seed,
        hot: 1.0,
        cut_off: Some(CutOff {
            from: 5.0,
            to: 12.0,
            part: 1.0,
        }),
        ..Play::default()
    };
    let played = play.run();
    let without = || played.between(5.0, 12.0);
    let refused = part(without(), |it| it.refusals > 0);
    let in_time = part(without(), Done::is_in_time);
    assert!(refused < 0.05, "{refused} refused");
    assert!(in_time > 0.95, "{in_time} in time");
}

//! Verdicts of one daemon, their trials and their end.

use pistachiomoor::gateway::quarantine::{
    Admission, Break, Cause, Digest, Fitness, Happening, Rules,
};

use crate::rig::{CRASHED, CRASHING, RULES, alone, at, attempt, crash, quarantined};

/// Guards against a verdict after fewer crashes than set, or without the time for answers.
#[test]
fn verdict_limit() {
    for limit in 1..=3 {
        let mut quarantine = alone(Rules {
            crashes: limit,
            ..RULES
        });
        for number in 1..=u64::from(limit) {
            quarantine.take_messages(at(100 * number - 60));
            assert_eq!(
                quarantine.admit(CRASHING, at(100 * number - 55)),
                Admission::Open
            );
            crash(
                &mut quarantine,
                CRASHING,
                number,
                100 * number - 50,
                100 * number,
            );
        }
        let last = 100 * u64::from(limit) + 21;
        quarantine.take_messages(at(last + 399));
        assert!(!quarantine.is_quarantined(CRASHING), "limit {limit}");
        quarantine.take_messages(at(last + 400));
        assert!(quarantine.is_quarantined(CRASHING), "limit {limit}");
    }
}

/// Guards against targets that are lost at once, or one that restarts often, counting as
/// crashes that follow one another.
#[test]
fn verdict_at_once() {
    let mut quarantine = alone(RULES);
    for number in 1..=8 {
        crash(&mut quarantine, CRASHING, number, 10 + number, 100);
    }
    crash(&mut quarantine, CRASHING, 1, 200, 300);
    quarantine.take_messages(at(2_000));
    let is_held = quarantine.is_quarantined(CRASHING);
    assert!(is_held, "an attempt began after the other crashes");
    let mut quarantine = alone(RULES);
    for number in 1..=8 {
        crash(&mut quarantine, CRASHING, number, 10 + number, 100);
    }
    quarantine.take_messages(at(2_000));
    assert!(!quarantine.is_quarantined(CRASHING));
    let mut quarantine = alone(RULES);
    for round in 0..5 {
        crash(
            &mut quarantine,
            CRASHING,
            1,
            1_000 * round,
            1_000 * round + 100,
        );
    }
    quarantine.take_messages(at(9_000));
    assert!(!quarantine.is_quarantined(CRASHING), "one instance");
}

/// Guards against crashes of cold targets that don't count, so that a request goes on to
/// crash those that return, and against crashes by load alone that count as proof.
#[test]
fn verdict_cold() {
    for warm in 0..=3 {
        let mut quarantine = alone(RULES);
        for number in 1..=3 {
            let end = Break {
                fitness: match number <= warm {
                    true => Fitness::Warm,
                    false => Fitness::Cold,
                },
                ..CRASHED
            };
            let attempt = attempt(CRASHING, number, 100 * number - 50);
            quarantine.on_broken(attempt, end, at(100 * number));
            quarantine.on_list(|_| false, at(100 * number + 20));
        }
        quarantine.take_messages(at(1_000));
        assert_eq!(
            quarantine.is_quarantined(CRASHING),
            warm > 0,
            "{warm} warm ones"
        );
    }
}

/// Guards against a request that targets answer being refused, and against its earlier
/// crashes counting after an answer.
#[test]
fn on_answered_before_verdict() {
    let mut quarantine = alone(RULES);
    for number in 1..=3 {
        crash(
            &mut quarantine,
            CRASHING,
            number,
            100 * number - 50,
            100 * number,
        );
    }
    quarantine.on_answered(CRASHING, at(500));
    quarantine.take_messages(at(2_000));
    crash(&mut quarantine, CRASHING, 4, 10_450, 10_501);
    // Proven late: it ended before the answer.
    quarantine.on_broken(attempt(CRASHING, 5, 50), CRASHED, at(400));
    quarantine.on_list(|_| false, at(10_600));
    crash(&mut quarantine, CRASHING, 6, 10_650, 10_700);
    quarantine.take_messages(at(12_000));
    assert!(!quarantine.is_quarantined(CRASHING));
    crash(&mut quarantine, CRASHING, 7, 12_050, 12_100);
    quarantine.take_messages(at(14_000));
    assert!(quarantine.is_quarantined(CRASHING), "three crashes since");
}

/// Guards against a popular request that is refused because the last targets of its service
/// are lost one after the other and none is left to answer it.
#[test]
fn on_answered_shield() {
    let mut quarantine = alone(RULES);
    quarantine.on_answered(CRASHING, at(50));
    for number in 1..=8 {
        crash(
            &mut quarantine,
            CRASHING,
            number,
            1_000 * number,
            1_000 * number + 10,
        );
    }
    quarantine.take_messages(at(10_000));
    assert!(!quarantine.is_quarantined(CRASHING));
    assert_eq!(quarantine.sizes().crashes, 0);
}

/// Guards against a verdict that an answer to an attempt under way does not end, and
/// against one that holds again by the crashes before.
#[test]
fn on_answered_after_verdict() {
    let mut quarantine = quarantined();
    quarantine.on_answered(CRASHING, at(1_010));
    assert_eq!(quarantine.admit(CRASHING, at(1_011)), Admission::Open);
    quarantine.on_broken(attempt(CRASHING, 7, 900), CRASHED, at(1_005));
    quarantine.on_list(|_| false, at(1_020));
    assert_eq!(quarantine.sizes().crashes, 0);
    let happenings: Vec<_> = quarantine
        .take_events()
        .iter()
        .map(|e| e.happening)
        .collect();
    let expected = [Happening::Quarantined(3), Happening::Ended(Cause::Answered)];
    assert_eq!(happenings, expected);
}

/// Guards against refused callers that are told to return too early, against more than one
/// trial, and against trials that don't become rarer.
#[test]
fn admit_trials() {
    let mut quarantine = quarantined();
    let mut due = 1_000 + 600_000;
    assert_eq!(
        quarantine.admit(CRASHING, at(2_000)),
        Admission::Refused(due - 2_000)
    );
    for hold in [7_200_000, 86_400_000, 86_400_000] {
        assert_eq!(quarantine.refusal(CRASHING, at(due - 1)), Some(1));
        assert_eq!(quarantine.refusal(CRASHING, at(due)), None);
        assert_eq!(quarantine.admit(CRASHING, at(due)), Admission::Trial);
        assert_eq!(
            quarantine.admit(CRASHING, at(due)),
            Admission::Refused(hold)
        );
        due += hold;
    }
    let listed = &quarantine.list(at(due - 5))[0];
    assert_eq!(
        (listed.trials, listed.trial, listed.refused),
        (3, Some(5), 7)
    );
    quarantine.on_answered(CRASHING, at(due - 1));
    assert_eq!(quarantine.admit(CRASHING, at(due)), Admission::Open);
}

/// Guards against an operator who can't end a verdict, and against crashes from before that
/// count afterwards.
#[test]
fn lift_known() {
    let mut quarantine = quarantined();
    assert!(!quarantine.lift(Digest(1), at(1_100)));
    assert!(quarantine.lift(CRASHING, at(1_100)));
    assert!(!quarantine.lift(CRASHING, at(1_100)));
    assert_eq!(quarantine.admit(CRASHING, at(1_101)), Admission::Open);
    assert_eq!(quarantine.list(at(1_100))[0].ended, Some(Cause::Operator));
    for number in 4..=6 {
        let from = 1_000 * number;
        assert!(!quarantine.is_quarantined(CRASHING));
        crash(&mut quarantine, CRASHING, number, from, from + 10);
    }
    quarantine.take_messages(at(9_000));
    assert!(quarantine.is_quarantined(CRASHING));
}

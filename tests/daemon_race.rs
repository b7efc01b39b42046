//! Hedged requests: which attempt's answer is used and which attempt is aborted,
//! and the timer that starts second attempts.

use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use pistachiomoor::daemon::race::{Race, SecondResult};
use pistachiomoor::forward::Abort;
use pistachiomoor::tables::timer::Timer;

fn race() -> (Race<&'static str>, [Abort; 2]) {
    let aborts = [Abort::new(), Abort::new()];
    (Race::new(aborts[0].clone(), aborts[1].clone()), aborts)
}

fn fired(aborts: &[Abort; 2]) -> [bool; 2] {
    [aborts[0].is_fired(), aborts[1].is_fired()]
}

fn far_deadline() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

/// Guards against a second attempt that starts after the first has ended.
#[test]
fn start_second_after_first_is_refused() {
    for answered in [true, false] {
        let (race, aborts) = race();
        assert!(race.is_open());
        assert_eq!(race.end_first(answered, far_deadline()), SecondResult::None);
        assert!(!race.is_open());
        assert!(!race.start_second());
        assert_eq!(fired(&aborts), [false, false]);
    }
}

/// Guards against a losing attempt that keeps running at its target, and a winning
/// one that is aborted.
#[test]
fn end_aborts_the_other_attempt() {
    let (race, aborts) = self::race();
    assert!(race.start_second() && !race.start_second());
    assert_eq!(race.end_first(true, far_deadline()), SecondResult::None);
    assert_eq!(fired(&aborts), [false, true]);
    race.end_second("late", true);
    assert_eq!(fired(&aborts), [false, true]);

    let (race, aborts) = self::race();
    assert!(race.start_second());
    race.end_second("answer", true);
    assert_eq!(fired(&aborts), [true, false]);
    assert_eq!(
        race.end_first(false, far_deadline()),
        SecondResult::Ended("answer")
    );
}

/// Guards against an answer that is dropped because the other attempt failed
/// first, and against a failure that aborts an attempt which may still answer.
#[test]
fn end_first_failed_takes_second() {
    let (race, aborts) = race();
    assert!(race.start_second());
    race.end_second("refused", false);
    assert_eq!(fired(&aborts), [false, false]);
    assert_eq!(
        race.end_first(false, far_deadline()),
        SecondResult::Ended("refused")
    );

    let (race, _) = self::race();
    assert!(race.start_second());
    thread::scope(|scope| {
        let first = scope.spawn(|| race.end_first(false, far_deadline()));
        race.end_second("answer", true);
        assert_eq!(first.join().unwrap(), SecondResult::Ended("answer"));
    });
}

/// Guards against use of the first attempt's answer after the second attempt's
/// answer has aborted it, so that the caller gets a cut-off body.
#[test]
fn end_first_answered_after_second_loses() {
    let (race, aborts) = race();
    assert!(race.start_second());
    race.end_second("answer", true);
    assert_eq!(
        race.end_first(true, far_deadline()),
        SecondResult::Ended("answer")
    );
    assert_eq!(fired(&aborts), [true, false]);

    let (race, aborts) = self::race();
    assert!(race.start_second());
    race.end_second("refused", false);
    assert_eq!(race.end_first(true, far_deadline()), SecondResult::None);
    assert_eq!(fired(&aborts), [false, false]);
}

/// Guards against a request that is reported as not run while its second attempt
/// is still running.
#[test]
fn end_first_tells_unfinished_second() {
    let (race, aborts) = race();
    assert!(race.start_second());
    assert_eq!(
        race.end_first(false, Instant::now()),
        SecondResult::Unfinished
    );
    assert_eq!(fired(&aborts), [false, true]);
}

/// Guards against timer actions that run in the wrong order, after they were
/// disarmed, or not at all because the timer sleeps until a later one.
#[test]
fn timer_runs_armed_actions_in_order() {
    let timer = Arc::new(Timer::default());
    let (sender, runs) = mpsc::channel();
    let start = Instant::now();
    let arm = |millis, name| {
        let sender = sender.clone();
        let at = start + Duration::from_millis(millis);
        timer.arm(at, move || {
            sender.send((name, Instant::now() >= at)).unwrap()
        })
    };
    let _far = arm(60_000, "far");
    let _near = [arm(2, "third"), arm(0, "first"), arm(1, "second")];
    drop(arm(0, "disarmed"));
    let runner = timer.clone();
    let thread = thread::spawn(move || runner.run());
    let wait = || runs.recv_timeout(Duration::from_secs(20)).unwrap();
    let names = [wait(), wait(), wait()];
    assert_eq!(names, [("first", true), ("second", true), ("third", true)]);
    let _sooner = arm(3, "sooner");
    assert_eq!(wait(), ("sooner", true));
    timer.stop();
    thread.join().unwrap();
}

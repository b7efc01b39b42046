//! Two attempts at one request: which answer counts, and what is aborted.

use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use pistachiomoor::daemon::race::{Other, Race};
use pistachiomoor::forward::Abort;
use pistachiomoor::tables::timer::Timer;

fn race() -> (Race<&'static str>, [Abort; 2]) {
    let aborts = [Abort::new(), Abort::new()];
    (Race::new(aborts[0].clone(), aborts[1].clone()), aborts)
}

fn fired(aborts: &[Abort; 2]) -> [bool; 2] {
    [aborts[0].is_fired(), aborts[1].is_fired()]
}

fn late() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

/// Guards against a second attempt that starts after the first has ended.
#[test]
fn start_second_after_first_is_refused() {
    for answered in [true, false] {
        let (race, aborts) = race();
        assert!(race.is_open());
        assert_eq!(race.end_first(answered, late()), Other::None);
        assert!(!race.is_open());
        assert!(!race.start_second());
        assert_eq!(fired(&aborts), [false, false]);
    }
}

/// Guards against a loser that goes on using its target, and a winner that is aborted.
#[test]
fn end_aborts_the_other_attempt() {
    let (race, aborts) = self::race();
    assert!(race.start_second() && !race.start_second());
    assert_eq!(race.end_first(true, late()), Other::None);
    assert_eq!(fired(&aborts), [false, true]);
    race.end_second("late", true);
    assert_eq!(fired(&aborts), [false, true]);

    let (race, aborts) = self::race();
    assert!(race.start_second());
    race.end_second("answer", true);
    assert_eq!(fired(&aborts), [true, false]);
    assert_eq!(race.end_first(false, late()), Other::Ended("answer"));
}

/// Guards against an answer that is dropped because the other attempt failed
/// first, and against a failure that aborts an attempt which may still answer.
#[test]
fn end_first_failed_takes_second() {
    let (race, aborts) = race();
    assert!(race.start_second());
    race.end_second("refused", false);
    assert_eq!(fired(&aborts), [false, false]);
    assert_eq!(race.end_first(false, late()), Other::Ended("refused"));

    let (race, _) = self::race();
    assert!(race.start_second());
    thread::scope(|scope| {
        let first = scope.spawn(|| race.end_first(false, late()));
        race.end_second("answer", true);
        assert_eq!(first.join().unwrap(), Other::Ended("answer"));
    });
}

/// Guards against an answer that was aborted for the second attempt's and is
/// used all the same, so that its caller gets a cut body.
#[test]
fn end_first_answered_after_second_loses() {
    let (race, aborts) = race();
    assert!(race.start_second());
    race.end_second("answer", true);
    assert_eq!(race.end_first(true, late()), Other::Ended("answer"));
    assert_eq!(fired(&aborts), [true, false]);

    let (race, aborts) = self::race();
    assert!(race.start_second());
    race.end_second("refused", false);
    assert_eq!(race.end_first(true, late()), Other::None);
    assert_eq!(fired(&aborts), [false, false]);
}

/// Guards against "not run" for a request whose second attempt still runs.
#[test]
fn end_first_tells_unfinished_second() {
    let (race, aborts) = race();
    assert!(race.start_second());
    assert_eq!(race.end_first(false, Instant::now()), Other::Unfinished);
    assert_eq!(fired(&aborts), [false, true]);
}

/// Guards against actions that run in the wrong order, after they were
/// disarmed, or not at all while the timer sleeps towards a later one.
#[test]
fn timer_runs_armed_actions_in_order() {
    let timer = Arc::new(Timer::default());
    let (sender, seen) = mpsc::channel();
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
    let wait = || seen.recv_timeout(Duration::from_secs(20)).unwrap();
    let names = [wait(), wait(), wait()];
    assert_eq!(names, [("first", true), ("second", true), ("third", true)]);
    let _sooner = arm(3, "sooner");
    assert_eq!(wait(), ("sooner", true));
    timer.stop();
    thread.join().unwrap();
}

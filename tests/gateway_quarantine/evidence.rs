//! Broken attempts, and the proof that their instances have ended.

use pistachiomoor::gateway::quarantine::{Break, Fitness};

use crate::rig::{CRASHED, CRASHING, RULES, alone, at, attempt, instance};

/// Guards against evidence from an attempt that this daemon closed, that was not written
/// completely, that had a part of its answer, or whose target was leaving.
#[test]
fn on_broken_no_evidence() {
    let ends = [
        Break {
            written: false,
            ..CRASHED
        },
        Break {
            silent: false,
            ..CRASHED
        },
        Break {
            own: true,
            ..CRASHED
        },
        Break {
            fitness: Fitness::Unfit,
            ..CRASHED
        },
    ];
    for end in ends {
        let mut quarantine = alone(RULES);
        assert!(!quarantine.on_broken(attempt(CRASHING, 1, 0), end, at(10)));
        quarantine.on_refused(&instance(1), at(30), at(31));
        assert_eq!(quarantine.sizes().crashes, 0, "{end:?}");
    }
}

/// Guards against a link that resets connections, or an answer that is lost, counting as
/// the end of an instance that goes on, and against an earlier refusal as proof.
#[test]
fn on_broken_unproven() {
    let mut quarantine = alone(RULES);
    assert!(quarantine.on_broken(attempt(CRASHING, 1, 0), CRASHED, at(100)));
    // Begun before the break: they say nothing of the time after it.
    quarantine.on_refused(&instance(1), at(99), at(101));
    quarantine.on_response(&instance(1), at(100));
    quarantine.on_refused(&instance(2), at(120), at(121));
    quarantine.on_list(|_| true, at(130));
    assert_eq!(
        (quarantine.sizes().breaks, quarantine.sizes().crashes),
        (1, 0)
    );
    quarantine.on_response(&instance(1), at(101));
    assert_eq!(quarantine.sizes().breaks, 0);
    quarantine.on_refused(&instance(1), at(120), at(121));
    assert_eq!(quarantine.sizes().crashes, 0);
    // Without any sign, a break is forgotten.
    quarantine.on_broken(attempt(CRASHING, 1, 200), CRASHED, at(300));
    quarantine.take_messages(at(10_300));
    assert_eq!(quarantine.sizes().breaks, 1);
    quarantine.take_messages(at(11_301));
    assert_eq!(quarantine.sizes().breaks, 0);
}

/// Guards against an instance whose end only the list shows.
#[test]
fn on_list_newer_birth() {
    let mut quarantine = alone(RULES);
    quarantine.on_broken(attempt(CRASHING, 1, 0), CRASHED, at(100));
    quarantine.on_broken(attempt(CRASHING, 2, 0), CRASHED, at(100));
    quarantine.on_list(|known| *known != instance(1), at(5_000));
    assert_eq!(
        (quarantine.sizes().breaks, quarantine.sizes().crashes),
        (1, 1)
    );
}

/// Guards against connections to an instance after its end is known, or after it accepted
/// one, and against a schedule that differs from the design.
#[test]
fn take_probes_schedule() {
    let mut quarantine = alone(RULES);
    quarantine.on_broken(attempt(CRASHING, 1, 0), CRASHED, at(100));
    let mut times = Vec::new();
    for ms in 100..2_000 {
        times.extend(quarantine.take_probes(at(ms)).iter().map(|_| ms));
    }
    assert_eq!(times, [120, 250, 500, 1_000]);
    quarantine.on_broken(attempt(CRASHING, 2, 0), CRASHED, at(2_000));
    quarantine.on_broken(attempt(CRASHING, 3, 0), CRASHED, at(2_000));
    assert_eq!(quarantine.take_probes(at(2_020)).len(), 2);
    quarantine.on_accepted(&instance(2));
    quarantine.on_refused(&instance(3), at(2_020), at(2_021));
    assert!(quarantine.take_probes(at(9_000)).is_empty());
}

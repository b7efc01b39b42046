//! What targets have said of themselves, and which requests that allows.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::adapter::{LimitNotice, Notice};
use pistachiomoor::gateway::choice::Instance;
use pistachiomoor::gateway::notices::{News, Notices, Standing};

const LEAVING: Notice = Notice {
    limit: LimitNotice::Absent,
    leaving: true,
    pause_ms: None,
};

fn instance(birth: u64) -> Instance {
    Instance {
        target: "t1".into(),
        birth,
    }
}

fn pause(ms: u64) -> Notice {
    Notice {
        limit: LimitNotice::Absent,
        leaving: false,
        pause_ms: Some(ms),
    }
}

fn reason(standing: Standing, now: Millis) -> String {
    let reason = standing.reason(now);
    reason.map_or_else(String::new, |reason| reason.to_string())
}

/// Guards against a target that counts as staying again, or as leaving since later, because
/// a later answer does not say or repeats that it leaves.
#[test]
fn on_answer_leaving() {
    let mut notices = Notices::new();
    let first = notices.on_answer(&instance(1), LEAVING, Millis(100), 0.5);
    let news = News {
        leaving: true,
        pause: false,
    };
    assert_eq!(first, news);
    for (now, notice) in [(200, Notice::default()), (300, LEAVING), (400, pause(50))] {
        let news = notices.on_answer(&instance(1), notice, Millis(now), 0.0);
        assert!(!news.leaving);
    }
    let standing = notices.standing(&instance(1), 0, Millis(600));
    assert_eq!(standing, Standing::Leaving(Millis(100)));
    let text = reason(standing, Millis(600));
    assert_eq!(text, "target is draining, said by itself 500 ms ago");
    assert_eq!(notices.leaving().collect::<Vec<_>>(), [&instance(1)]);
}

/// Guards against a new instance that inherits what an earlier one said, and against memory
/// that is kept for targets that are gone.
#[test]
fn retain_instances() {
    let mut notices = Notices::new();
    notices.on_answer(&instance(1), LEAVING, Millis(0), 0.0);
    notices.on_answer(&instance(1), pause(1_000), Millis(0), 0.0);
    let new = notices.standing(&instance(2), 9, Millis(10));
    assert_eq!(new, Standing::Open);
    notices.retain(|kept| kept.birth == 2);
    let old = notices.standing(&instance(1), 9, Millis(10));
    assert_eq!(old, Standing::Open);
}

/// Guards against a pause that ends before the time that the target named, and against one
/// that a later answer shortens.
#[test]
fn on_answer_pause() {
    let mut notices = Notices::new();
    assert!(
        notices
            .on_answer(&instance(1), pause(1_000), Millis(0), 0.0)
            .pause
    );
    assert!(
        !notices
            .on_answer(&instance(1), pause(10), Millis(100), 0.0)
            .pause
    );
    let standing = notices.standing(&instance(1), 0, Millis(999));
    assert_eq!(standing, Standing::Paused(Millis(1_000)));
    let text = reason(standing, Millis(400));
    assert_eq!(text, "target asked for a pause, 600 ms left");
    notices.on_answer(&instance(1), pause(1_000), Millis(900), 0.0);
    let standing = notices.standing(&instance(1), 0, Millis(1_899));
    assert_eq!(standing, Standing::Paused(Millis(1_900)));
    let standing = notices.standing(&instance(1), 0, Millis(1_900));
    assert_eq!(standing, Standing::Open);
}

/// Guards against pauses that were asked for together and end together, and against many
/// answers to one daemon that all take the longest delay.
#[test]
fn on_answer_pause_spread() {
    let end = |randoms: &[f64]| {
        let mut notices = Notices::new();
        for random in randoms {
            notices.on_answer(&instance(1), pause(1_000), Millis(0), *random);
        }
        match notices.standing(&instance(1), 0, Millis(0)) {
            Standing::Paused(until) => until.0,
            standing => panic!("{standing:?}"),
        }
    };
    assert_eq!(
        [end(&[0.0]), end(&[0.5]), end(&[1.0])],
        [1_000, 1_100, 1_200]
    );
    assert_eq!(end(&[0.1, 0.9, 0.8]), 1_020);
    let mut notices = Notices::new();
    notices.on_answer(&instance(1), pause(86_400_000), Millis(0), 1.0);
    let standing = notices.standing(&instance(1), 0, Millis(0));
    assert_eq!(standing, Standing::Paused(Millis(86_401_000)));
}

/// Guards against all requests returning to a target at once when its pause ends, and
/// against a limit that stays although the target answers.
#[test]
fn standing_after_pause() {
    let mut notices = Notices::new();
    notices.on_answer(&instance(1), pause(1_000), Millis(0), 0.0);
    // An answer to a request that was sent before the pause allows nothing during it.
    notices.on_served(&instance(1), Millis(500));
    let standing = |notices: &Notices, running| {
        let standing = notices.standing(&instance(1), running, Millis(1_250));
        (standing, reason(standing, Millis(1_250)))
    };
    let open = (Standing::Open, String::new());
    let text = "target returns from a pause, over for 250 ms".to_owned();
    let returning = (Standing::Returning(Millis(1_000)), text);
    for allowed in 1..10 {
        assert_eq!(standing(&notices, allowed - 1), open, "{allowed}");
        assert_eq!(standing(&notices, allowed), returning, "{allowed}");
        notices.on_served(&instance(1), Millis(1_200));
    }
    assert_eq!(standing(&notices, 1_000), open);
}

/// Guards against a target that gets many requests at once after its second pause, since
/// the first one's return was nearly complete.
#[test]
fn standing_after_second_pause() {
    let mut notices = Notices::new();
    notices.on_answer(&instance(1), pause(100), Millis(0), 0.0);
    for _ in 0..5 {
        notices.on_served(&instance(1), Millis(200));
    }
    notices.on_answer(&instance(1), pause(100), Millis(300), 0.0);
    let standing = notices.standing(&instance(1), 1, Millis(400));
    assert_eq!(standing, Standing::Returning(Millis(400)));
}

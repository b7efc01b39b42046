//! Ages of a daemon's views of the log, from its own reads and from announcements.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::adapter::Topic;
use pistachiomoor::gateway::view::{Announcement, Renewal, Views};
use pistachiomoor::model::Offset;

const START: Millis = Millis(100_000);

/// Returns an announcement of the targets' topic only.
fn announce(next: u64, age: u64) -> Announcement {
    let mut views = [None; Topic::ALL.len()];
    views[Topic::Targets.index()] = Some((Offset(next), age));
    let answered = [None; Topic::ALL.len()];
    Announcement { views, answered }
}

/// Guards against a view that counts as current from the end of a slow read: records
/// that were appended during the read may be missing.
#[test]
fn on_read_slow() {
    let mut views = Views::default();
    assert_eq!(views.age(Topic::Targets, START), None);
    views.on_read(Topic::Targets, Offset(3), START, START + 900);
    assert_eq!(views.age(Topic::Targets, START + 900), Some(900));
    let renewal = views.on_read(Topic::Targets, Offset(3), START + 1_000, START + 1_400);
    let expected = Renewal {
        age_before: Some(1_400),
        age: 400,
        gap: 0,
    };
    assert_eq!(renewal, Some(expected));
    assert_eq!(views.age(Topic::Operator, START + 1_400), None);
}

/// Guards against a view that becomes older because reads end in another order than they
/// began.
#[test]
fn on_read_out_of_order() {
    let mut views = Views::default();
    views.on_read(Topic::Targets, Offset(5), START + 500, START + 600);
    let renewal = views.on_read(Topic::Targets, Offset(4), START, START + 700);
    assert_eq!(renewal, None);
    assert_eq!(views.until(Topic::Targets), Some(START + 500));
}

/// Guards against an announced view that counts although records of it are missing.
#[test]
fn on_announcement_records_missing() {
    let mut views = Views::default();
    views.on_records(Topic::Targets, Offset(4), START);
    assert_eq!(views.on_announcement(&announce(6, 50), START + 100), []);
    assert_eq!(views.age(Topic::Targets, START + 100), None);
    let renewal = views.on_records(Topic::Targets, Offset(6), START + 300);
    let expected = Renewal {
        age_before: None,
        age: 250,
        gap: 200,
    };
    assert_eq!(renewal, Some(expected));
}

/// Guards against the age of the reader's own view being lost on the way.
#[test]
fn on_announcement_records_known() {
    let mut views = Views::default();
    views.on_records(Topic::Targets, Offset(6), START);
    let renewals = views.on_announcement(&announce(6, 700), START + 100);
    assert_eq!(renewals.len(), 1);
    assert_eq!(views.age(Topic::Targets, START + 100), Some(700));
}

/// Guards against announcements that pile up, or are all lost, while records are missing:
/// the last one that the known records cover counts.
#[test]
fn on_announcement_many_pending() {
    let mut views = Views::default();
    views.on_records(Topic::Targets, Offset(0), START);
    for round in 1..=20 {
        views.on_announcement(&announce(round, 10), START + 100 * round);
    }
    views.on_records(Topic::Targets, Offset(15), START + 2_100);
    assert_eq!(views.until(Topic::Targets), Some(START + 1_490));
}

/// Guards against an announcement that states another age or offset than the daemon has.
#[test]
fn announcement_own_view() {
    let mut views = Views::default();
    views.on_read(Topic::Targets, Offset(9), START, START + 20);
    let mut expected = announce(9, 120);
    expected.answered[Topic::Targets.index()] = Some(100);
    assert_eq!(views.announcement(START + 120), expected);
}

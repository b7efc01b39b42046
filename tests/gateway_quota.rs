//! Shares of the retry budget and of the limit for cold targets, checked against
//! lists of event times.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::quota::{self, ColdLimiter, RetryBudget, RetryLimit};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    extra: 62.0,
    window_ms: 10_000,
};

fn config(seed: u64) -> Config {
    Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Acquires retries until one is denied, and returns their number.
fn acquire_all(retry: &mut RetryBudget, now: u64) -> usize {
    let granted = (0..1_000).take_while(|_| retry.try_acquire(Millis(now)));
    granted.count()
}

/// Guards against shares of the extra retries that exceed half of them together,
/// and against a daemon without an extra retry.
#[test]
fn set_peers_share() {
    for (peers, expected) in [(0, 31), (1, 31), (2, 15), (11, 2), (31, 1), (83, 1)] {
        let mut retry = RetryBudget::new(LIMIT);
        retry.set_peers(peers);
        assert_eq!(acquire_all(&mut retry, 5), expected, "{peers}");
    }
    assert_eq!(
        acquire_all(&mut RetryBudget::new(LIMIT), 5),
        1,
        "peers not known yet"
    );
}

/// Guards against retries that were granted from a larger share and are not counted
/// after more daemons appear.
#[test]
fn set_peers_later() {
    let mut retry = RetryBudget::new(LIMIT);
    retry.set_peers(10);
    assert_eq!(acquire_all(&mut retry, 0), 3);
    retry.set_peers(62);
    assert_eq!(acquire_all(&mut retry, 10_000), 0);
    assert_eq!(acquire_all(&mut retry, 10_001), 1);
    retry.set_peers(10);
    assert_eq!(acquire_all(&mut retry, 10_002), 2);
}

/// Guards against fewer or more retries per request than the ratio allows.
///
/// With a share of 1, each retry needs `ceil(1 / 0.16)`, that is 7, requests
/// after the one before it.
#[test]
fn take_ratio() {
    for (peers, min, max) in [(10, 159, 160), (83, 142, 142)] {
        let mut retry = RetryBudget::new(LIMIT);
        retry.set_peers(peers);
        acquire_all(&mut retry, 0);
        let granted = (1..=1_000).filter(|&now| {
            retry.on_request(Millis(now));
            retry.try_acquire(Millis(now))
        });
        let granted = granted.count();
        assert!((min..=max).contains(&granted), "{peers}: {granted}");
    }
}

/// Guards against retries that are granted for requests outside their window.
#[test]
fn take_after_requests() {
    let mut retry = RetryBudget::new(LIMIT);
    retry.set_peers(10);
    for _ in 0..1_000 {
        retry.on_request(Millis(0));
    }
    assert_eq!(acquire_all(&mut retry, 9_999), 3);
}

/// Guards against a daemon that exceeds its share of a cold target's requests in
/// some second.
#[test]
fn cold_second() {
    let mut cold = ColdLimiter::new();
    assert!(!cold.try_acquire(Millis(0), 0));
    assert!(cold.try_acquire(Millis(0), 2));
    assert!(cold.try_acquire(Millis(900), 2));
    assert!(
        !cold.try_acquire(Millis(1_000), 2),
        "may be less than a second"
    );
    assert!(cold.try_acquire(Millis(1_001), 2));
    assert!(!cold.try_acquire(Millis(1_900), 2));
    assert!(!cold.try_acquire(Millis(1_901), 1), "a smaller share");
    assert!(cold.try_acquire(Millis(1_901), 2));
}

/// Guards against shares that together exceed nine tenths of the limit.
#[test]
fn share_floor() {
    for (rate, senders, expected) in [
        (5.3, 1, 11),
        (5.3, 4, 2),
        (5.3, 11, 1),
        (5.3, 12, 0),
        (1.8, 0, 6),
        (1.8, 3, 2),
    ] {
        let share = quota::cold_share(rate, 1.5, 5.0, senders);
        assert_eq!(share, expected, "{rate} {senders}");
    }
    assert_eq!(quota::cold_share(1.0, 1.0, -5.0, 1), 0);
    assert_eq!(quota::cold_share(f64::NAN, 1.0, 5.0, 1), 0);
}

/// An event at the daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Request,
    Acquire,
}

/// Returns bursts of requests and retries, with pauses of up to two windows.
fn events(window: u64) -> impl Strategy<Value = Vec<(u64, Event)>> {
    let pause = prop_oneof![
        6 => 0..3_u64,
        3 => 0..window / 4,
        1 => window - 2..2 * window,
    ];
    let event = prop_oneof![2 => Just(Event::Request), 1 => Just(Event::Acquire)];
    let runs = prop::collection::vec((pause, event, 1..12_usize), 1..60);
    runs.prop_map(|runs| {
        let mut now = 0;
        let mut all = Vec::new();
        for (pause, event, count) in runs {
            now += pause;
            all.extend((0..count).map(|_| (now, event)));
        }
        all
    })
}

/// Returns whether some window that begins just before one of `granted` holds too
/// many retries. Both lists hold clock readings and positions in the order of events.
fn exceeds(granted: &[(u64, usize)], requests: &[(u64, usize)], window: u64, share: f64) -> bool {
    let limit = |count: usize| 0.2 * 0.8 * count as f64 + share;
    granted.iter().any(|&(at, position)| {
        let last = granted.last().unwrap().0.min(at + window);
        let inside = |list: &[(u64, usize)]| {
            let inside = |&&(t, p): &&(u64, usize)| p >= position && t <= last;
            list.iter().filter(inside).count()
        };
        inside(granted) as f64 > limit(inside(requests))
    })
}

proptest! {
    #![proptest_config(config(21))]

    /// Guards against a window with too many retries, and against a retry that is
    /// denied although every window has room.
    #[test]
    fn take_windows(events in events(100), peers in 1..40_u32) {
        let window = 100;
        let mut retry = RetryBudget::new(RetryLimit { window_ms: window, ..LIMIT });
        retry.set_peers(peers);
        let share = f64::from((31 / peers).max(1));
        let (mut granted, mut requests) = (Vec::new(), Vec::new());
        for (position, (now, event)) in events.into_iter().enumerate() {
            if event == Event::Request {
                retry.on_request(Millis(now));
                requests.push((now, position));
                continue;
            }
            let since = now.saturating_sub(window);
            let mut recent: Vec<_> = granted.iter().copied().filter(|t: &(u64, usize)| t.0 >= since).collect();
            recent.push((now, position));
            let expected = !exceeds(&recent, &requests, window, share);
            prop_assert_eq!(retry.try_acquire(Millis(now)), expected, "at {}", now);
            if expected {
                granted.push((now, position));
            }
        }
        for at in granted.iter().map(|t| t.0) {
            let trailing = |list: &[(u64, usize)]| {
                let inside = |t: &&(u64, usize)| t.0 + window > at && t.0 <= at;
                list.iter().filter(inside).count() as f64
            };
            prop_assert!(trailing(&granted) <= 0.16 * trailing(&requests) + share);
        }
    }

    /// Guards against a second with more requests than were allowed at its last one,
    /// and against a request that is denied although the limit is not reached.
    #[test]
    fn cold_windows(
        steps in prop::collection::vec((prop_oneof![3 => 0..400_u64, 1 => 990..1_010_u64], 0..6_u32), 1..200),
    ) {
        let mut cold = ColdLimiter::new();
        let mut granted: Vec<u64> = Vec::new();
        let mut now = 0;
        for (pause, allowed) in steps {
            now += pause;
            let recent = granted.iter().filter(|&&t| t + 1_000 >= now).count();
            let expected = recent < allowed as usize;
            prop_assert_eq!(cold.try_acquire(Millis(now), allowed), expected, "at {}", now);
            if expected {
                granted.push(now);
            }
        }
    }
}

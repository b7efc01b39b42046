//! Limits that targets name, and the shares of daemons, checked against lists of the times at
//! which requests are sent.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::adapter::RequestRate;
use pistachiomoor::gateway::choice::Instance;
use pistachiomoor::gateway::limits::share::{Division, Place, Position, Share};
use pistachiomoor::gateway::limits::{Change, Limits, Source, Statement};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const WINDOW_MS: u64 = 4_000;

fn instance() -> Instance {
    Instance {
        target: "t1".into(),
        birth: 1,
    }
}

fn alone() -> Option<Place> {
    place(0, 1, 1)
}

fn place(rank: u32, present: u32, live: u32) -> Option<Place> {
    Some(Place {
        position: Position {
            rank,
            present,
            live,
        },
        division: Division::Senders,
    })
}

/// An answer at `at` to a request that began at `began`.
fn answer(limit: Option<u64>, began: Option<u64>, at: u64) -> Statement {
    Statement {
        limit: limit.map(RequestRate),
        at: Millis(at),
        began: began.map(Millis),
        source: Source::Answer,
    }
}

fn report(limit: Option<u64>, began: u64, at: u64) -> Statement {
    Statement {
        source: Source::Peer,
        ..answer(limit, Some(began), at)
    }
}

/// Applies a statement at its own time.
fn apply(limits: &mut Limits, statement: Statement) -> Option<Change> {
    limits.on_statement(&instance(), statement, statement.at)
}

fn limit(limits: &Limits) -> Option<u64> {
    limits.limit(&instance()).map(|limit| limit.0)
}

/// Requests in 4 s that the platform allows for a limit, in thousandths of a request a second.
fn allowed(limit: u64) -> usize {
    (6 * limit / 1_000) as usize + 5
}

/// Returns the largest number of sorted times in one window.
fn busiest_window(times: &[u64]) -> usize {
    let counts = times.iter().enumerate().map(|(first, start)| {
        let inside = |at: &&u64| **at < start + WINDOW_MS;
        times[first..].iter().take_while(inside).count()
    });
    counts.max().unwrap_or_default()
}

/// Guards against shares of which the sum exceeds the limit, or of which no daemon has one.
#[test]
fn share_sum() {
    for daemons in [1, 2, 3, 11, 30, 300] {
        for limit in [0, 1, 100, 500, 1_000, 1_500, 5_000, 20_000] {
            let shares: Vec<_> = (0..daemons)
                .filter_map(|rank| place(rank, daemons, daemons))
                .filter_map(|place| Share::new(RequestRate(limit), place))
                .collect();
            assert!(!shares.is_empty(), "{daemons} daemons, {limit}");
            assert!(shares.iter().all(|share| share.burst >= 1.0));
            let rate: f64 = shares.iter().map(|share| share.rate).sum();
            let saved: f64 = shares.iter().map(|share| share.burst).sum();
            let limit = limit as f64 / 1_000.0;
            assert!(rate <= limit.max(0.25) + 1e-6, "{daemons} daemons: {rate}");
            assert!(
                4.0 * rate + saved <= 6.0 * limit + 5.0 + 1e-6,
                "{daemons} daemons, limit {limit}: {rate} a second, {saved} saved up"
            );
        }
    }
}

/// Guards against daemons that are cut off from each other and each divide the whole limit.
#[test]
fn share_sum_parts() {
    for limit in [500, 1_000, 1_500, 5_000, 20_000] {
        let shares = [4, 7].into_iter().flat_map(|present| {
            (0..present)
                .filter_map(move |rank| place(rank, present, 11))
                .filter_map(move |place| Share::new(RequestRate(limit), place))
        });
        let requests: f64 = shares.map(|share| 4.0 * share.rate + share.burst).sum();
        assert!(
            requests <= allowed(limit) as f64,
            "limit {limit}: {requests} in 4 s"
        );
    }
}

/// Guards against a limit of which others than the first daemon take a part where that gives
/// permits, and against permits for more than the limit allows.
#[test]
fn share_permits() {
    let permits = |rank| Place {
        position: Position {
            rank,
            present: 30,
            live: 30,
        },
        division: Division::Permits,
    };
    for limit in [0, 500, 1_000, 20_000] {
        let rate = RequestRate(limit);
        let first = Share::new(rate, permits(0)).expect("the share of the first daemon");
        assert_eq!(first.rate, rate.per_second().max(0.25));
        assert!(4.0 * first.rate + first.burst <= allowed(limit) as f64);
        assert_eq!(Share::new(rate, permits(1)), None);
    }
}

/// Guards against a table that is shared out to a daemon which does not know the others.
#[test]
fn try_acquire_unknown_position() {
    let mut limits = Limits::new();
    apply(&mut limits, answer(Some(20_000), Some(0), 1));
    for now in [1, 10_000, 60_000] {
        assert!(!limits.try_acquire(&instance(), Millis(now), || None));
    }
    let obstacle = limits.obstacle(&instance(), Millis(60_000), || None);
    assert_eq!(obstacle.and_then(|obstacle| obstacle.wait_ms), None);
}

/// Guards against a target without a limit that gets no requests, or of which requests are
/// counted before it names one.
#[test]
fn try_acquire_unlimited() {
    let mut limits = Limits::new();
    for now in 0..100 {
        assert!(limits.try_acquire(&instance(), Millis(now), alone));
    }
    assert_eq!(limits.limit(&instance()), None);
}

/// Guards against a limit that forbids requests for good, and against requests saved up before
/// the target named it.
#[test]
fn try_acquire_after_named() {
    let mut limits = Limits::new();
    apply(&mut limits, answer(Some(2_000), Some(0), 1_000));
    assert!(!limits.try_acquire(&instance(), Millis(1_000), alone));
    let obstacle = limits.obstacle(&instance(), Millis(1_250), alone);
    let obstacle = obstacle.expect("no request yet");
    assert_eq!(obstacle.wait_ms, Some(250));
    let text = "target takes 2 requests/s from all daemons, said by itself 250 ms ago, this \
                daemon may send it one in 250 ms";
    assert_eq!(obstacle.to_string(), text);
    assert!(limits.try_acquire(&instance(), Millis(1_500), alone));
    assert!(!limits.try_acquire(&instance(), Millis(1_501), alone));
}

/// Guards against a target that names 0 and is never asked again, so that nobody learns that
/// the limit has ended.
#[test]
fn try_acquire_zero() {
    let mut limits = Limits::new();
    apply(&mut limits, answer(Some(0), Some(0), 0));
    let sent = (0..40_000).filter(|now| limits.try_acquire(&instance(), Millis(*now), alone));
    let sent: Vec<_> = sent.collect();
    assert!((9..20).contains(&sent.len()), "{} requests", sent.len());
    assert!(busiest_window(&sent) <= allowed(0), "{sent:?}");
}

/// Guards against an end or a raise that counts although its answer was on its way when the
/// target named a lower limit.
#[test]
fn on_statement_overtaken() {
    let mut limits = Limits::new();
    let named = apply(&mut limits, answer(Some(1_000), Some(100), 500));
    assert_eq!(named, Some(Change::Named(RequestRate(1_000))));
    for late in [None, Some(5_000)] {
        assert_eq!(apply(&mut limits, answer(late, Some(400), 600)), None);
        assert_eq!(limit(&limits), Some(1_000));
    }
    let raised = apply(&mut limits, answer(Some(5_000), Some(700), 800));
    let expected = Change::Changed(RequestRate(1_000), RequestRate(5_000));
    assert_eq!(raised, Some(expected));
    let lowered = apply(&mut limits, answer(Some(500), Some(600), 900));
    let expected = Change::Changed(RequestRate(5_000), RequestRate(500));
    assert_eq!(lowered, Some(expected), "a lower limit counts at once");
    let ended = apply(&mut limits, answer(None, Some(901), 1_000));
    assert_eq!(ended, Some(Change::Ended));
    assert_eq!(limit(&limits), None);
}

/// Guards against a limit that ends by an answer which may belong to another request.
#[test]
fn on_statement_uncertain() {
    let mut limits = Limits::new();
    assert_eq!(apply(&mut limits, answer(None, None, 100)), None);
    apply(&mut limits, answer(Some(1_000), None, 500));
    assert_eq!(apply(&mut limits, answer(None, None, 900)), None);
    assert_eq!(limit(&limits), Some(1_000));
}

/// Guards against reports that bring back a limit which has ended, and against an end that is
/// reported and was known to be out of date.
#[test]
fn on_statement_reported() {
    let mut limits = Limits::new();
    apply(&mut limits, report(Some(1_000), 400, 500));
    assert_eq!(limit(&limits), Some(1_000));
    assert_eq!(apply(&mut limits, report(None, 450, 550)), None);
    let ended = apply(&mut limits, report(None, 700, 800));
    assert_eq!(ended, Some(Change::Ended));
    let stale = limits.on_statement(&instance(), report(Some(1_000), 500, 600), Millis(900));
    assert_eq!(stale, None);
    assert_eq!(limit(&limits), None);
    apply(&mut limits, report(Some(2_000), 900, 1_000));
    assert_eq!(limit(&limits), Some(2_000));
}

/// Guards against memory that is kept for targets that are gone, and against a new instance
/// that has the limit of an earlier one.
#[test]
fn retain_instances() {
    let mut limits = Limits::new();
    apply(&mut limits, answer(Some(0), Some(0), 1));
    assert!(limits.on_unreadable(&instance()));
    assert!(!limits.on_unreadable(&instance()));
    let reborn = Instance {
        birth: 2,
        ..instance()
    };
    assert!(limits.try_acquire(&reborn, Millis(2), alone));
    limits.retain(|_| false);
    assert!(limits.try_acquire(&instance(), Millis(2), alone));
    assert!(limits.on_unreadable(&instance()));
}

/// Guards against refused callers that return together, or at a higher rate than the target
/// takes.
#[test]
fn return_delay_rate() {
    let mut limits = Limits::new();
    apply(&mut limits, answer(Some(2_000), Some(0), 0));
    limits.obstacle(&instance(), Millis(0), alone);
    let mut delays: Vec<_> = (0..8)
        .map(|_| limits.return_delay(&[instance()], Millis(0), (250, 5_000), 0.0))
        .collect();
    assert_eq!(delays, [250, 750, 1_250, 1_750, 2_250, 2_750, 3_250, 3_750]);
    delays = (0..8)
        .map(|step| f64::from(step) / 8.0)
        .map(|random| limits.return_delay(&[instance()], Millis(0), (250, 5_000), random))
        .collect();
    assert!(delays.iter().all(|delay| (250..=5_000).contains(delay)));
    delays.dedup();
    assert!(delays.len() > 5, "{delays:?}");
}

fn config(seed: u64) -> Config {
    Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(38))]

    /// Guards against daemons that together exceed a limit, whatever the pauses in which they
    /// save up requests, and although some join or leave meanwhile.
    #[test]
    fn try_acquire_many_daemons(
        daemons in 1_u32..40,
        limit in prop_oneof![Just(0), Just(500), Just(1_000), Just(1_500), 0_u64..20_000],
        demand in proptest::collection::vec((0_u32..40, 0_u64..400), 200..1_500),
        leaves in proptest::option::of(10_000_u64..30_000),
    ) {
        let mut tables: Vec<_> = (0..daemons).map(|_| Limits::new()).collect();
        for table in &mut tables {
            apply(table, answer(Some(limit), Some(0), 0));
        }
        let (mut now, mut sent) = (0, Vec::new());
        for (daemon, pause) in demand {
            now += pause;
            // The last daemon leaves; the others notice it at the same time.
            let present = match leaves {
                Some(at) if daemons > 1 && now > at => daemons - 1,
                _ => daemons,
            };
            // Several requests come to one daemon at once, or in turn to all of them.
            for rank in [daemon % present, daemon % present, now as u32 % present] {
                let place = || place(rank, present, daemons);
                let table = &mut tables[rank as usize];
                if table.try_acquire(&instance(), Millis(now), place) {
                    sent.push(now);
                }
            }
        }
        let busiest = busiest_window(&sent);
        prop_assert!(busiest <= allowed(limit), "{busiest} requests in 4 s, limit {limit}");
    }
}

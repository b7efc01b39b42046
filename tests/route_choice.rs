//! Unit tests of the choice of target, the budget of extra requests and the hedge delay.

use std::time::Duration;

use pistachiomoor::clock::Millis;
use pistachiomoor::route::budget::Budget;
use pistachiomoor::route::choice::{Candidate, OUTLIER_FACTOR, Outcome, Running, Table};
use pistachiomoor::route::hedge::Delay;
use pistachiomoor::settings::Choice;
use rand::SeedableRng;
use rand::rngs::StdRng;

const POLICIES: [Choice; 3] = [
    Choice::TwoChoices,
    Choice::LeastOutstanding,
    Choice::RoundRobin,
];

struct Fixture {
    table: Table,
    rng: StdRng,
    candidates: Vec<Candidate>,
}

impl Fixture {
    /// Returns targets `t0` to `t4`, of which the first `local` are in the local region.
    fn new(local: usize) -> Self {
        let candidate = |index| Candidate {
            name: format!("t{index}").as_str().into(),
            local: index < local,
            concurrency: 2,
        };
        Self {
            table: Table::new(),
            rng: StdRng::seed_from_u64(1),
            candidates: (0..5).map(candidate).collect(),
        }
    }

    fn choose(&mut self, policy: Choice, now: u64) -> Running {
        let rng = &mut self.rng;
        let running = self
            .table
            .choose(&self.candidates, policy, rng, Millis(now), &[]);
        running.unwrap()
    }

    /// Sends one request at a time, 80 to each target, to settle the smoothed times;
    /// `t0` takes `slow_ms` milliseconds, all others 10.
    fn warm_up(&mut self, slow_ms: u64) {
        for now in 0..400 {
            let running = self.choose(Choice::RoundRobin, now);
            let time = if running.target().as_str() == "t0" {
                slow_ms
            } else {
                10
            };
            running.finish(Millis(now), Outcome::Answered, Duration::from_millis(time));
        }
    }

    /// Chooses `choices` times without responses, and counts the choices of `t0`.
    fn count_t0(&mut self, policy: Choice, now: u64, choices: usize) -> usize {
        let running: Vec<Running> = (0..choices).map(|_| self.choose(policy, now)).collect();
        let names = running.iter().map(|running| running.target().as_str());
        names.filter(|&name| name == "t0").count()
    }
}

#[test]
fn choose_nothing_left_is_none() {
    let mut fixture = Fixture::new(5);
    let names: Vec<_> = fixture.candidates.iter().map(|c| c.name.clone()).collect();
    for policy in POLICIES {
        let candidates = &fixture.candidates;
        let (rng, now) = (&mut fixture.rng, Millis(0));
        let none = fixture.table.choose(candidates, policy, rng, now, &names);
        assert!(none.is_none());
        let last = fixture
            .table
            .choose(candidates, policy, rng, now, &names[1..]);
        assert_eq!(last.unwrap().target().as_str(), "t0");
    }
}

#[test]
fn choose_local_first_unless_saturated() {
    for policy in POLICIES {
        let mut fixture = Fixture::new(2);
        let running: Vec<Running> = (0..8).map(|_| fixture.choose(policy, 0)).collect();
        let local = |r: &Running| ["t0", "t1"].contains(&r.target().as_str());
        assert!(running.iter().all(local), "{policy:?}");
        let more: Vec<Running> = (0..6).map(|_| fixture.choose(policy, 0)).collect();
        assert!(!more.iter().all(local), "{policy:?}");
        drop((running, more));
        assert!(local(&fixture.choose(policy, 0)), "{policy:?}");
    }
}

#[test]
fn choose_without_local_takes_others() {
    for policy in POLICIES {
        Fixture::new(0).choose(policy, 0);
    }
}

#[test]
fn choose_outlier_gets_one_probe_at_a_time() {
    for policy in [Choice::TwoChoices, Choice::LeastOutstanding] {
        let mut fixture = Fixture::new(5);
        fixture.warm_up(100);
        assert_eq!(fixture.count_t0(policy, 1_500, 12), 1, "{policy:?}");
        assert_eq!(fixture.count_t0(policy, 1_600, 12), 0, "{policy:?}");
        assert_eq!(fixture.count_t0(policy, 2_600, 12), 1, "{policy:?}");
    }
}

/// Guards against an outlier that is probed but never recovers.
#[test]
fn choose_recovered_outlier_serves_again() {
    for policy in [Choice::TwoChoices, Choice::LeastOutstanding] {
        let mut fixture = Fixture::new(5);
        fixture.warm_up(100);
        let mut now = 1_500;
        while fixture.table.view(&"t0".into(), Millis(now)).time_ms > Some(20.0) {
            let batch: Vec<Running> = (0..8).map(|_| fixture.choose(policy, now)).collect();
            now += 100;
            for running in batch {
                running.finish(Millis(now), Outcome::Answered, Duration::from_millis(10));
            }
            assert!(now < 30_000, "{policy:?}: t0 has not recovered");
        }
    }
}

/// Guards against a thundering herd: a recovered target has the fewest
/// outstanding requests and would attract all new ones.
#[test]
fn choose_returning_target_starts_slowly() {
    for policy in [Choice::TwoChoices, Choice::LeastOutstanding] {
        let mut fixture = Fixture::new(5);
        fixture.warm_up(4);
        while fixture.table.view(&"t0".into(), Millis(1_000)).sheds == 0 {
            let running = fixture.choose(Choice::RoundRobin, 1_000);
            if running.target().as_str() == "t0" {
                running.finish(Millis(1_000), Outcome::Shed, Duration::ZERO);
            }
        }
        assert_eq!(fixture.count_t0(policy, 1_050, 10), 0, "{policy:?}");
        assert_eq!(fixture.count_t0(policy, 1_100, 10), 1, "{policy:?}");
        assert!(fixture.count_t0(policy, 9_000, 10) >= 2, "{policy:?}");
    }
}

#[test]
fn choose_reported_queue_counts_while_recent() {
    let mut fixture = Fixture::new(5);
    fixture.warm_up(10);
    fixture.table.report(&"t0".into(), 3, Millis(1_000));
    assert_eq!(fixture.count_t0(Choice::TwoChoices, 1_000, 4), 0);
    assert_eq!(fixture.table.view(&"t0".into(), Millis(3_001)).queued, 0);
}

/// Guards against hedges that hide a straggler: its attempts never respond first, so
/// its slow responses would be missing from its statistics.
#[test]
fn finish_overtaken_raises_time() {
    let mut fixture = Fixture::new(1);
    let time = |fixture: &Fixture| fixture.table.view(&"t0".into(), Millis(2_000)).time_ms;
    for (outcome, ms, expected) in [
        (Outcome::Answered, 10, Some(10.0)),
        (Outcome::Overtaken, 5, Some(10.0)),
        (Outcome::Failed, 500, Some(10.0)),
    ] {
        let running = fixture.choose(Choice::TwoChoices, 2_000);
        running.finish(Millis(2_000), outcome, Duration::from_millis(ms));
        assert_eq!(time(&fixture), expected, "{outcome:?}");
    }
    let running = fixture.choose(Choice::TwoChoices, 2_000);
    running.finish(
        Millis(2_000),
        Outcome::Overtaken,
        Duration::from_millis(100),
    );
    assert!(time(&fixture) > Some(10.0));
}

/// Guards against hedges that hide a straggler: each attempt at it is overtaken at
/// about twice the usual time, which is below the outlier limit.
#[test]
fn finish_overtaken_makes_outlier() {
    let mut fixture = Fixture::new(5);
    fixture.warm_up(10);
    for now in (400..4_000).step_by(4) {
        let running = fixture.choose(Choice::RoundRobin, now);
        let (outcome, ms) = match running.target().as_str() {
            "t0" => (Outcome::Overtaken, 22),
            _ => (Outcome::Answered, 10),
        };
        running.finish(Millis(now), outcome, Duration::from_millis(ms));
    }
    let time = fixture.table.view(&"t0".into(), Millis(4_000)).time_ms;
    assert!(time > Some(OUTLIER_FACTOR * 10.0), "{time:?}");
}

#[test]
fn finish_or_drop_frees_outstanding() {
    let mut fixture = Fixture::new(1);
    let running = [(); 2].map(|()| fixture.choose(Choice::TwoChoices, 0));
    let outstanding = |fixture: &Fixture| fixture.table.view(&"t0".into(), Millis(0)).outstanding;
    assert_eq!(outstanding(&fixture), 2);
    let [first, second] = running;
    first.finish(Millis(0), Outcome::Failed, Duration::ZERO);
    drop(second);
    assert_eq!(outstanding(&fixture), 0);
}

/// Returns the number of extra requests that the budget allows if all available
/// ones are taken after each of `requests` requests, `interval_ms` apart.
fn available_extra(percent: f64, requests: u64, interval_ms: u64) -> u64 {
    let budget = Budget::new(percent, Millis(0));
    let after_request = |index| {
        let now = Millis(index * interval_ms);
        budget.on_request(now);
        std::iter::repeat_with(|| budget.take(now))
            .take_while(|&taken| taken)
            .count() as u64
    };
    (0..requests).map(after_request).sum()
}

#[test]
fn budget_stays_within_share_or_floor() {
    // 100 s of 1,000 requests/s: the percentage applies, not the minimum.
    assert!((4_990..=5_000).contains(&available_extra(5.0, 100_000, 1)));
    // 100 s of 10 requests/s: the minimum of 2 per second applies.
    assert!((190..=200).contains(&available_extra(5.0, 1_000, 100)));
    assert_eq!(available_extra(0.0, 10_000, 10), 0);
}

#[test]
fn budget_saves_at_most_one_second() {
    let budget = Budget::new(5.0, Millis(0));
    for index in 0..10_000 {
        budget.on_request(Millis(index));
    }
    let takes = std::iter::repeat_with(|| budget.take(Millis(10_000)));
    let saved = takes.take_while(|&taken| taken).count();
    assert!((45..=51).contains(&saved), "{saved}");
}

#[test]
fn budget_give_back_allows_another() {
    let budget = Budget::new(100.0, Millis(0));
    budget.on_request(Millis(0));
    assert!(budget.take(Millis(0)));
    assert!(!budget.take(Millis(0)));
    budget.give_back();
    assert!(budget.take(Millis(0)));
}

#[test]
fn delay_is_p95_of_recent_answers() {
    let delay = Delay::new(Millis(0));
    assert_eq!(delay.get(Millis(0)), None);
    let record = |from: u64, scale: u64| {
        for index in 0..1_000 {
            let elapsed = Duration::from_millis((index % 100 + 1) * scale);
            delay.record(Millis(from + index), elapsed);
        }
    };
    let p95 = |now| delay.get(Millis(now)).unwrap().as_millis();
    record(0, 1);
    assert!((95..=105).contains(&p95(1_000)));
    record(200_000, 10);
    assert!((950..=1_050).contains(&p95(201_000)));
    // The weights were scaled down in between; old responses no longer matter.
    record(2_000_000, 1);
    assert!((95..=105).contains(&p95(2_001_000)));
}

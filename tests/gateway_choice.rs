//! Load balancing of requests that any target may serve.

#[path = "support/known.rs"]
mod known;
#[path = "gateway_choice/simulation.rs"]
mod simulation;

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::adapter::LoadReport;
use pistachiomoor::gateway::choice::{
    AttemptOutcome, Candidate, Instance, MeanWork, Pick, Table, gossip, subset,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Seed of the random spread of picks.
const SEED: u64 = 0x6368_6f69;

/// Work of a request, in milliseconds.
const WORK_MS: f64 = 10.0;

/// Requests that a target runs concurrently.
const SLOTS: u32 = 4;

/// Time after which a daemon's report of its requests expires, in milliseconds.
const REPORT_TTL_MS: u64 = 2_000;

/// Time at the start of each test.
const START: Millis = Millis(100_000);

fn instance(number: usize) -> Instance {
    Instance {
        target: format!("t{number}").as_str().into(),
        birth: 7,
    }
}

fn candidate(number: usize, cost_ms: f64) -> Candidate {
    Candidate {
        instance: instance(number),
        slots: SLOTS,
        cost_ms,
    }
}

/// Returns targets that cost nothing to reach.
fn equal_candidates(number: usize) -> Vec<Candidate> {
    (0..number).map(|number| candidate(number, 0.0)).collect()
}

fn load(running: u32, waiting: u32, slowness: u32) -> LoadReport {
    LoadReport {
        running,
        waiting,
        slots: SLOTS,
        slowness_percent: slowness,
    }
}

/// Sends a request that ends with `outcome` at `now`.
fn send(
    table: &mut Table,
    number: usize,
    outcome: AttemptOutcome,
    load: Option<LoadReport>,
    now: Millis,
) {
    table.on_start(&instance(number));
    table.on_end(&instance(number), outcome, WORK_MS, load, now);
}

/// Returns how many of 1,000 picks each candidate gets.
fn pick_counts(table: &Table, candidates: &[Candidate], now: Millis) -> Vec<u32> {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..1_000 {
        match table.pick(candidates, WORK_MS, now, || random.random()) {
            Pick::Chosen(index) => counts[index] += 1,
            other => panic!("{other:?}"),
        }
    }
    counts
}

/// Guards against requests that leave their failure domain without need.
#[test]
fn pick_nearest() {
    let candidates = [candidate(0, 150.0), candidate(1, 0.0), candidate(2, 20.0)];
    assert_eq!(
        pick_counts(&Table::new(), &candidates, START),
        [0, 1_000, 0]
    );
}

/// Guards against a slow target that gets as many requests as a fast one.
#[test]
fn pick_fastest() {
    let mut table = Table::new();
    for _ in 0..50 {
        send(
            &mut table,
            0,
            AttemptOutcome::Answered(1.6 * WORK_MS),
            None,
            START,
        );
        send(
            &mut table,
            1,
            AttemptOutcome::Answered(0.7 * WORK_MS),
            None,
            START,
        );
    }
    assert!(table.time_factor(&instance(0)) > table.time_factor(&instance(1)));
    assert_eq!(pick_counts(&table, &equal_candidates(2), START), [0, 1_000]);
}

/// Guards against requests that queue while a target is idle, even a slower one.
#[test]
fn pick_idle() {
    let mut table = Table::new();
    for _ in 0..50 {
        send(
            &mut table,
            1,
            AttemptOutcome::Answered(1.2 * WORK_MS),
            None,
            START,
        );
    }
    for _ in 0..2 * SLOTS {
        table.on_start(&instance(0));
    }
    assert_eq!(pick_counts(&table, &equal_candidates(2), START), [0, 1_000]);
}

/// Guards against one of several equal targets that gets all requests.
#[test]
fn pick_equal() {
    for share in pick_counts(&Table::new(), &equal_candidates(2), START) {
        assert!((400..=600).contains(&share), "{share} of 1,000");
    }
}

/// Guards against requests to a target that can't be reached, and against a backoff
/// that never ends.
#[test]
fn pick_backing_off() {
    let candidates = [candidate(0, 0.0), candidate(1, 500.0)];
    let mut table = Table::new();
    let mut now = START;
    let mut backoffs = Vec::new();
    for _ in 0..6 {
        send(&mut table, 0, AttemptOutcome::Unreachable, None, now);
        let begin = now;
        while table.is_backing_off(&instance(0), now) {
            assert_eq!(pick_counts(&table, &candidates, now), [0, 1_000]);
            now = now + 50;
        }
        backoffs.push(now.since(begin));
        assert_eq!(pick_counts(&table, &candidates, now), [1_000, 0]);
    }
    assert_eq!(backoffs, [300, 600, 1_200, 2_400, 2_400, 2_400]);
    send(&mut table, 0, AttemptOutcome::Answered(WORK_MS), None, now);
    send(&mut table, 0, AttemptOutcome::Unreachable, None, now);
    assert!(
        !table.is_backing_off(&instance(0), now + 300),
        "a response resets the backoff"
    );
}

/// Guards against requests that are refused because all targets are in backoff.
#[test]
fn pick_all_backing_off() {
    let mut table = Table::new();
    send(
        &mut table,
        0,
        AttemptOutcome::Unreachable,
        None,
        START + 100,
    );
    send(&mut table, 1, AttemptOutcome::Unreachable, None, START);
    assert_eq!(
        pick_counts(&table, &equal_candidates(2), START + 200),
        [0, 1_000]
    );
}

/// Guards against a failing target that gets its full share because it fails
/// quickly.
#[test]
fn pick_failing() {
    for outcome in [AttemptOutcome::Failed, AttemptOutcome::Refused] {
        let mut table = Table::new();
        for _ in 0..4 {
            send(&mut table, 0, outcome, None, START);
        }
        let share = pick_counts(&table, &equal_candidates(2), START)[0];
        assert!(share < 250, "{outcome:?}: {share} of 1,000");
        let share = pick_counts(&table, &equal_candidates(2), START + 20_000)[0];
        assert!((400..=600).contains(&share), "later: {share} of 1,000");
    }
}

/// Guards against callers that leave and thereby lower a target's share.
#[test]
fn pick_abandoned() {
    let mut table = Table::new();
    for _ in 0..20 {
        send(&mut table, 0, AttemptOutcome::Abandoned, None, START);
    }
    let share = pick_counts(&table, &equal_candidates(2), START)[0];
    assert!((400..=600).contains(&share), "{share} of 1,000");
    assert_eq!(table.requests(&instance(0), START), 0.0);
}

/// Guards against requests beyond the limit per slot, and against a refusal
/// although only one of the targets is full.
#[test]
fn pick_full() {
    let mut table = Table::new();
    let pick =
        |table: &Table, number| table.pick(&equal_candidates(number), WORK_MS, START, || 0.5);
    assert_eq!(pick(&table, 0), Pick::NoCandidate);
    for _ in 0..10 {
        assert_eq!(pick(&table, 1), Pick::Chosen(0));
        table.on_start(&instance(0));
    }
    assert!(table.is_full(&instance(0), SLOTS, START));
    assert_eq!(pick(&table, 1), Pick::AllFull);
    assert_eq!(pick(&table, 2), Pick::Chosen(1));
    table.on_end(
        &instance(0),
        AttemptOutcome::Answered(WORK_MS),
        WORK_MS,
        None,
        START,
    );
    assert_eq!(pick(&table, 1), Pick::Chosen(0));
}

/// Guards against requests of other daemons that are counted twice, or not replaced
/// by the daemon's next report.
#[test]
fn counts_added() {
    let mut table = Table::new();
    send(
        &mut table,
        0,
        AttemptOutcome::Answered(WORK_MS),
        None,
        START,
    );
    let digest = instance(0).digest();
    let requests = |table: &Table| table.requests(&instance(0), START);
    table.on_counts(1, vec![(digest, 3)], START);
    table.on_counts(2, vec![(digest, 4), (digest ^ 1, 9)], START);
    assert_eq!(requests(&table), 7.0);
    table.on_start(&instance(0));
    assert_eq!(requests(&table), 8.0);
    assert_eq!(table.counts(), [(digest, 1)]);
    table.on_counts(1, vec![(digest, 1)], START);
    assert_eq!(requests(&table), 6.0);
    table.on_counts(2, vec![], START);
    assert_eq!(requests(&table), 2.0);
}

/// Guards against reported requests that never expire after their daemon stopped.
#[test]
fn counts_expired() {
    let mut table = Table::new();
    send(
        &mut table,
        0,
        AttemptOutcome::Answered(WORK_MS),
        None,
        START,
    );
    let digest = instance(0).digest();
    table.on_counts(1, vec![(digest, 3)], START);
    table.on_counts(2, vec![(digest, 4)], START + 500);
    table.expire(START + REPORT_TTL_MS, REPORT_TTL_MS);
    assert_eq!(table.requests(&instance(0), START + REPORT_TTL_MS), 7.0);
    table.expire(START + REPORT_TTL_MS + 1, REPORT_TTL_MS);
    assert_eq!(table.requests(&instance(0), START + REPORT_TTL_MS + 1), 4.0);
    table.expire(START + REPORT_TTL_MS + 501, REPORT_TTL_MS);
    assert_eq!(
        table.requests(&instance(0), START + REPORT_TTL_MS + 501),
        0.0
    );
}

/// Guards against a daemon that overloads targets which it has not used yet, for
/// instance after its start, although other daemons reported their requests there.
#[test]
fn counts_target_unused() {
    let mut table = Table::new();
    table.on_counts(1, vec![(instance(0).digest(), 9)], START);
    let shares = pick_counts(&table, &equal_candidates(2), START);
    let result = match shares[..] {
        [0, 1_000] => Ok(()),
        _ => Err(format!("{shares:?} of 1,000 picks, the first has 9 on 4")),
    };
    known::conclude("counts_target_unused", result);
}

/// Guards against a target that is avoided because of an outdated load report.
#[test]
fn load_old() {
    let mut table = Table::new();
    let busy = Some(load(4, 5, 300));
    send(
        &mut table,
        0,
        AttemptOutcome::Answered(WORK_MS),
        busy,
        START,
    );
    let requests = |after| table.requests(&instance(0), START + after);
    assert_eq!([requests(0), requests(400), requests(800)], [8.0, 4.0, 2.0]);
    assert_eq!(pick_counts(&table, &equal_candidates(2), START), [0, 1_000]);
    let share = pick_counts(&table, &equal_candidates(2), START + 10_000)[0];
    assert!((400..=600).contains(&share), "{share} of 1,000");
}

/// Guards against own requests that are counted again when a target reports them.
#[test]
fn load_own_requests() {
    let mut table = Table::new();
    for _ in 0..3 {
        table.on_start(&instance(0));
    }
    let busy = Some(load(3, 0, 100));
    table.on_end(
        &instance(0),
        AttemptOutcome::Answered(WORK_MS),
        WORK_MS,
        busy,
        START,
    );
    assert_eq!(table.requests(&instance(0), START), 2.0);
}

/// Guards against a first sample that is an outlier and distorts the mean for long.
#[test]
fn work_first_outlier() {
    let mut work = MeanWork::default();
    assert_eq!(work.mean(), None);
    work.observe(1_000.0);
    assert_eq!(work.mean(), Some(1_000.0));
    for _ in 0..100 {
        work.observe(WORK_MS);
    }
    let mean = work.mean().expect("samples");
    assert!((mean / WORK_MS - 1.0).abs() < 0.1, "{mean}");
}

/// Guards against a mean that follows single samples, or ignores a lasting change.
#[test]
fn work_changed() {
    let mut work = MeanWork::default();
    for _ in 0..1_000 {
        work.observe(WORK_MS);
    }
    work.observe(2.0 * WORK_MS);
    let mean = work.mean().expect("samples");
    assert!(mean < 1.1 * WORK_MS, "{mean}");
    for _ in 0..100 {
        work.observe(2.0 * WORK_MS);
    }
    let mean = work.mean().expect("samples");
    assert!(mean > 1.9 * WORK_MS, "{mean}");
}

/// Guards against groups that leave out a daemon or a target, that differ much in size, or that
/// divide a small failure domain.
#[test]
fn group_division() {
    for (daemons, targets, expected) in [
        (1, 8, 1),
        (3, 21, 1),
        (12, 200, 1),
        (21, 58, 2),
        (37, 78, 4),
        (37, 45, 2),
        (140, 400, 17),
        (8, 0, 1),
    ] {
        let groups: Vec<_> = (0..daemons)
            .map(|rank| subset::Group::new(rank, daemons, targets))
            .collect();
        let mut distinct = groups.clone();
        distinct.dedup();
        assert_eq!(
            distinct.len(),
            expected,
            "{daemons} daemons, {targets} targets"
        );
        for (rank, group) in groups.iter().enumerate() {
            assert!(group.contains(rank, daemons));
        }
        for members in [daemons, targets] {
            let sizes = distinct.iter().map(|group| {
                let positions = 0..members;
                positions.filter(|at| group.contains(*at, members)).count()
            });
            let sizes: Vec<_> = sizes.collect();
            assert_eq!(sizes.iter().sum::<usize>(), members);
            let (least, most) = (sizes.iter().min(), sizes.iter().max());
            assert!(most.unwrap() - least.unwrap() <= 1, "{sizes:?}");
        }
    }
}

/// Guards against messages whose number grows with the daemons, against longer intervals in a
/// fleet of 11, and against reports that expire before the next one.
#[test]
fn gossip_intervals() {
    // Daemons of the group, of the rest of the domain, of the rest of the region, and others.
    let small = [2, 0, 3, 5];
    let rounds = |receivers: [usize; 4]| -> [u64; 4] {
        std::array::from_fn(|tier| gossip::rounds(tier, receivers[tier]))
    };
    assert_eq!(rounds(small), [1, 1, 5, 24]);
    assert_eq!(gossip::report_ttl_ms(small), REPORT_TTL_MS);
    for receivers in [small, [9, 10, 21, 42], [8, 28, 111, 147], [8, 85, 187, 280]] {
        let sent = receivers.iter().zip(rounds(receivers));
        let sent = sent.map(|(receivers, rounds)| {
            *receivers as f64 * 1_000.0 / (rounds * gossip::ROUND_MS) as f64
        });
        let sent: f64 = sent.sum();
        assert!(sent <= 310.0, "{sent} messages a second to {receivers:?}");
        let longest = rounds(receivers).into_iter().max().unwrap() * gossip::ROUND_MS;
        assert!(
            gossip::report_ttl_ms(receivers) > 2 * longest,
            "{receivers:?}"
        );
    }
}

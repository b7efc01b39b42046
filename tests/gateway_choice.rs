//! Choice of a target for requests that any target may serve.

#[path = "support/known.rs"]
mod known;
#[path = "gateway_choice/simulation.rs"]
mod simulation;

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::choice::{Candidate, End, Life, Pick, Table, Work};
use pistachiomoor::gateway::dialect::Load;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Seed of picks among equal targets.
const SEED: u64 = 0x6368_6f69;

/// Work of a request, in milliseconds.
const WORK: f64 = 10.0;

/// Slots of a target.
const SLOTS: u32 = 4;

/// Time for which a daemon's message on its requests counts, in milliseconds.
const REPORT_LIFE: u64 = 2_000;

const START: Millis = Millis(100_000);

fn life(number: usize) -> Life {
    Life {
        target: format!("t{number}").as_str().into(),
        birth: 7,
    }
}

fn candidate(number: usize, distance: f64) -> Candidate {
    Candidate {
        life: life(number),
        slots: SLOTS,
        distance,
    }
}

/// Returns equally distant targets.
fn equal(number: usize) -> Vec<Candidate> {
    (0..number).map(|number| candidate(number, 0.0)).collect()
}

fn load(running: u32, waiting: u32, slowness: u32) -> Load {
    Load {
        running,
        waiting,
        slots: SLOTS,
        slowness,
    }
}

/// Sends a request that ends so at `now`.
fn end(table: &mut Table, number: usize, end: End, load: Option<Load>, now: Millis) {
    table.on_start(&life(number));
    table.on_end(&life(number), end, WORK, load, now);
}

/// Returns how many of 1,000 picks fall on each candidate.
fn shares(table: &Table, candidates: &[Candidate], now: Millis) -> Vec<u32> {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut shares = vec![0; candidates.len()];
    for _ in 0..1_000 {
        match table.pick(candidates, WORK, now, || random.random()) {
            Pick::Chosen(index) => shares[index] += 1,
            other => panic!("{other:?}"),
        }
    }
    shares
}

/// Guards against requests that leave their failure domain without need.
#[test]
fn pick_near() {
    let candidates = [candidate(0, 150.0), candidate(1, 0.0), candidate(2, 20.0)];
    assert_eq!(shares(&Table::new(), &candidates, START), [0, 1_000, 0]);
}

/// Guards against a slow target that gets as much as a fast one.
#[test]
fn pick_fast() {
    let mut table = Table::new();
    for _ in 0..50 {
        end(&mut table, 0, End::Answered(1.6 * WORK), None, START);
        end(&mut table, 1, End::Answered(0.7 * WORK), None, START);
    }
    assert!(table.speed(&life(0)) > table.speed(&life(1)));
    assert_eq!(shares(&table, &equal(2), START), [0, 1_000]);
}

/// Guards against requests that wait while a target is free, even a slower one.
#[test]
fn pick_free() {
    let mut table = Table::new();
    for _ in 0..50 {
        end(&mut table, 1, End::Answered(1.2 * WORK), None, START);
    }
    for _ in 0..2 * SLOTS {
        table.on_start(&life(0));
    }
    assert_eq!(shares(&table, &equal(2), START), [0, 1_000]);
}

/// Guards against equal targets of which one gets all requests.
#[test]
fn pick_equal() {
    for share in shares(&Table::new(), &equal(2), START) {
        assert!((400..=600).contains(&share), "{share} of 1,000");
    }
}

/// Guards against requests to a target that can't be reached, and against one
/// that is left alone for good.
#[test]
fn pick_paused() {
    let candidates = [candidate(0, 0.0), candidate(1, 500.0)];
    let mut table = Table::new();
    let mut now = START;
    let mut pauses = Vec::new();
    for _ in 0..6 {
        end(&mut table, 0, End::Unreachable, None, now);
        let begin = now;
        while table.is_paused(&life(0), now) {
            assert_eq!(shares(&table, &candidates, now), [0, 1_000]);
            now = now + 50;
        }
        pauses.push(now.since(begin));
        assert_eq!(shares(&table, &candidates, now), [1_000, 0]);
    }
    assert_eq!(pauses, [300, 600, 1_200, 2_400, 2_400, 2_400]);
    end(&mut table, 0, End::Answered(WORK), None, now);
    end(&mut table, 0, End::Unreachable, None, now);
    assert!(!table.is_paused(&life(0), now + 300), "an answer was seen");
}

/// Guards against requests that are refused because all targets are paused.
#[test]
fn pick_all_paused() {
    let mut table = Table::new();
    end(&mut table, 0, End::Unreachable, None, START + 100);
    end(&mut table, 1, End::Unreachable, None, START);
    assert_eq!(shares(&table, &equal(2), START + 200), [0, 1_000]);
}

/// Guards against a failing target that gets its full share because it fails fast.
#[test]
fn pick_failing() {
    for ending in [End::Failed, End::Refused] {
        let mut table = Table::new();
        for _ in 0..4 {
            end(&mut table, 0, ending, None, START);
        }
        let share = shares(&table, &equal(2), START)[0];
        assert!(share < 250, "{ending:?}: {share} of 1,000");
        let share = shares(&table, &equal(2), START + 20_000)[0];
        assert!((400..=600).contains(&share), "later: {share} of 1,000");
    }
}

/// Guards against callers that leave and lower a target's share.
#[test]
fn pick_abandoned() {
    let mut table = Table::new();
    for _ in 0..20 {
        end(&mut table, 0, End::Abandoned, None, START);
    }
    let share = shares(&table, &equal(2), START)[0];
    assert!((400..=600).contains(&share), "{share} of 1,000");
    assert_eq!(table.requests(&life(0), START), 0.0);
}

/// Guards against requests beyond what targets can take, and against a full
/// target that hides one that is not.
#[test]
fn pick_full() {
    let mut table = Table::new();
    let pick = |table: &Table, number| table.pick(&equal(number), WORK, START, || 0.5);
    assert_eq!(pick(&table, 0), Pick::None);
    for _ in 0..10 {
        assert_eq!(pick(&table, 1), Pick::Chosen(0));
        table.on_start(&life(0));
    }
    assert!(table.is_full(&life(0), SLOTS, START));
    assert_eq!(pick(&table, 1), Pick::Full);
    assert_eq!(pick(&table, 2), Pick::Chosen(1));
    table.on_end(&life(0), End::Answered(WORK), WORK, None, START);
    assert_eq!(pick(&table, 1), Pick::Chosen(0));
}

/// Guards against requests of other daemons that are counted twice, or never
/// replaced by their next message.
#[test]
fn counts_added() {
    let mut table = Table::new();
    end(&mut table, 0, End::Answered(WORK), None, START);
    let digest = life(0).digest();
    let counted = |table: &Table| table.requests(&life(0), START);
    table.on_counts(1, vec![(digest, 3)], START);
    table.on_counts(2, vec![(digest, 4), (digest ^ 1, 9)], START);
    assert_eq!(counted(&table), 7.0);
    table.on_start(&life(0));
    assert_eq!(counted(&table), 8.0);
    assert_eq!(table.counts(), [(digest, 1)]);
    table.on_counts(1, vec![(digest, 1)], START);
    assert_eq!(counted(&table), 6.0);
    table.on_counts(2, vec![], START);
    assert_eq!(counted(&table), 2.0);
}

/// Guards against requests of a daemon that is gone and count for good.
#[test]
fn counts_forgotten() {
    let mut table = Table::new();
    end(&mut table, 0, End::Answered(WORK), None, START);
    let digest = life(0).digest();
    table.on_counts(1, vec![(digest, 3)], START);
    table.on_counts(2, vec![(digest, 4)], START + 500);
    table.expire(START + REPORT_LIFE);
    assert_eq!(table.requests(&life(0), START + REPORT_LIFE), 7.0);
    table.expire(START + REPORT_LIFE + 1);
    assert_eq!(table.requests(&life(0), START + REPORT_LIFE + 1), 4.0);
    table.expire(START + REPORT_LIFE + 501);
    assert_eq!(table.requests(&life(0), START + REPORT_LIFE + 501), 0.0);
}

/// Guards against a daemon that fills targets it has not used yet, as after its
/// start, although others have told it of their requests there.
#[test]
fn counts_target_unused() {
    let mut table = Table::new();
    table.on_counts(1, vec![(life(0).digest(), 9)], START);
    let shares = shares(&table, &equal(2), START);
    let result = match shares[..] {
        [0, 1_000] => Ok(()),
        _ => Err(format!("{shares:?} of 1,000 picks, the first has 9 on 4")),
    };
    known::conclude("counts_target_unused", result);
}

/// Guards against a target that is avoided for a load it had long ago.
#[test]
fn load_old() {
    let mut table = Table::new();
    let busy = Some(load(4, 5, 300));
    end(&mut table, 0, End::Answered(WORK), busy, START);
    let requests = |after| table.requests(&life(0), START + after);
    assert_eq!([requests(0), requests(400), requests(800)], [8.0, 4.0, 2.0]);
    assert_eq!(shares(&table, &equal(2), START), [0, 1_000]);
    let share = shares(&table, &equal(2), START + 10_000)[0];
    assert!((400..=600).contains(&share), "{share} of 1,000");
}

/// Guards against own requests that count a second time when a target reports them.
#[test]
fn load_own_requests() {
    let mut table = Table::new();
    for _ in 0..3 {
        table.on_start(&life(0));
    }
    let busy = Some(load(3, 0, 100));
    table.on_end(&life(0), End::Answered(WORK), WORK, busy, START);
    assert_eq!(table.requests(&life(0), START), 2.0);
}

/// Guards against a first observation that is wrong and shifts estimates for long.
#[test]
fn work_first_wrong() {
    let mut work = Work::default();
    assert_eq!(work.mean(), None);
    work.learn(1_000.0);
    assert_eq!(work.mean(), Some(1_000.0));
    for _ in 0..100 {
        work.learn(WORK);
    }
    let mean = work.mean().expect("observations");
    assert!((mean / WORK - 1.0).abs() < 0.1, "{mean}");
}

/// Guards against work that follows single observations, or not a lasting change.
#[test]
fn work_changed() {
    let mut work = Work::default();
    for _ in 0..1_000 {
        work.learn(WORK);
    }
    work.learn(2.0 * WORK);
    let mean = work.mean().expect("observations");
    assert!(mean < 1.1 * WORK, "{mean}");
    for _ in 0..100 {
        work.learn(2.0 * WORK);
    }
    let mean = work.mean().expect("observations");
    assert!(mean > 1.9 * WORK, "{mean}");
}

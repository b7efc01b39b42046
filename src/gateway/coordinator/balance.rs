//! Moves that balance the load of one service's targets.

use super::plan;
use crate::gateway::adapter;
use crate::gateway::keys;

/// Largest number of moves of one batch.
const MAX_MOVES: usize = 4;
/// Load relative to the fair share above which balancing starts if no keys have moved
/// lately. Higher than `STOP_RATIO`, so that noise of a steady load causes no moves.
const START_RATIO: f64 = 1.2;
/// Load relative to the fair share down to which balancing continues.
const STOP_RATIO: f64 = 1.1;
/// Fraction of a target's capacity up to which no load is moved away from it: requests
/// hardly wait there, and moves have a cost.
const MIN_UTILIZATION: f64 = 0.4;
/// Work that a target can do per unit of weight.
const CAPACITY_MS_PER_S: f64 = 1_000.0;
/// Smallest fraction of a fair share by which a move must lower the higher load of its
/// donor and receiver.
const MIN_GAIN: f64 = 0.08;
/// Factor by which a moved range may exceed the required amount of work.
const SIZE_TOLERANCE: f64 = 1.1;
/// Largest number of runs per target on average.
const MAX_MEAN_RUNS: usize = 5;
/// Number of keys whose transfer halves the score of a move.
const HALF_SCORE_KEYS: f64 = 2_048.0;
/// Cost of each run that a move adds, relative to that of `HALF_SCORE_KEYS` keys.
const SPLIT_COST: f64 = 0.3;
/// Cost of each fair share by which a move overloads its receiver, which then has to
/// give up other work, relative to that of `HALF_SCORE_KEYS` keys.
const EXCESS_COST: f64 = 4.0;
/// Number of targets furthest below their fair shares that are compared as receivers.
const MAX_RECEIVERS: usize = 4;

/// A move that lowers the load of its donor.
struct Candidate {
    segment: usize,
    range: adapter::KeyRange,
    receiver: usize,
    score: f64,
}

/// Returns moves of load from the busiest targets to targets below their fair shares.
/// `settled` says that no keys have moved lately.
pub fn balance(
    segments: &[plan::Segment],
    targets: &[plan::Target],
    work: &plan::Work,
    settled: bool,
) -> Vec<plan::Move> {
    let mut shares = plan::Shares::new(segments, targets, work);
    let ratios = (0..targets.len()).map(|target| shares.ratio(target));
    let threshold = if settled { START_RATIO } else { STOP_RATIO };
    let busy = (0..targets.len()).any(|target| is_busy(targets, &shares, target));
    if !work.is_measured() || !busy || ratios.fold(0.0, f64::max) <= threshold {
        return Vec::new();
    }
    let mut segments = segments.to_vec();
    let mut moves = Vec::new();
    while moves.len() < MAX_MOVES {
        let Some(best) = best(&segments, targets, &shares, work) else {
            break;
        };
        let moved = work.of(best.range);
        if let Some(donor) = owner_of(&segments[best.segment], targets) {
            shares.load[donor] -= moved;
        }
        shares.load[best.receiver] += moved;
        let owner = targets[best.receiver].owner.clone();
        apply(&mut segments, &best, &owner);
        moves.push(plan::Move {
            range: best.range,
            owner,
        });
    }
    moves
}

/// Returns whether a target's utilization is high enough to move load away from it.
fn is_busy(targets: &[plan::Target], shares: &plan::Shares, target: usize) -> bool {
    shares.load[target] > MIN_UTILIZATION * CAPACITY_MS_PER_S * targets[target].weight
}

/// Returns the index of the target that owns a segment.
fn owner_of(segment: &plan::Segment, targets: &[plan::Target]) -> Option<usize> {
    let own = |target: &plan::Target| Some(&target.owner) == segment.owner.as_ref();
    targets.iter().position(own)
}

/// Returns the move with the highest score away from the busiest target that has one.
fn best(
    segments: &[plan::Segment],
    targets: &[plan::Target],
    shares: &plan::Shares,
    work: &plan::Work,
) -> Option<Candidate> {
    let mut donors: Vec<usize> = (0..targets.len()).collect();
    donors.retain(|&target| shares.ratio(target) > STOP_RATIO && is_busy(targets, shares, target));
    donors.sort_by(|&a, &b| shares.ratio(b).total_cmp(&shares.ratio(a)));
    let mut receivers: Vec<usize> = (0..targets.len()).collect();
    receivers.sort_by(|&a, &b| shares.surplus(a).total_cmp(&shares.surplus(b)));
    donors.into_iter().find_map(|donor| {
        let own = |segment: &plan::Segment| {
            segment.mobility == plan::Mobility::Allowed
                && segment.owner.as_ref() == Some(&targets[donor].owner)
        };
        let free = (0..segments.len()).filter(|&i| own(&segments[i]));
        let found = free.flat_map(|segment| {
            let spare = receivers.iter().take(MAX_RECEIVERS).copied();
            let adjacent = adjacent_segments(segments, segment)
                .filter_map(|i| owner_of(&segments[i], targets));
            let receivers: Vec<usize> = spare
                .chain(adjacent)
                .filter(|&receiver| receiver != donor)
                .collect();
            receivers.into_iter().flat_map(move |receiver| {
                candidates(segments, segment, (donor, receiver), shares, work)
            })
        });
        found.max_by(|a, b| a.score.total_cmp(&b.score))
    })
}

/// Iterates over the indices of the segments before and after a segment.
fn adjacent_segments(
    segments: &[plan::Segment],
    segment: usize,
) -> impl Iterator<Item = usize> + use<> {
    let before = segment.checked_sub(1);
    let after = (segment + 1 < segments.len()).then_some(segment + 1);
    before.into_iter().chain(after)
}

/// Returns the moves of parts of a segment from a donor to a receiver that lower the
/// higher load of the two by at least `MIN_GAIN`.
fn candidates(
    segments: &[plan::Segment],
    segment: usize,
    (donor, receiver): (usize, usize),
    shares: &plan::Shares,
    work: &plan::Work,
) -> Vec<Candidate> {
    let range = segments[segment].range;
    let amount = shares.surplus(donor).min(-shares.surplus(receiver));
    let current = shares.ratio(donor);
    let spare_runs = (MAX_MEAN_RUNS * shares.load.len()).saturating_sub(segments.len());
    let scored = parts(range, amount, work).into_iter().filter_map(|part| {
        let moved = work.of(part);
        let donor_ratio = (shares.load[donor] - moved) / shares.fair[donor];
        let receiver_ratio = (shares.load[receiver] + moved) / shares.fair[receiver];
        let gain = current - donor_ratio.max(receiver_ratio);
        let splits = usize::from(part.first > range.first) + usize::from(part.last < range.last);
        let keys = f64::from(part.len()) / HALF_SCORE_KEYS;
        let excess = EXCESS_COST * (receiver_ratio - STOP_RATIO).max(0.0);
        let score = gain / (1.0 + keys + SPLIT_COST * splits as f64 + excess);
        (gain >= MIN_GAIN && splits <= spare_runs).then_some(Candidate {
            segment,
            range: part,
            receiver,
            score,
        })
    });
    scored.collect()
}

/// Returns parts of `range` with about `amount` of its work, its hottest bucket, and
/// the keys on either side of that, since a bucket can't be divided.
fn parts(range: adapter::KeyRange, amount: f64, work: &plan::Work) -> Vec<adapter::KeyRange> {
    let hottest = work.hottest(range);
    let mut parts = vec![hottest];
    let before = hottest
        .first
        .checked_sub(1)
        .map(|last| plan::span(range.first, last));
    let after = hottest
        .last
        .checked_add(1)
        .map(|first| plan::span(first, range.last));
    let sides = [before, after, Some(range)].into_iter().flatten();
    let fits = |part: &adapter::KeyRange| {
        part.first <= part.last && work.of(*part) <= amount * SIZE_TOLERANCE
    };
    parts.extend(sides.filter(fits));
    if amount > 0.0 && work.of(range) > amount {
        let head = work.cut(range, amount);
        parts.extend(head.map(|key| plan::span(range.first, key - 1)));
        let tail = work.cut(range, work.of(range) - amount);
        parts.extend(tail.map(|key| plan::span(key, range.last)));
        parts.push(work.grow(hottest, range, amount));
    }
    parts
}

/// Splits a segment for a move; the moved part must not move again in this batch.
fn apply(segments: &mut Vec<plan::Segment>, best: &Candidate, owner: &keys::Owner) {
    let old = segments.remove(best.segment);
    let remainder = |range| plan::Segment {
        range,
        ..old.clone()
    };
    let mut parts = Vec::new();
    if old.range.first < best.range.first {
        parts.push(remainder(plan::span(old.range.first, best.range.first - 1)));
    }
    parts.push(plan::Segment {
        range: best.range,
        owner: Some(owner.clone()),
        mobility: plan::Mobility::Forbidden,
    });
    if best.range.last < old.range.last {
        parts.push(remainder(plan::span(best.range.last + 1, old.range.last)));
    }
    segments.splice(best.segment..best.segment, parts);
}

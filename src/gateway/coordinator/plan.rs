//! Assignment of one service's keys to targets.

use crate::gateway::adapter;
use crate::gateway::keys;

/// Number of keys of a bucket.
const BUCKET_KEYS: u32 = keys::BUCKET_KEYS as u32;
/// Number of all keys.
const KEYS: usize = 65_536;
/// Number of buckets.
const BUCKETS: usize = KEYS / BUCKET_KEYS as usize;
/// Fraction of all work that is added and spread evenly over the buckets, so that keys
/// without load figures still count.
const EVEN_FRACTION: f64 = 0.05;
/// Smallest total of this work, so that the work of all keys is never zero.
const MIN_EVEN_WORK_MS_PER_S: f64 = 1.0;
/// Smallest fraction of a fair share that is split off as a run of its own, to keep the
/// number of runs low.
const MIN_SPLIT_SHARE: f64 = 0.25;
/// Work of a run relative to the required amount above which the run is split.
const SIZE_TOLERANCE: f64 = 1.1;
/// Smallest fraction of its fair share that an empty target must lack to get a run.
const MIN_RELIEF_SHARE: f64 = 0.1;

/// Lower bound of a target's weight, so that no fair share is zero.
const MIN_WEIGHT: f64 = 0.01;

/// A target that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name and incarnation of the target.
    pub owner: keys::Owner,
    /// Capacity relative to other targets.
    pub weight: f64,
}

/// Whether a run may move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mobility {
    /// The run has to move.
    Required,
    /// The run may move to balance load.
    Allowed,
    /// The run must not move now.
    Forbidden,
}

/// Keys of one owner that are assigned together: a run, or a part of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Range of the keys.
    pub range: adapter::KeyRange,
    /// Owner, if there is one.
    pub owner: Option<keys::Owner>,
    /// Whether the keys may move.
    pub mobility: Mobility,
}

/// An assignment of keys to a new owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Range of the keys.
    pub range: adapter::KeyRange,
    /// New owner.
    pub owner: keys::Owner,
}

/// Distribution of work over the buckets, in milliseconds of processing per second.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// Prefix sums: the work of all buckets before each one, and the total at the end.
    sums: Vec<f64>,
    measured: bool,
}

impl Work {
    /// Sums up load figures of buckets; without figures, all keys have the same work.
    pub fn new(figures: impl IntoIterator<Item = (u16, f32)>) -> Self {
        let mut buckets = vec![0.0; BUCKETS];
        for (bucket, work) in figures {
            if let Some(sum) = buckets.get_mut(usize::from(bucket)) {
                *sum += f64::from(work).max(0.0);
            }
        }
        let total: f64 = buckets.iter().sum();
        let even = (total * EVEN_FRACTION).max(MIN_EVEN_WORK_MS_PER_S) / BUCKETS as f64;
        let sums = buckets.iter().scan(0.0, |sum, work| {
            *sum += work + even;
            Some(*sum)
        });
        Self {
            sums: std::iter::once(0.0).chain(sums).collect(),
            measured: total > 0.0,
        }
    }

    /// Returns whether any load was reported.
    pub fn is_measured(&self) -> bool {
        self.measured
    }

    /// Returns the work of a range.
    pub fn of(&self, range: adapter::KeyRange) -> f64 {
        self.before(u32::from(range.last) + 1) - self.before(range.first.into())
    }

    /// Returns the work of all keys before `key`.
    fn before(&self, key: u32) -> f64 {
        let (bucket, rest) = ((key / BUCKET_KEYS) as usize, key % BUCKET_KEYS);
        let sum = self.sums[bucket];
        let part = f64::from(rest) / f64::from(BUCKET_KEYS);
        sum + self
            .sums
            .get(bucket + 1)
            .map_or(0.0, |next| (next - sum) * part)
    }

    /// Returns the first key of a bucket inside `range` at which the work
    /// before it is nearest to `amount`.
    pub fn cut(&self, range: adapter::KeyRange, amount: f64) -> Option<u16> {
        let first = u32::from(range.first) / BUCKET_KEYS + 1;
        let starts =
            (first..=u32::from(range.last) / BUCKET_KEYS).map(|bucket| bucket * BUCKET_KEYS);
        let start = self.before(range.first.into());
        let error = |key: u32| (self.before(key) - start - amount).abs();
        let best = starts.min_by(|&a, &b| error(a).total_cmp(&error(b)));
        best.map(|key| key as u16)
    }

    /// Returns the part of the bucket that holds `key` inside `range`.
    fn bucket(key: u16, range: adapter::KeyRange) -> adapter::KeyRange {
        let first = key / keys::BUCKET_KEYS * keys::BUCKET_KEYS;
        let last = first + (keys::BUCKET_KEYS - 1);
        span(first.max(range.first), last.min(range.last))
    }

    /// Returns the bucket of `range` with the most work.
    pub fn hottest(&self, range: adapter::KeyRange) -> adapter::KeyRange {
        let buckets = range.first / keys::BUCKET_KEYS..=range.last / keys::BUCKET_KEYS;
        let parts = buckets.map(|i| Self::bucket(i * keys::BUCKET_KEYS, range));
        let hottest = parts.max_by(|a, b| self.of(*a).total_cmp(&self.of(*b)));
        hottest.unwrap_or(range)
    }

    /// Extends `part` inside `range` by its busier neighbouring bucket, as long as its
    /// work stays within `amount`.
    pub fn grow(
        &self,
        part: adapter::KeyRange,
        range: adapter::KeyRange,
        amount: f64,
    ) -> adapter::KeyRange {
        let mut part = part;
        loop {
            let before = (part.first > range.first).then(|| Self::bucket(part.first - 1, range));
            let after = (part.last < range.last).then(|| Self::bucket(part.last + 1, range));
            let sides = before.into_iter().chain(after);
            let side = sides.max_by(|a, b| self.of(*a).total_cmp(&self.of(*b)));
            match side {
                Some(side) if self.of(part) + self.of(side) <= amount => {
                    part = span(part.first.min(side.first), part.last.max(side.last));
                }
                _ => return part,
            }
        }
    }
}

/// Returns the range from `first` to `last`.
pub fn span(first: u16, last: u16) -> adapter::KeyRange {
    adapter::KeyRange { first, last }
}

/// Loads and fair shares of the targets.
pub struct Shares {
    /// Work of each target's keys, in milliseconds of processing per second.
    pub load: Vec<f64>,
    /// Work that each target should have by its weight, in the same unit.
    pub fair: Vec<f64>,
}

impl Shares {
    /// Sums up the work of the segments that stay with their owners.
    pub fn new(segments: &[Segment], targets: &[Target], work: &Work) -> Self {
        let total = work.of(adapter::KeyRange::ALL);
        let weights: f64 = targets
            .iter()
            .map(|target| target.weight.max(MIN_WEIGHT))
            .sum();
        let fair = |target: &Target| total * target.weight.max(MIN_WEIGHT) / weights;
        let load = |target: &Target| {
            let own = |segment: &&Segment| {
                segment.mobility != Mobility::Required
                    && segment.owner.as_ref() == Some(&target.owner)
            };
            let segments = segments.iter().filter(own);
            segments.map(|segment| work.of(segment.range)).sum()
        };
        Self {
            load: targets.iter().map(load).collect(),
            fair: targets.iter().map(fair).collect(),
        }
    }

    /// Returns a target's load above its fair share; negative if it is below.
    pub fn surplus(&self, target: usize) -> f64 {
        self.load[target] - self.fair[target]
    }

    /// Returns a target's load relative to its fair share.
    pub fn ratio(&self, target: usize) -> f64 {
        self.load[target] / self.fair[target]
    }

    /// Returns the target whose load is furthest below its fair share.
    fn least_loaded(&self) -> Option<usize> {
        (0..self.load.len()).min_by(|&a, &b| self.surplus(a).total_cmp(&self.surplus(b)))
    }
}

/// Divides the segments that have to move among the targets furthest below their fair
/// shares.
pub fn place(segments: &[Segment], targets: &[Target], work: &Work) -> Vec<Move> {
    let mut shares = Shares::new(segments, targets, work);
    let mut moves = Vec::new();
    for segment in segments
        .iter()
        .filter(|segment| segment.mobility == Mobility::Required)
    {
        let mut rest = Some(segment.range);
        while let (Some(range), Some(target)) = (rest, shares.least_loaded()) {
            let amount = (-shares.surplus(target)).max(shares.fair[target] * MIN_SPLIT_SHARE);
            let cut = (work.of(range) > amount * SIZE_TOLERANCE).then(|| work.cut(range, amount));
            let (part, after) = match cut.flatten() {
                Some(key) => (span(range.first, key - 1), Some(span(key, range.last))),
                None => (range, None),
            };
            shares.load[target] += work.of(part);
            let owner = targets[target].owner.clone();
            moves.push(Move { range: part, owner });
            rest = after;
        }
    }
    moves
}

/// Moves keys to targets that have none, up to their fair share, in at most two runs
/// each.
pub fn fill(segments: &[Segment], targets: &[Target], work: &Work) -> Vec<Move> {
    let mut shares = Shares::new(segments, targets, work);
    let mut free: Vec<Segment> = segments.to_vec();
    let mut moves = Vec::new();
    let empty: Vec<usize> = (0..targets.len())
        .filter(|&i| shares.load[i] == 0.0)
        .collect();
    for target in empty {
        for parts in [2.0, 1.0] {
            let deficit = -shares.surplus(target);
            if deficit < shares.fair[target] * MIN_RELIEF_SHARE {
                break;
            }
            let Some((segment, donor)) = donor(&free, targets, &shares, work) else {
                break;
            };
            let even = (deficit / parts).min(shares.load[donor] / 2.0);
            let amount = deficit.min(shares.surplus(donor).max(even));
            let Some(range) = tail(free[segment].range, amount, work) else {
                break;
            };
            remove_tail(&mut free, segment, range);
            shares.load[donor] -= work.of(range);
            shares.load[target] += work.of(range);
            let owner = targets[target].owner.clone();
            moves.push(Move { range, owner });
        }
    }
    moves
}

/// Returns the largest movable segment of the target furthest above its fair share that
/// has one, with that target.
fn donor(
    segments: &[Segment],
    targets: &[Target],
    shares: &Shares,
    work: &Work,
) -> Option<(usize, usize)> {
    let free = segments.iter().enumerate().filter_map(|(i, segment)| {
        let target = targets.iter().position(|target| {
            segment.mobility == Mobility::Allowed && Some(&target.owner) == segment.owner.as_ref()
        });
        target.map(|target| (i, target))
    });
    free.max_by(|&(a, x), &(b, y)| {
        let surplus = shares.surplus(x).total_cmp(&shares.surplus(y));
        surplus.then_with(|| {
            work.of(segments[a].range)
                .total_cmp(&work.of(segments[b].range))
        })
    })
}

/// Returns the end of `range` with about `amount` of its work.
fn tail(range: adapter::KeyRange, amount: f64, work: &Work) -> Option<adapter::KeyRange> {
    let all = work.of(range);
    if all <= amount * SIZE_TOLERANCE {
        return Some(range);
    }
    let key = work.cut(range, all - amount)?;
    Some(span(key, range.last))
}

/// Removes `range` from the end of a segment.
fn remove_tail(segments: &mut Vec<Segment>, segment: usize, range: adapter::KeyRange) {
    if segments[segment].range.first == range.first {
        segments.remove(segment);
    } else {
        segments[segment].range.last = range.first - 1;
    }
}

//! Plans who gets which keys of one service.

use crate::gateway::dialect;
use crate::gateway::keys;

const BUCKET: u32 = keys::BUCKET as u32;
const BUCKETS: usize = 65_536 / BUCKET as usize;
/// Part of all work that is spread evenly over the buckets, so that keys
/// without figures still count.
const EVEN: f64 = 0.05;
/// Part of a fair share below which no run is split off, to keep runs few.
const LEAST: f64 = 0.25;
/// Part by which a run may be too large before it is split.
const SLACK: f64 = 1.1;
/// Least part of a new target's fair share that a move must add.
const RELIEF: f64 = 0.1;

/// A target that may receive keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Seat {
    /// The target.
    pub owner: keys::Owner,
    /// Relative capacity.
    pub weight: f64,
}

/// Whether a run may move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bond {
    /// It has to move.
    Loose,
    /// It may move.
    Free,
    /// It must not move now.
    Fixed,
}

/// A run as the plan sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Keys.
    pub range: dialect::Range,
    /// Owner, if there is one.
    pub owner: Option<keys::Owner>,
    /// Whether it may move.
    pub bond: Bond,
}

/// Keys that get a new owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Keys.
    pub range: dialect::Range,
    /// New owner.
    pub owner: keys::Owner,
}

/// Work of the buckets, in milliseconds of processing per second.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// Work of all buckets before each one, and of all.
    sums: Vec<f64>,
    measured: bool,
}

impl Work {
    /// Sums up figures of buckets; keys count evenly if there are none.
    pub fn new(figures: impl IntoIterator<Item = (u16, f32)>) -> Self {
        let mut buckets = vec![0.0; BUCKETS];
        for (bucket, work) in figures {
            if let Some(sum) = buckets.get_mut(usize::from(bucket)) {
                *sum += f64::from(work).max(0.0);
            }
        }
        let total: f64 = buckets.iter().sum();
        let even = (total * EVEN).max(1.0) / BUCKETS as f64;
        let sums = buckets.iter().scan(0.0, |sum, work| {
            *sum += work + even;
            Some(*sum)
        });
        Self {
            sums: std::iter::once(0.0).chain(sums).collect(),
            measured: total > 0.0,
        }
    }

    /// Returns whether there are figures.
    pub fn is_measured(&self) -> bool {
        self.measured
    }

    /// Returns the work of a range.
    pub fn of(&self, range: dialect::Range) -> f64 {
        self.before(u32::from(range.last) + 1) - self.before(range.first.into())
    }

    /// Returns the work of all keys before `key`.
    fn before(&self, key: u32) -> f64 {
        let (bucket, rest) = ((key / BUCKET) as usize, key % BUCKET);
        let sum = self.sums[bucket];
        let part = f64::from(rest) / f64::from(BUCKET);
        sum + self
            .sums
            .get(bucket + 1)
            .map_or(0.0, |next| (next - sum) * part)
    }

    /// Returns the first key of a bucket inside `range` at which the work
    /// before it is nearest to `amount`.
    pub fn cut(&self, range: dialect::Range, amount: f64) -> Option<u16> {
        let first = u32::from(range.first) / BUCKET + 1;
        let starts = (first..=u32::from(range.last) / BUCKET).map(|bucket| bucket * BUCKET);
        let start = self.before(range.first.into());
        let error = |key: u32| (self.before(key) - start - amount).abs();
        let best = starts.min_by(|&a, &b| error(a).total_cmp(&error(b)));
        best.map(|key| key as u16)
    }

    /// Returns the part of the bucket that holds `key` inside `range`.
    fn bucket(key: u16, range: dialect::Range) -> dialect::Range {
        let first = key / keys::BUCKET * keys::BUCKET;
        let last = first + (keys::BUCKET - 1);
        span(first.max(range.first), last.min(range.last))
    }

    /// Returns the bucket of `range` with the most work.
    pub fn hottest(&self, range: dialect::Range) -> dialect::Range {
        let buckets = range.first / keys::BUCKET..=range.last / keys::BUCKET;
        let parts = buckets.map(|i| Self::bucket(i * keys::BUCKET, range));
        let hottest = parts.max_by(|a, b| self.of(*a).total_cmp(&self.of(*b)));
        hottest.unwrap_or(range)
    }

    /// Adds the busier neighbour to `part`, inside `range`, while its work
    /// stays within `amount`.
    pub fn grow(&self, part: dialect::Range, range: dialect::Range, amount: f64) -> dialect::Range {
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
pub fn span(first: u16, last: u16) -> dialect::Range {
    dialect::Range { first, last }
}

/// Loads and fair shares of the seats.
pub struct Scale {
    /// Work of each seat's keys.
    pub load: Vec<f64>,
    /// Work that each seat should have by its weight.
    pub fair: Vec<f64>,
}

impl Scale {
    /// Weighs the pieces that have an owner.
    pub fn new(pieces: &[Piece], seats: &[Seat], work: &Work) -> Self {
        let total = work.of(dialect::Range::ALL);
        let weights: f64 = seats.iter().map(|seat| seat.weight.max(0.01)).sum();
        let fair = |seat: &Seat| total * seat.weight.max(0.01) / weights;
        let load = |seat: &Seat| {
            let own = |piece: &&Piece| {
                piece.bond != Bond::Loose && piece.owner.as_ref() == Some(&seat.owner)
            };
            let pieces = pieces.iter().filter(own);
            pieces.map(|piece| work.of(piece.range)).sum()
        };
        Self {
            load: seats.iter().map(load).collect(),
            fair: seats.iter().map(fair).collect(),
        }
    }

    /// Returns how far a seat is above its fair share.
    pub fn surplus(&self, seat: usize) -> f64 {
        self.load[seat] - self.fair[seat]
    }

    /// Returns a seat's load relative to its fair share.
    pub fn ratio(&self, seat: usize) -> f64 {
        self.load[seat] / self.fair[seat]
    }

    fn least(&self) -> Option<usize> {
        (0..self.load.len()).min_by(|&a, &b| self.surplus(a).total_cmp(&self.surplus(b)))
    }
}

/// Divides the loose pieces among the seats with the most spare weight.
pub fn place(pieces: &[Piece], seats: &[Seat], work: &Work) -> Vec<Move> {
    let mut scale = Scale::new(pieces, seats, work);
    let mut moves = Vec::new();
    for piece in pieces.iter().filter(|piece| piece.bond == Bond::Loose) {
        let mut rest = Some(piece.range);
        while let (Some(range), Some(seat)) = (rest, scale.least()) {
            let amount = (-scale.surplus(seat)).max(scale.fair[seat] * LEAST);
            let cut = (work.of(range) > amount * SLACK).then(|| work.cut(range, amount));
            let (part, after) = match cut.flatten() {
                Some(key) => (span(range.first, key - 1), Some(span(key, range.last))),
                None => (range, None),
            };
            scale.load[seat] += work.of(part);
            let owner = seats[seat].owner.clone();
            moves.push(Move { range: part, owner });
            rest = after;
        }
    }
    moves
}

/// Gives seats without keys their fair share, in at most two runs each.
pub fn join(pieces: &[Piece], seats: &[Seat], work: &Work) -> Vec<Move> {
    let mut scale = Scale::new(pieces, seats, work);
    let mut free: Vec<Piece> = pieces.to_vec();
    let mut moves = Vec::new();
    let empty: Vec<usize> = (0..seats.len()).filter(|&i| scale.load[i] == 0.0).collect();
    for seat in empty {
        for parts in [2.0, 1.0] {
            let want = -scale.surplus(seat);
            if want < scale.fair[seat] * RELIEF {
                break;
            }
            let Some((piece, donor)) = donor(&free, seats, &scale, work) else {
                break;
            };
            let even = (want / parts).min(scale.load[donor] / 2.0);
            let amount = want.min(scale.surplus(donor).max(even));
            let Some(range) = tail(free[piece].range, amount, work) else {
                break;
            };
            take(&mut free, piece, range);
            scale.load[donor] -= work.of(range);
            scale.load[seat] += work.of(range);
            let owner = seats[seat].owner.clone();
            moves.push(Move { range, owner });
        }
    }
    moves
}

/// Returns the largest free piece of the busiest seat that has one.
fn donor(pieces: &[Piece], seats: &[Seat], scale: &Scale, work: &Work) -> Option<(usize, usize)> {
    let free = pieces.iter().enumerate().filter_map(|(i, piece)| {
        let seat = seats
            .iter()
            .position(|seat| piece.bond == Bond::Free && Some(&seat.owner) == piece.owner.as_ref());
        seat.map(|seat| (i, seat))
    });
    free.max_by(|&(a, x), &(b, y)| {
        let surplus = scale.surplus(x).total_cmp(&scale.surplus(y));
        surplus.then_with(|| {
            work.of(pieces[a].range)
                .total_cmp(&work.of(pieces[b].range))
        })
    })
}

/// Returns the end of `range` with about `amount` of its work.
fn tail(range: dialect::Range, amount: f64, work: &Work) -> Option<dialect::Range> {
    let all = work.of(range);
    if all <= amount * SLACK {
        return Some(range);
    }
    let key = work.cut(range, all - amount)?;
    Some(span(key, range.last))
}

/// Removes the end `range` from a piece.
fn take(pieces: &mut Vec<Piece>, piece: usize, range: dialect::Range) {
    if pieces[piece].range.first == range.first {
        pieces.remove(piece);
    } else {
        pieces[piece].range.last = range.first - 1;
    }
}

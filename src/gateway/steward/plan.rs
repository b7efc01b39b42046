//! Plans who gets which keys of one service.

use crate::gateway::dialect;
use crate::gateway::keys;

/// Keys of one bucket, the unit in which load is counted and runs are split.
pub const BUCKET: u32 = 64;

const BUCKETS: usize = 1_024;
/// Part of all work that is spread evenly over the buckets, so that keys
/// without figures still count.
const EVEN: f64 = 0.1;
/// Part of a fair share below which no run is split off, to keep runs few.
const LEAST: f64 = 0.25;
/// Part by which a run may be too large before it is split.
const SLACK: f64 = 1.1;
/// Surplus over the fair share, relative to the mean, from which keys move.
const SURPLUS: f64 = 0.25;
/// Least part of a target's load that a move must remove, or of a new target's
/// fair share that it must add.
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

/// Work of each bucket, in milliseconds of processing per second.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    buckets: Vec<f64>,
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
        buckets.iter_mut().for_each(|work| *work += even);
        Self {
            buckets,
            measured: total > 0.0,
        }
    }

    /// Returns the work of a range.
    pub fn of(&self, range: dialect::Range) -> f64 {
        let (first, last) = (u32::from(range.first), u32::from(range.last));
        let parts = (first / BUCKET..=last / BUCKET).map(|bucket| {
            let from = first.max(bucket * BUCKET);
            let to = last.min(bucket * BUCKET + BUCKET - 1);
            self.buckets[bucket as usize] * f64::from(to + 1 - from) / f64::from(BUCKET)
        });
        parts.sum()
    }

    /// Returns the first key of a bucket inside `range` at which the work
    /// before it is nearest to `amount`.
    fn cut(&self, range: dialect::Range, amount: f64) -> Option<u16> {
        let mut before = 0.0;
        let mut first = u32::from(range.first);
        let mut best: Option<(f64, u16)> = None;
        loop {
            let next = (first / BUCKET + 1) * BUCKET;
            if next > u32::from(range.last) {
                return best.map(|(_, key)| key);
            }
            before += self.of(span(first as u16, next as u16 - 1));
            let error = (before - amount).abs();
            if best.is_none_or(|(least, _)| error < least) {
                best = Some((error, next as u16));
            }
            first = next;
        }
    }
}

fn span(first: u16, last: u16) -> dialect::Range {
    dialect::Range { first, last }
}

/// Loads and fair shares of the seats.
struct Scale {
    load: Vec<f64>,
    fair: Vec<f64>,
}

impl Scale {
    fn new(pieces: &[Piece], seats: &[Seat], work: &Work) -> Self {
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
    fn surplus(&self, seat: usize) -> f64 {
        self.load[seat] - self.fair[seat]
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

/// Moves a part of the busiest seat's load to the least busy one.
pub fn balance(pieces: &[Piece], seats: &[Seat], work: &Work) -> Option<Move> {
    if !work.measured {
        return None;
    }
    let scale = Scale::new(pieces, seats, work);
    let mean = work.of(dialect::Range::ALL) / seats.len().max(1) as f64;
    let seat = scale.least()?;
    let (piece, donor) = donor(pieces, seats, &scale, work)?;
    let surplus = scale.surplus(donor);
    if donor == seat || surplus <= SURPLUS * mean {
        return None;
    }
    let amount = surplus.min(-scale.surplus(seat));
    let range = tail(pieces[piece].range, amount, work)?;
    let moved = work.of(range);
    // A hot bucket can't be divided: moving it must not overload the receiver.
    let helps = moved >= RELIEF * scale.load[donor] && moved < surplus - scale.surplus(seat);
    let owner = seats[seat].owner.clone();
    helps.then_some(Move { range, owner })
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

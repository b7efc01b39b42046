//! Plans moves that even out the load of one service's targets.

use super::plan;
use crate::gateway::dialect;
use crate::gateway::keys;

/// Most moves of one batch.
const MOVES: usize = 4;
/// Load relative to the fair share from which a settled service is changed.
/// Above `STOP`, so that noise of a settled load moves nothing.
const START: f64 = 1.2;
/// Load relative to the fair share down to which a change goes on.
const STOP: f64 = 1.1;
/// Part of a target's capacity below which its load is left alone: requests
/// hardly wait there, and moves have a price.
const BUSY: f64 = 0.4;
/// Work that one unit of weight does in a second, in milliseconds.
const CAPACITY: f64 = 1_000.0;
/// Least part of a fair share by which a move must lower the highest load.
const GAIN: f64 = 0.08;
/// Part by which a range may exceed the wanted amount of work.
const SLACK: f64 = 1.1;
/// Most runs of each target, on average.
const RUNS: usize = 5;
/// Number of keys whose transfer halves the score of a move.
const COST: f64 = 2_048.0;
/// Cost of each run that a move adds, relative to that of `COST` keys.
const SPLIT: f64 = 0.3;
/// Cost of each fair share by which a move overloads its receiver, which has to
/// give up other work then, relative to that of `COST` keys.
const EXCESS: f64 = 4.0;
/// Number of targets with the most spare weight that are compared.
const RECEIVERS: usize = 4;

/// A move that lowers the highest load.
struct Candidate {
    piece: usize,
    range: dialect::Range,
    seat: usize,
    score: f64,
}

/// Moves parts of the busiest seats' load to seats with spare weight.
/// `settled` says that no keys have moved lately.
pub fn balance(
    pieces: &[plan::Piece],
    seats: &[plan::Seat],
    work: &plan::Work,
    settled: bool,
) -> Vec<plan::Move> {
    let mut scale = plan::Scale::new(pieces, seats, work);
    let busiest = (0..seats.len()).map(|seat| scale.ratio(seat));
    let level = if settled { START } else { STOP };
    let busy = (0..seats.len()).any(|seat| is_busy(seats, &scale, seat));
    if !work.is_measured() || !busy || busiest.fold(0.0, f64::max) <= level {
        return Vec::new();
    }
    let mut pieces = pieces.to_vec();
    let mut moves = Vec::new();
    while moves.len() < MOVES {
        let Some(best) = best(&pieces, seats, &scale, work) else {
            break;
        };
        let moved = work.of(best.range);
        if let Some(donor) = seat_of(&pieces[best.piece], seats) {
            scale.load[donor] -= moved;
        }
        scale.load[best.seat] += moved;
        let owner = seats[best.seat].owner.clone();
        apply(&mut pieces, &best, &owner);
        moves.push(plan::Move {
            range: best.range,
            owner,
        });
    }
    moves
}

fn is_busy(seats: &[plan::Seat], scale: &plan::Scale, seat: usize) -> bool {
    scale.load[seat] > BUSY * CAPACITY * seats[seat].weight
}

fn seat_of(piece: &plan::Piece, seats: &[plan::Seat]) -> Option<usize> {
    let own = |seat: &plan::Seat| Some(&seat.owner) == piece.owner.as_ref();
    seats.iter().position(own)
}

/// Returns the best move away from the busiest seat that has one.
fn best(
    pieces: &[plan::Piece],
    seats: &[plan::Seat],
    scale: &plan::Scale,
    work: &plan::Work,
) -> Option<Candidate> {
    let mut donors: Vec<usize> = (0..seats.len()).collect();
    donors.retain(|&seat| scale.ratio(seat) > STOP && is_busy(seats, scale, seat));
    donors.sort_by(|&a, &b| scale.ratio(b).total_cmp(&scale.ratio(a)));
    let mut receivers: Vec<usize> = (0..seats.len()).collect();
    receivers.sort_by(|&a, &b| scale.surplus(a).total_cmp(&scale.surplus(b)));
    donors.into_iter().find_map(|donor| {
        let own = |piece: &plan::Piece| {
            piece.bond == plan::Bond::Free && piece.owner.as_ref() == Some(&seats[donor].owner)
        };
        let free = (0..pieces.len()).filter(|&i| own(&pieces[i]));
        let found = free.flat_map(|piece| {
            let spare = receivers.iter().take(RECEIVERS).copied();
            let near = neighbours(pieces, piece).filter_map(|i| seat_of(&pieces[i], seats));
            let seats: Vec<usize> = spare.chain(near).filter(|&seat| seat != donor).collect();
            seats
                .into_iter()
                .flat_map(move |seat| candidates(pieces, piece, (donor, seat), scale, work))
        });
        found.max_by(|a, b| a.score.total_cmp(&b.score))
    })
}

fn neighbours(pieces: &[plan::Piece], piece: usize) -> impl Iterator<Item = usize> + use<> {
    let before = piece.checked_sub(1);
    let after = (piece + 1 < pieces.len()).then_some(piece + 1);
    before.into_iter().chain(after)
}

/// Returns the moves of parts of a piece from a donor to another seat that help.
fn candidates(
    pieces: &[plan::Piece],
    piece: usize,
    (donor, seat): (usize, usize),
    scale: &plan::Scale,
    work: &plan::Work,
) -> Vec<Candidate> {
    let range = pieces[piece].range;
    let amount = scale.surplus(donor).min(-scale.surplus(seat));
    let high = scale.ratio(donor);
    let room = (RUNS * scale.load.len()).saturating_sub(pieces.len());
    let scored = parts(range, amount, work).into_iter().filter_map(|part| {
        let moved = work.of(part);
        let left = (scale.load[donor] - moved) / scale.fair[donor];
        let filled = (scale.load[seat] + moved) / scale.fair[seat];
        let gain = high - left.max(filled);
        let splits = usize::from(part.first > range.first) + usize::from(part.last < range.last);
        let keys = f64::from(part.len()) / COST;
        let excess = EXCESS * (filled - STOP).max(0.0);
        let score = gain / (1.0 + keys + SPLIT * splits as f64 + excess);
        (gain >= GAIN && splits <= room).then_some(Candidate {
            piece,
            range: part,
            seat,
            score,
        })
    });
    scored.collect()
}

/// Returns parts of `range` with about `amount` of its work, and its hottest
/// bucket and the keys on either side, since a hot bucket can't be divided.
fn parts(range: dialect::Range, amount: f64, work: &plan::Work) -> Vec<dialect::Range> {
    let hot = work.hottest(range);
    let mut parts = vec![hot];
    let before = hot
        .first
        .checked_sub(1)
        .map(|last| plan::span(range.first, last));
    let after = hot
        .last
        .checked_add(1)
        .map(|first| plan::span(first, range.last));
    let sides = [before, after, Some(range)].into_iter().flatten();
    let fits = |part: &dialect::Range| part.first <= part.last && work.of(*part) <= amount * SLACK;
    parts.extend(sides.filter(fits));
    if amount > 0.0 && work.of(range) > amount {
        let head = work.cut(range, amount);
        parts.extend(head.map(|key| plan::span(range.first, key - 1)));
        let tail = work.cut(range, work.of(range) - amount);
        parts.extend(tail.map(|key| plan::span(key, range.last)));
        parts.push(work.grow(hot, range, amount));
    }
    parts
}

/// Splits a piece for a move, and keeps the moved part where it goes.
fn apply(pieces: &mut Vec<plan::Piece>, best: &Candidate, owner: &keys::Owner) {
    let old = pieces.remove(best.piece);
    let rest = |range| plan::Piece {
        range,
        ..old.clone()
    };
    let mut parts = Vec::new();
    if old.range.first < best.range.first {
        parts.push(rest(plan::span(old.range.first, best.range.first - 1)));
    }
    parts.push(plan::Piece {
        range: best.range,
        owner: Some(owner.clone()),
        bond: plan::Bond::Fixed,
    });
    if best.range.last < old.range.last {
        parts.push(rest(plan::span(best.range.last + 1, old.range.last)));
    }
    pieces.splice(best.piece..best.piece, parts);
}

//! Division of a target's limit among daemons.
//!
//! A daemon that sends seldom has to save up the right to a whole request, and what daemons
//! have saved up may reach the target at once. A low limit is therefore divided among a few
//! daemons only, the *senders*, so that the sum of what they may save up is bounded however
//! many daemons there are. The others need a permit from the first sender, or send the target
//! nothing.

use crate::gateway::adapter;

/// Least number of requests per second that is divided. A target that names less, or 0, still
/// gets a request now and then: only its answers show that the limit has ended.
const MIN_RATE: f64 = 0.25;

/// Requests that all senders together may have saved up, besides those of one second. With the
/// requests of 4 s these are 5 x limit + 3, where the platform allows 6 x limit + 5. The rest
/// is a margin for requests that arrive after different times, and for the moments in which
/// daemons see each other differently.
const MAX_SAVED: f64 = 3.0;

/// Seconds whose requests all senders together may have saved up besides one, if that is
/// less. It keeps this margin for limits below one request per second.
const SAVED_S: f64 = 3.0;

/// Place of this daemon among the daemons that may send to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Number of present daemons that come before this one.
    pub rank: u32,
    /// Daemons that are present, this one included.
    pub present: u32,
    /// Daemons that may be live, this one and the present ones included. Those that are not
    /// present may be cut off from this one and still reach the target.
    pub live: u32,
}

/// How a target's limit is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Division {
    /// Among a few senders, where other targets may serve as well.
    Senders,
    /// The first daemon has all of it and gives permits to the others, where only the target
    /// can serve a key: its requests come to all daemons.
    Permits,
}

/// Place of this daemon in the division of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Place among the daemons.
    pub position: Position,
    /// How the limit is divided.
    pub division: Division,
}

/// Part of a limit that one daemon may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Requests per second.
    pub rate: f64,
    /// Largest number of requests that may be saved up, at least 1.
    pub burst: f64,
}

impl Share {
    /// Returns the share of the daemon at `place`, or `None` if it has none.
    ///
    /// Daemons that are cut off from each other each see only themselves as present. They
    /// divide the part of the limit that belongs to the present ones.
    pub fn new(limit: adapter::RequestRate, place: Place) -> Option<Self> {
        let position = place.position;
        let present = f64::from(position.present.max(1));
        let part = present / f64::from(position.live.max(position.present).max(1));
        let rate = limit.per_second().max(MIN_RATE) * part;
        let saved = (1.0 + SAVED_S * rate).min(MAX_SAVED + rate);
        let senders = match place.division {
            Division::Senders => saved.floor().min(present),
            Division::Permits => 1.0,
        };
        (f64::from(position.rank) < senders).then(|| Self {
            rate: rate / senders,
            burst: saved / senders,
        })
    }
}

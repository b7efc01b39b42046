//! Service-level burn: how fast each service uses up the requests that may
//! fail or be slow under its objective.
//!
//! [`Table`] counts in one daemon; [`report`] merges the counts of all daemons
//! and says which of the usual windows burn too fast.

pub mod page;
pub mod report;

pub use crate::tables::count::{Counted, Counts, Reply, Series, Table};

/// Two windows that must both burn faster than a threshold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Short window, which ends the alarm soon after the cause, in milliseconds.
    pub short: u64,
    /// Long window, in milliseconds.
    pub long: u64,
    /// Burn rate: 1 uses up the allowance exactly over the objective's period.
    pub threshold: f64,
}

const MINUTE: u64 = 60_000;
const HOUR: u64 = 60 * MINUTE;

/// Longest window, in milliseconds.
pub const LONGEST: u64 = 72 * HOUR;

/// The usual rules for an objective over 30 days: 2% of the allowance within
/// an hour, 5% within 6 hours, 10% within 3 days.
pub const RULES: [Rule; 3] = [
    Rule {
        short: 5 * MINUTE,
        long: HOUR,
        threshold: 14.4,
    },
    Rule {
        short: 30 * MINUTE,
        long: 6 * HOUR,
        threshold: 6.0,
    },
    Rule {
        short: 6 * HOUR,
        long: LONGEST,
        threshold: 1.0,
    },
];

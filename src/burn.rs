//! Service-level burn rates: how fast each service uses up its error budget,
//! the requests that may fail or be slow under its objective.
//!
//! [`Table`] counts in one daemon; [`report`] merges the counts of all daemons
//! and evaluates the alert rules.

pub mod page;
pub mod report;

pub(crate) use crate::tables::count::{Buckets, FINE_WIDTH_MS};
pub use crate::tables::count::{Counted, Counts, Reply, Series, Table};

/// Alert rule: it fires if the burn rates of both windows exceed the threshold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Short window, which ends the alert soon after its cause, in milliseconds.
    pub short_ms: u64,
    /// Long window, which keeps short disturbances from firing the rule, in
    /// milliseconds.
    pub long_ms: u64,
    /// Burn rate: 1 uses up the error budget exactly over the objective's period.
    pub threshold: f64,
}

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Longest window of a rule, in milliseconds.
pub const LONGEST_MS: u64 = 72 * HOUR_MS;

/// The usual multi-window rules for an objective over 30 days. They fire at 2%
/// of the error budget within an hour, 5% within 6 hours, 10% within 3 days.
pub const RULES: [Rule; 3] = [
    Rule {
        short_ms: 5 * MINUTE_MS,
        long_ms: HOUR_MS,
        threshold: 14.4,
    },
    Rule {
        short_ms: 30 * MINUTE_MS,
        long_ms: 6 * HOUR_MS,
        threshold: 6.0,
    },
    Rule {
        short_ms: 6 * HOUR_MS,
        long_ms: LONGEST_MS,
        threshold: 1.0,
    },
];

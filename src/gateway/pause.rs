//! Pauses between failed reads of the log.
//!
//! Refused calls have a price, so that the daemons of a failure domain share the reads while
//! the log is out. The first of them that is answered tells the others, which ends their
//! pauses. A daemon that is not told must still read in time for a configuration to be in
//! effect everywhere, so that its pause is bounded however many daemons there are.

/// Longest pause between failed reads of the targets, in percent of the time within which a
/// configuration must be in effect. The rest is for the read itself.
pub const MAX_PERCENT: u64 = 60;

/// Pause after a failed read of the targets' topic or a failed append of the host's record,
/// in milliseconds.
pub const RETRY_MS: u64 = 500;

/// Ratio of the longest pause to the mean one.
const SPREAD: f64 = 1.5;

/// Pauses of one daemon among those that share the reads of a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPause {
    /// Daemons that share the reads, this one included.
    pub daemons: u64,
    /// Time within which a configuration must be in effect, in milliseconds.
    pub configure_ms: u64,
}

impl SharedPause {
    /// Returns the pause in milliseconds after a failed read that a single daemon would
    /// repeat after `base` milliseconds. All daemons together make one call per `base`
    /// milliseconds, or more if pauses would otherwise be longer than [`MAX_PERCENT`] allows
    /// for a base of [`RETRY_MS`]; other pauses are bounded in proportion to their base.
    /// `random`, from 0 to 1, spreads the pause from half the mean to one and a half times it.
    pub fn after_failure(self, base: u64, random: f64) -> u64 {
        let longest = (self.configure_ms * MAX_PERCENT / 100) as f64;
        let max_sharing = longest / (SPREAD * RETRY_MS as f64);
        let sharing = (self.daemons as f64).min(max_sharing);
        let mean = base as f64 * sharing;
        (mean / 2.0 + mean * random) as u64
    }
}

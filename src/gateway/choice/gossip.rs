//! Intervals at which a daemon tells others how many requests it has in progress at each
//! target.
//!
//! Load pattern: these counts change with each request, and every daemon has them. Told to all
//! others at each change, they would take most of the processor time of a large fleet. Daemons
//! that use the same targets are told at once, and the further away the others are, the less
//! often. The number of messages a second has a limit for each tier, however many daemons it
//! has; with fewer than that limit allows, the interval is the shortest one.

/// Interval between rounds, in milliseconds.
pub const ROUND_MS: u64 = 25;

/// Number of tiers: the daemons of the group, the rest of the failure domain, the rest of the
/// region, and other regions.
pub const TIERS: usize = 4;

/// Fewest rounds between two messages to the daemons of a tier, as traffic between failure
/// domains and regions has a price.
const MIN_ROUNDS: [u64; TIERS] = [1, 1, 5, 24];

/// Largest number of messages a second to all daemons of a tier together.
const MAX_PER_S: [u64; TIERS] = [200, 50, 40, 20];

/// Shortest time after which a report expires, in milliseconds.
const MIN_REPORT_TTL_MS: u64 = 2_000;

/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;

/// Returns the number of rounds between two messages to the `receivers` daemons of a tier.
pub fn rounds(tier: usize, receivers: usize) -> u64 {
    let interval = receivers as u64 * MS_PER_S / MAX_PER_S[tier];
    interval.div_ceil(ROUND_MS).max(MIN_ROUNDS[tier])
}

/// Returns the time in milliseconds after which a report expires where each tier has as many
/// daemons as `receivers` says: one of two messages may be lost.
pub fn report_ttl_ms(receivers: [usize; TIERS]) -> u64 {
    let tiers = receivers.into_iter().enumerate();
    let longest = tiers.map(|(tier, receivers)| rounds(tier, receivers)).max();
    let interval = longest.unwrap_or_default() * ROUND_MS;
    (interval * 5 / 2).max(MIN_REPORT_TTL_MS)
}

//! Subsets of targets, for failure domains with many daemons and many targets.
//!
//! Load pattern: hundreds of daemons send a few requests a second each to hundreds of targets.
//! If each daemon used all targets, it would hardly ever find an idle connection, and would
//! have to know what every other daemon has in progress. So the daemons and the targets of a
//! failure domain are divided into as many groups, and a daemon prefers the targets of its
//! group. Others serve it when the group has no free slot.

/// Smallest number of daemons in a group: callers are spread unevenly over daemons, and a
/// group of several evens that out.
const MIN_DAEMONS: usize = 8;

/// Smallest number of targets in a group, so that fast and slow ones are in each.
const MIN_TARGETS: usize = 16;

/// Number of targets of a service up to which every daemon considers all of them.
pub const MAX_UNDIVIDED: usize = 64;

/// One of the groups into which the daemons and targets of a failure domain are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    index: usize,
    count: usize,
}

impl Group {
    /// Returns the group of the daemon at `rank` among `daemons` of a failure domain, which
    /// has `targets` targets of a service.
    pub fn new(rank: usize, daemons: usize, targets: usize) -> Self {
        let count = (daemons / MIN_DAEMONS).min(targets / MIN_TARGETS).max(1);
        Self {
            index: rank * count / daemons.max(1),
            count,
        }
    }

    /// Returns whether the group has the member at `position` among `members` daemons or
    /// targets of the failure domain.
    pub fn contains(self, position: usize, members: usize) -> bool {
        position * self.count / members.max(1) == self.index
    }
}

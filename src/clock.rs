//! Monotonic time that counts suspension.

use std::ops::{Add, Sub};
use std::time::Duration;

use rustix::time;

/// A reading of the host's boot-time clock, in milliseconds.
///
/// Readings of different hosts can't be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the time from `earlier` to this reading, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Millis {
    type Output = Self;

    /// Durations come from configurations and callers as well. A sum beyond the range is a
    /// time that is never reached, and must not wrap to one that has passed.
    fn add(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }
}

impl Sub<u64> for Millis {
    type Output = Self;

    fn sub(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis))
    }
}

/// Reads `CLOCK_BOOTTIME`, which goes on while the host is suspended.
pub fn now() -> Millis {
    let spec = time::clock_gettime(time::ClockId::Boottime);
    Millis(spec.tv_sec as u64 * 1_000 + spec.tv_nsec as u64 / 1_000_000)
}

/// Converts milliseconds to a [`Duration`].
pub fn duration(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

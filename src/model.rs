//! Names, identifiers and small values shared by all modules.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(Arc::from(name))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Name of an entry host, on which one daemon runs.
    HostName
);
name_type!(
    /// Name of a failure domain.
    DomainName
);
name_type!(
    /// Name of a region, which groups failure domains.
    RegionName
);
name_type!(
    /// Name of a tenant.
    TenantName
);
name_type!(
    /// Name of a target, a server behind the router.
    TargetName
);
name_type!(
    /// Name of a service, which a group of targets provides.
    ServiceName
);
name_type!(
    /// Name of an operator who confirmed a plan.
    OperatorName
);

/// Position of a record in the platform's log.
///
/// A log that is restored from an older copy gives numbers out again. The era, which the log
/// raises with each restore, keeps positions unique and rising: every position of a later
/// era is greater than all positions of earlier ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Number of the low bits that hold the record's number; the era is in the bits above.
    const NUMBER_BITS: u32 = 40;
    /// Highest number of a record.
    pub const MAX_NUMBER: u64 = (1 << Self::NUMBER_BITS) - 1;
    /// Highest era. Fencing tokens are made of positions and sent as JSON numbers, which
    /// hold integers exactly up to 53 bits.
    pub const MAX_ERA: u64 = (1 << (53 - Self::NUMBER_BITS)) - 1;

    /// Returns the position of the record `number` of an era, or `None` if either is above
    /// its maximum.
    pub fn new(era: u64, number: u64) -> Option<Self> {
        let valid = era <= Self::MAX_ERA && number <= Self::MAX_NUMBER;
        valid.then_some(Self(era << Self::NUMBER_BITS | number))
    }

    /// Returns whether the log can give out this position.
    pub fn is_valid(self) -> bool {
        self.era() <= Self::MAX_ERA
    }

    /// Returns the era of the log in which the position was given out.
    pub fn era(self) -> u64 {
        self.0 >> Self::NUMBER_BITS
    }

    /// Returns the record's number within the log.
    pub fn number(self) -> u64 {
        self.0 & Self::MAX_NUMBER
    }

    /// Returns the position with the same number in another era.
    pub fn in_era(self, era: u64) -> Self {
        Self(era << Self::NUMBER_BITS | self.number())
    }

    /// Returns the position that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Shows the number, and before it the era if the log was ever restored.
impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            0 => write!(f, "{}", self.number()),
            era => write!(f, "{era}:{}", self.number()),
        }
    }
}

/// Fencing token: a target refuses orders below the highest one it has seen.
///
/// `step` orders changes made without the log after the record at `offset`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Offset of the log record that gave the right.
    pub offset: Offset,
    /// Number of changes since that record that are not in the log yet.
    pub step: u32,
}

impl Fence {
    /// Returns the fence of a right that the record at `offset` gave.
    pub fn at(offset: Offset) -> Self {
        Self { offset, step: 0 }
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.offset.0, self.step)
    }
}

/// Error for a fence that is not written as `offset.step`.
#[derive(Debug, thiserror::Error)]
#[error("expected a fence written as offset.step, found {0:?}")]
pub struct FenceError(pub String);

impl std::str::FromStr for Fence {
    type Err = FenceError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let (offset, step) = text.split_once('.')?;
            Some(Self {
                offset: Offset(offset.parse().ok()?),
                step: step.parse().ok()?,
            })
        };
        parse().ok_or_else(|| FenceError(text.to_owned()))
    }
}

/// Random number drawn when a process starts; it tells a restarted daemon
/// from the one that ran on the same host before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Keyed 64-bit hash of a key. Keys are recorded by hash and never by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes `key` for `service` with SipHash-1-3, seeded by the service name.
    pub fn of(service: &ServiceName, key: &[u8]) -> Self {
        use std::hash::Hasher;
        let mut seed = siphasher::sip::SipHasher13::new();
        seed.write(service.as_str().as_bytes());
        let mut hasher = siphasher::sip::SipHasher13::new_with_keys(seed.finish(), 0);
        hasher.write(key);
        Self(hasher.finish())
    }

    /// Returns the shard of this hash among `shards` shards.
    pub fn shard(self, shards: u32) -> u32 {
        ((u128::from(self.0) * u128::from(shards)) >> 64) as u32
    }
}

/// A unit of ownership within a placement group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Shard {
    /// One of the group's fixed hash ranges.
    Range(u32),
    /// A hot key that has a shard of its own.
    Pinned(KeyHash),
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Range(n) => write!(f, "{n}"),
            Self::Pinned(hash) => write!(f, "pinned-{:016x}", hash.0),
        }
    }
}

/// A set of shards that is written compactly in records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSet {
    /// Inclusive ranges of hash shards, ascending and disjoint.
    pub ranges: Vec<(u32, u32)>,
    /// Pinned keys, ascending.
    #[serde(default)]
    pub pinned: Vec<KeyHash>,
}

impl ShardSet {
    /// Iterates over all shards of the set.
    pub fn iter(&self) -> impl Iterator<Item = Shard> + '_ {
        let ranges = self.ranges.iter();
        let shards = ranges.flat_map(|&(first, last)| (first..=last).map(Shard::Range));
        shards.chain(self.pinned.iter().copied().map(Shard::Pinned))
    }

    /// Returns whether the set contains a shard.
    pub fn contains(&self, shard: Shard) -> bool {
        match shard {
            Shard::Range(n) => {
                let after = self.ranges.partition_point(|&(first, _)| first <= n);
                after > 0 && n <= self.ranges[after - 1].1
            }
            Shard::Pinned(hash) => self.pinned.binary_search(&hash).is_ok(),
        }
    }

    /// Returns whether the set has no shard.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty() && self.pinned.is_empty()
    }

    /// Returns the number of shards.
    pub fn len(&self) -> usize {
        let ranges = self.ranges.iter();
        let count: usize = ranges
            .map(|&(first, last)| (last - first) as usize + 1)
            .sum();
        count + self.pinned.len()
    }
}

impl FromIterator<Shard> for ShardSet {
    fn from_iter<I: IntoIterator<Item = Shard>>(shards: I) -> Self {
        let mut sorted: Vec<Shard> = shards.into_iter().collect();
        sorted.sort_unstable();
        sorted.dedup();
        let mut set = Self::default();
        for shard in sorted {
            match (shard, set.ranges.last_mut()) {
                (Shard::Range(n), Some(range)) if range.1 + 1 == n => range.1 = n,
                (Shard::Range(n), _) => set.ranges.push((n, n)),
                (Shard::Pinned(hash), _) => set.pinned.push(hash),
            }
        }
        set
    }
}

/// Placement group: a service and the set of regions that may hold its keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId {
    /// The service.
    pub service: ServiceName,
    /// Allowed regions, ascending; empty means every region.
    pub regions: Vec<RegionName>,
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.service)?;
        for region in &self.regions {
            write!(f, "@{region}")?;
        }
        Ok(())
    }
}

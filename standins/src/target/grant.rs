//! Fences and grants, and the check of a request against them.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A fencing token; a higher one takes precedence.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize,
)]
pub struct Fence {
    /// The offset of a log record.
    pub offset: u64,
    /// The step after that record.
    pub step: u64,
}

impl fmt::Display for Fence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.offset, self.step)
    }
}

/// The text isn't of the form `offset.step`.
#[derive(Debug, thiserror::Error)]
#[error("a fence has the form offset.step")]
pub struct InvalidFence;

impl FromStr for Fence {
    type Err = InvalidFence;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (offset, step) = text.split_once('.').ok_or(InvalidFence)?;
        let offset = offset.parse().map_err(|_| InvalidFence)?;
        let step = step.parse().map_err(|_| InvalidFence)?;
        Ok(Self { offset, step })
    }
}

/// A shard as the `shard` header names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shard {
    /// A shard by its number.
    Number(u64),
    /// A pinned key by its hash.
    Pinned(u64),
}

impl Shard {
    /// Parses `17` or `pinned-<16 hex digits>`.
    pub fn parse(text: &str) -> Option<Self> {
        match text.strip_prefix("pinned-") {
            Some(hash) if hash.len() == 16 => u64::from_str_radix(hash, 16).ok().map(Self::Pinned),
            Some(_) => None,
            None => text.parse().ok().map(Self::Number),
        }
    }
}

/// Shards of a group that were recorded at one fence.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Share {
    /// The placement group.
    pub group: String,
    /// The fence of the record that assigned the shards.
    pub fence: Fence,
    /// Shards, as first and last of each range.
    #[serde(default)]
    pub ranges: Vec<(u64, u64)>,
    /// Hashes of pinned keys.
    #[serde(default)]
    pub pinned: Vec<u64>,
}

impl Share {
    fn contains(&self, group: &str, shard: Shard) -> bool {
        if self.group != group {
            return false;
        }
        match shard {
            Shard::Number(number) => {
                let mut ranges = self.ranges.iter();
                ranges.any(|&(first, last)| first <= number && number <= last)
            }
            Shard::Pinned(hash) => self.pinned.contains(&hash),
        }
    }
}

/// The body of `POST /control/grants`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Order {
    /// The fence of the sender's lease.
    pub fence: Fence,
    /// The end of the grant in milliseconds of the target's clock; 0 changes
    /// no grant.
    pub valid_until: u64,
    /// The whole list of granted shards; absent keeps the list.
    #[serde(default)]
    pub shards: Option<Vec<Share>>,
}

/// What a request says about its right to run.
#[derive(Clone, Debug, Default)]
pub struct Claim {
    /// The fence of the sender's lease.
    pub lease: Option<Fence>,
    /// The placement group; absent for services without keys.
    pub group: Option<String>,
    /// The shard as the header gives it.
    pub shard: Option<String>,
    /// The fence of the shard's assignment.
    pub fence: Option<Fence>,
}

/// Why a request was refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Refusal {
    /// The sender's fence is missing or below the highest seen.
    Fence,
    /// The shard isn't granted at the request's fence, or the grant lapsed.
    Grant,
    /// All slots are taken.
    Shed,
    /// The target is cold and its cold limit is reached.
    Cold,
    /// The target is draining.
    Draining,
    /// No time is left.
    Deadline,
}

impl Refusal {
    /// Returns the value of the `target-refusal` header.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fence => "fence",
            Self::Grant => "grant",
            Self::Shed => "shed",
            Self::Cold => "cold",
            Self::Draining => "draining",
            Self::Deadline => "deadline",
        }
    }

    /// Returns the HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::Fence | Self::Grant => 409,
            Self::Shed | Self::Cold | Self::Draining | Self::Deadline => 503,
        }
    }
}

/// The fence and the grants that a target remembers until it restarts.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    highest: Option<Fence>,
    until: u64,
    shards: Vec<Share>,
}

impl Grants {
    /// Takes an order.
    ///
    /// # Errors
    /// The highest fence seen, if the order's fence is below it; then nothing
    /// changes.
    pub fn order(&mut self, order: Order) -> Result<(), Fence> {
        if let Some(highest) = self.highest.filter(|highest| order.fence < *highest) {
            return Err(highest);
        }
        self.highest = Some(order.fence);
        if order.valid_until == 0 {
            return Ok(());
        }
        self.until = order.valid_until;
        if let Some(shards) = order.shards {
            self.shards = shards;
        }
        Ok(())
    }

    /// Returns whether a fence is above the highest seen.
    pub fn is_above(&self, fence: Fence) -> bool {
        self.highest.is_none_or(|highest| fence > highest)
    }

    /// Remembers a fence if it is above the highest seen.
    pub fn see(&mut self, fence: Fence) {
        self.highest = self.highest.max(Some(fence));
    }

    /// Forgets the highest fence, so that the next order is accepted.
    pub fn forget_fence(&mut self) {
        self.highest = None;
    }

    /// Returns whether the list contains a shard, whatever its fence.
    pub fn lists(&self, group: &str, shard: Shard) -> bool {
        self.shards.iter().any(|share| share.contains(group, shard))
    }

    /// Checks a request at a reading of the target's clock in milliseconds.
    ///
    /// # Errors
    /// [`Refusal::Fence`] or [`Refusal::Grant`].
    pub fn check(&self, claim: &Claim, clock: u64) -> Result<(), Refusal> {
        let lease = claim.lease.ok_or(Refusal::Fence)?;
        if self.highest.is_some_and(|highest| lease < highest) {
            return Err(Refusal::Fence);
        }
        let Some(group) = &claim.group else {
            return Ok(());
        };
        let shard = claim.shard.as_deref().and_then(Shard::parse);
        let (shard, fence) = shard.zip(claim.fence).ok_or(Refusal::Grant)?;
        if clock >= self.until {
            return Err(Refusal::Grant);
        }
        let mut shards = self.shards.iter();
        if shards.any(|share| share.fence == fence && share.contains(group, shard)) {
            return Ok(());
        }
        Err(Refusal::Grant)
    }
}

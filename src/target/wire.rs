//! JSON messages of a target's control endpoints, and conversions to model types.

use serde::{Deserialize, Serialize};

use crate::model;

/// Fencing token in a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// Offset of the log record that granted it.
    pub offset: u64,
    /// Counter that orders tokens of the same record.
    pub step: u32,
}

/// Shards of one placement group in a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shards {
    /// Placement group as `service@region@...`.
    pub group: String,
    /// Fencing token of the ownership.
    pub fence: Fence,
    /// Inclusive ranges of hash shards, ascending and disjoint.
    pub ranges: Vec<(u32, u32)>,
    /// Hashes of pinned keys.
    pub pinned: Vec<u64>,
}

/// Body of `POST /control/grants`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Fencing token of the holder's lease.
    pub fence: Fence,
    /// Reading of the target's clock until which it may answer, in
    /// milliseconds; 0 only claims the fence and reads the clock.
    pub valid_until: u64,
    /// All shards of the target; `None` keeps the list that it has.
    pub shards: Option<Vec<Shards>>,
}

/// Readiness of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// It has recently started and can serve only part of its load.
    Cold,
    /// It can serve its full load.
    Warm,
    /// It takes no new requests.
    Draining,
}

/// Body of a 200 response to grants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The target's clock, in milliseconds.
    pub clock: u64,
    /// Number of requests that still run on shards dropped from the list.
    pub running: u32,
    /// Number of running requests.
    pub active: u32,
    /// Number of requests queued at the target.
    pub queued: u32,
    /// Readiness of the target.
    pub state: Condition,
}

/// Body of the response to a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Cancelled {
    /// Number of running requests with that identifier that were cancelled.
    pub cancelled: u64,
}

/// Body of a 409 response to grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The target's clock, in milliseconds.
    pub clock: u64,
    /// Highest fencing token that the target has seen.
    pub highest: Fence,
}

/// Shards that a target owns in one placement group since one log record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Placement group.
    pub group: model::GroupId,
    /// Fencing token of the ownership.
    pub fence: model::Fence,
    /// Owned shards.
    pub shards: model::ShardSet,
}

/// Error for shards in a message that can't be converted.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The group is not written as `service@region@...`.
    #[error("expected a group written as service@region@..., found {0:?}")]
    Group(String),
    /// A range ends before it starts or before its predecessor.
    #[error("expected ascending, disjoint ranges, found {0}-{1}")]
    Range(u32, u32),
}

impl From<model::Fence> for Fence {
    fn from(fence: model::Fence) -> Self {
        Self {
            offset: fence.offset.0,
            step: fence.step,
        }
    }
}

impl From<Fence> for model::Fence {
    fn from(fence: Fence) -> Self {
        Self {
            offset: model::Offset(fence.offset),
            step: fence.step,
        }
    }
}

impl From<&Holding> for Shards {
    fn from(holding: &Holding) -> Self {
        Self {
            group: holding.group.to_string(),
            fence: holding.fence.into(),
            ranges: holding.shards.ranges.clone(),
            pinned: holding.shards.pinned.iter().map(|hash| hash.0).collect(),
        }
    }
}

impl TryFrom<Shards> for Holding {
    type Error = Malformed;

    fn try_from(shards: Shards) -> Result<Self, Malformed> {
        let mut min_first = 0;
        for &(first, last) in &shards.ranges {
            if last < first || u64::from(first) < min_first {
                return Err(Malformed::Range(first, last));
            }
            min_first = u64::from(last) + 1;
        }
        let mut pinned: Vec<_> = shards.pinned.into_iter().map(model::KeyHash).collect();
        pinned.sort_unstable();
        pinned.dedup();
        let ranges = shards.ranges;
        Ok(Self {
            group: group(&shards.group)?,
            fence: shards.fence.into(),
            shards: model::ShardSet { ranges, pinned },
        })
    }
}

/// Parses a placement group written as `service@region@...`; regions are sorted and
/// deduplicated.
///
/// # Errors
/// Fails if the service or a region is empty.
pub fn group(text: &str) -> Result<model::GroupId, Malformed> {
    if text.split('@').any(str::is_empty) {
        return Err(Malformed::Group(text.to_owned()));
    }
    let mut parts = text.split('@');
    let service = parts.next().unwrap_or_default().into();
    let mut regions: Vec<model::RegionName> = parts.map(Into::into).collect();
    regions.sort_unstable();
    regions.dedup();
    Ok(model::GroupId { service, regions })
}

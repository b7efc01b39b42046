//! Headers of a request to a target.

use http::{HeaderName, HeaderValue};

use crate::daemon::header;
use crate::daemon::hold::Order;
use crate::model;
use crate::state;

/// Returns the fence of a shard's ownership, or that of offset 0 if the shard
/// has no owner.
pub fn shard_fence(
    state: &state::State,
    group: &model::GroupId,
    shard: model::Shard,
) -> model::Fence {
    let since = state.shard_owner(group, shard).map(|owner| owner.since);
    model::Fence::at(since.unwrap_or_default())
}

/// Returns the headers that a target gets besides the caller's. `owned` is the
/// shard of a keyed service with its fence, and `left` the time until the
/// deadline, in milliseconds.
pub fn for_target(
    order: &Order<'_>,
    lease: model::Fence,
    owned: Option<(model::Shard, model::Fence)>,
    left: u64,
) -> Vec<(HeaderName, HeaderValue)> {
    let mut extra = vec![
        (header::REQUEST_ID, header::value(order.id)),
        (header::TIMEOUT, HeaderValue::from(left)),
        (header::LEASE_FENCE, header::value(&lease.to_string())),
    ];
    if let Some((shard, fence)) = owned {
        extra.push((header::SHARD_GROUP, header::value(&order.group.to_string())));
        extra.push((header::SHARD, header::value(&shard.to_string())));
        extra.push((header::SHARD_FENCE, header::value(&fence.to_string())));
    }
    extra
}

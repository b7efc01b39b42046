//! Headers of a request to a target.

use http::{HeaderName, HeaderValue};

use crate::daemon::header;
use crate::daemon::hold::Order;
use crate::model;
use crate::state;

/// Returns what a target is told besides the caller's headers, where `left` is
/// the time until the deadline, in milliseconds.
pub fn for_target(
    state: &state::State,
    order: &Order<'_>,
    lease: model::Fence,
    left: u64,
) -> Vec<(HeaderName, HeaderValue)> {
    let mut extra = vec![
        (header::REQUEST_ID, header::value(order.id)),
        (header::TIMEOUT, HeaderValue::from(left)),
        (header::LEASE_FENCE, header::value(&lease.to_string())),
    ];
    if let Some(shard) = order.shard {
        let since = state
            .shard_owner(&order.group, shard)
            .map(|owner| owner.since);
        let fence = model::Fence::at(since.unwrap_or_default());
        extra.push((header::SHARD_GROUP, header::value(&order.group.to_string())));
        extra.push((header::SHARD, header::value(&shard.to_string())));
        extra.push((header::SHARD_FENCE, header::value(&fence.to_string())));
    }
    extra
}

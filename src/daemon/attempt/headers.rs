//! Headers of a request to the lease holder of its target.

use http::{HeaderName, HeaderValue};

use crate::daemon::attempt::{Call, Destination};
use crate::daemon::header;
use crate::model;

/// Returns the headers added to the caller's for the lease holder. `offset` is
/// the next offset of the sender's state, and `left_ms` the time until the
/// caller's deadline.
pub fn for_holder(
    call: &Call,
    destination: &Destination,
    offset: model::Offset,
    left_ms: u64,
) -> Vec<(HeaderName, HeaderValue)> {
    let mut extra = vec![
        (header::REQUEST_ID, header::value(&call.id)),
        (header::TIMEOUT, HeaderValue::from(left_ms)),
        (
            header::ROUTE_TARGET,
            header::value(destination.target.as_str()),
        ),
        (
            header::ROUTE_GROUP,
            header::value(&call.resolved.group.to_string()),
        ),
        (
            header::ROUTE_TENANT,
            HeaderValue::from(call.resolved.tenant),
        ),
        (header::ROUTE_OFFSET, HeaderValue::from(offset.0)),
    ];
    if let Some(shard) = destination.shard {
        extra.push((header::ROUTE_SHARD, header::value(&shard.to_string())));
    }
    extra
}

//! Names of the headers between daemons, and between daemons and targets.

use http::{HeaderMap, HeaderName, HeaderValue};

/// Request identifier.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Remaining time until the deadline, in milliseconds.
pub const TIMEOUT: HeaderName = HeaderName::from_static("request-timeout-ms");
/// Fence of the lease, as `offset.step`.
pub const LEASE_FENCE: HeaderName = HeaderName::from_static("lease-fence");
/// Placement group of the shard, as `service@region@...`.
pub const SHARD_GROUP: HeaderName = HeaderName::from_static("shard-group");
/// Shard, as a number or `pinned-` and a hash.
pub const SHARD: HeaderName = HeaderName::from_static("shard");
/// Fence of the shard's ownership, as `offset.step`.
pub const SHARD_FENCE: HeaderName = HeaderName::from_static("shard-fence");
/// Why a target refused a request before running it.
pub const TARGET_REFUSAL: HeaderName = HeaderName::from_static("target-refusal");
/// State of the target; `cold` if it has not warmed up.
pub const TARGET_STATE: HeaderName = HeaderName::from_static("target-state");
/// Number of requests that wait at the lease holder for the target.
pub const TARGET_QUEUE: HeaderName = HeaderName::from_static("target-queue");
/// Load of the target as measured by its lease holder, in requests per second.
pub const TARGET_LOAD: HeaderName = HeaderName::from_static("target-load");
/// Target to which a daemon forwards a request.
pub const ROUTE_TARGET: HeaderName = HeaderName::from_static("route-target");
/// Placement group of a forwarded request.
pub const ROUTE_GROUP: HeaderName = HeaderName::from_static("route-group");
/// Shard of a forwarded request.
pub const ROUTE_SHARD: HeaderName = HeaderName::from_static("route-shard");
/// Hash of the tenant of a forwarded request, 0 if there is none.
pub const ROUTE_TENANT: HeaderName = HeaderName::from_static("route-tenant");
/// Next offset of the sender's state, which the receiver waits for briefly.
pub const ROUTE_OFFSET: HeaderName = HeaderName::from_static("route-offset");

/// Headers removed from callers' requests, because daemons and targets act on them.
const INTERNAL_HEADERS: [HeaderName; 10] = [
    LEASE_FENCE,
    SHARD_GROUP,
    SHARD,
    SHARD_FENCE,
    ROUTE_TARGET,
    ROUTE_GROUP,
    ROUTE_SHARD,
    ROUTE_TENANT,
    ROUTE_OFFSET,
    REQUEST_ID,
];

/// Headers removed from targets' answers, because callers would take them for
/// the router's own.
const ROUTER_HEADERS: [HeaderName; 8] = [
    TARGET_REFUSAL,
    TARGET_STATE,
    TARGET_QUEUE,
    TARGET_LOAD,
    HeaderName::from_static("outcome"),
    HeaderName::from_static("outcome-reason"),
    HeaderName::from_static("outcome-retry"),
    HeaderName::from_static("outcome-location"),
];

/// Removes internal headers from a caller's request.
pub fn strip_request(headers: &mut HeaderMap) {
    for name in &INTERNAL_HEADERS {
        headers.remove(name);
    }
}

/// Removes the headers from a target's answer that callers would take for the
/// router's own.
pub fn strip_reply(headers: &mut HeaderMap) {
    for name in &ROUTER_HEADERS {
        headers.remove(name);
    }
}

/// Returns a header value of printable text, or the value `invalid` if it has
/// other characters.
pub fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static("invalid"))
}

/// Returns a header as text, or `None` if it is missing or not printable ASCII.
pub fn text<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

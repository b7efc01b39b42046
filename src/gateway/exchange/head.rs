//! Heads of requests: the fields that are read and the headers that are forwarded.

use http::header::{self, HeaderMap, HeaderName};

use crate::gateway::adapter;

/// Hop-by-hop headers, and the length of the body, which is set anew.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Returns the host of a request, from its header `host` or else from its URI.
pub(crate) fn host(parts: &http::request::Parts) -> Option<&str> {
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|value| value.to_str().ok());
    host.or_else(|| parts.uri.host())
}

/// Returns the number in a header, or `None` if the header is missing or holds no
/// number.
pub(crate) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Returns the path and query of a URI, the form in which servers expect it.
pub(crate) fn origin_form(uri: &http::Uri) -> http::Uri {
    match uri.path_and_query() {
        Some(path) => http::Uri::from(path.clone()),
        None => http::Uri::from_static("/"),
    }
}

/// Returns whether a header is hop-by-hop, or named as such by the header
/// `connection`.
fn is_hop_by_hop(headers: &HeaderMap, name: &HeaderName) -> bool {
    if HOP_BY_HOP.contains(&name.as_str()) {
        return true;
    }
    let listed = headers.get_all(header::CONNECTION).iter();
    listed
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(name.as_str()))
}

/// Returns the headers of a request that are forwarded to targets.
pub(crate) fn forwarded(
    headers: &HeaderMap,
    host: &str,
    names: &adapter::HeaderNames,
) -> HeaderMap {
    let mut forwarded = end_to_end(headers);
    forwarded.remove(header::EXPECT);
    forwarded.remove(&names.deadline);
    forwarded.remove(&names.target);
    if !forwarded.contains_key(header::HOST)
        && let Ok(host) = host.parse()
    {
        forwarded.insert(header::HOST, host);
    }
    forwarded
}

/// Returns the end-to-end headers, those that are not hop-by-hop.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 2);
    for (name, value) in headers {
        if !is_hop_by_hop(headers, name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

//! Heads of requests: what is read, and what is passed on.

use http::header::{self, HeaderMap, HeaderName};

use crate::gateway::dialect;

/// Headers that concern one connection only.
const HOP: [&str; 10] = [
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

/// Returns the host that a request names.
pub(crate) fn host(parts: &http::request::Parts) -> Option<&str> {
    let named = parts.headers.get(header::HOST);
    let named = named.and_then(|value| value.to_str().ok());
    named.or_else(|| parts.uri.host())
}

/// Returns a header's number, or `None` if it is missing or none.
pub(crate) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Returns a target in origin form, as it is sent to a server.
pub(crate) fn origin_form(uri: &http::Uri) -> http::Uri {
    match uri.path_and_query() {
        Some(path) => http::Uri::from(path.clone()),
        None => http::Uri::from_static("/"),
    }
}

/// Returns whether a header concerns one connection only.
fn is_hop(headers: &HeaderMap, name: &HeaderName) -> bool {
    if HOP.contains(&name.as_str()) {
        return true;
    }
    let listed = headers.get_all(header::CONNECTION).iter();
    listed
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(name.as_str()))
}

/// Returns the headers of a request that are passed on.
pub(crate) fn forwarded(headers: &HeaderMap, host: &str, names: &dialect::Names) -> HeaderMap {
    let mut passed = end_to_end(headers);
    passed.remove(header::EXPECT);
    passed.remove(&names.deadline);
    passed.remove(&names.target);
    if !passed.contains_key(header::HOST)
        && let Ok(host) = host.parse()
    {
        passed.insert(header::HOST, host);
    }
    passed
}

/// Returns the headers that do not concern one connection only.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(headers.len() + 2);
    for (name, value) in headers {
        if !is_hop(headers, name) {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

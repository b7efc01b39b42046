//! Hop-by-hop headers, which are never forwarded.

use http::header;

/// Returns whether a header applies to one connection or to the framing of one
/// message, so that it is never forwarded.
///
/// `host` is included because each hop addresses the request anew.
pub fn is_hop_by_hop(name: &header::HeaderName) -> bool {
    let text = name.as_str();
    matches!(
        text,
        "connection"
            | "content-length"
            | "transfer-encoding"
            | "host"
            | "expect"
            | "te"
            | "trailer"
            | "upgrade"
            | "keep-alive"
    ) || text.starts_with("proxy-")
}

/// Appends the headers of `from` to `to`, except hop-by-hop headers and those
/// listed in the `connection` header.
pub fn copy_end_to_end(from: &http::HeaderMap, to: &mut http::HeaderMap) {
    let named = from.contains_key(header::CONNECTION);
    for (name, value) in from {
        let skip = is_hop_by_hop(name) || (named && is_listed(from, name));
        if !skip {
            to.append(name.clone(), value.clone());
        }
    }
}

fn is_listed(headers: &http::HeaderMap, name: &header::HeaderName) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|item| item.trim().eq_ignore_ascii_case(name.as_str()))
}

//! A request to be sent.

use std::io;

use crate::forward::headers;

/// Body of a request to be sent.
pub enum Content<'a> {
    /// No body.
    Empty,
    /// A body in memory. An empty one is sent as no body.
    Whole(&'a [u8]),
    /// A body that is read while it is sent, with its length in bytes if known.
    Stream(&'a mut (dyn io::Read + 'static), Option<u64>),
}

impl Content<'_> {
    /// Returns the length in bytes, 0 if it is not known.
    pub fn length(&self) -> u64 {
        match self {
            Self::Empty => 0,
            Self::Whole(data) => data.len() as u64,
            Self::Stream(_, length) => length.unwrap_or_default(),
        }
    }
}

/// A request to be sent. Hop-by-hop headers are not copied to the message.
pub struct Outbound<'a, 'b> {
    /// Method.
    pub method: &'a http::Method,
    /// Path and query.
    pub path: &'a http::uri::PathAndQuery,
    /// Headers to copy from.
    pub headers: &'a http::HeaderMap,
    /// Headers to set, replacing copied ones of the same name.
    pub extra: &'a [(http::HeaderName, http::HeaderValue)],
    /// Body.
    pub content: Content<'b>,
}

impl Outbound<'_, '_> {
    pub(super) fn build_headers(&self) -> http::HeaderMap {
        let capacity = self.headers.len() + self.extra.len() + 1;
        let mut built = http::HeaderMap::with_capacity(capacity);
        headers::copy_end_to_end(self.headers, &mut built);
        for (name, value) in self.extra {
            built.insert(name.clone(), value.clone());
        }
        if let Some(length) = self.content_length() {
            built.insert(http::header::CONTENT_LENGTH, length.into());
        }
        built
    }

    /// Returns the value of `content-length`, if the header is to be set. For an
    /// empty body it is set for methods that usually have one, since `ureq`
    /// would otherwise send the body in chunks.
    fn content_length(&self) -> Option<u64> {
        let expects_body = matches!(
            *self.method,
            http::Method::POST | http::Method::PUT | http::Method::PATCH
        );
        match self.content {
            Content::Whole([]) | Content::Empty => expects_body.then_some(0),
            Content::Whole(data) => Some(data.len() as u64),
            Content::Stream(_, length) => length,
        }
    }
}

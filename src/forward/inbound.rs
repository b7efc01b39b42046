//! The response to a request that was sent.

use std::io::{self, Read};

use bytes::Bytes;
use http::header;

use crate::forward::{headers, transport};

/// A response whose body is read from the connection.
///
/// The response to `HEAD` keeps its `content-length` header.
#[derive(Debug)]
pub struct Inbound {
    /// Status.
    pub status: http::StatusCode,
    /// Headers, without hop-by-hop headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Reply,
}

/// Body of a response.
///
/// The end of the data is reported only if the framing shows that the body is
/// complete. Reading fails with `UnexpectedEof` if the body is truncated, with
/// `TimedOut` if the request's timeout has expired, and with `InvalidData` if
/// the response has no framing, because a closed connection may then also mean
/// a truncated body. Dropping a body that wasn't read to its end closes the connection.
pub struct Reply {
    reader: Option<ureq::BodyReader<'static>>,
    binding: Option<transport::AbortBinding>,
    length: Option<u64>,
    received: u64,
    /// Whether the framing tells where the body ends; cleared on a read error.
    framed: bool,
}

impl Inbound {
    pub(super) fn new(
        method: &http::Method,
        response: http::Response<ureq::Body>,
        binding: Option<transport::AbortBinding>,
    ) -> Self {
        let (parts, body) = response.into_parts();
        let mut kept = http::HeaderMap::with_capacity(parts.headers.len());
        headers::copy_end_to_end(&parts.headers, &mut kept);
        let empty = method == http::Method::HEAD
            || parts.status == http::StatusCode::NO_CONTENT
            || parts.status == http::StatusCode::NOT_MODIFIED;
        if method == http::Method::HEAD
            && let Some(value) = parts.headers.get(header::CONTENT_LENGTH)
        {
            kept.insert(header::CONTENT_LENGTH, value.clone());
        }
        let length = match parts.headers.contains_key(header::TRANSFER_ENCODING) {
            true => None,
            false => content_length(&parts.headers),
        };
        let body = Reply {
            reader: Some(body.into_reader()),
            binding,
            length: if empty { Some(0) } else { length },
            received: 0,
            framed: empty || length.is_some() || is_chunked(&parts.headers),
        };
        Self {
            status: parts.status,
            headers: kept,
            body,
        }
    }
}

impl Reply {
    /// Returns the length in bytes if it is known from the response's head.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Reads the whole body if its length is known and at most `limit` bytes, and
    /// returns `None` without reading otherwise.
    ///
    /// # Errors
    /// Returns the read error; the body is then incomplete.
    pub fn read_small(&mut self, limit: u64) -> io::Result<Option<Bytes>> {
        let Some(length) = self.length.filter(|length| *length <= limit) else {
            return Ok(None);
        };
        let mut data = Vec::with_capacity(length as usize + 1);
        self.read_to_end(&mut data)?;
        Ok(Some(Bytes::from(data)))
    }
}

impl Read for Reply {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        if !self.framed {
            self.reader = None;
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the response states neither a length nor chunks",
            ));
        }
        let Some(reader) = self.reader.as_mut() else {
            return Ok(0);
        };
        if buf.is_empty() {
            return Ok(0);
        }
        let count = match reader.read(buf) {
            Ok(count) => count,
            Err(error) => {
                self.reader = None;
                self.framed = false;
                return Err(map_timeout(error));
            }
        };
        self.received += count as u64;
        if count == 0 || self.length == Some(self.received) {
            // The caller may cancel its token once it has the last bytes. That
            // must not close a connection that returns to the pool.
            self.binding = None;
        }
        if count == 0 {
            self.reader = None;
            if self.length.is_some_and(|length| self.received != length) {
                self.framed = false;
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(count)
    }
}

impl std::fmt::Debug for Reply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reply")
            .field("length", &self.length)
            .field("seen", &self.received)
            .finish_non_exhaustive()
    }
}

fn map_timeout(error: io::Error) -> io::Error {
    let inner = error
        .get_ref()
        .and_then(|e| e.downcast_ref::<ureq::Error>());
    match inner {
        Some(ureq::Error::Timeout(_)) => io::ErrorKind::TimedOut.into(),
        _ => error,
    }
}

fn content_length(headers: &http::HeaderMap) -> Option<u64> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.trim().parse().ok()
}

fn is_chunked(headers: &http::HeaderMap) -> bool {
    headers
        .get(header::TRANSFER_ENCODING)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.trim().eq_ignore_ascii_case("chunked"))
}

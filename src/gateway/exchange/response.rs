//! Responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use crate::gateway::client;

/// Body of a response to a caller.
pub enum Body {
    /// The complete body, until it is read.
    Whole(Option<Bytes>),
    /// Chunks that are forwarded as they arrive.
    Streamed(tokio::sync::mpsc::Receiver<Result<Bytes, client::Failure>>),
}

/// The target's response ended before its body was complete.
#[derive(Debug, thiserror::Error)]
#[error("the target's response ended before its body was complete")]
pub struct Truncated;

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|data| Ok(Frame::data(data)))),
            Self::Streamed(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data).map_err(|_| Truncated))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Returns a response with a line of text.
fn text_response(status: u16, why: &'static str) -> http::Response<Body> {
    let text = format!("{why}\n");
    let mut response = http::Response::new(Body::Whole(Some(text.into())));
    if let Ok(status) = http::StatusCode::from_u16(status) {
        *response.status_mut() = status;
    }
    response
}

/// Returns the response to an invalid request.
pub(crate) fn client_error(status: u16, why: &'static str) -> http::Response<Body> {
    text_response(status, why)
}

/// Returns the response to a request that did not run and won't run. The caller may
/// retry after `delay` milliseconds.
pub(crate) fn refusal(why: &'static str, delay: u64) -> http::Response<Body> {
    let mut response = text_response(503, why);
    let seconds = format!("{:.3}", delay as f64 / 1_000.0);
    if let Ok(value) = seconds.parse() {
        response
            .headers_mut()
            .insert(http::header::RETRY_AFTER, value);
    }
    response
}

/// Returns the response to a request that may have run.
pub(crate) fn unknown_outcome(status: u16, why: &'static str) -> http::Response<Body> {
    text_response(status, why)
}

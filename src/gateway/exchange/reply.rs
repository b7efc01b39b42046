//! Answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use crate::gateway::client;

/// Body of an answer to a caller.
pub enum Body {
    /// All of it.
    Whole(Option<Bytes>),
    /// Parts that arrive one after the other.
    Parts(tokio::sync::mpsc::Receiver<Result<Bytes, client::Failure>>),
}

/// The target's answer ended before its body was complete.
#[derive(Debug, thiserror::Error)]
#[error("the target's answer ended early")]
pub struct Cut;

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|data| Ok(Frame::data(data)))),
            Self::Parts(parts) => parts
                .poll_recv(context)
                .map(|part| part.map(|part| part.map(Frame::data).map_err(|_| Cut))),
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
            Self::Parts(_) => SizeHint::default(),
        }
    }
}

fn plain(status: u16, why: &'static str) -> http::Response<Body> {
    let text = format!("{why}\n");
    let mut response = http::Response::new(Body::Whole(Some(text.into())));
    if let Ok(status) = http::StatusCode::from_u16(status) {
        *response.status_mut() = status;
    }
    response
}

/// Returns a refusal that says the request is faulty.
pub(crate) fn fault(status: u16, why: &'static str) -> http::Response<Body> {
    plain(status, why)
}

/// Returns a refusal that says the request has not run and never will, and may
/// come back after `pause` milliseconds.
pub(crate) fn refusal(why: &'static str, pause: u64) -> http::Response<Body> {
    let mut response = plain(503, why);
    let seconds = format!("{:.3}", pause as f64 / 1_000.0);
    if let Ok(value) = seconds.parse() {
        response
            .headers_mut()
            .insert(http::header::RETRY_AFTER, value);
    }
    response
}

/// Returns an answer that promises nothing: the request may have run.
pub(crate) fn unknown(status: u16, why: &'static str) -> http::Response<Body> {
    plain(status, why)
}

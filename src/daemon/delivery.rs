//! End of a response's body: complete, or cut off for a reason.

use std::io::{self, Read};

use crate::clock;
use crate::server;
use crate::token;

/// Why an answer was cut off before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Cut {
    /// The target ended the connection or broke the protocol.
    #[error("the target ended the connection before the end of its answer")]
    TargetEnded,
    /// The daemon that holds the target's lease ended the connection.
    #[error("the lease holder ended the connection before the end of the answer")]
    HolderEnded,
    /// The connection to the target ended after this daemon's lease on the target
    /// had become invalid.
    #[error("this daemon's lease on the target became invalid before the end of the answer")]
    RightLost,
    /// The caller's connection ended: the caller disconnected or did not read the
    /// answer in time, or a shutdown closed the connection at its drain limit.
    #[error("the caller's connection ended before the answer did")]
    CallerLeft,
    /// The request's deadline passed.
    #[error("the deadline passed before the end of the answer")]
    Deadline,
}

impl Cut {
    /// Returns the reason as metrics, logs and the list of recent requests show it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TargetEnded => "target_ended",
            Self::HolderEnded => "holder_ended",
            Self::RightLost => "right_lost",
            Self::CallerLeft => "caller_left",
            Self::Deadline => "deadline",
        }
    }

    /// Returns the reason that a read error carries, if any.
    pub fn from_error(error: &io::Error) -> Option<Self> {
        error.get_ref()?.downcast_ref().copied()
    }

    /// Returns the reason of a read error: the deadline if the read timed out or
    /// no time is left_ms, and `other` if not.
    pub fn classify(error: &io::Error, left_ms: u64, other: impl FnOnce() -> Self) -> Self {
        match error.kind() {
            io::ErrorKind::TimedOut => Self::Deadline,
            _ if left_ms == 0 => Self::Deadline,
            _ => other(),
        }
    }
}

impl From<Cut> for io::Error {
    fn from(cut: Cut) -> Self {
        Self::new(io::ErrorKind::ConnectionAborted, cut)
    }
}

/// Calls `on_end` once at the end of the response's body, with the reason if the
/// body was cut off, and with the number of bytes read.
///
/// `token` is cancelled when the caller disconnects. A body that is dropped
/// before its end counts as cut off by the caller.
pub fn follow(
    mut response: server::Response,
    token: &token::Token,
    on_end: impl FnOnce(Result<(), Cut>, u64) + Send + 'static,
) -> server::Response {
    response.body = match response.body {
        server::Body::Whole(data) => {
            on_end(Ok(()), data.len() as u64);
            server::Body::Whole(data)
        }
        server::Body::Stream(reader, length) => {
            let observed = ObservedBody {
                reader,
                token: token.clone(),
                on_end: Some(on_end),
                bytes_read: 0,
            };
            server::Body::Stream(Box::new(observed), length)
        }
    };
    response
}

/// A body that reports its end once.
struct ObservedBody<F: FnOnce(Result<(), Cut>, u64)> {
    reader: Box<dyn Read + Send>,
    token: token::Token,
    on_end: Option<F>,
    bytes_read: u64,
}

impl<F: FnOnce(Result<(), Cut>, u64)> ObservedBody<F> {
    fn finish(&mut self, result: Result<(), Cut>) {
        if let Some(on_end) = self.on_end.take() {
            on_end(result, self.bytes_read);
        }
    }

    fn truncation(&self, error: &io::Error) -> Cut {
        // When the caller's connection ends, the target's is closed too, so that
        // the read error itself doesn't tell the cause.
        match self.token.is_cancelled() {
            true => Cut::CallerLeft,
            false => Cut::from_error(error).unwrap_or(Cut::TargetEnded),
        }
    }
}

impl<F: FnOnce(Result<(), Cut>, u64)> Read for ObservedBody<F> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let result = self.reader.read(buf);
        match &result {
            Ok(0) if !buf.is_empty() => self.finish(Ok(())),
            Ok(count) => self.bytes_read += *count as u64,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => self.finish(Err(self.truncation(error))),
        }
        result
    }
}

impl<F: FnOnce(Result<(), Cut>, u64)> Drop for ObservedBody<F> {
    fn drop(&mut self) {
        self.finish(Err(Cut::CallerLeft));
    }
}

/// The body of a response that another daemon forwards.
pub struct RelayedBody<R> {
    /// The rest of the body.
    pub reader: R,
    /// Time at which the caller's deadline passes.
    pub deadline: clock::Millis,
}

impl<R: Read> Read for RelayedBody<R> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        self.reader.read(buf).map_err(|error| {
            let left_ms = self.deadline.since(clock::now());
            Cut::classify(&error, left_ms, || Cut::HolderEnded).into()
        })
    }
}

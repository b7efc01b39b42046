//! How the answer to a request ends once its head was passed on.

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
    /// The connection ended after this daemon had lost the right to act for the target.
    #[error("the right to act for the target ended before its answer did")]
    RightLost,
    /// The caller's connection ended: it left, did not read the answer in
    /// time, or was closed at the drain limit of a shutdown.
    #[error("the caller's connection ended before the answer did")]
    CallerLeft,
    /// The deadline passed.
    #[error("the deadline passed before the end of the answer")]
    Deadline,
}

impl Cut {
    /// Returns the reason as metrics, logs and lists name it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TargetEnded => "target_ended",
            Self::HolderEnded => "holder_ended",
            Self::RightLost => "right_lost",
            Self::CallerLeft => "caller_left",
            Self::Deadline => "deadline",
        }
    }

    /// Returns the reason inside an error of reading.
    pub fn of(error: &io::Error) -> Option<Self> {
        error.get_ref()?.downcast_ref().copied()
    }

    /// Returns why reading failed: the deadline if it has passed, or `other`.
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

/// Has `action` called once at the end of the response's body, with the reason
/// if it was cut off, and with the number of bytes that were read from it.
///
/// `token` is cancelled when the caller is gone. A body that is dropped before
/// its end counts as cut off by the caller.
pub fn follow(
    mut response: server::Response,
    token: &token::Token,
    action: impl FnOnce(Result<(), Cut>, u64) + Send + 'static,
) -> server::Response {
    response.body = match response.body {
        server::Body::Whole(data) => {
            action(Ok(()), data.len() as u64);
            server::Body::Whole(data)
        }
        server::Body::Stream(reader, length) => {
            let followed = Followed {
                reader,
                token: token.clone(),
                action: Some(action),
                seen: 0,
            };
            server::Body::Stream(Box::new(followed), length)
        }
    };
    response
}

struct Followed<F: FnOnce(Result<(), Cut>, u64)> {
    reader: Box<dyn Read + Send>,
    token: token::Token,
    action: Option<F>,
    seen: u64,
}

impl<F: FnOnce(Result<(), Cut>, u64)> Followed<F> {
    fn end(&mut self, result: Result<(), Cut>) {
        if let Some(action) = self.action.take() {
            action(result, self.seen);
        }
    }

    fn cut(&self, error: &io::Error) -> Cut {
        // The end of the caller's connection ends the target's as well.
        match self.token.is_cancelled() {
            true => Cut::CallerLeft,
            false => Cut::of(error).unwrap_or(Cut::TargetEnded),
        }
    }
}

impl<F: FnOnce(Result<(), Cut>, u64)> Read for Followed<F> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let result = self.reader.read(buf);
        match &result {
            Ok(0) if !buf.is_empty() => self.end(Ok(())),
            Ok(count) => self.seen += *count as u64,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => self.end(Err(self.cut(error))),
        }
        result
    }
}

impl<F: FnOnce(Result<(), Cut>, u64)> Drop for Followed<F> {
    fn drop(&mut self) {
        self.end(Err(Cut::CallerLeft));
    }
}

/// The rest of an answer that another daemon passes on.
pub struct Relayed<R> {
    /// Its body.
    pub reader: R,
    /// Time at which the caller's deadline passes.
    pub deadline: clock::Millis,
}

impl<R: Read> Read for Relayed<R> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        self.reader.read(buf).map_err(|error| {
            let left = self.deadline.since(clock::now());
            Cut::classify(&error, left, || Cut::HolderEnded).into()
        })
    }
}

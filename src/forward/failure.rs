//! Classification of requests that got no response.

use std::fmt;
use std::io;

use crate::forward::transport;

/// Whether a failed request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The request did not run: no byte of it was sent.
    NotRun,
    /// At least one byte was sent, and no complete response arrived.
    Unknown,
}

impl Outcome {
    /// Returns the name used in the header `outcome` and in JSON bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }

    /// Parses the name returned by [`Outcome::as_str`].
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "not_run" => Some(Self::NotRun),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Reason why an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The address refused the connection.
    Refused,
    /// The connection was not established in time.
    ConnectTimeout,
    /// The connection could not be established for another reason.
    Connect(io::ErrorKind),
    /// The timeout of the request expired.
    Timeout,
    /// The peer closed or reset the connection.
    Closed,
    /// The attempt was aborted.
    Cancelled,
    /// The caller's guard did not allow a write.
    GuardRefused,
    /// The body of the request could not be read from its source.
    Source(io::ErrorKind),
    /// Another I/O error on the connection.
    Io(io::ErrorKind),
    /// The request or the response violates HTTP.
    Protocol(String),
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => f.write_str("connection refused"),
            Self::ConnectTimeout => f.write_str("time-out while connecting"),
            Self::Connect(kind) => write!(f, "connecting failed: {kind}"),
            Self::Timeout => f.write_str("time-out"),
            Self::Closed => f.write_str("connection closed by the peer"),
            Self::Cancelled => f.write_str("aborted"),
            Self::GuardRefused => f.write_str("the guard no longer allows sending"),
            Self::Source(kind) => write!(f, "reading the request body failed: {kind}"),
            Self::Io(kind) => write!(f, "{kind}"),
            Self::Protocol(text) => write!(f, "protocol error: {text}"),
        }
    }
}

/// A request that got no response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{outcome}: {cause} after {written} bytes")]
pub struct Failure {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Reason why the attempt failed.
    pub cause: Cause,
    /// Number of bytes of the request that the kernel accepted for sending.
    pub written: u64,
    /// Whether the connection was reused from an earlier request.
    pub reused: bool,
}

impl Failure {
    pub(super) fn new(cause: Cause, call: &transport::Call) -> Self {
        let written = call.written();
        let outcome = match written {
            0 => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        Self {
            outcome,
            cause,
            written,
            reused: call.is_reused(),
        }
    }

    pub(super) fn classify(error: ureq::Error, call: &transport::Call) -> Self {
        Self::new(classify_cause(error, call), call)
    }
}

fn classify_cause(error: ureq::Error, call: &transport::Call) -> Cause {
    if call.is_aborted() {
        return Cause::Cancelled;
    }
    if call.was_refused() {
        return Cause::GuardRefused;
    }
    if let Some(kind) = call.source_error() {
        return Cause::Source(kind);
    }
    match error {
        ureq::Error::Timeout(_) if call.is_connecting() => Cause::ConnectTimeout,
        ureq::Error::Timeout(_) => Cause::Timeout,
        ureq::Error::Io(e) if call.is_connecting() => match e.kind() {
            io::ErrorKind::ConnectionRefused => Cause::Refused,
            kind => Cause::Connect(kind),
        },
        ureq::Error::Io(e) => match e.kind() {
            io::ErrorKind::UnexpectedEof
            | io::ErrorKind::BrokenPipe
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted => Cause::Closed,
            kind => Cause::Io(kind),
        },
        other => Cause::Protocol(other.to_string()),
    }
}

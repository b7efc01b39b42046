//! Refusals and their HTTP form: status, headers and JSON body.

use std::fmt;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use serde::Serialize;

use crate::forward::Outcome;
use crate::server::message;

const OUTCOME: HeaderName = HeaderName::from_static("outcome");
const REASON: HeaderName = HeaderName::from_static("outcome-reason");
const RETRY: HeaderName = HeaderName::from_static("outcome-retry");
const AFTER_MS: HeaderName = HeaderName::from_static("outcome-after-ms");
const LOCATION: HeaderName = HeaderName::from_static("outcome-location");

const MS_PER_SECOND: u64 = 1_000;

/// Lowest HTTP status of an error.
const MIN_ERROR_STATUS: u16 = 400;

/// Initial buffer size for a refusal as a message, in bytes.
const MESSAGE_BYTES: usize = 512;

macro_rules! reasons {
    ($($(#[$doc:meta])* $variant:ident $name:literal $status:ident,)*) => {
        /// Reason why a request got no response from its target.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Reason {
            $($(#[$doc])* $variant,)*
        }

        impl Reason {
            /// All reasons.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the name used in the header `outcome-reason`.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }

            fn status(self) -> StatusCode {
                match self {
                    $(Self::$variant => StatusCode::$status,)*
                }
            }
        }
    };
}

reasons! {
    /// Too many connections or queued requests.
    Overloaded "overloaded" SERVICE_UNAVAILABLE,
    /// The deadline has passed or can't be met.
    Deadline "deadline" SERVICE_UNAVAILABLE,
    /// This daemon no longer holds the lease on the target.
    Moved "moved" SERVICE_UNAVAILABLE,
    /// The shard is being moved.
    Moving "moving" SERVICE_UNAVAILABLE,
    /// The request arrived outside its home regions.
    WrongRegion "wrong_region" MISDIRECTED_REQUEST,
    /// The shard has no owner.
    NoOwner "no_owner" SERVICE_UNAVAILABLE,
    /// The target is in cold start and at its limit.
    TargetCold "target_cold" SERVICE_UNAVAILABLE,
    /// The target shed the request.
    Shed "shed" SERVICE_UNAVAILABLE,
    /// The tenant exceeds its share.
    Throttled "throttled" TOO_MANY_REQUESTS,
    /// The body is larger than allowed.
    TooLarge "too_large" PAYLOAD_TOO_LARGE,
    /// The head is larger than allowed.
    HeadTooLarge "head_too_large" REQUEST_HEADER_FIELDS_TOO_LARGE,
    /// The head or the body did not arrive in time.
    TooSlow "too_slow" REQUEST_TIMEOUT,
    /// The request violates the protocol or lacks a required part.
    Malformed "malformed" BAD_REQUEST,
    /// The daemon is shutting down.
    ShuttingDown "shutting_down" SERVICE_UNAVAILABLE,
    /// The daemon has no usable state yet, or can't interpret the log.
    NotReady "not_ready" SERVICE_UNAVAILABLE,
    /// The owner's failure domain, its lease holder or the target is unreachable.
    Unreachable "unreachable" SERVICE_UNAVAILABLE,
    /// No route matches the path.
    NoRoute "no_route" NOT_FOUND,
    /// The request was cancelled.
    Cancelled "cancelled" SERVICE_UNAVAILABLE,
    /// The connection to the target was lost.
    ConnectionLost "connection_lost" BAD_GATEWAY,
    /// The target's response violates the protocol or was truncated.
    BadResponse "bad_response" BAD_GATEWAY,
    /// This daemon's authority over the target ended before the response arrived.
    RightLost "right_lost" BAD_GATEWAY,
    /// An internal error of this daemon.
    Internal "internal" BAD_GATEWAY,
}

impl Reason {
    /// Returns the reason with that name in the header `outcome-reason`.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|reason| reason.as_str() == name)
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A refusal of a request, which states whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{outcome}: {reason}: {detail}")]
pub struct Refusal {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Reason for the refusal.
    pub reason: Reason,
    /// Whether a retry of the request can succeed.
    pub retry: bool,
    /// Time after which to retry, in milliseconds.
    pub after_ms: Option<u64>,
    /// Location to send the request to instead.
    pub location: Option<String>,
    /// Explanation for people; sent in the body only.
    pub detail: String,
}

/// JSON body of a refusal.
#[derive(Serialize)]
struct JsonBody<'a> {
    outcome: &'a str,
    reason: &'a str,
    retry: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    location: Option<&'a str>,
    detail: &'a str,
}

impl Refusal {
    /// Returns a refusal of a request that did not run. Whether a retry can
    /// succeed depends on the reason.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry: !matches!(
                reason,
                Reason::WrongRegion
                    | Reason::TooLarge
                    | Reason::HeadTooLarge
                    | Reason::Malformed
                    | Reason::NoRoute
            ),
            after_ms: None,
            location: None,
            detail: detail.into(),
        }
    }

    /// Returns a refusal of a request that may have run, without a retry.
    pub fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry: false,
            after_ms: None,
            location: None,
            detail: detail.into(),
        }
    }

    /// Sets the time after which to retry, in milliseconds.
    pub fn after(mut self, millis: u64) -> Self {
        self.after_ms = Some(millis);
        self
    }

    /// Sets the location to send the request to instead.
    pub fn at(mut self, location: impl Into<String>) -> Self {
        self.location = Some(location.into());
        self
    }

    /// Returns the HTTP status: one of 400, 404, 408, 413, 421, 429, 431 and
    /// 503 if the request did not run, and 502 or 504 otherwise.
    pub fn status(&self) -> StatusCode {
        match (self.outcome, self.reason) {
            (Outcome::Unknown, Reason::Deadline) => StatusCode::GATEWAY_TIMEOUT,
            (Outcome::Unknown, _) => StatusCode::BAD_GATEWAY,
            (Outcome::NotRun, reason) => match reason.status() {
                StatusCode::BAD_GATEWAY => StatusCode::SERVICE_UNAVAILABLE,
                status => status,
            },
        }
    }

    /// Parses a refusal from the response of another daemon. Returns
    /// `None` if the response is not a refusal. An unknown reason is read as
    /// `Unreachable` or `ConnectionLost`, so that the outcome is kept.
    /// `detail` stays empty.
    pub fn from_response(status: StatusCode, headers: &HeaderMap) -> Option<Self> {
        if status.as_u16() < MIN_ERROR_STATUS {
            return None;
        }
        let outcome = Outcome::from_name(header_text(headers, &OUTCOME)?)?;
        let fallback = match outcome {
            Outcome::NotRun => Reason::Unreachable,
            Outcome::Unknown => Reason::ConnectionLost,
        };
        let reason = header_text(headers, &REASON).and_then(Reason::from_name);
        Some(Self {
            outcome,
            reason: reason.unwrap_or(fallback),
            retry: header_text(headers, &RETRY) == Some("true"),
            after_ms: header_text(headers, &AFTER_MS).and_then(|value| value.parse().ok()),
            location: header_text(headers, &LOCATION).map(str::to_owned),
            detail: String::new(),
        })
    }

    /// Renders the refusal as a complete HTTP/1.1 response with `connection: close`.
    pub(super) fn to_message(&self) -> Bytes {
        use std::io::Write;
        let response = message::Response::from(self.clone());
        let message::Body::Whole(body) = response.body else {
            return Bytes::new();
        };
        let mut out = Vec::with_capacity(MESSAGE_BYTES);
        let status = response.status;
        let _ = write!(out, "HTTP/1.1 {} ", status.as_str());
        let _ = write!(out, "{}\r\n", status.canonical_reason().unwrap_or(""));
        for (name, value) in &response.headers {
            let _ = write!(out, "{name}: ");
            out.extend_from_slice(value.as_bytes());
            out.extend_from_slice(b"\r\n");
        }
        let _ = write!(
            out,
            "connection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        out.extend_from_slice(&body);
        Bytes::from(out)
    }

    fn json(&self) -> Bytes {
        let body = JsonBody {
            outcome: self.outcome.as_str(),
            reason: self.reason.as_str(),
            retry: self.retry,
            after_ms: self.after_ms,
            location: self.location.as_deref(),
            detail: &self.detail,
        };
        Bytes::from(serde_json::to_vec(&body).unwrap_or_default())
    }
}

impl From<Refusal> for message::Response {
    fn from(refusal: Refusal) -> Self {
        let mut response = Self::new(refusal.status(), message::Body::Whole(refusal.json()));
        let headers = &mut response.headers;
        let fixed = HeaderValue::from_static;
        headers.insert(header::CONTENT_TYPE, fixed("application/json"));
        headers.insert(OUTCOME, fixed(refusal.outcome.as_str()));
        headers.insert(REASON, fixed(refusal.reason.as_str()));
        headers.insert(RETRY, fixed(if refusal.retry { "true" } else { "false" }));
        if let Some(millis) = refusal.after_ms {
            headers.insert(AFTER_MS, millis.into());
            headers.insert(header::RETRY_AFTER, millis.div_ceil(MS_PER_SECOND).into());
        }
        if let Some(location) = &refusal.location
            && let Ok(value) = HeaderValue::from_str(location)
        {
            headers.insert(LOCATION, value);
        }
        response
    }
}

/// Returns a header's value if it is visible ASCII.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

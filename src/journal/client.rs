//! HTTP client of the log service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use serde::Deserialize;

use crate::model;

/// Timeout for connecting to the log service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a call to the log service, in addition to the wait of a long poll.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum size of a reply.
const MAX_REPLY_BYTES: u64 = 64 << 20;

/// Error of a call to the log service.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call failed; an append may nevertheless have taken effect.
    #[error("the log service at {addr} did not answer: {cause}")]
    Unavailable {
        /// Address of the log service.
        addr: SocketAddr,
        /// What the HTTP client reported.
        cause: String,
    },
    /// The log service returned an unexpected status.
    #[error("the log service at {addr} returned status {status}")]
    Status {
        /// Address of the log service.
        addr: SocketAddr,
        /// HTTP status.
        status: u16,
    },
    /// The record at the requested offset was deleted by retention.
    #[error("the log begins at {first}")]
    Truncated {
        /// First offset that is kept.
        first: model::Offset,
        /// Offset that the next appended record gets.
        next: model::Offset,
    },
}

/// A record as the log stores it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Offset in the log.
    pub offset: model::Offset,
    /// Encoded envelope.
    pub data: Arc<[u8]>,
}

/// Reply to a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// First offset that the log keeps.
    pub first: model::Offset,
    /// Offset that the next appended record gets.
    pub next: model::Offset,
    /// Consecutive records.
    pub records: Vec<Stored>,
}

#[derive(Deserialize)]
struct AppendReply {
    offset: model::Offset,
}

#[derive(Deserialize)]
struct RecordReply {
    offset: model::Offset,
    data: String,
}

#[derive(Deserialize)]
struct PageReply {
    first: model::Offset,
    next: model::Offset,
    #[serde(default)]
    records: Vec<RecordReply>,
}

impl TryFrom<PageReply> for Page {
    type Error = base64::DecodeError;

    fn try_from(reply: PageReply) -> Result<Self, Self::Error> {
        let decode = |record: RecordReply| {
            let data = base64::engine::general_purpose::STANDARD.decode(record.data)?;
            Ok(Stored {
                offset: record.offset,
                data: Arc::from(data),
            })
        };
        Ok(Self {
            first: reply.first,
            next: reply.next,
            records: reply
                .records
                .into_iter()
                .map(decode)
                .collect::<Result<_, _>>()?,
        })
    }
}

/// HTTP client of the log service at one address.
pub struct Client {
    addr: SocketAddr,
    agent: ureq::Agent,
}

impl Client {
    /// Returns a client of the log service at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(REPLY_TIMEOUT))
            .build();
        Self {
            addr,
            agent: config.new_agent(),
        }
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    /// After every error but a refused connection the record may be in the log.
    pub fn append(&self, record: &[u8]) -> Result<model::Offset, Error> {
        let url = format!("http://{}/append", self.addr);
        let response = self.agent.post(&url).send(record);
        let reply: AppendReply = self.parse(response)?;
        Ok(reply.offset)
    }

    /// Reads up to `max` records from `from` on, waiting up to `wait` if there is none yet.
    ///
    /// # Errors
    /// Returns [`Error::Truncated`] if the log no longer keeps `from`, and another
    /// error if the call fails.
    pub fn read(&self, from: model::Offset, max: usize, wait: Duration) -> Result<Page, Error> {
        let url = format!(
            "http://{}/read?from={from}&max={max}&wait_ms={}",
            self.addr,
            wait.as_millis()
        );
        let call = self.agent.get(&url).config();
        let response = call
            .timeout_global(Some(REPLY_TIMEOUT + wait))
            .build()
            .call();
        let reply: PageReply = self.parse(response)?;
        Page::try_from(reply).map_err(|error| self.unavailable(error))
    }

    fn parse<T: serde::de::DeserializeOwned>(
        &self,
        response: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<T, Error> {
        let mut response = response.map_err(|error| self.unavailable(error))?;
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(MAX_REPLY_BYTES);
        let bytes = body
            .read_to_vec()
            .map_err(|error| self.unavailable(error))?;
        match status {
            200 => serde_json::from_slice(&bytes).map_err(|error| self.unavailable(error)),
            410 => {
                let page: PageReply =
                    serde_json::from_slice(&bytes).map_err(|error| self.unavailable(error))?;
                Err(Error::Truncated {
                    first: page.first,
                    next: page.next,
                })
            }
            _ => Err(Error::Status {
                addr: self.addr,
                status,
            }),
        }
    }

    fn unavailable(&self, cause: impl std::fmt::Display) -> Error {
        Error::Unavailable {
            addr: self.addr,
            cause: cause.to_string(),
        }
    }
}

//! Client of a daemon's admin port.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;

use crate::admin;
use crate::cmd;
use crate::state;

/// Longest time for one call; a daemon takes up to 13 s to confirm a plan that
/// all others must know about.
const CALL: Duration = Duration::from_secs(20);

/// Longest time for a connection to open.
const CONNECT: Duration = Duration::from_secs(3);

/// Longest reply, in bytes.
const REPLY_BYTES: u64 = 256 << 20;

/// Client of a daemon's admin port.
pub struct Admin {
    address: SocketAddr,
    agent: ureq::Agent,
}

impl Admin {
    /// Returns a client of the daemon whose admin port is `address`.
    pub fn new(address: SocketAddr) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(CONNECT))
            .timeout_global(Some(CALL))
            .build();
        Self {
            address,
            agent: config.new_agent(),
        }
    }

    /// Gets a JSON document.
    ///
    /// # Errors
    /// Fails if the daemon does not answer, or answers that it can't say.
    pub fn json<T: DeserializeOwned>(&self, path: &str) -> Result<T, cmd::Error> {
        self.json_with(path, &[])
    }

    /// Gets a JSON document, with headers in the request.
    ///
    /// # Errors
    /// Fails if the daemon does not answer, or answers that it can't say.
    pub fn json_with<T: DeserializeOwned>(
        &self,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Result<T, cmd::Error> {
        let mut call = self.agent.get(format!("http://{}{path}", self.address));
        for (name, value) in headers {
            call = call.header(*name, *value);
        }
        let body = self.expect_ok(call.call())?;
        serde_json::from_slice(&body).map_err(|error| self.failed(error))
    }

    /// Returns the daemon's state.
    ///
    /// # Errors
    /// Fails if the daemon does not answer or has no state yet.
    pub fn state(&self) -> Result<state::State, cmd::Error> {
        let url = format!("http://{}/admin/state", self.address);
        let body = self.expect_ok(self.agent.get(url).call())?;
        state::snapshot::from_bytes(&body).map_err(|error| self.failed(error))
    }

    /// Confirms a plan.
    ///
    /// # Errors
    /// Fails if the daemon does not answer. If it may have received the plan,
    /// the error is [`cmd::Error::Undecided`].
    pub fn confirm(&self, plan: &[u8]) -> Result<admin::Confirmation, cmd::Error> {
        let url = format!("http://{}/admin/confirm", self.address);
        let response = self.agent.post(url).send(plan);
        let (status, body) = match response {
            Err(error) if !unsent(&error) => return Err(self.undecided(error)),
            response => self.read(response)?,
        };
        match status {
            200 | 409 | 503 => serde_json::from_slice(&body).map_err(|_| self.refused(&body)),
            _ => Err(self.refused(&body)),
        }
    }

    fn expect_ok(&self, response: Reply) -> Result<Vec<u8>, cmd::Error> {
        match self.read(response)? {
            (200, body) => Ok(body),
            (_, body) => Err(self.refused(&body)),
        }
    }

    fn read(&self, response: Reply) -> Result<(u16, Vec<u8>), cmd::Error> {
        let mut response = response.map_err(|error| self.failed(error))?;
        let body = response
            .body_mut()
            .with_config()
            .limit(REPLY_BYTES)
            .read_to_vec();
        Ok((
            response.status().as_u16(),
            body.map_err(|error| self.failed(error))?,
        ))
    }

    fn failed(&self, cause: impl ToString) -> cmd::Error {
        cmd::Error::Admin {
            address: self.address,
            cause: cause.to_string(),
        }
    }

    fn refused(&self, body: &[u8]) -> cmd::Error {
        cmd::Error::Refused {
            address: self.address,
            cause: String::from_utf8_lossy(body).trim().to_owned(),
        }
    }

    fn undecided(&self, cause: impl std::fmt::Display) -> cmd::Error {
        let address = self.address;
        cmd::Error::Undecided(format!(
            "the daemon at {address} did not answer ({cause}); confirm the same plan again to \
             learn what became of it"
        ))
    }
}

type Reply = Result<ureq::http::Response<ureq::Body>, ureq::Error>;

/// Returns whether an error proves that the request was not sent.
fn unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(ureq::Timeout::Connect) | ureq::Error::ConnectionFailed => true,
        _ => false,
    }
}

//! HTTP client of a target's control endpoints.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::RwLock;

use crate::target::grants;
use crate::target::wire;

/// Timeout of one call, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 150;

/// Maximum number of connection pools. All are dropped when one more is needed.
const MAX_POOLS: usize = 1_024;

/// Maximum size of a response body, in bytes.
const MAX_REPLY_BYTES: u64 = 64 << 10;

/// Error of a call without a usable reply.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The target refused or reset the connection.
    #[error("target at {0} refused or closed the connection: {1}")]
    Refused(SocketAddr, ureq::Error),
    /// The target did not answer in time.
    #[error("target at {0} did not answer within {CALL_TIMEOUT_MS} ms")]
    TimedOut(SocketAddr),
    /// The target has seen a higher fencing token.
    #[error("target at {0} has seen a higher fencing token, {highest:?}", highest = .1.highest)]
    Conflict(SocketAddr, wire::Conflict),
    /// The target's response does not follow the protocol.
    #[error("target at {0} sent an invalid response: {1}")]
    Answer(SocketAddr, String),
}

impl Error {
    /// Returns the failure to report to [`grants::Grants::on_failure`], or `None`
    /// for a conflict.
    pub fn failure(&self) -> Option<grants::Failure> {
        match self {
            Self::Refused(..) => Some(grants::Failure::Refused),
            Self::TimedOut(_) => Some(grants::Failure::TimedOut),
            Self::Answer(..) => Some(grants::Failure::Answer),
            Self::Conflict(..) => None,
        }
    }
}

/// Client for the control endpoints of all targets.
///
/// At most one max_idle connection is kept per target. A failed call drops its
/// connection, so the next call opens a new one.
///
/// Each target has its own pool, because a pool searches all of its connections
/// at each call: with 160 targets in one pool, the search took three quarters of
/// a daemon's processor time.
pub struct Client {
    pools: RwLock<HashMap<SocketAddr, ureq::Agent>>,
    /// Agent that keeps no max_idle connection.
    unpooled: ureq::Agent,
}

impl Default for Client {
    fn default() -> Self {
        Self {
            pools: RwLock::default(),
            unpooled: agent(0),
        }
    }
}

fn agent(max_idle: usize) -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_millis(CALL_TIMEOUT_MS)))
        .max_redirects(0)
        .max_redirects_will_error(false)
        .http_status_as_error(false)
        .proxy(None)
        .max_idle_connections_per_host(max_idle)
        .max_idle_connections(max_idle)
        .build()
        .new_agent()
}

impl Client {
    /// Returns a client without open connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends grants to the target at `target`.
    ///
    /// # Errors
    /// Fails if the target can't be reached, does not answer within
    /// [`CALL_TIMEOUT_MS`], has seen a higher fencing token, or sends an invalid response.
    pub fn grants(
        &self,
        target: SocketAddr,
        message: &wire::Message,
    ) -> Result<wire::Reply, Error> {
        self.send_grants(target, message, false)
    }

    /// Sends grants to the target at `target` on a new connection.
    ///
    /// # Errors
    /// Fails if the target can't be reached, does not answer within
    /// [`CALL_TIMEOUT_MS`], has seen a higher fencing token, or sends an invalid response.
    pub fn grants_fresh(
        &self,
        target: SocketAddr,
        message: &wire::Message,
    ) -> Result<wire::Reply, Error> {
        self.send_grants(target, message, true)
    }

    fn pool(&self, target: SocketAddr) -> ureq::Agent {
        if let Some(agent) = self.pools.read().get(&target) {
            return agent.clone();
        }
        let mut pools = self.pools.write();
        if pools.len() >= MAX_POOLS {
            pools.clear();
        }
        pools.entry(target).or_insert_with(|| agent(1)).clone()
    }

    fn send_grants(
        &self,
        target: SocketAddr,
        message: &wire::Message,
        fresh: bool,
    ) -> Result<wire::Reply, Error> {
        let body = serde_json::to_vec(message).map_err(|e| json_error(target, e))?;
        let agent = match fresh {
            true => self.unpooled.clone(),
            false => self.pool(target),
        };
        let (status, body) = post(&agent, target, "/control/grants", &body)?;
        match status {
            200 => serde_json::from_slice(&body).map_err(|e| json_error(target, e)),
            409 => {
                let conflict = serde_json::from_slice(&body);
                let conflict = conflict.map_err(|e| json_error(target, e))?;
                Err(Error::Conflict(target, conflict))
            }
            _ => Err(Error::Answer(target, format!("status {status}"))),
        }
    }

    /// Cancels the request `id` at the target and returns whether it was running.
    /// A successful response without a readable count is taken as running.
    ///
    /// # Errors
    /// Fails if the target does not confirm the cancellation.
    pub fn cancel(&self, target: SocketAddr, id: &str) -> Result<bool, Error> {
        let (status, body) = post(
            &self.pool(target),
            target,
            &format!("/control/cancel/{id}"),
            &[],
        )?;
        match status {
            200..=299 => {
                let reply = serde_json::from_slice::<wire::Cancelled>(&body);
                Ok(reply.map_or(true, |reply| reply.cancelled > 0))
            }
            _ => Err(Error::Answer(target, format!("status {status}"))),
        }
    }
}

fn post(
    agent: &ureq::Agent,
    target: SocketAddr,
    path: &str,
    body: &[u8],
) -> Result<(u16, Vec<u8>), Error> {
    let result = send(agent, &format!("http://{target}{path}"), body);
    result.map_err(|error| classify(target, error))
}

fn send(agent: &ureq::Agent, url: &str, body: &[u8]) -> Result<(u16, Vec<u8>), ureq::Error> {
    let request = agent.post(url).content_type("application/json");
    let mut response = request.send(body)?;
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(MAX_REPLY_BYTES);
    Ok((status, body.read_to_vec()?))
}

fn classify(target: SocketAddr, error: ureq::Error) -> Error {
    match error {
        ureq::Error::Timeout(_) => Error::TimedOut(target),
        ureq::Error::Io(io) if io.kind() == io::ErrorKind::TimedOut => Error::TimedOut(target),
        ureq::Error::Io(_) | ureq::Error::ConnectionFailed => Error::Refused(target, error),
        other => Error::Answer(target, other.to_string()),
    }
}

fn json_error(target: SocketAddr, error: serde_json::Error) -> Error {
    Error::Answer(target, error.to_string())
}

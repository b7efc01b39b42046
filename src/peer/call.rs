//! HTTP calls to other daemons.

use std::net::SocketAddr;
use std::time::Duration;

/// Returns an HTTP client whose calls time out after `timeout`.
pub fn agent(timeout: Duration) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(timeout))
        .build();
    config.new_agent()
}

/// Gets `path` from the daemon at `peer` and returns the body, at most `limit` bytes.
///
/// # Errors
/// Fails if the daemon does not answer in time, returns an error status or
/// sends more than `limit` bytes.
pub fn get(
    agent: &ureq::Agent,
    peer: SocketAddr,
    path: &str,
    limit: u64,
) -> Result<Vec<u8>, ureq::Error> {
    let mut response = agent.get(format!("http://{peer}{path}")).call()?;
    response.body_mut().with_config().limit(limit).read_to_vec()
}

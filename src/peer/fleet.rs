//! Queries to all daemons of the state, over their peer ports.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::model;
use crate::peer::{self, call};
use crate::state;

/// Timeout of the call to one daemon.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after which no further daemon is queried.
const ROUND_TIMEOUT: Duration = Duration::from_secs(6);

/// Maximum number of daemons queried in parallel.
const MAX_PARALLEL_CALLS: usize = 16;

/// Maximum size of a reply.
const MAX_REPLY_BYTES: u64 = 16 << 20;

/// A daemon whose answer is missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silent {
    /// Its host.
    pub host: model::HostName,
    /// Failure domain of the host.
    pub domain: model::DomainName,
    /// Its incarnation, 16 hexadecimal digits.
    pub incarnation: String,
    /// Error message.
    pub why: String,
}

/// Answers of all daemons, and the daemons that did not answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answers<T> {
    /// Answers, in the order of the daemons' incarnations.
    pub answers: Vec<T>,
    /// Daemons without an answer.
    pub silent: Vec<Silent>,
}

/// Queries `path` at every daemon of the state that is up, except this one,
/// `me`, whose answer is `own`.
pub fn ask<T>(state: &state::State, me: model::Incarnation, path: &str, own: T) -> Answers<T>
where
    T: DeserializeOwned + Send,
{
    let peers: Vec<_> = state.up_hosts().filter(|(id, _)| *id != me).collect();
    let agent = call::agent(CALL_TIMEOUT);
    let deadline = Instant::now() + ROUND_TIMEOUT;
    let next_index = AtomicUsize::new(0);
    let results = Mutex::new(Vec::with_capacity(peers.len()));
    let query = || {
        while let Some((id, host)) = peers.get(next_index.fetch_add(1, Ordering::Relaxed)) {
            let answer = match Instant::now() < deadline {
                true => get(&agent, host, path),
                false => Err(format!("not queried within {} s", ROUND_TIMEOUT.as_secs())),
            };
            results.lock().push((*id, *host, answer));
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..MAX_PARALLEL_CALLS.min(peers.len()) {
            scope.spawn(query);
        }
    });
    let mut answers = vec![(me, own)];
    let mut silent = Vec::new();
    let mut results = results.into_inner();
    results.sort_by_key(|(id, _, _)| *id);
    for (id, host, answer) in results {
        match answer {
            Ok(answer) => answers.push((id, answer)),
            Err(why) => silent.push(Silent {
                host: host.name.clone(),
                domain: host.domain.clone(),
                incarnation: id.to_string(),
                why,
            }),
        }
    }
    answers.sort_by_key(|(id, _)| *id);
    let answers = answers.into_iter().map(|(_, answer)| answer).collect();
    Answers { answers, silent }
}

/// Queries `path` at one daemon.
///
/// # Errors
/// Returns an error message if the call fails or the reply can't be decoded.
pub fn ask_one<T: DeserializeOwned>(host: &state::Host, path: &str) -> Result<T, String> {
    get(&call::agent(CALL_TIMEOUT), host, path)
}

fn get<T: DeserializeOwned>(
    agent: &ureq::Agent,
    host: &state::Host,
    path: &str,
) -> Result<T, String> {
    let body = call::get(agent, host.peer, path, MAX_REPLY_BYTES);
    let body = body.map_err(|error| error.to_string())?;
    peer::decode(&body).map_err(|error| error.to_string())
}

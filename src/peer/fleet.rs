//! Questions to all daemons of the state, over their ports for other daemons.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::model;
use crate::peer::{self, call};
use crate::state;

/// Longest time for one daemon's answer.
const CALL: Duration = Duration::from_millis(1_000);

/// Time after which no further daemon is asked.
const ROUND: Duration = Duration::from_secs(6);

/// Daemons asked at a time.
const ASKERS: usize = 16;

/// Largest answer, in bytes.
const REPLY_BYTES: u64 = 16 << 20;

/// A daemon that did not answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silent {
    /// Its host.
    pub host: model::HostName,
    /// Failure domain of the host.
    pub domain: model::DomainName,
    /// Its incarnation, 16 hexadecimal digits.
    pub incarnation: String,
    /// What happened instead.
    pub why: String,
}

/// Answers of all daemons, and those that did not answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answers<T> {
    /// Answers, in the order of the daemons' incarnations.
    pub answers: Vec<T>,
    /// Daemons without an answer.
    pub silent: Vec<Silent>,
}

/// Asks every up daemon of the state for `path`; `own` is the answer of this
/// daemon, `me`.
pub fn ask<T>(state: &state::State, me: model::Incarnation, path: &str, own: T) -> Answers<T>
where
    T: DeserializeOwned + Send,
{
    let others: Vec<_> = state.up_hosts().filter(|(id, _)| *id != me).collect();
    let agent = call::agent(CALL);
    let end = Instant::now() + ROUND;
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::with_capacity(others.len()));
    let run = || {
        while let Some((id, host)) = others.get(next.fetch_add(1, Ordering::Relaxed)) {
            let answer = match Instant::now() < end {
                true => get(&agent, host, path),
                false => Err(format!("not asked within {} s", ROUND.as_secs())),
            };
            results.lock().push((*id, *host, answer));
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..ASKERS.min(others.len()) {
            scope.spawn(run);
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

/// Asks one daemon for `path`.
///
/// # Errors
/// Says why there is no answer.
pub fn ask_one<T: DeserializeOwned>(host: &state::Host, path: &str) -> Result<T, String> {
    get(&call::agent(CALL), host, path)
}

fn get<T: DeserializeOwned>(
    agent: &ureq::Agent,
    host: &state::Host,
    path: &str,
) -> Result<T, String> {
    let body = call::get(agent, host.peer, path, REPLY_BYTES);
    let body = body.map_err(|error| error.to_string())?;
    peer::decode(&body).map_err(|error| error.to_string())
}

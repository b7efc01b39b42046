//! What admin ports answer, and comparisons of states.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use pistachiomoor::state;
use serde_json::Value;

use crate::caller::{Call, Caller};
use crate::fleet::CALL;

fn get(address: SocketAddr, path: &str) -> io::Result<Vec<u8>> {
    let answer = Caller::new(address, CALL).call(&Call::new("GET", path, "", b""))?;
    match answer.status {
        200 => Ok(answer.body),
        status => Err(io::Error::other(format!(
            "{path} was answered with {status}"
        ))),
    }
}

/// Returns whether a daemon is ready.
pub(super) fn is_ready(admin: SocketAddr) -> bool {
    get(admin, "/ready").is_ok()
}

/// Returns the number of targets for which a daemon may act.
pub(super) fn acting(admin: SocketAddr) -> usize {
    let status = get(admin, "/admin/status").ok();
    let status = status.and_then(|body| serde_json::from_slice::<Value>(&body).ok());
    let held = status.and_then(|status| status["held"].as_array().cloned());
    let held = held.unwrap_or_default();
    let acts = |held: &&Value| held["may_act"] == true && held["lost"] == false;
    held.iter().filter(acts).count()
}

/// Sums a metric of a daemon over its labels.
pub(super) fn metric(admin: SocketAddr, name: &str) -> f64 {
    let text = get(admin, "/metrics").unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    let samples = text.lines().filter(|line| !line.starts_with('#'));
    let samples = samples.filter_map(|line| line.rsplit_once(' '));
    let named = samples.filter(|(label, _)| label.split('{').next() == Some(name));
    named
        .filter_map(|(_, value)| value.parse::<f64>().ok())
        .sum()
}

/// Counts shards whose owner differs between two states.
pub fn moved(before: &state::State, after: &state::State) -> u64 {
    let owners = |state: &state::State| {
        let groups = state.groups.iter();
        let shards = groups.flat_map(|(id, group)| {
            let shards = group.iter().map(|(shard, owner)| {
                let owner = owner.map(|owner| owner.target.clone());
                ((id.clone(), shard), owner)
            });
            shards.collect::<Vec<_>>()
        });
        shards.collect::<BTreeMap<_, _>>()
    };
    let (before, after) = (owners(before), owners(after));
    let changed = after.iter().filter(|(shard, owner)| {
        let was = before.get(*shard);
        was.is_some_and(|was| was != *owner)
    });
    changed.count() as u64
}

//! Snapshots of the state, split into log records.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use crate::model;
use crate::state::check;
use crate::state::record::Body;
use crate::state::table::{Group, Ownership, State};

/// Largest number of parts of a snapshot.
const MAX_PARTS: u32 = 4_096;

/// Largest number of incomplete snapshots that a collector keeps.
const MAX_INCOMPLETE: usize = 4;

/// Error for bytes that are not a valid snapshot.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes can't be decoded.
    #[error("the snapshot can't be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// A group's table refers to a target that is not listed, or is too long.
    #[error("the table of group {0} in the snapshot is malformed")]
    Group(String),
}

/// Encoded form of a state, whose ownership tables are run-length encoded.
#[derive(Serialize, Deserialize)]
struct EncodedState {
    state: State,
    targets: Vec<model::TargetName>,
    groups: Vec<EncodedGroup>,
}

/// Encoded form of a placement group.
#[derive(Serialize, Deserialize)]
struct EncodedGroup {
    id: model::GroupId,
    runs: Vec<Run>,
    pinned: Vec<(model::KeyHash, u32, model::Offset)>,
    #[serde(default)]
    repinned: Option<model::Offset>,
}

/// Consecutive shards with the same owner: their number, and the owner's index
/// in the list of targets with the offset of the record that made it the owner.
#[derive(Serialize, Deserialize)]
struct Run(u32, Option<(u32, model::Offset)>);

/// Encodes a whole state. The size of a table depends on the number of runs of
/// shards with the same owner.
pub fn to_bytes(state: &State) -> Vec<u8> {
    let targets: Vec<_> = state.owned.keys().cloned().collect();
    let groups = state.groups.iter();
    let groups = groups.map(|(id, group)| encode_group(&targets, id, group));
    let encoded = EncodedState {
        groups: groups.collect(),
        state: State {
            groups: BTreeMap::new(),
            ..state.clone()
        },
        targets,
    };
    rmp_serde::to_vec_named(&encoded).expect("a state has only encodable types")
}

/// Decodes a whole state.
///
/// # Errors
/// Fails if the bytes are damaged or have an unknown format.
pub fn from_bytes(bytes: &[u8]) -> Result<State, Error> {
    let encoded: EncodedState = rmp_serde::from_slice(bytes)?;
    let mut state = encoded.state;
    for group in encoded.groups {
        let id = group.id.clone();
        let table = decode_group(&encoded.targets, group);
        let table = table.ok_or_else(|| Error::Group(id.to_string()))?;
        state.groups.insert(id, Arc::new(table));
    }
    Ok(state)
}

/// Encodes a snapshot of `state` as record bodies with at most `part_bytes` of
/// data each.
///
/// Parts are larger if there would be more than 4,096 of them.
pub fn encode(state: &State, part_bytes: usize) -> Vec<Body> {
    let bytes = to_bytes(state);
    let digest: [u8; 32] = sha2::Sha256::digest(&bytes).into();
    let size = part_bytes.max(bytes.len().div_ceil(MAX_PARTS as usize));
    let parts = bytes.len().div_ceil(size) as u32;
    let chunks = (0u32..).zip(bytes.chunks(size));
    let bodies = chunks.map(|(part, data)| Body::SnapshotPart {
        at: state.next,
        part,
        parts,
        digest,
        data: data.to_vec(),
    });
    bodies.collect()
}

/// Assembles snapshots from their parts.
#[derive(Debug, Default)]
pub struct Collector {
    /// Parts received, by their index.
    incomplete: BTreeMap<Key, BTreeMap<u32, Vec<u8>>>,
    /// Offset of the last snapshot returned.
    newest: Option<model::Offset>,
}

/// Identifies a snapshot: offset, digest and number of parts.
type Key = (model::Offset, [u8; 32], u32);

impl Collector {
    /// Takes a record's content, and returns the state if it completes a
    /// snapshot that is newer than any returned before.
    ///
    /// Parts may arrive in any order. Other records, duplicates, parts of older
    /// snapshots, and snapshots whose digest does not match are ignored.
    pub fn take(&mut self, body: &Body) -> Option<State> {
        let Body::SnapshotPart {
            at,
            part,
            parts,
            digest,
            data,
        } = body
        else {
            return None;
        };
        let old = self.newest.is_some_and(|newest| *at <= newest);
        if old || part >= parts || *parts > MAX_PARTS {
            return None;
        }
        let key = (*at, *digest, *parts);
        let received = self.incomplete.entry(key).or_default();
        received.entry(*part).or_insert_with(|| data.clone());
        if received.len() < *parts as usize {
            while self.incomplete.len() > MAX_INCOMPLETE {
                self.incomplete.pop_first();
            }
            return None;
        }
        let bytes: Vec<u8> = self
            .incomplete
            .remove(&key)?
            .into_values()
            .flatten()
            .collect();
        if sha2::Sha256::digest(&bytes).as_slice() != digest {
            return None;
        }
        let state = from_bytes(&bytes).ok()?;
        if state.next != *at {
            return None;
        }
        self.newest = Some(*at);
        self.incomplete.retain(|key, _| key.0 > *at);
        Some(state)
    }
}

fn encode_group(targets: &[model::TargetName], id: &model::GroupId, group: &Group) -> EncodedGroup {
    let index = |owner: &Ownership| {
        let found = targets.binary_search(&owner.target);
        found.expect("every owner is counted in `owned`") as u32
    };
    let runs = group.shards.chunk_by(|a, b| a == b).map(|run| {
        let owner = run[0].as_ref().map(|owner| (index(owner), owner.since));
        Run(run.len() as u32, owner)
    });
    let pinned = group.pinned.iter();
    EncodedGroup {
        id: id.clone(),
        runs: runs.collect(),
        pinned: pinned
            .map(|(&key, owner)| (key, index(owner), owner.since))
            .collect(),
        repinned: group.repinned,
    }
}

fn decode_group(targets: &[model::TargetName], encoded: EncodedGroup) -> Option<Group> {
    let owner = |index: u32, since| {
        let target = targets.get(index as usize)?.clone();
        Some(Ownership { target, since })
    };
    let mut group = Group {
        repinned: encoded.repinned,
        ..Group::default()
    };
    for Run(length, run) in encoded.runs {
        let end = group.shards.len() + length as usize;
        if end > check::MAX_SHARDS as usize {
            return None;
        }
        let run = match run {
            Some((index, since)) => Some(owner(index, since)?),
            None => None,
        };
        group.shards.resize(end, run);
    }
    for (key, index, since) in encoded.pinned {
        group.pinned.insert(key, owner(index, since)?);
    }
    Some(group)
}

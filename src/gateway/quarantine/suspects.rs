//! Requests that daemons suspect, whose next answer this daemon reports to them.

use std::collections::HashMap;

use crate::clock;
use crate::gateway::quarantine::Digest;
use crate::gateway::quarantine::crashes;
use crate::model;

/// Suspects that are kept; bounds memory.
pub(super) const CAPACITY: usize = 2_048;

/// Hosts that are told of an answer. More than two ask only while daemons disagree on
/// which daemons are live.
const MAX_ASKERS: usize = 4;

/// A request that is suspected.
#[derive(Clone, Debug)]
struct Suspect {
    /// Hosts that asked for answers.
    askers: Vec<model::HostName>,
    /// Time of the last question.
    asked: clock::Millis,
}

/// Suspected requests.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    known: HashMap<Digest, Suspect>,
}

impl Suspects {
    /// Returns the number of suspects.
    pub(super) fn len(&self) -> usize {
        self.known.len()
    }

    /// Records that `host` asks for answers to a request, and drops the suspect that was
    /// asked for longest ago if there are too many.
    pub(super) fn add(&mut self, digest: Digest, host: &model::HostName, now: clock::Millis) {
        if !self.known.contains_key(&digest) && self.known.len() >= CAPACITY {
            let known = self.known.iter();
            let oldest = known.min_by_key(|(digest, suspect)| (suspect.asked, **digest));
            if let Some(oldest) = oldest.map(|(digest, _)| *digest) {
                self.known.remove(&oldest);
            }
        }
        let suspect = self.known.entry(digest).or_insert_with(|| Suspect {
            askers: Vec::new(),
            asked: now,
        });
        suspect.asked = now;
        if !suspect.askers.contains(host) {
            if suspect.askers.len() == MAX_ASKERS {
                suspect.askers.remove(0);
            }
            suspect.askers.push(host.clone());
        }
    }

    /// Removes a request that is no longer suspected. Returns the hosts that asked for
    /// answers to it.
    pub(super) fn remove(&mut self, digest: Digest) -> Vec<model::HostName> {
        let suspect = self.known.remove(&digest);
        suspect.map_or_else(Vec::new, |suspect| suspect.askers)
    }

    /// Drops suspects that are too old.
    pub(super) fn expire(&mut self, now: clock::Millis) {
        self.known
            .retain(|_, suspect| now.since(suspect.asked) <= crashes::KEPT_MS);
    }
}

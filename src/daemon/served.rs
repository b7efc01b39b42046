//! Which targets are served, for the choice of where shards move.
//!
//! Only its lease holder knows whether a target is lost. Two holders that
//! evacuate lost targets, each to the other's, would pass the shards back and
//! forth, so that a plan asks the holders of its receivers first.

use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::Duration;

use crate::admin::status;
use crate::model;
use crate::peer::{self, call};
use crate::placement;
use crate::state;
use crate::tables;

/// Longest wait for a holder's answer. A holder that is silent for longer
/// loses its leases soon.
const ASK: Duration = Duration::from_millis(150);

/// Holders that are asked at the same time.
const ASKED_AT_ONCE: usize = 32;

/// Largest answer of a holder, in bytes.
const REPLY_BYTES: u64 = 1 << 20;

impl tables::Shared {
    /// Plans moves of shards to targets that are served.
    ///
    /// `plan` is called with the newest state, in which targets that are not
    /// served take no work, until all receivers are served.
    pub fn plan_served(
        &self,
        plan: impl Fn(&state::State) -> Vec<placement::Transfer>,
    ) -> Vec<placement::Transfer> {
        let mut state = (*self.journal.state()).clone();
        let mut served = BTreeSet::new();
        loop {
            let transfers = plan(&state);
            let receivers = transfers.iter().map(|transfer| &transfer.to);
            let unknown: BTreeSet<_> = receivers
                .filter(|to| !served.contains(*to))
                .cloned()
                .collect();
            let lost = self.unserved(&state, &unknown);
            let (down, up): (Vec<_>, Vec<_>) =
                unknown.into_iter().partition(|to| lost.contains(to));
            if down.is_empty() {
                return transfers;
            }
            served.extend(up);
            for target in down {
                log::info!("{target} is not served, so that no shard moves to it");
                if let Some(target) = state.config_mut().targets.get_mut(&target) {
                    target.standing = state::Standing::Out;
                }
            }
        }
    }

    /// Returns those of `targets` whose holder does not answer or says that the
    /// target does not. All holders are asked at the same time, each once.
    fn unserved(
        &self,
        state: &state::State,
        targets: &BTreeSet<model::TargetName>,
    ) -> BTreeSet<model::TargetName> {
        let mut lost = BTreeSet::new();
        let mut holders: BTreeMap<_, (&state::Host, Vec<&model::TargetName>)> = BTreeMap::new();
        for target in targets {
            match (self.keeper(target), state.holder(target)) {
                (Some(keeper), _) if !keeper.is_lost() => {}
                (None, Some((id, host))) => {
                    let asked = holders.entry(id).or_insert((host, Vec::new()));
                    asked.1.push(target);
                }
                _ => {
                    lost.insert(target.clone());
                }
            }
        }
        let holders: Vec<_> = holders.into_values().collect();
        for chunk in holders.chunks(ASKED_AT_ONCE) {
            let answers = thread::scope(|scope| {
                let asked: Vec<_> = chunk
                    .iter()
                    .map(|(host, _)| scope.spawn(|| ask(host)))
                    .collect();
                let answers = asked.into_iter().map(|asked| asked.join().ok().flatten());
                answers.collect::<Vec<_>>()
            });
            for ((_, targets), answer) in chunk.iter().zip(answers) {
                let unserved = targets
                    .iter()
                    .filter(|target| !serves(answer.as_ref(), target));
                lost.extend(unserved.map(|target| (*target).clone()));
            }
        }
        lost
    }
}

fn serves(status: Option<&status::Status>, target: &model::TargetName) -> bool {
    let mut held = status.into_iter().flat_map(|status| &status.held);
    held.any(|held| held.target == *target && !held.lost)
}

fn ask(host: &state::Host) -> Option<status::Status> {
    let agent = call::agent(ASK);
    let body = call::get(&agent, host.peer, "/peer/status", REPLY_BYTES).ok()?;
    peer::decode(&body).ok()
}

//! Plans moves of shards only to targets whose lease holder reports them
//! available.
//!
//! Only its lease holder knows whether a target is lost. Two holders that each
//! move the shards of a lost target to the other's lost target would move them
//! back and forth. Planning therefore asks the holders of the receiving targets.

use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::Duration;

use crate::admin::status;
use crate::model;
use crate::peer::{self, call};
use crate::placement;
use crate::state;
use crate::tables;

/// Timeout of a status request to a lease holder. A holder that does not answer
/// for longer is likely to lose its leases soon.
const STATUS_TIMEOUT: Duration = Duration::from_millis(150);

/// Most status requests in flight at the same time.
const MAX_STATUS_REQUESTS: usize = 32;

/// Largest accepted status of a holder.
const MAX_STATUS_BYTES: u64 = 1 << 20;

impl tables::Shared {
    /// Plans moves of shards to targets that are available.
    ///
    /// Calls `plan` with the newest state, in which unavailable targets are marked
    /// as taking no new work, until all receivers of the plan are available.
    pub fn plan_served(
        &self,
        plan: impl Fn(&state::State) -> Vec<placement::Transfer>,
    ) -> Vec<placement::Transfer> {
        let mut state = (*self.journal.state()).clone();
        let mut checked = BTreeSet::new();
        loop {
            let transfers = plan(&state);
            let receivers = transfers.iter().map(|transfer| &transfer.to);
            let unchecked: BTreeSet<_> = receivers
                .filter(|to| !checked.contains(*to))
                .cloned()
                .collect();
            let lost = self.find_unavailable(&state, &unchecked);
            let (unavailable, available): (Vec<_>, Vec<_>) =
                unchecked.into_iter().partition(|to| lost.contains(to));
            if unavailable.is_empty() {
                return transfers;
            }
            checked.extend(available);
            for target in unavailable {
                log::info!("{target} is unavailable, so that no shard moves to it");
                if let Some(target) = state.config_mut().targets.get_mut(&target) {
                    target.standing = state::Standing::Out;
                }
            }
        }
    }

    /// Returns those of `targets` that have no lease holder, or whose holder does
    /// not answer, reports the target as lost or does not list it. Each other
    /// daemon is asked once, up to [`MAX_STATUS_REQUESTS`] at the same time.
    fn find_unavailable(
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
                    let entry = holders.entry(id).or_insert((host, Vec::new()));
                    entry.1.push(target);
                }
                _ => {
                    lost.insert(target.clone());
                }
            }
        }
        let holders: Vec<_> = holders.into_values().collect();
        for chunk in holders.chunks(MAX_STATUS_REQUESTS) {
            let answers = thread::scope(|scope| {
                let requests: Vec<_> = chunk
                    .iter()
                    .map(|(host, _)| scope.spawn(|| fetch_status(host)))
                    .collect();
                let answers = requests
                    .into_iter()
                    .map(|request| request.join().ok().flatten());
                answers.collect::<Vec<_>>()
            });
            for ((_, targets), answer) in chunk.iter().zip(answers) {
                let unavailable = targets
                    .iter()
                    .filter(|target| !is_available(answer.as_ref(), target));
                lost.extend(unavailable.map(|target| (*target).clone()));
            }
        }
        lost
    }
}

/// Returns whether a holder's status lists the target as held and not lost.
fn is_available(status: Option<&status::Status>, target: &model::TargetName) -> bool {
    let mut held = status.into_iter().flat_map(|status| &status.held);
    held.any(|held| held.target == *target && !held.lost)
}

/// Fetches the status of another daemon, or returns `None` if that fails.
fn fetch_status(host: &state::Host) -> Option<status::Status> {
    let agent = call::agent(STATUS_TIMEOUT);
    let body = call::get(&agent, host.peer, "/peer/status", MAX_STATUS_BYTES).ok()?;
    peer::decode(&body).ok()
}

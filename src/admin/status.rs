//! What a daemon holds and knows.

use serde::{Deserialize, Serialize};

use crate::model;
use crate::peer::fleet;
use crate::tables;

/// Short account of a daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Host of the daemon.
    pub host: model::HostName,
    /// Failure domain of the host.
    pub domain: model::DomainName,
    /// Region of the failure domain.
    pub region: model::RegionName,
    /// Incarnation, 16 hexadecimal digits.
    pub incarnation: String,
    /// Version of the program.
    pub version: String,
    /// Whether the balancer should send requests.
    pub ready: bool,
    /// Why it stopped following the log, if it did.
    pub halted: Option<String>,
    /// Next offset of its state.
    pub next: model::Offset,
    /// Highest next offset that it has heard of.
    pub end_seen: model::Offset,
    /// Leases that it backs up.
    pub backed: usize,
    /// Targets whose lease it holds.
    pub held: Vec<Held>,
}

/// A target whose lease a daemon holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Held {
    /// The target.
    pub target: model::TargetName,
    /// Whether the target is declared lost.
    pub lost: bool,
    /// Whether the daemon may act for it now.
    pub may_act: bool,
    /// Requests that the target may serve at a time, at present.
    pub limit: u32,
    /// Requests that it serves.
    pub running: usize,
    /// Requests that wait for it.
    pub waiting: usize,
}

/// Returns the account of this daemon.
pub fn status(shared: &tables::Shared) -> Status {
    let keepers: Vec<_> = shared.keepers.read().values().cloned().collect();
    let held = keepers.iter().map(|keeper| {
        let (limit, running, waiting) = keeper
            .admission
            .step(|core, _| (core.limit(), core.running(), core.waiting()));
        Held {
            target: keeper.target.clone(),
            lost: keeper.is_lost(),
            may_act: shared.may_act(&keeper.target).is_ok(),
            limit,
            running,
            waiting,
        }
    });
    let mut held: Vec<_> = held.collect();
    held.sort_by(|a, b| a.target.cmp(&b.target));
    Status {
        host: shared.settings.host.clone(),
        domain: shared.settings.domain.clone(),
        region: shared.settings.region.clone(),
        incarnation: shared.me.to_string(),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        ready: shared.is_ready(),
        halted: shared.journal.halted(),
        next: shared.journal.state().next,
        end_seen: shared.journal.end_seen(),
        backed: shared.leases.lock().backed().count(),
        held,
    }
}

/// Returns the accounts of all daemons.
pub fn all(shared: &tables::Shared) -> fleet::Answers<Status> {
    fleet::ask(
        &shared.journal.state(),
        shared.me,
        "/peer/status",
        status(shared),
    )
}

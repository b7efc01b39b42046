//! Status of a daemon and of the targets it knows, for operators.

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::finding;
use crate::gateway::adapter;
use crate::gateway::registry;
use crate::gateway::shared::Shared;
use crate::model;

/// Status of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Host of the daemon.
    pub host: model::HostName,
    /// Whether the daemon can serve callers.
    pub ready: bool,
    /// Version of the configuration in effect, if there is one.
    pub version: Option<u64>,
    /// What of that configuration could not be read and is not in effect.
    #[serde(default)]
    pub skipped: Vec<String>,
    /// Failure domains that operators drain.
    #[serde(rename = "taken_out")]
    pub drained_domains: Vec<model::DomainName>,
    /// Number of daemons heard from or first listed within the last 60 s, including this
    /// one.
    pub daemons: u32,
    /// Host of the coordinator, as named in the key table.
    #[serde(rename = "steward")]
    pub coordinator: Option<model::HostName>,
    /// All targets that the daemon knows.
    pub targets: Vec<Target>,
}

/// Status of a target as this daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the target.
    pub target: model::TargetName,
    /// Service that the target provides.
    pub service: model::ServiceName,
    /// Failure domain of the target.
    pub domain: model::DomainName,
    /// `ready` or `draining`.
    pub state: String,
    /// Whether the target is still warming up.
    pub cold: bool,
}

/// Returns the status of this daemon.
pub(crate) fn read(shared: &Shared) -> Status {
    let now = clock::now();
    let registry = shared.registry.borrow();
    let catalog = shared.catalog.borrow();
    let table = shared.table.borrow();
    Status {
        host: shared.settings.host.clone(),
        ready: shared.is_ready(),
        version: catalog.as_ref().map(|catalog| catalog.version()),
        skipped: catalog.as_ref().map_or_else(Vec::new, |catalog| {
            let findings = catalog.skipped().0.iter();
            findings.map(finding::Finding::summary).collect()
        }),
        drained_domains: shared.drained_domains.borrow().keys().cloned().collect(),
        daemons: shared.peers.borrow().count_live(now),
        coordinator: table.as_ref().map(|(_, table)| table.host.clone()),
        targets: registry
            .iter()
            .map(|target| target_status(target.as_ref(), now))
            .collect(),
    }
}

fn target_status(target: &registry::Target, now: clock::Millis) -> Target {
    let state = match target.state {
        adapter::EntryState::Ready => "ready",
        adapter::EntryState::Draining => "draining",
    };
    Target {
        target: target.name.clone(),
        service: target.service.clone(),
        domain: target.domain.clone(),
        state: state.to_owned(),
        cold: target.is_cold(now),
    }
}

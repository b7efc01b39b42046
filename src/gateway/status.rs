//! What a daemon knows, as operators read it.

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::gateway::dialect;
use crate::gateway::registry;
use crate::gateway::shared::Shared;
use crate::model;

/// Status of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Host of the daemon.
    pub host: model::HostName,
    /// Whether it can serve callers.
    pub ready: bool,
    /// Version of the configuration in effect.
    pub version: Option<u64>,
    /// Failure domains that are taken out.
    pub taken_out: Vec<model::DomainName>,
    /// Daemons heard within 60 s, this one included.
    pub daemons: u32,
    /// Host of the steward.
    pub steward: Option<model::HostName>,
    /// Targets.
    pub targets: Vec<Target>,
}

/// A target as the daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name.
    pub target: model::TargetName,
    /// Service that it provides.
    pub service: model::ServiceName,
    /// Failure domain.
    pub domain: model::DomainName,
    /// `ready` or `draining`.
    pub state: String,
    /// Whether it is cold.
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
        taken_out: shared.taken_out.borrow().keys().cloned().collect(),
        daemons: shared.peers.borrow().live(now),
        steward: table.as_ref().map(|(_, table)| table.host.clone()),
        targets: registry
            .iter()
            .map(|target| view(target.as_ref(), now))
            .collect(),
    }
}

fn view(target: &registry::Target, now: clock::Millis) -> Target {
    let state = match target.state {
        dialect::EntryState::Ready => "ready",
        dialect::EntryState::Draining => "draining",
    };
    Target {
        target: target.name.clone(),
        service: target.service.clone(),
        domain: target.domain.clone(),
        state: state.to_owned(),
        cold: target.is_cold(now),
    }
}

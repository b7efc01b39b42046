//! Who answers for a request, since which record and why, and what would be refused.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::admin::confirm::{self, Origin};
use crate::model;
use crate::route;
use crate::state;
use crate::tables;

/// Who answers for a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Explanation {
    /// Host of the daemon that explains.
    pub host: model::HostName,
    /// Next offset of its state.
    pub next: model::Offset,
    /// Label of the request's tenant, without its name, if it names one.
    pub tenant: Option<String>,
    /// What happens to the request in each region.
    pub regions: Vec<Region>,
    /// What the request leads to, if some region resolves it.
    pub place: Option<Place>,
}

/// What happens to a request that arrives in a region.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Region {
    /// The region.
    pub region: model::RegionName,
    /// Why it is refused there, not run; `None` if it is forwarded.
    pub refused: Option<String>,
}

/// Where a request goes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Place {
    /// Service.
    pub service: model::ServiceName,
    /// Home regions; empty means every region.
    pub homes: Vec<model::RegionName>,
    /// Placement group.
    pub group: String,
    /// Route and tenant that the placement group follows from.
    pub bindings: Vec<Binding>,
    /// Shard and owner, if the service is keyed.
    pub owner: Option<Owner>,
    /// Targets that may serve requests or receive shards of the group.
    pub candidates: Vec<model::TargetName>,
    /// What stands in the way of an answer now.
    pub obstacles: Vec<String>,
}

/// A route or tenant, and who decided its binding.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Binding {
    /// Label of the object.
    pub object: String,
    /// Record of its last change.
    pub record: model::Offset,
    /// Who decided it, if the log still has the record.
    pub origin: Option<Origin>,
}

/// Owner of a shard and the lease on it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Owner {
    /// Shard.
    pub shard: String,
    /// Target that owns it.
    pub target: model::TargetName,
    /// Failure domain of the target.
    pub domain: Option<model::DomainName>,
    /// Record that made it the owner.
    pub since: model::Offset,
    /// What the record was and why it was written.
    pub why: String,
    /// The operator's change that led to it, if one did.
    pub origin: Option<Origin>,
    /// Lease on the target.
    pub lease: Option<Lease>,
}

/// A lease with the hosts of its daemons.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Lease {
    /// Record of the lease.
    pub record: model::Offset,
    /// Host of the holder.
    pub holder: Option<model::HostName>,
    /// Incarnation of the holder, 16 hexadecimal digits.
    pub incarnation: String,
    /// Host of the backup.
    pub backup: Option<model::HostName>,
}

/// Explains a request for `path` with headers such as `key` and `tenant`.
pub fn explain(shared: &tables::Shared, path: &str, headers: &http::HeaderMap) -> Explanation {
    let view = shared.view();
    let state = &view.state;
    let domains = state.config.domains.values();
    let mut names: BTreeSet<_> = domains.map(|domain| domain.region.clone()).collect();
    names.insert(shared.settings.region.clone());
    let tenant = headers.get("tenant").map(|name| {
        let hash = route::tenant_hash(name.as_bytes());
        format!("tenant/{:016x}", hash.0)
    });
    let mut place = None;
    let mut regions = Vec::new();
    for region in names {
        let result = route::Table::new(state, &region).resolve(path, headers);
        let refused = result.as_ref().err().map(refusal);
        regions.push(Region { region, refused });
        if let (None, Ok(resolved)) = (&place, result) {
            let labels = route_label(state, path).into_iter().chain(tenant.clone());
            let bindings = labels.filter_map(|label| binding(shared, state, label));
            let bindings = bindings.collect();
            place = Some(self::place(shared, state, &resolved, bindings));
        }
    }
    Explanation {
        host: shared.settings.host.clone(),
        next: state.next,
        tenant,
        regions,
        place,
    }
}

fn refusal(why: &route::Refused) -> String {
    match why {
        route::Refused::WrongRegion { addresses } => match addresses.first() {
            Some(address) => format!("{why}; a daemon there is {address}"),
            None => format!("{why}; no daemon there is up"),
        },
        _ => why.to_string(),
    }
}

/// Returns the label of the longest route that leads from a path.
fn route_label(state: &state::State, path: &str) -> Option<String> {
    let leads = |prefix: &&String| {
        let rest = path.strip_prefix(prefix.trim_end_matches('/'));
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    let prefixes = state.config.routes.keys().filter(leads);
    let longest = prefixes.max_by_key(|prefix| prefix.len());
    longest.map(|prefix| format!("route/{prefix}"))
}

fn binding(shared: &tables::Shared, state: &state::State, object: String) -> Option<Binding> {
    let record = *state.config.changed.get(&object)?;
    Some(Binding {
        object,
        record,
        origin: confirm::origin(shared, record),
    })
}

fn place(
    shared: &tables::Shared,
    state: &state::State,
    resolved: &route::Resolved,
    bindings: Vec<Binding>,
) -> Place {
    let owned = resolved
        .key
        .and_then(|key| state.owner(&resolved.group, key));
    let candidates = state.candidates(&resolved.group).into_iter();
    let candidates: Vec<_> = candidates.map(|target| target.name.clone()).collect();
    let obstacles = match owned {
        Some((_, owner)) => owner_obstacles(state, &owner.target),
        None if resolved.key.is_some() => vec!["no target owns this key's shard".to_owned()],
        None if candidates.is_empty() => vec!["no target of the group takes work".to_owned()],
        None => Vec::new(),
    };
    Place {
        service: resolved.service.name.clone(),
        homes: resolved.group.regions.clone(),
        group: resolved.group.to_string(),
        bindings,
        owner: owned.map(|(shard, owner)| self::owner(shared, state, shard, owner)),
        candidates,
        obstacles,
    }
}

fn owner_obstacles(state: &state::State, target: &model::TargetName) -> Vec<String> {
    let mut obstacles = Vec::new();
    if !state.takes_work(target) {
        obstacles.push(format!(
            "target {target} or its failure domain is out; its shards move away"
        ));
    }
    match state.holder(target) {
        None => obstacles.push(format!("no up daemon holds the lease on {target}")),
        Some((id, host)) => {
            if let Some(at) = host.silent {
                obstacles.push(format!(
                    "the lease holder {id} on {} is silent since record {at}",
                    host.name
                ));
            }
        }
    }
    obstacles
}

fn owner(
    shared: &tables::Shared,
    state: &state::State,
    shard: model::Shard,
    owner: &state::Ownership,
) -> Owner {
    let target = state.config.targets.get(&owner.target);
    let record = confirm::read(shared, owner.since);
    let (why, origin) = match record {
        Some(envelope) => reason(shared, state, &envelope),
        None => (
            "the log no longer has this record, or does not answer".to_owned(),
            None,
        ),
    };
    Owner {
        shard: shard.to_string(),
        target: owner.target.clone(),
        domain: target.map(|target| target.domain.clone()),
        since: owner.since,
        why,
        origin,
        lease: lease(state, &owner.target),
    }
}

fn lease(state: &state::State, target: &model::TargetName) -> Option<Lease> {
    let lease = state.leases.get(target)?;
    let name = |id: &model::Incarnation| Some(state.hosts.get(id)?.name.clone());
    Some(Lease {
        record: lease.offset,
        holder: name(&lease.holder),
        incarnation: lease.holder.to_string(),
        backup: lease.backup.as_ref().and_then(name),
    })
}

/// Says what a record that made a target the owner was, and which change of
/// the configuration led to it.
fn reason(
    shared: &tables::Shared,
    state: &state::State,
    envelope: &state::Envelope,
) -> (String, Option<Origin>) {
    let writer = match state.hosts.get(&envelope.writer) {
        Some(host) => format!("daemon {} on {}", envelope.writer, host.name),
        None => format!("daemon {}", envelope.writer),
    };
    match &envelope.body {
        state::Body::Assign { .. } => {
            let text = format!("first assignment of the group's shards, by {writer}");
            (text, None)
        }
        state::Body::Pin { .. } => (
            format!("the key became hot and was pinned, by {writer}"),
            None,
        ),
        state::Body::Move { from, .. } => {
            let cause = cause(state, from);
            let origin = cause.and_then(|at| confirm::origin(shared, at));
            let text = match cause {
                Some(at) => format!(
                    "move from {from} by {writer}; {from} or its domain was taken out by record {at}"
                ),
                None => format!(
                    "move from {from} by {writer}, to even out load or because {from} was lost"
                ),
            };
            (text, origin)
        }
        _ => ("a record of another kind".to_owned(), None),
    }
}

/// Returns the change that took a target or its failure domain out, if it is out.
fn cause(state: &state::State, target: &model::TargetName) -> Option<model::Offset> {
    if state.takes_work(target) {
        return None;
    }
    let changed = &state.config.changed;
    let domain = &state.config.targets.get(target)?.domain;
    let labels = [format!("target/{target}"), format!("domain/{domain}")];
    labels
        .iter()
        .filter_map(|label| changed.get(label))
        .max()
        .copied()
}

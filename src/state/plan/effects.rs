//! Effects of a plan's changes, predicted by a dry run.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::model;
use crate::placement;
use crate::state::config::{Change, Config, Standing};
use crate::state::table::State;

/// The whole of a share in millionths.
const WHOLE_PPM: u64 = 1_000_000;

/// Millionths in one percent.
const PPM_PER_PERCENT: f64 = 10_000.0;

/// Predicted effects of a plan's changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effects {
    /// Targets that stop taking new work.
    pub stops: Vec<model::TargetName>,
    /// Targets that start taking new work.
    pub starts: Vec<model::TargetName>,
    /// Shards that will move because of the plan.
    pub moves: Vec<Flow>,
    /// Labels of routes and tenants whose binding changes.
    pub bindings: Vec<String>,
    /// Requests that will be refused because of the plan.
    pub refused: Vec<Refusal>,
    /// Risks that the operator should know before confirming.
    pub warnings: Vec<String>,
}

/// Shards of a group that will move between two targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flow {
    /// Placement group, written as `service@region`.
    pub group: String,
    /// Current owner.
    pub from: model::TargetName,
    /// New owner.
    pub to: model::TargetName,
    /// Number of hash shards.
    pub shards: usize,
    /// Number of pinned keys.
    pub pinned: usize,
    /// Share of the group's hash shards, in millionths; the share of its keys is
    /// about the same.
    pub share_ppm: u64,
}

/// Requests that no target may serve, by route and tenant binding.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Refusal {
    /// Path prefix of the requests.
    pub route: String,
    /// Regions to which their tenants are bound; empty for unbound tenants.
    pub tenants: Vec<model::RegionName>,
    /// Why they are refused.
    pub reason: String,
}

impl Effects {
    /// Returns the effects by comparing the states before and after the changes.
    pub(super) fn between(before: &State, after: &State, changes: &[Change]) -> Self {
        let losing_work = |first: &State, second: &State| -> Vec<_> {
            let names = first.config.targets.keys();
            let losing = names.filter(|name| first.takes_work(name) && !second.takes_work(name));
            losing.cloned().collect()
        };
        let refused = refusals(after);
        let refused_before = refusals(before);
        let mut moves = flows(after);
        let pending = flows(before);
        moves.retain(|flow| !pending.contains(flow));
        Self {
            stops: losing_work(before, after),
            starts: losing_work(after, before),
            moves,
            bindings: bindings(&before.config, &after.config),
            refused: refused.difference(&refused_before).cloned().collect(),
            warnings: warnings(before, after, changes),
        }
    }
}

/// Returns the moves that a state calls for: away from targets that take no
/// new work, and to targets that have joined.
fn flows(state: &State) -> Vec<Flow> {
    let mut transfers = Vec::new();
    let drained = state.owned.keys().filter(|name| !state.takes_work(name));
    for target in drained {
        transfers.extend(placement::evacuate(state, target));
    }
    for group in state.groups.keys() {
        transfers.extend(placement::fill(state, group));
    }
    let flows = transfers.into_iter().map(|transfer| {
        let table = state.groups.get(&transfer.group);
        let total = table.map_or(1, |table| table.shards.len().max(1)) as u64;
        let pinned = transfer.shards.pinned.len();
        let shards = transfer.shards.len() - pinned;
        Flow {
            group: transfer.group.to_string(),
            from: transfer.from,
            to: transfer.to,
            shards,
            pinned,
            share_ppm: shards as u64 * WHOLE_PPM / total,
        }
    });
    flows.collect()
}

/// Returns the labels of routes and tenants whose regions differ.
fn bindings(before: &Config, after: &Config) -> Vec<String> {
    let regions_by_label = |config: &Config| -> BTreeMap<String, Vec<model::RegionName>> {
        let routes = config.routes.values();
        let routes = routes.map(|r| (format!("route/{}", r.prefix), r.regions.clone()));
        let tenants = config.tenants.values();
        let tenants = tenants.map(|t| (format!("tenant/{:016x}", t.name.0), t.regions.clone()));
        routes.chain(tenants).collect()
    };
    let (before, after) = (regions_by_label(before), regions_by_label(after));
    let labels: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    let changed = labels.into_iter().filter(|label| {
        let empty = Vec::new();
        before.get(*label).unwrap_or(&empty) != after.get(*label).unwrap_or(&empty)
    });
    changed.cloned().collect()
}

/// Returns the combinations of a route and a tenant binding that no target may serve.
fn refusals(state: &State) -> BTreeSet<Refusal> {
    let bound = state.config.tenants.values();
    let mut bound: BTreeSet<_> = bound.map(|tenant| tenant.regions.clone()).collect();
    bound.insert(Vec::new());
    let mut refused = BTreeSet::new();
    for route in state.config.routes.values() {
        for tenants in &bound {
            let group = state.group_for(&route.service, &route.regions, tenants);
            let reason = match group {
                None => "the bindings of route and tenant have no region in common",
                Some(group) if state.candidates(&group).is_empty() => {
                    "no target that takes work is left in the allowed regions"
                }
                Some(_) => continue,
            };
            refused.insert(Refusal {
                route: route.prefix.clone(),
                tenants: tenants.clone(),
                reason: reason.to_owned(),
            });
        }
    }
    refused
}

/// Returns the risks of the changes, as sentences for the operator.
fn warnings(before: &State, after: &State, changes: &[Change]) -> Vec<String> {
    let mut warnings = Vec::new();
    for (name, domain) in &after.config.domains {
        let was = before
            .config
            .domains
            .get(name)
            .map(|domain| domain.standing);
        if domain.standing == Standing::Out && was == Some(Standing::In) {
            let up = before.up_hosts().filter(|(_, host)| host.domain == *name);
            warnings.push(format!(
                "{} daemons run in failure domain {name}; one that is cut off from the log and \
                 from its peers admits work until it is told at the host",
                up.count()
            ));
        }
    }
    for change in changes {
        if let Change::HostLost(daemon) = change {
            let leases = before.leases.values();
            let held = leases.filter(|lease| lease.holder == *daemon).count();
            warnings.push(format!(
                "daemon {daemon} holds {held} leases; if it still runs and is only cut off, it \
                 may act for its targets until its leases and their grants have expired"
            ));
        }
    }
    for (id, group) in &after.groups {
        let owned = group.iter().any(|(_, owner)| owner.is_some());
        if owned && after.candidates(id).is_empty() {
            warnings.push(format!(
                "group {id} is left without a candidate; its shards stay with owners that take \
                 no new work, and their requests are refused"
            ));
        }
    }
    warnings
}

impl fmt::Display for Effects {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = |list: &[model::TargetName]| {
            let names: Vec<_> = list.iter().map(|name| name.as_str()).collect();
            if names.is_empty() {
                "none".to_owned()
            } else {
                names.join(", ")
            }
        };
        writeln!(f, "targets that stop taking work: {}", names(&self.stops))?;
        writeln!(f, "targets that start taking work: {}", names(&self.starts))?;
        writeln!(f, "shards that move:")?;
        for flow in &self.moves {
            let percent = flow.share_ppm as f64 / PPM_PER_PERCENT;
            writeln!(
                f,
                "  {}: {} -> {}: {} shards ({percent:.2}% of the keys), {} pinned keys",
                flow.group, flow.from, flow.to, flow.shards, flow.pinned
            )?;
        }
        for label in &self.bindings {
            writeln!(f, "binding changes: {label}")?;
        }
        for refusal in &self.refused {
            let regions: Vec<_> = refusal.tenants.iter().map(|r| r.as_str()).collect();
            let bound = if regions.is_empty() {
                "no region".to_owned()
            } else {
                regions.join(", ")
            };
            let Refusal { route, reason, .. } = refusal;
            writeln!(f, "refused: {route}, tenants bound to {bound}: {reason}")?;
        }
        for warning in &self.warnings {
            writeln!(f, "warning: {warning}")?;
        }
        Ok(())
    }
}

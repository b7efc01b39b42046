//! Decides which daemons should hold and back up which leases. All functions
//! are pure.

use std::collections::BTreeMap;

use crate::lease;
use crate::model;
use crate::state;

/// Least difference in lease counts at which a lease moves from one daemon to
/// another. A lower one would let a lease move back and forth.
const MIN_COUNT_DIFFERENCE: usize = 2;

/// A lease record to propose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The target.
    pub target: model::TargetName,
    /// Offset of the lease that is replaced, if there is one.
    pub prior: Option<model::Offset>,
    /// Daemon that should hold the lease.
    pub holder: model::Incarnation,
    /// Daemon that should back it up.
    pub backup: Option<model::Incarnation>,
    /// Span to record, in milliseconds.
    pub span: u64,
}

impl From<Proposal> for state::Body {
    fn from(proposal: Proposal) -> Self {
        Self::Lease {
            target: proposal.target,
            prior: proposal.prior,
            holder: proposal.holder,
            backup: proposal.backup,
            span: proposal.span,
        }
    }
}

/// Returns the span to record, in milliseconds, where it is unknown how long the
/// requests of earlier holders may run.
pub fn longest_span(state: &state::State) -> u64 {
    let services = state.config.services.values();
    let longest = services.map(|service| service.max_timeout).max();
    let span = longest.unwrap_or_default() + lease::STALE_START_MS;
    span.max(state::UNKNOWN_SPAN_MS)
}

/// Returns whether a daemon is up, not recorded as silent, and its host is not
/// drained.
fn serves(state: &state::State, host: &state::Host) -> bool {
    host.gone.is_none() && host.silent.is_none() && !state.config.hosts_out.contains(&host.name)
}

/// Returns the daemons that may hold leases for targets of `domain`: those of
/// the domain or, if there are none, those of its region.
///
/// Daemons of other regions never do, because requests with home regions pass
/// through the lease holder.
pub fn eligible(state: &state::State, domain: &model::DomainName) -> Vec<model::Incarnation> {
    let serving = || {
        let hosts = state.hosts.iter();
        hosts.filter(|(_, host)| serves(state, host))
    };
    let local = serving().filter(|(_, host)| host.domain == *domain);
    let local: Vec<_> = local.map(|(id, _)| *id).collect();
    if !local.is_empty() {
        return local;
    }
    let regional = serving().filter(|(_, host)| in_region_of(state, &host.domain, domain));
    regional.map(|(id, _)| *id).collect()
}

/// Returns whether both failure domains are in the same known region.
fn in_region_of(
    state: &state::State,
    domain: &model::DomainName,
    other: &model::DomainName,
) -> bool {
    let region = state.region(domain);
    region.is_some() && region == state.region(other)
}

/// Returns the daemon that should back up the leases of `holder`: the next one
/// by incarnation in its failure domain or, if there is none, in its region.
/// Daemons in `avoid` and in other regions are not chosen, the latter for the
/// same reason as in [`eligible`].
///
/// All leases of a holder share a backup, so that one heartbeat renews them all.
pub fn backup_for(
    state: &state::State,
    holder: model::Incarnation,
    avoid: &[model::Incarnation],
) -> Option<model::Incarnation> {
    let host = state.hosts.get(&holder)?;
    let others = || {
        let hosts = state.hosts.iter();
        let others = hosts.filter(|(id, _)| **id != holder && !avoid.contains(id));
        others.filter(|(_, other)| serves(state, other))
    };
    let next = |ids: Vec<model::Incarnation>| {
        let after = ids.iter().find(|id| **id > holder);
        after.or(ids.first()).copied()
    };
    let local = others().filter(|(_, other)| other.domain == host.domain);
    let regional = others().filter(|(_, other)| in_region_of(state, &other.domain, &host.domain));
    next(local.map(|(id, _)| *id).collect()).or_else(|| next(regional.map(|(id, _)| *id).collect()))
}

/// Returns how many leases each daemon holds.
pub fn lease_counts(state: &state::State) -> BTreeMap<model::Incarnation, usize> {
    let mut counts = BTreeMap::new();
    for lease in state.leases.values() {
        *counts.entry(lease.holder).or_default() += 1;
    }
    counts
}

/// Returns the position of `me` among all serving daemons, or `None` if it does
/// not serve.
pub fn serving_rank(state: &state::State, me: model::Incarnation) -> Option<usize> {
    let mut serving = state.hosts.iter().filter(|(_, host)| serves(state, host));
    serving.position(|(id, _)| *id == me)
}

/// Returns the position of `me` among the daemons that may hold leases for
/// targets of `domain`, or `None` if it may not. The first one proposes at once,
/// the others later.
pub fn rank(
    state: &state::State,
    domain: &model::DomainName,
    me: model::Incarnation,
) -> Option<usize> {
    eligible(state, domain).iter().position(|id| *id == me)
}

/// Returns leases for targets that have none, or whose holder and backup are
/// both down, spread evenly over the daemons of their failure domains.
pub fn first_leases(state: &state::State) -> Vec<Proposal> {
    let mut counts = lease_counts(state);
    let mut proposals = Vec::new();
    for target in state.config.targets.values() {
        let lease = state.leases.get(&target.name);
        let abandoned = |lease: &state::Lease| {
            let up = |id| state.is_up(id);
            !up(lease.holder) && !lease.backup.is_some_and(up)
        };
        if lease.is_some_and(|lease| !abandoned(lease)) {
            continue;
        }
        let ids = eligible(state, &target.domain);
        let Some(holder) = ids
            .into_iter()
            .min_by_key(|id| counts.get(id).copied().unwrap_or(0))
        else {
            continue;
        };
        *counts.entry(holder).or_default() += 1;
        let backup = backup_for(state, holder, &[]);
        let is_first = lease.is_none() && backup.is_some();
        proposals.push(Proposal {
            target: target.name.clone(),
            prior: lease.map(|lease| lease.offset),
            holder,
            backup,
            span: match is_first {
                true => lease::INITIAL_SPAN_MS + lease::STALE_START_MS,
                false => longest_span(state),
            },
        });
    }
    proposals
}

/// Returns a lease that `me` should hand over: to a daemon that holds at least
/// [`MIN_COUNT_DIFFERENCE`] fewer, or because `me` may no longer hold it.
///
/// Daemons join one after the other, so the first one of a failure domain gets
/// all leases of its targets and must hand some of them on.
pub fn hand_over(state: &state::State, me: model::Incarnation) -> Option<Proposal> {
    let counts = lease_counts(state);
    let count = |id: &model::Incarnation| counts.get(id).copied().unwrap_or(0);
    let not_serving = state
        .hosts
        .get(&me)
        .is_some_and(|host| !serves(state, host));
    for (name, lease) in state.leases.iter().filter(|(_, lease)| lease.holder == me) {
        let Some(target) = state.config.targets.get(name) else {
            continue;
        };
        let ids = eligible(state, &target.domain);
        let others = ids.iter().filter(|id| **id != me);
        let Some(holder) = others.min_by_key(|id| count(id)).copied() else {
            continue;
        };
        let misplaced = not_serving || !ids.contains(&me);
        if misplaced || count(&me) >= count(&holder) + MIN_COUNT_DIFFERENCE {
            return Some(Proposal {
                target: name.clone(),
                prior: Some(lease.offset),
                holder,
                backup: backup_for(state, holder, &[]),
                span: longest_span(state),
            });
        }
    }
    None
}

/// Returns placement groups that routes and tenants need and that have shards
/// without an owner.
pub fn incomplete_groups(state: &state::State) -> Vec<model::GroupId> {
    let mut required = std::collections::BTreeSet::new();
    for route in state.config.routes.values() {
        let keyed = state.config.services.get(&route.service);
        if keyed.is_none_or(|service| service.kind != state::Kind::Keyed) {
            continue;
        }
        required.extend(state.group_for(&route.service, &route.regions, &[]));
        for tenant in state.config.tenants.values() {
            required.extend(state.group_for(&route.service, &route.regions, &tenant.regions));
        }
    }
    let complete = |group: &model::GroupId| {
        let table = state.groups.get(group);
        table.is_some_and(|table| {
            !table.shards.is_empty() && table.shards.iter().all(Option::is_some)
        })
    };
    required
        .into_iter()
        .filter(|group| !complete(group))
        .collect()
}

//! An operator's change to the configuration: conflict detection, validation, application.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::finding::Findings;
use crate::model;
use crate::state::check;
use crate::state::config::{Change, Config, Domain, Kind, Service, Standing, Target};
use crate::state::fold::{MAX_BASE_LAG, invalid};
use crate::state::record::{Reason, Rejection};
use crate::state::table::State;

impl Change {
    /// Returns the label of the configuration object that the change affects,
    /// such as `target/t1`.
    pub fn label(&self) -> String {
        match self {
            Self::PutService(service) => format!("service/{}", service.name),
            Self::RemoveService(name) => format!("service/{name}"),
            Self::PutRoute(route) => format!("route/{}", route.prefix),
            Self::RemoveRoute(prefix) => format!("route/{prefix}"),
            Self::PutTenant(tenant) => format!("tenant/{:016x}", tenant.name.0),
            Self::RemoveTenant(name) => format!("tenant/{:016x}", name.0),
            Self::PutDomain(domain) => format!("domain/{}", domain.name),
            Self::SetDomain(name, _) => format!("domain/{name}"),
            Self::PutTarget(target) => format!("target/{}", target.name),
            Self::SetTarget(name, _) | Self::RemoveTarget(name) => format!("target/{name}"),
            Self::HostLost(daemon) => format!("daemon/{daemon}"),
            Self::SetHost(name, _) => format!("host/{name}"),
        }
    }
}

/// Result of a trial application of a plan's changes.
pub(super) struct Draft {
    /// The configuration after all changes.
    pub config: Config,
    /// Findings on each change, in the order of the changes. Their places are
    /// JSON pointers within the change.
    pub findings: Vec<Findings>,
}

impl State {
    /// Applies all changes of a plan, or none.
    ///
    /// # Errors
    /// Rejects an empty plan, a conflict with a change since `base`, and the
    /// first change with findings.
    pub(super) fn apply_changes(
        &mut self,
        offset: model::Offset,
        base: model::Offset,
        changes: &[Change],
    ) -> Result<(), Rejection> {
        if changes.is_empty() {
            return Err(invalid("plan", "it has no change"));
        }
        for change in changes {
            self.check_conflict(base, change)?;
        }
        let draft = self.draft(changes);
        for (change, findings) in changes.iter().zip(&draft.findings) {
            if !findings.0.is_empty() {
                let why = findings.to_string();
                return Err(invalid(change.label(), why.trim_start_matches(": ")));
            }
        }
        self.install(offset, changes, draft.config);
        Ok(())
    }

    /// Makes a validated configuration the current one, and removes the daemons
    /// and leases that the changes end.
    pub(super) fn install(&mut self, offset: model::Offset, changes: &[Change], config: Config) {
        self.config = Arc::new(config);
        for change in changes {
            self.config_mut().changed.insert(change.label(), offset);
            match change {
                Change::HostLost(daemon) => self.mark_gone(*daemon, Reason::Lost),
                Change::RemoveTarget(name) => {
                    self.leases.remove(name);
                }
                _ => {}
            }
        }
        self.config_mut().prune_changed(offset);
        self.prune_hosts();
    }

    /// Rejects the change if its object was changed at or after the plan's base.
    fn check_conflict(&self, base: model::Offset, change: &Change) -> Result<(), Rejection> {
        let label = change.label();
        match self.config.changed.get(&label) {
            Some(&at) if at >= base => Err(Rejection::Conflict { object: label, at }),
            _ => Ok(()),
        }
    }

    /// Applies changes to a copy of the configuration and checks each of them.
    ///
    /// A plan may change each object only once, so that the order of its
    /// changes does not matter.
    pub(super) fn draft(&self, changes: &[Change]) -> Draft {
        let mut config = (*self.config).clone();
        let mut findings_per_change = vec![Findings::default(); changes.len()];
        let mut labels = BTreeSet::new();
        for (findings, change) in findings_per_change.iter_mut().zip(changes) {
            let label = change.label();
            self.check_change(findings, change);
            apply_change(&mut config, change);
            if labels.contains(&label) {
                findings.add("", "each object once in a plan", label.as_str());
            }
            labels.insert(label);
        }
        for (findings, change) in findings_per_change.iter_mut().zip(changes) {
            check::references(findings, &config, change);
        }
        Draft {
            config,
            findings: findings_per_change,
        }
    }

    /// Checks one change against the current configuration.
    fn check_change(&self, findings: &mut Findings, change: &Change) {
        let config = &self.config;
        match change {
            Change::PutService(service) => self.check_service(findings, service),
            Change::RemoveService(name) => {
                expect_known(findings, "", config.services.contains_key(name), name);
                if let Some(group) = self.groups.keys().find(|group| group.service == *name) {
                    findings.add("", "a service whose keys no target owns", group.to_string());
                }
            }
            Change::PutRoute(route) => {
                check::route(findings, route);
                check::route_binding(findings, config, route);
                if !self.groups.is_empty() && !config.routes.contains_key(&route.prefix) {
                    check::nested_routes(findings, config, &route.prefix, Some(&route.service));
                }
            }
            Change::RemoveRoute(prefix) => {
                expect_known(findings, "", config.routes.contains_key(prefix), prefix);
                let service = config.routes.get(prefix).map(|route| &route.service);
                if !self.groups.is_empty() {
                    check::nested_routes(findings, config, prefix, service);
                }
            }
            Change::PutTenant(tenant) => {
                let unassigned = self.groups.is_empty();
                check::tenant(findings, config, tenant, unassigned);
            }
            Change::RemoveTenant(name) => {
                expect_known(findings, "", config.tenants.contains_key(name), name.0);
                check::tenant_removal(findings, config, *name);
            }
            Change::PutDomain(domain) => self.check_domain(findings, domain),
            Change::SetDomain(name, _) => {
                expect_known(findings, "/0", config.domains.contains_key(name), name);
            }
            Change::PutTarget(target) => self.check_target(findings, target),
            Change::SetTarget(name, _) => {
                expect_known(findings, "/0", config.targets.contains_key(name), name);
            }
            Change::RemoveTarget(name) => {
                expect_known(findings, "", config.targets.contains_key(name), name);
                if let Some(owned) = self.owned.get(name) {
                    findings.add("", "a target without shards", format!("{owned} shards"));
                }
            }
            Change::HostLost(daemon) => {
                if !self.is_up(*daemon) {
                    findings.add("", "a daemon that is up", daemon.to_string());
                }
            }
            Change::SetHost(name, _) => check::name(findings, "/0", name.as_str()),
        }
    }

    /// Checks a service: it must keep its kind, and a keyed one its number of shards.
    fn check_service(&self, findings: &mut Findings, service: &Service) {
        check::service(findings, service);
        let Some(before) = self.config.services.get(&service.name) else {
            return;
        };
        if before.kind != service.kind {
            let expected = format!("{:?} as before", before.kind);
            findings.add("/kind", expected, format!("{:?}", service.kind));
        }
        if before.kind == Kind::Keyed && before.shards != service.shards {
            let expected = format!("{} as before", before.shards);
            findings.add("/shards", expected, service.shards.to_string());
        }
    }

    /// Checks a failure domain: it must keep its region while targets in it own
    /// shards, because these may be bound to the region.
    fn check_domain(&self, findings: &mut Findings, domain: &Domain) {
        check::domain(findings, domain);
        let Some(before) = self.config.domains.get(&domain.name) else {
            return;
        };
        let mut targets = self.config.targets.values();
        let owns_shards = targets
            .any(|target| target.domain == domain.name && self.owned.contains_key(&target.name));
        if owns_shards && before.region != domain.region {
            let expected = format!("{} while its targets own shards", before.region);
            findings.add("/region", expected, domain.region.to_string());
        }
    }

    /// Checks a target: while it owns shards it must keep its service, domain
    /// and address, because a process at a new address has none of its grants.
    fn check_target(&self, findings: &mut Findings, target: &Target) {
        check::target(findings, target);
        let before = self.config.targets.get(&target.name);
        let Some(before) = before.filter(|_| self.owned.contains_key(&target.name)) else {
            return;
        };
        let mut expect_same = |field: &str, old: String, new: String| {
            if old != new {
                findings.add(field, format!("{old} while it owns shards"), new);
            }
        };
        let (old, new) = (before.service.to_string(), target.service.to_string());
        expect_same("/service", old, new);
        let (old, new) = (before.domain.to_string(), target.domain.to_string());
        expect_same("/domain", old, new);
        let (old, new) = (before.address.to_string(), target.address.to_string());
        expect_same("/address", old, new);
    }
}

/// Adds a finding unless the named object is known.
fn expect_known(findings: &mut Findings, place: &str, known: bool, name: impl ToString) {
    if !known {
        findings.add(place, "the name of a known object", name.to_string());
    }
}

impl Config {
    /// Removes the change offsets of deleted objects, once no plan can be based
    /// on a state before the deletion.
    fn prune_changed(&mut self, offset: model::Offset) {
        let oldest = offset.0.saturating_sub(MAX_BASE_LAG);
        let mut changed = std::mem::take(&mut self.changed);
        changed.retain(|label, at| at.0 >= oldest || self.contains(label));
        self.changed = changed;
    }

    /// Returns whether the configuration has the object with this label.
    fn contains(&self, label: &str) -> bool {
        let Some((kind, name)) = label.split_once('/') else {
            return false;
        };
        match kind {
            "service" => self.services.contains_key(&name.into()),
            "route" => self.routes.contains_key(name),
            "tenant" => u64::from_str_radix(name, 16)
                .is_ok_and(|name| self.tenants.contains_key(&model::KeyHash(name))),
            "domain" => self.domains.contains_key(&name.into()),
            "target" => self.targets.contains_key(&name.into()),
            "host" => self.hosts_out.contains(&name.into()),
            _ => false,
        }
    }
}

/// Applies a validated change to the configuration.
fn apply_change(config: &mut Config, change: &Change) {
    match change.clone() {
        Change::PutService(service) => {
            config.services.insert(service.name.clone(), service);
        }
        Change::RemoveService(name) => {
            config.services.remove(&name);
        }
        Change::PutRoute(route) => {
            config.routes.insert(route.prefix.clone(), route);
        }
        Change::RemoveRoute(prefix) => {
            config.routes.remove(&prefix);
        }
        Change::PutTenant(tenant) => {
            config.tenants.insert(tenant.name, tenant);
        }
        Change::RemoveTenant(name) => {
            config.tenants.remove(&name);
        }
        Change::PutDomain(domain) => {
            config.domains.insert(domain.name.clone(), domain);
        }
        Change::SetDomain(name, standing) => {
            let domain = config.domains.get_mut(&name);
            domain
                .into_iter()
                .for_each(|domain| domain.standing = standing);
        }
        Change::PutTarget(target) => {
            config.targets.insert(target.name.clone(), target);
        }
        Change::SetTarget(name, standing) => {
            let target = config.targets.get_mut(&name);
            target
                .into_iter()
                .for_each(|target| target.standing = standing);
        }
        Change::RemoveTarget(name) => {
            config.targets.remove(&name);
        }
        Change::HostLost(_) => {}
        Change::SetHost(name, Standing::Out) => {
            config.hosts_out.insert(name);
        }
        Change::SetHost(name, Standing::In) => {
            config.hosts_out.remove(&name);
        }
    }
}

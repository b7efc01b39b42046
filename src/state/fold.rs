//! The fold: applies log records to the state one by one and returns a verdict on each.

use crate::model;
use crate::state::check;
use crate::state::record::{self, Body, Envelope, Rejection, Verdict};
use crate::state::table::{Host, Lease, State};

/// Largest distance from a record's base to its own offset, in offsets.
///
/// Records with an older base are rejected, so the tables that detect repeated
/// records and conflicting plans need to cover only this many offsets.
pub const MAX_BASE_LAG: u64 = 1 << 20;

/// Interval at which the writers table is pruned, in offsets.
const PRUNE_INTERVAL: u64 = 1 << 12;

impl State {
    /// Applies the record at `offset` to the state.
    ///
    /// Offsets must ascend but may have gaps; a record below `next` was applied
    /// before and gives [`Verdict::Duplicate`]. [`Verdict::TooNew`] leaves the
    /// state unchanged, including `next`. Bytes that can't be decoded are
    /// rejected; every reader does so.
    pub fn apply(&mut self, offset: model::Offset, record: &[u8]) -> Verdict {
        if offset < self.next {
            return Verdict::Duplicate;
        }
        let header = match record::Header::decode(record) {
            Ok(header) => header,
            Err(error) => {
                self.advance(offset);
                return undecodable(&error);
            }
        };
        if let Some(verdict) = self.check_header(offset, header) {
            return verdict;
        }
        match Envelope::decode(record) {
            Ok(envelope) => self.fold(offset, &envelope),
            Err(error) => undecodable(&error),
        }
    }

    /// Applies a decoded envelope; otherwise like [`State::apply`].
    pub fn apply_envelope(&mut self, offset: model::Offset, envelope: &Envelope) -> Verdict {
        if offset < self.next {
            return Verdict::Duplicate;
        }
        if let Some(verdict) = self.check_header(offset, envelope.into()) {
            return verdict;
        }
        self.fold(offset, envelope)
    }

    /// Checks a record's header and advances the state past its offset.
    ///
    /// Returns a verdict if the record's body must not be applied.
    fn check_header(&mut self, offset: model::Offset, header: record::Header) -> Option<Verdict> {
        if header.least > record::FORMAT {
            return Some(Verdict::TooNew(header.least));
        }
        self.advance(offset);
        let last = self.writers.get(&header.writer);
        if last.is_some_and(|&(seq, _)| header.seq <= seq) {
            return Some(Verdict::Duplicate);
        }
        if header.base > offset || offset.0 - header.base.0 > MAX_BASE_LAG {
            let why = format!(
                "its base {} is after the record's offset, or more than {MAX_BASE_LAG} before it",
                header.base
            );
            return Some(Verdict::Rejected(invalid("record", why)));
        }
        self.writers.insert(header.writer, (header.seq, offset));
        None
    }

    /// Sets `next` to the offset after `offset`, and prunes the writers table
    /// once per [`PRUNE_INTERVAL`].
    fn advance(&mut self, offset: model::Offset) {
        let before = self.next.0 / PRUNE_INTERVAL;
        self.next = offset.next();
        if self.next.0 / PRUNE_INTERVAL == before {
            return;
        }
        let oldest = offset.0.saturating_sub(MAX_BASE_LAG);
        self.writers.retain(|_, &mut (_, seen)| seen.0 >= oldest);
    }

    fn fold(&mut self, offset: model::Offset, envelope: &Envelope) -> Verdict {
        if let Some(host) = self.hosts.get_mut(&envelope.writer) {
            host.silent = None;
        }
        match self.apply_body(offset, envelope) {
            Ok(()) => Verdict::Accepted,
            Err(rejection) => Verdict::Rejected(rejection),
        }
    }

    fn apply_body(&mut self, offset: model::Offset, envelope: &Envelope) -> Result<(), Rejection> {
        let writer = envelope.writer;
        match &envelope.body {
            Body::HostUp {
                host,
                domain,
                peer,
                caller,
            } => self.host_up(
                writer,
                Host {
                    name: host.clone(),
                    domain: domain.clone(),
                    peer: *peer,
                    caller: *caller,
                    since: offset,
                    gone: None,
                    silent: None,
                },
            ),
            Body::HostDown => self.host_down(writer),
            Body::Lease {
                target,
                prior,
                holder,
                backup,
                span,
            } => {
                let lease = Lease {
                    offset,
                    holder: *holder,
                    backup: *backup,
                    span: *span,
                };
                self.lease(writer, target, *prior, lease)
            }
            Body::Assign {
                group,
                shards,
                target,
            } => self.assign(offset, writer, group, shards, target),
            Body::Move {
                group,
                shards,
                from,
                lease,
                to,
            } => {
                self.check_lease(writer, from, *lease)?;
                self.move_shards((offset, envelope.base), group, shards, from, to)
            }
            Body::Pin { group, key, lease } => self.pin(offset, writer, group, *key, *lease),
            Body::Unpin { group, key, lease } => self.unpin(offset, writer, group, *key, *lease),
            Body::Change { changes, .. } => self.apply_changes(offset, envelope.base, changes),
            Body::SnapshotPart { .. } => Ok(()),
        }
    }

    fn host_up(&mut self, writer: model::Incarnation, host: Host) -> Result<(), Rejection> {
        if let Some(known) = self.hosts.get(&writer) {
            return confirm_host(writer, known, &host);
        }
        for name in [host.name.as_str(), host.domain.as_str()] {
            if !check::is_name(name) {
                return Err(invalid(
                    format!("host/{}", host.name),
                    "the name of the host or its failure domain is malformed",
                ));
            }
        }
        self.hosts.insert(writer, host);
        Ok(())
    }

    fn host_down(&mut self, writer: model::Incarnation) -> Result<(), Rejection> {
        self.check_up(writer)?;
        self.mark_gone(writer, record::Reason::Left);
        self.prune_hosts();
        Ok(())
    }

    /// Marks a daemon as gone; it stays in the table while a lease names it.
    pub(super) fn mark_gone(&mut self, daemon: model::Incarnation, reason: record::Reason) {
        if let Some(host) = self.hosts.get_mut(&daemon) {
            host.gone = Some(reason);
        }
    }

    /// Removes daemons that are gone and that no lease names.
    pub(super) fn prune_hosts(&mut self) {
        if self.hosts.values().all(|host| host.gone.is_none()) {
            return;
        }
        let leases = self.leases.values();
        let named: std::collections::BTreeSet<_> = leases
            .flat_map(|lease| [Some(lease.holder), lease.backup])
            .flatten()
            .collect();
        self.hosts
            .retain(|daemon, host| host.gone.is_none() || named.contains(daemon));
    }

    /// Replaces a target's lease if `prior` is the offset of its current one.
    fn lease(
        &mut self,
        writer: model::Incarnation,
        target: &model::TargetName,
        prior: Option<model::Offset>,
        lease: Lease,
    ) -> Result<(), Rejection> {
        if !self.config.targets.contains_key(target) {
            return Err(invalid(
                format!("target/{target}"),
                "there is no such target",
            ));
        }
        let current = self.leases.get(target).copied();
        if current.map(|lease| lease.offset) != prior {
            return Err(Rejection::LeaseChanged {
                target: target.clone(),
                current: current.map(|lease| lease.offset),
            });
        }
        self.check_up(writer)?;
        if !current.is_none_or(|current| self.may_replace(writer, current)) {
            let why = "it is not the current holder or backup, and one of them is up";
            return Err(not_allowed(writer, why));
        }
        self.check_up(lease.holder)?;
        if let Some(backup) = lease.backup {
            self.check_up(backup)?;
        }
        if lease.backup == Some(lease.holder) {
            return Err(not_allowed(writer, "a holder can't be its own backup"));
        }
        self.leases.insert(target.clone(), lease);
        if let Some(current) = current {
            self.mark_unresponsive(writer, current, lease);
        }
        self.prune_hosts();
        Ok(())
    }

    /// Marks the daemon that a lease record replaced as unresponsive: the
    /// holder whose backup took over, or the backup that its holder replaced.
    fn mark_unresponsive(&mut self, writer: model::Incarnation, old: Lease, new: Lease) {
        let replaced = match writer == old.holder {
            true if new.holder == old.holder => old.backup.filter(|_| new.backup != old.backup),
            false if old.backup == Some(writer) => Some(old.holder),
            _ => None,
        };
        if let Some(host) = replaced.and_then(|replaced| self.hosts.get_mut(&replaced)) {
            host.silent = Some(new.offset);
        }
    }

    /// Returns whether `writer` may replace a lease: it is the holder or backup,
    /// or neither of them is up.
    fn may_replace(&self, writer: model::Incarnation, current: Lease) -> bool {
        let is_named = writer == current.holder || current.backup == Some(writer);
        let up =
            self.is_up(current.holder) || current.backup.is_some_and(|backup| self.is_up(backup));
        is_named || !up
    }

    /// Returns the daemons that have announced themselves and are not gone,
    /// ordered by incarnation.
    pub fn up_hosts(&self) -> impl Iterator<Item = (model::Incarnation, &Host)> {
        let hosts = self.hosts.iter().map(|(id, host)| (*id, host));
        hosts.filter(|(_, host)| host.gone.is_none())
    }

    /// Returns whether a daemon has announced itself and is not gone.
    pub fn is_up(&self, daemon: model::Incarnation) -> bool {
        let host = self.hosts.get(&daemon);
        host.is_some_and(|host| host.gone.is_none())
    }

    /// Checks that a daemon is up; see [`State::is_up`].
    pub(super) fn check_up(&self, daemon: model::Incarnation) -> Result<(), Rejection> {
        if self.is_up(daemon) {
            return Ok(());
        }
        Err(not_allowed(daemon, "it is not a daemon that is up"))
    }

    /// Checks that `writer` is up and holds the lease of record `lease` on `target`.
    pub(super) fn check_lease(
        &self,
        writer: model::Incarnation,
        target: &model::TargetName,
        lease: model::Offset,
    ) -> Result<(), Rejection> {
        let current = self.leases.get(target);
        match current {
            Some(current) if current.offset == lease => {
                if current.holder != writer {
                    return Err(not_allowed(writer, "it is not the holder of the lease"));
                }
                self.check_up(writer)
            }
            _ => Err(Rejection::LeaseChanged {
                target: target.clone(),
                current: current.map(|lease| lease.offset),
            }),
        }
    }
}

/// Accepts a repeated announcement that is the same as the first, by which a
/// daemon shows that it is alive.
fn confirm_host(writer: model::Incarnation, known: &Host, host: &Host) -> Result<(), Rejection> {
    let same = known.name == host.name
        && known.domain == host.domain
        && known.peer == host.peer
        && known.caller == host.caller;
    if same && known.gone.is_none() {
        return Ok(());
    }
    Err(not_allowed(
        writer,
        "it announced itself before with other fields, or it is gone",
    ))
}

fn undecodable(error: &record::DecodeError) -> Verdict {
    Verdict::Rejected(invalid("record", error.to_string()))
}

pub(super) fn invalid(object: impl Into<String>, why: impl Into<String>) -> Rejection {
    Rejection::Invalid {
        object: object.into(),
        why: why.into(),
    }
}

fn not_allowed(writer: model::Incarnation, why: &str) -> Rejection {
    Rejection::NotAllowed {
        writer,
        why: why.to_owned(),
    }
}

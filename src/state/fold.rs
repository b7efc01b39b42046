//! The fold: one record after another, each with a verdict.

use crate::model;
use crate::state::check;
use crate::state::record::{self, Body, Envelope, Rejection, Verdict};
use crate::state::table::{Host, Lease, State};

/// How far back a writer's base may lie, in offsets.
///
/// Older decisions are rejected, so that the tables that detect repeated
/// records and conflicting plans need to remember no more than this.
pub const WINDOW: u64 = 1 << 20;

/// The writers table is pruned whenever the offset passes a multiple of this.
const PRUNE_EVERY: u64 = 1 << 12;

impl State {
    /// Folds the record that stands at `offset` into the state.
    ///
    /// Offsets must ascend but may skip; a record below `next` was folded
    /// before and gives [`Verdict::Duplicate`]. [`Verdict::TooNew`] leaves the
    /// state as it was, including `next`. Bytes that can't be decoded are
    /// rejected by every reader alike.
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
        if let Some(verdict) = self.begin(offset, header) {
            return verdict;
        }
        match Envelope::decode(record) {
            Ok(envelope) => self.fold(offset, &envelope),
            Err(error) => undecodable(&error),
        }
    }

    /// Folds an envelope that is decoded already; otherwise like [`State::apply`].
    pub fn apply_envelope(&mut self, offset: model::Offset, envelope: &Envelope) -> Verdict {
        if offset < self.next {
            return Verdict::Duplicate;
        }
        if let Some(verdict) = self.begin(offset, envelope.into()) {
            return verdict;
        }
        self.fold(offset, envelope)
    }

    /// Does what is common to all records; a verdict ends the fold of this one.
    fn begin(&mut self, offset: model::Offset, header: record::Header) -> Option<Verdict> {
        if header.least > record::FORMAT {
            return Some(Verdict::TooNew(header.least));
        }
        self.advance(offset);
        let last = self.writers.get(&header.writer);
        if last.is_some_and(|&(seq, _)| header.seq <= seq) {
            return Some(Verdict::Duplicate);
        }
        if header.base > offset || offset.0 - header.base.0 > WINDOW {
            let why = format!(
                "the base {} is more than {WINDOW} before the record or after it",
                header.base
            );
            return Some(Verdict::Rejected(invalid("record", why)));
        }
        self.writers.insert(header.writer, (header.seq, offset));
        None
    }

    fn advance(&mut self, offset: model::Offset) {
        let before = self.next.0 / PRUNE_EVERY;
        self.next = offset.next();
        if self.next.0 / PRUNE_EVERY == before {
            return;
        }
        let oldest = offset.0.saturating_sub(WINDOW);
        self.writers.retain(|_, &mut (_, seen)| seen.0 >= oldest);
    }

    fn fold(&mut self, offset: model::Offset, envelope: &Envelope) -> Verdict {
        if let Some(host) = self.hosts.get_mut(&envelope.writer) {
            host.silent = None;
        }
        match self.effect(offset, envelope) {
            Ok(()) => Verdict::Accepted,
            Err(rejection) => Verdict::Rejected(rejection),
        }
    }

    fn effect(&mut self, offset: model::Offset, envelope: &Envelope) -> Result<(), Rejection> {
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
                self.shift((offset, envelope.base), group, shards, from, to)
            }
            Body::Pin { group, key, lease } => self.pin(offset, writer, group, *key, *lease),
            Body::Unpin { group, key, lease } => self.unpin(offset, writer, group, *key, *lease),
            Body::Change { changes, .. } => self.change(offset, envelope.base, changes),
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
                    "a name is malformed",
                ));
            }
        }
        self.hosts.insert(writer, host);
        Ok(())
    }

    fn host_down(&mut self, writer: model::Incarnation) -> Result<(), Rejection> {
        self.check_up(writer)?;
        self.gone(writer, record::Reason::Left);
        self.prune_hosts();
        Ok(())
    }

    /// Marks a daemon as gone; it stays known for as long as a lease names it.
    pub(super) fn gone(&mut self, daemon: model::Incarnation, reason: record::Reason) {
        if let Some(host) = self.hosts.get_mut(&daemon) {
            host.gone = Some(reason);
        }
    }

    /// Forgets daemons that are gone and that no lease names.
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
            let why = "the prior holder or backup is up, and it is neither";
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
            self.note_silent(writer, current, lease);
        }
        self.prune_hosts();
        Ok(())
    }

    /// Marks the daemon that a lease record replaced because it was silent:
    /// the holder whose backup took over, or the backup that a holder replaced.
    fn note_silent(&mut self, writer: model::Incarnation, old: Lease, new: Lease) {
        let silent = match writer == old.holder {
            true if new.holder == old.holder => old.backup.filter(|_| new.backup != old.backup),
            false if old.backup == Some(writer) => Some(old.holder),
            _ => None,
        };
        if let Some(host) = silent.and_then(|silent| self.hosts.get_mut(&silent)) {
            host.silent = Some(new.offset);
        }
    }

    fn may_replace(&self, writer: model::Incarnation, current: Lease) -> bool {
        let named = writer == current.holder || current.backup == Some(writer);
        let up =
            self.is_up(current.holder) || current.backup.is_some_and(|backup| self.is_up(backup));
        named || !up
    }

    /// Returns the daemons that have announced themselves and are not gone, in
    /// the order of their incarnations.
    pub fn up_hosts(&self) -> impl Iterator<Item = (model::Incarnation, &Host)> {
        let hosts = self.hosts.iter().map(|(id, host)| (*id, host));
        hosts.filter(|(_, host)| host.gone.is_none())
    }

    /// Returns whether a daemon has announced itself and is not gone.
    pub fn is_up(&self, daemon: model::Incarnation) -> bool {
        let host = self.hosts.get(&daemon);
        host.is_some_and(|host| host.gone.is_none())
    }

    pub(super) fn check_up(&self, daemon: model::Incarnation) -> Result<(), Rejection> {
        if self.is_up(daemon) {
            return Ok(());
        }
        Err(not_allowed(daemon, "it is not an up daemon"))
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

/// Accepts a repeated announcement, by which a daemon shows that it is alive.
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
        "it has announced itself differently or is gone",
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

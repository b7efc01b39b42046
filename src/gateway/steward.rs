//! State machine of the daemon that owns the key table.
//!
//! Every daemon runs it. It reads no clock and performs no input or output: the
//! caller reports what happened, polls for actions, and carries them out.
//! `docs/platform.md` section 4 gives the rules.

mod balance;
mod load;
mod orders;
mod plan;
mod quiet;
mod revise;
mod topic;
mod witness;

use std::collections::{BTreeMap, BTreeSet, btree_map};
use std::sync::Arc;

use crate::clock;
use crate::gateway::dialect;
use crate::gateway::keys;
use crate::model;

/// Time after the start of a read or append that showed the newest record for
/// which the steward may act on it, in milliseconds.
pub const RIGHT: u64 = 2_500;
/// Lease of a renewal, in milliseconds.
pub const HOLD: u64 = 3_000;
/// Longest lease that targets accept, in milliseconds.
pub const LONGEST: u64 = 10_000;

/// Time between renewals of a run, in milliseconds.
const RENEWAL: u64 = 1_000;
/// Time between confirmations of the newest record, in milliseconds.
const CONFIRMATION: u64 = 1_000;
/// Time after the start of the last confirmation from which the log counts as
/// not answering, in milliseconds.
const OUTAGE: u64 = 1_400;
/// Time without heartbeat after which the steward counts as lost, in milliseconds.
const LOST: u64 = 1_000;
/// Age of the steward's confirmation from which another daemon takes over, in
/// milliseconds.
const UNCONFIRMED: u64 = 2_000;
/// Time for which a daemon's own reads must have succeeded before it takes over
/// from a steward that can't confirm, in milliseconds. After an outage of the
/// log, this lets the steward confirm first.
const READABLE: u64 = 500;
/// Time between the starts of two reads above which it is not known that the
/// log could be read between them, in milliseconds.
const GAP: u64 = 1_000;
/// Delay of a takeover per rank, in milliseconds.
const RANK_DELAY: u64 = 150;
/// Time added to leases for orders under way, in milliseconds.
const MARGIN: u64 = 300;
/// Time over which orders stay unanswered before an owner counts as silent, in
/// milliseconds.
const SILENCE: u64 = 1_500;
/// Time after its last unanswered order for which an owner gets no keys, in
/// milliseconds.
const AVOIDANCE: u64 = 30_000;
/// Delay before an unanswered order, or a read or append that failed, is
/// repeated, in milliseconds.
const RETRY: u64 = 250;
/// Delay before a read or append that the log refused or did not answer is
/// repeated, in milliseconds; refused calls have a price as well.
const LOG_RETRY: u64 = 500;
/// Longest such delay of a daemon that is not the steward, in milliseconds.
const LONGEST_RETRY: u64 = 5_000;
/// Time between batches of moves, in milliseconds.
const BATCH: u64 = 1_000;
/// Time for which keys stay where they were moved, in milliseconds.
const REST: u64 = 3_000;
/// Time after which figures of load are dropped, in milliseconds.
const FRESH: u64 = 5_000;
/// Time for which completed moves stay in the table, in milliseconds: several
/// are cleared by one append.
const TIDY: u64 = 1_000;
/// Time after a takeover for which owners missing from the list keep their
/// keys, in milliseconds, since lists of targets lag.
const LAG: u64 = 2_000;
/// Longest time between two polls, in milliseconds.
const IDLE: u64 = 1_000;

/// Returns the longest time for which a target may hold keys after an order
/// with a lease of `lease` was sent, in milliseconds. Its clock may run 2% slow.
fn longest(lease: u64) -> u64 {
    (lease * 100).div_ceil(98) + MARGIN
}

/// Whether a target may own keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It takes keys.
    Ready,
    /// It has just started; it keeps its keys and gets none.
    Cold,
    /// It is about to leave.
    Leaving,
    /// It is no longer listed.
    Gone,
}

/// A target of a keyed service.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name and birth.
    pub owner: keys::Owner,
    /// Service that it provides.
    pub service: model::ServiceName,
    /// Failure domain.
    pub domain: model::DomainName,
    /// Capacity relative to other targets: slots by speed.
    pub weight: f64,
    /// Whether it may own keys.
    pub state: MemberState,
}

/// Keyed services, each with the domains allowed for it (`None` for all).
pub type Services = BTreeMap<model::ServiceName, Option<BTreeSet<model::DomainName>>>;

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Done; a release may come with a handover token.
    Done(Option<Arc<str>>),
    /// Refused: the target has seen a higher fencing token.
    Fenced,
    /// Refused for another reason.
    Rejected,
    /// The connection was refused: nothing listens at the target's address. A
    /// target that leaves in order may still work and hold keys.
    Refused,
    /// No answer.
    Silent,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append the encoded table if its topic ends at `end`.
    Append {
        /// Encoded table.
        table: Vec<u8>,
        /// Required end of the topic.
        end: model::Offset,
    },
    /// Send a grant.
    Grant {
        /// Number of the order.
        call: u64,
        /// Service of the keys.
        service: model::ServiceName,
        /// Target, which must be of this birth.
        owner: keys::Owner,
        /// The order.
        grant: dialect::Grant,
    },
    /// Send a release.
    Release {
        /// Number of the order.
        call: u64,
        /// Service of the keys.
        service: model::ServiceName,
        /// Target, which must be of this birth.
        owner: keys::Owner,
        /// The order.
        release: dialect::Release,
    },
    /// Read the table's topic.
    Read,
}

/// Identifies a run of one record: service, range and fence.
type Id = (model::ServiceName, dialect::Range, u64);

#[derive(Clone, Debug)]
struct Pending {
    table: keys::Table,
    end: model::Offset,
    started: clock::Millis,
}

/// What the daemon knows about the log.
#[derive(Clone, Debug, Default)]
struct Log {
    /// Newest record known, read or written.
    offset: Option<model::Offset>,
    table: Option<keys::Table>,
    /// End of the topic, once read.
    end: Option<model::Offset>,
    /// Start of the last read or append that showed the newest record.
    confirmed: Option<clock::Millis>,
    reading: bool,
    append: Option<Pending>,
    /// Time from which a read must have started before the next append.
    unclear: Option<clock::Millis>,
    /// Start of the first of the last reads without a failure between them.
    readable: Option<clock::Millis>,
    /// Start of the last read that was answered.
    last: Option<clock::Millis>,
    /// A newer record than the known one exists.
    outdated: bool,
    /// Earliest time of the next read and of the next append.
    retry: clock::Millis,
}

/// What the daemon knows about the steward.
#[derive(Clone, Debug)]
struct Peer {
    heard: clock::Millis,
    /// Offset of its record.
    offset: Option<model::Offset>,
    /// Time of its last confirmation.
    confirmed: clock::Millis,
}

/// Orders for one run.
#[derive(Clone, Debug, Default)]
struct Order {
    call: Option<u64>,
    next: clock::Millis,
    /// Time from which the previous owner holds nothing.
    settled: Option<clock::Millis>,
    /// Time at which the previous owner answered the release.
    released: Option<clock::Millis>,
    handover: Option<Arc<str>>,
    /// The last grant had the longest lease.
    long: bool,
    fenced: bool,
}

#[derive(Clone, Debug)]
struct Call {
    id: Id,
    owner: keys::Owner,
    /// Lease of a grant; `None` for a release.
    lease: Option<u64>,
    sent: Option<clock::Millis>,
}

/// How an owner stands, which decides what happens to its keys.
enum Standing {
    Ready,
    /// Its keys stay: it is cold, or this daemon's list lags.
    Stays,
    /// Its keys move, after a release or a wait.
    Leaves,
    /// It holds nothing.
    Lost,
    /// The same target has a new birth.
    Reborn(keys::Owner),
}

/// State machine of one daemon.
#[derive(Clone, Debug)]
pub struct Steward {
    host: model::HostName,
    incarnation: model::Incarnation,
    log: Log,
    peer: Peer,
    rank: u32,
    resigned: bool,
    /// Time until which leases of earlier stewards may last at most; set while
    /// the known record is this daemon's.
    foreign: Option<clock::Millis>,
    /// Offset of the record with which this daemon's term began.
    first: model::Offset,
    witnesses: witness::Witnesses,
    /// Time at which this daemon's first record was known.
    term: clock::Millis,
    /// Time until which no grants are given, after an unreadable record.
    blank: clock::Millis,
    members: BTreeMap<(model::ServiceName, model::TargetName), Member>,
    services: Services,
    loads: BTreeMap<(model::HostName, model::ServiceName), load::Load>,
    orders: BTreeMap<Id, Order>,
    calls: BTreeMap<u64, Call>,
    last: u64,
    /// Times until which a target may hold keys through this daemon's grants.
    holds: BTreeMap<(model::ServiceName, keys::Owner, dialect::Range), clock::Millis>,
    quiet: BTreeMap<keys::Owner, quiet::Quiet>,
    /// Grants that were not answered.
    late: Vec<Late>,
    moved: Vec<(model::ServiceName, dialect::Range, clock::Millis)>,
    /// Earliest time of the next batch of moves.
    batch: clock::Millis,
    /// Time of the next order.
    due: clock::Millis,
    /// Time at which completed moves are cleared.
    tidy: Option<clock::Millis>,
    /// Something happened that may call for a change of the table.
    dirty: bool,
    /// Leases had to be the longest ones when orders were last given.
    outage: bool,
    /// Longest lease that targets accept, in milliseconds.
    longest: u64,
}

/// A grant without an answer, which the target may still apply.
#[derive(Clone, Debug)]
struct Late {
    service: model::ServiceName,
    owner: keys::Owner,
    range: dialect::Range,
    until: clock::Millis,
}

impl Steward {
    /// Returns the state of a daemon that has just started.
    pub fn new(host: model::HostName, incarnation: model::Incarnation, now: clock::Millis) -> Self {
        Self {
            host,
            incarnation,
            log: Log::default(),
            peer: Peer {
                heard: now,
                offset: None,
                confirmed: now,
            },
            rank: 0,
            resigned: false,
            foreign: None,
            first: model::Offset(0),
            witnesses: witness::Witnesses::new(now),
            term: now,
            blank: now,
            members: BTreeMap::new(),
            services: Services::new(),
            loads: BTreeMap::new(),
            orders: BTreeMap::new(),
            calls: BTreeMap::new(),
            last: 0,
            holds: BTreeMap::new(),
            quiet: BTreeMap::new(),
            late: Vec::new(),
            moved: Vec::new(),
            batch: now,
            due: now,
            tidy: None,
            dirty: true,
            outage: false,
            longest: LONGEST,
        }
    }

    /// Sets the longest lease that targets accept, in milliseconds; without it,
    /// [`LONGEST`] holds.
    pub fn with_lease(self, longest: u64) -> Self {
        Self {
            longest: longest.max(1),
            ..self
        }
    }

    /// Returns the lease of a renewal, in milliseconds.
    fn hold(&self) -> u64 {
        HOLD.min(self.longest)
    }

    /// Returns the newest table known from the log.
    pub fn table(&self) -> Option<&keys::Table> {
        self.log.table.as_ref()
    }

    /// Returns the offset of the newest record known from the log.
    pub fn offset(&self) -> Option<model::Offset> {
        self.log.offset
    }

    /// Returns the time since the start of the last confirmation, in
    /// milliseconds, for the heartbeat.
    pub fn confirmed_age(&self, now: clock::Millis) -> Option<u64> {
        self.log.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns whether the newest record known names this daemon as steward.
    pub fn is_steward(&self) -> bool {
        !self.resigned && !self.log.outdated && self.foreign.is_some()
    }

    /// Returns whether this daemon has the right to give orders.
    pub fn may_act(&self, now: clock::Millis) -> bool {
        let confirmed = self.log.confirmed;
        self.is_steward() && confirmed.is_some_and(|start| now.since(start) < RIGHT)
    }

    /// Stops acting, for a graceful shutdown. Heartbeats must end as well, so
    /// that another daemon takes over.
    pub fn resign(&mut self, _now: clock::Millis) {
        self.resigned = true;
    }

    /// Takes a read, started at `started`, that showed a topic without records.
    pub fn on_end(&mut self, _now: clock::Millis, started: clock::Millis, end: model::Offset) {
        self.answered(started);
        if self.log.offset.is_none() {
            self.log.end = self.log.end.max(Some(end));
        }
    }

    /// Takes a read, started at `started`, whose newest record stands at
    /// `offset`. `table` is `None` if the record can't be read.
    pub fn on_record(
        &mut self,
        now: clock::Millis,
        started: clock::Millis,
        offset: model::Offset,
        end: model::Offset,
        table: Option<keys::Table>,
    ) {
        self.answered(started);
        self.adopt(now, started, offset, end, table);
    }

    /// Takes a read, started at `started`, that showed no record after the known one.
    pub fn on_confirmed(&mut self, started: clock::Millis, end: model::Offset) {
        self.answered(started);
        if self.log.end.is_some_and(|known| known <= end) {
            self.log.end = Some(end);
            self.log.confirmed = self.log.confirmed.max(Some(started));
            if self.log.unclear.is_none() {
                self.log.outdated = self.peer.offset > self.log.offset;
            }
        }
    }

    /// Takes a read that gave no answer, or that the log refused.
    pub fn on_unread(&mut self, now: clock::Millis) {
        self.log.reading = false;
        self.log.readable = None;
        // The first in rank takes over, so that calls of the others matter less.
        let pause = match self.is_steward() {
            true => LOG_RETRY,
            false => (LOG_RETRY * (1 + u64::from(self.rank))).min(LONGEST_RETRY),
        };
        self.log.retry = now + pause;
    }

    /// Takes the answer to an append, `None` if there was none.
    pub fn on_appended(&mut self, now: clock::Millis, answer: Option<dialect::Appended>) {
        let Some(pending) = self.log.append.take() else {
            return;
        };
        match answer {
            Some(dialect::Appended::Written(offset)) if offset == pending.end => {
                let end = offset.next();
                self.adopt(now, pending.started, offset, end, Some(pending.table));
            }
            Some(dialect::Appended::Refused(_)) => self.log.retry = now + LOG_RETRY,
            Some(dialect::Appended::Moved(_)) => {
                self.log.outdated = true;
                self.log.unclear = Some(now);
            }
            Some(dialect::Appended::Written(_) | dialect::Appended::Unclear) | None => {
                self.log.unclear = Some(now);
            }
        }
    }

    /// Takes a heartbeat of the daemon that says it is the steward by the
    /// record at `offset`, with the age of its last confirmation in milliseconds.
    pub fn on_heartbeat(
        &mut self,
        now: clock::Millis,
        from: model::HostName,
        incarnation: model::Incarnation,
        offset: model::Offset,
        confirmed_age: Option<u64>,
    ) {
        let own = from == self.host && incarnation == self.incarnation;
        if own || self.peer.offset.max(self.log.offset) > Some(offset) {
            return;
        }
        if self.peer.offset < Some(offset) {
            self.peer.confirmed = now;
        }
        self.peer.offset = Some(offset);
        self.peer.heard = now;
        if let Some(age) = confirmed_age {
            self.peer.confirmed = self.peer.confirmed.max(now - age);
        }
        self.log.outdated |= self.log.offset < Some(offset);
    }

    /// Takes the targets and the keyed services as now known; targets that
    /// `members` lacks are no longer known. `listed` is the start of the last
    /// successful read of the targets' list; without it, refused connections
    /// never prove that a target holds nothing.
    pub fn on_targets(
        &mut self,
        now: clock::Millis,
        listed: Option<clock::Millis>,
        members: Vec<Member>,
        services: Services,
    ) {
        let named = members.into_iter().map(|member| {
            let key = (member.service.clone(), member.owner.target.clone());
            (key, member)
        });
        self.members = named.collect();
        self.services = services;
        if let Some(listed) = listed {
            self.list_refused(now, listed);
        }
        self.due = now;
        self.dirty = true;
    }

    /// Takes what a daemon says of load by bucket of [`keys::BUCKET`] keys, in
    /// milliseconds of processing per second. Reports may come at any rate;
    /// their figures are smoothed.
    pub fn on_load(
        &mut self,
        now: clock::Millis,
        from: model::HostName,
        service: model::ServiceName,
        figures: Vec<(u16, f32)>,
    ) {
        match self.loads.entry((from, service)) {
            btree_map::Entry::Occupied(mut entry) => entry.get_mut().update(now, figures),
            btree_map::Entry::Vacant(entry) => {
                entry.insert(load::Load::new(now, figures));
            }
        }
    }

    /// Returns what has to be done now. `rank` is this daemon's rank among the
    /// live daemons, 0 for the first to take over.
    pub fn poll(&mut self, now: clock::Millis, rank: u32) -> Vec<Action> {
        self.rank = rank;
        self.expire(now);
        let mut actions = Vec::new();
        if !self.log.reading && self.read_at(now) <= now {
            self.log.reading = true;
            actions.push(Action::Read);
        }
        let append = if self.is_steward() {
            self.next_table(now)
        } else {
            self.first_or_takeover(now)
        };
        if let (Some(table), Some(end)) = (append, self.log.end) {
            let encoded = table.encode();
            self.log.append = Some(Pending {
                table,
                end,
                started: now,
            });
            actions.push(Action::Append {
                table: encoded,
                end,
            });
        }
        if self.may_act(now) {
            self.order(now, &mut actions);
        }
        actions
    }

    /// Returns when to poll again if nothing happens before.
    pub fn next_wake(&self, now: clock::Millis) -> clock::Millis {
        let mut wake = now + IDLE;
        if !self.log.reading {
            wake = wake.min(self.read_at(now));
        }
        if self.is_steward() {
            let outage = self.log.confirmed.map(|confirmed| confirmed + OUTAGE);
            let times = [Some(self.due), Some(self.batch), self.tidy, outage];
            let coming = times.into_iter().flatten().filter(|at| *at > now);
            wake = coming.fold(wake, Ord::min);
        } else {
            let takeover = self.takeover_at();
            wake = if takeover > now {
                wake.min(takeover)
            } else {
                wake
            };
        }
        wake.max(now + 10)
    }

    fn expire(&mut self, now: clock::Millis) {
        self.loads.retain(|_, load| now.since(load.at) <= FRESH);
        self.holds.retain(|_, until| *until > now);
        self.quiet
            .retain(|_, quiet| now.since(quiet.last) < AVOIDANCE);
        self.moved.retain(|(_, _, at)| now.since(*at) < REST);
        if self.is_steward() && !self.may_act(now) {
            // Without the right no orders are sent, so silence means nothing.
            self.quiet.clear();
        }
    }
}

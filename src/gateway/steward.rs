//! State machine of the daemon that owns the key table.
//!
//! Every daemon runs it. It reads no clock and performs no input or output: the
//! caller reports what happened, polls for actions, and carries them out.
//! `docs/platform.md` section 4 gives the rules.

mod plan;

use std::collections::{BTreeMap, BTreeSet};
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
const READABLE: u64 = 1_000;
/// Delay of a takeover per rank, in milliseconds.
const RANK_DELAY: u64 = 150;
/// Time added to leases for orders under way, in milliseconds.
const MARGIN: u64 = 300;
/// Time over which orders stay unanswered before an owner counts as silent, in
/// milliseconds.
const SILENCE: u64 = 1_500;
/// Time after its last unanswered order for which an owner gets no keys, in
/// milliseconds.
const AVOIDANCE: u64 = 10_000;
/// Delay before an unanswered or refused order, read or append is repeated, in
/// milliseconds.
const RETRY: u64 = 250;
/// Time between batches of moves, in milliseconds.
const BATCH: u64 = 2_000;
/// Time for which keys stay where they were moved, in milliseconds.
const REST: u64 = 5_000;
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
    /// The connection was refused: nothing listens at the target's address.
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

/// Orders that a target did not answer.
#[derive(Clone, Debug)]
struct Quiet {
    since: clock::Millis,
    /// Time at which the first of them was given up.
    given: clock::Millis,
    last: clock::Millis,
    /// An order sent after the first was given up was not answered either.
    again: bool,
    refused: bool,
}

impl Quiet {
    fn is_silent(&self) -> bool {
        self.again && self.last.since(self.since) >= SILENCE
    }
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

type Figures = Vec<(u16, f32)>;

/// State machine of one daemon.
#[derive(Clone, Debug)]
pub struct Steward {
    host: model::HostName,
    incarnation: model::Incarnation,
    log: Log,
    peer: Peer,
    rank: u32,
    resigned: bool,
    /// Time until which leases of earlier stewards may last; set while the
    /// known record is this daemon's.
    foreign: Option<clock::Millis>,
    /// Time at which this daemon's first record was known.
    term: clock::Millis,
    /// Time until which no grants are given, after an unreadable record.
    blank: clock::Millis,
    members: BTreeMap<(model::ServiceName, model::TargetName), Member>,
    services: Services,
    loads: BTreeMap<(model::HostName, model::ServiceName), (clock::Millis, Figures)>,
    orders: BTreeMap<Id, Order>,
    calls: BTreeMap<u64, Call>,
    last: u64,
    /// Times until which a target may hold keys through this daemon's grants.
    holds: BTreeMap<(model::ServiceName, keys::Owner, dialect::Range), clock::Millis>,
    quiet: BTreeMap<keys::Owner, Quiet>,
    moved: Vec<(model::ServiceName, dialect::Range, clock::Millis)>,
    batch: clock::Millis,
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
            moved: Vec::new(),
            batch: now,
        }
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

    /// Returns whether the order `call` may be sent now, and takes `now` as the
    /// time of sending.
    ///
    /// The caller asks immediately before it sends the order and does not send
    /// it if the answer is no; it then reports [`Reply::Silent`]. Waits for
    /// leases count from this time.
    pub fn may_send(&mut self, now: clock::Millis, call: u64) -> bool {
        let allowed = self.may_act(now);
        let Some(entry) = self.calls.get_mut(&call) else {
            return false;
        };
        let current = |order: &Order| order.call == Some(call);
        if !allowed || entry.sent.is_some() || !self.orders.get(&entry.id).is_some_and(current) {
            return false;
        }
        entry.sent = Some(now);
        if let Some(lease) = entry.lease {
            let (service, range, _) = &entry.id;
            let key = (service.clone(), entry.owner.clone(), *range);
            let until = self.holds.entry(key).or_default();
            *until = (*until).max(now + longest(lease));
        }
        true
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
        }
    }

    /// Takes a read that gave no answer, or that the log refused.
    pub fn on_unread(&mut self, now: clock::Millis) {
        self.log.reading = false;
        self.log.readable = None;
        self.log.retry = now + RETRY;
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
            Some(dialect::Appended::Refused(_)) => self.log.retry = now + RETRY,
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
    /// `members` lacks are no longer known.
    pub fn on_targets(&mut self, _now: clock::Millis, members: Vec<Member>, services: Services) {
        let named = members.into_iter().map(|member| {
            let key = (member.service.clone(), member.owner.target.clone());
            (key, member)
        });
        self.members = named.collect();
        self.services = services;
    }

    /// Takes what a daemon says of load by bucket of 64 keys, in milliseconds
    /// of processing per second.
    pub fn on_load(
        &mut self,
        now: clock::Millis,
        from: model::HostName,
        service: model::ServiceName,
        figures: Vec<(u16, f32)>,
    ) {
        self.loads.insert((from, service), (now, figures));
    }

    /// Takes what became of an order. Each order polled has to be reported once.
    pub fn on_ordered(&mut self, now: clock::Millis, call: u64, reply: Reply) {
        let Some(entry) = self.calls.remove(&call) else {
            return;
        };
        let order = self.orders.get_mut(&entry.id);
        let mut order = order.filter(|order| order.call == Some(call));
        if let Some(order) = &mut order {
            order.call = None;
            order.next = order.next.min(now + RETRY);
        }
        let Some(sent) = entry.sent else {
            return;
        };
        match (reply, order) {
            (Reply::Done(token), Some(order)) if entry.lease.is_none() => {
                order.settled.get_or_insert(now);
                order.handover = token;
                order.next = now;
                self.quiet.remove(&entry.owner);
            }
            (Reply::Done(_), order) => {
                if let Some(order) = order {
                    order.handover = None;
                    order.next = sent + RENEWAL;
                }
                self.quiet.remove(&entry.owner);
            }
            (Reply::Fenced, order) => {
                if let Some(order) = order {
                    order.fenced = entry.lease.is_some();
                    order.next = sent + RENEWAL;
                }
                self.quiet.remove(&entry.owner);
            }
            (Reply::Refused, _) => {
                self.holds.retain(|(_, owner, _), _| *owner != entry.owner);
                self.unanswered(now, sent, &entry.owner).refused = true;
            }
            (Reply::Rejected | Reply::Silent, _) => {
                self.unanswered(now, sent, &entry.owner);
            }
        }
    }

    fn unanswered(
        &mut self,
        now: clock::Millis,
        sent: clock::Millis,
        owner: &keys::Owner,
    ) -> &mut Quiet {
        let quiet = self.quiet.entry(owner.clone()).or_insert(Quiet {
            since: sent,
            given: now,
            last: now,
            again: false,
            refused: false,
        });
        quiet.last = now;
        quiet.again |= sent >= quiet.given;
        quiet
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
        if !self.is_steward() {
            return wake.min(self.takeover_at()).max(now + 10);
        }
        if let Some(confirmed) = self.log.confirmed {
            let outage = confirmed + OUTAGE;
            wake = wake.min(if outage > now { outage } else { wake });
        }
        let table = self.log.table.iter();
        let runs = table.flat_map(|table| &table.services);
        for (service, run) in runs.flat_map(|(s, runs)| runs.iter().map(move |run| (s, run))) {
            let id = (service.clone(), run.range, run.fence);
            let Some(order) = self.orders.get(&id) else {
                continue;
            };
            if order.call.is_none() {
                wake = wake.min(order.next);
            }
            if let (Some(prior), None) = (&run.prior, order.settled) {
                wake = wake.min(self.free_at(service, prior, run.range));
            }
        }
        wake.max(now + 10)
    }

    fn answered(&mut self, started: clock::Millis) {
        self.log.reading = false;
        self.log.readable.get_or_insert(started);
        if self.log.unclear.is_some_and(|since| since <= started) {
            self.log.unclear = None;
        }
    }

    /// Takes the record at `offset` as the newest known, unless a newer one is.
    fn adopt(
        &mut self,
        now: clock::Millis,
        started: clock::Millis,
        offset: model::Offset,
        end: model::Offset,
        table: Option<keys::Table>,
    ) {
        if self.log.offset > Some(offset) {
            return;
        }
        self.log.end = self.log.end.max(Some(end));
        self.log.outdated = self.peer.offset > Some(offset);
        self.log.confirmed = self.log.confirmed.max(Some(started));
        if self.log.offset == Some(offset) {
            return;
        }
        let mine = table
            .as_ref()
            .is_some_and(|table| table.host == self.host && table.incarnation == self.incarnation);
        let known = (self.log.offset.replace(offset), self.log.table.is_some());
        if !mine {
            self.foreign = None;
            self.peer.heard = now;
            self.peer.confirmed = now;
            self.quiet.clear();
        } else if self.foreign.is_none() {
            self.begin(now, known.0.is_none(), known.1);
        }
        self.log.table = table;
        self.follow(now, offset);
    }

    /// Begins the term of this daemon.
    fn begin(&mut self, now: clock::Millis, first: bool, readable: bool) {
        let wait = RIGHT + longest(LONGEST);
        self.foreign = Some(if first { now } else { now + wait });
        if !first && !readable {
            self.blank = now + wait;
        }
        self.term = now;
        self.batch = now + BATCH;
    }

    /// Brings the state of orders in line with the table at `offset`.
    fn follow(&mut self, now: clock::Millis, offset: model::Offset) {
        let mut orders = BTreeMap::new();
        let table = self.log.table.iter();
        for (service, runs) in table.flat_map(|table| &table.services) {
            for run in runs {
                let id = (service.clone(), run.range, run.fence);
                let order = self.orders.remove(&id).unwrap_or(Order {
                    next: now,
                    ..Order::default()
                });
                orders.insert(id, order);
                if run.fence == offset.0 + 1 {
                    self.moved.push((service.clone(), run.range, now));
                }
            }
        }
        self.orders = orders;
    }

    fn expire(&mut self, now: clock::Millis) {
        self.loads.retain(|_, (at, _)| now.since(*at) <= FRESH);
        self.holds.retain(|_, until| *until > now);
        self.quiet
            .retain(|_, quiet| now.since(quiet.last) < AVOIDANCE);
        self.moved.retain(|(_, _, at)| now.since(*at) < REST);
        if self.is_steward() && !self.may_act(now) {
            // Without the right no orders are sent, so silence means nothing.
            self.quiet.clear();
        }
    }

    /// Returns when the topic has to be read.
    fn read_at(&self, now: clock::Millis) -> clock::Millis {
        let log = &self.log;
        let due = if log.end.is_none() || log.unclear.is_some() {
            now
        } else if self.is_steward() {
            log.confirmed
                .map_or(now, |confirmed| confirmed + CONFIRMATION)
        } else {
            // Reading begins before a takeover is due, to know the end and
            // whether reads succeed.
            let reason = (self.peer.heard + LOST).min(self.peer.confirmed + UNCONFIRMED - READABLE);
            let last = log.confirmed.unwrap_or_default();
            reason.max(last + CONFIRMATION / 4)
        };
        due.max(log.retry)
    }

    /// Returns when this daemon takes over if nothing is heard before.
    fn takeover_at(&self) -> clock::Millis {
        let lost = self.peer.heard + LOST;
        let readable = self.log.readable.map(|since| since + READABLE);
        let unconfirmed = readable.map(|at| at.max(self.peer.confirmed + UNCONFIRMED));
        let due = unconfirmed.map_or(lost, |at| at.min(lost));
        due + RANK_DELAY * u64::from(self.rank)
    }

    fn may_append(&self, now: clock::Millis) -> bool {
        let log = &self.log;
        let free = log.append.is_none() && log.unclear.is_none();
        free && log.end.is_some() && now >= log.retry && !self.resigned
    }

    /// Returns the first table, or the known one under this daemon's name.
    fn first_or_takeover(&mut self, now: clock::Millis) -> Option<keys::Table> {
        if !self.may_append(now) {
            return None;
        }
        let first = self.log.offset.is_none() && self.peer.offset.is_none();
        let at_once = first && self.rank == 0;
        let due = self.takeover_at();
        let start = due - RANK_DELAY * u64::from(self.rank);
        let seen = self.log.confirmed.is_some_and(|at| at >= start) && !self.log.outdated;
        if !at_once && (now < due || !(seen || first)) {
            return None;
        }
        let known = self.log.table.clone();
        let mut table = known.unwrap_or_else(|| self.empty_table());
        table.host = self.host.clone();
        table.incarnation = self.incarnation;
        if self.log.table.is_none() {
            self.revise(now, &mut table);
            let mut runs = table.services.values().flatten();
            runs.any(|run| run.owner.is_some()).then_some(table)
        } else {
            Some(table)
        }
    }

    fn empty_table(&self) -> keys::Table {
        keys::Table {
            host: self.host.clone(),
            incarnation: self.incarnation,
            services: BTreeMap::new(),
        }
    }

    /// Returns the table with changes that are due, if there are any.
    fn next_table(&mut self, now: clock::Millis) -> Option<keys::Table> {
        if !self.may_append(now) || !self.may_act(now) || self.services.is_empty() {
            return None;
        }
        let mut table = self.log.table.clone()?;
        let urgent = self.revise(now, &mut table);
        let tidy = |order: &Order| order.settled.is_some_and(|at| now.since(at) >= TIDY);
        let open = self.log.table.iter().flat_map(|table| &table.services);
        let mut open = open.flat_map(|(s, runs)| runs.iter().map(move |run| (s, run)));
        let due = open.any(|(service, run)| {
            let order = self.orders.get(&(service.clone(), run.range, run.fence));
            run.prior.is_some() && order.is_some_and(tidy)
        });
        (urgent || due).then_some(table)
    }

    /// Applies all changes that are due to the table; says whether one can't wait.
    fn revise(&mut self, now: clock::Millis, table: &mut keys::Table) -> bool {
        let fence = self.log.end.map_or(0, |end| end.0 + 1);
        let mut urgent = false;
        let batch = now >= self.batch;
        for service in self.services.keys() {
            let runs = table.services.entry(service.clone());
            let runs = runs.or_insert_with(|| vec![keys::Run::unowned()]);
            self.clear(service, runs);
            urgent |= self.renew_fences(now, service, runs, fence);
            let moves = self.moves(now, service, runs, batch);
            urgent |= !moves.is_empty();
            for step in moves {
                keys::edit(runs, step.range, |run| {
                    run.prior = self.prior(now, service, run);
                    run.owner = Some(step.owner.clone());
                    run.fence = fence;
                });
            }
            keys::merge(runs);
        }
        if urgent && batch {
            self.batch = now + BATCH;
        }
        urgent
    }

    /// Returns the owner to ask before the run's keys are given to another.
    fn prior(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        run: &keys::Run,
    ) -> Option<keys::Owner> {
        let owner = run.owner.clone()?;
        match self.standing(now, service, &owner) {
            Standing::Lost | Standing::Reborn(_) => None,
            Standing::Ready | Standing::Stays | Standing::Leaves => Some(owner),
        }
    }

    /// Clears previous owners that hold nothing any more.
    fn clear(&self, service: &model::ServiceName, runs: &mut [keys::Run]) {
        for run in runs {
            let order = self.orders.get(&(service.clone(), run.range, run.fence));
            if order.is_some_and(|order| order.settled.is_some()) {
                run.prior = None;
            }
        }
    }

    /// Gives new fences to targets with a new birth and to those that refused one.
    fn renew_fences(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        runs: &mut [keys::Run],
        fence: u64,
    ) -> bool {
        let seats = self.seats(service);
        let mut changed = false;
        for run in runs.iter_mut().filter(|run| run.prior.is_none()) {
            let Some(owner) = &run.owner else {
                continue;
            };
            let order = self.orders.get(&(service.clone(), run.range, run.fence));
            let fenced = order.is_some_and(|order| order.fenced);
            match self.standing(now, service, owner) {
                Standing::Reborn(new) if seats.iter().any(|seat| seat.owner == new) => {
                    run.owner = Some(new);
                }
                _ if fenced => {}
                _ => continue,
            }
            run.fence = fence;
            changed = true;
        }
        changed
    }

    fn moves(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        runs: &[keys::Run],
        batch: bool,
    ) -> Vec<plan::Move> {
        let seats = self.seats(service);
        if seats.is_empty() {
            return Vec::new();
        }
        let pieces: Vec<plan::Piece> = runs
            .iter()
            .map(|run| plan::Piece {
                range: run.range,
                owner: run.owner.clone(),
                bond: self.bond(now, service, run),
            })
            .collect();
        let figures = self.loads.iter().filter(|((_, of), _)| of == service);
        let work = plan::Work::new(figures.flat_map(|(_, (_, figures))| figures.iter().copied()));
        if pieces.iter().any(|piece| piece.bond == plan::Bond::Loose) {
            return plan::place(&pieces, &seats, &work);
        }
        if !batch || seats.iter().any(|seat| !self.is_warm(service, seat)) {
            return Vec::new();
        }
        let joined = plan::join(&pieces, &seats, &work);
        if joined.is_empty() {
            return plan::balance(&pieces, &seats, &work).into_iter().collect();
        }
        joined
    }

    fn bond(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        run: &keys::Run,
    ) -> plan::Bond {
        let Some(owner) = &run.owner else {
            return plan::Bond::Loose;
        };
        if run.prior.is_some() {
            return plan::Bond::Fixed;
        }
        let rests = self.moved.iter().any(|(of, range, _)| {
            of == service && range.first <= run.range.last && run.range.first <= range.last
        });
        match self.standing(now, service, owner) {
            Standing::Ready if !rests => plan::Bond::Free,
            Standing::Ready | Standing::Stays => plan::Bond::Fixed,
            Standing::Leaves | Standing::Lost => plan::Bond::Loose,
            // A run that could be given to the same target has the new birth by now.
            Standing::Reborn(_) => plan::Bond::Loose,
        }
    }

    fn standing(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        owner: &keys::Owner,
    ) -> Standing {
        let quiet = self.quiet.get(owner);
        let member = self.members.get(&(service.clone(), owner.target.clone()));
        match member {
            Some(member) if member.owner.birth > owner.birth => {
                Standing::Reborn(member.owner.clone())
            }
            _ if quiet.is_some_and(|quiet| quiet.refused) => Standing::Lost,
            _ if quiet.is_some_and(Quiet::is_silent) => Standing::Leaves,
            Some(member) if member.owner.birth < owner.birth => Standing::Stays,
            None if now.since(self.term) < LAG => Standing::Stays,
            Some(member) if self.is_allowed(member) => match member.state {
                MemberState::Ready => Standing::Ready,
                MemberState::Cold => Standing::Stays,
                MemberState::Leaving | MemberState::Gone => Standing::Leaves,
            },
            Some(_) | None => Standing::Leaves,
        }
    }

    fn is_allowed(&self, member: &Member) -> bool {
        match self.services.get(&member.service) {
            Some(Some(domains)) => domains.contains(&member.domain),
            Some(None) | None => true,
        }
    }

    fn is_warm(&self, service: &model::ServiceName, seat: &plan::Seat) -> bool {
        let key = (service.clone(), seat.owner.target.clone());
        let member = self.members.get(&key);
        member.is_some_and(|member| member.state == MemberState::Ready)
    }

    /// Returns the targets that may get keys: the ready ones, or the cold ones
    /// if none is ready.
    fn seats(&self, service: &model::ServiceName) -> Vec<plan::Seat> {
        let in_state = |state: MemberState| -> Vec<plan::Seat> {
            let members = self.members.values().filter(|member| {
                let fits = member.service == *service && member.state == state;
                let avoided = |quiet: &Quiet| quiet.refused || quiet.is_silent();
                let quiet = self.quiet.get(&member.owner);
                fits && self.is_allowed(member) && !quiet.is_some_and(avoided)
            });
            let seats = members.map(|member| plan::Seat {
                owner: member.owner.clone(),
                weight: member.weight,
            });
            seats.collect()
        };
        let ready = in_state(MemberState::Ready);
        if ready.is_empty() {
            in_state(MemberState::Cold)
        } else {
            ready
        }
    }

    /// Returns when the leases that `owner` may hold on keys of `range` have ended.
    fn free_at(
        &self,
        service: &model::ServiceName,
        owner: &keys::Owner,
        range: dialect::Range,
    ) -> clock::Millis {
        let holds = self.holds.iter().filter(|((of, by, held), _)| {
            let overlap = held.first <= range.last && range.first <= held.last;
            of == service && by == owner && overlap
        });
        let own = holds.map(|(_, until)| *until).max().unwrap_or_default();
        own.max(self.foreign.unwrap_or_default())
    }

    /// Returns whether the previous owner of a run holds nothing any more.
    fn is_free(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        prior: &keys::Owner,
        range: dialect::Range,
    ) -> bool {
        match self.standing(now, service, prior) {
            Standing::Lost | Standing::Reborn(_) => true,
            _ => now >= self.free_at(service, prior, range),
        }
    }

    fn order(&mut self, now: clock::Millis, actions: &mut Vec<Action>) {
        let confirmed = self.log.confirmed.unwrap_or_default();
        let outage = now.since(confirmed) >= OUTAGE;
        let Some(table) = self.log.table.take() else {
            return;
        };
        for (service, runs) in &table.services {
            for run in runs {
                actions.extend(self.order_run(now, service, run, outage));
            }
        }
        self.log.table = Some(table);
    }

    fn order_run(
        &mut self,
        now: clock::Millis,
        service: &model::ServiceName,
        run: &keys::Run,
        outage: bool,
    ) -> Option<Action> {
        let id = (service.clone(), run.range, run.fence);
        let mut order = self.orders.get(&id)?.clone();
        if let (Some(prior), None) = (&run.prior, order.settled)
            && self.is_free(now, service, prior, run.range)
        {
            order.settled = Some(now);
            order.call = None;
            order.next = now;
        }
        let asks = run.prior.is_some() && order.settled.is_none();
        let lengthen = outage && !order.long && !asks;
        if !outage {
            order.long = false;
        }
        let due = (order.call.is_none() && now >= order.next) || lengthen;
        let owner = if asks { &run.prior } else { &run.owner };
        let blank = !asks && now < self.blank;
        let action = match owner {
            Some(owner) if due && !blank => {
                self.last += 1;
                order.call = Some(self.last);
                order.next = now + RENEWAL;
                order.long = outage && !asks;
                let lease = if outage { LONGEST } else { HOLD };
                let call = Call {
                    id: id.clone(),
                    owner: owner.clone(),
                    lease: (!asks).then_some(lease),
                    sent: None,
                };
                Some(self.action(call, order.handover.clone()))
            }
            _ => None,
        };
        self.orders.insert(id, order);
        action
    }

    fn action(&mut self, call: Call, handover: Option<Arc<str>>) -> Action {
        let (service, range, fence) = call.id.clone();
        let owner = call.owner.clone();
        let lease = call.lease;
        self.calls.insert(self.last, call);
        match lease {
            Some(lease) => Action::Grant {
                call: self.last,
                service,
                owner,
                grant: dialect::Grant {
                    range,
                    fence,
                    lease,
                    handover,
                },
            },
            None => Action::Release {
                call: self.last,
                service,
                owner,
                release: dialect::Release { range, fence },
            },
        }
    }
}

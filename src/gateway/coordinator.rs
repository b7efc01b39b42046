//! State machine of the coordinator, the daemon that assigns the keys of keyed services
//! to targets and maintains the key table in the log.
//!
//! Every daemon runs the state machine; at most one may act as the coordinator at a time.
//! It reads no clock and performs no input or output: the caller reports events, polls
//! for actions, and executes them. `docs/platform.md` section 4 gives the rules.

mod acknowledgements;
mod balance;
mod failures;
mod freed;
mod load;
mod orders;
mod plan;
mod quorums;
mod revise;
mod takeover;
mod waits;

use std::collections::{BTreeMap, BTreeSet, btree_map};
use std::fmt;
use std::sync::Arc;

use crate::clock;
use crate::gateway::adapter;
use crate::gateway::keys;
use crate::model;

pub use self::freed::{Evidence, Freed};
pub use self::quorums::MAX_VOTERS;
pub use self::waits::{EarlierLeases, Term, Wait};

/// Time for which the coordinator may act after the start of a read or append that showed
/// its record as the newest one.
pub const AUTHORITY_MS: u64 = 2_500;
/// Lease of a grant while the log answers.
pub const NORMAL_LEASE_MS: u64 = 3_000;
/// Default of the longest lease that targets accept.
pub const MAX_LEASE_MS: u64 = 10_000;
/// Time after which a grant that is not answered is given up.
pub const GRANT_TIMEOUT_MS: u64 = 700;

/// Time between two grants for the same run.
const RENEWAL_INTERVAL_MS: u64 = 1_000;
/// Time between confirmations that the known record is the newest one.
const CONFIRMATION_INTERVAL_MS: u64 = 1_000;
/// Time after the start of the last confirmation from which the log counts as
/// unavailable.
const OUTAGE_TIMEOUT_MS: u64 = 1_400;
/// Time without a heartbeat after which another daemon takes over from the coordinator.
const HEARTBEAT_TIMEOUT_MS: u64 = 1_000;
/// Age of the coordinator's last confirmation from which another daemon takes over.
const CONFIRMATION_TIMEOUT_MS: u64 = 2_000;
/// Time for which a daemon's own reads must have succeeded before it takes over from a
/// coordinator that can't confirm. After an outage of the log, this lets the coordinator
/// confirm first.
const MIN_READABLE_MS: u64 = 500;
/// Longest time between the starts of two reads for which the log counts as readable
/// between them.
const MAX_READ_GAP_MS: u64 = 1_000;
/// Delay of a takeover per rank.
const RANK_DELAY_MS: u64 = 150;
/// Time added to leases for orders in flight.
const IN_FLIGHT_MARGIN_MS: u64 = 300;
/// Time over which orders have to fail before their owner is ejected.
const FAILURE_THRESHOLD_MS: u64 = 1_500;
/// Time for which an owner stays ejected after its last failed order.
const EJECTION_MS: u64 = 30_000;
/// Delay before a failed order is retried, and between the reads that precede a
/// takeover.
const RETRY_MS: u64 = 250;
/// Delay before a read or append that the log refused or did not answer is retried;
/// refused calls have a cost as well.
const LOG_RETRY_MS: u64 = 500;
/// Longest retry delay of a daemon that is not the coordinator.
const MAX_LOG_RETRY_MS: u64 = 5_000;
/// Time between batches of moves.
const BATCH_INTERVAL_MS: u64 = 1_000;
/// Time after a move for which the same keys are not moved again for balance.
const MOVE_COOLDOWN_MS: u64 = 3_000;
/// Age above which a load report is dropped.
const LOAD_EXPIRY_MS: u64 = 5_000;
/// Time for which completed moves stay in the table, so that one append clears several.
const CLEANUP_DELAY_MS: u64 = 1_000;
/// Time after a takeover for which owners missing from the list of targets keep their
/// keys, since a daemon's list lags.
const LIST_LAG_MS: u64 = 2_000;
/// Shortest time between two polls if nothing happens.
const MIN_POLL_INTERVAL_MS: u64 = 10;
/// Longest time between two polls.
const MAX_POLL_INTERVAL_MS: u64 = 1_000;
/// Rate of the slowest clock of a target that is allowed for, relative to this daemon's.
const MIN_CLOCK_RATE_PERCENT: u64 = 98;

/// Returns the longest time in milliseconds for which a target may hold keys after an
/// order with a lease of `lease` milliseconds was sent.
fn max_hold_ms(lease: u64) -> u64 {
    (lease * 100).div_ceil(MIN_CLOCK_RATE_PERCENT) + IN_FLIGHT_MARGIN_MS
}

/// Returns the longest time in milliseconds for which a target may hold keys after the end of
/// an earlier coordinator's authority. That one gave up its last grant after the grant's
/// timeout; its own leases count from then.
fn max_earlier_hold_ms(lease: u64) -> u64 {
    GRANT_TIMEOUT_MS + max_hold_ms(lease)
}

/// Availability of a target as the list of targets shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// The target takes keys.
    Ready,
    /// The target has just started; it keeps its keys and gets no further ones.
    Cold,
    /// The target announced its shutdown; its keys move away.
    Draining,
    /// The target is no longer listed.
    Unlisted,
}

/// A target of a keyed service.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name and incarnation of the target.
    pub owner: keys::Owner,
    /// Service that the target provides.
    pub service: model::ServiceName,
    /// Failure domain of the target.
    pub domain: model::DomainName,
    /// Capacity relative to other targets: slots by speed.
    pub weight: f64,
    /// Availability of the target.
    pub state: MemberState,
}

/// Keyed services, each with the failure domains allowed for it (`None` for all).
pub type Services = BTreeMap<model::ServiceName, Option<BTreeSet<model::DomainName>>>;

/// Outcome of an order to a target.
#[derive(Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target executed the order; a release may return a handover token.
    Done(Option<Arc<str>>),
    /// The target refused the order because it has seen a higher fencing token.
    Fenced,
    /// The target refused the order for another reason.
    Rejected,
    /// The connection was refused, by the target's host or by the network. The target may
    /// still work and hold keys.
    ConnectionRefused,
    /// An answer came that may not be one to the order, so that the order may not have
    /// arrived yet.
    Unclear,
    /// The order was not answered in time, or was not sent.
    Unanswered,
}

/// The names in log lines, which operators search for.
impl fmt::Debug for OrderOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Done(handover) => f.debug_tuple("Done").field(handover).finish(),
            Self::Fenced => f.write_str("Fenced"),
            Self::Rejected => f.write_str("Rejected"),
            Self::ConnectionRefused => f.write_str("Refused"),
            Self::Unclear => f.write_str("Unclear"),
            Self::Unanswered => f.write_str("Silent"),
        }
    }
}

/// Action that the caller has to execute.
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
        /// Target and the incarnation that it must have.
        owner: keys::Owner,
        /// Content of the order.
        grant: adapter::Grant,
    },
    /// Send a release.
    Release {
        /// Number of the order.
        call: u64,
        /// Service of the keys.
        service: model::ServiceName,
        /// Target and the incarnation that it must have.
        owner: keys::Owner,
        /// Content of the order.
        release: adapter::Release,
    },
    /// Read the table's topic.
    Read,
}

/// Identifies a run of one record: service, range and fencing token.
type RunId = (model::ServiceName, adapter::KeyRange, u64);

/// An append that has not been answered yet.
#[derive(Clone, Debug)]
struct Pending {
    table: keys::Table,
    end: model::Offset,
    started: clock::Millis,
}

/// What the daemon knows about the table's topic in the log.
#[derive(Clone, Debug, Default)]
struct Log {
    /// Offset of the newest record known, read or written.
    offset: Option<model::Offset>,
    table: Option<keys::Table>,
    /// End of the topic, once read.
    end: Option<model::Offset>,
    /// Start of the last read or append that showed the newest record.
    confirmed: Option<clock::Millis>,
    reading: bool,
    append: Option<Pending>,
    /// Time at or after which a read has to start before the next append: the outcome
    /// of the last append is unknown, or another daemon wrote a record.
    reread_from: Option<clock::Millis>,
    /// Start of the first of the last reads without a failure between them.
    readable_since: Option<clock::Millis>,
    /// Start of the last read that was answered.
    last_read: Option<clock::Millis>,
    /// A newer record than the known one exists.
    outdated: bool,
    /// This daemon was the coordinator when the log was restored, so that no other daemon
    /// has to be waited for.
    reclaiming: bool,
    /// The known table has runs that may not be granted yet.
    unverified: bool,
    /// Earliest time of the next read and of the next append.
    retry_at: clock::Millis,
}

/// What the daemon knows about the coordinator if that is another daemon.
#[derive(Clone, Debug)]
struct Peer {
    /// Time of its last heartbeat, or at which a record of its was read.
    last_heartbeat: clock::Millis,
    /// Offset of its record.
    offset: Option<model::Offset>,
    /// Time of its last confirmation.
    confirmed: clock::Millis,
}

/// State of the orders for one run.
#[derive(Clone, Debug, Default)]
struct Order {
    /// Number of the order in flight.
    call: Option<u64>,
    /// Earliest time of the next order.
    next_send: clock::Millis,
    /// Time at which the previous owner was found to hold none of the run's keys.
    prior_free: Option<clock::Millis>,
    /// Time at which the previous owner answered the release.
    released: Option<clock::Millis>,
    handover: Option<Arc<str>>,
    /// The last grant had an extended lease.
    extended: bool,
    /// A grant was answered.
    granted: bool,
    fenced: bool,
}

/// An order that has not been answered yet.
#[derive(Clone, Debug)]
struct Call {
    id: RunId,
    owner: keys::Owner,
    /// Lease of a grant in milliseconds; `None` for a release.
    lease: Option<u64>,
    sent: Option<clock::Millis>,
}

/// Availability of an owner, which decides what happens to its keys.
enum OwnerState {
    /// The owner keeps its keys and may get further ones.
    Ready,
    /// The owner keeps its keys: it is cold, or this daemon's list of targets lags.
    Retaining,
    /// The owner's keys move to other targets, after a release or when its leases end.
    Draining,
    /// The same target has this newer incarnation; the older one holds no keys.
    Restarted(keys::Owner),
}

/// State machine of one daemon.
#[derive(Clone, Debug)]
pub struct Coordinator {
    host: model::HostName,
    incarnation: model::Incarnation,
    log: Log,
    peer: Peer,
    rank: u32,
    resigned: bool,
    /// Time until which leases of earlier coordinators may last at most; set while
    /// the known record is this daemon's.
    earlier_leases: Option<clock::Millis>,
    /// Offset of the record with which this daemon's term began.
    term_offset: model::Offset,
    acknowledgements: acknowledgements::Acknowledgements,
    /// Daemons that may be voters, the preferred ones first.
    voter_candidates: Vec<model::HostName>,
    /// Time at which a record with the present voters was first known.
    quorum_since: clock::Millis,
    /// Voters of earlier records, while this daemon is the coordinator.
    earlier_quorums: Vec<quorums::EarlierQuorum>,
    /// Voters of records that a restore of the log may have lost, until the next term.
    lost_quorums: Vec<keys::Voters>,
    /// Time until which leases that these voters allowed may last.
    lost_until: clock::Millis,
    /// Time at which this daemon's first record was known.
    term_start: clock::Millis,
    /// Time from which grants may be sent; later than the start of the term if the
    /// record before it could not be decoded.
    grants_from: clock::Millis,
    members: BTreeMap<(model::ServiceName, model::TargetName), Member>,
    services: Services,
    loads: BTreeMap<(model::HostName, model::ServiceName), load::Load>,
    orders: BTreeMap<RunId, Order>,
    calls: BTreeMap<u64, Call>,
    /// Number of the last order.
    last_call: u64,
    /// Times until which a target may hold keys through this daemon's grants.
    lease_ends: BTreeMap<(model::ServiceName, keys::Owner, adapter::KeyRange), clock::Millis>,
    failures: BTreeMap<keys::Owner, failures::Failures>,
    /// Grants that a target may still apply.
    uncertain: Vec<UncertainGrant>,
    /// Waits for former owners that ended and were not reported yet.
    freed: Vec<Freed>,
    /// Ranges that moved recently, with the times of the moves.
    moved: Vec<(model::ServiceName, adapter::KeyRange, clock::Millis)>,
    /// Earliest time of the next batch of moves.
    next_batch: clock::Millis,
    /// Time of the next order.
    next_order: clock::Millis,
    /// Time at which completed moves are cleared from the table.
    cleanup: Option<clock::Millis>,
    /// An event occurred that may require a change of the table.
    dirty: bool,
    /// Extended leases were allowed when orders were last issued.
    extended: bool,
    /// Longest lease that targets accept, in milliseconds.
    max_lease: u64,
}

/// A grant that the target may still apply, even after a release: it was not answered,
/// or only after its run had changed.
#[derive(Clone, Debug)]
struct UncertainGrant {
    service: model::ServiceName,
    owner: keys::Owner,
    range: adapter::KeyRange,
    /// Time at which its lease ends at the latest.
    until: clock::Millis,
}

impl Coordinator {
    /// Returns the state of a daemon that has just started.
    pub fn new(host: model::HostName, incarnation: model::Incarnation, now: clock::Millis) -> Self {
        Self {
            host,
            incarnation,
            log: Log::default(),
            peer: Peer {
                last_heartbeat: now,
                offset: None,
                confirmed: now,
            },
            rank: 0,
            resigned: false,
            earlier_leases: None,
            term_offset: model::Offset(0),
            acknowledgements: acknowledgements::Acknowledgements::new(now),
            voter_candidates: Vec::new(),
            quorum_since: now,
            earlier_quorums: Vec::new(),
            lost_quorums: Vec::new(),
            lost_until: now,
            term_start: now,
            grants_from: now,
            members: BTreeMap::new(),
            services: Services::new(),
            loads: BTreeMap::new(),
            orders: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            lease_ends: BTreeMap::new(),
            failures: BTreeMap::new(),
            uncertain: Vec::new(),
            freed: Vec::new(),
            moved: Vec::new(),
            next_batch: now,
            next_order: now,
            cleanup: None,
            dirty: true,
            extended: false,
            max_lease: MAX_LEASE_MS,
        }
    }

    /// Sets the longest lease that targets accept, in milliseconds; the default is
    /// [`MAX_LEASE_MS`].
    pub fn with_max_lease(self, max_lease: u64) -> Self {
        Self {
            max_lease: max_lease.max(1),
            ..self
        }
    }

    /// Returns the lease of a grant while the log answers, in milliseconds.
    fn normal_lease(&self) -> u64 {
        NORMAL_LEASE_MS.min(self.max_lease)
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

    /// Returns whether the newest record known names this daemon as coordinator.
    pub fn is_coordinator(&self) -> bool {
        !self.resigned && !self.log.outdated && self.earlier_leases.is_some()
    }

    /// Returns whether this daemon is the coordinator and confirmed its record recently
    /// enough to send orders and append tables.
    pub fn may_act(&self, now: clock::Millis) -> bool {
        let confirmed = self.log.confirmed;
        self.is_coordinator() && confirmed.is_some_and(|start| now.since(start) < AUTHORITY_MS)
    }

    /// Stops acting as the coordinator, for a graceful shutdown. The caller must stop
    /// claiming to be the coordinator in heartbeats, so that another daemon takes over.
    pub fn resign(&mut self, _now: clock::Millis) {
        self.resigned = true;
    }

    /// Handles a read, started at `started`, that showed a topic without records.
    pub fn on_empty_topic(
        &mut self,
        now: clock::Millis,
        started: clock::Millis,
        end: model::Offset,
    ) {
        self.on_end(now, end);
        self.on_read_answered(started);
        if self.log.offset.is_none() {
            self.log.end = self.log.end.max(Some(end));
        }
    }

    /// Handles a read, started at `started`, whose newest record has the offset
    /// `offset`, in the era in which it was decided on. `table` is `None` if the record
    /// can't be decoded.
    pub fn on_record(
        &mut self,
        now: clock::Millis,
        started: clock::Millis,
        offset: model::Offset,
        end: model::Offset,
        table: Option<keys::Table>,
    ) {
        let is_present = self.on_end(now, end);
        self.on_read_answered(started);
        if is_present {
            self.adopt(now, started, offset, end, table);
        }
    }

    /// Handles a read from `from` on, started at `started`, that showed no record. It proves
    /// nothing if records before `from` are unknown here: a daemon's read position also moves
    /// on by records that other daemons pass on.
    pub fn on_unchanged(
        &mut self,
        now: clock::Millis,
        started: clock::Millis,
        from: model::Offset,
        end: model::Offset,
    ) {
        self.on_end(now, end);
        let first = model::Offset::default().in_era(self.era());
        if from > self.read_offset().unwrap_or(first) {
            return;
        }
        self.on_read_answered(started);
        self.confirm(started, end);
    }

    /// Handles a read that was not answered, or that the log refused.
    pub fn on_read_failed(&mut self, now: clock::Millis) {
        self.log.reading = false;
        self.log.readable_since = None;
        // The daemon of the lowest rank takes over, so that the others may retry later.
        let delay = match self.is_coordinator() {
            true => LOG_RETRY_MS,
            false => (LOG_RETRY_MS * (1 + u64::from(self.rank))).min(MAX_LOG_RETRY_MS),
        };
        self.log.retry_at = now + delay;
    }

    /// Handles the answer to an append, `None` if there was none.
    pub fn on_appended(&mut self, now: clock::Millis, answer: Option<adapter::AppendOutcome>) {
        let Some(pending) = self.log.append.take() else {
            return;
        };
        match answer {
            Some(adapter::AppendOutcome::Written(offset))
                if offset == pending.end && offset.era() == self.era() =>
            {
                let end = offset.next();
                self.adopt(now, pending.started, offset, end, Some(pending.table));
            }
            Some(adapter::AppendOutcome::Refused(_)) => self.log.retry_at = now + LOG_RETRY_MS,
            Some(adapter::AppendOutcome::Conflict(end)) => {
                self.on_end(now, end);
                self.log.outdated = true;
                self.log.reread_from = Some(now);
            }
            Some(adapter::AppendOutcome::Written(offset)) => {
                self.on_end(now, offset.next());
                self.log.reread_from = Some(now);
            }
            Some(adapter::AppendOutcome::Unknown) | None => {
                self.log.reread_from = Some(now);
            }
        }
    }

    /// Handles a heartbeat of a daemon that claims to be the coordinator by the record
    /// at `offset`, with the age of its last confirmation in milliseconds.
    pub fn on_heartbeat(
        &mut self,
        now: clock::Millis,
        from: model::HostName,
        incarnation: model::Incarnation,
        offset: model::Offset,
        confirmed_age: Option<u64>,
    ) {
        let own = from == self.host && incarnation == self.incarnation;
        if !own && offset.era() < self.era() {
            // Its record may be lost, but it takes over by itself when it can read the log.
            self.peer.last_heartbeat = now;
            return;
        }
        if own || self.peer.offset.max(self.log.offset) > Some(offset) {
            return;
        }
        if self.peer.offset < Some(offset) {
            self.peer.confirmed = now;
        }
        self.peer.offset = Some(offset);
        self.peer.last_heartbeat = now;
        if let Some(age) = confirmed_age {
            self.peer.confirmed = self.peer.confirmed.max(now - age);
        }
        self.log.outdated |= self.log.offset < Some(offset);
    }

    /// Replaces the known targets and keyed services.
    pub fn on_targets(&mut self, now: clock::Millis, members: Vec<Member>, services: Services) {
        let members = members.into_iter().map(|member| {
            let key = (member.service.clone(), member.owner.target.clone());
            (key, member)
        });
        self.members = members.collect();
        self.services = services;
        self.next_order = now;
        self.dirty = true;
    }

    /// Handles a daemon's report of load by bucket of [`keys::BUCKET_KEYS`] keys, in
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

    /// Returns the actions that are due. `rank` is this daemon's rank among the
    /// live daemons, 0 for the first to take over.
    pub fn poll(&mut self, now: clock::Millis, rank: u32) -> Vec<Action> {
        self.rank = rank;
        self.expire(now);
        let mut actions = Vec::new();
        if !self.log.reading && self.read_at(now) <= now {
            self.log.reading = true;
            actions.push(Action::Read);
        }
        let append = if self.is_coordinator() {
            self.next_table(now)
        } else {
            self.initial_or_takeover(now)
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
            self.issue_orders(now, &mut actions);
        }
        actions
    }

    /// Returns when to poll again at the latest if no event occurs before.
    pub fn next_wake(&self, now: clock::Millis) -> clock::Millis {
        let mut wake = now + MAX_POLL_INTERVAL_MS;
        if !self.log.reading {
            wake = wake.min(self.read_at(now));
        }
        if self.is_coordinator() {
            let outage = self
                .log
                .confirmed
                .map(|confirmed| confirmed + OUTAGE_TIMEOUT_MS);
            let times = [
                Some(self.next_order),
                Some(self.next_batch),
                self.cleanup,
                outage,
            ];
            let verification = self.log.unverified.then(|| self.earlier_until());
            let times = times.into_iter().chain([verification]);
            let upcoming = times.flatten().filter(|at| *at > now);
            wake = upcoming.fold(wake, Ord::min);
        } else {
            let takeover = self.takeover_at();
            wake = if takeover > now {
                wake.min(takeover)
            } else {
                wake
            };
        }
        wake.max(now + MIN_POLL_INTERVAL_MS)
    }

    fn expire(&mut self, now: clock::Millis) {
        self.expire_lost_quorums(now);
        self.loads
            .retain(|_, load| now.since(load.updated_at) <= LOAD_EXPIRY_MS);
        self.lease_ends.retain(|_, until| *until > now);
        self.failures
            .retain(|_, failures| now.since(failures.last_failed) < EJECTION_MS);
        self.moved
            .retain(|(_, _, at)| now.since(*at) < MOVE_COOLDOWN_MS);
        if self.is_coordinator() && !self.may_act(now) {
            // Without authority no orders are sent, so that missing answers prove nothing.
            self.failures.clear();
        }
    }
}

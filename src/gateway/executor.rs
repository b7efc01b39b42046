//! Carries out what the steward's state machine asks for.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::clock;
use crate::gateway::choice;
use crate::gateway::client;
use crate::gateway::counters;
use crate::gateway::dialect::{self, Topic};
use crate::gateway::feed::{self, TableRead};
use crate::gateway::keys;
use crate::gateway::peers;
use crate::gateway::shared::Shared;
use crate::gateway::steward;
use crate::model;

/// Key of the table's record.
const KEY: &str = "table";

/// Time for an answer to a grant, in milliseconds.
const GRANT: u64 = 700;

/// Time for an answer to a release, which comes when running work has ended.
const RELEASE: u64 = 9_000;

/// Time for a connection to a target.
const CONNECT: Duration = Duration::from_millis(400);

/// Time for an answer of the log, in milliseconds.
const APPEND: u64 = 1_000;

/// Time for which a read of the table waits for a record, in milliseconds.
const WAIT: u64 = 10_000;

type Steward = Rc<RefCell<steward::Steward>>;

/// Starts the steward's tasks.
pub(crate) fn start(shared: &Rc<Shared>) {
    let host = shared.settings.host.clone();
    let machine = steward::Steward::new(host, shared.incarnation, clock::now());
    let machine = machine.with_lease(shared.settings.bounds.lease.0);
    let machine: Steward = Rc::new(RefCell::new(machine));
    let socket = Rc::clone(&shared.socket);
    let reader = TableReader {
        shared: Rc::clone(shared),
        machine: Rc::clone(&machine),
    };
    let plan = feed::Plan {
        topic: Topic::Table,
        wait: WAIT,
        pace: 0,
    };
    tokio::task::spawn_local(feed::follow(Rc::clone(shared), plan, reader));
    tokio::task::spawn_local(work(Rc::clone(shared), Rc::clone(&machine)));
    tokio::task::spawn_local(receive(
        Rc::clone(shared),
        Rc::clone(&machine),
        Rc::clone(&socket),
    ));
    let word = {
        let (shared, machine) = (Rc::clone(shared), Rc::clone(&machine));
        move || word(&shared, &machine)
    };
    let steward = {
        let shared = Rc::clone(shared);
        move || {
            shared
                .table
                .borrow()
                .as_ref()
                .map(|(_, table)| table.host.clone())
        }
    };
    let counts = peers::send_counts(Rc::clone(shared), Rc::clone(&socket));
    tokio::task::spawn_local(counts);
    tokio::task::spawn_local(peers::send(Rc::clone(shared), socket, word, steward));
}

fn word(shared: &Shared, machine: &Steward) -> peers::Word {
    let now = clock::now();
    let mut machine = machine.borrow_mut();
    if shared.stopping.get() {
        machine.resign(now);
    }
    let offset = machine.offset().filter(|_| machine.is_steward());
    let claim = offset.map(|offset| peers::Claim {
        offset,
        confirmed: machine.confirmed_age(now),
        outage: machine.ask(now),
    });
    let (quiet, known) = machine.report(now);
    peers::Word {
        claim,
        known,
        quiet,
    }
}

async fn receive(shared: Rc<Shared>, machine: Steward, socket: Rc<UdpSocket>) {
    let take = |message: peers::Message| {
        let now = clock::now();
        let heartbeat = match message {
            peers::Message::Heartbeat(heartbeat) => heartbeat,
            peers::Message::Counts(peer, counts) => {
                return shared.choice.borrow_mut().on_counts(peer, counts, now);
            }
            peers::Message::Relayed(relayed) => {
                return shared.relay.borrow_mut().on_relayed(relayed);
            }
            peers::Message::Progress(host, progress) => {
                if shared.yields_to(&host) {
                    let mut relay = shared.relay.borrow_mut();
                    relay.on_reader(host);
                    relay.on_progress(progress, now);
                    drop(relay);
                    shared.relayed.notify_waiters();
                }
                return;
            }
            peers::Message::Acknowledged(host, outage) => {
                machine.borrow_mut().on_acknowledged(now, host, outage);
                return shared.wake_steward.notify_one();
            }
        };
        shared.peers.borrow_mut().on_heartbeat(&heartbeat.host, now);
        judge_outage(&shared, heartbeat.answering, now);
        let mut machine = machine.borrow_mut();
        let from = heartbeat.host;
        for (service, figures) in heartbeat.load {
            machine.on_load(now, from.clone(), service, figures);
        }
        machine.on_report(now, from.clone(), heartbeat.known, heartbeat.quiet);
        if let Some(claim) = heartbeat.claim {
            let peers::Claim {
                offset, confirmed, ..
            } = claim;
            let incarnation = heartbeat.incarnation;
            machine.on_heartbeat(now, from.clone(), incarnation, offset, confirmed);
            // Where the log answers others, one of them takes over: longest leases
            // would only delay what it does with the keys.
            if let Some(outage) = claim.outage
                && !shared.is_log_answering(now)
                && machine.acknowledge(now, offset)
            {
                acknowledge(&shared, &from, outage);
            }
        }
    };
    peers::receive(Rc::clone(&socket), take).await;
}

/// Tells the steward that this daemon has taken note of its outage.
fn acknowledge(shared: &Shared, steward: &model::HostName, outage: u64) {
    let message = peers::Message::Acknowledged(shared.settings.host.clone(), outage);
    if let Some(address) = shared.peers.borrow().address(steward) {
        // The steward asks again if this is lost.
        let _ = shared.socket.try_send_to(&peers::encode(&message), address);
    }
}

/// Ends the doubt about removed targets if the log served another daemon while
/// it did not answer this one: then this host was cut off, and the log was not out.
fn judge_outage(shared: &Shared, answering: u64, now: clock::Millis) {
    let Some(since) = shared.out_since.get() else {
        return;
    };
    if shared.answering.get().is_some() && answering > now.since(since) {
        shared.out_since.set(None);
        let mut registry = shared.registry.borrow_mut();
        registry.set_steady();
        registry.sweep(now);
    }
}

/// Follows the key table, which changes only when keys move.
struct TableReader {
    shared: Rc<Shared>,
    machine: Steward,
}

impl feed::Reader for TableReader {
    fn replace(&mut self, records: Vec<dialect::Record>, end: model::Offset, source: feed::Source) {
        let read = feed::newest_of(&records, end);
        self.take(read, source);
    }

    fn apply(&mut self, batch: dialect::Batch, source: feed::Source) -> Vec<dialect::Record> {
        let read = feed::last_of(&batch);
        self.take(read, source);
        let last = batch.records.last().cloned();
        last.into_iter().collect()
    }
}

impl TableReader {
    /// Takes a read. Records that another daemon read say nothing of this
    /// daemon's own access to the log, on which its right depends.
    fn take(&self, read: TableRead, source: feed::Source) {
        match (source, read) {
            (feed::Source::Own(started), read) => {
                take_read(&self.shared, &self.machine, started, read);
            }
            (feed::Source::Relayed, TableRead::Record(offset, _, Some(table))) => {
                show(&self.shared, offset, table);
            }
            (feed::Source::Relayed, _) => {}
        }
    }
}

/// Makes a table known to requests, unless a newer one is.
fn show(shared: &Shared, offset: model::Offset, table: keys::Table) {
    let mut known = shared.table.borrow_mut();
    if known.as_ref().is_none_or(|(newest, _)| *newest < offset) {
        let old = known.as_ref().map(|(_, old)| &**old);
        shared.history.on_table(clock::now(), offset, old, &table);
        *known = Some((offset, Rc::new(table)));
        drop(known);
        shared.moved.notify_waiters();
    }
}

/// Takes a read of the table's topic. A read that waited proves what was newest
/// only as of its start.
fn take_read(shared: &Rc<Shared>, machine: &Steward, started: clock::Millis, read: TableRead) {
    let now = clock::now();
    {
        let mut machine = machine.borrow_mut();
        match read {
            TableRead::Empty(end) => machine.on_end(now, started, end),
            TableRead::Nothing(end) => machine.on_confirmed(started, end),
            TableRead::Record(offset, end, table) => {
                machine.on_record(now, started, offset, end, table);
            }
        }
    }
    publish(shared, machine);
    shared.wake_steward.notify_one();
}

/// Makes the state machine's table known to requests.
fn publish(shared: &Shared, machine: &Steward) {
    let machine = machine.borrow();
    let known = shared.table.borrow().as_ref().map(|(offset, _)| *offset);
    if let (Some(table), Some(offset)) = (machine.table(), machine.offset())
        && known < Some(offset)
    {
        show(shared, offset, table.clone());
    }
}

/// Polls the state machine and carries out its actions.
async fn work(shared: Rc<Shared>, machine: Steward) {
    loop {
        let now = clock::now();
        if !shared.stopping.get() && shared.is_ready() {
            let (members, services) = members(&shared);
            let rank = rank(&shared, now);
            let own = machine.borrow().is_steward();
            let mut state = machine.borrow_mut();
            if own {
                for (service, figures) in demand(&shared) {
                    state.on_load(now, shared.settings.host.clone(), service, figures);
                }
            }
            state.on_daemons(shared.peers.borrow().live(now));
            state.on_targets(now, shared.listed_at.get(), members, services);
            let actions = state.poll(now, rank);
            let silent = state.silent_owners();
            shared.history.set_silent(now, state.offset(), silent);
            drop(state);
            for action in actions {
                let (shared, machine) = (Rc::clone(&shared), Rc::clone(&machine));
                tokio::task::spawn_local(carry_out(shared, machine, action));
            }
        }
        let wake = machine.borrow().next_wake(now).since(now).clamp(5, 1_000);
        let _ =
            tokio::time::timeout(Duration::from_millis(wake), shared.wake_steward.notified()).await;
    }
}

fn demand(shared: &Shared) -> BTreeMap<model::ServiceName, Vec<(u16, f32)>> {
    let demand = shared.demand.borrow();
    let list = demand.iter().map(|(service, buckets)| {
        let figures = buckets
            .iter()
            .map(|(&bucket, &work)| (bucket, work * peers::FADING));
        (service.clone(), figures.collect())
    });
    list.collect()
}

fn rank(shared: &Shared, now: clock::Millis) -> u32 {
    let settings = &shared.settings;
    let peers = shared.peers.borrow();
    peers.rank(&settings.host, &settings.domain, now, |_| true)
}

/// Returns the targets of keyed services, and these services.
fn members(shared: &Shared) -> (Vec<steward::Member>, steward::Services) {
    let mut services = steward::Services::new();
    let Some(catalog) = shared.catalog.borrow().clone() else {
        return (Vec::new(), services);
    };
    for service in catalog.services().filter(|service| service.keyed) {
        let regions = catalog.allowed_regions(&service.name);
        let mut domains = shared.domains(regions.as_ref());
        domains.retain(|domain| !shared.is_taken_out(domain));
        services.insert(service.name.clone(), Some(domains.into_iter().collect()));
    }
    let registry = shared.registry.borrow();
    let listed = registry.iter().map(|target| (target, false));
    let gone = registry.gone().map(|target| (target, true));
    let members = listed
        .chain(gone)
        .filter(|(target, _)| services.contains_key(&target.service))
        .map(|(target, gone)| member(shared, target, gone))
        .collect();
    (members, services)
}

fn member(
    shared: &Shared,
    target: &crate::gateway::registry::Target,
    gone: bool,
) -> steward::Member {
    let life = choice::Life {
        target: target.name.clone(),
        birth: target.birth,
    };
    let speed = shared.choice.borrow().speed(&life);
    let state = match target.state {
        _ if gone => steward::MemberState::Gone,
        dialect::EntryState::Draining => steward::MemberState::Leaving,
        dialect::EntryState::Ready if target.is_cold(clock::now()) => steward::MemberState::Cold,
        dialect::EntryState::Ready => steward::MemberState::Ready,
    };
    steward::Member {
        owner: keys::Owner {
            target: target.name.clone(),
            birth: target.birth,
        },
        service: target.service.clone(),
        domain: target.domain.clone(),
        weight: f64::from(target.slots.max(1)) / speed.clamp(0.3, 4.0),
        state,
    }
}

async fn carry_out(shared: Rc<Shared>, machine: Steward, action: steward::Action) {
    log::debug!("steward: {action:?}");
    match action {
        steward::Action::Append { table, end } => append(&shared, &machine, &table, end).await,
        steward::Action::Read => {
            let started = clock::now();
            let from = known_end(&machine);
            match feed::read_table(&shared, from, 0).await {
                Ok(read) => take_read(&shared, &machine, started, read),
                Err(_) => machine.borrow_mut().on_unread(clock::now()),
            }
        }
        steward::Action::Grant {
            call, owner, grant, ..
        } => {
            let request = shared.dialect.grant(&owner.target, &grant);
            let kind = counters::OrderKind::Grant;
            order(&shared, &machine, call, &owner, request, kind).await;
        }
        steward::Action::Release {
            call,
            owner,
            release,
            ..
        } => {
            let request = shared.dialect.release(&owner.target, release);
            let kind = counters::OrderKind::Release;
            order(&shared, &machine, call, &owner, request, kind).await;
        }
    }
    publish(&shared, &machine);
    shared.wake_steward.notify_one();
}

fn known_end(machine: &Steward) -> Option<model::Offset> {
    machine.borrow().offset().map(model::Offset::next)
}

async fn append(shared: &Shared, machine: &Steward, table: &[u8], end: model::Offset) {
    let request = shared.dialect.append(Topic::Table, KEY, table, Some(end));
    let answer = feed::call(shared, Topic::Table, request, APPEND).await;
    let appended = answer.ok().map(|answer| shared.dialect.appended(&answer));
    appended.inspect(|appended| shared.counters.on_call(Topic::Table, *appended));
    log::info!("key table appended at {end}: {appended:?}");
    machine.borrow_mut().on_appended(clock::now(), appended);
}

/// Sends an order, if the right still lasts.
async fn order(
    shared: &Shared,
    machine: &Steward,
    call: u64,
    owner: &keys::Owner,
    mut request: http::Request<bytes::Bytes>,
    kind: counters::OrderKind,
) {
    let Some(address) = address(shared, owner) else {
        return machine
            .borrow_mut()
            .on_ordered(clock::now(), call, steward::Reply::Silent);
    };
    if !machine.borrow_mut().may_send(clock::now(), call) {
        return machine
            .borrow_mut()
            .on_ordered(clock::now(), call, steward::Reply::Silent);
    }
    counters::count(&shared.counters.orders);
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(http::header::HOST, host);
    }
    let peer = client::Peer {
        address,
        birth: owner.birth,
    };
    let answer = shared.client.call(peer, request, CONNECT);
    let limit = match kind {
        counters::OrderKind::Grant => GRANT,
        counters::OrderKind::Release => RELEASE,
    };
    let answer = tokio::time::timeout(Duration::from_millis(limit), answer).await;
    let reply = match answer {
        Ok(Ok(answer)) => match shared.dialect.ordered(&answer) {
            dialect::Ordered::Done(handover) => steward::Reply::Done(handover),
            dialect::Ordered::Fenced => steward::Reply::Fenced,
            dialect::Ordered::Rejected(status) => {
                log::warn!("target {} rejected an order with {status}", owner.target);
                steward::Reply::Rejected
            }
        },
        Ok(Err(client::Failure::Refused)) => steward::Reply::Refused,
        _ => steward::Reply::Silent,
    };
    log::debug!("order {call} to target {}: {reply:?}", owner.target);
    shared.counters.on_order(kind, &reply);
    machine.borrow_mut().on_ordered(clock::now(), call, reply);
}

fn address(shared: &Shared, owner: &keys::Owner) -> Option<std::net::SocketAddr> {
    let registry = shared.registry.borrow();
    let listed = registry.get(&owner.target);
    let target = listed.filter(|target| target.birth == owner.birth).cloned();
    let mut gone = registry.gone();
    let target = target.or_else(|| {
        gone.find(|target| target.name == owner.target && target.birth == owner.birth)
            .cloned()
    });
    target.map(|target| target.address)
}

/// Returns the lives that the registry knows.
pub(crate) fn lives(shared: &Shared) -> HashSet<choice::Life> {
    let registry = shared.registry.borrow();
    let lives = registry.iter().map(|target| choice::Life {
        target: target.name.clone(),
        birth: target.birth,
    });
    lives.collect()
}

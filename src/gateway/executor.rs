//! Runs the coordinator's state machine: passes it events and executes its actions.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::clock;
use crate::gateway::adapter::{self, Topic};
use crate::gateway::choice;
use crate::gateway::client;
use crate::gateway::coordinator;
use crate::gateway::counters;
use crate::gateway::exchange;
use crate::gateway::feed::{self, TableRead};
use crate::gateway::keys;
use crate::gateway::order;
use crate::gateway::peers;
use crate::gateway::shared::Shared;
use crate::model;

/// Timeout of a release, which the target answers when running work has ended.
const RELEASE_TIMEOUT_MS: u64 = 9_000;

/// Timeout of a connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of an append to the log.
const APPEND_TIMEOUT_MS: u64 = 1_000;

/// Time for which a read of the table waits for a record.
const READ_WAIT_MS: u64 = 10_000;

/// Shortest time between two polls of the state machine if no event occurs.
const MIN_SLEEP_MS: u64 = 5;

/// Longest time between two polls of the state machine.
const MAX_SLEEP_MS: u64 = 1_000;

/// Smallest slowness relative to the mean that a target's weight takes into account.
const MIN_SLOWNESS: f64 = 0.3;

/// Largest slowness relative to the mean that a target's weight takes into account.
const MAX_SLOWNESS: f64 = 4.0;

/// Milliseconds per second.
const MS_PER_S: f64 = 1_000.0;

type Coordinator = Rc<RefCell<coordinator::Coordinator>>;

/// Starts the tasks that run the coordinator's state machine and the traffic between daemons.
pub(crate) fn start(shared: &Rc<Shared>) {
    let host = shared.settings.host.clone();
    let machine = coordinator::Coordinator::new(host, shared.incarnation, clock::now());
    let machine = machine.with_max_lease(shared.settings.bounds.lease.0);
    let machine: Coordinator = Rc::new(RefCell::new(machine));
    // Set once, since this function is called once.
    let _ = shared.coordinator.set(Rc::clone(&machine));
    let socket = Rc::clone(&shared.socket);
    let reader = TableReader {
        shared: Rc::clone(shared),
        machine: Rc::clone(&machine),
    };
    let plan = feed::Plan {
        topic: Topic::Table,
        wait: READ_WAIT_MS,
        interval_ms: 0,
    };
    tokio::task::spawn_local(feed::follow(Rc::clone(shared), plan, reader));
    tokio::task::spawn_local(run(Rc::clone(shared), Rc::clone(&machine)));
    tokio::task::spawn_local(receive(
        Rc::clone(shared),
        Rc::clone(&machine),
        Rc::clone(&socket),
    ));
    let content = {
        let (shared, machine) = (Rc::clone(shared), Rc::clone(&machine));
        move || heartbeat_content(&shared, &machine)
    };
    let coordinator = {
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
    tokio::task::spawn_local(peers::send_messages(
        Rc::clone(shared),
        socket,
        content,
        coordinator,
    ));
}

/// Returns the state of this daemon for its heartbeats; resigns if the daemon stops.
fn heartbeat_content(shared: &Shared, machine: &Coordinator) -> peers::HeartbeatContent {
    let now = clock::now();
    let mut machine = machine.borrow_mut();
    if shared.stopping.get() {
        machine.resign(now);
    }
    let offset = machine.offset().filter(|_| machine.is_coordinator());
    let claim = offset.map(|offset| peers::Claim {
        offset,
        confirmed: machine.confirmed_age(now),
        outage: machine.request_acknowledgement(now),
    });
    let (acknowledged_age, known) = machine.report(now);
    peers::HeartbeatContent {
        claim,
        newest_record: known,
        acknowledged_age,
    }
}

/// Handles datagrams of other daemons.
async fn receive(shared: Rc<Shared>, machine: Coordinator, socket: Rc<UdpSocket>) {
    let handle = |message: peers::Message| {
        let now = clock::now();
        let heartbeat = match message {
            peers::Message::Heartbeat(heartbeat) => heartbeat,
            peers::Message::Counts(peer, counts) => {
                return shared.choice.borrow_mut().on_counts(peer, counts, now);
            }
            peers::Message::Relayed(relayed) => {
                return shared.relay.borrow_mut().on_relayed(relayed);
            }
            peers::Message::Compressed(bytes) => {
                return shared.relay.borrow_mut().on_compressed(&bytes);
            }
            peers::Message::Progress(host, progress) => {
                if shared.defers_to(&host) {
                    let answering = progress.answering;
                    let mut relay = shared.relay.borrow_mut();
                    relay.on_reader(host);
                    relay.on_progress(progress, now);
                    drop(relay);
                    check_outage(&shared, answering, now);
                }
                return;
            }
            peers::Message::Views(host, announcement) => {
                if shared.defers_to(&host) {
                    shared
                        .relay
                        .borrow_mut()
                        .on_announcement(&announcement, now);
                    shared.reader_progress.notify_waiters();
                    let renewals = shared
                        .views
                        .borrow_mut()
                        .on_announcement(&announcement, now);
                    for (topic, renewal) in renewals {
                        feed::on_renewal(&shared, topic, Some(renewal));
                    }
                }
                return;
            }
            peers::Message::Quarantine(datagram) => {
                if let Err(error) = shared.quarantine.borrow_mut().on_message(&datagram, now) {
                    log::debug!(
                        "skipped a part of a message of host {}: {error}",
                        datagram.host
                    );
                }
                return;
            }
            peers::Message::Leaving(host, targets) => {
                return on_leaving_reported(&shared, &host, targets);
            }
            peers::Message::Limits(host, reports) => {
                return shared.on_limits_reported(&host, reports);
            }
            peers::Message::Question(question) => return shared.on_question(question),
            peers::Message::Answer(answer) => return shared.on_permit(answer),
            peers::Message::Acknowledged(host, outage) => {
                machine.borrow_mut().on_acknowledged(now, host, outage);
                return shared.wake_coordinator.notify_one();
            }
        };
        shared.peers.borrow_mut().on_heartbeat(&heartbeat.host, now);
        check_outage(&shared, heartbeat.answering, now);
        let mut machine = machine.borrow_mut();
        let from = heartbeat.host;
        for (service, figures) in heartbeat.load {
            machine.on_load(now, from.clone(), service, figures);
        }
        machine.on_report(
            now,
            from.clone(),
            heartbeat.newest_record,
            heartbeat.acknowledged_age,
        );
        if let Some(claim) = heartbeat.claim {
            let peers::Claim {
                offset, confirmed, ..
            } = claim;
            let incarnation = heartbeat.incarnation;
            machine.on_heartbeat(now, from.clone(), incarnation, offset, confirmed);
            // If the log answers this daemon, it does not acknowledge the outage: a daemon
            // that the log answers takes over, and extended leases would only delay it.
            if let Some(outage) = claim.outage
                && !shared.is_log_answering(now)
                && machine.acknowledge(now, offset)
            {
                acknowledge(&shared, &from, outage);
            }
        }
    };
    peers::receive_messages(Rc::clone(&socket), handle).await;
}

/// Handles another daemon's report of targets that said that they leave. Only incarnations
/// that this daemon lists are kept, so that reports need no further memory.
fn on_leaving_reported(
    shared: &Shared,
    host: &model::HostName,
    targets: Vec<(model::TargetName, u64)>,
) {
    for (target, birth) in targets.into_iter().take(peers::MAX_LEAVING) {
        let instance = choice::Instance { target, birth };
        let listed = {
            let registry = shared.registry.borrow();
            let target = registry.get(&instance.target);
            target.is_some_and(|target| target.birth == instance.birth)
        };
        if listed {
            shared.on_reported(host, &instance);
        }
    }
}

/// Sends the coordinator this daemon's acknowledgement of its outage.
fn acknowledge(shared: &Shared, coordinator: &model::HostName, outage: u64) {
    let message = peers::Message::Acknowledged(shared.settings.host.clone(), outage);
    if let Some(address) = shared.peers.borrow().address(coordinator) {
        // The coordinator requests it again if this datagram is lost.
        let _ = shared.socket.try_send_to(&peers::encode(&message), address);
    }
}

/// Stops delaying removals of targets because of an outage of the log if the log
/// answered another daemon during that outage: then this host was disconnected, and the
/// log was available.
fn check_outage(shared: &Shared, answering: u64, now: clock::Millis) {
    let Some(since) = shared.outage_since.get() else {
        return;
    };
    let reads_again = shared.answering_since.get().is_some() || shared.has_reader();
    if reads_again && answering > now.since(since) {
        shared.outage_since.set(None);
        let mut registry = shared.registry.borrow_mut();
        registry.clear_outage();
        registry.sweep(now);
    }
}

/// Follows the key table, which changes only when keys move.
struct TableReader {
    shared: Rc<Shared>,
    machine: Coordinator,
}

impl feed::Handler for TableReader {
    fn replace(&mut self, records: Vec<adapter::Record>, end: model::Offset, source: feed::Source) {
        let read = feed::newest_table_of(&records, end);
        self.on_read(read, source);
    }

    fn apply(&mut self, batch: adapter::Batch, source: feed::Source) -> Vec<adapter::Record> {
        let read = feed::last_table(batch.next, &batch);
        self.on_read(read, source);
        feed::newest_record(&batch.records)
            .cloned()
            .into_iter()
            .collect()
    }
}

impl TableReader {
    /// Handles a read. A record relayed by another daemon does not prove this daemon's own
    /// access to the log, on which its authority as the coordinator depends.
    fn on_read(&self, read: TableRead, source: feed::Source) {
        match (source, read) {
            (feed::Source::Own(started), read) => {
                on_table_read(&self.shared, &self.machine, started, read);
            }
            (feed::Source::Relayed, TableRead::Record(offset, _, Some(table))) => {
                publish_table(&self.shared, offset, table);
            }
            (feed::Source::Relayed, _) => {}
        }
    }
}

/// Publishes a table to requests, unless a newer one is published.
fn publish_table(shared: &Shared, offset: model::Offset, table: keys::Table) {
    let mut known = shared.table.borrow_mut();
    if known.as_ref().is_none_or(|(newest, _)| *newest < offset) {
        let old = known.as_ref().map(|(_, old)| &**old);
        shared
            .history
            .on_key_table(clock::now(), offset, old, &table);
        *known = Some((offset, Rc::new(table)));
        drop(known);
        shared.owner_changed.notify_waiters();
    }
}

/// Passes a read of the table's topic to the state machine. A read that waited proves
/// which record was the newest only as of its start.
fn on_table_read(
    shared: &Rc<Shared>,
    machine: &Coordinator,
    started: clock::Millis,
    read: TableRead,
) {
    let now = clock::now();
    {
        let mut machine = machine.borrow_mut();
        match read {
            TableRead::Empty(end) => machine.on_empty_topic(now, started, end),
            TableRead::Unchanged(from, end) => machine.on_unchanged(now, started, from, end),
            TableRead::Record(offset, end, table) => {
                machine.on_record(now, started, offset, end, table);
            }
        }
    }
    publish_newest(shared, machine);
    shared.wake_coordinator.notify_one();
}

/// Publishes the state machine's table to requests if it is newer.
fn publish_newest(shared: &Shared, machine: &Coordinator) {
    let machine = machine.borrow();
    let known = shared.table.borrow().as_ref().map(|(offset, _)| *offset);
    if let (Some(table), Some(offset)) = (machine.table(), machine.offset())
        && known < Some(offset)
    {
        publish_table(shared, offset, table.clone());
    }
}

/// Polls the state machine and executes its actions.
async fn run(shared: Rc<Shared>, machine: Coordinator) {
    let mut known = None;
    loop {
        let now = clock::now();
        if !shared.stopping.get() && shared.is_ready() {
            let (members, services) = keyed_members(&shared);
            let rank = rank(&shared, now);
            let is_coordinator = machine.borrow().is_coordinator();
            let mut state = machine.borrow_mut();
            if is_coordinator {
                for (service, figures) in own_load(&shared) {
                    state.on_load(now, shared.settings.host.clone(), service, figures);
                }
            }
            state.on_daemons(shared.peers.borrow().count_live(now));
            if is_coordinator || shared.table.borrow().is_none() {
                let own = &shared.settings.domain;
                state.on_candidates(shared.peers.borrow().voter_candidates(own, now));
            }
            state.on_targets(now, members, services);
            let actions = state.poll(now, rank);
            for freed in state.take_freed() {
                log::info!("{freed}");
                shared.counters.on_freed(freed.evidence);
            }
            let ejected = state.ejected_owners();
            shared.history.set_ejected(now, state.offset(), ejected);
            known = log_term(known, state.term(now));
            drop(state);
            for action in actions {
                let (shared, machine) = (Rc::clone(&shared), Rc::clone(&machine));
                tokio::task::spawn_local(execute(shared, machine, action));
            }
        }
        let wake = machine
            .borrow()
            .next_wake(now)
            .since(now)
            .clamp(MIN_SLEEP_MS, MAX_SLEEP_MS);
        let _ = tokio::time::timeout(
            Duration::from_millis(wake),
            shared.wake_coordinator.notified(),
        )
        .await;
    }
}

/// Logs the begin and the end of this daemon's term as the coordinator, and when runs of a
/// restored log may be granted; returns the present term.
fn log_term(
    known: Option<coordinator::Term>,
    term: Option<coordinator::Term>,
) -> Option<coordinator::Term> {
    let begun = |term: Option<coordinator::Term>| term.map(|term| term.offset);
    match (known, term) {
        (Some(known), None) => log::info!("no longer the coordinator by record {}", known.offset),
        (_, Some(term)) if begun(known) != Some(term.offset) => log::info!(
            "coordinator by record {}; leases of earlier ones: {}; {} runs wait for them",
            term.offset,
            term.leases,
            term.unverified
        ),
        (Some(known), Some(term)) if known.unverified > 0 && term.unverified == 0 => {
            log::info!("no run waits for leases by records that the log has lost");
        }
        (Some(known), Some(term)) if known.leases.reported != term.leases.reported => {
            log::debug!("leases of earlier coordinators: {}", term.leases);
        }
        _ => {}
    }
    term
}

/// Returns this daemon's own load by service and bucket.
fn own_load(shared: &Shared) -> BTreeMap<model::ServiceName, Vec<(u16, f32)>> {
    let demand = shared.key_demand.borrow();
    let list = demand.iter().map(|(service, buckets)| {
        let figures = buckets
            .iter()
            .map(|(&bucket, &work)| (bucket, work * peers::DECAY_PER_S));
        (service.clone(), figures.collect())
    });
    list.collect()
}

/// Returns this daemon's rank among the live daemons for a takeover.
fn rank(shared: &Shared, now: clock::Millis) -> u32 {
    let settings = &shared.settings;
    let peers = shared.peers.borrow();
    peers.rank(&settings.host, &settings.domain, now, |_| true)
}

/// Returns the targets of keyed services, and these services with their allowed domains.
fn keyed_members(shared: &Shared) -> (Vec<coordinator::Member>, coordinator::Services) {
    let mut services = coordinator::Services::new();
    let Some(catalog) = shared.catalog.borrow().clone() else {
        return (Vec::new(), services);
    };
    for service in catalog.services().filter(|service| service.keyed) {
        let regions = catalog.allowed_regions(&service.name);
        let mut domains = shared.domains(regions.as_ref());
        domains.retain(|domain| !shared.is_drained(domain));
        services.insert(service.name.clone(), Some(domains.into_iter().collect()));
    }
    let registry = shared.registry.borrow();
    let listed = registry.iter().map(|target| (target, false));
    let unlisted = registry.removed().map(|target| (target, true));
    let members = listed
        .chain(unlisted)
        .filter(|(target, _)| services.contains_key(&target.service))
        .map(|(target, unlisted)| member(shared, target, unlisted))
        .collect();
    (members, services)
}

/// Returns a target as the state machine's member; `unlisted` says that it is not listed.
fn member(
    shared: &Shared,
    target: &crate::gateway::registry::Target,
    unlisted: bool,
) -> coordinator::Member {
    let incarnation = choice::Instance {
        target: target.name.clone(),
        birth: target.birth,
    };
    let slowness = shared.choice.borrow().time_factor(&incarnation);
    let leaving = shared.notices.borrow().leaving_since(&incarnation);
    let state = match target.state {
        _ if unlisted => coordinator::MemberState::Unlisted,
        adapter::EntryState::Draining => coordinator::MemberState::Draining,
        // What the target said itself is newer than its entry.
        adapter::EntryState::Ready if leaving.is_some() => coordinator::MemberState::Draining,
        adapter::EntryState::Ready if target.is_cold(clock::now()) => {
            coordinator::MemberState::Cold
        }
        adapter::EntryState::Ready => coordinator::MemberState::Ready,
    };
    coordinator::Member {
        owner: keys::Owner {
            target: target.name.clone(),
            birth: target.birth,
        },
        service: target.service.clone(),
        domain: target.domain.clone(),
        weight: limited_weight(
            shared,
            target,
            f64::from(target.slots.max(1)) / slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS),
        ),
        state,
    }
}

/// Returns a target's weight, capped by the number of slots that the requests of its limit
/// keep busy on average.
fn limited_weight(shared: &Shared, target: &crate::gateway::registry::Target, weight: f64) -> f64 {
    let limit = shared.limits.borrow().limit(&target.instance());
    let catalog = shared.catalog.borrow();
    let (Some(limit), Some(catalog)) = (limit, catalog.as_ref()) else {
        return weight;
    };
    let is_served = |backend: &adapter::Backend| backend.service == target.service;
    let routes = catalog
        .routes()
        .filter(|route| route.backends.iter().any(is_served));
    let work: Vec<_> = routes
        .map(|route| exchange::expected_work(shared, route))
        .collect();
    let mean_ms = work.iter().sum::<f64>() / work.len().max(1) as f64;
    weight.min(limit.per_second() * mean_ms / MS_PER_S)
}

/// Executes one action and reports its outcome to the state machine.
async fn execute(shared: Rc<Shared>, machine: Coordinator, action: coordinator::Action) {
    log::debug!("steward: {action:?}");
    match action {
        coordinator::Action::Append { table, end } => append(&shared, &machine, &table, end).await,
        coordinator::Action::Read => {
            let started = clock::now();
            let from = machine.borrow().read_offset();
            match feed::read_table(&shared, from, 0).await {
                Ok(read) => on_table_read(&shared, &machine, started, read),
                Err(_) => machine.borrow_mut().on_read_failed(clock::now()),
            }
        }
        coordinator::Action::Grant {
            call, owner, grant, ..
        } => {
            let request = shared.adapter.build_grant(&owner.target, &grant);
            let kind = counters::OrderKind::Grant;
            send_order(&shared, &machine, call, &owner, request, kind).await;
        }
        coordinator::Action::Release {
            call,
            owner,
            release,
            ..
        } => {
            let request = shared.adapter.build_release(&owner.target, release);
            let kind = counters::OrderKind::Release;
            send_order(&shared, &machine, call, &owner, request, kind).await;
        }
    }
    publish_newest(&shared, &machine);
    shared.wake_coordinator.notify_one();
}

/// Appends an encoded table to the log if the topic ends at `end`.
async fn append(shared: &Shared, machine: &Coordinator, table: &[u8], end: model::Offset) {
    let key = keys::record_key(end.era());
    let request = shared
        .adapter
        .build_append(Topic::Table, &key, table, Some(end));
    let answer = feed::call(shared, Topic::Table, request, APPEND_TIMEOUT_MS).await;
    let appended = answer
        .ok()
        .map(|answer| shared.adapter.parse_append(&answer));
    appended.inspect(|appended| shared.counters.on_call(Topic::Table, *appended));
    log::info!("key table appended at {end}: {appended:?}");
    machine.borrow_mut().on_appended(clock::now(), appended);
}

/// Sends an order if the state machine still allows it, and reports its outcome.
async fn send_order(
    shared: &Shared,
    machine: &Coordinator,
    call: u64,
    owner: &keys::Owner,
    mut request: http::Request<bytes::Bytes>,
    kind: counters::OrderKind,
) {
    let Some(address) = address(shared, owner) else {
        return machine.borrow_mut().on_ordered(
            clock::now(),
            call,
            coordinator::OrderOutcome::Unanswered,
        );
    };
    if !machine.borrow_mut().may_send(clock::now(), call) {
        return machine.borrow_mut().on_ordered(
            clock::now(),
            call,
            coordinator::OrderOutcome::Unanswered,
        );
    }
    counters::increment(&shared.counters.orders);
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(http::header::HOST, host);
    }
    let peer = client::Peer {
        address,
        birth: owner.birth,
    };
    let began = clock::now();
    let may_write = || machine.borrow_mut().may_write(clock::now(), call);
    let (reuse, timeout) = match kind {
        counters::OrderKind::Grant => (client::Reuse::Pooled, coordinator::GRANT_TIMEOUT_MS),
        // The answer to a release lets the keys go to another target, so that no earlier
        // answer may be taken for it.
        counters::OrderKind::Release => (client::Reuse::Never, RELEASE_TIMEOUT_MS),
    };
    let answer = shared
        .orders
        .call_if(peer, request, CONNECT_TIMEOUT, reuse, may_write);
    let answer = tokio::time::timeout(Duration::from_millis(timeout), answer).await;
    let answer = answer.unwrap_or(Err(client::Failure::Broken));
    if let Ok(answer) = &answer {
        let notice = shared
            .adapter
            .parse_notice(answer.status(), answer.headers());
        let instance = choice::Instance {
            target: owner.target.clone(),
            birth: owner.birth,
        };
        shared.on_notice(&instance, notice);
        // Answers to orders need not name a limit while it holds, so that they end none.
        shared.on_limit(&instance, answer.headers(), notice.limit, None);
        let mut quarantine = shared.quarantine.borrow_mut();
        quarantine.on_response(&instance, began);
    }
    let reply = order::outcome(
        &*shared.adapter,
        answer.as_ref().map_err(|failure| *failure),
    );
    match (&reply, &answer) {
        (coordinator::OrderOutcome::Rejected, Ok(answer)) => {
            let status = answer.status().as_u16();
            log::warn!("target {} rejected an order with {status}", owner.target);
        }
        (coordinator::OrderOutcome::Unclear, _) => {
            log::warn!("target {} may have answered something else", owner.target);
            // Further answers may come late on the connections that were used before.
            shared.orders.close_idle(peer);
        }
        _ => {}
    }
    log::debug!("order {call} to target {}: {reply:?}", owner.target);
    shared.counters.on_order(kind, &reply);
    machine.borrow_mut().on_ordered(clock::now(), call, reply);
}

/// Returns the address of an owner that is listed or was removed recently.
fn address(shared: &Shared, owner: &keys::Owner) -> Option<std::net::SocketAddr> {
    let registry = shared.registry.borrow();
    let listed = registry.get(&owner.target);
    let target = listed.filter(|target| target.birth == owner.birth).cloned();
    let mut removed = registry.removed();
    let target = target.or_else(|| {
        removed
            .find(|target| target.name == owner.target && target.birth == owner.birth)
            .cloned()
    });
    target.map(|target| target.address)
}

/// Returns the incarnations of all targets in the registry.
pub(crate) fn instances(shared: &Shared) -> HashSet<choice::Instance> {
    let registry = shared.registry.borrow();
    let incarnations = registry.iter().map(|target| choice::Instance {
        target: target.name.clone(),
        birth: target.birth,
    });
    incarnations.collect()
}

//! State that all tasks of a daemon share. The tasks run on one thread; no borrow
//! may be held across an `await`.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};

use crate::clock;
use crate::gateway::adapter;
use crate::gateway::burn;
use crate::gateway::catalog;
use crate::gateway::choice;
use crate::gateway::client;
use crate::gateway::coordinator;
use crate::gateway::counters;
use crate::gateway::exchange::stop;
use crate::gateway::history;
use crate::gateway::keys;
use crate::gateway::limits;
use crate::gateway::memory;
use crate::gateway::notices;
use crate::gateway::peers;
use crate::gateway::quarantine;
use crate::gateway::quota;
use crate::gateway::recent;
use crate::gateway::registry;
use crate::gateway::relay;
use crate::gateway::settings;
use crate::gateway::view;
use crate::model;

/// Largest body of an answer to an order, in bytes. Only the status and the headers count, and
/// a coordinator calls many targets at a time.
const MAX_ORDER_BYTES: usize = 64 << 10;

/// Shared state of a daemon.
pub struct Shared {
    /// Settings.
    pub settings: settings::Settings,
    /// Region of this host.
    pub region: Option<model::RegionName>,
    /// Random identifier of this process.
    pub incarnation: model::Incarnation,
    /// Adapter for the platform's protocol.
    pub adapter: Rc<dyn adapter::Adapter>,
    /// HTTP client with the connections to targets and to the log.
    pub client: client::Client,
    /// HTTP client with the connections that carry orders to targets, and nothing else: an
    /// answer to a request that comes late can't be taken for one to an order.
    pub orders: client::Client,
    /// Configuration in effect, if one was read.
    pub catalog: RefCell<Option<Rc<catalog::Catalog>>>,
    /// Failure domains that operators drain, each with the time at which this daemon
    /// learned of it.
    pub drained_domains: RefCell<HashMap<model::DomainName, clock::Millis>>,
    /// Registry of targets.
    pub registry: RefCell<registry::Registry>,
    /// Whether the list of targets was read at least once.
    pub targets_read: Cell<bool>,
    /// Offset at which this host's record was appended.
    pub host_record: Cell<Option<model::Offset>>,
    /// Era of the log in the last full read of the list of targets.
    pub log_era: Cell<u64>,
    /// Time since which all of this daemon's reads of the list of targets have
    /// succeeded, or `None` if the last one failed.
    pub answering_since: Cell<Option<clock::Millis>>,
    /// Start of the outage of the log that lasts, as this daemon sees it.
    pub(crate) outage: Cell<Option<clock::Millis>>,
    /// Start of the last period in which this daemon could not read the log.
    pub outage_since: Cell<Option<clock::Millis>>,
    /// State of the relay, by which one daemon reads the log for its failure domain.
    pub(crate) relay: RefCell<relay::Relay>,
    /// How current this daemon's view of each topic of the log is.
    pub(crate) views: RefCell<view::Views>,
    /// Socket for messages to other daemons.
    pub(crate) socket: Rc<UdpSocket>,
    /// Statistics of the targets' speed and load, for the choice of targets.
    pub choice: RefCell<choice::Table>,
    /// What targets have said of themselves in their answers.
    pub notices: RefCell<notices::Notices>,
    /// Limits that targets have named on the requests that they take.
    pub limits: RefCell<limits::Limits>,
    /// Questions for permits that wait for their answers.
    pub(crate) questions: limits::permit::Questions,
    /// Requests that crash targets.
    pub quarantine: RefCell<quarantine::Quarantine>,
    /// Distribution of requests among the backends of each route.
    pub distributions: RefCell<catalog::Distributions>,
    /// Mean time in milliseconds that a request of each route takes at a target.
    pub work_times: RefCell<HashMap<Arc<str>, choice::MeanWork>>,
    /// Retry budget and hedge budget of each service, in this order.
    pub retry_budgets:
        RefCell<HashMap<model::ServiceName, (quota::RetryBudget, quota::RetryBudget)>>,
    /// Rate limits of requests to cold targets.
    pub cold_limiters: RefCell<HashMap<choice::Instance, quota::ColdLimiter>>,
    /// State machine of the coordinator, once it runs.
    pub(crate) coordinator: OnceCell<Rc<RefCell<coordinator::Coordinator>>>,
    /// Newest key table that this daemon knows, with its offset in the log.
    pub table: RefCell<Option<(model::Offset, Rc<keys::Table>)>>,
    /// Wakes requests that wait for a new owner of their key.
    pub owner_changed: Notify,
    /// Wakes tasks that wait to read from the log, once the log is available again.
    pub log_returned: Notify,
    /// Wakes paused readers when another daemon reports that it reads the log.
    pub reader_progress: Notify,
    /// Wakes the coordinator's loop.
    pub wake_coordinator: Notify,
    /// Work per key bucket of each keyed service in milliseconds, reported to the
    /// coordinator.
    pub key_demand: RefCell<HashMap<model::ServiceName, HashMap<u16, f32>>>,
    /// Directory of the other daemons.
    pub peers: RefCell<peers::Directory>,
    /// Whether the daemon is shutting down.
    pub stopping: Cell<bool>,
    /// Shutdown in progress.
    pub stop: watch::Sender<Option<stop::Stop>>,
    /// Number of open connections of callers.
    pub connections: Cell<usize>,
    /// Number of requests in progress.
    pub in_flight: Cell<usize>,
    /// Bytes of request bodies that are buffered in memory.
    pub body_bytes: Cell<usize>,
    /// Last events, for the admin port.
    pub history: history::Ring,
    /// Last requests that failed, were refused, or were answered late, for the admin
    /// port.
    pub recent: Rc<recent::Ring>,
    /// Service-level burn of routes, for the admin port.
    pub(crate) burn: Rc<burn::Table>,
    /// Metrics of the daemon.
    pub counters: counters::Counters,
}

impl Shared {
    /// Returns the initial state of a daemon, without configuration, targets or keys.
    pub fn new(
        settings: settings::Settings,
        adapter: Rc<dyn adapter::Adapter>,
        socket: UdpSocket,
    ) -> Self {
        let counters = counters::Counters::default();
        let rules = quarantine::Rules::from(&settings.policy);
        let host = settings.host.clone();
        Self {
            quarantine: RefCell::new(quarantine::Quarantine::new(host, rules, clock::now())),
            region: settings.region(&settings.domain).cloned(),
            peers: RefCell::new(peers::Directory::new(settings.host.clone())),
            client: client::Client::with_counter(counters.connections.clone())
                .with_identifier(adapter.names().request.clone())
                .with_memory(memory::ResponseMemory::new(settings.capacity.body_bytes())),
            settings,
            incarnation: model::Incarnation(rand::random()),
            orders: client::Client::with_counter(counters.connections.clone())
                .with_call_limit(MAX_ORDER_BYTES),
            adapter,
            catalog: RefCell::default(),
            drained_domains: RefCell::default(),
            registry: RefCell::default(),
            targets_read: Cell::default(),
            host_record: Cell::default(),
            log_era: Cell::default(),
            answering_since: Cell::default(),
            outage: Cell::default(),
            outage_since: Cell::default(),
            relay: RefCell::default(),
            views: RefCell::default(),
            socket: Rc::new(socket),
            choice: RefCell::default(),
            notices: RefCell::default(),
            limits: RefCell::default(),
            questions: limits::permit::Questions::default(),
            distributions: RefCell::default(),
            work_times: RefCell::default(),
            retry_budgets: RefCell::default(),
            cold_limiters: RefCell::default(),
            coordinator: OnceCell::new(),
            table: RefCell::default(),
            owner_changed: Notify::new(),
            log_returned: Notify::new(),
            reader_progress: Notify::new(),
            wake_coordinator: Notify::new(),
            key_demand: RefCell::default(),
            stopping: Cell::default(),
            stop: watch::Sender::default(),
            connections: Cell::default(),
            in_flight: Cell::default(),
            body_bytes: Cell::default(),
            history: history::Ring::new(clock::now()),
            recent: Rc::default(),
            burn: Rc::new(burn::Table::new(clock::now())),
            counters,
        }
    }

    /// Returns whether the daemon can serve callers: it has a configuration and a list
    /// of targets, and is not shutting down.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.targets_read.get() && self.catalog.borrow().is_some()
    }

    /// Records that a read of the targets failed, which begins an outage of the log.
    pub(crate) fn begin_outage(&self, now: clock::Millis) {
        let since = self.outage.get().unwrap_or(now);
        self.outage.set(Some(since));
        self.outage_since.set(Some(since));
        self.answering_since.set(None);
        self.registry.borrow_mut().set_outage(now, true);
    }

    /// Ends an outage of the log, if there is one, and wakes the tasks that wait to read.
    pub(crate) fn end_outage(&self, now: clock::Millis) {
        if let Some(since) = self.outage.take() {
            log::info!("the log answers again after {} ms", now.since(since));
            self.registry.borrow_mut().set_outage(now, false);
            self.log_returned.notify_waiters();
        }
    }

    /// Performs delayed removals of targets that are due, and wakes the coordinator if the
    /// list of targets has changed.
    pub(crate) fn sweep_registry(&self, now: clock::Millis) {
        let mut registry = self.registry.borrow_mut();
        let before = registry.generation();
        registry.sweep(now);
        if registry.generation() != before {
            self.wake_coordinator.notify_one();
        }
    }

    /// Returns whether a failure domain's region is one of `regions`; an empty list
    /// allows all.
    pub fn is_allowed(&self, domain: &model::DomainName, regions: &[model::RegionName]) -> bool {
        regions.is_empty()
            || self
                .settings
                .region(domain)
                .is_some_and(|region| regions.contains(region))
    }

    /// Returns whether operators drain a failure domain.
    pub fn is_drained(&self, domain: &model::DomainName) -> bool {
        self.drained_domains.borrow().contains_key(domain)
    }

    /// Returns the failure domains in `regions`, or all of them for `None`.
    pub fn domains(&self, regions: Option<&BTreeSet<model::RegionName>>) -> Vec<model::DomainName> {
        let domains = self.settings.domains.iter();
        domains
            .filter(|(_, region)| regions.is_none_or(|regions| regions.contains(*region)))
            .map(|(domain, _)| domain.clone())
            .collect()
    }

    /// Returns the cost in milliseconds that is added to a target's estimated response
    /// time: that of its distance, and of a new connection if no idle one exists.
    pub fn cost_ms(&self, target: &registry::Target) -> f64 {
        let peer = client::Peer {
            address: target.address,
            birth: target.birth,
        };
        let connect = match self.client.has_idle(peer) {
            true => 0.0,
            false => self.settings.policy.connect_cost.0 as f64,
        };
        self.distance_ms(&target.domain) + connect
    }

    /// Returns the cost of the distance to a failure domain, in milliseconds.
    pub fn distance_ms(&self, domain: &model::DomainName) -> f64 {
        let policy = &self.settings.policy;
        if *domain == self.settings.domain {
            0.0
        } else if self.settings.region(domain) == self.region.as_ref() {
            policy.domain_cost.0 as f64
        } else {
            policy.region_cost.0 as f64
        }
    }
}

//! State of one daemon that all its tasks share. Everything runs on one
//! thread, so that no borrow outlives a step that waits.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::clock;
use crate::gateway::catalog;
use crate::gateway::choice;
use crate::gateway::client;
use crate::gateway::counters;
use crate::gateway::dialect;
use crate::gateway::keys;
use crate::gateway::peers;
use crate::gateway::quota;
use crate::gateway::registry;
use crate::gateway::relay;
use crate::gateway::settings;
use crate::model;

/// Shared state of a daemon.
pub struct Shared {
    /// Settings.
    pub settings: settings::Settings,
    /// Region of this host.
    pub region: Option<model::RegionName>,
    /// Random number of this process.
    pub incarnation: model::Incarnation,
    /// The platform's protocol.
    pub dialect: Rc<dyn dialect::Dialect>,
    /// Connections to targets and to the log.
    pub client: client::Client,
    /// Configuration in effect.
    pub catalog: RefCell<Option<Rc<catalog::Catalog>>>,
    /// Failure domains that operators have taken out, and since when.
    pub taken_out: RefCell<HashMap<model::DomainName, clock::Millis>>,
    /// Targets.
    pub registry: RefCell<registry::Registry>,
    /// Whether the list of targets was read once.
    pub listed: Cell<bool>,
    /// Start of this daemon's last read of the list of targets that was answered.
    pub listed_at: Cell<Option<clock::Millis>>,
    /// Time since which the log has answered all reads of the list of targets.
    pub answering: Cell<Option<clock::Millis>>,
    /// Begin of the last time in which the log did not answer.
    pub out_since: Cell<Option<clock::Millis>>,
    /// Reads that one daemon makes for its failure domain.
    pub(crate) relay: RefCell<relay::Relay>,
    /// Socket for messages to other daemons.
    pub(crate) socket: Rc<UdpSocket>,
    /// What is known of the targets' speed and load.
    pub choice: RefCell<choice::Table>,
    /// Division of requests among the backends of routes.
    pub splits: RefCell<catalog::Splits>,
    /// Work of each route, in milliseconds.
    pub work: RefCell<HashMap<Arc<str>, choice::Work>>,
    /// Budgets of retries and of hedges of each service.
    pub retries: RefCell<HashMap<model::ServiceName, (quota::Retry, quota::Retry)>>,
    /// Requests to cold targets.
    pub cold: RefCell<HashMap<choice::Life, quota::Cold>>,
    /// Newest key table that this daemon knows.
    pub table: RefCell<Option<(model::Offset, Rc<keys::Table>)>>,
    /// Wakes requests that wait for another owner.
    pub moved: Notify,
    /// Wakes calls that wait for records when the log returns from an outage.
    pub returned: Notify,
    /// Wakes readers that pause when another daemon reads the log.
    pub relayed: Notify,
    /// Wakes the steward's loop.
    pub wake_steward: Notify,
    /// Work per key, for the steward.
    pub demand: RefCell<HashMap<model::ServiceName, HashMap<u16, f32>>>,
    /// Other daemons.
    pub peers: RefCell<peers::Directory>,
    /// Whether the daemon is shutting down.
    pub stopping: Cell<bool>,
    /// Connections of callers.
    pub connections: Cell<usize>,
    /// Requests in progress.
    pub running: Cell<usize>,
    /// Bytes of bodies that are held.
    pub held: Cell<usize>,
    /// Counters for operators.
    pub counters: counters::Counters,
}

impl Shared {
    /// Returns the state of a daemon that knows nothing yet.
    pub fn new(
        settings: settings::Settings,
        dialect: Rc<dyn dialect::Dialect>,
        socket: UdpSocket,
    ) -> Self {
        Self {
            region: settings.region(&settings.domain).cloned(),
            peers: RefCell::new(peers::Directory::new(settings.host.clone())),
            settings,
            incarnation: model::Incarnation(rand::random()),
            dialect,
            client: client::Client::new(),
            catalog: RefCell::default(),
            taken_out: RefCell::default(),
            registry: RefCell::default(),
            listed: Cell::default(),
            listed_at: Cell::default(),
            answering: Cell::default(),
            out_since: Cell::default(),
            relay: RefCell::default(),
            socket: Rc::new(socket),
            choice: RefCell::default(),
            splits: RefCell::default(),
            work: RefCell::default(),
            retries: RefCell::default(),
            cold: RefCell::default(),
            table: RefCell::default(),
            moved: Notify::new(),
            returned: Notify::new(),
            relayed: Notify::new(),
            wake_steward: Notify::new(),
            demand: RefCell::default(),
            stopping: Cell::default(),
            connections: Cell::default(),
            running: Cell::default(),
            held: Cell::default(),
            counters: counters::Counters::default(),
        }
    }

    /// Returns whether the daemon can serve callers.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.listed.get() && self.catalog.borrow().is_some()
    }

    /// Returns the regions that a failure domain's region must be in, or whether any will do.
    pub fn is_allowed(&self, domain: &model::DomainName, regions: &[model::RegionName]) -> bool {
        regions.is_empty()
            || self
                .settings
                .region(domain)
                .is_some_and(|region| regions.contains(region))
    }

    /// Returns whether operators have taken a failure domain out.
    pub fn is_taken_out(&self, domain: &model::DomainName) -> bool {
        self.taken_out.borrow().contains_key(domain)
    }

    /// Returns the failure domains of the regions, or all if none is named.
    pub fn domains(&self, regions: Option<&BTreeSet<model::RegionName>>) -> Vec<model::DomainName> {
        let domains = self.settings.domains.iter();
        domains
            .filter(|(_, region)| regions.is_none_or(|regions| regions.contains(*region)))
            .map(|(domain, _)| domain.clone())
            .collect()
    }

    /// Returns what the distance to a failure domain costs, in milliseconds.
    pub fn distance(&self, domain: &model::DomainName) -> f64 {
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

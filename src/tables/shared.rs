//! State that all threads of a daemon share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use parking_lot::{Mutex, RwLock};

use crate::clock;
use crate::forward;
use crate::journal;
use crate::lease;
use crate::metrics;
use crate::model;
use crate::peer;
use crate::placement;
use crate::route;
use crate::settings;
use crate::state;
use crate::tables::view::View;
use crate::tables::{count, detour, hedges, keeper, requests, running, seats};
use crate::target;
use crate::token;

/// State that all threads of a daemon share. The documentation of
/// [`tables`](crate::tables) states the lock order.
pub struct Shared {
    /// Settings of the daemon.
    pub settings: settings::Settings,
    /// Incarnation of this process.
    pub me: model::Incarnation,
    /// The log and the published state.
    pub journal: Arc<journal::Journal>,
    /// Leases that this daemon holds or is the backup of.
    pub leases: Mutex<lease::Table>,
    /// Targets that receive no new work, and which of them still serve their keys.
    pub grace: Mutex<target::grace::Table>,
    /// One keeper for each target whose lease is held.
    pub keepers: RwLock<HashMap<model::TargetName, Arc<keeper::Keeper>>>,
    /// Sends requests to targets and other daemons.
    pub forward: forward::Client,
    /// Calls the control endpoints of targets.
    pub control: target::control::Client,
    /// Requests to cancel at targets.
    pub cancels: target::cancel::Queue,
    /// Statistics of each target of shared services.
    pub choice: route::choice::Table,
    /// Requests per second to each target as its holder reported them, and when.
    pub loads: Mutex<HashMap<model::TargetName, (f64, clock::Millis)>>,
    /// Shard moves to targets that have joined.
    pub joins: Mutex<placement::Joins>,
    /// Budget for retries and hedges.
    pub budget: route::budget::Budget,
    /// Timer and job queue of hedges, second attempts at slow requests.
    pub hedges: hedges::Hedges,
    /// Hedge delays of shared services.
    pub delays: RwLock<HashMap<model::ServiceName, Arc<route::hedge::Delay>>>,
    /// Limits the callers' requests that wait for a newer state.
    pub seats: seats::Seats,
    /// Targets whose requests go to the recorded backup instead of the holder.
    pub detours: detour::Detours,
    /// Socket for heartbeats, once it is open.
    pub datagrams: OnceLock<peer::Datagrams>,
    /// Metrics of the daemon.
    pub metrics: metrics::Metrics,
    /// Cancelled when the process ends.
    pub token: token::Token,
    /// Set when the daemon begins an orderly shutdown.
    pub leaving: AtomicBool,
    /// Recent requests for diagnosis.
    pub recent: requests::Ring,
    /// Good and total requests of each service.
    pub burn: count::Table,
    /// States that running requests were admitted with.
    pub running: running::Running,
    view: RwLock<Arc<View>>,
    requests: AtomicU64,
}

impl Shared {
    /// Returns the shared state of a daemon that starts now.
    pub fn new(settings: settings::Settings, token: token::Token) -> Self {
        let me = model::Incarnation(rand::random());
        let client = journal::Client::new(settings.platform.log);
        let view = View::new(Arc::default(), &settings.region);
        Self {
            me,
            journal: Arc::new(journal::Journal::new(me, client)),
            leases: Mutex::new(lease::Table::new(me)),
            grace: Mutex::default(),
            keepers: RwLock::default(),
            forward: forward::Client::new(forward::Options::default()),
            control: target::control::Client::new(),
            cancels: target::cancel::Queue::default(),
            choice: route::choice::Table::new(),
            loads: Mutex::default(),
            joins: Mutex::default(),
            budget: route::budget::Budget::new(settings.policy.extra_percent, clock::now()),
            hedges: hedges::Hedges::default(),
            delays: RwLock::default(),
            seats: seats::Seats::half_of(settings.limits.workers),
            detours: detour::Detours::default(),
            datagrams: OnceLock::new(),
            metrics: metrics::Metrics::default(),
            token,
            leaving: AtomicBool::new(false),
            recent: requests::Ring::default(),
            burn: count::Table::new(clock::now()),
            running: running::Running::default(),
            view: RwLock::new(Arc::new(view)),
            requests: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns the newest state, prepared for look-ups.
    pub fn view(&self) -> Arc<View> {
        let state = self.journal.state();
        let view = self.view.read().clone();
        if Arc::ptr_eq(&view.state, &state) {
            return view;
        }
        let mut current = self.view.write();
        if current.state.next < state.next {
            *current = Arc::new(current.advance(state));
        }
        current.clone()
    }

    /// Returns the keeper of a target whose lease this daemon holds.
    pub fn keeper(&self, target: &model::TargetName) -> Option<Arc<keeper::Keeper>> {
        self.keepers.read().get(target).cloned()
    }

    /// Returns the fencing token and validity under which this daemon may act for
    /// `target` now.
    ///
    /// # Errors
    /// Returns why the lease does not allow it.
    pub fn may_act(&self, target: &model::TargetName) -> Result<lease::Right, lease::Denied> {
        self.leases.lock().may_act(target, clock::now())
    }

    /// Updates the metric of bytes sent for heartbeats.
    pub fn count_heartbeats(&self) {
        if let Some(datagrams) = self.datagrams.get() {
            let sent = datagrams.counts().sent_bytes;
            let counted = self.metrics.heartbeats.get();
            self.metrics.heartbeats.inc_by(sent.saturating_sub(counted));
        }
    }

    /// Returns a new request identifier, unique across processes.
    pub fn request_id(&self) -> String {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.me)
    }

    /// Returns whether the load balancer should send requests to this daemon: the
    /// log is usable, and the daemon is neither shutting down nor drained.
    pub fn is_ready(&self) -> bool {
        self.journal.is_usable() && !self.leaving.load(Ordering::Relaxed) && !self.is_drained()
    }

    /// Returns whether this daemon's host or domain is drained.
    fn is_drained(&self) -> bool {
        let state = self.journal.state();
        let host_drained = state.config.hosts_out.contains(&self.settings.host);
        let domain = state.config.domains.get(&self.settings.domain);
        host_drained || domain.is_some_and(|domain| domain.standing == state::Standing::Out)
    }
}

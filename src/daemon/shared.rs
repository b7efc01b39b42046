//! What all threads of a daemon share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use parking_lot::{Mutex, RwLock};

use crate::burn;
use crate::clock;
use crate::daemon::hedge;
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
use crate::tables::{detour, keeper, requests, running, seats};
use crate::target;
use crate::token;

/// A published state with what requests look up in it.
pub struct View {
    /// The state.
    pub state: Arc<state::State>,
    /// Routes of this daemon's region.
    pub routes: Arc<route::Table>,
    /// Targets that may serve requests of each shared placement group.
    candidates: Mutex<HashMap<Arc<model::GroupId>, Arc<Vec<route::choice::Candidate>>>>,
    local: model::RegionName,
}

impl View {
    fn new(state: Arc<state::State>, local: &model::RegionName) -> Self {
        Self {
            routes: Arc::new(route::Table::new(&state, local)),
            candidates: Mutex::default(),
            local: local.clone(),
            state,
        }
    }

    /// Prepares a newer state. Moves and leases, the most frequent records,
    /// change neither routes nor candidates.
    fn advance(&self, state: Arc<state::State>) -> Self {
        let same =
            Arc::ptr_eq(&self.state.config, &state.config) && self.state.hosts == state.hosts;
        if !same {
            return Self::new(state, &self.local);
        }
        Self {
            routes: self.routes.clone(),
            candidates: Mutex::new(self.candidates.lock().clone()),
            local: self.local.clone(),
            state,
        }
    }

    /// Returns the targets that may serve requests of a shared placement group.
    pub fn candidates(&self, group: &Arc<model::GroupId>) -> Arc<Vec<route::choice::Candidate>> {
        let mut candidates = self.candidates.lock();
        if let Some(found) = candidates.get(group) {
            return found.clone();
        }
        let targets = self.state.candidates(group).into_iter();
        let fitting = targets.map(|target| route::choice::Candidate {
            name: target.name.clone(),
            local: self.state.region(&target.domain) == Some(&self.local),
            concurrency: target.concurrency,
        });
        let fitting = Arc::new(fitting.collect::<Vec<_>>());
        candidates.insert(group.clone(), fitting.clone());
        fitting
    }
}

/// What all threads of a daemon share.
///
/// Lock order: `view`, `leases`, `keepers`, then the admission of one target.
/// No lock is held across I/O.
pub struct Shared {
    /// Settings.
    pub settings: settings::Settings,
    /// Incarnation of this process.
    pub me: model::Incarnation,
    /// The log and the published state.
    pub journal: Arc<journal::Journal>,
    /// Leases held and backed up.
    pub leases: Mutex<lease::Table>,
    /// Targets that take no new work, and which of them still serve their keys.
    pub grace: Mutex<target::grace::Table>,
    /// One keeper for each target whose lease is held.
    pub keepers: RwLock<HashMap<model::TargetName, Arc<keeper::Keeper>>>,
    /// Sends requests to targets and other daemons.
    pub forward: forward::Client,
    /// Calls the control endpoints of targets.
    pub control: target::control::Client,
    /// Requests to cancel at targets.
    pub cancels: target::cancel::Queue,
    /// What is known of each target of shared services.
    pub choice: route::choice::Table,
    /// Requests per second to each target, as its holder reported them, and when.
    pub loads: Mutex<HashMap<model::TargetName, (f64, clock::Millis)>>,
    /// Moves to targets that have joined.
    pub joins: Mutex<placement::Joins>,
    /// Budget for retries and hedges.
    pub budget: route::budget::Budget,
    /// Second attempts at slow requests.
    pub hedges: hedge::Hedges,
    /// Answer times of shared services.
    pub delays: RwLock<HashMap<model::ServiceName, Arc<route::hedge::Delay>>>,
    /// Bounds the callers' requests that wait for a newer state.
    pub seats: seats::Seats,
    /// Targets whose requests go to the recorded backup.
    pub detours: detour::Detours,
    /// Socket for heartbeats, once it is open.
    pub datagrams: OnceLock<peer::Datagrams>,
    /// Metrics.
    pub metrics: metrics::Metrics,
    /// Cancelled when the process ends.
    pub token: token::Token,
    /// Set when the daemon shuts down in order.
    pub leaving: AtomicBool,
    /// Recent requests that are worth a look.
    pub recent: requests::Ring,
    /// Good and total requests of each service.
    pub burn: burn::Table,
    /// Knowledge that running requests were admitted with.
    pub running: running::Running,
    view: RwLock<Arc<View>>,
    requests: AtomicU64,
}

impl Shared {
    /// Returns the shared parts of a daemon that has just started.
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
            hedges: hedge::Hedges::default(),
            delays: RwLock::default(),
            seats: seats::Seats::half_of(settings.limits.workers),
            detours: detour::Detours::default(),
            datagrams: OnceLock::new(),
            metrics: metrics::Metrics::default(),
            token,
            leaving: AtomicBool::new(false),
            recent: requests::Ring::default(),
            burn: burn::Table::new(clock::now()),
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

    /// Returns whether this daemon may act for `target` now.
    pub fn may_act(&self, target: &model::TargetName) -> Result<lease::Right, lease::Denied> {
        self.leases.lock().may_act(target, clock::now())
    }

    /// Brings the counter of heartbeats' bytes up to date.
    pub fn count_heartbeats(&self) {
        if let Some(datagrams) = self.datagrams.get() {
            let sent = datagrams.counts().sent_bytes;
            let counted = self.metrics.heartbeats.get();
            self.metrics.heartbeats.inc_by(sent.saturating_sub(counted));
        }
    }

    /// Returns a request identifier that no other process uses.
    pub fn request_id(&self) -> String {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.me)
    }

    /// Returns whether the daemon should get requests from the balancer.
    pub fn is_ready(&self) -> bool {
        self.journal.is_usable() && !self.leaving.load(Ordering::Relaxed) && !self.is_taken_out()
    }

    fn is_taken_out(&self) -> bool {
        let state = self.journal.state();
        let out = state.config.hosts_out.contains(&self.settings.host);
        let domain = state.config.domains.get(&self.settings.domain);
        out || domain.is_some_and(|domain| domain.standing == state::Standing::Out)
    }
}

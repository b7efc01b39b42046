//! The target stand-in.
//!
//! Promises: a request runs only if the fence and the grant that it names are
//! valid by the target's own clock when it starts (unless checks are off);
//! every refusal is made before the run; a run holds one slot from its start
//! until the last byte of its answer is handed to the connection; the history
//! shows every run that started, up to its limit. A restart by fault forgets
//! fences and grants. Nothing is promised on the order in which requests
//!
//! start. Runs that started before a grant lapses go on.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::{Mutex, RwLock};
use serde::{Deserialize, Serialize};

pub mod clock;
pub mod fault;
pub mod grant;
pub mod history;
pub mod link;
mod service;
pub mod slot;
pub mod work;

pub use fault::{Fault, Options, parser};

/// Samples of the load kept for a report that lags.
const SAMPLES: usize = 1_000;

/// The answer to an accepted order of grants.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Accepted {
    /// The target's clock, in milliseconds.
    pub clock: u64,
    /// Requests that run on shards that aren't granted any more.
    pub running: u64,
    /// What `GET /control/load` would say.
    #[serde(flatten)]
    pub load: Load,
}

/// The answer to an order with a fence below the highest seen.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Rejected {
    /// The target's clock, in milliseconds.
    pub clock: u64,
    /// The highest fence seen.
    pub highest: grant::Fence,
}

/// The answer of `GET /control/load`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Load {
    /// Slots taken.
    pub active: u64,
    /// Always 0: the target sheds instead of queueing.
    pub queued: u64,
    /// `cold`, `warm` or `draining`.
    pub state: String,
}

#[derive(Serialize)]
struct Health {
    ready: bool,
    clock: u64,
}

#[derive(Serialize)]
struct Cancelled {
    cancelled: u64,
}

struct Faults {
    down: AtomicBool,
    draining: AtomicBool,
    checks: AtomicBool,
    ready: AtomicBool,
    drops: AtomicU64,
    cuts: AtomicU64,
    slow: Mutex<f64>,
    lag: Mutex<Duration>,
    lie: Mutex<Option<u64>>,
}

impl Faults {
    /// Returns whether a counted fault applies, and counts it down.
    fn take(&self, counter: &AtomicU64) -> bool {
        let less = |count: u64| count.checked_sub(1);
        counter
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, less)
            .is_ok()
    }
}

/// The state of a target. Locks are taken in the order grants, slots, history,
/// table; none is held while a request spends its time.
struct Shared {
    options: Options,
    clock: clock::Clock,
    grants: RwLock<grant::Grants>,
    slots: Arc<slot::Slots>,
    warmth: slot::Warmth,
    history: history::History,
    counters: history::Counters,
    table: work::Table,
    links: link::Links,
    gate: link::Gate,
    epoch: AtomicU64,
    faults: Faults,
    samples: Mutex<VecDeque<(Instant, u64)>>,
}

/// A running target stand-in.
pub struct Server {
    serving: crate::http::Serving,
    shared: Arc<Shared>,
}

impl Server {
    /// Starts a target on `options.listen`; port 0 takes a free port.
    ///
    /// # Errors
    /// The address isn't 127.0.0.1 or can't be bound.
    pub fn start(options: Options) -> Result<Self, crate::Error> {
        let listen = options.listen;
        let shared = Arc::new(Shared::new(options));
        let served = Arc::clone(&shared);
        let serving = crate::http::serve(listen, move |request, connection| {
            served.answer(request, &connection)
        })?;
        Ok(Self { serving, shared })
    }

    /// Ends the server, so that its address refuses connections from then on,
    /// and returns its whole history.
    pub fn stop(self) -> history::Report {
        self.serving.stop();
        self.shared.history.report(&self.shared.counters)
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.serving.addr
    }

    /// Sets faults, as `POST /fault` does.
    pub fn fault(&self, fault: &Fault) {
        self.shared.fault(fault);
    }

    /// Returns what `GET /control/history` answers.
    pub fn history(&self) -> history::Report {
        self.shared.history.report(&self.shared.counters)
    }

    /// Reads the target's own clock, in milliseconds.
    pub fn clock(&self) -> u64 {
        self.shared.clock.now()
    }
}

impl Shared {
    fn new(options: Options) -> Self {
        let cold_time = Duration::from_millis(options.cold_ms);
        Self {
            clock: clock::Clock::new(),
            grants: RwLock::default(),
            slots: Arc::new(slot::Slots::new(options.slots)),
            warmth: slot::Warmth::new(options.cold_requests, cold_time),
            history: history::History::new(options.history),
            counters: history::Counters::default(),
            table: work::Table::default(),
            links: link::Links::default(),
            gate: link::Gate::default(),
            epoch: AtomicU64::new(0),
            faults: Faults {
                down: AtomicBool::new(false),
                draining: AtomicBool::new(false),
                checks: AtomicBool::new(options.checks),
                ready: AtomicBool::new(true),
                drops: AtomicU64::new(0),
                cuts: AtomicU64::new(0),
                slow: Mutex::new(1.0),
                lag: Mutex::default(),
                lie: Mutex::default(),
            },
            samples: Mutex::default(),
            options,
        }
    }

    fn answer(
        self: &Arc<Self>,
        mut request: crate::http::Request,
        connection: &crate::http::Connection,
    ) -> crate::http::Response {
        match (request.method().as_str(), request.uri().path()) {
            ("POST", "/fault") => return self.post_fault(&mut request),
            ("GET", "/control/history") => {
                return crate::http::json(200, &self.history.report(&self.counters));
            }
            _ => {}
        }
        let link = self.links.enter(connection);
        if link.fresh {
            history::count(&self.counters.connections);
        }
        self.gate.pass();
        if self.closes(link) || self.faults.down.load(Ordering::Relaxed) {
            return crate::http::closed();
        }
        if link.fresh {
            self.occupy(self.options.connect_ms);
        }
        if !request.uri().path().starts_with("/control/") {
            return service::answer(self, link, &mut request);
        }
        let answer = self.control(&mut request);
        self.gate.pass();
        if self.closes(link) {
            return crate::http::closed();
        }
        answer
    }

    fn control(&self, request: &mut crate::http::Request) -> crate::http::Response {
        match (request.method().as_str(), request.uri().path()) {
            ("POST", "/control/grants") => self.order(request),
            ("GET", "/control/health") => {
                history::count(&self.counters.probes);
                self.occupy(self.options.probe_ms);
                let ready = self.faults.ready.load(Ordering::Relaxed);
                let clock = self.clock.now();
                crate::http::json(200, &Health { ready, clock })
            }
            ("GET", "/control/load") => {
                history::count(&self.counters.probes);
                self.occupy(self.options.probe_ms);
                crate::http::json(200, &self.load())
            }
            ("POST", path) => match path.strip_prefix("/control/cancel/") {
                Some(id) => {
                    let cancelled = self.table.stop(|work| work.request.as_deref() == Some(id));
                    crate::http::json(200, &Cancelled { cancelled })
                }
                None => crate::http::text(404, "no such path"),
            },
            _ => crate::http::text(404, "no such path"),
        }
    }

    fn order(&self, request: &mut crate::http::Request) -> crate::http::Response {
        history::count(&self.counters.orders);
        let order = match crate::http::read_json::<grant::Order>(request) {
            Ok(order) => order,
            Err(error) => return crate::http::text(400, error.to_string()),
        };
        self.occupy(self.options.grant_ms);
        let mut grants = self.grants.write();
        if !self.checks() {
            grants.forget_fence();
        }
        if let Err(highest) = grants.order(order) {
            let clock = self.clock.now();
            return crate::http::json(409, &Rejected { clock, highest });
        }
        let dropped = |work: &work::Work| {
            let shard = work.shard.as_ref();
            shard.is_some_and(|(group, shard)| !grants.lists(group, *shard))
        };
        let running = self.table.count(dropped);
        drop(grants);
        let load = self.load();
        let clock = self.clock.now();
        crate::http::json(
            200,
            &Accepted {
                clock,
                running,
                load,
            },
        )
    }

    /// Remembers a request's fence if it is the highest seen.
    fn see(&self, claim: &grant::Claim) {
        let Some(lease) = claim.lease.filter(|_| self.checks()) else {
            return;
        };
        if self.grants.read().is_above(lease) {
            self.grants.write().see(lease);
        }
    }

    fn load(&self) -> Load {
        let now = Instant::now();
        let lag = *self.faults.lag.lock();
        let mut samples = self.samples.lock();
        if samples.len() == SAMPLES {
            samples.pop_front();
        }
        samples.push_back((now, self.slots.active()));
        let old = |since: Instant| now.duration_since(since) >= lag;
        let sample = samples.iter().rev().find(|(since, _)| old(*since));
        let active = sample.map_or(0, |(_, active)| *active);
        Load {
            active: self.faults.lie.lock().unwrap_or(active),
            queued: 0,
            state: self.state_name().to_owned(),
        }
    }

    fn state_name(&self) -> &'static str {
        if self.faults.draining.load(Ordering::Relaxed) {
            return "draining";
        }
        self.warmth_name()
    }

    fn warmth_name(&self) -> &'static str {
        if self.warmth.is_cold() {
            "cold"
        } else {
            "warm"
        }
    }

    fn checks(&self) -> bool {
        self.faults.checks.load(Ordering::Relaxed)
    }

    /// Waits while the connection is silent and returns whether it must be
    /// closed then.
    fn closes(&self, link: link::Link) -> bool {
        self.links.any_silent() && self.links.wait_silent(link)
    }

    /// Takes a slot for `millis`.
    fn occupy(&self, millis: f64) {
        if millis > 0.0 {
            let held = self.slots.occupy();
            thread::sleep(Duration::from_secs_f64(millis / 1e3));
            drop(held);
        }
    }

    fn post_fault(&self, request: &mut crate::http::Request) -> crate::http::Response {
        match crate::http::read_json::<Fault>(request) {
            Ok(fault) => {
                self.fault(&fault);
                crate::http::text(200, "")
            }
            Err(error) => crate::http::text(400, error.to_string()),
        }
    }

    fn fault(&self, fault: &Fault) {
        let set = |flag: &AtomicBool, value: Option<bool>| {
            value.inspect(|value| flag.store(*value, Ordering::Relaxed));
        };
        set(&self.faults.down, fault.down);
        set(&self.faults.draining, fault.draining);
        set(&self.faults.checks, fault.checks);
        set(&self.faults.ready, fault.ready);
        let set = |counter: &AtomicU64, value: Option<u64>| {
            value.inspect(|value| counter.store(*value, Ordering::SeqCst));
        };
        set(&self.faults.drops, fault.drop_answers);
        set(&self.faults.cuts, fault.cut_answers);
        if let Some(slow) = fault.slow {
            *self.faults.slow.lock() = slow;
        }
        if let Some(lag) = fault.load_lag_ms {
            *self.faults.lag.lock() = Duration::from_millis(lag);
        }
        if let Some(lie) = fault.load_lie {
            *self.faults.lie.lock() = u64::try_from(lie).ok();
        }
        if let Some(slots) = fault.slots {
            self.slots.resize(slots);
        }
        self.set_clock(fault);
        self.set_run(fault);
    }

    fn set_clock(&self, fault: &Fault) {
        if let Some(stopped) = fault.clock_stopped {
            self.clock.stop(stopped);
        }
        if let Some(millis) = fault.clock_step_ms {
            self.clock.step(millis);
        }
    }

    fn set_run(&self, fault: &Fault) {
        if fault.restart == Some(true) {
            self.restart();
        }
        if let Some(cold) = fault.cold {
            self.warmth.set(cold);
        }
        if let Some(millis) = fault.freeze_ms {
            self.gate.freeze(Duration::from_millis(millis));
        }
        match fault.silent {
            Some(true) => self.links.silence(),
            Some(false) => self.links.release(),
            None => {}
        }
    }

    fn restart(&self) {
        let mut grants = self.grants.write();
        *grants = grant::Grants::default();
        self.epoch.fetch_add(1, Ordering::SeqCst);
        self.table.stop(|_| true);
        drop(grants);
        self.warmth.restart();
    }
}

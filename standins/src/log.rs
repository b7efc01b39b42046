//! The log service stand-in.
//!
//! Promises: offsets start at 0 and grow by one per append in the order in
//! which the appends took effect; a read returns consecutive records; a long
//! poll ends as soon as a record at its offset exists. Records are in memory
//! only, the newest `retention` of them are kept, and nothing is promised on
//! the time an operation takes.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use parking_lot::{Condvar, Mutex};
use serde::{Deserialize, Serialize};

use crate::http;

/// Longest long poll, in milliseconds.
const MAX_WAIT: u64 = 60_000;

/// Records of a read that names no `max`.
const DEFAULT_MAX: u64 = 1_000;

/// Faults to set; a field that is absent leaves its fault as it is.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Answer everything with 503 and without effect.
    pub down: Option<bool>,
    /// Answer reads with 503.
    pub readonly_down: Option<bool>,
    /// Answer appends with 503 and without effect.
    pub append_down: Option<bool>,
    /// Time in milliseconds between the effect of an append, or the arrival
    /// of a read, and the answer.
    pub slow_ms: Option<u64>,
    /// Time in milliseconds before an append takes effect.
    pub late_ms: Option<u64>,
    /// The next appends that take effect but are answered 500.
    pub lose_replies: Option<u64>,
    /// The next appends that have no effect and are answered 500.
    pub fail_appends: Option<u64>,
    /// Records kept; 0 keeps all.
    pub retention: Option<u64>,
}

#[derive(Default)]
struct Store {
    first: u64,
    records: VecDeque<Arc<str>>,
    down: bool,
    reads_down: bool,
    appends_down: bool,
    slow: Duration,
    late: Duration,
    losing: u64,
    failing: u64,
    retention: u64,
}

impl Store {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn trim(&mut self) {
        while self.retention > 0 && self.records.len() as u64 > self.retention {
            self.records.pop_front();
            self.first += 1;
        }
    }

    fn set(&mut self, fault: &Fault) {
        replace(&mut self.down, fault.down);
        replace(&mut self.reads_down, fault.readonly_down);
        replace(&mut self.appends_down, fault.append_down);
        replace(&mut self.slow, fault.slow_ms.map(Duration::from_millis));
        replace(&mut self.late, fault.late_ms.map(Duration::from_millis));
        replace(&mut self.losing, fault.lose_replies);
        replace(&mut self.failing, fault.fail_appends);
        replace(&mut self.retention, fault.retention);
        self.trim();
    }
}

fn replace<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

#[derive(Serialize)]
struct Appended {
    offset: u64,
}

#[derive(Serialize)]
struct Bounds {
    first: u64,
    next: u64,
}

#[derive(Serialize)]
struct Page {
    first: u64,
    next: u64,
    records: Vec<Entry>,
}

#[derive(Serialize)]
struct Entry {
    offset: u64,
    data: Arc<str>,
}

#[derive(Default)]
struct Shared {
    store: Mutex<Store>,
    changed: Condvar,
}

/// A running log service stand-in.
pub struct Server {
    serving: http::Serving,
    shared: Arc<Shared>,
}

impl Server {
    /// Starts an empty log on `addr`; port 0 takes a free port.
    ///
    /// # Errors
    /// The address isn't 127.0.0.1 or can't be bound.
    pub fn start(addr: SocketAddr) -> Result<Self, crate::Error> {
        let shared = Arc::new(Shared::default());
        let served = Arc::clone(&shared);
        let serving = http::serve(addr, move |request, _| served.answer(request))?;
        Ok(Self { serving, shared })
    }

    /// Ends the server: its address refuses connections from then on.
    pub fn stop(self) {
        self.serving.stop();
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.serving.addr
    }

    /// Sets faults, as `POST /fault` does.
    pub fn fault(&self, fault: &Fault) {
        self.shared.fault(fault);
    }

    /// Returns the offset that the next append gets.
    pub fn next(&self) -> u64 {
        self.shared.store.lock().next()
    }
}

impl Shared {
    fn fault(&self, fault: &Fault) {
        self.store.lock().set(fault);
        self.changed.notify_all();
    }

    fn answer(&self, mut request: http::Request) -> http::Response {
        match (request.method().as_str(), request.uri().path()) {
            ("POST", "/append") => self.append(&mut request),
            ("GET", "/read") => self.read(&request),
            ("POST", "/fault") => match http::read_json::<Fault>(&mut request) {
                Ok(fault) => {
                    self.fault(&fault);
                    http::text(200, "")
                }
                Err(error) => http::text(400, error.to_string()),
            },
            _ => http::text(404, "no such path"),
        }
    }

    fn append(&self, request: &mut http::Request) -> http::Response {
        let Ok(bytes) = http::read_all(request) else {
            return http::text(400, "the body is cut off");
        };
        let data: Arc<str> = STANDARD.encode(bytes).into();
        let late = self.store.lock().late;
        pause(late);
        let mut store = self.store.lock();
        if store.down || store.appends_down {
            return http::text(503, "down");
        }
        let slow = store.slow;
        if store.failing > 0 {
            store.failing -= 1;
            drop(store);
            pause(slow);
            return http::text(500, "internal error");
        }
        let offset = store.next();
        store.records.push_back(data);
        store.trim();
        let lost = store.losing > 0;
        store.losing = store.losing.saturating_sub(1);
        drop(store);
        self.changed.notify_all();
        pause(slow);
        if lost {
            return http::text(500, "internal error");
        }
        http::json(200, &Appended { offset })
    }

    fn read(&self, request: &http::Request) -> http::Response {
        let Some(from) = http::query(request, "from") else {
            return http::text(400, "from is missing or not a number");
        };
        let max = http::query(request, "max").unwrap_or(DEFAULT_MAX);
        let wait = http::query(request, "wait_ms").unwrap_or(0).min(MAX_WAIT);
        let slow = self.store.lock().slow;
        pause(slow);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut store = self.store.lock();
        loop {
            if store.down || store.reads_down {
                return http::text(503, "down");
            }
            let (first, next) = (store.first, store.next());
            if from < first {
                return http::json(410, &Bounds { first, next });
            }
            if from < next || Instant::now() >= end {
                let records = page(&store, from, max);
                drop(store);
                let page = Page {
                    first,
                    next,
                    records,
                };
                return http::json(200, &page);
            }
            self.changed.wait_until(&mut store, end);
        }
    }
}

fn page(store: &Store, from: u64, max: u64) -> Vec<Entry> {
    let records = store.records.iter().zip(store.first..);
    let wanted = records.skip((from - store.first) as usize);
    wanted
        .take(max as usize)
        .map(|(data, offset)| Entry {
            offset,
            data: Arc::clone(data),
        })
        .collect()
}

fn pause(time: Duration) {
    if !time.is_zero() {
        thread::sleep(time);
    }
}

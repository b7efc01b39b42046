//! The host list stand-in.
//!
//! Promises: `GET /hosts` returns the newest list that was set at least the
//! lag ago, or an empty list. `POST /hosts` sets a list of the same form.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::http;

/// Whether a host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host stays.
    Live,
    /// The host is about to leave.
    Leaving,
}

/// A host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Host {
    /// The host's name.
    pub name: String,
    /// The host's address, as `ip:port`.
    pub address: String,
    /// The host's failure domain.
    pub domain: String,
    /// Whether the host stays.
    pub state: HostState,
}

/// The list as it is sent and set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Hosts {
    /// The hosts, in the order in which they were set.
    pub hosts: Vec<Host>,
}

/// Faults to set; a field that is absent leaves its fault as it is.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Answer `GET /hosts` with 503.
    pub down: Option<bool>,
    /// Age in milliseconds at which a list becomes visible.
    pub lag_ms: Option<u64>,
}

#[derive(Default)]
struct Store {
    lists: Vec<(Instant, Hosts)>,
    lag: Duration,
    down: bool,
}

impl Store {
    fn visible(&self, now: Instant) -> Hosts {
        let old = |since: Instant| now.saturating_duration_since(since) >= self.lag;
        let newest = self.lists.iter().rev().find(|(since, _)| old(*since));
        newest.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }
}

/// A running host list stand-in.
pub struct Server {
    serving: http::Serving,
    store: Arc<Mutex<Store>>,
}

impl Server {
    /// Starts an empty list with a lag of `lag_ms` milliseconds on `addr`;
    /// port 0 takes a free port.
    ///
    /// # Errors
    /// The address isn't 127.0.0.1 or can't be bound.
    pub fn start(addr: SocketAddr, lag_ms: u64) -> Result<Self, crate::Error> {
        let store = Arc::new(Mutex::new(Store {
            lag: Duration::from_millis(lag_ms),
            ..Store::default()
        }));
        let served = Arc::clone(&store);
        let serving = http::serve(addr, move |request, _| answer(&served, request))?;
        Ok(Self { serving, store })
    }

    /// Ends the server: its address refuses connections from then on.
    pub fn stop(self) {
        self.serving.stop();
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.serving.addr
    }

    /// Sets the list, as `POST /hosts` does.
    pub fn set(&self, hosts: Hosts) {
        self.store.lock().lists.push((Instant::now(), hosts));
    }

    /// Sets faults, as `POST /fault` does.
    pub fn fault(&self, fault: &Fault) {
        set_fault(&self.store, fault);
    }
}

fn set_fault(store: &Mutex<Store>, fault: &Fault) {
    let mut store = store.lock();
    store.down = fault.down.unwrap_or(store.down);
    store.lag = fault.lag_ms.map_or(store.lag, Duration::from_millis);
}

fn answer(store: &Mutex<Store>, mut request: http::Request) -> http::Response {
    let result = match (request.method().as_str(), request.uri().path()) {
        ("GET", "/hosts") => return list(store),
        ("POST", "/hosts") => http::read_json::<Hosts>(&mut request)
            .map(|hosts| store.lock().lists.push((Instant::now(), hosts))),
        ("POST", "/fault") => {
            http::read_json::<Fault>(&mut request).map(|fault| set_fault(store, &fault))
        }
        _ => return http::text(404, "no such path"),
    };
    match result {
        Ok(()) => http::text(200, ""),
        Err(error) => http::text(400, error.to_string()),
    }
}

fn list(store: &Mutex<Store>) -> http::Response {
    let store = store.lock();
    if store.down {
        return http::text(503, "down");
    }
    http::json(200, &store.visible(Instant::now()))
}

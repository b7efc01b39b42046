//! Faults and options of the target stand-in.

use std::net::SocketAddr;

use bpaf::Bpaf;
use serde::{Deserialize, Serialize};

/// What a target stand-in is started with. Times are in milliseconds.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(parser))]
pub struct Options {
    /// The address to listen on, of 127.0.0.1
    #[bpaf(long, argument("ADDR"))]
    pub listen: SocketAddr,
    /// The target's name
    #[bpaf(long, argument("NAME"))]
    pub name: String,
    /// Requests that run at a time
    #[bpaf(long, argument("N"), fallback(4))]
    pub slots: usize,
    /// Time that every request takes, in ms
    #[bpaf(long, argument("MS"), fallback(2.0))]
    pub service_ms: f64,
    /// Time that a new connection takes one slot, in ms
    #[bpaf(long, argument("MS"), fallback(1.0))]
    pub connect_ms: f64,
    /// Time that a probe takes one slot, in ms
    #[bpaf(long, argument("MS"), fallback(6.0))]
    pub probe_ms: f64,
    /// Time that an order of grants takes one slot, in ms
    #[bpaf(long, argument("MS"), fallback(0.0))]
    pub grant_ms: f64,
    /// Requests served until the target is warm; 0 starts it warm unless
    /// --cold-ms is set
    #[bpaf(long, argument("N"), fallback(0))]
    pub cold_requests: u64,
    /// Time until the target is warm, in ms; 0 sets no time
    #[bpaf(long, argument("MS"), fallback(0))]
    pub cold_ms: u64,
    /// Requests that run at a time while the target is cold
    #[bpaf(long, argument("N"), fallback(1))]
    pub cold_limit: usize,
    /// Runs kept in the history; 0 switches it off
    #[bpaf(long, argument("N"), fallback(100_000))]
    pub history: usize,
    /// Accept every fence and run requests without a grant
    #[bpaf(long("no-checks"), flag(false, true))]
    pub checks: bool,
}

impl Options {
    /// Returns options for a warm target that checks grants, with the default
    /// times.
    pub fn new(listen: SocketAddr, name: impl Into<String>) -> Self {
        Self {
            listen,
            name: name.into(),
            slots: 4,
            service_ms: 2.0,
            connect_ms: 1.0,
            probe_ms: 6.0,
            grant_ms: 0.0,
            cold_requests: 0,
            cold_ms: 0,
            cold_limit: 1,
            history: 100_000,
            checks: true,
        }
    }
}

/// Faults to set; a field that is absent leaves its fault as it is.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Close every connection without an answer.
    pub down: Option<bool>,
    /// Answer nothing for so many milliseconds, then go on.
    pub freeze_ms: Option<u64>,
    /// Factor on the service time.
    pub slow: Option<f64>,
    /// Close the connection instead of sending the next answers, after the
    /// requests ran.
    pub drop_answers: Option<u64>,
    /// Cut the next answers with `bytes=` off at half of their body.
    pub cut_answers: Option<u64>,
    /// `true` never answers on a connection that carried a request until now; `false` closes
    /// such connections when they are waiting for an answer.
    pub silent: Option<bool>,
    /// Become cold.
    pub cold: Option<bool>,
    /// Forget grants and fences, drop the running requests and become cold if
    /// the options set a cold start.
    pub restart: Option<bool>,
    /// Refuse new requests and report `draining`.
    pub draining: Option<bool>,
    /// Check fences and grants.
    pub checks: Option<bool>,
    /// Requests that run at a time.
    pub slots: Option<usize>,
    /// Stop the target's clock; it goes on from where it stood.
    pub clock_stopped: Option<bool>,
    /// Set the target's clock forward by so many milliseconds.
    pub clock_step_ms: Option<u64>,
    /// Age in milliseconds of the load reported.
    pub load_lag_ms: Option<u64>,
    /// Report so many active requests, whatever runs; a negative number
    /// ends the lie.
    pub load_lie: Option<i64>,
    /// What `/control/health` says about readiness.
    pub ready: Option<bool>,
}

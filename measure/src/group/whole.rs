//! Answers and uploads of 1 MB through one daemon and through two: how many
//! do not end whole.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::caller::Call;
use crate::fleet::{self, Fleet};
use crate::group::forward;
use crate::load::{self, Load};
use crate::report;

/// Requests of each load.
const COUNT: f64 = 20_000.0;

/// Offered rate of each load, in requests per second.
const RATE: f64 = 120.0;

/// Size of an answer or an upload, in bytes.
const BYTES: usize = 1 << 20;

/// Open connections of each load.
const THREADS: usize = 24;

fn run_load(addresses: Vec<SocketAddr>, call: &Call, case: &str) {
    let load = Load {
        addresses,
        rate: RATE,
        time: Duration::from_secs_f64(COUNT / RATE),
        threads: THREADS,
        timeout: Duration::from_secs(10),
    };
    let outcome = load::run(&load, |_| call.clone());
    outcome.log(case);
    let other = outcome.ends.len() as u64 - outcome.ok() - outcome.lost();
    report::against("whole_answers", case, outcome.ok() as f64, "answers", COUNT);
    report::against("refused_requests", case, other as f64, "requests", 0.0);
}

/// Measures and prints.
///
/// # Errors
/// A process does not start.
pub fn run() -> Result<(), fleet::Error> {
    let one = Fleet::start(&forward::plan(vec!["b"]))?;
    let two = Fleet::start(&forward::plan(vec!["a", "b"]))?;
    let path = format!("/plain/a?bytes={BYTES}");
    let calls = [
        ("answer_1mb", Call::new("GET", &path, "", b"")),
        (
            "upload_1mb",
            Call::new("POST", "/plain/a", "", &vec![b'x'; BYTES]),
        ),
    ];
    for (name, call) in &calls {
        let ways = [
            ("daemon", one.callers(|_| true)),
            ("two_daemons", two.callers(|daemon| daemon.domain == "a")),
        ];
        thread::scope(|scope| {
            for (way, addresses) in ways {
                scope.spawn(move || run_load(addresses, call, &format!("{way}_{name}")));
            }
        });
    }
    Ok(())
}

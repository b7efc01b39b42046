//! The service of the target stand-in: what a request outside `/control` and
//! `/fault` meets.

use std::io::{self, Read};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::Serialize;

use crate::http;
use crate::target::{Shared, grant, history, link, slot, work};

/// Buffer for reading a request body, in bytes.
const BUFFER: usize = 64 << 10;

/// The period of the body that `bytes=` asks for.
const PERIOD: u64 = 251;

/// The initial value and the multiplier of the 64-bit FNV-1a hash.
const FNV: (u64, u64) = (0xcbf2_9ce4_8422_2325, 0x0100_0000_01b3);

#[derive(Serialize)]
struct Answer<'answer> {
    target: &'answer str,
    request: Option<&'answer str>,
    group: Option<&'answer str>,
    shard: Option<&'answer str>,
    length: u64,
    checksum: &'answer str,
    run: u64,
}

/// A run that holds its slot until it is finished or dropped.
struct Running {
    shared: Arc<Shared>,
    work: Arc<work::Work>,
    link: link::Link,
    epoch: u64,
    held: Option<slot::Held>,
}

impl Running {
    fn finish(&mut self, outcome: history::Outcome) {
        let Some(held) = self.held.take() else {
            return;
        };
        if outcome == history::Outcome::Done {
            self.shared.warmth.served();
        }
        let clock = self.shared.clock.now();
        self.shared.table.remove(self.work.number);
        self.shared.history.end(self.work.number, clock, outcome);
        drop(held);
    }

    /// Waits while the target is frozen or the connection silent and returns
    /// whether the connection must be closed.
    fn lost(&self) -> bool {
        self.shared.gate.pass();
        self.shared.closes(self.link) || self.epoch != self.shared.epoch.load(Ordering::SeqCst)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.finish(history::Outcome::Aborted);
    }
}

/// Answers a request of the service.
pub(super) fn answer(
    shared: &Arc<Shared>,
    link: link::Link,
    request: &mut http::Request,
) -> http::Response {
    let arrival = Instant::now();
    let claim = claim(request);
    let mut running = match start(shared, link, request, &claim, arrival) {
        Ok(running) => running,
        Err(refusal) => return refuse(shared, refusal),
    };
    shared.gate.pass();
    let Ok((length, checksum)) = digest(request) else {
        return http::closed();
    };
    let result = running.work.spend(service_time(shared, request));
    shared.gate.pass();
    match result {
        Ok(()) => finish(running, request, &claim, length, &checksum),
        Err(outcome) => {
            running.finish(outcome);
            if running.lost() {
                return http::closed();
            }
            stopped(outcome)
        }
    }
}

fn claim(request: &http::Request) -> grant::Claim {
    let fence = |name| http::header(request, name).and_then(|text| text.parse().ok());
    let text = |name| http::header(request, name).map(str::to_owned);
    grant::Claim {
        lease: fence("lease-fence"),
        group: text("shard-group"),
        shard: text("shard"),
        fence: fence("shard-fence"),
    }
}

fn start(
    shared: &Arc<Shared>,
    link: link::Link,
    request: &http::Request,
    claim: &grant::Claim,
    arrival: Instant,
) -> Result<Running, grant::Refusal> {
    let limit = http::header(request, "request-timeout-ms").and_then(|text| text.parse().ok());
    let deadline = limit.map(|millis| arrival + Duration::from_millis(millis));
    if deadline.is_some_and(|deadline| deadline <= Instant::now()) {
        return Err(grant::Refusal::Deadline);
    }
    if shared.faults.draining.load(Ordering::Relaxed) {
        return Err(grant::Refusal::Draining);
    }
    let id = http::header(request, "request-id").map(str::to_owned);
    shared.see(claim);
    // The request is in the table before the lock is released, so that an order
    // that takes its shard away counts it as running.
    let grants = shared.grants.read();
    let epoch = shared.epoch.load(Ordering::SeqCst);
    let clock = shared.clock.now();
    if shared.checks() {
        grants.check(claim, clock)?;
    }
    let cold = shared.warmth.is_cold();
    let (held, requests) = shared
        .slots
        .take(cold.then_some(shared.options.cold_limit))?;
    shared.counters.peak.fetch_max(requests, Ordering::Relaxed);
    let number = shared.history.start(|| history::Run {
        run: 0,
        request: id.clone(),
        call: http::header(request, "call-id").map(str::to_owned),
        group: claim.group.clone(),
        shard: claim.shard.clone(),
        lease: claim.lease,
        fence: claim.fence,
        start: clock,
        end: None,
        outcome: history::Outcome::Running,
    });
    let work = Arc::new(work::Work::new(number, id, claim, deadline));
    shared.table.insert(Arc::clone(&work));
    drop(grants);
    Ok(Running {
        shared: Arc::clone(shared),
        work,
        link,
        epoch,
        held: Some(held),
    })
}

fn refuse(shared: &Shared, refusal: grant::Refusal) -> http::Response {
    match refusal {
        grant::Refusal::Fence | grant::Refusal::Grant => history::count(&shared.counters.refusals),
        grant::Refusal::Shed => history::count(&shared.counters.sheds),
        grant::Refusal::Cold => history::count(&shared.counters.overloads),
        grant::Refusal::Draining | grant::Refusal::Deadline => {}
    }
    hyper::Response::builder()
        .status(refusal.status())
        .header("target-refusal", refusal.name())
        .header("target-state", shared.warmth_name())
        .body(http::Reply::Whole(Bytes::new()))
        .expect("headers are valid")
}

fn stopped(outcome: history::Outcome) -> http::Response {
    match outcome {
        history::Outcome::Deadline => http::text(504, "stopped at the deadline"),
        _ => http::text(500, "cancelled"),
    }
}

fn digest(request: &mut http::Request) -> io::Result<(u64, String)> {
    let mut hash = FNV.0;
    let mut length = 0;
    if request.body().has_bytes() {
        let mut buffer = vec![0; BUFFER];
        let reader = request.body_mut();
        loop {
            let read = reader.read(&mut buffer)?;
            if read == 0 {
                break;
            }
            length += read as u64;
            let add = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV.1);
            hash = buffer[..read].iter().fold(hash, add);
        }
    }
    Ok((length, format!("{hash:016x}")))
}

fn service_time(shared: &Shared, request: &http::Request) -> Duration {
    let work = http::query(request, "work_ms").unwrap_or(0) as f64;
    let millis = (shared.options.service_ms + work) * *shared.faults.slow.lock();
    Duration::try_from_secs_f64(millis / 1e3).unwrap_or_default()
}

fn finish(
    mut running: Running,
    request: &http::Request,
    claim: &grant::Claim,
    length: u64,
    checksum: &str,
) -> http::Response {
    let shared = Arc::clone(&running.shared);
    if shared.faults.take(&shared.faults.drops) {
        running.finish(history::Outcome::Dropped);
        return http::closed();
    }
    let builder = hyper::Response::builder()
        .header("target-state", shared.warmth_name())
        .header("target-name", &shared.options.name)
        .header("target-run", running.work.number)
        .header("request-checksum", checksum);
    if let Some(bytes) = http::query(request, "bytes") {
        if running.lost() {
            running.finish(history::Outcome::Dropped);
            return http::closed();
        }
        let cut = shared.faults.take(&shared.faults.cuts);
        let stream = Stream {
            running,
            sent: 0,
            end: if cut { bytes / 2 } else { bytes },
            length: bytes,
            seed: http::query(request, "seed").unwrap_or(0) % PERIOD,
        };
        return builder
            .header("content-length", bytes)
            .body(http::Reply::Stream(Box::new(stream)))
            .expect("headers are valid");
    }
    let answer = Answer {
        target: &shared.options.name,
        request: running.work.request.as_deref(),
        group: claim.group.as_deref(),
        shard: claim.shard.as_deref(),
        length,
        checksum,
        run: running.work.number,
    };
    let body = serde_json::to_vec(&answer).expect("the answer serializes");
    running.finish(history::Outcome::Done);
    if running.lost() {
        return http::closed();
    }
    builder
        .header("content-type", "application/json")
        .body(http::Reply::Whole(body.into()))
        .expect("headers are valid")
}

/// The body that `bytes=` asks for: byte `i` is `(seed + i) % 251`.
struct Stream {
    running: Running,
    sent: u64,
    end: u64,
    length: u64,
    seed: u64,
}

impl Read for Stream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.sent == self.length {
            self.running.finish(history::Outcome::Done);
            return Ok(0);
        }
        if self.running.lost() || self.sent == self.end {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let size = buffer.len().min((self.end - self.sent) as usize);
        for (byte, index) in buffer[..size].iter_mut().zip(self.sent..) {
            *byte = ((self.seed + index) % PERIOD) as u8;
        }
        self.sent += size as u64;
        // The slot is free before the caller sees the last byte, because it may
        // send its next request at once.
        if self.sent == self.length {
            self.running.finish(history::Outcome::Done);
        }
        Ok(size)
    }
}

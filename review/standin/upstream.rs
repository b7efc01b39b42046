//! Stand-in of an upstream: runs requests, holds keys, and registers itself in the log.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;

/// Interval at which an upstream writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(870);

/// Keys that were granted, with their fencing token and the end of the lease.
struct Grant {
    from: u64,
    to: u64,
    fence: u64,
    until: Instant,
}

pub struct Upstream {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    zone: &'static str,
    born: u128,
    /// Time that a request runs.
    work: Duration,
    sequence: AtomicU64,
    /// State in the last entry that the log accepted.
    written: Mutex<&'static str>,
    /// Time at which the log accepted the report that it leaves: the state `draining`, or the
    /// removal of its entry.
    leaving: Mutex<Option<Instant>>,
    server: OnceLock<http::Server>,
    /// Time until which it is cold.
    cold_until: Instant,
    /// Requests that arrived while it was cold: when their clients sent them, and when they
    /// arrived.
    arrivals: Mutex<Vec<(Duration, Duration)>>,
    /// Requests that arrived later than this after that report.
    late: Mutex<(Duration, usize)>,
    grants: Mutex<Vec<Grant>>,
    record: Arc<Record>,
}

/// Reads a field of a flat JSON object.
fn field<'t>(text: &'t str, name: &str) -> Option<&'t str> {
    let after = text.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let end = after.find([',', '}'])?;
    Some(after[..end].trim().trim_matches('"'))
}

fn number(text: &str, name: &str) -> Option<u64> {
    field(text, name)?.parse().ok()
}

impl Upstream {
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        work: Duration,
        cold: Duration,
        store: &Store,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let upstream = Arc::new(Self {
            id: id.to_owned(),
            service,
            address: listener.local_addr()?,
            zone,
            born: since.map_or(0, |since| since.as_millis()),
            work,
            sequence: AtomicU64::new(0),
            written: Mutex::default(),
            leaving: Mutex::default(),
            server: OnceLock::new(),
            cold_until: Instant::now() + cold,
            arrivals: Mutex::default(),
            late: Mutex::new((Duration::MAX, 0)),
            grants: Mutex::default(),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&upstream);
        let server = http::Server::start(listener, move |request| served.answer(&request))?;
        let _ = upstream.server.set(server);
        let (writer, store) = (Arc::clone(&upstream), store.clone());
        std::thread::spawn(move || {
            while !writer.has_ended() {
                writer.beat(&store);
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(upstream)
    }

    fn has_ended(&self) -> bool {
        self.server.get().is_some_and(http::Server::has_ended)
    }

    /// Writes its entry. The entry in the log changes when more than the sequence changes.
    fn beat(&self, store: &Store) {
        let sequence = 1 + self.sequence.fetch_add(1, Ordering::SeqCst);
        let leaving = self.leaving.lock().expect("the state");
        let mut written = self.written.lock().expect("the entry");
        let state = if self.cold_left().is_zero() {
            "warm"
        } else {
            "cold"
        };
        if leaving.is_none() && *written != state && self.put(store, &self.entry(sequence)) {
            *written = state;
        }
    }

    fn cold_left(&self) -> Duration {
        self.cold_until.saturating_duration_since(Instant::now())
    }

    /// Returns the largest number of requests that were sent and arrived inside one second
    /// while it was cold.
    pub fn busiest_second(&self) -> usize {
        let arrivals = self.arrivals.lock().expect("arrivals");
        let second = Duration::from_secs(1);
        let count = |start: Duration| {
            let inside = |(sent, arrived): &&(Duration, Duration)| {
                *sent >= start && *arrived < start + second
            };
            arrivals.iter().filter(inside).count()
        };
        arrivals
            .iter()
            .map(|(sent, _)| count(*sent))
            .max()
            .unwrap_or(0)
    }

    fn put(&self, store: &Store, entry: &str) -> bool {
        store.put("keyed.servers", &self.id, entry)
    }

    /// Leaves without the state `draining`: its entry is removed. Requests that arrive later
    /// than `bound` afterwards are counted.
    pub fn leave(&self, store: &Store, bound: Duration) -> io::Result<()> {
        self.late.lock().expect("the count").0 = bound;
        let mut leaving = self.leaving.lock().expect("the state");
        if !self.put(store, "") {
            return Err(io::Error::other("the log refused an upstream"));
        }
        *leaving = Some(Instant::now());
        Ok(())
    }

    /// Ends its process: connections are closed, and requests break off.
    pub fn end(&self) {
        if let Some(server) = self.server.get() {
            server.end();
        }
    }

    /// Returns how many requests came too late after the report that it leaves.
    pub fn late(&self) -> usize {
        self.late.lock().expect("the count").1
    }

    fn entry(&self, sequence: u64) -> String {
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"1\",\
             \"Slots\":4,\"State\":\"ready\",\"WarmupLeft\":\"{}ms\",\"Seq\":{sequence},\
             \"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.cold_left().as_millis(),
            self.born
        )
    }

    fn answer(&self, request: &Message) -> Option<Message> {
        if self.has_ended() {
            return None;
        }
        let response = self.respond(request);
        (!self.has_ended()).then_some(response)
    }

    fn respond(&self, request: &Message) -> Message {
        if request
            .header("target-instance")
            .is_some_and(|id| id != self.id)
        {
            return Message::response(421).with("Not-Executed", 1);
        }
        let (_, target) = request.target();
        let body = String::from_utf8_lossy(&request.body);
        match target {
            "/health" => Message::response(200).with("Instance-Id", &self.id),
            "/api/grant" => Message::response(self.grant(&body).unwrap_or(400)),
            "/api/release" => match self.release(&body) {
                Some(()) => Message::response(200).with("Lease-Handover", &self.id),
                None => Message::response(400),
            },
            _ => self.run(request, target),
        }
    }

    fn grant(&self, body: &str) -> Option<u16> {
        let (from, to) = (number(body, "From")?, number(body, "To")?);
        let fence = number(body, "fence")?;
        let hold = field(body, "Hold")?.strip_suffix("ms")?.parse().ok()?;
        let mut grants = self.grants.lock().expect("grants");
        let mut overlapping = grants
            .iter()
            .filter(|held| held.from <= to && from <= held.to);
        if overlapping.any(|held| held.fence > fence) {
            return Some(409);
        }
        grants.retain(|held| (held.from, held.to, held.fence) != (from, to, fence));
        let until = Instant::now() + Duration::from_millis(hold);
        grants.push(Grant {
            from,
            to,
            fence,
            until,
        });
        Some(200)
    }

    fn release(&self, body: &str) -> Option<()> {
        let (from, to) = (number(body, "From")?, number(body, "To")?);
        let mut kept = Vec::new();
        let mut grants = self.grants.lock().expect("grants");
        for held in grants.drain(..) {
            let Grant { fence, until, .. } = held;
            if held.from < from {
                let to = held.to.min(from - 1);
                kept.push(Grant {
                    from: held.from,
                    to,
                    fence,
                    until,
                });
            }
            if held.to > to {
                let from = held.from.max(to + 1);
                kept.push(Grant {
                    from,
                    to: held.to,
                    fence,
                    until,
                });
            }
        }
        *grants = kept;
        Some(())
    }

    fn run(&self, request: &Message, target: &str) -> Message {
        let id = request.header("request-id").unwrap_or("");
        if let Some(key) = request.header("shard-key") {
            let key: u64 = key.parse().unwrap_or(u64::MAX);
            let now = Instant::now();
            let grants = self.grants.lock().expect("grants");
            let mut held = grants
                .iter()
                .filter(|held| held.from <= key && key <= held.to);
            if !held.any(|held| held.until > now) {
                return Message::response(421)
                    .with("Request-Id", id)
                    .with("Not-Executed", 1);
            }
        }
        let (upstream, service) = (&self.id, self.service);
        self.record.note(format!(
            "request {id} for {target} runs at {upstream} of {service}"
        ));
        if !self.cold_left().is_zero() {
            // The clients' identifiers end with the time of sending.
            let sent = id.rsplit('-').next().and_then(|text| text.parse().ok());
            let times = (Duration::from_millis(sent.unwrap_or(0)), self.record.now());
            self.arrivals.lock().expect("arrivals").push(times);
        }
        let leaving = *self.leaving.lock().expect("the state");
        if let Some(since) = leaving.map(|at| at.elapsed()) {
            let mut late = self.late.lock().expect("the count");
            if since > late.0 {
                late.1 += 1;
                let ms = since.as_millis();
                let text = format!("request {id} reaches {upstream}, which left {ms} ms before");
                match late.1 {
                    1 => self.record.say(text),
                    _ => self.record.note(text),
                }
            }
        }
        std::thread::sleep(self.work);
        if self.has_ended() {
            self.record
                .say(format!("request {id} breaks off: {upstream} has ended"));
        }
        Message::response(200)
            .with("Request-Id", id)
            .with("Response-Signature", format!("{upstream}.{id}"))
            .with_body(service)
    }
}

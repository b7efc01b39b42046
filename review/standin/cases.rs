//! The cases.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::daemon::{Daemon, Site};
use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;
use crate::upstream::Upstream;

const MS: Duration = Duration::from_millis(1);

/// Longest time until all daemons are ready.
const START_LIMIT: Duration = Duration::from_secs(15);

/// Runs a case and returns whether its rule was broken.
pub fn run(case: &str, folder: &Path, trouble: bool) -> io::Result<bool> {
    match case {
        "store-back" => store_back(folder, trouble, 4_400 * MS),
        "coordinator" => store_back(folder, trouble, 7_900 * MS),
        "removed" => removed(folder, trouble),
        "zone-back" => zone_back(folder, trouble),
        _ => Err(io::Error::other(format!("there is no case {case}"))),
    }
}

/// A folder for settings and logs, which is removed at the end.
struct Scratch(PathBuf);

impl Scratch {
    fn create() -> io::Result<Self> {
        let name = format!("review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Bounds of the deployment skyfuel-gw-grown.
fn grown_site(zones: Vec<(&'static str, &'static str)>) -> Site {
    Site {
        zones,
        bounds: vec![
            ("Drain", "3000ms"),
            ("ConfigApply", "3000ms"),
            ("Grace", "6s"),
            ("RetryBudgetRatio", "0.2"),
            ("RetryBudgetSlack", "206"),
            ("RetryWindow", "10s"),
            ("WarmupOverage", "1.5"),
            ("WarmupSlack", "8"),
            ("HoldMax", "10000ms"),
        ],
        memory_mb: 260,
        descriptors: 4_100,
    }
}

/// Returns a configuration in which the route `/moved/` goes to `service`.
fn configuration(version: u64, service: &str) -> String {
    let route = |name: &str, service: &str| {
        format!(
            "{{\"ResourceKind\":\"Routes\",\"Metadata\":{{\"Name\":\"{name}\"}},\"Spec\":{{\
             \"Host\":\"shop.example\",\"PathPrefix\":\"/{name}/\",\"Service\":\"{service}\",\
             \"Kind\":\"non_idempotent\",\"Timeout\":\"1500ms\",\"TargetLatency\":\"600ms\",\
             \"MaxAttempts\":1,\"Priority\":0}}}}"
        )
    };
    let service_of = |name: &str, more: &str| {
        format!(
            "{{\"ResourceKind\":\"Services\",\"Metadata\":{{\"Name\":\"{name}\"}},\"Spec\":{{\
             \"HealthPath\":\"/health\",\"MaxConns\":560,\"Warmup\":\"3s\",\"WarmupPerS\":3.9\
             {more}}}}}"
        )
    };
    let limits = "{\"ResourceKind\":\"Limits\",\"Metadata\":{\"Name\":\"limits\"},\"Spec\":{\
                  \"MaxHeaderBytes\":16384,\"MaxBodyBytes\":1048576,\"HeaderTimeout\":\"5s\",\
                  \"IdleTimeout\":\"10s\"}}";
    let resources = [
        route("moved", service),
        route("kept", "records"),
        service_of("old", ""),
        service_of("new", ""),
        service_of("records", ",\"Sharded\":true,\"Warm\":\"2s\""),
        limits.to_owned(),
    ];
    format!(
        "{{\"Version\":\"r{version}\",\"Resources\":[{}]}}",
        resources.join(",")
    )
}

/// Number of daemons in the zone: skyfuel-gw-grown has 83 in four zones.
const ZONE_DAEMONS: usize = 21;

/// Name of the zone.
const ZONE: &str = "bkk-dmk";

/// Bound `ConfigApply`.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);

/// Bound `Contact`.
const CONTACT: Duration = Duration::from_millis(4_000);

/// Allowance for the measurement, added to each bound.
const SLACK: Duration = Duration::from_millis(100);

/// A zone of the deployment: the log, upstreams and daemons.
struct Zone {
    record: Arc<Record>,
    store: Store,
    daemons: Vec<Daemon>,
    _scratch: Scratch,
}

impl Zone {
    /// Starts all, with `counts` upstreams of each service, and waits until the daemons are
    /// ready.
    fn start(
        folder: &Path,
        daemons: usize,
        counts: &[(&'static str, u64)],
        work: Duration,
    ) -> io::Result<Self> {
        let record = Arc::new(Record::create(folder)?);
        let scratch = Scratch::create()?;
        let store = Store::start()?;
        for (service, count) in counts {
            for number in 0..*count {
                let id = format!("i-{service}-{number}");
                Upstream::start(&id, service, ZONE, work, WARM, &store, &record)?;
            }
        }
        store.put("keyed.op", "config", &configuration(1, "old"));
        let site = grown_site(vec![(ZONE, "bkk")]);
        let count = daemons;
        let mut daemons = Vec::new();
        for number in 1..=count {
            let name = format!("edge-{ZONE}-{number}");
            let mut daemon = Daemon::new(&scratch.0, &site, &name, ZONE, store.address)?;
            daemon.start()?;
            daemons.push(daemon);
        }
        for daemon in &daemons {
            daemon.wait_ready(START_LIMIT)?;
        }
        record.say(format!("{} daemons are ready", daemons.len()));
        sleep(6_000 * MS);
        Ok(Self {
            record,
            store,
            daemons,
            _scratch: scratch,
        })
    }

    /// Lets the log be down for a time, if there is to be trouble; returns when it is back.
    fn outage(&self, trouble: bool, length: Duration) -> Instant {
        if trouble {
            self.record.say("the log is down: it answers 503");
            self.store.set_busy(true);
        }
        sleep(length);
        self.store.set_busy(false);
        self.record.say("the log serves again");
        Instant::now()
    }

    /// Fails if a daemon has ended by itself.
    fn check_processes(&mut self) -> io::Result<()> {
        match self
            .daemons
            .iter_mut()
            .find_map(|d| d.has_ended().then(|| d.name.clone()))
        {
            Some(name) => Err(io::Error::other(format!("{name} has ended"))),
            None => Ok(()),
        }
    }
}

/// The log is down for some seconds. Soon after its return the operator moves a route to
/// another service. No request sent later than `ConfigApply` after the acknowledgement, and
/// `Contact` after the return, may be run by the former service.
fn store_back(folder: &Path, trouble: bool, outage: Duration) -> io::Result<bool> {
    let counts = [("old", 2), ("new", 2), ("records", 3)];
    let mut zone = Zone::start(folder, ZONE_DAEMONS, &counts, 5 * MS)?;
    let broken = AtomicUsize::new(0);
    let mut former = "old";
    for round in 1..=4 {
        let returned = zone.outage(trouble, outage);
        sleep(300 * MS);
        let (version, service) = (round + 1, if former == "old" { "new" } else { "old" });
        if !zone
            .store
            .put("keyed.op", "config", &configuration(version, service))
        {
            return Err(io::Error::other("the log refused the operator"));
        }
        let acknowledged = Instant::now();
        let text = format!("version r{version} is acknowledged: /moved/ goes to {service}");
        zone.record.say(text);
        let from = (acknowledged + CONFIG_APPLY + SLACK).max(returned + CONTACT + SLACK);
        sleep(from.saturating_duration_since(Instant::now()));
        let end = Instant::now() + 10_000 * MS;
        std::thread::scope(|scope| {
            for daemon in &zone.daemons {
                let (record, broken) = (&zone.record, &broken);
                scope.spawn(move || {
                    let late = probe(daemon, former, acknowledged, end, record);
                    broken.fetch_add(late, Ordering::SeqCst);
                });
            }
        });
        former = service;
    }
    zone.check_processes()?;
    let broken = broken.into_inner();
    zone.record
        .say(format!("{broken} requests were run by the former service"));
    Ok(broken > 0)
}

/// An upstream that is warm from its start.
const WARM: Duration = Duration::ZERO;

/// Bound `Drain`.
const DRAIN: Duration = Duration::from_millis(3_000);

/// The log is down for some seconds. When it has been back for longer than `Contact`, an
/// upstream leaves: its entry is removed, it serves on for `Drain` and some seconds, and ends.
/// No request may reach it later than `Drain` after the removal.
fn removed(folder: &Path, trouble: bool) -> io::Result<bool> {
    let counts = [("old", 5), ("new", 1), ("records", 3)];
    let work = 300 * MS;
    let mut zone = Zone::start(folder, 6, &counts, work)?;
    let (mut late, mut lost) = (0, AtomicUsize::new(0));
    for round in 1..=3 {
        let id = format!("i-old-leaving-{round}");
        let leaving = Upstream::start(&id, "old", ZONE, work, WARM, &zone.store, &zone.record)?;
        sleep(2_000 * MS);
        let returned = zone.outage(trouble, 4_400 * MS);
        sleep((returned + CONTACT + SLACK).saturating_duration_since(Instant::now()));
        leaving.leave(&zone.store, DRAIN + SLACK)?;
        zone.record.say(format!("the entry of {id} is removed"));
        let end = Instant::now() + 8_000 * MS;
        std::thread::scope(|scope| {
            for (daemon, client) in zone
                .daemons
                .iter()
                .flat_map(|d| (1..=3).map(move |c| (d, c)))
            {
                let (record, lost) = (&zone.record, &lost);
                scope.spawn(move || {
                    lost.fetch_add(order(daemon, client, end, record), Ordering::SeqCst);
                });
            }
            sleep(DRAIN + 3_000 * MS);
            zone.record.say(format!("{id} ends"));
            leaving.end();
        });
        late += leaving.late();
    }
    zone.check_processes()?;
    let lost = *lost.get_mut();
    zone.record.say(format!(
        "{late} requests came too late; {lost} orders were lost"
    ));
    Ok(late > 0)
}

/// Requests that a cold upstream may get in a second: `WarmupPerS` 3.9 x `WarmupOverage` 1.5 +
/// `WarmupSlack` 8.
const COLD_LIMIT: usize = 13;

/// A zone loses power for 5.4 s. Its machines and upstreams come back at once, the upstreams
/// cold, while the log is slow for 4.4 s. No cold upstream may get more requests in a second than the limit. Without the loss
/// of power, cold upstreams take the place of others while the machines run.
fn zone_back(folder: &Path, trouble: bool) -> io::Result<bool> {
    let counts = [("new", 1), ("records", 3)];
    let work = 20 * MS;
    let mut zone = Zone::start(folder, ZONE_DAEMONS, &counts, work)?;
    let mut former: Vec<Arc<Upstream>> = Vec::new();
    let mut most = 0;
    for round in 1..=4 {
        for upstream in former.drain(..) {
            upstream.end();
            zone.store.put("keyed.servers", &upstream.id, "");
        }
        let mut back = Instant::now();
        if trouble {
            zone.record.say("the zone loses power");
            zone.daemons.iter_mut().for_each(Daemon::kill);
            sleep(5_400 * MS);
            zone.record
                .say("its machines are back, and the log is slow");
            zone.store.set_slow(true);
            back = Instant::now();
            for daemon in &mut zone.daemons {
                daemon.start()?;
            }
        }
        zone.record.say("cold upstreams start");
        for number in 1..=4 {
            let id = format!("i-old-{round}-{number}");
            let cold = 3_000 * MS;
            former.push(Upstream::start(
                &id,
                "old",
                ZONE,
                work,
                cold,
                &zone.store,
                &zone.record,
            )?);
        }
        let end = back + 4_400 * MS;
        std::thread::scope(|scope| {
            for (daemon, client) in zone
                .daemons
                .iter()
                .flat_map(|d| (1..=2).map(move |c| (d, c)))
            {
                let record = &zone.record;
                scope.spawn(move || order(daemon, client, end, record));
            }
            sleep(end.saturating_duration_since(Instant::now()));
            zone.store.set_slow(false);
            zone.record.note("the log is as fast as usual");
        });
        for upstream in &former {
            let (id, count) = (&upstream.id, upstream.busiest_second());
            zone.record.say(format!(
                "{id} got {count} requests in a second while it was cold"
            ));
            most = most.max(count);
        }
    }
    zone.check_processes()?;
    zone.record.say(format!(
        "at most {most} requests in a second; allowed are {COLD_LIMIT}"
    ));
    Ok(most > COLD_LIMIT)
}

/// Sends orders to a daemon until `end`, and returns how many were lost.
fn order(daemon: &Daemon, client: u32, end: Instant, record: &Record) -> usize {
    let mut lost = 0;
    sleep(client * 110 * MS);
    while Instant::now() < end {
        let id = format!("{}-{client}-{}", daemon.name, record.now().as_millis());
        let answer = match send(daemon, &id) {
            Ok(response) => response.status().to_string(),
            Err(error) => format!("no answer: {error}"),
        };
        record.note(format!("request {id} sent to {}: {answer}", daemon.name));
        if answer == "502" || answer == "504" {
            lost += 1;
            record.say(format!("request {id} is answered {answer}"));
        }
        sleep(20 * MS);
    }
    lost
}

/// Sends an order to the moved route.
fn send(daemon: &Daemon, id: &str) -> io::Result<Message> {
    let request = Message {
        start: format!("POST /moved/{id} HTTP/1.1"),
        ..Message::default()
    };
    let request = request.with("Host", "shop.example").with("Request-Id", id);
    let request = request.with("Request-Deadline", 2_500);
    http::call(daemon.front, &request, 2_500 * MS)
}

/// Sends requests to a daemon until `end`, and returns how many the service `former` ran.
fn probe(
    daemon: &Daemon,
    former: &str,
    acknowledged: Instant,
    end: Instant,
    record: &Record,
) -> usize {
    let mut late = 0;
    while Instant::now() < end {
        let sent = Instant::now();
        let id = format!("{}-{}", daemon.name, record.now().as_millis());
        let response = send(daemon, &id);
        let answer = match &response {
            Ok(response) => {
                let body = String::from_utf8_lossy(&response.body).into_owned();
                format!("{} {}", response.status(), body.trim())
            }
            Err(error) => format!("no answer: {error}"),
        };
        record.note(format!("request {id} sent to {}: {answer}", daemon.name));
        if answer == format!("200 {former}") {
            late += 1;
            if late == 1 {
                let after = sent.duration_since(acknowledged).as_millis();
                record.say(format!(
                    "request {id}, sent {after} ms after the acknowledgement, was run by {former}"
                ));
            }
        }
        sleep(200 * MS);
    }
    late
}

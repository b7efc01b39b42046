//! A deployment on loopback: stand-ins and daemons as processes of their own.

mod answer;
mod plan;

pub use answer::moved;
pub use plan::{Plan, Target};

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};
use std::{fs, io, thread};

use pistachiomoor::{admin, cmd, finding, model, state};
use serde_json::{Value, json};
use standins::target::history;

use crate::caller::{Call, Caller};
use crate::process::{self, Process};
use crate::relay::Relay;

/// First port used; below the ports that the system gives to connections.
const FIRST_PORT: u16 = 20_000;

/// Ports among which this program chooses.
const PORTS: u16 = 12_000;

/// Longest time for a deployment to serve all of its keys.
const START: Duration = Duration::from_secs(20);

/// Longest time for one call to a stand-in or an admin port.
const CALL: Duration = Duration::from_secs(5);

/// Why a deployment can't be measured.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A process or a file failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A daemon refused a call.
    #[error("{0}")]
    Admin(#[from] cmd::Error),
    /// An intent has faults.
    #[error("{0}")]
    Intent(#[from] finding::Findings),
    /// A plan was not accepted.
    #[error("a plan was not accepted: {0}")]
    Plan(String),
    /// Something did not happen in time.
    #[error("{what} did not happen within {seconds} s; logs are in {logs}")]
    Late {
        /// What was waited for.
        what: String,
        /// How long.
        seconds: u64,
        /// Folder with the logs.
        logs: String,
    },
}

/// A target that runs.
pub struct Running {
    /// What it was started with.
    pub target: Target,
    /// Its process.
    pub process: Process,
    /// Its own address.
    pub address: SocketAddr,
    /// Relay in front of it.
    pub relay: Option<Relay>,
}

/// A daemon that runs.
pub struct Daemon {
    /// Failure domain.
    pub domain: &'static str,
    /// Region.
    pub region: &'static str,
    /// Its process.
    pub process: Process,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Relay between it and the log.
    pub log: Option<Relay>,
}

/// A deployment that runs; its processes end when it is dropped.
pub struct Fleet {
    /// Daemons, in the order of the plan.
    pub daemons: Vec<Daemon>,
    /// Targets, in the order of the plan.
    pub targets: Vec<Running>,
    /// Address of the log.
    pub log: SocketAddr,
    /// Folder with settings and logs.
    pub folder: PathBuf,
    /// The log and the list of hosts; held until the end.
    _platform: Vec<Process>,
}

/// Returns an address of loopback whose port was free for TCP and UDP.
///
/// # Errors
/// No port of the range is free.
pub fn address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = std::process::id().wrapping_mul(331) as u16 % PORTS;
    for _ in 0..PORTS {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + first.wrapping_add(step) % PORTS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Returns a new folder for settings and logs.
///
/// # Errors
/// The folder can't be made.
pub fn folder() -> io::Result<PathBuf> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("pistachiomoor-measure-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// Starts a stand-in and waits until it listens.
///
/// # Errors
/// The process does not start or listen.
pub fn standin(
    folder: &Path,
    kind: &str,
    name: &str,
    args: &[String],
) -> io::Result<(Process, SocketAddr)> {
    let address = address()?;
    let mut all = vec![kind.to_owned(), "--listen".to_owned(), address.to_string()];
    all.extend_from_slice(args);
    let output = folder.join(format!("{name}.txt"));
    let process = Process::start(&process::beside("standin")?, &all, &output)?;
    wait_port(address)?;
    Ok((process, address))
}

/// Waits until an address accepts connections.
///
/// # Errors
/// It does not within 5 s.
pub fn wait_port(address: SocketAddr) -> io::Result<()> {
    let end = Instant::now() + CALL;
    loop {
        match std::net::TcpStream::connect(address) {
            Ok(_) => return Ok(()),
            Err(error) if Instant::now() > end => return Err(error),
            Err(_) => thread::sleep(Duration::from_millis(5)),
        }
    }
}

fn start_target(folder: &Path, target: &Target, relays: bool) -> io::Result<Running> {
    let mut args = vec![
        "--name".to_owned(),
        target.name.clone(),
        "--slots".to_owned(),
        target.slots.to_string(),
        "--service-ms".to_owned(),
        target.service_ms.to_string(),
    ];
    args.extend(target.args.iter().map(|arg| (*arg).to_owned()));
    if !target.checks {
        args.push("--no-checks".to_owned());
    }
    let (process, address) = standin(folder, "target", &target.name, &args)?;
    let relay = relays.then(|| Relay::start(address)).transpose()?;
    Ok(Running {
        target: target.clone(),
        process,
        address,
        relay,
    })
}

/// Sets faults of a stand-in.
///
/// # Errors
/// The stand-in does not answer.
pub fn fault(address: SocketAddr, fault: &Value) -> io::Result<()> {
    let call = Call::new("POST", "/fault", "", fault.to_string().as_bytes());
    let answer = Caller::new(address, CALL).call(&call)?;
    match answer.status {
        200 => Ok(()),
        status => Err(io::Error::other(format!(
            "a fault was answered with {status}"
        ))),
    }
}

impl Fleet {
    /// Starts a deployment, confirms its configuration and waits until every
    /// daemon is ready and every shard has an owner that answers.
    ///
    /// # Errors
    /// A process does not start, or the deployment does not serve in time.
    pub fn start(plan: &Plan) -> Result<Self, Error> {
        let folder = folder()?;
        let (log_process, log) = standin(&folder, "log", "log", &[])?;
        let (hosts_process, hosts) = standin(&folder, "hosts", "hosts", &[])?;
        let targets = plan.targets.iter();
        let targets = targets.map(|target| start_target(&folder, target, plan.relays));
        let mut fleet = Self {
            daemons: Vec::new(),
            targets: targets.collect::<io::Result<_>>()?,
            log,
            folder,
            _platform: vec![log_process, hosts_process],
        };
        for (index, domain) in plan.daemons.iter().enumerate() {
            let daemon = fleet.start_daemon(plan, index, domain, hosts)?;
            fleet.daemons.push(daemon);
        }
        for daemon in &fleet.daemons {
            fleet.wait("a daemon's readiness", || answer::is_ready(daemon.admin))?;
        }
        fleet.confirm(&fleet.configuration(plan))?;
        fleet.wait_served()?;
        Ok(fleet)
    }

    fn start_daemon(
        &self,
        plan: &Plan,
        index: usize,
        domain: &'static str,
        hosts: SocketAddr,
    ) -> io::Result<Daemon> {
        let found = plan.domains.iter().find(|(name, _)| *name == domain);
        let region = found.map_or("", |(_, region)| region);
        let far = plan
            .domains
            .first()
            .is_some_and(|(_, first)| *first != region);
        let relay = (plan.relays && far).then(|| Relay::start(self.log));
        let relay = relay.transpose()?;
        let log = relay.as_ref().map_or(self.log, |relay| relay.address);
        let (caller, peer, admin) = (address()?, address()?, address()?);
        let name = format!("{domain}-{index}");
        let settings = json!({
            "host": name,
            "domain": domain,
            "region": region,
            "listen": { "caller": caller, "peer": peer, "admin": admin },
            "platform": { "log": log, "hosts": hosts },
            "policy": plan.policy,
        });
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        let args = [
            "serve".to_owned(),
            "--settings".to_owned(),
            path.display().to_string(),
        ];
        let output = self.folder.join(format!("{name}.log"));
        let process = Process::start(&process::beside("pistachiomoor")?, &args, &output)?;
        wait_port(admin)?;
        Ok(Daemon {
            domain,
            region,
            process,
            caller,
            admin,
            log: relay,
        })
    }

    fn configuration(&self, plan: &Plan) -> Value {
        let domains = plan.domains.iter();
        let mut changes: Vec<Value> = domains
            .map(|(name, region)| json!({ "put_domain": { "name": name, "region": region } }))
            .collect();
        for service in &plan.services {
            let prefix = format!("/{}", service["name"].as_str().unwrap_or_default());
            changes.push(json!({ "put_service": service }));
            let route = json!({ "prefix": prefix, "service": service["name"] });
            changes.push(json!({ "put_route": route }));
        }
        for running in &self.targets {
            let target = &running.target;
            let relay = running.relay.as_ref();
            changes.push(json!({ "put_target": {
                "name": target.name,
                "service": target.service,
                "domain": target.domain,
                "address": relay.map_or(running.address, |relay| relay.address),
                "concurrency": target.slots,
                "checks": target.checks,
            } }));
        }
        Value::Array(changes)
    }

    /// Plans and confirms an intent at the first daemon.
    ///
    /// # Errors
    /// The intent has faults or the plan is not accepted.
    pub fn confirm(&self, intent: &Value) -> Result<(), Error> {
        let client = self.admin();
        let intent = admin::intent::Intent::parse("measure", &intent.to_string())?;
        let operator = model::OperatorName::from("measure");
        let now = client.state()?;
        let plan = state::plan::make(&now, rand::random(), intent.changes, operator, "measure")?;
        let text = serde_json::to_vec(&plan).map_err(io::Error::other)?;
        match client.confirm(&text)? {
            admin::Confirmation::Decided {
                verdict: state::Verdict::Accepted,
                ..
            } => Ok(()),
            other => Err(Error::Plan(format!("{other:?}"))),
        }
    }

    /// Returns a client of the first daemon's admin port.
    pub fn admin(&self) -> cmd::Admin {
        cmd::Admin::new(self.daemons[0].admin)
    }

    /// Returns the state at the first daemon.
    ///
    /// # Errors
    /// The daemon does not answer.
    pub fn state(&self) -> Result<state::State, Error> {
        Ok(self.admin().state()?)
    }

    /// Returns the addresses for callers of the daemons that `keep` keeps.
    pub fn callers(&self, keep: impl Fn(&Daemon) -> bool) -> Vec<SocketAddr> {
        let kept = self.daemons.iter().filter(|daemon| keep(daemon));
        kept.map(|daemon| daemon.caller).collect()
    }

    /// Waits until `done` returns true.
    ///
    /// # Errors
    /// It does not within 20 s.
    pub fn wait(&self, what: &str, mut done: impl FnMut() -> bool) -> Result<(), Error> {
        let end = Instant::now() + START;
        while !done() {
            if Instant::now() > end {
                return Err(Error::Late {
                    what: what.to_owned(),
                    seconds: START.as_secs(),
                    logs: self.folder.display().to_string(),
                });
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Waits until every target's holder may act, all leases are spread and
    /// every shard of keyed services has an owner.
    fn wait_served(&self) -> Result<(), Error> {
        self.wait("service of all targets", || self.is_served())?;
        // Leases are spread and targets are granted within the next rounds.
        thread::sleep(Duration::from_millis(1_500));
        self.wait("service after the spread of leases", || self.is_served())
    }

    fn is_served(&self) -> bool {
        let acting: usize = self
            .daemons
            .iter()
            .map(|daemon| answer::acting(daemon.admin))
            .sum();
        let Ok(state) = self.state() else {
            return false;
        };
        let services = state.config.services.values();
        let keyed = services
            .filter(|service| service.kind == state::Kind::Keyed)
            .count();
        let owned = |group: &std::sync::Arc<state::Group>| group.shards.iter().all(Option::is_some);
        let complete = state.groups.len() >= keyed && state.groups.values().all(owned);
        acting == self.targets.len() && complete
    }

    /// Returns the daemon that holds the lease on a target.
    ///
    /// # Errors
    /// No daemon answers or none holds it.
    pub fn holder(&self, target: &str) -> Result<usize, Error> {
        let state = self.state()?;
        let lease = state.leases.get(&model::TargetName::from(target));
        let host = lease.and_then(|lease| state.hosts.get(&lease.holder));
        let caller = host.map(|host| host.caller);
        let found = self
            .daemons
            .iter()
            .position(|daemon| Some(daemon.caller) == caller);
        found.ok_or_else(|| Error::Plan(format!("no daemon holds {target}")))
    }

    /// Returns a target's position by its name.
    pub fn target(&self, name: &str) -> Option<usize> {
        self.targets
            .iter()
            .position(|running| running.target.name == name)
    }

    /// Returns the history of a target.
    ///
    /// # Errors
    /// The stand-in does not answer.
    pub fn history(&self, index: usize) -> io::Result<history::Report> {
        let call = Call::new("GET", "/control/history", "", b"");
        let answer = Caller::new(self.targets[index].address, CALL).call(&call)?;
        Ok(serde_json::from_slice(&answer.body)?)
    }

    /// Sums a metric over all daemons; samples are summed over their labels.
    pub fn metric(&self, name: &str) -> f64 {
        let samples = self
            .daemons
            .iter()
            .map(|daemon| answer::metric(daemon.admin, name));
        samples.sum()
    }
}

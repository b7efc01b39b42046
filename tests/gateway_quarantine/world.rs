//! Model of callers, daemons, targets and network, in steps of a millisecond.

#[path = "world/callers.rs"]
mod callers;
#[path = "world/daemons.rs"]
mod daemons;
#[path = "world/targets.rs"]
mod targets;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::AtomicU64;

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::choice::Instance;
use pistachiomoor::gateway::quarantine::{Digest, Quarantine, Rules, wire};
use pistachiomoor::model::HostName;

use crate::oracle::Oracle;

pub const DAEMONS: usize = 4;
pub const TARGETS: usize = 12;
/// Targets are in this many failure domains, by turns.
pub const DOMAINS: usize = 3;
/// Crashing requests: the first may be retried, the second not.
pub const CRASHING: usize = 2;
/// Popular requests, which no target crashes by.
const POPULAR: u64 = 2;

/// Digests of popular requests; those of crashing ones begin at 0.
const POPULAR_DIGEST: u64 = 100;
/// Digests of requests that come once.
const VARIED_DIGEST: u64 = 10_000;

/// Time of the first crashing requests. Popular ones have answers by then.
const CRASHING_START_MS: u64 = 2_500;

/// Time until the first trial, in milliseconds.
pub const HOLD_MS: u64 = 600_000;
/// Time after a start until a daemon serves callers, at least.
const START_MS: u64 = 500;
/// Time for which a target is cold after its start.
const COLD_MS: u64 = 1_500;
/// Reading of the first daemon's clock at time 0. The others differ.
const CLOCK_MS: u64 = 5_000_000;

/// Events over all cases.
pub static CRASHES: AtomicU64 = AtomicU64::new(0);
pub static VERDICTS: AtomicU64 = AtomicU64::new(0);
pub static INNOCENT_BREAKS: AtomicU64 = AtomicU64::new(0);
pub static RESETS: AtomicU64 = AtomicU64::new(0);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Request {
    Crashing(usize),
    Popular(u64),
    Varied(u64),
}

impl Request {
    fn digest(self) -> Digest {
        Digest(match self {
            Self::Crashing(index) => index as u64,
            Self::Popular(index) => POPULAR_DIGEST + index,
            Self::Varied(number) => VARIED_DIGEST + number,
        })
    }
}

#[derive(Clone, Debug)]
struct Running {
    request: Request,
    daemon: usize,
    /// Start of the daemon that made the attempt.
    start: u64,
    tried: Vec<usize>,
    birth: u64,
    began: u64,
    ends: u64,
    warm: bool,
}

#[derive(Clone, Debug, Default)]
struct Target {
    birth: u64,
    listed: u64,
    /// End of the time for which it is down.
    down_until: u64,
    up: bool,
    running: Vec<Running>,
}

#[derive(Debug)]
struct Daemon {
    quarantine: Quarantine,
    /// Time of its start; it does not run before.
    start: u64,
    /// Difference of its clock to the model's time.
    offset: u64,
    heard: [u64; DAEMONS],
}

#[derive(Debug)]
enum Event {
    Datagram(usize, Vec<u8>),
    /// End of an attempt as its daemon sees it: its target, and whether it was answered.
    End(usize, Running, bool),
    /// Begin of a further attempt.
    Attempt(usize, Request, Vec<usize>),
    /// Outcome of a connection of this daemon to a target, begun at the last time.
    Probe(usize, Instance, u64),
}

pub struct World {
    pub time: u64,
    random: u64,
    count: u64,
    events: BTreeMap<(u64, u64), Event>,
    daemons: Vec<Daemon>,
    targets: Vec<Target>,
    oracles: Vec<Oracle>,
    split: BTreeSet<(usize, usize)>,
    /// Links on which connections are refused until this time.
    refusing: BTreeMap<(usize, usize), u64>,
    /// Mean time between crashing requests.
    pub crashing_ms: u64,
    /// Whether requests that crashed targets still do.
    pub crashing: bool,
    /// Datagrams that are lost, and those that are late, in percent.
    pub loss: u64,
    pub late: u64,
    next_crashing: [u64; CRASHING],
    varied: u64,
}

fn host(daemon: usize) -> HostName {
    HostName::from(format!("host-{daemon}").as_str())
}

fn name(target: usize) -> String {
    format!("target-{target}")
}

fn instance(target: usize, birth: u64) -> Instance {
    Instance {
        target: name(target).as_str().into(),
        birth,
    }
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            time: 1_000,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            count: 0,
            events: BTreeMap::new(),
            daemons: Vec::new(),
            targets: vec![Target::default(); TARGETS],
            oracles: vec![Oracle::default(); CRASHING],
            split: BTreeSet::new(),
            refusing: BTreeMap::new(),
            crashing_ms: 1_000,
            crashing: true,
            loss: 0,
            late: 0,
            next_crashing: [CRASHING_START_MS; CRASHING],
            varied: 0,
        };
        for target in &mut world.targets {
            (target.birth, target.listed, target.up) = (1, 1, true);
        }
        for index in 0..DAEMONS {
            let daemon = world.started(index, 0);
            world.daemons.push(daemon);
        }
        let joined = world.time;
        for oracle in &mut world.oracles {
            oracle.on_network(joined, true);
        }
        world
    }

    fn started(&self, index: usize, start: u64) -> Daemon {
        let offset = CLOCK_MS * (index as u64 + 1);
        let rules = Rules {
            crashes: 3,
            hold_ms: HOLD_MS,
        };
        Daemon {
            quarantine: Quarantine::new(host(index), rules, Millis(start + offset)),
            start,
            offset,
            heard: [0; DAEMONS],
        }
    }

    fn draw(&mut self, bound: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) % bound.max(1)
    }

    fn at(&mut self, delay: u64, event: Event) {
        self.count += 1;
        let key = (self.time + delay, self.count);
        self.events.insert(key, event);
    }

    fn now(&self, daemon: usize) -> Millis {
        Millis(self.time + self.daemons[daemon].offset)
    }

    fn runs(&self, daemon: usize) -> bool {
        self.time >= self.daemons[daemon].start
    }

    fn serves(&self, daemon: usize) -> bool {
        self.runs(daemon)
            && self.time >= self.daemons[daemon].start + START_MS
            && self.daemons[daemon].quarantine.is_settled(self.now(daemon))
    }

    fn is_warm(&self, target: usize) -> bool {
        let target = &self.targets[target];
        target.up && (target.birth == 1 || self.time >= target.birth + COLD_MS)
    }

    pub fn set_split(&mut self, a: usize, b: usize, split: bool) {
        let link = (a.min(b), a.max(b));
        if split && a != b {
            self.split.insert(link);
        } else {
            self.split.remove(&link);
        }
        self.on_network();
    }

    fn on_network(&mut self) {
        let (time, whole) = (self.time, self.split.is_empty());
        for oracle in &mut self.oracles {
            oracle.on_network(time, whole);
        }
    }

    pub fn heal(&mut self) {
        self.split.clear();
        self.refusing.clear();
        (self.loss, self.late) = (0, 0);
        self.on_network();
    }

    /// Ends a daemon, which starts again after `ms`.
    pub fn restart(&mut self, daemon: usize, ms: u64) {
        if self.runs(daemon) {
            let start = self.time + ms;
            self.daemons[daemon] = self.started(daemon, start);
            for target in &mut self.targets {
                target.running.retain(|running| running.daemon != daemon);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Datagram(daemon, bytes) if self.runs(daemon) => {
                let message: wire::Datagram = rmp_serde::from_slice(&bytes).unwrap();
                let now = self.now(daemon);
                self.daemons[daemon]
                    .quarantine
                    .on_message(&message, now)
                    .unwrap();
            }
            Event::Datagram(..) => {}
            Event::End(target, running, answered) => self.end(target, running, answered),
            Event::Attempt(daemon, request, tried) => self.attempt(daemon, request, tried),
            Event::Probe(daemon, instance, began) if self.runs(daemon) => {
                let target = (0..TARGETS).find(|t| name(*t) == instance.target.as_str());
                let target = target.unwrap();
                let until = self.refusing.get(&(daemon, target));
                let is_refused = until.is_some_and(|until| *until > began);
                let now = self.now(daemon);
                let began = Millis(began + self.daemons[daemon].offset);
                let quarantine = &mut self.daemons[daemon].quarantine;
                match self.targets[target].up && !is_refused {
                    true => quarantine.on_accepted(&instance),
                    false => quarantine.on_refused(&instance, began, now),
                }
            }
            Event::Probe(..) => {}
        }
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.time += 1;
            self.step_targets();
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.time {
                    break;
                }
                let event = entry.remove();
                self.handle(event);
            }
            self.step_callers();
            for daemon in 0..DAEMONS {
                if self.runs(daemon) {
                    self.step_daemon(daemon);
                }
            }
        }
    }

    /// Lets time pass in which nothing happens.
    pub fn skip(&mut self, ms: u64) {
        self.time += ms;
    }

    /// Returns how many daemons refuse a request that crashes targets.
    pub fn refusing(&self, crashing: usize) -> usize {
        let digest = Request::Crashing(crashing).digest();
        let daemons = self.daemons.iter();
        daemons
            .filter(|daemon| daemon.quarantine.is_quarantined(digest))
            .count()
    }

    /// Ends a verdict at one daemon, as an operator.
    pub fn lift(&mut self, daemon: usize, crashing: usize) -> bool {
        let now = self.now(daemon);
        let digest = Request::Crashing(crashing).digest();
        self.daemons[daemon].quarantine.lift(digest, now)
    }

    pub fn oracle(&self, crashing: usize) -> &Oracle {
        &self.oracles[crashing]
    }
}

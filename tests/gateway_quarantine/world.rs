//! Model of callers, daemons, targets and network, in steps of a millisecond.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::choice::Instance;
use pistachiomoor::gateway::quarantine::{
    Admission, Attempt, Break, Digest, Fitness, Quarantine, Rules, Sizes, wire,
};
use pistachiomoor::model::HostName;

use crate::oracle::Oracle;

pub const DAEMONS: usize = 4;
pub const TARGETS: usize = 12;
/// Targets are in this many failure domains, by turns.
pub const DOMAINS: usize = 3;
/// Deadly requests: the first may be retried, the second not.
pub const DEADLY: usize = 2;
/// Popular requests, which no target crashes by.
const POPULAR: u64 = 2;

/// Digests of popular requests; those of deadly ones begin at 0.
const POPULAR_DIGEST: u64 = 100;
/// Digests of requests that come once.
const VARIED_DIGEST: u64 = 10_000;

/// Time of the first deadly requests. Popular ones have answers by then.
const DEADLY_START_MS: u64 = 2_500;

/// Time until the first trial, in milliseconds.
pub const HOLD_MS: u64 = 600_000;
/// Time after a start until a daemon serves callers, at least.
const START_MS: u64 = 500;
/// Time for which a target is cold after its start.
const COLD_MS: u64 = 1_500;
/// Time until the list shows a new instance.
const LIST_LAG_MS: u64 = 600;
/// Time since the last heartbeat after which a daemon does not count as live.
const LIVE_MS: u64 = 2_500;
/// Targets that one request is sent to.
const MAX_ATTEMPTS: u32 = 3;
/// Requests in progress at a target.
const MAX_RUNNING: usize = 10;
/// Reading of the first daemon's clock at time 0. The others differ.
const CLOCK_MS: u64 = 5_000_000;
/// Largest datagram that is sent.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Events over all cases.
pub static CRASHES: AtomicU64 = AtomicU64::new(0);
pub static VERDICTS: AtomicU64 = AtomicU64::new(0);
pub static INNOCENT_BREAKS: AtomicU64 = AtomicU64::new(0);
pub static RESETS: AtomicU64 = AtomicU64::new(0);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Request {
    Deadly(usize),
    Popular(u64),
    Varied(u64),
}

impl Request {
    fn digest(self) -> Digest {
        Digest(match self {
            Self::Deadly(index) => index as u64,
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
    /// Mean time between deadly requests.
    pub deadly_ms: u64,
    /// Whether requests that crashed targets still do.
    pub deadly: bool,
    /// Datagrams that are lost, and those that are late, in percent.
    pub loss: u64,
    pub late: u64,
    next_deadly: [u64; DEADLY],
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
            oracles: vec![Oracle::default(); DEADLY],
            split: BTreeSet::new(),
            refusing: BTreeMap::new(),
            deadly_ms: 1_000,
            deadly: true,
            loss: 0,
            late: 0,
            next_deadly: [DEADLY_START_MS; DEADLY],
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

    /// Ends all targets of a failure domain at once.
    pub fn lose_domain(&mut self, domain: usize) {
        for target in (domain..TARGETS).step_by(DOMAINS) {
            self.crash(target);
        }
    }

    /// Resets the connections of a daemon to the targets of a failure domain, which go on,
    /// and refuses further ones for `ms`.
    pub fn reset(&mut self, daemon: usize, domain: usize, ms: u64) {
        for target in (domain..TARGETS).step_by(DOMAINS) {
            self.reset_link(daemon, target, ms);
        }
    }

    fn reset_link(&mut self, daemon: usize, target: usize, ms: u64) {
        let running = std::mem::take(&mut self.targets[target].running);
        let (broken, rest): (Vec<_>, Vec<_>) = running
            .into_iter()
            .partition(|running| running.daemon == daemon);
        self.targets[target].running = rest;
        for running in broken {
            RESETS.fetch_add(1, Ordering::Relaxed);
            // A deadly one goes on: the target runs it to its end in any case.
            if self.deadly && matches!(running.request, Request::Deadly(_)) {
                self.targets[target].running.push(running);
            } else {
                self.at(0, Event::End(target, running, false));
            }
        }
        let until = self.time + ms;
        self.refusing.insert((daemon, target), until);
    }

    fn crash(&mut self, target: usize) {
        if !self.targets[target].up {
            return;
        }
        CRASHES.fetch_add(1, Ordering::Relaxed);
        let down = 2_000 + self.draw(2_000);
        let state = &mut self.targets[target];
        state.up = false;
        state.down_until = self.time + down;
        for running in std::mem::take(&mut state.running) {
            let delay = 1 + self.draw(12);
            if !matches!(running.request, Request::Deadly(_)) {
                INNOCENT_BREAKS.fetch_add(1, Ordering::Relaxed);
            }
            self.at(delay, Event::End(target, running, false));
        }
    }

    /// Chooses a target, and sends a request to it if the daemon admits that.
    fn attempt(&mut self, daemon: usize, request: Request, mut tried: Vec<usize>) {
        if !self.serves(daemon) || tried.len() as u32 >= MAX_ATTEMPTS {
            return;
        }
        let digest = request.digest();
        let now = self.now(daemon);
        if self.daemons[daemon]
            .quarantine
            .refusal(digest, now)
            .is_some()
        {
            return self.on_refused(request);
        }
        // One attempt in ten goes to a cold target, if there is one.
        let cold = self.draw(10) == 0;
        let fits = |world: &Self, target: usize| {
            let state = &world.targets[target];
            state.up
                && state.listed == state.birth
                && !tried.contains(&target)
                && state.running.len() < MAX_RUNNING
        };
        let open: Vec<_> = (0..TARGETS).filter(|t| fits(self, *t)).collect();
        let (warm, rest): (Vec<_>, Vec<_>) = open.into_iter().partition(|t| self.is_warm(*t));
        let chosen = if cold && !rest.is_empty() { rest } else { warm };
        if chosen.is_empty() {
            return;
        }
        let target = chosen[self.draw(chosen.len() as u64) as usize];
        match self.daemons[daemon].quarantine.admit(digest, now) {
            Admission::Refused(_) => return self.on_refused(request),
            Admission::Open | Admission::Trial => {}
        }
        if let Request::Deadly(index) = request
            && self.deadly
        {
            let time = self.time;
            self.oracles[index].on_send(time);
        }
        tried.push(target);
        let run = 5 + self.draw(75);
        let running = Running {
            request,
            daemon,
            start: self.daemons[daemon].start,
            tried,
            birth: self.targets[target].birth,
            began: self.time,
            ends: self.time + run,
            warm: self.is_warm(target),
        };
        self.targets[target].running.push(running);
    }

    fn on_refused(&self, request: Request) {
        assert!(
            !matches!(request, Request::Popular(_)),
            "a popular request is refused at {}",
            self.time
        );
    }

    fn end(&mut self, target: usize, running: Running, answered: bool) {
        let daemon = running.daemon;
        if running.start != self.daemons[daemon].start {
            return;
        }
        let now = self.now(daemon);
        let offset = self.daemons[daemon].offset;
        let digest = running.request.digest();
        let instance = instance(target, running.birth);
        let began = Millis(running.began + offset);
        let quarantine = &mut self.daemons[daemon].quarantine;
        if answered {
            quarantine.on_response(&instance, began);
            quarantine.on_answered(digest, now);
            return;
        }
        let attempt = Attempt {
            digest,
            route: "bookings".into(),
            instance,
            began,
        };
        let end = Break {
            written: true,
            silent: true,
            own: false,
            fitness: match running.warm {
                true => Fitness::Warm,
                false => Fitness::Cold,
            },
        };
        quarantine.on_broken(attempt, end, now);
        if running.request != Request::Deadly(1) {
            self.at(1, Event::Attempt(daemon, running.request, running.tried));
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

    fn step_targets(&mut self) {
        let time = self.time;
        for index in 0..TARGETS {
            let target = &mut self.targets[index];
            if !target.up && time >= target.down_until {
                (target.up, target.birth) = (true, time);
            }
            if target.up && time >= target.birth + LIST_LAG_MS {
                target.listed = target.birth;
            }
            let ended = target.running.iter().filter(|running| running.ends <= time);
            let ended: Vec<_> = ended.cloned().collect();
            target.running.retain(|running| running.ends > time);
            for running in ended {
                match running.request {
                    Request::Deadly(deadly) if self.deadly => {
                        self.targets[index].running.push(running);
                        self.oracles[deadly].on_crash(time);
                        self.crash(index);
                    }
                    _ if self.targets[index].up => {
                        let delay = 1 + self.draw(3);
                        self.at(delay, Event::End(index, running, true));
                    }
                    _ => {
                        let delay = 1 + self.draw(12);
                        self.at(delay, Event::End(index, running, false));
                    }
                }
            }
        }
    }

    fn step_callers(&mut self) {
        for index in 0..DEADLY {
            if self.time >= self.next_deadly[index] {
                let pause = 1 + self.draw(2 * self.deadly_ms);
                self.next_deadly[index] = self.time + pause;
                let daemon = self.draw(DAEMONS as u64) as usize;
                self.attempt(daemon, Request::Deadly(index), Vec::new());
            }
        }
        for daemon in 0..DAEMONS {
            if self.draw(7) == 0 {
                let popular = self.draw(POPULAR);
                self.attempt(daemon, Request::Popular(popular), Vec::new());
            }
            if self.draw(30) == 0 {
                self.varied += 1;
                self.attempt(daemon, Request::Varied(self.varied), Vec::new());
            }
        }
    }

    fn step_daemon(&mut self, daemon: usize) {
        let now = self.now(daemon);
        let round = self.time + 7 * daemon as u64;
        if round.is_multiple_of(250) {
            for other in 0..DAEMONS {
                let link = (daemon.min(other), daemon.max(other));
                if other != daemon && self.runs(other) && !self.split.contains(&link) {
                    let (time, lost) = (self.time, self.draw(100) < self.loss);
                    if !lost {
                        self.daemons[daemon].heard[other] = time;
                    }
                }
            }
            let heard = self.daemons[daemon].heard;
            let live = (0..DAEMONS).filter(|other| heard[*other] + LIVE_MS > self.time);
            let live: Vec<_> = live.map(host).collect();
            self.daemons[daemon].quarantine.on_daemons(live, now);
        }
        if round.is_multiple_of(50) {
            let targets = &self.targets;
            let is_current = |instance: &Instance| {
                let target = (0..TARGETS).find(|t| name(*t) == instance.target.as_str());
                targets[target.unwrap()].listed <= instance.birth
            };
            self.daemons[daemon].quarantine.on_list(is_current, now);
        }
        if !round.is_multiple_of(25) {
            return;
        }
        for instance in self.daemons[daemon].quarantine.take_probes(now) {
            let (began, delay) = (self.time, 1 + self.draw(12));
            self.at(delay, Event::Probe(daemon, instance, began));
        }
        for (to, message) in self.daemons[daemon].quarantine.take_messages(now) {
            let bytes = rmp_serde::to_vec(&message).unwrap();
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
            let other = (0..DAEMONS).find(|other| host(*other) == to).unwrap();
            let link = (daemon.min(other), daemon.max(other));
            if self.split.contains(&link) || self.draw(100) < self.loss {
                continue;
            }
            let late = self.draw(100) < self.late;
            let delay = 1 + self.draw(if late { 1_000 } else { 25 });
            if self.draw(20) == 0 {
                self.at(delay + 300, Event::Datagram(other, bytes.clone()));
            }
            self.at(delay, Event::Datagram(other, bytes));
        }
        self.check(daemon);
    }

    fn check(&mut self, daemon: usize) {
        let time = self.time;
        let quarantine = &mut self.daemons[daemon].quarantine;
        for popular in 0..POPULAR {
            let digest = Request::Popular(popular).digest();
            let held = quarantine.is_quarantined(digest);
            assert!(!held, "popular request {digest} is quarantined at {time}");
        }
        VERDICTS.fetch_add(quarantine.take_events().len() as u64, Ordering::Relaxed);
        let (sizes, max) = (quarantine.sizes(), Sizes::MAX);
        let fits = sizes.answers <= max.answers
            && sizes.breaks <= max.breaks
            && sizes.crashes <= max.crashes
            && sizes.suspects <= max.suspects
            && sizes.verdicts <= max.verdicts
            && sizes.queued <= max.queued;
        assert!(fits, "{sizes:?}");
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

    /// Returns how many daemons refuse a deadly request.
    pub fn refusing(&self, deadly: usize) -> usize {
        let digest = Request::Deadly(deadly).digest();
        let daemons = self.daemons.iter();
        daemons
            .filter(|daemon| daemon.quarantine.is_quarantined(digest))
            .count()
    }

    /// Ends a verdict at one daemon, as an operator.
    pub fn lift(&mut self, daemon: usize, deadly: usize) -> bool {
        let now = self.now(daemon);
        let digest = Request::Deadly(deadly).digest();
        self.daemons[daemon].quarantine.lift(digest, now)
    }

    pub fn oracle(&self, deadly: usize) -> &Oracle {
        &self.oracles[deadly]
    }
}

//! Senders and targets in virtual time, with seeded randomness.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::choice::{Candidate, Counts, End, Pick, Table, Work};
use pistachiomoor::gateway::dialect::Load;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{SLOTS, life};

/// Aim of the design: p99 of the time to an answer, as a part of round robin's.
const P99: f64 = 0.7;
/// Aim of the design: longest queue of a target, in requests per slot.
const QUEUE: usize = 4;

const SEEDS: [u64; 3] = [0x7069_7374, 0x6163_6869, 0x6d6f_6f72];
const SENDERS: usize = 6;
const TARGETS: usize = 21;
/// Time that requests take at targets, as factors of the mean.
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.6];
/// A part of the targets is this much slower, for this time in milliseconds.
const SLOWER: f64 = 3.0;
const SLOW_SHARE: f64 = 0.2;
const SLOW_TIME: f64 = 400.0;
/// Mean work of a request, in milliseconds.
const WORK: f64 = 20.0;
/// Part of the slots that requests take, at the begin and at the end.
const LOAD: [f64; 2] = [0.3, 0.55];
/// Time between messages of counts and until they arrive, in milliseconds.
const COUNTS_EVERY: f64 = 25.0;
const COUNTS_DELAY: f64 = 30.0;
/// Time of arrivals, in milliseconds. The first part is not measured.
const END: f64 = 40_000.0;
const MEASURED: f64 = 2_000.0;
/// Guess of work before an answer, in milliseconds.
const GUESS: f64 = 500.0;

#[derive(Clone, Copy, PartialEq)]
enum Way {
    Choice,
    RoundRobin,
}

enum Event {
    Arrive,
    Done(usize, Request),
    Tell(usize),
    Hear(usize, Counts),
    Change,
}

#[derive(Clone, Copy)]
struct Request {
    sender: usize,
    arrival: f64,
    work: f64,
    expected: f64,
}

struct Server {
    speed: f64,
    slow: bool,
    running: u32,
    waiting: VecDeque<Request>,
}

struct Sender {
    table: Table,
    work: Work,
    next: usize,
}

#[derive(Default)]
struct Outcome {
    times: Vec<f64>,
    longest: usize,
    refused: usize,
}

impl Outcome {
    fn p99(&mut self) -> f64 {
        self.times.sort_by(f64::total_cmp);
        self.times[self.times.len() * 99 / 100]
    }
}

struct World {
    way: Way,
    now: f64,
    random: StdRng,
    choices: StdRng,
    order: u64,
    agenda: BinaryHeap<Reverse<(u64, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    servers: Vec<Server>,
    senders: Vec<Sender>,
    candidates: Vec<Candidate>,
    outcome: Outcome,
}

impl World {
    fn new(way: Way, seed: u64) -> Self {
        let servers = (0..TARGETS).map(|number| Server {
            speed: SPEEDS[number % SPEEDS.len()],
            slow: false,
            running: 0,
            waiting: VecDeque::new(),
        });
        let senders = (0..SENDERS).map(|number| Sender {
            table: Table::new(),
            work: Work::default(),
            next: number * TARGETS / SENDERS,
        });
        let candidates = (0..TARGETS).map(|number| super::candidate(number, 0.0));
        Self {
            way,
            now: 0.0,
            random: StdRng::seed_from_u64(seed),
            choices: StdRng::seed_from_u64(!seed),
            order: 0,
            agenda: BinaryHeap::new(),
            events: std::collections::HashMap::new(),
            servers: servers.collect(),
            senders: senders.collect(),
            candidates: candidates.collect(),
            outcome: Outcome::default(),
        }
    }

    fn at(&mut self, time: f64, event: Event) {
        self.order += 1;
        // Microseconds, so that times have an order.
        let time = (time * 1_000.0) as u64;
        self.agenda.push(Reverse((time, self.order)));
        self.events.insert(self.order, event);
    }

    fn millis(&self) -> Millis {
        Millis(1_000_000 + self.now as u64)
    }

    fn run(mut self) -> Outcome {
        self.at(0.0, Event::Change);
        self.at(0.0, Event::Arrive);
        for sender in 0..SENDERS {
            let first = COUNTS_EVERY * sender as f64 / SENDERS as f64;
            self.at(first, Event::Tell(sender));
        }
        while let Some(Reverse((time, order))) = self.agenda.pop() {
            self.now = time as f64 / 1_000.0;
            if self.now > 2.0 * END {
                break;
            }
            match self.events.remove(&order) {
                Some(Event::Arrive) => self.arrive(),
                Some(Event::Done(target, request)) => self.done(target, request),
                Some(Event::Tell(sender)) => self.tell(sender),
                Some(Event::Hear(sender, counts)) => self.hear(sender, counts),
                Some(Event::Change) => self.change(),
                None => {}
            }
        }
        self.outcome
    }

    /// Makes other targets slow.
    fn change(&mut self) {
        let slow = (TARGETS as f64 * SLOW_SHARE).round() as usize;
        let chosen = rand::seq::index::sample(&mut self.random, TARGETS, slow);
        for (number, server) in self.servers.iter_mut().enumerate() {
            server.slow = chosen.iter().any(|index| index == number);
        }
        self.at(self.now + SLOW_TIME, Event::Change);
    }

    fn arrive(&mut self) {
        let sender = self.random.random_range(0..SENDERS);
        let work = WORK * self.random.random_range(0.5..1.5);
        let share = LOAD[0] + (LOAD[1] - LOAD[0]) * self.now / END;
        let speed: f64 = SPEEDS.iter().sum::<f64>() / SPEEDS.len() as f64;
        let time = WORK * speed * (1.0 + SLOW_SHARE * (SLOWER - 1.0));
        let rate = share * TARGETS as f64 * f64::from(SLOTS) / time;
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        if self.now + gap < END {
            self.at(self.now + gap, Event::Arrive);
        }
        let request = Request {
            sender,
            arrival: self.now,
            work,
            expected: self.senders[sender].work.mean().unwrap_or(GUESS),
        };
        match self.pick(&request) {
            Some(target) => self.send(target, request),
            // A refused request counts as one that never ends.
            None => {
                self.outcome.refused += 1;
                self.outcome.times.push(f64::INFINITY);
            }
        }
    }

    fn pick(&mut self, request: &Request) -> Option<usize> {
        let now = self.millis();
        let sender = &mut self.senders[request.sender];
        let random = &mut self.choices;
        match self.way {
            Way::RoundRobin => {
                sender.next += 1;
                Some(sender.next % TARGETS)
            }
            Way::Choice => {
                let random = || random.random();
                let table = &sender.table;
                match table.pick(&self.candidates, request.expected, now, random) {
                    Pick::Chosen(index) => Some(index),
                    Pick::Full | Pick::None => None,
                }
            }
        }
    }

    fn send(&mut self, target: usize, request: Request) {
        self.senders[request.sender].table.on_start(&life(target));
        let server = &mut self.servers[target];
        if server.running < SLOTS {
            return self.begin(target, request);
        }
        server.waiting.push_back(request);
        self.outcome.longest = self.outcome.longest.max(server.waiting.len());
    }

    fn begin(&mut self, target: usize, request: Request) {
        let server = &mut self.servers[target];
        server.running += 1;
        let slowness = if server.slow { SLOWER } else { 1.0 };
        let time = request.work * server.speed * slowness;
        self.at(self.now + time, Event::Done(target, request));
    }

    fn done(&mut self, target: usize, request: Request) {
        let now = self.millis();
        let server = &mut self.servers[target];
        let load = Load {
            running: server.running,
            waiting: server.waiting.len() as u32,
            slots: SLOTS,
            slowness: if server.slow { 300 } else { 100 },
        };
        server.running -= 1;
        if let Some(next) = server.waiting.pop_front() {
            self.begin(target, next);
        }
        let time = self.now - request.arrival;
        let sender = &mut self.senders[request.sender];
        let end = End::Answered(time);
        let expected = request.expected;
        let life = life(target);
        sender.table.on_end(&life, end, expected, Some(load), now);
        if load.waiting == 0 {
            sender.work.learn(time / (f64::from(load.slowness) / 100.0));
        }
        if request.arrival >= MEASURED {
            self.outcome.times.push(time);
        }
    }

    fn tell(&mut self, sender: usize) {
        let counts = self.senders[sender].table.counts();
        self.at(self.now + COUNTS_DELAY, Event::Hear(sender, counts));
        if self.now < END {
            self.at(self.now + COUNTS_EVERY, Event::Tell(sender));
        }
    }

    fn hear(&mut self, from: usize, counts: Counts) {
        let now = self.millis();
        for (number, sender) in self.senders.iter_mut().enumerate() {
            if number != from {
                sender.table.on_counts(from as u64, counts.clone(), now);
            }
        }
    }
}

/// Guards against a choice that is little better than turns, and against targets
/// that several senders fill at once because each sees them free.
#[test]
fn simulation_against_round_robin() {
    for seed in SEEDS {
        let mut turns = World::new(Way::RoundRobin, seed).run();
        let mut choice = World::new(Way::Choice, seed).run();
        let (turns, p99) = (turns.p99(), choice.p99());
        println!(
            "seed {seed:#x}: p99 {p99:.1} ms against {turns:.1} ms, queue {}, refused {}",
            choice.longest, choice.refused,
        );
        assert!(p99 <= P99 * turns, "seed {seed:#x}: {p99} against {turns}");
        let most = QUEUE * SLOTS as usize;
        assert!(choice.longest <= most, "seed {seed:#x}: {}", choice.longest);
    }
}

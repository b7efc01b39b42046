//! Simulation of senders and targets in virtual time, with seeded randomness.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::adapter::LoadReport;
use pistachiomoor::gateway::choice::{
    AttemptOutcome, Candidate, MeanWork, Pick, RequestCounts, Table,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{SLOTS, instance};

/// Design goal: p99 of the response time, relative to round robin.
const MAX_P99_RATIO: f64 = 0.7;
/// Design goal: longest queue of a target, in requests per slot.
const MAX_QUEUE_PER_SLOT: usize = 4;

const SEEDS: [u64; 3] = [0x7069_7374, 0x6163_6869, 0x6d6f_6f72];
const SENDERS: usize = 6;
const TARGETS: usize = 21;
/// Processing times of targets, relative to the mean work.
const TIME_FACTORS: [f64; 3] = [0.7, 0.7, 1.6];
/// Factor by which slow targets are slower.
const SLOWDOWN: f64 = 3.0;
/// Part of the targets that are slow.
const SLOW_SHARE: f64 = 0.2;
/// Time after which other targets are slow, in milliseconds.
const SLOW_TIME_MS: f64 = 400.0;
/// Mean work of a request, in milliseconds.
const WORK_MS: f64 = 20.0;
/// Part of the slots that are in use, at the start and at the end.
const UTILIZATION: [f64; 2] = [0.3, 0.55];
/// Interval of a sender's reports of its requests, in milliseconds.
const REPORT_INTERVAL_MS: f64 = 25.0;
/// Time until a report arrives, in milliseconds.
const REPORT_DELAY_MS: f64 = 30.0;
/// Time of the last arrivals, in milliseconds.
const END_MS: f64 = 40_000.0;
/// Requests that arrive before this time are not measured, in milliseconds.
const WARMUP_MS: f64 = 2_000.0;
/// Expected work of a request before the first response, in milliseconds.
const INITIAL_WORK_MS: f64 = 500.0;

#[derive(Clone, Copy, PartialEq)]
/// Load-balancing policy.
enum Policy {
    LowestEstimate,
    RoundRobin,
}

enum Event {
    Arrive,
    Finish(usize, Request),
    SendReport(usize),
    ReceiveReport(usize, RequestCounts),
    ChangeSlow,
}

#[derive(Clone, Copy)]
struct Request {
    sender: usize,
    arrival: f64,
    work: f64,
    expected: f64,
}

struct Server {
    time_factor: f64,
    slow: bool,
    running: u32,
    queue: VecDeque<Request>,
}

struct Sender {
    table: Table,
    work: MeanWork,
    /// Next target of the round robin.
    next: usize,
}

#[derive(Default)]
struct Outcome {
    /// Response times in milliseconds.
    times: Vec<f64>,
    /// Longest queue of a target.
    longest_queue: usize,
    refused: usize,
}

impl Outcome {
    fn p99(&mut self) -> f64 {
        self.times.sort_by(f64::total_cmp);
        self.times[self.times.len() * 99 / 100]
    }
}

/// State of one simulated run.
struct Simulation {
    policy: Policy,
    now: f64,
    random: StdRng,
    pick_random: StdRng,
    order: u64,
    /// Times in microseconds and numbers of scheduled events.
    event_queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    servers: Vec<Server>,
    senders: Vec<Sender>,
    candidates: Vec<Candidate>,
    outcome: Outcome,
}

impl Simulation {
    fn new(policy: Policy, seed: u64) -> Self {
        let servers = (0..TARGETS).map(|number| Server {
            time_factor: TIME_FACTORS[number % TIME_FACTORS.len()],
            slow: false,
            running: 0,
            queue: VecDeque::new(),
        });
        let senders = (0..SENDERS).map(|number| Sender {
            table: Table::new(),
            work: MeanWork::default(),
            next: number * TARGETS / SENDERS,
        });
        let candidates = (0..TARGETS).map(|number| super::candidate(number, 0.0));
        Self {
            policy,
            now: 0.0,
            random: StdRng::seed_from_u64(seed),
            pick_random: StdRng::seed_from_u64(!seed),
            order: 0,
            event_queue: BinaryHeap::new(),
            events: std::collections::HashMap::new(),
            servers: servers.collect(),
            senders: senders.collect(),
            candidates: candidates.collect(),
            outcome: Outcome::default(),
        }
    }

    /// Schedules an event.
    fn schedule(&mut self, time: f64, event: Event) {
        self.order += 1;
        // Whole microseconds, since floating-point numbers have no total order.
        let time = (time * 1_000.0) as u64;
        self.event_queue.push(Reverse((time, self.order)));
        self.events.insert(self.order, event);
    }

    fn millis(&self) -> Millis {
        Millis(1_000_000 + self.now as u64)
    }

    fn run(mut self) -> Outcome {
        self.schedule(0.0, Event::ChangeSlow);
        self.schedule(0.0, Event::Arrive);
        for sender in 0..SENDERS {
            let first = REPORT_INTERVAL_MS * sender as f64 / SENDERS as f64;
            self.schedule(first, Event::SendReport(sender));
        }
        while let Some(Reverse((time, order))) = self.event_queue.pop() {
            self.now = time as f64 / 1_000.0;
            if self.now > 2.0 * END_MS {
                break;
            }
            match self.events.remove(&order) {
                Some(Event::Arrive) => self.arrive(),
                Some(Event::Finish(target, request)) => self.finish(target, request),
                Some(Event::SendReport(sender)) => self.send_report(sender),
                Some(Event::ReceiveReport(sender, counts)) => self.receive_report(sender, counts),
                Some(Event::ChangeSlow) => self.change_slow(),
                None => {}
            }
        }
        self.outcome
    }

    /// Selects other slow targets.
    fn change_slow(&mut self) {
        let slow = (TARGETS as f64 * SLOW_SHARE).round() as usize;
        let chosen = rand::seq::index::sample(&mut self.random, TARGETS, slow);
        for (number, server) in self.servers.iter_mut().enumerate() {
            server.slow = chosen.iter().any(|index| index == number);
        }
        self.schedule(self.now + SLOW_TIME_MS, Event::ChangeSlow);
    }

    fn arrive(&mut self) {
        let sender = self.random.random_range(0..SENDERS);
        let work = WORK_MS * self.random.random_range(0.5..1.5);
        let share = UTILIZATION[0] + (UTILIZATION[1] - UTILIZATION[0]) * self.now / END_MS;
        let time_factor: f64 = TIME_FACTORS.iter().sum::<f64>() / TIME_FACTORS.len() as f64;
        let time = WORK_MS * time_factor * (1.0 + SLOW_SHARE * (SLOWDOWN - 1.0));
        let rate = share * TARGETS as f64 * f64::from(SLOTS) / time;
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        if self.now + gap < END_MS {
            self.schedule(self.now + gap, Event::Arrive);
        }
        let request = Request {
            sender,
            arrival: self.now,
            work,
            expected: self.senders[sender].work.mean().unwrap_or(INITIAL_WORK_MS),
        };
        match self.pick(&request) {
            Some(target) => self.send(target, request),
            // A refused request counts as one without a response.
            None => {
                self.outcome.refused += 1;
                self.outcome.times.push(f64::INFINITY);
            }
        }
    }

    fn pick(&mut self, request: &Request) -> Option<usize> {
        let now = self.millis();
        let sender = &mut self.senders[request.sender];
        let random = &mut self.pick_random;
        match self.policy {
            Policy::RoundRobin => {
                sender.next += 1;
                Some(sender.next % TARGETS)
            }
            Policy::LowestEstimate => {
                let random = || random.random();
                let table = &sender.table;
                match table.pick(&self.candidates, request.expected, now, random) {
                    Pick::Chosen(index) => Some(index),
                    Pick::AllFull | Pick::NoCandidate => None,
                }
            }
        }
    }

    fn send(&mut self, target: usize, request: Request) {
        self.senders[request.sender]
            .table
            .on_start(&instance(target));
        let server = &mut self.servers[target];
        if server.running < SLOTS {
            return self.begin(target, request);
        }
        server.queue.push_back(request);
        self.outcome.longest_queue = self.outcome.longest_queue.max(server.queue.len());
    }

    fn begin(&mut self, target: usize, request: Request) {
        let server = &mut self.servers[target];
        server.running += 1;
        let slowness = if server.slow { SLOWDOWN } else { 1.0 };
        let time = request.work * server.time_factor * slowness;
        self.schedule(self.now + time, Event::Finish(target, request));
    }

    fn finish(&mut self, target: usize, request: Request) {
        let now = self.millis();
        let server = &mut self.servers[target];
        let load = LoadReport {
            running: server.running,
            waiting: server.queue.len() as u32,
            slots: SLOTS,
            slowness_percent: if server.slow { 300 } else { 100 },
        };
        server.running -= 1;
        if let Some(next) = server.queue.pop_front() {
            self.begin(target, next);
        }
        let time = self.now - request.arrival;
        let sender = &mut self.senders[request.sender];
        let end = AttemptOutcome::Answered(time);
        let expected = request.expected;
        let instance = instance(target);
        sender
            .table
            .on_end(&instance, end, expected, Some(load), now);
        if load.waiting == 0 {
            sender
                .work
                .observe(time / (f64::from(load.slowness_percent) / 100.0));
        }
        if request.arrival >= WARMUP_MS {
            self.outcome.times.push(time);
        }
    }

    fn send_report(&mut self, sender: usize) {
        let counts = self.senders[sender].table.counts();
        self.schedule(
            self.now + REPORT_DELAY_MS,
            Event::ReceiveReport(sender, counts),
        );
        if self.now < END_MS {
            self.schedule(self.now + REPORT_INTERVAL_MS, Event::SendReport(sender));
        }
    }

    fn receive_report(&mut self, from: usize, counts: RequestCounts) {
        let now = self.millis();
        for (number, sender) in self.senders.iter_mut().enumerate() {
            if number != from {
                sender.table.on_counts(from as u64, counts.clone(), now);
            }
        }
    }
}

/// Guards against a policy that is little better than round robin, and against
/// targets that several senders overload at once because each sees them as idle.
#[test]
fn simulation_against_round_robin() {
    for seed in SEEDS {
        let mut round_robin = Simulation::new(Policy::RoundRobin, seed).run();
        let mut lowest_estimate = Simulation::new(Policy::LowestEstimate, seed).run();
        let (round_robin, p99) = (round_robin.p99(), lowest_estimate.p99());
        println!(
            "seed {seed:#x}: p99 {p99:.1} ms against {round_robin:.1} ms, queue {}, refused {}",
            lowest_estimate.longest_queue, lowest_estimate.refused,
        );
        assert!(
            p99 <= MAX_P99_RATIO * round_robin,
            "seed {seed:#x}: {p99} against {round_robin}"
        );
        let limit = MAX_QUEUE_PER_SLOT * SLOTS as usize;
        assert!(
            lowest_estimate.longest_queue <= limit,
            "seed {seed:#x}: {}",
            lowest_estimate.longest_queue
        );
    }
}

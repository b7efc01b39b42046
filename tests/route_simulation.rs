//! Simulation of the choice of target in virtual time, with stragglers, delayed
//! reports of queue lengths, and hedges.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use pistachiomoor::clock::Millis;
use pistachiomoor::model;
use pistachiomoor::route::budget::Budget;
use pistachiomoor::route::choice::{Candidate, Outcome, Running, Table};
use pistachiomoor::route::hedge::Delay;
use pistachiomoor::settings::Choice;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 0x7069_7374;
const TARGETS: usize = 20;
const SLOTS_PER_TARGET: usize = 4;
const STRAGGLERS: usize = 2;
/// Factor by which the service time of a straggler is longer.
const STRAGGLER_FACTOR: f64 = 10.0;
const DAEMONS: usize = 4;
const EXTRA_PERCENT: f64 = 5.0;
const US_PER_MS: u64 = 1_000;
/// Mean service time of a target that is not a straggler.
const SERVICE_TIME_US: f64 = 10_000.0;
/// Offered load as a fraction of the capacity without stragglers.
const UTILIZATION: f64 = 0.6;
/// Time when stragglers become slow; requests that arrive later are measured.
const ONSET_US: u64 = 10_000_000;
const END_US: u64 = 30_000_000;
const REPORT_INTERVAL_US: u64 = 200_000;
const REPORT_LAG_US: u64 = 5_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Hedge(usize),
    Done(usize),
    Sample,
    Report(usize, u32),
}

struct Attempt {
    request: usize,
    target: usize,
    sent_us: u64,
    running: Option<Running>,
}

struct Request {
    daemon: usize,
    arrived_us: u64,
    completed_us: Option<u64>,
    attempts: Vec<usize>,
}

#[derive(Default)]
struct Target {
    queue: VecDeque<usize>,
    busy: usize,
}

struct Daemon {
    table: Table,
    budget: Budget,
    delay: Delay,
}

struct Scenario {
    policy: Choice,
    hedge: bool,
    stragglers: usize,
}

struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    /// Virtual time in microseconds.
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_id: u64,
    candidates: Vec<Candidate>,
    targets: Vec<Target>,
    daemons: Vec<Daemon>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
}

/// 99th percentile of the response time, and hedges in percent of requests.
struct Summary {
    p99_ms: f64,
    extra_percent: f64,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let name = |index: usize| model::TargetName::from(format!("t{index}").as_str());
        let candidate = |index| Candidate {
            name: name(index),
            local: true,
            concurrency: SLOTS_PER_TARGET as u32,
        };
        let daemon = || Daemon {
            table: Table::new(),
            budget: Budget::new(EXTRA_PERCENT, Millis(0)),
            delay: Delay::new(Millis(0)),
        };
        Self {
            scenario,
            rng: StdRng::seed_from_u64(SEED),
            now: 0,
            events: BinaryHeap::new(),
            next_id: 0,
            candidates: (0..TARGETS).map(candidate).collect(),
            targets: (0..TARGETS).map(|_| Target::default()).collect(),
            daemons: (0..DAEMONS).map(|_| daemon()).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
        }
    }

    fn run(mut self) -> Summary {
        self.schedule(0, Event::Arrive);
        self.schedule(0, Event::Sample);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            match event {
                Event::Arrive => self.on_arrival(),
                Event::Hedge(request) => self.on_hedge(request),
                Event::Done(attempt) => self.on_completion(attempt),
                Event::Sample => self.sample_queues(),
                Event::Report(target, queued) => {
                    let name = &self.candidates[target].name;
                    for daemon in &self.daemons {
                        daemon.table.report(name, queued, Millis(now / US_PER_MS));
                    }
                }
            }
        }
        self.summary()
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.next_id += 1;
        self.events.push(Reverse((time, self.next_id, event)));
    }

    fn millis(&self) -> Millis {
        Millis(self.now / US_PER_MS)
    }

    /// Returns an exponentially distributed random value with this mean.
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn on_arrival(&mut self) {
        let daemon = self.rng.random_range(0..DAEMONS);
        let request = self.requests.len();
        self.requests.push(Request {
            daemon,
            arrived_us: self.now,
            completed_us: None,
            attempts: Vec::new(),
        });
        self.daemons[daemon].budget.on_request(self.millis());
        self.send(request);
        let delay = self.daemons[daemon].delay.get(self.millis());
        if let Some(delay) = delay.filter(|_| self.scenario.hedge) {
            self.schedule(self.now + delay.as_micros() as u64, Event::Hedge(request));
        }
        let mean_interval = SERVICE_TIME_US / (TARGETS * SLOTS_PER_TARGET) as f64 / UTILIZATION;
        let next = self.now + self.exponential(mean_interval) as u64;
        if next < END_US {
            self.schedule(next, Event::Arrive);
        }
    }

    fn send(&mut self, request: usize) {
        let tried = self.requests[request].attempts.iter();
        let tried: Vec<_> = tried
            .map(|&attempt| self.candidates[self.attempts[attempt].target].name.clone())
            .collect();
        let now = self.millis();
        let daemon = &self.daemons[self.requests[request].daemon];
        let policy = self.scenario.policy;
        let running = daemon
            .table
            .choose(&self.candidates, policy, &mut self.rng, now, &tried)
            .unwrap();
        let mut candidates = self.candidates.iter();
        let target = candidates.position(|candidate| candidate.name == *running.target());
        let target = target.unwrap();
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            target,
            sent_us: self.now,
            running: Some(running),
        });
        self.requests[request].attempts.push(attempt);
        self.targets[target].queue.push_back(attempt);
        self.start_queued(target);
    }

    fn on_hedge(&mut self, request: usize) {
        let daemon = &self.daemons[self.requests[request].daemon];
        if self.requests[request].completed_us.is_none() && daemon.budget.take(self.millis()) {
            self.send(request);
        }
    }

    fn start_queued(&mut self, target: usize) {
        while self.targets[target].busy < SLOTS_PER_TARGET {
            let Some(attempt) = self.targets[target].queue.pop_front() else {
                return;
            };
            self.targets[target].busy += 1;
            let slow = target < self.scenario.stragglers && self.now >= ONSET_US;
            let factor = if slow { STRAGGLER_FACTOR } else { 1.0 };
            let service_time = SERVICE_TIME_US / 2.0 + self.exponential(SERVICE_TIME_US / 2.0);
            self.schedule(
                self.now + (service_time * factor) as u64,
                Event::Done(attempt),
            );
        }
    }

    fn on_completion(&mut self, attempt: usize) {
        let (request, target) = (
            self.attempts[attempt].request,
            self.attempts[attempt].target,
        );
        self.targets[target].busy -= 1;
        if self.requests[request].completed_us.is_none() {
            self.requests[request].completed_us = Some(self.now);
            for other in self.requests[request].attempts.clone() {
                self.finish(other, other == attempt);
            }
        }
        self.start_queued(target);
    }

    /// Ends an attempt at its daemon. An overtaken attempt is removed from the
    /// queue, but keeps its slot until it completes if it runs already.
    fn finish(&mut self, attempt: usize, won: bool) {
        let now = self.millis();
        let daemon = &self.daemons[self.requests[self.attempts[attempt].request].daemon];
        let Attempt {
            target, sent_us, ..
        } = self.attempts[attempt];
        let elapsed = Duration::from_micros(self.now - sent_us);
        let outcome = if won {
            Outcome::Answered
        } else {
            Outcome::Overtaken
        };
        if won {
            daemon.delay.record(now, elapsed);
        } else {
            self.targets[target].queue.retain(|&other| other != attempt);
        }
        let running = self.attempts[attempt].running.take().unwrap();
        running.finish(now, outcome, elapsed);
    }

    fn sample_queues(&mut self) {
        for target in 0..TARGETS {
            let queued = self.targets[target].queue.len() as u32;
            self.schedule(self.now + REPORT_LAG_US, Event::Report(target, queued));
        }
        if self.now < END_US {
            self.schedule(self.now + REPORT_INTERVAL_US, Event::Sample);
        }
    }

    fn summary(&self) -> Summary {
        let measured = self
            .requests
            .iter()
            .filter(|request| request.arrived_us >= ONSET_US);
        let mut times: Vec<u64> = measured
            .map(|request| request.completed_us.unwrap() - request.arrived_us)
            .collect();
        times.sort_unstable();
        let extra_attempts = self.attempts.len() - self.requests.len();
        Summary {
            p99_ms: times[times.len() * 99 / 100] as f64 / US_PER_MS as f64,
            extra_percent: extra_attempts as f64 * 100.0 / self.requests.len() as f64,
        }
    }
}

fn simulate(policy: Choice, hedge: bool, stragglers: usize) -> Summary {
    let scenario = Scenario {
        policy,
        hedge,
        stragglers,
    };
    let summary = Simulation::new(scenario).run();
    println!(
        "{policy:?}, hedge {hedge}, {stragglers} stragglers: p99 {:.1} ms, extra {:.2}%",
        summary.p99_ms, summary.extra_percent
    );
    summary
}

/// Guards against a policy that sends 1% of requests or more to stragglers, or that
/// avoids them at the cost of too much extra load.
#[test]
fn two_choices_with_hedge_bounds_p99() {
    let baseline = simulate(Choice::TwoChoices, true, 0);
    let with_stragglers = simulate(Choice::TwoChoices, true, STRAGGLERS);
    assert!(
        with_stragglers.p99_ms <= 1.5 * baseline.p99_ms,
        "p99 {:.1}",
        with_stragglers.p99_ms
    );
    assert!(
        with_stragglers.extra_percent <= 5.0,
        "extra load {:.2}%",
        with_stragglers.extra_percent
    );
}

/// Prints the figures of all policies, and guards against a policy that chooses no
/// target or leaves a request unanswered.
#[test]
fn policies_serve_every_request() {
    for policy in [
        Choice::TwoChoices,
        Choice::LeastOutstanding,
        Choice::RoundRobin,
    ] {
        for stragglers in [0, STRAGGLERS] {
            simulate(policy, false, stragglers);
        }
    }
}

//! Admission under random schedules, compared with a model of its rules.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use pistachiomoor::clock::Millis;
use pistachiomoor::model;
use pistachiomoor::target::admission::{
    Block, Core, Event, Limits, Offer, Outcome, Place, Refused, Ticket,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const FAR_DEADLINE: Millis = Millis(1_000_000);
const RESPONSE_TIME: Duration = Duration::from_millis(10);

fn core(concurrency: u32, queue: usize) -> Core {
    Core::new(Limits { concurrency, queue })
}

fn place(shard: u32) -> Place {
    let (service, regions) = ("orders".into(), vec![]);
    Place {
        group: Arc::new(model::GroupId { service, regions }),
        shard: model::Shard::Range(shard),
        key: model::KeyHash(u64::from(shard)),
        home: shard,
    }
}

/// One step of a random schedule.
#[derive(Clone, Debug)]
enum Step {
    Offer { tenant: u64, shard: u32, time: u64 },
    Finish(usize, Outcome),
    Withdraw,
    Pass(u64),
    Report { active: u32, cold: bool },
    TakeOver { active: u32, warm: bool },
    Block(u32),
    Unblock,
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        12 => Just(Outcome::Success),
        1 => Just(Outcome::Cold),
        1 => Just(Outcome::Shed),
        1 => Just(Outcome::Refused),
        1 => Just(Outcome::Failed),
    ];
    prop_oneof![
        12 => (0_u64..4, 0_u32..4, 0_u64..400)
            .prop_map(|(tenant, shard, time)| Step::Offer { tenant, shard, time }),
        10 => (any::<usize>(), outcome).prop_map(|(which, outcome)| Step::Finish(which, outcome)),
        1 => Just(Step::Withdraw),
        4 => (0_u64..50).prop_map(Step::Pass),
        1 => (0_u32..5, prop::bool::weighted(0.2))
            .prop_map(|(active, cold)| Step::Report { active, cold }),
        1 => (0_u32..5, any::<bool>()).prop_map(|(active, warm)| Step::TakeOver { active, warm }),
        1 => (0_u32..4).prop_map(Step::Block),
        1 => Just(Step::Unblock),
    ]
}

/// Expected state, computed only from the steps and events.
struct Model {
    core: Core,
    now: Millis,
    concurrency: u32,
    running: Vec<Ticket>,
    waiting: HashMap<Ticket, u32>,
    blocked: HashMap<u32, Block>,
    inherited: u32,
    base: u32,
    successes: u32,
}

impl Model {
    fn new(concurrency: u32) -> Self {
        Self {
            core: core(concurrency, 6),
            now: Millis(0),
            concurrency,
            running: vec![],
            waiting: HashMap::new(),
            blocked: HashMap::new(),
            inherited: 0,
            base: 1,
            successes: 0,
        }
    }

    /// Returns the highest limit that the rules allow: one doubling per `concurrency` successes.
    fn max_limit(&self) -> u32 {
        let doublings = self.successes / self.concurrency;
        (self.base << doublings.min(8)).min(self.concurrency)
    }

    fn reset_limit(&mut self, base: u32) {
        (self.base, self.successes) = (base, 0);
    }

    fn act(&mut self, step: &Step) {
        match *step {
            Step::Offer {
                tenant,
                shard,
                time,
            } => self.offer(tenant, shard, time),
            Step::Finish(which, outcome) => self.finish(which, outcome),
            Step::Withdraw => {
                if let Some(&ticket) = self.waiting.keys().min() {
                    self.waiting.remove(&ticket);
                    self.core.withdraw(ticket);
                }
            }
            Step::Pass(time) => self.now = self.now + time,
            Step::Report { active, cold } => {
                self.inherited = self.inherited.min(active);
                if cold {
                    self.reset_limit(1);
                }
                self.core.report(self.now, active, cold);
            }
            Step::TakeOver { active, warm } => {
                self.inherited = active;
                self.reset_limit(if warm { active + 1 } else { 1 });
                self.core.take_over(self.now, active, warm, FAR_DEADLINE);
            }
            Step::Block(shard) => self.block(shard),
            Step::Unblock => {
                for (_, block) in self.blocked.drain() {
                    self.core.unblock(block);
                }
            }
        }
        self.take_events();
    }

    fn offer(&mut self, tenant: u64, shard: u32, time: u64) {
        let deadline = self.now + time;
        let place = Some(place(shard));
        match self.core.offer(self.now, tenant, place, deadline) {
            Ok(Offer::Admitted(ticket)) => self.start(ticket, shard),
            Ok(Offer::Queued(ticket)) => {
                self.waiting.insert(ticket, shard);
            }
            Err(why) => {
                let moving = self.blocked.contains_key(&shard);
                assert_eq!(why == Refused::Moving, moving);
            }
        }
    }

    fn finish(&mut self, which: usize, outcome: Outcome) {
        if self.running.is_empty() {
            return;
        }
        let ticket = self.running.swap_remove(which % self.running.len());
        match outcome {
            Outcome::Success => self.successes += 1,
            Outcome::Failed => {}
            _ => self.reset_limit(1),
        }
        self.core.finish(self.now, ticket, outcome, RESPONSE_TIME);
    }

    fn block(&mut self, shard: u32) {
        if self.blocked.contains_key(&shard) {
            return;
        }
        let place = place(shard);
        let shards = [place.shard].into_iter().collect();
        let block = self.core.block(&place.group, &shards);
        self.blocked.insert(shard, block);
    }

    fn start(&mut self, ticket: Ticket, shard: u32) {
        self.running.push(ticket);
        let load = self.running.len() as u32 + self.inherited;
        assert!(
            load <= self.max_limit(),
            "{load} requests run, the limit is {}",
            self.max_limit()
        );
        assert!(
            !self.blocked.contains_key(&shard),
            "shard {shard} is blocked"
        );
    }

    fn take_events(&mut self) {
        for event in self.core.take_events() {
            match event {
                Event::Admitted(ticket) => {
                    let shard = self.waiting.remove(&ticket).expect("decided twice");
                    self.start(ticket, shard);
                }
                Event::Refused(ticket, _) => {
                    self.waiting.remove(&ticket).expect("decided twice");
                }
                Event::Drained(block) => assert_eq!(self.core.running_in(block), 0),
                Event::Idle => {}
            }
        }
        assert_eq!(self.core.running(), self.running.len());
        assert_eq!(self.core.waiting(), self.waiting.len());
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(0x6164_6d69_7373),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against exceeding the limit, admitting requests on blocked shards, and
    /// requests that are decided twice, lost or never decided.
    #[test]
    fn core_keeps_limit(concurrency in 1_u32..5, steps in prop::collection::vec(step(), 1..120)) {
        let mut model = Model::new(concurrency);
        for step in &steps {
            model.act(step);
        }
        model.act(&Step::Report { active: 0, cold: false });
        while !model.running.is_empty() {
            model.act(&Step::Finish(0, Outcome::Success));
        }
        prop_assert!(model.waiting.is_empty(), "{:?} still wait", model.waiting);
    }

    /// Guards against a tenant that starves others: no tenant is served twice in a
    /// round while another one waits that was not served in it.
    #[test]
    fn core_serves_tenants_round_robin(tenants in prop::collection::vec(0_u64..5, 1..60)) {
        let mut core = core(1, 64);
        let mut waiting: HashMap<Ticket, u64> = HashMap::new();
        let Ok(Offer::Admitted(mut running)) = core.offer(Millis(0), 0, None, FAR_DEADLINE) else {
            panic!("expected admission");
        };
        for &tenant in &tenants {
            let Ok(Offer::Queued(ticket)) = core.offer(Millis(0), tenant, None, FAR_DEADLINE) else {
                panic!("expected a queued request");
            };
            waiting.insert(ticket, tenant);
        }
        let mut round = HashSet::new();
        while !waiting.is_empty() {
            core.finish(Millis(0), running, Outcome::Failed, RESPONSE_TIME);
            let events = core.take_events();
            let [Event::Admitted(ticket)] = events[..] else {
                panic!("expected one admission, found {events:?}");
            };
            running = ticket;
            let tenant = waiting.remove(&ticket).unwrap();
            if !round.insert(tenant) {
                let unserved = waiting.values().any(|other| !round.contains(other));
                prop_assert!(!unserved, "tenant {} was served twice", tenant);
                round = HashSet::from([tenant]);
            }
        }
    }
}

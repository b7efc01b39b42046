//! Several daemons against the model of targets, callers and network.
//!
//! `PISTACHIOMOOR_FUZZ_CASES` and `PISTACHIOMOOR_FUZZ_SEED` set the number of cases and the
//! seed.

use std::env;
use std::sync::atomic::Ordering;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::world;

const CASES: u64 = 48;
const SEED: u64 = 0xdead1;

/// Something that happens to the system, after which it runs for a while.
#[derive(Clone, Debug)]
enum Step {
    Run,
    Pace(u64),
    Split(usize, usize, bool),
    Cut(usize),
    Network(u64, u64),
    Restart(usize, u64),
    LoseDomain(usize),
    Reset(usize, usize, u64),
    Heal,
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = u64;
    type Transition = (Step, u64);

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<(Step, u64)> {
        let (daemon, domain) = (0..world::DAEMONS, 0..world::DOMAINS);
        let pace = prop_oneof![Just(30_u64), Just(300), Just(1_500), Just(6_000)];
        let step = prop_oneof![
            3 => Just(Step::Run),
            2 => pace.prop_map(Step::Pace),
            1 => (daemon.clone(), daemon.clone(), any::<bool>()).prop_map(|(a, b, split)| Step::Split(a, b, split)),
            1 => daemon.clone().prop_map(Step::Cut),
            2 => (0..16_u64, 0..6_u64).prop_map(|(loss, late)| Step::Network(loss, late)),
            1 => (daemon.clone(), 100..3_000_u64).prop_map(|(daemon, ms)| Step::Restart(daemon, ms)),
            2 => (0..world::DOMAINS).prop_map(Step::LoseDomain),
            3 => (daemon, domain, 0..500_u64).prop_map(|(daemon, domain, ms)| Step::Reset(daemon, domain, ms)),
            2 => Just(Step::Heal),
        ];
        (step, prop_oneof![1..400_u64, 1..3_000_u64]).boxed()
    }

    fn apply(state: u64, _: &(Step, u64)) -> u64 {
        state
    }
}

struct Model;

impl StateMachineTest for Model {
    type SystemUnderTest = world::World;
    type Reference = Steps;

    fn init_test(seed: &u64) -> world::World {
        let mut world = world::World::new(*seed);
        world.crashing_ms = [30, 300, 1_500, 6_000][(seed % 4) as usize];
        world
    }

    fn apply(mut world: world::World, _: &u64, (step, ms): (Step, u64)) -> world::World {
        match step {
            Step::Run => {}
            Step::Pace(ms) => world.crashing_ms = ms,
            Step::Split(a, b, split) => world.set_split(a, b, split),
            Step::Cut(daemon) => (0..world::DAEMONS).for_each(|n| world.set_split(daemon, n, true)),
            Step::Network(loss, late) => (world.loss, world.late) = (loss, late),
            Step::Restart(daemon, ms) => world.restart(daemon, ms),
            Step::LoseDomain(domain) => world.lose_domain(domain),
            Step::Reset(daemon, domain, ms) => world.reset(daemon, domain, ms),
            Step::Heal => world.heal(),
        }
        world.run(ms);
        world
    }

    fn teardown(mut world: world::World) {
        world.heal();
        world.crashing_ms = 300;
        world.run(15_000);
        for crashing in 0..world::CRASHING {
            assert_eq!(
                world.refusing(crashing),
                world::DAEMONS,
                "request {crashing}"
            );
        }
        // An operator ends one; the other ends by a trial, once targets answer it.
        world.crashing = false;
        assert!(world.lift(1, 1));
        world.run(1_000);
        assert_eq!(world.refusing(1), 0);
        world.skip(world::HOLD_MS);
        world.run(30_000);
        assert_eq!(world.refusing(0), 0);
    }
}

fn number(name: &str, default: u64) -> u64 {
    let set = env::var(name).ok();
    set.map_or(default, |text| text.parse().expect(name))
}

/// Guards against a request that crashes targets that daemons in touch send to targets more often than
/// the rule allows, against a popular request that is refused because targets crash beside
/// it, against memory above the bounds, and against verdicts that do not end, under lost
/// and late datagrams, partitions, restarts, lost failure domains and links that reset.
#[test]
fn daemons_history() {
    let cases = number("PISTACHIOMOOR_FUZZ_CASES", CASES);
    let seed = number("PISTACHIOMOOR_FUZZ_SEED", SEED);
    let config = Config {
        cases: cases as u32,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 20,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());
    let steps = Steps::sequential_strategy(1..24);
    let result = runner.run(&steps, |(state, steps, seen)| {
        Model::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    if let Err(error) = result {
        panic!("seed {seed}, {cases} cases: {error}");
    }
    let counts = [
        ("crashes", &world::CRASHES),
        ("events of verdicts", &world::VERDICTS),
        ("broken innocent attempts", &world::INNOCENT_BREAKS),
        ("resets", &world::RESETS),
    ];
    for (name, count) in counts {
        let count = count.load(Ordering::Relaxed);
        println!("{name}: {count}");
        assert!(count > cases, "the model saw only {count} {name}");
    }
}

/// Guards against trials that several daemons send, or that the daemons go on sending, to
/// targets that the request still crashes.
#[test]
fn daemons_trials() {
    for seed in 1..=4 {
        let mut world = world::World::new(seed);
        world.crashing_ms = 100;
        world.run(10_000);
        for skip in [world::HOLD_MS, 12 * world::HOLD_MS] {
            let before: Vec<_> = (0..world::CRASHING)
                .map(|crashing| world.oracle(crashing).sends())
                .collect();
            world.skip(skip);
            world.run(40_000);
            for (crashing, before) in before.into_iter().enumerate() {
                let sends = world.oracle(crashing).sends();
                assert_eq!(sends, before + 1, "seed {seed}, after {skip} ms");
                assert_eq!(world.refusing(crashing), world::DAEMONS);
            }
        }
    }
}

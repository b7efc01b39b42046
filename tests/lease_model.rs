//! Runs the lease tables of three daemons against a model of log, network and
//! targets, and checks that at most one daemon at a time may act for a target.
//!
//! `PISTACHIOMOOR_FUZZ_CASES` and `PISTACHIOMOOR_FUZZ_SEED` set the number of
//! cases and the seed.

#[path = "lease_model/world.rs"]
mod world;

use std::env;
use std::sync::atomic::Ordering;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const CASES: u64 = 96;
const SEED: u64 = 0x1ea5e;

/// A fault or an operator's action, after which the model runs for a while.
#[derive(Clone, Debug)]
enum Step {
    Run,
    Pause(usize, u64),
    Disconnect(usize, usize, bool),
    DisconnectTarget(usize, bool),
    /// Disconnects all daemons but one from the log, and connects all daemons
    /// with each other.
    ExclusiveLog(usize),
    SetLog(bool),
    LoseReplies(u32),
    Network {
        loss: u64,
        delay: u64,
    },
    Freeze(usize, u64, bool),
    Restart(usize),
    Leave(usize),
    HandOver(usize),
    ConfirmLost,
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = u64;
    type Transition = (Step, u64);

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<(Step, u64)> {
        // Nodes 0 to 2 are the daemons, node 3 is the log.
        let step = prop_oneof![
            6 => Just(Step::Run),
            3 => (0..3_usize, 20..900_u64).prop_map(|(index, ms)| Step::Pause(index, ms)),
            4 => (0..3_usize, 0..4_usize, any::<bool>()).prop_map(|(a, b, disconnected)| Step::Disconnect(a, b, disconnected)),
            2 => (0..3_usize, any::<bool>()).prop_map(|(index, disconnected)| Step::DisconnectTarget(index, disconnected)),
            3 => (0..3_usize).prop_map(Step::ExclusiveLog),
            2 => any::<bool>().prop_map(Step::SetLog),
            2 => (1..3_u32).prop_map(Step::LoseReplies),
            3 => (0..40_u64, 1..260_u64).prop_map(|(loss, delay)| Step::Network { loss, delay }),
            2 => (0..2_usize, 20..700_u64, any::<bool>()).prop_map(|(t, ms, stop_clock)| Step::Freeze(t, ms, stop_clock)),
            1 => (0..3_usize).prop_map(Step::Restart),
            2 => (0..3_usize).prop_map(Step::Leave),
            3 => (0..3_usize).prop_map(Step::HandOver),
            1 => Just(Step::ConfirmLost),
        ];
        (step, prop_oneof![1..40_u64, 1..600_u64]).boxed()
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
        world.run(1_000);
        world
    }

    fn apply(mut world: world::World, _: &u64, (step, ms): (Step, u64)) -> world::World {
        match step {
            Step::Run => {}
            Step::Pause(index, ms) => world.pause(index, ms),
            Step::Disconnect(a, b, disconnected) => world.set_disconnected(a, b, disconnected),
            Step::DisconnectTarget(index, disconnected) => {
                world.set_disconnected(index, world::TARGETS, disconnected)
            }
            Step::ExclusiveLog(index) => world.make_log_exclusive(index),
            Step::SetLog(up) => world.log_up = up,
            Step::LoseReplies(count) => world.lose_replies = count,
            Step::Network { loss, delay } => (world.loss, world.delay) = (loss, delay),
            Step::Freeze(target, ms, stop_clock) => world.freeze(target, ms, stop_clock),
            Step::Restart(index) => world.restart(index),
            Step::Leave(index) => world.leave(index),
            Step::HandOver(index) => world.hand_over(index),
            Step::ConfirmLost => world.confirm_lost(),
        }
        world.run(ms);
        world
    }

    fn teardown(mut world: world::World) {
        world.heal();
        world.run(2_000);
        world.confirm_lost();
        world.run(3_000);
        world.check_service();
    }
}

fn number(name: &str, default: u64) -> u64 {
    let set = env::var(name).ok();
    set.map_or(default, |text| text.parse().expect(name))
}

#[test]
fn lease_exclusive() {
    // Fails if two daemons may act for a target at once, if a grant is still valid
    // when a move is allowed, or if no daemon acts for a target after all faults
    // have ended.
    let cases = number("PISTACHIOMOOR_FUZZ_CASES", CASES);
    let seed = number("PISTACHIOMOOR_FUZZ_SEED", SEED);
    let config = Config {
        cases: cases as u32,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 300,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());
    let steps = Steps::sequential_strategy(1..40);
    let result = runner.run(&steps, |(state, steps, seen)| {
        Model::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    if let Err(error) = result {
        panic!("seed {seed}, {cases} cases: {error}");
    }
    let counts = [
        ("takeovers", &world::TAKEOVERS),
        ("moves", &world::MOVES),
        ("hand-overs", &world::HANDOVERS),
    ];
    for (name, count) in counts {
        let count = count.load(Ordering::Relaxed);
        assert!(count > cases, "the model saw only {count} {name}");
    }
}

#[test]
fn lease_replaced_backup_unread() {
    // Fails if a holder that has not read its own record with a new backup acts on
    // the old backup's acknowledgements, while the new backup, which receives no
    // heartbeat, takes over.
    for seed in 1..20 {
        let mut world = world::World::new(seed);
        world.run(1_000);
        let (holder, backup) = world.holder_and_backup(1);
        world.pause(backup, 700);
        for _ in 0..650 {
            if world.holder_and_backup(1).1 == backup {
                world.run(1);
            }
        }
        let next = world.holder_and_backup(1).1;
        assert_eq!(
            (world.holder_and_backup(1).0, next),
            (holder, 3 - holder - backup)
        );
        world.make_log_exclusive(next);
        world.run(2_000);
        assert_eq!(world.holder_and_backup(1).0, next);
    }
}

#[test]
fn lease_received_record_unread() {
    // Fails if a daemon that received a lease without a record names a backup in
    // its own record: that backup receives no heartbeat and takes over while the
    // daemon still acts.
    for seed in 1..20 {
        let mut world = world::World::new(seed);
        world.run(1_000);
        let (holder, backup) = world.holder_and_backup(1);
        world.log_up = false;
        world.run(400);
        world.hand_over(holder);
        world.run(200);
        world.check_service();
        world.log_up = true;
        for _ in 0..600 {
            if world.recorded_holder(1) != Some(backup) {
                world.run(1);
            }
        }
        assert_eq!(world.recorded_holder(1), Some(backup));
        world.make_log_exclusive(3 - holder - backup);
        world.run(2_000);
    }
}

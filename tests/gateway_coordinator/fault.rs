//! Faults of the model.

use proptest::prelude::*;

use super::TARGETS;

/// Period in which faults begin.
const FAULT_PERIOD_MS: u64 = 20_000;

/// Kind of a fault; a number is the index of the daemon or target concerned.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    LogDown,
    LogSlow,
    LogRefuses(usize),
    AppendsUnanswered,
    /// The log goes away and returns as a copy of this age in milliseconds, or without
    /// records.
    LogRestored(Option<u64>),
    DaemonKilled(usize),
    DaemonPaused(usize),
    HeartbeatsLost,
    TargetKilled(usize),
    TargetUnreachable(usize),
    TargetSlow(usize),
    TargetDrains(usize),
    /// A target is listed as draining (not at all if the flag is set), then closes its
    /// listener while it still holds its keys, and ends.
    TargetCloses(usize, bool),
    /// A target works and holds keys while its entry is missing from the list.
    EntryMissing(usize),
    /// A daemon and a target can communicate with each other only.
    Partition(usize, usize),
    /// The network refuses connections to a target, which works and holds keys.
    TargetRefused(usize),
    /// As in a partition, but the network refuses connections across it.
    PartitionRefused(usize, usize),
}

/// A fault with its start and duration, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub(super) at: u64,
    pub(super) length: u64,
    pub(super) kind: Kind,
}

impl Fault {
    pub(super) fn is_on(&self, now: u64) -> bool {
        (self.at..self.at + self.length).contains(&now)
    }
}

/// Generates a random fault.
pub fn fault() -> impl Strategy<Value = Fault> {
    let daemon = 0..3_usize;
    let target = 0..TARGETS;
    let kind = prop_oneof![
        1 => Just(Kind::LogDown),
        1 => Just(Kind::LogSlow),
        1 => daemon.clone().prop_map(Kind::LogRefuses),
        1 => Just(Kind::AppendsUnanswered),
        1 => daemon.clone().prop_map(Kind::DaemonKilled),
        2 => daemon.clone().prop_map(Kind::DaemonPaused),
        1 => Just(Kind::HeartbeatsLost),
        1 => target.clone().prop_map(Kind::TargetKilled),
        2 => target.clone().prop_map(Kind::TargetUnreachable),
        2 => target.clone().prop_map(Kind::TargetSlow),
        1 => target.clone().prop_map(Kind::TargetDrains),
        3 => (target.clone(), any::<bool>()).prop_map(|(k, gone)| Kind::TargetCloses(k, gone)),
        1 => target.clone().prop_map(Kind::EntryMissing),
        3 => (daemon, target).prop_map(|(i, k)| Kind::Partition(i, k)),
    ];
    // A partition must be able to outlast the wait for leases of earlier coordinators.
    let times = (0..FAULT_PERIOD_MS, 100..18_000_u64);
    (times, kind).prop_map(|((at, length), kind)| Fault { at, length, kind })
}

/// Generates a fault in which the network refuses connections to targets that work.
pub fn refused_link() -> impl Strategy<Value = Fault> {
    let kind = prop_oneof![
        1 => (0..TARGETS).prop_map(Kind::TargetRefused),
        2 => (0..3_usize, 0..TARGETS).prop_map(|(i, k)| Kind::PartitionRefused(i, k)),
    ];
    let times = (0..FAULT_PERIOD_MS, 500..18_000_u64);
    (times, kind).prop_map(|((at, length), kind)| Fault { at, length, kind })
}

/// Generates a restore of the log.
pub fn restore() -> impl Strategy<Value = Fault> {
    let age = prop_oneof![
        6 => (0..=10_000_u64).prop_map(Some),
        1 => Just(None),
    ];
    let times = (0..FAULT_PERIOD_MS, 200..=3_000_u64);
    (times, age).prop_map(|((at, length), age)| {
        let kind = Kind::LogRestored(age);
        Fault { at, length, kind }
    })
}

/// Generates a fault in which a daemon takes over while the log is slow or refuses calls.
pub fn heartbeat_loss() -> impl Strategy<Value = Fault> {
    let kind = prop_oneof![
        3 => Just(Kind::HeartbeatsLost),
        3 => Just(Kind::LogSlow),
        1 => (0..3_usize).prop_map(Kind::LogRefuses),
        1 => (0..3_usize).prop_map(Kind::DaemonPaused),
        1 => (0..3_usize).prop_map(Kind::DaemonKilled),
        1 => (0..TARGETS).prop_map(Kind::TargetDrains),
    ];
    let times = (0..FAULT_PERIOD_MS, 1_000..18_000_u64);
    (times, kind).prop_map(|((at, length), kind)| Fault { at, length, kind })
}

/// Generates a restart of a target that takes a short time.
pub fn quick_restart() -> impl Strategy<Value = Fault> {
    let times = (0..FAULT_PERIOD_MS, 50..1_500_u64, 0..TARGETS);
    times.prop_map(|(at, length, k)| {
        let kind = Kind::TargetKilled(k);
        Fault { at, length, kind }
    })
}

//! Faults of the model.

use proptest::prelude::*;

use super::TARGETS;

/// Time up to which faults begin, in milliseconds.
const FAULTS: u64 = 20_000;

/// What goes wrong.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    LogDown,
    LogSlow,
    LogRefuses(usize),
    AppendsUnanswered,
    DaemonKilled(usize),
    DaemonPaused(usize),
    HeartbeatsLost,
    TargetKilled(usize),
    TargetSilent(usize),
    TargetLate(usize),
    TargetLeaves(usize),
    /// A target is listed as leaving, or not at all, then closes its listener
    /// while it holds its keys, and ends.
    TargetCloses(usize, bool),
    /// A target works and holds keys while its entry is missing.
    EntryLost(usize),
    /// A daemon and a target reach each other and nothing else.
    Partition(usize, usize),
}

/// A fault, the time at which it begins and its length, in milliseconds.
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

/// Returns any fault.
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
        2 => target.clone().prop_map(Kind::TargetSilent),
        2 => target.clone().prop_map(Kind::TargetLate),
        1 => target.clone().prop_map(Kind::TargetLeaves),
        3 => (target.clone(), any::<bool>()).prop_map(|(k, gone)| Kind::TargetCloses(k, gone)),
        1 => target.clone().prop_map(Kind::EntryLost),
        3 => (daemon, target).prop_map(|(i, k)| Kind::Partition(i, k)),
    ];
    // A partition has to outlast the wait for leases of earlier stewards.
    let times = (0..FAULTS, 100..18_000_u64);
    (times, kind).prop_map(|((at, length), kind)| Fault { at, length, kind })
}

//! Test rig: one coordinator whose log answers at once, and whose orders the test answers.

use std::collections::BTreeMap;

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::adapter;
use pistachiomoor::gateway::coordinator;
use pistachiomoor::gateway::keys;
use pistachiomoor::model;

/// Longest time in milliseconds for which a target may hold keys after a normal grant:
/// the lease by a clock that runs 2% slow, and the margin for orders in flight.
pub const NORMAL_HOLD_MS: u64 = 3_062 + 300;

/// The same for a grant with an extended lease.
pub const EXTENDED_HOLD_MS: u64 = 10_205 + 300;

/// Longest time in milliseconds for which targets may hold keys after the authority of an
/// earlier coordinator has ended, which gives up its last grant after its timeout.
pub const EARLIER_NORMAL_HOLD_MS: u64 = coordinator::GRANT_TIMEOUT_MS + NORMAL_HOLD_MS;

/// The same for grants with extended leases.
pub const EARLIER_EXTENDED_HOLD_MS: u64 = coordinator::GRANT_TIMEOUT_MS + EXTENDED_HOLD_MS;

pub fn owner(name: &str, birth: u64) -> keys::Owner {
    keys::Owner {
        target: name.into(),
        birth,
    }
}

pub fn member(name: &str, weight: f64, state: coordinator::MemberState) -> coordinator::Member {
    coordinator::Member {
        owner: owner(name, 1),
        service: "s".into(),
        domain: "d".into(),
        weight,
        state,
    }
}

pub fn ready(name: &str) -> coordinator::Member {
    member(name, 1.0, coordinator::MemberState::Ready)
}

pub fn services() -> coordinator::Services {
    BTreeMap::from([("s".into(), None)])
}

/// A coordinator, its log and the current time in milliseconds.
pub struct Rig {
    pub coordinator: coordinator::Coordinator,
    pub now: u64,
    pub end: u64,
    pub log_up: bool,
    pub tables: Vec<keys::Table>,
}

impl Rig {
    pub fn new(members: Vec<coordinator::Member>) -> Self {
        let incarnation = model::Incarnation(1);
        let mut coordinator = coordinator::Coordinator::new("h0".into(), incarnation, Millis(0));
        coordinator.on_targets(Millis(0), members, services());
        coordinator.on_candidates(vec!["h0".into()]);
        Self {
            coordinator,
            now: 0,
            end: 0,
            log_up: true,
            tables: Vec::new(),
        }
    }

    /// Sets the live daemons, which are also the candidates for voters.
    pub fn set_daemons(&mut self, hosts: &[&str]) {
        self.coordinator.on_daemons(hosts.len() as u32);
        let hosts = hosts.iter().map(|host| (*host).into());
        self.coordinator.on_candidates(hosts.collect());
    }

    /// Polls, answers calls to the log, and returns the orders that may be sent.
    pub fn step(&mut self) -> Vec<coordinator::Action> {
        let now = Millis(self.now);
        let mut orders = Vec::new();
        for action in self.coordinator.poll(now, 0) {
            match action {
                coordinator::Action::Read if self.log_up && self.end == 0 => {
                    self.coordinator.on_empty_topic(now, now, model::Offset(0));
                }
                coordinator::Action::Read if self.log_up => {
                    let end = model::Offset(self.end);
                    self.coordinator.on_unchanged(now, now, end, end);
                }
                coordinator::Action::Read => {}
                // A log that is away leaves appends unanswered.
                coordinator::Action::Append { .. } if !self.log_up => {}
                coordinator::Action::Append { table, end } => {
                    assert_eq!(end.0, self.end);
                    self.tables.push(keys::Table::decode(&table).unwrap());
                    self.end += 1;
                    let written = adapter::AppendOutcome::Written(end);
                    self.coordinator.on_appended(now, Some(written));
                }
                coordinator::Action::Grant { call, .. }
                | coordinator::Action::Release { call, .. } => {
                    if self.coordinator.may_send(now, call) {
                        orders.push(action);
                    }
                }
            }
        }
        orders
    }

    /// Runs for `time` milliseconds; `reply` answers orders at once, or leaves them
    /// unanswered. Returns all orders with the times at which they were sent.
    pub fn run(
        &mut self,
        time: u64,
        mut reply: impl FnMut(&coordinator::Action) -> Option<coordinator::OrderOutcome>,
    ) -> Vec<(u64, coordinator::Action)> {
        let mut orders = Vec::new();
        for _ in 0..time {
            for action in self.step() {
                let call = call_of(&action);
                if let Some(reply) = reply(&action) {
                    self.coordinator.on_ordered(Millis(self.now), call, reply);
                }
                orders.push((self.now, action));
            }
            self.now += 1;
        }
        orders
    }

    pub fn runs(&self) -> Vec<keys::Run> {
        self.coordinator.table().unwrap().services[&"s".into()].clone()
    }

    pub fn keys_of(&self, name: &str) -> u32 {
        let runs = self.runs().into_iter();
        let own = runs.filter(|run| run.owner.as_ref().unwrap().target.as_str() == name);
        own.map(|run| run.range.len()).sum()
    }
}

pub fn call_of(action: &coordinator::Action) -> u64 {
    match action {
        coordinator::Action::Grant { call, .. } | coordinator::Action::Release { call, .. } => {
            *call
        }
        coordinator::Action::Append { .. } | coordinator::Action::Read => {
            unreachable!("not an order")
        }
    }
}

pub fn done(_: &coordinator::Action) -> Option<coordinator::OrderOutcome> {
    Some(coordinator::OrderOutcome::Done(None))
}

pub fn is_release(order: &coordinator::Action) -> bool {
    matches!(order, coordinator::Action::Release { .. })
}

pub fn grant_of(order: &coordinator::Action) -> Option<&adapter::Grant> {
    match order {
        coordinator::Action::Grant { grant, .. } => Some(grant),
        _ => None,
    }
}

pub fn is_for(order: &coordinator::Action, name: &str) -> bool {
    match order {
        coordinator::Action::Grant { owner, .. } | coordinator::Action::Release { owner, .. } => {
            owner.target.as_str() == name
        }
        _ => false,
    }
}

//! Test rig: one steward whose log answers at once, and whose orders the test answers.

use std::collections::BTreeMap;

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::dialect;
use pistachiomoor::gateway::keys;
use pistachiomoor::gateway::steward;
use pistachiomoor::model;

/// Longest time in milliseconds for which a target may hold keys after a normal grant:
/// the lease by a clock that runs 2% slow, and the margin for orders in flight.
pub const NORMAL_HOLD_MS: u64 = 3_062 + 300;

/// The same for a grant with an extended lease.
pub const EXTENDED_HOLD_MS: u64 = 10_205 + 300;

pub fn owner(name: &str, birth: u64) -> keys::Owner {
    keys::Owner {
        target: name.into(),
        birth,
    }
}

pub fn member(name: &str, weight: f64, state: steward::MemberState) -> steward::Member {
    steward::Member {
        owner: owner(name, 1),
        service: "s".into(),
        domain: "d".into(),
        weight,
        state,
    }
}

pub fn ready(name: &str) -> steward::Member {
    member(name, 1.0, steward::MemberState::Ready)
}

pub fn services() -> steward::Services {
    BTreeMap::from([("s".into(), None)])
}

/// A steward, its log and the current time in milliseconds.
pub struct Rig {
    pub steward: steward::Steward,
    pub now: u64,
    pub end: u64,
    pub log_up: bool,
    pub tables: Vec<keys::Table>,
}

impl Rig {
    pub fn new(members: Vec<steward::Member>) -> Self {
        let incarnation = model::Incarnation(1);
        let mut steward = steward::Steward::new("h0".into(), incarnation, Millis(0));
        steward.on_targets(Millis(0), None, members, services());
        Self {
            steward,
            now: 0,
            end: 0,
            log_up: true,
            tables: Vec::new(),
        }
    }

    /// Polls, answers calls to the log, and returns the orders that may be sent.
    pub fn step(&mut self) -> Vec<steward::Action> {
        let now = Millis(self.now);
        let mut orders = Vec::new();
        for action in self.steward.poll(now, 0) {
            match action {
                steward::Action::Read if self.log_up && self.end == 0 => {
                    self.steward.on_empty_topic(now, now, model::Offset(0));
                }
                steward::Action::Read if self.log_up => {
                    self.steward.on_confirmed(now, model::Offset(self.end));
                }
                steward::Action::Read => {}
                steward::Action::Append { table, end } => {
                    assert_eq!(end.0, self.end);
                    self.tables.push(keys::Table::decode(&table).unwrap());
                    self.end += 1;
                    let written = dialect::Appended::Written(end);
                    self.steward.on_appended(now, Some(written));
                }
                steward::Action::Grant { call, .. } | steward::Action::Release { call, .. } => {
                    if self.steward.may_send(now, call) {
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
        mut reply: impl FnMut(&steward::Action) -> Option<steward::Reply>,
    ) -> Vec<(u64, steward::Action)> {
        let mut orders = Vec::new();
        for _ in 0..time {
            for action in self.step() {
                let call = call_of(&action);
                if let Some(reply) = reply(&action) {
                    self.steward.on_ordered(Millis(self.now), call, reply);
                }
                orders.push((self.now, action));
            }
            self.now += 1;
        }
        orders
    }

    pub fn runs(&self) -> Vec<keys::Run> {
        self.steward.table().unwrap().services[&"s".into()].clone()
    }

    pub fn keys_of(&self, name: &str) -> u32 {
        let runs = self.runs().into_iter();
        let own = runs.filter(|run| run.owner.as_ref().unwrap().target.as_str() == name);
        own.map(|run| run.range.len()).sum()
    }
}

pub fn call_of(action: &steward::Action) -> u64 {
    match action {
        steward::Action::Grant { call, .. } | steward::Action::Release { call, .. } => *call,
        steward::Action::Append { .. } | steward::Action::Read => unreachable!("not an order"),
    }
}

pub fn done(_: &steward::Action) -> Option<steward::Reply> {
    Some(steward::Reply::Done(None))
}

pub fn is_release(order: &steward::Action) -> bool {
    matches!(order, steward::Action::Release { .. })
}

pub fn grant_of(order: &steward::Action) -> Option<&dialect::Grant> {
    match order {
        steward::Action::Grant { grant, .. } => Some(grant),
        _ => None,
    }
}

pub fn is_for(order: &steward::Action, name: &str) -> bool {
    match order {
        steward::Action::Grant { owner, .. } | steward::Action::Release { owner, .. } => {
            owner.target.as_str() == name
        }
        _ => false,
    }
}

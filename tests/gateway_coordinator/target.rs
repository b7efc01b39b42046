//! Targets of the model: list entries, orders, and checks of exclusive ownership.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::adapter;
use pistachiomoor::gateway::coordinator;
use pistachiomoor::gateway::keys;
use rand::Rng;

use super::{
    CLOSING_DELAY_MS, ENTRY_EXPIRY_MS, Event, Fault, Kind, ORDER_TIMEOUT_MS, Target, World,
    buckets, call_and_owner, target_of,
};

impl World {
    /// Returns the list entry of a target, or `None` if it is missing.
    pub(super) fn entry(&self, k: usize) -> Option<coordinator::Member> {
        let target = &self.targets[k];
        if self.has_fault(|kind| matches!(kind, Kind::EntryMissing(t) if t == k)) {
            return None;
        }
        let expired = !target.alive && self.now >= target.killed_at + ENTRY_EXPIRY_MS;
        let gone = |kind| matches!(kind, Kind::TargetCloses(t, true) if t == k);
        let leaves = |kind| match kind {
            Kind::TargetDrains(t) | Kind::TargetCloses(t, false) => t == k,
            _ => false,
        };
        let state = if expired || self.has_fault(gone) {
            coordinator::MemberState::Unlisted
        } else if self.has_fault(leaves) {
            coordinator::MemberState::Draining
        } else if self.now < target.warm_from {
            coordinator::MemberState::Cold
        } else {
            coordinator::MemberState::Ready
        };
        Some(coordinator::Member {
            owner: keys::Owner {
                target: format!("t{k}").as_str().into(),
                birth: target.birth,
            },
            service: "s".into(),
            domain: "d".into(),
            weight: 1.0 + k as f64 / 2.0,
            state,
        })
    }

    /// Returns whether a target has closed its listener.
    pub(super) fn is_closed(&self, k: usize) -> bool {
        let closed = |fault: &Fault| {
            let closes = matches!(fault.kind, Kind::TargetCloses(t, _) if t == k);
            closes && fault.is_on(self.now) && self.now >= fault.at + CLOSING_DELAY_MS
        };
        self.faults.iter().any(closed)
    }

    pub(super) fn send(&mut self, i: usize, incarnation: u64, action: coordinator::Action) {
        let (call, _) = call_and_owner(&action);
        if !self.daemons[i].coordinator.may_send(Millis(self.now), call) {
            let unanswered = coordinator::OrderOutcome::Unanswered;
            self.schedule(self.now + 1, Event::Reply(i, incarnation, call, unanswered));
            return;
        }
        let delay = if self.rng.random_bool(0.1) {
            self.rng.random_range(1..=200)
        } else {
            self.rng.random_range(1..3)
        };
        self.schedule(
            self.now + ORDER_TIMEOUT_MS,
            Event::Reply(i, incarnation, call, coordinator::OrderOutcome::Unanswered),
        );
        self.schedule(self.now + delay, Event::Arrive(i, incarnation, action));
    }

    pub(super) fn arrive(&mut self, i: usize, incarnation: u64, action: coordinator::Action) {
        let (call, owner) = call_and_owner(&action);
        let k = target_of(&owner);
        if !self.is_reachable(i, k) {
            return;
        }
        // An order names the target but not its birth, so that a later process of the same
        // name and address accepts it.
        let gone = !self.targets[k].alive;
        if gone || self.is_closed(k) || self.is_refused(i, k) {
            let refused = coordinator::OrderOutcome::ConnectionRefused;
            self.schedule(self.now + 1, Event::Reply(i, incarnation, call, refused));
            return;
        }
        if let coordinator::Action::Grant { grant, .. } = &action
            && self.is_fenced(k, grant)
        {
            let fenced = coordinator::OrderOutcome::Fenced;
            self.schedule(self.now + 1, Event::Reply(i, incarnation, call, fenced));
            return;
        }
        let slow = self.has_fault(|kind| matches!(kind, Kind::TargetSlow(t) if t == k));
        let delay = if slow {
            self.rng.random_range(0..4_000)
        } else {
            0
        };
        let event = Event::Apply(i, incarnation, action, self.targets[k].birth, self.now);
        self.schedule(self.now + delay, event);
    }

    pub(super) fn apply(
        &mut self,
        i: usize,
        incarnation: u64,
        action: coordinator::Action,
        birth: u64,
        at: u64,
    ) {
        let (call, owner) = call_and_owner(&action);
        let k = target_of(&owner);
        if !self.targets[k].alive || self.targets[k].birth != birth {
            return;
        }
        let (reply, delay) = match action {
            coordinator::Action::Grant { grant, .. } => (self.grant(k, &grant, at), 1),
            coordinator::Action::Release { release, .. } => {
                let target = &mut self.targets[k];
                for bucket in buckets(release.range) {
                    target.fences[bucket] = target.fences[bucket].max(release.fence);
                    target.lease_ends[bucket] = 0;
                }
                let work = self.rng.random_range(1..700);
                (coordinator::OrderOutcome::Done(Some("token".into())), work)
            }
            coordinator::Action::Append { .. } | coordinator::Action::Read => return,
        };
        self.schedule(self.now + delay, Event::Reply(i, incarnation, call, reply));
    }

    pub(super) fn is_fenced(&self, k: usize, grant: &adapter::Grant) -> bool {
        let seen = buckets(grant.range).map(|bucket| self.targets[k].fences[bucket]);
        seen.max().unwrap_or(0) > grant.fence
    }

    /// Applies a grant. Its fence was checked when it arrived at the time `at`; a grant
    /// that is applied late may follow newer grants and releases.
    pub(super) fn grant(
        &mut self,
        k: usize,
        grant: &adapter::Grant,
        at: u64,
    ) -> coordinator::OrderOutcome {
        let birth = self.targets[k].birth;
        let until = at + (grant.lease_ms as f64 * self.targets[k].clock_factor) as u64;
        for bucket in buckets(grant.range) {
            let target = &mut self.targets[k];
            target.fences[bucket] = target.fences[bucket].max(grant.fence);
            target.lease_ends[bucket] = target.lease_ends[bucket].max(until);
            if target.lease_ends[bucket] > self.now {
                self.check_exclusive(k, birth, bucket, grant.fence);
            }
        }
        coordinator::OrderOutcome::Done(None)
    }

    /// Checks that no other target holds the bucket, and that the fence rises with each
    /// change of the holder.
    pub(super) fn check_exclusive(&mut self, k: usize, birth: u64, bucket: usize, fence: u64) {
        let holds = |(i, target): (usize, &Target)| {
            i != k && target.alive && target.lease_ends[bucket] > self.now
        };
        if self.targets.iter().enumerate().any(holds) {
            let holder = self.holders[bucket];
            self.violation = Some(format!(
                "t{k} and another target hold bucket {bucket}, fence {fence}, last {holder:?}"
            ));
        }
        let last = self.holders[bucket].replace((k, birth, fence));
        // The same grant sent again may reach a new process of the same target, which the rule
        // on rising fences allows: the sender can't know of the restart.
        let not_raised = |(i, born_at, before): (usize, u64, u64)| {
            let is_same_grant = i == k && before == fence;
            (i, born_at) != (k, birth) && before >= fence && !is_same_grant
        };
        if last.is_some_and(not_raised) {
            self.violation = Some(format!(
                "t{k} holds bucket {bucket} with fence {fence} after {last:?}"
            ));
        }
    }
}

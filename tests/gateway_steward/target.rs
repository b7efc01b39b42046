//! Targets of the model: entries, orders and who holds which keys.

use pistachiomoor::clock::Millis;
use pistachiomoor::gateway::dialect;
use pistachiomoor::gateway::keys;
use pistachiomoor::gateway::steward;
use rand::Rng;

use super::{
    CLOSING, EXPIRY, Event, Fault, Kind, ORDER_TIMEOUT, Target, World, buckets, parts, target_of,
};

impl World {
    pub(super) fn entry(&self, k: usize) -> Option<steward::Member> {
        let target = &self.targets[k];
        if self.has(|kind| matches!(kind, Kind::EntryLost(t) if t == k)) {
            return None;
        }
        let expired = !target.alive && self.now >= target.killed + EXPIRY;
        let gone = |kind| matches!(kind, Kind::TargetCloses(t, true) if t == k);
        let leaves = |kind| match kind {
            Kind::TargetLeaves(t) | Kind::TargetCloses(t, false) => t == k,
            _ => false,
        };
        let state = if expired || self.has(gone) {
            steward::MemberState::Gone
        } else if self.has(leaves) {
            steward::MemberState::Leaving
        } else if self.now < target.warm {
            steward::MemberState::Cold
        } else {
            steward::MemberState::Ready
        };
        Some(steward::Member {
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

    pub(super) fn is_closed(&self, k: usize) -> bool {
        let closed = |fault: &Fault| {
            let closes = matches!(fault.kind, Kind::TargetCloses(t, _) if t == k);
            closes && fault.is_on(self.now) && self.now >= fault.at + CLOSING
        };
        self.faults.iter().any(closed)
    }

    pub(super) fn send(&mut self, i: usize, life: u64, action: steward::Action) {
        let (call, _) = parts(&action);
        if !self.daemons[i].steward.may_send(Millis(self.now), call) {
            let silent = steward::Reply::Silent;
            self.put(self.now + 1, Event::Reply(i, life, call, silent));
            return;
        }
        let delay = if self.rng.random_bool(0.1) {
            self.rng.random_range(1..=200)
        } else {
            self.rng.random_range(1..3)
        };
        self.put(
            self.now + ORDER_TIMEOUT,
            Event::Reply(i, life, call, steward::Reply::Silent),
        );
        self.put(self.now + delay, Event::Arrive(i, life, action));
    }

    pub(super) fn arrive(&mut self, i: usize, life: u64, action: steward::Action) {
        let (call, owner) = parts(&action);
        let k = target_of(&owner);
        if !self.is_joined(i, k) {
            return;
        }
        let gone = !self.targets[k].alive || self.targets[k].birth != owner.birth;
        if gone || self.is_closed(k) {
            let refused = steward::Reply::Refused;
            self.put(self.now + 1, Event::Reply(i, life, call, refused));
            return;
        }
        if let steward::Action::Grant { grant, .. } = &action
            && self.is_fenced(k, grant)
        {
            let fenced = steward::Reply::Fenced;
            self.put(self.now + 1, Event::Reply(i, life, call, fenced));
            return;
        }
        let late = self.has(|kind| matches!(kind, Kind::TargetLate(t) if t == k));
        let delay = if late {
            self.rng.random_range(0..4_000)
        } else {
            0
        };
        let event = Event::Apply(i, life, action, owner.birth, self.now);
        self.put(self.now + delay, event);
    }

    pub(super) fn apply(
        &mut self,
        i: usize,
        life: u64,
        action: steward::Action,
        birth: u64,
        at: u64,
    ) {
        let (call, owner) = parts(&action);
        let k = target_of(&owner);
        if !self.targets[k].alive || self.targets[k].birth != birth {
            return;
        }
        let (reply, delay) = match action {
            steward::Action::Grant { grant, .. } => (self.grant(k, &grant, at), 1),
            steward::Action::Release { release, .. } => {
                let target = &mut self.targets[k];
                for bucket in buckets(release.range) {
                    target.fences[bucket] = target.fences[bucket].max(release.fence);
                    target.until[bucket] = 0;
                }
                let work = self.rng.random_range(1..700);
                (steward::Reply::Done(Some("token".into())), work)
            }
            steward::Action::Append { .. } | steward::Action::Read => return,
        };
        self.put(self.now + delay, Event::Reply(i, life, call, reply));
    }

    pub(super) fn is_fenced(&self, k: usize, grant: &dialect::Grant) -> bool {
        let seen = buckets(grant.range).map(|bucket| self.targets[k].fences[bucket]);
        seen.max().unwrap_or(0) > grant.fence
    }

    /// Applies a grant, whose fence was checked when it arrived: one that is
    /// applied late may follow newer grants and releases.
    pub(super) fn grant(&mut self, k: usize, grant: &dialect::Grant, at: u64) -> steward::Reply {
        let birth = self.targets[k].birth;
        let until = at + (grant.lease as f64 * self.targets[k].rate) as u64;
        for bucket in buckets(grant.range) {
            let target = &mut self.targets[k];
            target.fences[bucket] = target.fences[bucket].max(grant.fence);
            target.until[bucket] = target.until[bucket].max(until);
            if target.until[bucket] > self.now {
                self.check(k, birth, bucket, grant.fence);
            }
        }
        steward::Reply::Done(None)
    }

    pub(super) fn check(&mut self, k: usize, birth: u64, bucket: usize, fence: u64) {
        let holds = |(i, target): (usize, &Target)| {
            i != k && target.alive && target.until[bucket] > self.now
        };
        if self.targets.iter().enumerate().any(holds) {
            let holder = self.holders[bucket];
            self.broken = Some(format!(
                "t{k} and another target hold bucket {bucket}, fence {fence}, last {holder:?}"
            ));
        }
        let last = self.holders[bucket].replace((k, birth, fence));
        let fell =
            |(i, born, before): (usize, u64, u64)| (i, born) != (k, birth) && before >= fence;
        if last.is_some_and(fell) {
            self.broken = Some(format!(
                "t{k} holds bucket {bucket} with fence {fence} after {last:?}"
            ));
        }
    }
}

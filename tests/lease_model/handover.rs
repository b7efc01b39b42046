//! Hand-over and resignation without a log record in the model.

use std::sync::atomic::Ordering;

use pistachiomoor::clock::Millis;
use pistachiomoor::lease;
use pistachiomoor::model;

use crate::world::{Event, HANDOVERS, Time, World, name};

/// Upper bound of the delay of a message's second delivery.
const DUPLICATE_DELAY_UNITS: Time = 4_000;

/// A message by which a leaving daemon gives up a lease or resigns as its backup.
#[derive(Clone)]
pub enum LeaveMessage {
    Handed(lease::Handed),
    Resigned(model::Incarnation, model::TargetName, model::Offset),
}

impl World {
    /// Makes a daemon leave. It hands over its leases and resigns as backup by
    /// messages, each of which is delivered twice to test repetitions.
    pub fn hand_over(&mut self, index: usize) {
        let time = self.time;
        let daemon = &mut self.daemons[index];
        if daemon.leave_at.is_some() || daemon.paused_until > time {
            return;
        }
        let (me, now) = (daemon.me, daemon.now(time));
        let to_owned = |lease: (&model::TargetName, model::Offset)| (lease.0.clone(), lease.1);
        let held: Vec<_> = daemon.table.held().map(to_owned).collect();
        let backed: Vec<_> = daemon.table.backed().map(to_owned).collect();
        let mut messages = Vec::new();
        for (target, _) in held {
            let Ok(surrendered) = daemon.table.surrender(&target, now) else {
                continue;
            };
            let handed = lease::Handed {
                target,
                from: me,
                lease: surrendered.lease,
                seen: surrendered.seen,
                fence: model::Fence::at(surrendered.lease),
            };
            messages.push((surrendered.to, LeaveMessage::Handed(handed)));
        }
        for (target, lease) in backed {
            let holder = daemon.table.resign(&target);
            let resigned = LeaveMessage::Resigned(me, target, lease);
            messages.extend(holder.map(|holder| (holder, resigned)));
        }
        for (to, message) in messages {
            let node = self.daemons.iter().position(|daemon| daemon.me == to);
            let Some(node) = node else { continue };
            let duplicate_at = self.time + self.below(DUPLICATE_DELAY_UNITS);
            self.push(
                duplicate_at,
                index,
                node,
                Event::LeaveMessage(to, message.clone()),
            );
            self.send(index, node, Event::LeaveMessage(to, message));
        }
        self.leave(index);
    }

    /// Returns the recorded holder of a target, if it is one of the running daemons.
    pub fn recorded_holder(&self, target: usize) -> Option<usize> {
        let lease = self.log.last()?.leases.get(&name(target))?;
        let mut daemons = self.daemons.iter();
        daemons.position(|daemon| daemon.me == lease.holder)
    }

    pub(super) fn on_leave_message(&mut self, index: usize, now: Millis, message: LeaveMessage) {
        let table = &mut self.daemons[index].table;
        let accepted = match message {
            LeaveMessage::Handed(handed) => table.receive(now, &handed),
            LeaveMessage::Resigned(from, target, lease) => table.on_resigned(from, &target, lease),
        };
        HANDOVERS.fetch_add(u64::from(accepted.is_ok()), Ordering::Relaxed);
    }

    /// Appends records for the leases that a daemon received without one.
    pub(super) fn record_received(&mut self, index: usize, now: Millis) {
        let daemon = &mut self.daemons[index];
        let me = daemon.me;
        if !daemon.table.has_unrecorded() || !daemon.pending.is_empty() {
            return;
        }
        for proposal in daemon.table.unrecorded(now) {
            let prior = Some(proposal.prior);
            self.append_lease(index, proposal, (prior, me, None), now);
        }
    }
}

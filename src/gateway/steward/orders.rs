//! Orders to targets, and how long their leases may last.

use std::sync::Arc;

use crate::clock;
use crate::gateway::dialect;
use crate::gateway::keys;
use crate::model;

impl super::Steward {
    /// Returns whether the order `call` may be sent now, and takes `now` as the
    /// time of sending.
    ///
    /// The caller asks immediately before it sends the order and does not send
    /// it if the answer is no; it then reports [`super::Reply::Silent`]. Waits for
    /// leases count from this time.
    pub fn may_send(&mut self, now: clock::Millis, call: u64) -> bool {
        let allowed = self.may_act(now);
        let Some(entry) = self.calls.get_mut(&call) else {
            return false;
        };
        let current = |order: &super::Order| order.call == Some(call);
        if !allowed || entry.sent.is_some() || !self.orders.get(&entry.id).is_some_and(current) {
            return false;
        }
        entry.sent = Some(now);
        if let Some(lease) = entry.lease {
            let (service, range, _) = &entry.id;
            let key = (service.clone(), entry.owner.clone(), *range);
            let until = self.holds.entry(key).or_default();
            *until = (*until).max(now + super::longest(lease));
        }
        true
    }

    /// Takes what became of an order. Each order polled has to be reported once.
    pub fn on_ordered(&mut self, now: clock::Millis, call: u64, reply: super::Reply) {
        let Some(entry) = self.calls.remove(&call) else {
            return;
        };
        self.hold_from(now, &entry, &reply);
        let order = self.orders.get_mut(&entry.id);
        let mut order = order.filter(|order| order.call == Some(call));
        let retry = match reply {
            super::Reply::Silent | super::Reply::Refused => super::RETRY,
            _ => super::RENEWAL,
        };
        if let Some(order) = &mut order {
            order.call = None;
            order.next = order.next.min(now + retry);
        }
        self.due = now;
        let Some(sent) = entry.sent else {
            return;
        };
        // An answer to a grant of a run that has changed since may come after the
        // release: then the target may have applied the grant after it as well.
        let uncertain = match &reply {
            super::Reply::Silent => true,
            super::Reply::Done(_) => order.is_none(),
            _ => false,
        };
        if let (true, Some(lease)) = (uncertain, entry.lease) {
            let (service, range, _) = entry.id.clone();
            self.late.push(super::Late {
                service,
                owner: entry.owner.clone(),
                range,
                until: now + super::longest(lease),
            });
        }
        match (reply, order) {
            (super::Reply::Done(token), Some(order)) if entry.lease.is_none() => {
                order.released.get_or_insert(now);
                order.handover = token;
                order.next = now;
                self.quiet.remove(&entry.owner);
            }
            (super::Reply::Done(_), order) => {
                if let Some(order) = order {
                    order.handover = None;
                    order.next = sent + super::RENEWAL;
                }
                self.quiet.remove(&entry.owner);
            }
            (super::Reply::Fenced, order) => {
                if let Some(order) = order {
                    order.fenced = entry.lease.is_some();
                    self.dirty |= order.fenced;
                    order.next = sent + super::RENEWAL;
                }
                self.quiet.remove(&entry.owner);
            }
            (super::Reply::Refused, _) => {
                self.unanswered(now, sent, &entry.owner).refuse(now, sent);
            }
            (super::Reply::Rejected, _) => {
                // The target listens, so an earlier refusal proves nothing.
                self.unanswered(now, sent, &entry.owner).refusal = super::quiet::Refusal::None;
            }
            (super::Reply::Silent, _) => {
                self.unanswered(now, sent, &entry.owner);
            }
        }
    }

    /// Counts the lease of a grant from the time up to which it may have arrived:
    /// until it was given up, or answered.
    fn hold_from(&mut self, now: clock::Millis, call: &super::Call, reply: &super::Reply) {
        let (Some(lease), Some(_)) = (call.lease, call.sent) else {
            return;
        };
        let under_way = match reply {
            super::Reply::Refused => return,
            super::Reply::Silent => super::MARGIN,
            super::Reply::Done(_) | super::Reply::Fenced | super::Reply::Rejected => 0,
        };
        let (service, range, _) = &call.id;
        let key = (service.clone(), call.owner.clone(), *range);
        let until = now + (super::longest(lease) - super::MARGIN + under_way);
        let held = self.holds.entry(key).or_default();
        *held = (*held).max(until);
    }

    pub(super) fn unanswered(
        &mut self,
        now: clock::Millis,
        sent: clock::Millis,
        owner: &keys::Owner,
    ) -> &mut super::quiet::Quiet {
        let quiet = self
            .quiet
            .entry(owner.clone())
            .or_insert(super::quiet::Quiet {
                since: sent,
                given: now,
                last: now,
                again: false,
                refusal: super::quiet::Refusal::None,
            });
        self.dirty = true;
        quiet.last = now;
        quiet.again |= sent >= quiet.given;
        quiet
    }

    /// Returns when the leases that `owner` may hold on keys of `range` have ended.
    pub(super) fn free_at(
        &self,
        service: &model::ServiceName,
        owner: &keys::Owner,
        range: dialect::Range,
    ) -> clock::Millis {
        let holds = self.holds.iter().filter(|((of, by, held), _)| {
            let overlap = held.first <= range.last && range.first <= held.last;
            of == service && by == owner && overlap
        });
        let own = holds.map(|(_, until)| *until).max().unwrap_or_default();
        own.max(self.foreign_until())
    }

    /// Returns until when the longest leases of earlier stewards may last.
    fn long_until(&self) -> clock::Millis {
        let worst = self.foreign.unwrap_or_default();
        match self.witnesses.latest(self.first) {
            // A steward that was acknowledged may act for what is left of its right.
            Some(latest) => {
                let sent = latest + (super::RIGHT - super::OUTAGE);
                worst.min(sent + super::longest(self.longest))
            }
            None => worst,
        }
    }

    /// Returns until when usual leases of earlier stewards may last.
    fn usual_until(&self) -> clock::Millis {
        let worst = self.foreign.unwrap_or_default();
        worst.min(self.term + super::RIGHT + super::longest(self.hold()))
    }

    /// Returns until when leases of earlier stewards may last.
    pub(super) fn foreign_until(&self) -> clock::Millis {
        self.usual_until().max(self.long_until())
    }

    /// Returns whether the longest leases are due and allowed.
    fn may_lengthen(&self, now: clock::Millis) -> bool {
        let confirmed = self.log.confirmed.unwrap_or_default();
        now.since(confirmed) >= super::OUTAGE && self.witnesses.suffice(confirmed.0)
    }

    /// Returns until when a grant without an answer may still give `owner` keys
    /// of `range`: a target may apply it after a release.
    pub(super) fn late_until(
        &self,
        service: &model::ServiceName,
        owner: &keys::Owner,
        range: dialect::Range,
    ) -> clock::Millis {
        let overlaps = |held: dialect::Range| held.first <= range.last && range.first <= held.last;
        let late = self.late.iter().filter(|late| {
            late.service == *service && late.owner == *owner && overlaps(late.range)
        });
        let calls = self.calls.values().filter_map(|call| {
            let (of, held, _) = &call.id;
            let found = of == service && call.owner == *owner && overlaps(*held);
            let lease = call.lease.filter(|_| found)?;
            call.sent.map(|sent| sent + super::longest(lease))
        });
        let last = late.map(|late| late.until).chain(calls).max();
        last.unwrap_or_default()
    }

    /// Returns when `owner`, which answered a release at `released`, can hold none
    /// of its keys any more.
    ///
    /// An earlier steward may have left grants without an answer as well. They
    /// arrived before the release, or else they were refused.
    fn clear_at(
        &self,
        service: &model::ServiceName,
        owner: &keys::Owner,
        range: dialect::Range,
        released: clock::Millis,
    ) -> clock::Millis {
        let usual = released + super::longest(self.hold());
        let long = released + super::longest(self.longest);
        let earlier = self.usual_until().min(usual);
        let earlier = earlier.max(self.long_until().min(long));
        self.late_until(service, owner, range).max(earlier)
    }

    /// Returns whether the previous owner of a run holds nothing any more.
    pub(super) fn is_free(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        prior: &keys::Owner,
        range: dialect::Range,
    ) -> bool {
        match self.standing(now, service, prior) {
            super::Standing::Lost | super::Standing::Reborn(_) => true,
            _ => now >= self.free_at(service, prior, range),
        }
    }

    pub(super) fn order(&mut self, now: clock::Millis, actions: &mut Vec<super::Action>) {
        let outage = self.may_lengthen(now);
        if now < self.due && outage == self.outage {
            return;
        }
        let Some(table) = self.log.table.take() else {
            return;
        };
        self.outage = outage;
        self.due = now + super::IDLE;
        self.late.retain(|late| late.until > now);
        for (service, runs) in &table.services {
            for run in runs {
                actions.extend(self.order_run(now, service, run, outage));
            }
        }
        self.log.table = Some(table);
    }

    pub(super) fn order_run(
        &mut self,
        now: clock::Millis,
        service: &model::ServiceName,
        run: &keys::Run,
        outage: bool,
    ) -> Option<super::Action> {
        let id = (service.clone(), run.range, run.fence);
        let mut order = self.orders.get(&id)?.clone();
        let clear = match (&run.prior, order.released) {
            (Some(prior), Some(released)) => {
                Some(self.clear_at(service, prior, run.range, released))
            }
            _ => None,
        };
        if let (Some(prior), None) = (&run.prior, order.settled)
            && (clear.is_some_and(|at| now >= at) || self.is_free(now, service, prior, run.range))
        {
            order.settled = Some(now);
            self.tidy.get_or_insert(now + super::TIDY);
            self.dirty = true;
            order.call = None;
            order.next = now;
        }
        let asks = run.prior.is_some() && order.settled.is_none();
        if let (true, Some(at)) = (asks, clear) {
            self.due = self.due.min(at);
            self.orders.insert(id, order);
            return None;
        }
        let lengthen = outage && !order.long && !asks;
        if !outage {
            order.long = false;
        }
        let due = (order.call.is_none() && now >= order.next) || lengthen;
        let owner = if asks { &run.prior } else { &run.owner };
        let blank = !asks && now < self.blank;
        let action = match owner {
            Some(owner) if due && !blank => {
                self.last += 1;
                order.call = Some(self.last);
                order.next = now + super::RENEWAL;
                order.long = outage && !asks;
                let lease = if outage { self.longest } else { self.hold() };
                let call = super::Call {
                    id: id.clone(),
                    owner: owner.clone(),
                    lease: (!asks).then_some(lease),
                    sent: None,
                };
                Some(self.action(call, order.handover.clone()))
            }
            _ => None,
        };
        if order.call.is_none() {
            let next = if blank { self.blank } else { order.next };
            self.due = self.due.min(next);
        }
        if let (Some(prior), None) = (&run.prior, order.settled) {
            self.due = self.due.min(self.free_at(service, prior, run.range));
        }
        self.orders.insert(id, order);
        action
    }

    pub(super) fn action(
        &mut self,
        call: super::Call,
        handover: Option<Arc<str>>,
    ) -> super::Action {
        let (service, range, fence) = call.id.clone();
        let owner = call.owner.clone();
        let lease = call.lease;
        self.calls.insert(self.last, call);
        match lease {
            Some(lease) => super::Action::Grant {
                call: self.last,
                service,
                owner,
                grant: dialect::Grant {
                    range,
                    fence,
                    lease,
                    handover,
                },
            },
            None => super::Action::Release {
                call: self.last,
                service,
                owner,
                release: dialect::Release { range, fence },
            },
        }
    }
}

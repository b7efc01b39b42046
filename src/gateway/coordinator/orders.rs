//! Orders to targets (grants and releases), and until when leases may last.

use std::sync::Arc;

use crate::clock;
use crate::gateway::adapter;
use crate::gateway::keys;
use crate::model;

impl super::Coordinator {
    /// Returns whether the order `call` may be sent now; if so, records `now` as the
    /// time of sending.
    ///
    /// The caller calls this immediately before it sends the order. If the result is
    /// false, it does not send the order and reports
    /// [`super::OrderOutcome::Unanswered`]. The end of a grant's lease is counted from
    /// this time.
    pub fn may_send(&mut self, now: clock::Millis, call: u64) -> bool {
        let unsent = |entry: &super::Call| entry.sent.is_none();
        self.calls.get(&call).is_some_and(unsent) && self.may_write(now, call)
    }

    /// Returns whether the order `call`, whose connection took time to open, may still be
    /// written; if so, records `now` as the time of sending. Otherwise the order counts as not
    /// sent.
    pub fn may_write(&mut self, now: clock::Millis, call: u64) -> bool {
        let allowed = self.may_act(now);
        let Some(entry) = self.calls.get_mut(&call) else {
            return false;
        };
        let current = |order: &super::Order| order.call == Some(call);
        let allowed = allowed && self.orders.get(&entry.id).is_some_and(current);
        entry.sent = allowed.then_some(now);
        if !allowed {
            return false;
        }
        if let Some(lease) = entry.lease {
            let (service, range, _) = &entry.id;
            let key = (service.clone(), entry.owner.clone(), *range);
            let until = self.lease_ends.entry(key).or_default();
            *until = (*until).max(now + super::max_hold_ms(lease));
        }
        true
    }

    /// Handles the outcome of an order. The caller reports each polled order once.
    pub fn on_ordered(&mut self, now: clock::Millis, call: u64, reply: super::OrderOutcome) {
        let Some(entry) = self.calls.remove(&call) else {
            return;
        };
        self.record_lease(now, &entry, &reply);
        let released_since = self.was_released_since(&entry);
        let order = self.orders.get_mut(&entry.id);
        let mut order = order.filter(|order| order.call == Some(call));
        let retry = match reply {
            super::OrderOutcome::Unanswered
            | super::OrderOutcome::Unclear
            | super::OrderOutcome::ConnectionRefused => super::RETRY_MS,
            _ => super::RENEWAL_INTERVAL_MS,
        };
        if let Some(order) = &mut order {
            order.call = None;
            order.next_send = order.next_send.min(now + retry);
        }
        self.next_order = now;
        let Some(sent) = entry.sent else {
            return;
        };
        // If the run has changed since the grant, its answer may come after that of the
        // release: then the target may have applied the grant after the release. Statuses
        // such as 502 and 504 do not say that the target did not and will not apply it.
        let uncertain = match &reply {
            super::OrderOutcome::Unanswered
            | super::OrderOutcome::Unclear
            | super::OrderOutcome::Rejected => true,
            super::OrderOutcome::Done(_) => order.is_none() && released_since,
            _ => false,
        };
        if let (true, Some(lease)) = (uncertain, entry.lease) {
            let (service, range, _) = entry.id.clone();
            self.uncertain.push(super::UncertainGrant {
                service,
                owner: entry.owner.clone(),
                range,
                until: now + super::max_hold_ms(lease),
            });
        }
        match (reply, order) {
            (super::OrderOutcome::Done(token), Some(order)) if entry.lease.is_none() => {
                order.released.get_or_insert(now);
                order.handover = token;
                order.next_send = now;
                self.failures.remove(&entry.owner);
            }
            (super::OrderOutcome::Done(_), order) => {
                if let Some(order) = order {
                    order.granted = true;
                    order.handover = None;
                    order.next_send = sent + super::RENEWAL_INTERVAL_MS;
                }
                self.failures.remove(&entry.owner);
            }
            (super::OrderOutcome::Fenced, order) => {
                if let Some(order) = order {
                    order.fenced = entry.lease.is_some();
                    self.dirty |= order.fenced;
                    order.next_send = sent + super::RENEWAL_INTERVAL_MS;
                }
                self.failures.remove(&entry.owner);
            }
            (super::OrderOutcome::ConnectionRefused, _) => {
                self.record_failure(now, sent, &entry.owner).refused = true;
            }
            (super::OrderOutcome::Rejected | super::OrderOutcome::Unclear, _) => {
                // The target listens again.
                self.record_failure(now, sent, &entry.owner).refused = false;
            }
            (super::OrderOutcome::Unanswered, _) => {
                self.record_failure(now, sent, &entry.owner);
            }
        }
    }

    /// Extends the recorded end of a grant's lease: the lease counts from the latest
    /// time at which the target may have received the grant, i.e. when it was answered
    /// or timed out.
    fn record_lease(
        &mut self,
        now: clock::Millis,
        call: &super::Call,
        reply: &super::OrderOutcome,
    ) {
        let (Some(lease), Some(_)) = (call.lease, call.sent) else {
            return;
        };
        let in_flight = match reply {
            super::OrderOutcome::ConnectionRefused => return,
            super::OrderOutcome::Unanswered | super::OrderOutcome::Unclear => {
                super::IN_FLIGHT_MARGIN_MS
            }
            super::OrderOutcome::Done(_)
            | super::OrderOutcome::Fenced
            | super::OrderOutcome::Rejected => 0,
        };
        let (service, range, _) = &call.id;
        let key = (service.clone(), call.owner.clone(), *range);
        let until = now + (super::max_hold_ms(lease) - super::IN_FLIGHT_MARGIN_MS + in_flight);
        let end = self.lease_ends.entry(key).or_default();
        *end = (*end).max(until);
    }

    /// Records a failed order, sent at `sent`, and returns the owner's failures.
    pub(super) fn record_failure(
        &mut self,
        now: clock::Millis,
        sent: clock::Millis,
        owner: &keys::Owner,
    ) -> &mut super::failures::Failures {
        let failures = self
            .failures
            .entry(owner.clone())
            .or_insert(super::failures::Failures {
                first_sent: sent,
                first_failed: now,
                last_failed: now,
                repeated: false,
                refused: false,
            });
        self.dirty = true;
        failures.last_failed = now;
        failures.repeated |= sent >= failures.first_failed;
        failures
    }

    /// Returns when all leases that `owner`'s target may hold on keys of `range` have ended,
    /// in whichever of its incarnations.
    pub(super) fn free_at(
        &self,
        service: &model::ServiceName,
        owner: &keys::Owner,
        range: adapter::KeyRange,
    ) -> clock::Millis {
        let leases = self.lease_ends.iter().filter(|((of, by, leased), _)| {
            let overlap = leased.first <= range.last && range.first <= leased.last;
            of == service && by.target == owner.target && overlap
        });
        let own = leases.map(|(_, until)| *until).max().unwrap_or_default();
        own.max(self.earlier_until())
    }

    /// Returns until when targets other than the run's owner may hold its keys through
    /// grants of this daemon.
    pub(super) fn others_until(
        &self,
        service: &model::ServiceName,
        run: &keys::Run,
    ) -> clock::Millis {
        let keeper = run.owner.as_ref().map(|owner| &owner.target);
        let leases = self.lease_ends.iter().filter(|((of, by, leased), _)| {
            let overlap = leased.first <= run.range.last && run.range.first <= leased.last;
            of == service && Some(&by.target) != keeper && overlap
        });
        leases.map(|(_, until)| *until).max().unwrap_or_default()
    }

    /// Returns until when extended leases of earlier coordinators may last.
    pub(super) fn extended_until(&self) -> clock::Millis {
        let worst = self.earlier_leases.unwrap_or_default();
        let quorums = self.earlier_quorums.iter().map(|earlier| earlier.latest);
        let bounds = quorums.chain([self.acknowledgements.bound()]);
        let latest: Option<Vec<_>> = bounds.collect();
        match latest.and_then(|latest| latest.into_iter().max()) {
            // A coordinator whose outage was acknowledged may act until its authority ends.
            Some(latest) => {
                let sent = latest + (super::AUTHORITY_MS - super::OUTAGE_TIMEOUT_MS);
                worst.min(sent + super::max_earlier_hold_ms(self.max_lease))
            }
            None => worst,
        }
    }

    /// Returns until when normal leases of earlier coordinators may last.
    pub(super) fn normal_until(&self) -> clock::Millis {
        let worst = self.earlier_leases.unwrap_or_default();
        let hold = super::max_earlier_hold_ms(self.normal_lease());
        worst.min(self.term_start + super::AUTHORITY_MS + hold)
    }

    /// Returns until when leases of earlier coordinators may last.
    pub(super) fn earlier_until(&self) -> clock::Millis {
        self.normal_until().max(self.extended_until())
    }

    /// Returns whether grants get extended leases: the log is unavailable, and a
    /// majority of the daemons has acknowledged it.
    fn may_extend(&self, now: clock::Millis) -> bool {
        let confirmed = self.log.confirmed.unwrap_or_default();
        now.since(confirmed) >= super::OUTAGE_TIMEOUT_MS
            && self.acknowledgements.may_acknowledge(now)
            && self
                .acknowledgements
                .has_majority(confirmed.0, &self.host, &self.voters())
    }

    /// Returns until when grants that `owner` may apply after a release can still give
    /// it keys of `range`.
    pub(super) fn uncertain_until(
        &self,
        service: &model::ServiceName,
        owner: &keys::Owner,
        range: adapter::KeyRange,
    ) -> clock::Millis {
        let overlaps =
            |leased: adapter::KeyRange| leased.first <= range.last && range.first <= leased.last;
        let grants = self.uncertain.iter().filter(|grant| {
            grant.service == *service && grant.owner.target == owner.target && overlaps(grant.range)
        });
        let calls = self.calls.values().filter_map(|call| {
            let (of, leased, _) = &call.id;
            let found = of == service && call.owner.target == owner.target && overlaps(*leased);
            let lease = call.lease.filter(|_| found)?;
            call.sent.map(|sent| sent + super::max_hold_ms(lease))
        });
        let last = grants.map(|grant| grant.until).chain(calls).max();
        last.unwrap_or_default()
    }

    /// Returns whether a grant of keys of `range` to `owner` was sent and is not answered.
    fn is_granting(
        &self,
        service: &model::ServiceName,
        owner: &keys::Owner,
        range: adapter::KeyRange,
    ) -> bool {
        self.calls.values().any(|call| {
            let (of, leased, _) = &call.id;
            let overlap = leased.first <= range.last && range.first <= leased.last;
            of == service
                && call.owner.target == owner.target
                && overlap
                && call.lease.is_some()
                && call.sent.is_some()
        })
    }

    /// Returns whether a release of keys of `grant` was sent to its owner after the grant.
    fn was_released_since(&self, grant: &super::Call) -> bool {
        let (service, range, _) = &grant.id;
        let concerns = |(of, other, _): &super::RunId| {
            of == service && other.first <= range.last && range.first <= other.last
        };
        let mut calls = self.calls.values();
        let sent = calls.any(|call| {
            call.lease.is_none()
                && call.owner.target == grant.owner.target
                && concerns(&call.id)
                && call.sent >= grant.sent
        });
        let mut orders = self.orders.iter();
        sent || orders.any(|(id, order)| concerns(id) && order.released >= grant.sent)
    }

    /// Returns from when `owner`, which answered a release at `released`, can no longer
    /// hold keys of `range`.
    ///
    /// Grants of an earlier coordinator may be unanswered as well. They arrived before the
    /// release, or else the target refused them.
    pub(super) fn free_after_release(
        &self,
        service: &model::ServiceName,
        owner: &keys::Owner,
        range: adapter::KeyRange,
        released: clock::Millis,
    ) -> clock::Millis {
        let normal = released + super::max_hold_ms(self.normal_lease());
        let extended = released + super::max_hold_ms(self.max_lease);
        let earlier = self.normal_until().min(normal);
        let earlier = earlier.max(self.extended_until().min(extended));
        self.uncertain_until(service, owner, range).max(earlier)
    }

    /// Returns the incarnation of `owner`'s target that the list shows if it is newer, else
    /// `owner`.
    fn latest(&self, service: &model::ServiceName, owner: &keys::Owner) -> keys::Owner {
        let member = self.members.get(&(service.clone(), owner.target.clone()));
        let newer = member.filter(|member| member.owner.birth > owner.birth);
        newer.map_or(owner, |member| &member.owner).clone()
    }

    /// Adds the orders that are due to `actions`.
    pub(super) fn issue_orders(&mut self, now: clock::Millis, actions: &mut Vec<super::Action>) {
        let extended = self.may_extend(now);
        if now < self.next_order && extended == self.extended {
            return;
        }
        let Some(table) = self.log.table.take() else {
            return;
        };
        self.extended = extended;
        self.next_order = now + super::MAX_POLL_INTERVAL_MS;
        self.uncertain.retain(|grant| grant.until > now);
        for (service, runs) in &table.services {
            for run in runs {
                actions.extend(self.issue_order(now, service, run, extended));
            }
        }
        self.log.table = Some(table);
    }

    /// Returns the order that is due for a run, if there is one: a release to the
    /// previous owner until that holds no keys, then grants to the owner.
    pub(super) fn issue_order(
        &mut self,
        now: clock::Millis,
        service: &model::ServiceName,
        run: &keys::Run,
        extended: bool,
    ) -> Option<super::Action> {
        if self.is_unverified(run) {
            return None;
        }
        let id = (service.clone(), run.range, run.fence);
        let mut order = self.orders.get(&id)?.clone();
        let free = match (&run.previous_owner, order.released) {
            (Some(prior), Some(released)) => {
                Some(self.free_after_release(service, prior, run.range, released))
            }
            _ => None,
        };
        let released = free.filter(|at| now >= *at);
        if let (Some(prior), None) = (&run.previous_owner, order.prior_free)
            && let Some(evidence) = match now >= self.free_at(service, prior, run.range) {
                true => Some(super::Evidence::LeaseEnded),
                false => released.map(|_| super::Evidence::Released),
            }
        {
            self.freed.push(super::Freed {
                service: service.clone(),
                owner: prior.clone(),
                keys: run.range.len(),
                fence: run.fence,
                evidence,
            });
            order.prior_free = Some(now);
            self.cleanup.get_or_insert(now + super::CLEANUP_DELAY_MS);
            self.dirty = true;
            order.call = None;
            order.next_send = now;
        }
        let releasing = run.previous_owner.is_some() && order.prior_free.is_none();
        if let (true, Some(at)) = (releasing, free) {
            self.next_order = self.next_order.min(at);
            self.orders.insert(id, order);
            return None;
        }
        let extend = extended && !order.extended && !releasing;
        if !extended {
            order.extended = false;
        }
        // The answer to a grant that was sent before the release shows that the grant was
        // applied before it. Without it, the keys would have to wait for the grant's lease.
        let prior = run.previous_owner.as_ref().filter(|_| releasing);
        let awaited = prior.is_some_and(|prior| self.is_granting(service, prior, run.range));
        let due = (order.call.is_none() && now >= order.next_send && !awaited) || extend;
        let owner = match (&run.previous_owner, releasing) {
            (Some(prior), true) => Some(self.latest(service, prior)),
            _ => run.owner.clone(),
        };
        let blocked = !releasing && now < self.grants_from;
        let action = match owner {
            Some(owner) if due && !blocked => {
                self.last_call += 1;
                order.call = Some(self.last_call);
                order.next_send = now + super::RENEWAL_INTERVAL_MS;
                order.extended = extended && !releasing;
                let lease = if extended {
                    self.max_lease
                } else {
                    self.normal_lease()
                };
                let call = super::Call {
                    id: id.clone(),
                    owner: owner.clone(),
                    lease: (!releasing).then_some(lease),
                    sent: None,
                };
                Some(self.build_order(call, order.handover.clone()))
            }
            _ => None,
        };
        // The answer to an awaited grant makes orders due.
        if order.call.is_none() && !awaited {
            let next = if blocked {
                self.grants_from
            } else {
                order.next_send
            };
            self.next_order = self.next_order.min(next);
        }
        if let (Some(prior), None) = (&run.previous_owner, order.prior_free) {
            self.next_order = self.next_order.min(self.free_at(service, prior, run.range));
        }
        self.orders.insert(id, order);
        action
    }

    /// Registers a call and returns the order that it stands for.
    pub(super) fn build_order(
        &mut self,
        call: super::Call,
        handover: Option<Arc<str>>,
    ) -> super::Action {
        let (service, range, fence) = call.id.clone();
        let owner = call.owner.clone();
        let lease = call.lease;
        self.calls.insert(self.last_call, call);
        match lease {
            Some(lease) => super::Action::Grant {
                call: self.last_call,
                service,
                owner,
                grant: adapter::Grant {
                    range,
                    fence,
                    lease_ms: lease,
                    handover,
                },
            },
            None => super::Action::Release {
                call: self.last_call,
                service,
                owner,
                release: adapter::Release { range, fence },
            },
        }
    }
}

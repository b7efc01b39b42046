//! Changes of the key table.

use super::balance;
use super::plan;
use crate::clock;
use crate::gateway::keys;
use crate::model;

impl super::Coordinator {
    /// Returns the table with changes that are due, if there are any.
    pub(super) fn next_table(&mut self, now: clock::Millis) -> Option<keys::Table> {
        if !self.may_append(now) || !self.may_act(now) {
            return None;
        }
        let batch = now >= self.next_batch;
        let cleanup = self.cleanup.is_some_and(|at| now >= at);
        let verify = self.log.unverified && now >= self.earlier_until();
        let change = self.is_change_due(now);
        if !(batch || cleanup || verify || change || self.dirty) {
            return None;
        }
        let mut table = self.log.table.clone()?;
        if batch {
            self.next_batch = now + super::BATCH_INTERVAL_MS;
        }
        self.dirty = self.revise(now, &mut table, batch);
        self.set_quorums(now, &mut table);
        (self.dirty || cleanup || change).then_some(table)
    }

    /// Applies all changes that are due to the table, including a batch of moves for
    /// balance if `batch` is set. Returns whether an owner or a fence changed, so that
    /// the table has to be appended now.
    pub(super) fn revise(&self, now: clock::Millis, table: &mut keys::Table, batch: bool) -> bool {
        let fence = self.log.end.map_or(0, |end| end.0 + 1);
        let mut urgent = false;
        for service in self.services.keys() {
            let runs = table.services.entry(service.clone());
            let runs = runs.or_insert_with(|| vec![keys::Run::unowned()]);
            self.clear_priors(service, runs);
            urgent |= self.verify(now, service, runs, fence);
            urgent |= self.renew_fences(now, service, runs, fence);
            let moves = self.plan_moves(now, service, runs, batch);
            urgent |= !moves.is_empty();
            for change in moves {
                keys::edit(runs, change.range, |run| {
                    run.previous_owner = self.previous_owner(now, service, run);
                    run.owner = Some(change.owner.clone());
                    run.fence = fence;
                });
            }
        }
        for (service, runs) in &mut table.services {
            if urgent {
                self.unify_fences(now, service, runs, fence);
            }
            keys::merge(runs);
        }
        urgent
    }

    /// Gives runs of earlier eras of the log a fence of the present one, once no other target
    /// can hold their keys through leases by lost records. Returns whether a run changed.
    fn verify(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        runs: &mut [keys::Run],
        fence: u64,
    ) -> bool {
        if now < self.earlier_until() {
            return false;
        }
        let mut changed = false;
        for run in runs.iter_mut().filter(|run| self.is_unverified(run)) {
            if now >= self.others_until(service, run) {
                run.fence = fence;
                run.previous_owner = None;
                changed = true;
            }
        }
        changed
    }

    /// Gives neighbouring runs of one owner the same fence, so that they merge. Runs
    /// with an order in flight are not changed.
    fn unify_fences(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        runs: &mut [keys::Run],
        fence: u64,
    ) {
        let stable = |run: &keys::Run| {
            let order = self.orders.get(&(service.clone(), run.range, run.fence));
            let owner = run.owner.as_ref();
            run.previous_owner.is_none()
                && !self.is_unverified(run)
                && order.is_some_and(|order| order.call.is_none())
                && owner.is_some_and(|owner| {
                    matches!(
                        self.owner_state(now, service, owner),
                        super::OwnerState::Ready
                    )
                })
        };
        let stable: Vec<bool> = runs.iter().map(stable).collect();
        for i in 1..runs.len() {
            if stable[i - 1] && stable[i] && runs[i - 1].owner == runs[i].owner {
                runs[i - 1].fence = fence;
                runs[i].fence = fence;
            }
        }
    }

    /// Returns the owner that has to release the run's keys before another gets them.
    pub(super) fn previous_owner(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        run: &keys::Run,
    ) -> Option<keys::Owner> {
        let owner = run.owner.clone()?;
        match self.owner_state(now, service, &owner) {
            // The new process may hold keys as well: an order names the target and not its
            // birth, so that it may have accepted a grant meant for the former process.
            super::OwnerState::Restarted(new) => Some(new),
            super::OwnerState::Ready
            | super::OwnerState::Retaining
            | super::OwnerState::Draining => Some(owner),
        }
    }

    /// Removes previous owners that no longer hold keys of their runs.
    pub(super) fn clear_priors(&self, service: &model::ServiceName, runs: &mut [keys::Run]) {
        for run in runs {
            let order = self.orders.get(&(service.clone(), run.range, run.fence));
            if order.is_some_and(|order| order.prior_free.is_some()) {
                run.previous_owner = None;
            }
        }
    }

    /// Renews the fences of runs whose owner has restarted or refused the fence.
    /// Returns whether a run changed.
    pub(super) fn renew_fences(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        runs: &mut [keys::Run],
        fence: u64,
    ) -> bool {
        let mut changed = false;
        let settled =
            |run: &&mut keys::Run| run.previous_owner.is_none() && !self.is_unverified(run);
        for run in runs.iter_mut().filter(settled) {
            let Some(owner) = &run.owner else {
                continue;
            };
            let order = self.orders.get(&(service.clone(), run.range, run.fence));
            let fenced = order.is_some_and(|order| order.fenced);
            match self.owner_state(now, service, owner) {
                super::OwnerState::Restarted(new) if self.is_candidate(service, &new) => {
                    run.owner = Some(new);
                }
                _ if fenced => {}
                _ => continue,
            }
            run.fence = fence;
            changed = true;
        }
        changed
    }

    /// Returns the moves of a service's keys that are due; those for balance only if
    /// `batch` is set.
    pub(super) fn plan_moves(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        runs: &[keys::Run],
        batch: bool,
    ) -> Vec<plan::Move> {
        let segments: Vec<plan::Segment> = runs
            .iter()
            .map(|run| plan::Segment {
                range: run.range,
                owner: run.owner.clone(),
                mobility: self.mobility(now, service, run, batch),
            })
            .collect();
        let required = segments
            .iter()
            .any(|segment| segment.mobility == plan::Mobility::Required);
        if !required && !batch {
            return Vec::new();
        }
        let targets = self.candidates(service);
        if targets.is_empty() {
            return Vec::new();
        }
        let figures = self.loads.iter().filter(|((_, of), _)| of == service);
        let work = plan::Work::new(figures.flat_map(|(_, load)| load.figures()));
        if required {
            return plan::place(&segments, &targets, &work);
        }
        // Moves for balance wait until the leases of earlier coordinators have ended, so that
        // the keys can be granted as soon as they are released.
        let ended = now >= self.earlier_until();
        if !ended || targets.iter().any(|target| !self.is_warm(service, target)) {
            return Vec::new();
        }
        let filled = plan::fill(&segments, &targets, &work);
        if filled.is_empty() {
            let settled = !self.moved.iter().any(|(of, ..)| of == service);
            return balance::balance(&segments, &targets, &work, settled);
        }
        filled
    }

    /// Returns whether a run may move.
    pub(super) fn mobility(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        run: &keys::Run,
        batch: bool,
    ) -> plan::Mobility {
        if self.is_unverified(run) {
            return plan::Mobility::Forbidden;
        }
        let Some(owner) = &run.owner else {
            return plan::Mobility::Required;
        };
        if run.previous_owner.is_some() {
            return plan::Mobility::Forbidden;
        }
        // The cooldown matters only for moves for balance.
        let cooling = batch
            && self.moved.iter().any(|(of, range, _)| {
                of == service && range.first <= run.range.last && run.range.first <= range.last
            });
        match self.owner_state(now, service, owner) {
            super::OwnerState::Ready if !cooling => plan::Mobility::Allowed,
            super::OwnerState::Ready | super::OwnerState::Retaining => plan::Mobility::Forbidden,
            super::OwnerState::Draining => plan::Mobility::Required,
            // If the target may get keys, the run already has the new incarnation.
            super::OwnerState::Restarted(_) => plan::Mobility::Required,
        }
    }

    /// Returns the availability of an owner.
    pub(super) fn owner_state(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        owner: &keys::Owner,
    ) -> super::OwnerState {
        let failures = self.failures.get(owner);
        let member = self.members.get(&(service.clone(), owner.target.clone()));
        match member {
            Some(member) if member.owner.birth > owner.birth => {
                super::OwnerState::Restarted(member.owner.clone())
            }
            _ if failures.is_some_and(super::failures::Failures::is_ejected) => {
                super::OwnerState::Draining
            }
            Some(member) if member.owner.birth < owner.birth => super::OwnerState::Retaining,
            None if now.since(self.term_start) < super::LIST_LAG_MS => super::OwnerState::Retaining,
            Some(member) if self.is_allowed(member) => match member.state {
                super::MemberState::Ready => super::OwnerState::Ready,
                super::MemberState::Cold => super::OwnerState::Retaining,
                super::MemberState::Draining | super::MemberState::Unlisted => {
                    super::OwnerState::Draining
                }
            },
            Some(_) | None => super::OwnerState::Draining,
        }
    }

    pub(super) fn is_allowed(&self, member: &super::Member) -> bool {
        match self.services.get(&member.service) {
            Some(Some(domains)) => domains.contains(&member.domain),
            Some(None) | None => true,
        }
    }

    pub(super) fn is_warm(&self, service: &model::ServiceName, target: &plan::Target) -> bool {
        let key = (service.clone(), target.owner.target.clone());
        let member = self.members.get(&key);
        member.is_some_and(|member| member.state == super::MemberState::Ready)
    }

    fn is_candidate(&self, service: &model::ServiceName, owner: &keys::Owner) -> bool {
        self.candidates(service)
            .iter()
            .any(|target| target.owner == *owner)
    }

    /// Returns the targets that may get keys: the ready ones, or the cold ones
    /// if none is ready.
    pub(super) fn candidates(&self, service: &model::ServiceName) -> Vec<plan::Target> {
        let in_state = |state: super::MemberState| -> Vec<plan::Target> {
            let members = self.members.values().filter(|member| {
                let matches = member.service == *service && member.state == state;
                let failures = self.failures.get(&member.owner);
                matches
                    && self.is_allowed(member)
                    && !failures.is_some_and(super::failures::Failures::is_ejected)
            });
            let targets = members.map(|member| plan::Target {
                owner: member.owner.clone(),
                weight: member.weight,
            });
            targets.collect()
        };
        let ready = in_state(super::MemberState::Ready);
        if ready.is_empty() {
            in_state(super::MemberState::Cold)
        } else {
            ready
        }
    }
}

//! Changes of the table.

use super::balance;
use super::plan;
use crate::clock;
use crate::gateway::keys;
use crate::model;

impl super::Steward {
    /// Returns the table with changes that are due, if there are any.
    pub(super) fn next_table(&mut self, now: clock::Millis) -> Option<keys::Table> {
        if !self.may_append(now) || !self.may_act(now) {
            return None;
        }
        let batch = now >= self.batch;
        let tidy = self.tidy.is_some_and(|at| now >= at);
        if !(batch || tidy || self.dirty) {
            return None;
        }
        let mut table = self.log.table.clone()?;
        if batch {
            self.batch = now + super::BATCH;
        }
        self.dirty = self.revise(now, &mut table, batch);
        (self.dirty || tidy).then_some(table)
    }

    /// Applies all changes that are due to the table; says whether one can't wait.
    pub(super) fn revise(&self, now: clock::Millis, table: &mut keys::Table, batch: bool) -> bool {
        let fence = self.log.end.map_or(0, |end| end.0 + 1);
        let mut urgent = false;
        for service in self.services.keys() {
            let runs = table.services.entry(service.clone());
            let runs = runs.or_insert_with(|| vec![keys::Run::unowned()]);
            self.clear(service, runs);
            urgent |= self.renew_fences(now, service, runs, fence);
            let moves = self.moves(now, service, runs, batch);
            urgent |= !moves.is_empty();
            for step in moves {
                keys::edit(runs, step.range, |run| {
                    run.prior = self.prior(now, service, run);
                    run.owner = Some(step.owner.clone());
                    run.fence = fence;
                });
            }
        }
        for (service, runs) in &mut table.services {
            if urgent {
                self.unite(now, service, runs, fence);
            }
            keys::merge(runs);
        }
        urgent
    }

    /// Gives neighbours of one owner the same fence, so that they merge. Runs
    /// with an order under way are left alone.
    fn unite(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        runs: &mut [keys::Run],
        fence: u64,
    ) {
        let calm = |run: &keys::Run| {
            let order = self.orders.get(&(service.clone(), run.range, run.fence));
            let owner = run.owner.as_ref();
            run.prior.is_none()
                && order.is_some_and(|order| order.call.is_none())
                && owner.is_some_and(|owner| {
                    matches!(self.standing(now, service, owner), super::Standing::Ready)
                })
        };
        let calm: Vec<bool> = runs.iter().map(calm).collect();
        for i in 1..runs.len() {
            if calm[i - 1] && calm[i] && runs[i - 1].owner == runs[i].owner {
                runs[i - 1].fence = fence;
                runs[i].fence = fence;
            }
        }
    }

    /// Returns the owner to ask before the run's keys are given to another.
    pub(super) fn prior(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        run: &keys::Run,
    ) -> Option<keys::Owner> {
        let owner = run.owner.clone()?;
        match self.standing(now, service, &owner) {
            super::Standing::Lost | super::Standing::Reborn(_) => None,
            super::Standing::Ready | super::Standing::Stays | super::Standing::Leaves => {
                Some(owner)
            }
        }
    }

    /// Clears previous owners that hold nothing any more.
    pub(super) fn clear(&self, service: &model::ServiceName, runs: &mut [keys::Run]) {
        for run in runs {
            let order = self.orders.get(&(service.clone(), run.range, run.fence));
            if order.is_some_and(|order| order.settled.is_some()) {
                run.prior = None;
            }
        }
    }

    /// Gives new fences to targets with a new birth and to those that refused one.
    pub(super) fn renew_fences(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        runs: &mut [keys::Run],
        fence: u64,
    ) -> bool {
        let mut changed = false;
        for run in runs.iter_mut().filter(|run| run.prior.is_none()) {
            let Some(owner) = &run.owner else {
                continue;
            };
            let order = self.orders.get(&(service.clone(), run.range, run.fence));
            let fenced = order.is_some_and(|order| order.fenced);
            match self.standing(now, service, owner) {
                super::Standing::Reborn(new) if self.has_seat(service, &new) => {
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

    pub(super) fn moves(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        runs: &[keys::Run],
        batch: bool,
    ) -> Vec<plan::Move> {
        let pieces: Vec<plan::Piece> = runs
            .iter()
            .map(|run| plan::Piece {
                range: run.range,
                owner: run.owner.clone(),
                bond: self.bond(now, service, run, batch),
            })
            .collect();
        let loose = pieces.iter().any(|piece| piece.bond == plan::Bond::Loose);
        if !loose && !batch {
            return Vec::new();
        }
        let seats = self.seats(service);
        if seats.is_empty() {
            return Vec::new();
        }
        let figures = self.loads.iter().filter(|((_, of), _)| of == service);
        let work = plan::Work::new(figures.flat_map(|(_, load)| load.figures()));
        if loose {
            return plan::place(&pieces, &seats, &work);
        }
        // A move that can wait begins once its keys can be granted when they are
        // released: leases of earlier stewards have ended.
        let settled = now >= self.foreign_until();
        if !settled || seats.iter().any(|seat| !self.is_warm(service, seat)) {
            return Vec::new();
        }
        let joined = plan::join(&pieces, &seats, &work);
        if joined.is_empty() {
            let settled = !self.moved.iter().any(|(of, ..)| of == service);
            return balance::balance(&pieces, &seats, &work, settled);
        }
        joined
    }

    pub(super) fn bond(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        run: &keys::Run,
        batch: bool,
    ) -> plan::Bond {
        let Some(owner) = &run.owner else {
            return plan::Bond::Loose;
        };
        if run.prior.is_some() {
            return plan::Bond::Fixed;
        }
        // Which runs rest matters only for batches.
        let rests = batch
            && self.moved.iter().any(|(of, range, _)| {
                of == service && range.first <= run.range.last && run.range.first <= range.last
            });
        match self.standing(now, service, owner) {
            super::Standing::Ready if !rests => plan::Bond::Free,
            super::Standing::Ready | super::Standing::Stays => plan::Bond::Fixed,
            super::Standing::Leaves | super::Standing::Lost => plan::Bond::Loose,
            // A run that could be given to the same target has the new birth by now.
            super::Standing::Reborn(_) => plan::Bond::Loose,
        }
    }

    pub(super) fn standing(
        &self,
        now: clock::Millis,
        service: &model::ServiceName,
        owner: &keys::Owner,
    ) -> super::Standing {
        let quiet = self.quiet.get(owner);
        let member = self.members.get(&(service.clone(), owner.target.clone()));
        match member {
            Some(member) if member.owner.birth > owner.birth => {
                super::Standing::Reborn(member.owner.clone())
            }
            _ if quiet.is_some_and(|quiet| quiet.refusal == super::quiet::Refusal::Ended) => {
                super::Standing::Lost
            }
            _ if quiet.is_some_and(super::quiet::Quiet::is_avoided) => super::Standing::Leaves,
            Some(member) if member.owner.birth < owner.birth => super::Standing::Stays,
            None if now.since(self.term) < super::LAG => super::Standing::Stays,
            Some(member) if self.is_allowed(member) => match member.state {
                super::MemberState::Ready => super::Standing::Ready,
                super::MemberState::Cold => super::Standing::Stays,
                super::MemberState::Leaving | super::MemberState::Gone => super::Standing::Leaves,
            },
            Some(_) | None => super::Standing::Leaves,
        }
    }

    pub(super) fn is_allowed(&self, member: &super::Member) -> bool {
        match self.services.get(&member.service) {
            Some(Some(domains)) => domains.contains(&member.domain),
            Some(None) | None => true,
        }
    }

    pub(super) fn is_warm(&self, service: &model::ServiceName, seat: &plan::Seat) -> bool {
        let key = (service.clone(), seat.owner.target.clone());
        let member = self.members.get(&key);
        member.is_some_and(|member| member.state == super::MemberState::Ready)
    }

    fn has_seat(&self, service: &model::ServiceName, owner: &keys::Owner) -> bool {
        self.seats(service).iter().any(|seat| seat.owner == *owner)
    }

    /// Returns the targets that may get keys: the ready ones, or the cold ones
    /// if none is ready.
    pub(super) fn seats(&self, service: &model::ServiceName) -> Vec<plan::Seat> {
        let in_state = |state: super::MemberState| -> Vec<plan::Seat> {
            let members = self.members.values().filter(|member| {
                let fits = member.service == *service && member.state == state;
                let quiet = self.quiet.get(&member.owner);
                fits && self.is_allowed(member)
                    && !quiet.is_some_and(super::quiet::Quiet::is_avoided)
            });
            let seats = members.map(|member| plan::Seat {
                owner: member.owner.clone(),
                weight: member.weight,
            });
            seats.collect()
        };
        let ready = in_state(super::MemberState::Ready);
        if ready.is_empty() {
            in_state(super::MemberState::Cold)
        } else {
            ready
        }
    }
}

//! Admission decisions, with the time as an argument.

use std::sync::Arc;
use std::time::Duration;

use crate::clock;
use crate::model;
use crate::target::admission::blocks::{Blocked, GivenUp, Running};
use crate::target::admission::lanes::{QueuedRequest, TenantQueues};
use crate::target::admission::service::ServiceTime;
use crate::target::admission::{Block, Limits, Outcome, Place, Refused, Ticket};
use crate::target::control;

/// Limit for a target that is or may be cold, in concurrent requests.
pub const COLD_LIMIT: u32 = 1;

/// Immediate result of [`Core::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The request may be sent to the target.
    Admitted(Ticket),
    /// The request waits; an [`Event`] reports the decision, unless it is withdrawn.
    Queued(Ticket),
}

/// Decisions on waiting requests, and completed drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The waiting request may be sent now.
    Admitted(Ticket),
    /// The waiting request is refused.
    Refused(Ticket, Refused),
    /// The last request on the shards of this block has ended.
    Drained(Block),
    /// The target is closed and its last request has ended.
    Idle,
}

/// Minimum time from giving up a request to the arrival of a load report that
/// covers it, in milliseconds: no call that returns a report takes longer.
const MIN_REPORT_AGE_MS: u64 = control::CALL_TIMEOUT_MS;

/// Requests that the target still runs for an earlier holder.
#[derive(Clone, Copy, Debug, Default)]
struct InheritedRequests {
    count: u32,
    until: clock::Millis,
}

/// Admission state of one target.
#[derive(Debug)]
pub struct Core {
    limits: Limits,
    limit: u32,
    successes: u32,
    generation: u64,
    running: Vec<Running>,
    inherited: InheritedRequests,
    queues: TenantQueues,
    blocks: Vec<Blocked>,
    closed: bool,
    service_time: ServiceTime,
    last_number: u64,
    events: Vec<Event>,
}

impl Core {
    /// Returns the state for a target of unknown state, which starts at [`COLD_LIMIT`].
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            limit: COLD_LIMIT,
            successes: 0,
            generation: 0,
            running: Vec::new(),
            inherited: InheritedRequests::default(),
            queues: TenantQueues::default(),
            blocks: Vec::new(),
            closed: false,
            service_time: ServiceTime::default(),
            last_number: 0,
            events: Vec::new(),
        }
    }

    /// Admits or queues a request of `tenant` for `place`.
    ///
    /// # Errors
    /// Returns the reason why the request must not run.
    pub fn offer(
        &mut self,
        now: clock::Millis,
        tenant: u64,
        place: Option<Place>,
        deadline: clock::Millis,
    ) -> Result<Offer, Refused> {
        if self.closed {
            return Err(Refused::Closed);
        }
        if self.is_blocked(place.as_ref()) {
            return Err(Refused::Moving);
        }
        if deadline <= now {
            return Err(Refused::Deadline);
        }
        self.serve(now);
        self.last_number += 1;
        let ticket = Ticket(self.last_number);
        if self.queues.is_empty() && self.has_free_slot() {
            self.start(ticket, place);
            return Ok(Offer::Admitted(ticket));
        }
        self.queue(
            now,
            QueuedRequest {
                ticket,
                tenant,
                place,
                deadline,
            },
        )?;
        Ok(Offer::Queued(ticket))
    }

    fn queue(&mut self, now: clock::Millis, waiting: QueuedRequest) -> Result<(), Refused> {
        let wait = self.wait_for(waiting.tenant);
        if !self
            .service_time
            .can_finish_after(wait, now, waiting.deadline)
        {
            return Err(Refused::Overloaded { after_ms: wait });
        }
        if self.queues.len() >= self.limits.queue {
            let evicted = self.queues.evict_for(waiting.tenant);
            let evicted = evicted.ok_or(Refused::QueueFull)?;
            let event = Event::Refused(evicted.ticket, Refused::QueueFull);
            self.events.push(event);
        }
        self.queues.push(waiting);
        Ok(())
    }

    /// Returns the estimated waiting time of a new request of `tenant`, in milliseconds.
    pub fn wait_for(&self, tenant: u64) -> u64 {
        let position = self.queues.count_ahead(tenant) + 1;
        (position as f64 / f64::from(self.limit) * self.service_time.mean()) as u64
    }

    /// Removes a request from the queue and returns whether it was waiting.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        let removed = self.queues.remove_if(|waiting| waiting.ticket == ticket);
        !removed.is_empty()
    }

    /// Ends a running request and adjusts the limit by its result.
    pub fn finish(
        &mut self,
        now: clock::Millis,
        ticket: Ticket,
        outcome: Outcome,
        elapsed: Duration,
    ) {
        let Some(run) = self.remove(ticket) else {
            return;
        };
        match outcome {
            Outcome::Success => self.succeed(run.generation, elapsed),
            Outcome::Cold => {
                self.service_time.add(elapsed);
                self.cool();
            }
            Outcome::Shed | Outcome::Refused => self.cool(),
            Outcome::Failed => {}
        }
        self.report_drained(&run);
        self.serve(now);
    }

    /// Marks a running request as given up, with an unknown result.
    ///
    /// It keeps its slot and counts for blocks until [`Core::settle`] is called,
    /// a load report shows that the target runs nothing, the target restarts, or
    /// `until` is reached.
    pub fn give_up(&mut self, now: clock::Millis, ticket: Ticket, until: clock::Millis) {
        let mut running = self.running.iter_mut();
        if let Some(run) = running.find(|run| run.ticket == ticket) {
            run.given_up = Some(GivenUp { since: now, until });
        }
    }

    /// Frees the slot of a request that was given up. Called once the target has
    /// confirmed that it does not run the request.
    pub fn settle(&mut self, now: clock::Millis, ticket: Ticket) {
        self.free_if(|run| run.ticket == ticket && run.given_up.is_some());
        self.serve(now);
    }

    fn free_if(&mut self, ended: impl Fn(&Running) -> bool) {
        let ended: Vec<_> = self.running.extract_if(.., |run| ended(run)).collect();
        for run in &ended {
            self.report_drained(run);
        }
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Running> {
        let index = self.running.iter().position(|run| run.ticket == ticket)?;
        Some(self.running.swap_remove(index))
    }

    fn succeed(&mut self, generation: u64, elapsed: Duration) {
        self.service_time.add(elapsed);
        // Requests admitted before the last reset don't show what the target can serve now.
        if generation != self.generation {
            return;
        }
        self.successes += 1;
        if self.successes >= self.limits.concurrency {
            self.successes = 0;
            self.limit = self.limit.saturating_mul(2).min(self.max_limit());
        }
    }

    /// Resets the limit to [`COLD_LIMIT`].
    pub fn cool(&mut self) {
        self.limit = COLD_LIMIT;
        self.successes = 0;
        self.generation += 1;
    }

    /// Handles a restart of the target: it is cold and runs no earlier request.
    pub fn restart(&mut self, now: clock::Millis) {
        self.cool();
        self.inherited.count = 0;
        self.free_if(|run| run.given_up.is_some());
        self.serve(now);
    }

    /// Takes over a target from an earlier holder, with `active` running requests.
    ///
    /// They count against the limit until reports show that they have ended, or
    /// until `until`. A warm target may run one request more than it reports, so
    /// that a single long request does not block all others.
    pub fn take_over(&mut self, now: clock::Millis, active: u32, warm: bool, until: clock::Millis) {
        self.cool();
        self.inherited = InheritedRequests {
            count: active,
            until,
        };
        if warm {
            self.limit = active.saturating_add(1).min(self.max_limit());
        }
        self.serve(now);
    }

    /// Processes a load report of the target. `active` includes this holder's requests.
    ///
    /// With 0 `active` requests, those given up at least `MIN_REPORT_AGE_MS`
    /// before have ended. Any other number does not show which ones have.
    pub fn report(&mut self, now: clock::Millis, active: u32, cold: bool) {
        self.inherited.count = self.inherited.count.min(active);
        if active == 0 {
            let report_covers = |given_up: GivenUp| now.since(given_up.since) >= MIN_REPORT_AGE_MS;
            self.free_if(|run| run.given_up.is_some_and(report_covers));
        }
        if cold {
            self.cool();
        }
        self.serve(now);
    }

    /// Replaces the configured limits.
    pub fn set_limits(&mut self, now: clock::Millis, limits: Limits) {
        self.limits = limits;
        self.limit = self.limit.min(self.max_limit());
        self.serve(now);
    }

    /// Refuses new and waiting requests for `shards` until [`Core::unblock`] is called.
    pub fn block(&mut self, group: &model::GroupId, shards: &model::ShardSet) -> Block {
        self.last_number += 1;
        let blocked = Blocked {
            block: Block(self.last_number),
            group: group.clone(),
            shards: shards.clone(),
        };
        let removed = self
            .queues
            .remove_if(|waiting| blocked.covers(waiting.place.as_ref()));
        self.refuse(removed, Refused::Moving);
        let block = blocked.block;
        self.blocks.push(blocked);
        if self.running_in(block) == 0 {
            self.events.push(Event::Drained(block));
        }
        block
    }

    /// Admits requests for a block's shards again.
    pub fn unblock(&mut self, block: Block) {
        self.blocks.retain(|blocked| blocked.block != block);
    }

    /// Refuses all new and waiting requests until [`Core::open`] is called.
    pub fn close(&mut self) {
        self.closed = true;
        let removed = self.queues.remove_if(|_| true);
        self.refuse(removed, Refused::Closed);
        if self.running.is_empty() {
            self.events.push(Event::Idle);
        }
    }

    /// Admits requests again after [`Core::close`].
    pub fn open(&mut self) {
        self.closed = false;
    }

    /// Records the identifier of a running request at the target.
    pub fn tag(&mut self, ticket: Ticket, tag: Arc<str>) {
        let mut running = self.running.iter_mut();
        if let Some(run) = running.find(|run| run.ticket == ticket) {
            run.tag = Some(tag);
        }
    }

    /// Returns the known identifiers of running requests: on a block's shards, or all.
    pub fn tags(&self, block: Option<Block>) -> Vec<Arc<str>> {
        let runs = self.running.iter().filter(|run| match block {
            Some(block) => self.counts_for(block, run),
            None => true,
        });
        runs.filter_map(|run| run.tag.clone()).collect()
    }

    /// Returns the number of running requests on a block's shards.
    pub fn running_in(&self, block: Block) -> usize {
        let runs = self.running.iter();
        runs.filter(|run| self.counts_for(block, run)).count()
    }

    /// Returns the number of running requests of this holder, including those
    /// that were given up and whose slot is not free yet.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of an earlier holder's requests that count against the limit.
    pub fn inherited(&self) -> u32 {
        self.inherited.count
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queues.len()
    }

    /// Returns the current limit, in concurrent requests.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns and removes the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    fn max_limit(&self) -> u32 {
        self.limits.concurrency.max(COLD_LIMIT)
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() + (self.inherited.count as usize) < self.limit as usize
    }

    fn is_blocked(&self, place: Option<&Place>) -> bool {
        self.blocks.iter().any(|blocked| blocked.covers(place))
    }

    fn counts_for(&self, block: Block, run: &Running) -> bool {
        let mut blocks = self.blocks.iter();
        let blocked = blocks.find(|blocked| blocked.block == block);
        blocked.is_some_and(|blocked| blocked.delays_move(run))
    }

    fn start(&mut self, ticket: Ticket, place: Option<Place>) {
        self.running.push(Running {
            ticket,
            place,
            generation: self.generation,
            tag: None,
            given_up: None,
        });
    }

    fn refuse(&mut self, removed: Vec<QueuedRequest>, reason: Refused) {
        let events = removed
            .iter()
            .map(|waiting| Event::Refused(waiting.ticket, reason));
        self.events.extend(events);
    }

    fn report_drained(&mut self, ended: &Running) {
        let covering = self
            .blocks
            .iter()
            .filter(|blocked| blocked.delays_move(ended));
        let drained: Vec<Block> = covering
            .map(|blocked| blocked.block)
            .filter(|&block| self.running_in(block) == 0)
            .collect();
        self.events.extend(drained.into_iter().map(Event::Drained));
        if self.closed && self.running.is_empty() {
            self.events.push(Event::Idle);
        }
    }

    /// Admits waiting requests as far as the limit allows.
    ///
    /// A request that is not expected to end by its deadline is refused while
    /// others wait. The last one is admitted nevertheless: its slot would stay
    /// free, and only responses lower an estimate that is too high.
    pub fn serve(&mut self, now: clock::Millis) {
        if self.inherited.until <= now {
            self.inherited.count = 0;
        }
        if self.running.iter().any(|run| run.given_up.is_some()) {
            self.free_if(|run| run.given_up.is_some_and(|given_up| given_up.until <= now));
        }
        while self.has_free_slot() {
            let Some(waiting) = self.queues.pop() else {
                return;
            };
            if waiting.deadline <= now {
                self.events
                    .push(Event::Refused(waiting.ticket, Refused::Deadline));
                continue;
            }
            if !self.queues.is_empty() && !self.service_time.can_finish(now, waiting.deadline) {
                let after_ms = self.wait_for(waiting.tenant);
                let reason = Refused::Overloaded { after_ms };
                self.events.push(Event::Refused(waiting.ticket, reason));
                continue;
            }
            self.start(waiting.ticket, waiting.place);
            self.events.push(Event::Admitted(waiting.ticket));
        }
    }
}

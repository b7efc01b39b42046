//! Queues of waiting requests, one per tenant, served round robin.

use std::collections::{HashMap, VecDeque};

use crate::clock;
use crate::target::admission::{Place, Ticket};

/// A request that waits for a free slot.
#[derive(Debug)]
pub struct QueuedRequest {
    /// Number of the request.
    pub ticket: Ticket,
    /// Hash of the tenant.
    pub tenant: u64,
    /// Shard and key of the request; `None` for shared services.
    pub place: Option<Place>,
    /// Time after which the request must not be sent.
    pub deadline: clock::Millis,
}

/// Queues by tenant hash, and the order in which they are served.
#[derive(Debug, Default)]
pub struct TenantQueues {
    queues: HashMap<u64, VecDeque<QueuedRequest>>,
    rotation: VecDeque<u64>,
    count: usize,
}

impl TenantQueues {
    /// Returns the number of waiting requests of all tenants.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the number of waiting requests of `tenant`.
    pub fn tenant_len(&self, tenant: u64) -> usize {
        self.queues.get(&tenant).map_or(0, VecDeque::len)
    }

    /// Returns how many waiting requests would be served before a new request of `tenant`.
    pub fn count_ahead(&self, tenant: u64) -> usize {
        let own = self.tenant_len(tenant);
        let others = self.queues.iter().filter(|(other, _)| **other != tenant);
        own + others
            .map(|(_, queue)| queue.len().min(own + 1))
            .sum::<usize>()
    }

    /// Appends a request to its tenant's queue.
    pub fn push(&mut self, request: QueuedRequest) {
        let queue = self.queues.entry(request.tenant).or_default();
        if queue.is_empty() {
            self.rotation.push_back(request.tenant);
        }
        queue.push_back(request);
        self.count += 1;
    }

    /// Removes the first request of the next tenant in the rotation.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let tenant = self.rotation.pop_front()?;
        let queue = self.queues.get_mut(&tenant)?;
        let request = queue.pop_front()?;
        self.count -= 1;
        if queue.is_empty() {
            self.queues.remove(&tenant);
        } else {
            self.rotation.push_back(tenant);
        }
        Some(request)
    }

    /// Removes the last request of the longest queue.
    ///
    /// Returns `None` unless that queue is longer than the queue of `tenant`
    /// would be with one more request.
    pub fn evict_for(&mut self, tenant: u64) -> Option<QueuedRequest> {
        let (longest, length) = self
            .queues
            .iter()
            .map(|(tenant, queue)| (*tenant, queue.len()))
            .max_by_key(|&(tenant, length)| (length, tenant))?;
        if length <= self.tenant_len(tenant) + 1 {
            return None;
        }
        self.count -= 1;
        self.queues.get_mut(&longest)?.pop_back()
    }

    /// Removes and returns all requests for which `matches` is true, in ticket order.
    pub fn remove_if(
        &mut self,
        mut matches: impl FnMut(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            for request in std::mem::take(queue) {
                if matches(&request) {
                    removed.push(request);
                } else {
                    queue.push_back(request);
                }
            }
        }
        self.count -= removed.len();
        self.queues.retain(|_, queue| !queue.is_empty());
        let queues = &self.queues;
        self.rotation.retain(|tenant| queues.contains_key(tenant));
        removed.sort_by_key(|request| request.ticket);
        removed
    }
}

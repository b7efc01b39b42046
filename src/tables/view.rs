//! Published state with lookup tables for requests.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;

use crate::model;
use crate::route;
use crate::state;

/// A published state with its routes and cached candidates.
pub struct View {
    /// The state.
    pub state: Arc<state::State>,
    /// Routes of this daemon's region.
    pub routes: Arc<route::Table>,
    /// Cached targets that may serve requests of each shared placement group.
    candidates: Mutex<HashMap<Arc<model::GroupId>, Arc<Vec<route::choice::Candidate>>>>,
    local_region: model::RegionName,
}

impl View {
    /// Builds the view of a state for a daemon in region `local_region`.
    pub fn new(state: Arc<state::State>, local_region: &model::RegionName) -> Self {
        Self {
            routes: Arc::new(route::Table::new(&state, local_region)),
            candidates: Mutex::default(),
            local_region: local_region.clone(),
            state,
        }
    }

    /// Builds the view of a newer state.
    ///
    /// Routes and candidates are reused if neither configuration nor hosts changed;
    /// moves and leases, the most frequent records, change neither.
    pub fn advance(&self, state: Arc<state::State>) -> Self {
        let is_unchanged =
            Arc::ptr_eq(&self.state.config, &state.config) && self.state.hosts == state.hosts;
        if !is_unchanged {
            return Self::new(state, &self.local_region);
        }
        Self {
            routes: self.routes.clone(),
            candidates: Mutex::new(self.candidates.lock().clone()),
            local_region: self.local_region.clone(),
            state,
        }
    }

    /// Returns the targets that may serve requests of a shared placement group.
    pub fn candidates(&self, group: &Arc<model::GroupId>) -> Arc<Vec<route::choice::Candidate>> {
        let mut candidates = self.candidates.lock();
        if let Some(cached) = candidates.get(group) {
            return cached.clone();
        }
        let targets = self.state.candidates(group).into_iter();
        let found = targets.map(|target| route::choice::Candidate {
            name: target.name.clone(),
            local: self.state.region(&target.domain) == Some(&self.local_region),
            concurrency: target.concurrency,
        });
        let found = Arc::new(found.collect::<Vec<_>>());
        candidates.insert(group.clone(), found.clone());
        found
    }
}

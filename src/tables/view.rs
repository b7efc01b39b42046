//! The published state, prepared for requests.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;

use crate::model;
use crate::route;
use crate::state;

/// A published state with what requests look up in it.
pub struct View {
    /// The state.
    pub state: Arc<state::State>,
    /// Routes of this daemon's region.
    pub routes: Arc<route::Table>,
    /// Targets that may serve requests of each shared placement group.
    candidates: Mutex<HashMap<Arc<model::GroupId>, Arc<Vec<route::choice::Candidate>>>>,
    local: model::RegionName,
}

impl View {
    /// Prepares a state for a daemon of region `local`.
    pub fn new(state: Arc<state::State>, local: &model::RegionName) -> Self {
        Self {
            routes: Arc::new(route::Table::new(&state, local)),
            candidates: Mutex::default(),
            local: local.clone(),
            state,
        }
    }

    /// Prepares a newer state. Moves and leases, the most frequent records,
    /// change neither routes nor candidates.
    pub fn advance(&self, state: Arc<state::State>) -> Self {
        let same =
            Arc::ptr_eq(&self.state.config, &state.config) && self.state.hosts == state.hosts;
        if !same {
            return Self::new(state, &self.local);
        }
        Self {
            routes: self.routes.clone(),
            candidates: Mutex::new(self.candidates.lock().clone()),
            local: self.local.clone(),
            state,
        }
    }

    /// Returns the targets that may serve requests of a shared placement group.
    pub fn candidates(&self, group: &Arc<model::GroupId>) -> Arc<Vec<route::choice::Candidate>> {
        let mut candidates = self.candidates.lock();
        if let Some(found) = candidates.get(group) {
            return found.clone();
        }
        let targets = self.state.candidates(group).into_iter();
        let fitting = targets.map(|target| route::choice::Candidate {
            name: target.name.clone(),
            local: self.state.region(&target.domain) == Some(&self.local),
            concurrency: target.concurrency,
        });
        let fitting = Arc::new(fitting.collect::<Vec<_>>());
        candidates.insert(group.clone(), fitting.clone());
        fitting
    }
}

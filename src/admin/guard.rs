//! Changes that need every daemon to have read the change before.
//!
//! Another binding of a route or tenant is another placement group with owners
//! of its own. A daemon that still knows the old binding would send the same
//! key to another owner. Bindings therefore change in two plans: the first one
//! stops the requests, and the second one is appended only once every daemon
//! has read the first.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::model;
use crate::peer::{self, fleet};
use crate::state;

/// An object whose last change every up daemon must have read.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Guarded {
    /// Label of the object.
    pub object: String,
    /// Offset of its last change.
    pub since: model::Offset,
}

/// Returns the objects whose last change every up daemon must have read before
/// `changes` may be appended.
pub fn guarded(state: &state::State, changes: &[state::Change]) -> Vec<Guarded> {
    let objects = changes
        .iter()
        .filter(|change| needs(state, changes, change));
    let known = objects.filter_map(|change| {
        let object = change.label();
        let since = *state.config.changed.get(&object)?;
        Some(Guarded { object, since })
    });
    known.collect()
}

/// Returns the labels of bindings that `changes` touches more than once: the
/// step in between would be read by no daemon.
pub fn twice(changes: &[state::Change]) -> Vec<String> {
    let mut seen = BTreeSet::new();
    let bindings = changes.iter().filter(|change| is_binding(change));
    let labels = bindings.map(state::Change::label);
    labels.filter(|label| !seen.insert(label.clone())).collect()
}

fn is_binding(change: &state::Change) -> bool {
    use state::Change::{PutRoute, PutTenant, RemoveRoute, RemoveTenant};
    matches!(
        change,
        PutRoute(_) | RemoveRoute(_) | PutTenant(_) | RemoveTenant(_)
    )
}

fn needs(state: &state::State, changes: &[state::Change], change: &state::Change) -> bool {
    let config = &state.config;
    match change {
        state::Change::PutTenant(tenant) => {
            let old = config.tenants.get(&tenant.name);
            let is_in = |tenant: &state::Tenant| tenant.standing == state::Standing::In;
            is_in(tenant) && !old.is_some_and(is_in)
        }
        state::Change::RemoveTenant(_) => true,
        state::Change::PutRoute(route) => {
            !config.routes.contains_key(&route.prefix) && is_keyed(state, changes, &route.service)
        }
        _ => false,
    }
}

fn is_keyed(state: &state::State, changes: &[state::Change], name: &model::ServiceName) -> bool {
    let brought = changes.iter().filter_map(|change| match change {
        state::Change::PutService(service) => Some(service),
        _ => None,
    });
    let mut services = brought.chain(state.config.services.values());
    services.any(|service| service.name == *name && service.kind == state::Kind::Keyed)
}

/// Returns the up daemons that have not read the last change of an object, or
/// don't say so, one text for each.
pub fn behind(
    state: &state::State,
    needed: &Guarded,
    answers: &fleet::Answers<peer::OffsetReply>,
) -> Vec<String> {
    let up = state.up_hosts();
    up.filter_map(|(id, host)| lacks(id, host, needed, answers))
        .collect()
}

/// Says what a daemon lacks, if anything.
fn lacks(
    id: model::Incarnation,
    host: &state::Host,
    needed: &Guarded,
    answers: &fleet::Answers<peer::OffsetReply>,
) -> Option<String> {
    let Guarded { object, since } = needed;
    let name = &host.name;
    if let Some(answer) = answers.answers.iter().find(|answer| answer.from == id) {
        let text = format!(
            "daemon {id} on {name} has not read record {since} on {object}, or still serves a \
             request admitted before; it knows the log up to {}; try again",
            answer.next
        );
        return (answer.next <= *since).then_some(text);
    }
    let text = id.to_string();
    let mut silent = answers.silent.iter();
    Some(match silent.find(|silent| silent.incarnation == text) {
        Some(fleet::Silent { why, .. }) => format!(
            "daemon {id} on {name} does not answer ({why}); it must have read record {since} on \
             {object}, or be stated lost"
        ),
        None => {
            format!("another daemon answers in place of {id} on {name}; state {id} lost if it is")
        }
    })
}

//! Confirmation of plans: what must hold before a plan is appended, and what
//! changed meanwhile if the log decided against it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::admin::guard;
use crate::journal;
use crate::model;
use crate::peer::{self, fleet};
use crate::state;
use crate::tables;

/// Longest wait for the log's decision on a confirmed plan.
const DECISION: Duration = Duration::from_secs(5);

/// Longest wait for the records that the plan was made from.
const CATCH_UP: Duration = Duration::from_secs(2);

/// Reply to the confirmation of a plan.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Confirmation {
    /// The log decided.
    Decided {
        /// Position of the record.
        offset: model::Offset,
        /// What the log decided.
        verdict: state::Verdict,
        /// Changes of the plan's objects since it was made.
        meanwhile: Vec<Meanwhile>,
    },
    /// Nothing was appended.
    Held {
        /// Why, one text for each obstacle.
        reasons: Vec<String>,
    },
    /// The log did not decide in time; the plan may still take effect.
    Undecided {
        /// What was waited for.
        detail: String,
    },
}

/// A change that was made after a plan and before its confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Meanwhile {
    /// Label of the changed object.
    pub object: String,
    /// Record that changed it.
    pub record: model::Offset,
    /// Who decided it, if the log still has the record.
    pub origin: Option<Origin>,
}

/// Who decided a change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Number of the plan.
    pub plan: u64,
    /// Operator who confirmed it.
    pub operator: model::OperatorName,
    /// The operator's stated reason.
    pub reason: String,
    /// Wall-clock time at the writer, in milliseconds since 1970.
    pub time: u64,
}

/// Appends a plan if nothing speaks against it.
pub fn confirm(shared: &Arc<tables::Shared>, plan: &state::plan::Plan) -> Confirmation {
    let reasons = obstacles(shared, plan);
    if !reasons.is_empty() {
        log::info!(
            "plan {:016x} was not appended: {}",
            plan.id,
            reasons.join("; ")
        );
        return Confirmation::Held { reasons };
    }
    match shared.journal.propose(plan.body(), plan.base, DECISION) {
        Ok(journal::Decision { offset, verdict }) => {
            let state::plan::Plan { id, operator, .. } = plan;
            log::info!("plan {id:016x} of {operator} was decided by record {offset}: {verdict:?}");
            let meanwhile = match verdict {
                state::Verdict::Accepted => Vec::new(),
                _ => meanwhile(shared, plan),
            };
            Confirmation::Decided {
                offset,
                verdict,
                meanwhile,
            }
        }
        Err(error) => Confirmation::Undecided {
            detail: error.to_string(),
        },
    }
}

fn obstacles(shared: &tables::Shared, plan: &state::plan::Plan) -> Vec<String> {
    // The last change of an object is known for certain only from the plan's
    // base on; later ones are conflicts, which the fold finds.
    let state = shared.journal.wait_for(plan.base, CATCH_UP);
    if !shared.journal.is_usable() || state.next < plan.base {
        let next = state.next;
        return vec![format!(
            "this daemon has read up to {next} only, and the plan is based on {}",
            plan.base
        )];
    }
    let twice = guard::twice(&plan.changes).into_iter();
    let mut reasons: Vec<_> = twice
        .map(|label| format!("the plan changes {label} twice; use two plans, one after the other"))
        .collect();
    let guarded = guard::guarded(&state, &plan.changes);
    if let Some(needed) = guarded.iter().max_by_key(|object| object.since) {
        reasons.extend(behind(shared, needed));
    }
    reasons
}

/// Asks all daemons what they have read.
fn behind(shared: &tables::Shared, needed: &guard::Guarded) -> Vec<String> {
    let state = shared.journal.state();
    let own = peer::OffsetReply {
        from: shared.me,
        next: shared.running.oldest(state.next),
    };
    let answers = fleet::ask(&state, shared.me, "/peer/offset", own);
    guard::behind(&state, needed, &answers)
}

/// Returns the changes of the plan's objects at or after its base.
fn meanwhile(shared: &tables::Shared, plan: &state::plan::Plan) -> Vec<Meanwhile> {
    let state = shared.journal.state();
    let mut origins = BTreeMap::new();
    let mut found: Vec<Meanwhile> = Vec::new();
    for object in plan.changes.iter().map(state::Change::label) {
        let Some(&record) = state.config.changed.get(&object) else {
            continue;
        };
        if record < plan.base || found.iter().any(|known| known.object == object) {
            continue;
        }
        let origin = origins
            .entry(record)
            .or_insert_with(|| origin(shared, record));
        found.push(Meanwhile {
            object,
            record,
            origin: origin.clone(),
        });
    }
    found
}

/// Reads one record from the log.
pub fn read(shared: &tables::Shared, offset: model::Offset) -> Option<state::Envelope> {
    let kept = shared.journal.recent(offset, 1).unwrap_or_default();
    if let Some((at, data)) = kept.first() {
        return (*at == offset).then(|| state::Envelope::decode(data).ok())?;
    }
    let client = shared.journal.client();
    let page = client.read(offset, 1, Duration::ZERO).ok()?;
    let record = page
        .records
        .first()
        .filter(|record| record.offset == offset)?;
    state::Envelope::decode(&record.data).ok()
}

/// Returns who decided the change of record `offset`.
pub fn origin(shared: &tables::Shared, offset: model::Offset) -> Option<Origin> {
    let envelope = read(shared, offset)?;
    let state::Body::Change {
        plan,
        operator,
        reason,
        ..
    } = envelope.body
    else {
        return None;
    };
    Some(Origin {
        plan,
        operator,
        reason,
        time: envelope.time,
    })
}

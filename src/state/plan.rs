//! Plans: an operator's changes with their predicted effects, to be confirmed.

mod effects;

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::finding::Findings;
use crate::model;
use crate::state::config::Change;
use crate::state::record::Body;
use crate::state::table::State;

pub use effects::{Effects, Flow, Refusal};

/// An operator's changes with their predicted effects, to be reviewed and confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Random number of the plan.
    pub id: u64,
    /// Next offset of the state that the plan was made from; it becomes the
    /// base of the record that confirms the plan.
    pub base: model::Offset,
    /// Changes, applied together or not at all.
    pub changes: Vec<Change>,
    /// Operator who made the plan.
    pub operator: model::OperatorName,
    /// The operator's stated reason.
    pub reason: String,
    /// Predicted effects of the changes, computed from the state at `base`.
    pub effects: Effects,
}

impl Plan {
    /// Returns the body of the record that confirms the plan.
    pub fn body(&self) -> Body {
        Body::Change {
            plan: self.id,
            operator: self.operator.clone(),
            reason: self.reason.clone(),
            changes: self.changes.clone(),
        }
    }
}

/// Makes a plan with the number `id`, based on `state`.
///
/// # Errors
/// Returns all faults of the changes, each with its place as a JSON pointer such as
/// `/changes/3/put_target/domain`.
pub fn make(
    state: &State,
    id: u64,
    changes: Vec<Change>,
    operator: model::OperatorName,
    reason: impl Into<String>,
) -> Result<Plan, Findings> {
    let draft = state.draft(&changes);
    let mut findings = Findings::default();
    if changes.is_empty() {
        findings.add("/changes", "at least one change", "none");
    }
    for (i, (change, found)) in changes.iter().zip(draft.findings).enumerate() {
        let tag = tag(change);
        for finding in found.0 {
            let place = format!("/changes/{i}/{tag}{}", finding.place);
            findings.add(place, finding.expected, finding.found);
        }
    }
    findings.into_result(())?;
    let mut after = state.clone();
    after.install(state.next, &changes, draft.config);
    Ok(Plan {
        id,
        base: state.next,
        effects: Effects::between(state, &after, &changes),
        changes,
        operator,
        reason: reason.into(),
    })
}

/// Returns the variant name of a change in JSON, such as `put_target`.
fn tag(change: &Change) -> String {
    let value = serde_json::to_value(change).ok();
    let keys = value.as_ref().and_then(|value| value.as_object());
    let tag = keys.and_then(|object| object.keys().next());
    tag.cloned().unwrap_or_default()
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { id, base, .. } = self;
        writeln!(
            f,
            "plan {id:016x} by {}, based on offset {base}",
            self.operator
        )?;
        writeln!(f, "reason: {}", self.reason)?;
        writeln!(f, "changes:")?;
        for change in &self.changes {
            writeln!(f, "  {} {}", tag(change), change.label())?;
        }
        write!(f, "{}", self.effects)
    }
}

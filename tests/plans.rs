//! Tests of plans made from intents, one case per folder.
//!
//! To add a case, create a folder in `tests/plans` with three files:
//! - `state.json`: a list of steps that lead to the state. A step is either
//!   `{"changes": [...]}`, an intent that was confirmed, or
//!   `{"writer": 1, "record": {...}}`, a record of the daemon with that number.
//!   Every step must be accepted.
//! - `intent.json`: the intent.
//! - `expected.txt`: the output of `plan`, or the findings.
//!
//! `cargo test --test plans` then reports the differences.
//!
//! The cases guard against plans that omit an effect, and against faults in
//! intents that are reported one at a time or without their place.

use std::path::Path;

use pistachiomoor::admin::{guard, intent};
use pistachiomoor::{finding, model, state};

type Error = Box<dyn std::error::Error>;

#[derive(serde::Deserialize)]
#[serde(untagged)]
enum Step {
    Changes {
        changes: serde_json::Value,
    },
    Record {
        writer: u64,
        record: Box<state::Body>,
    },
}

impl Step {
    fn body(self) -> Result<(u64, state::Body), Error> {
        let changes = match self {
            Self::Record { writer, record } => return Ok((writer, *record)),
            Self::Changes { changes } => changes,
        };
        let body = state::Body::Change {
            plan: 0,
            operator: "earlier".into(),
            reason: "earlier".to_owned(),
            changes: intent::Intent::parse("state.json", &changes.to_string())?.changes,
        };
        Ok((1_000, body))
    }
}

fn fold(path: &Path) -> Result<state::State, Error> {
    let steps: Vec<Step> = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let mut state = state::State::default();
    for (seq, step) in (1..).zip(steps) {
        let (writer, body) = step.body()?;
        let envelope = state::Envelope {
            format: state::FORMAT,
            least: state::FORMAT,
            writer: model::Incarnation(writer),
            seq,
            base: state.next,
            time: 0,
            body,
        };
        let verdict = state.apply_envelope(state.next, &envelope);
        if verdict != state::Verdict::Accepted {
            return Err(format!("step {seq}: {verdict:?}").into());
        }
    }
    Ok(state)
}

fn plan(state: &state::State, text: &str) -> Result<String, finding::Findings> {
    let intent = intent::Intent::parse("intent.json", text)?;
    let plan = state::plan::make(state, 1, intent.changes.clone(), "ann".into(), "a case")
        .map_err(|findings| intent.place(findings))?;
    let mut text = plan.to_string();
    for guard::Guarded { object, since } in guard::guarded(state, &plan.changes) {
        text.push_str(&format!(
            "needs record {since} on {object} to be read everywhere\n"
        ));
    }
    Ok(text)
}

fn plan_case(path: &Path) -> datatest_stable::Result<()> {
    let folder = path.parent().ok_or("no folder")?;
    let state = fold(&folder.join("state.json"))?;
    let intent = std::fs::read_to_string(path)?;
    let found = plan(&state, &intent).unwrap_or_else(|findings| findings.to_string());
    let expected = std::fs::read_to_string(folder.join("expected.txt"))?;
    let same = found.trim() == expected.trim();
    assert!(same, "expected:\n{expected}\nfound:\n{found}\n");
    Ok(())
}

datatest_stable::harness! {
    { test = plan_case, root = "tests/plans", pattern = r"intent\.json$" },
}

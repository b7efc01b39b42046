//! `confirm`: has exactly one plan carried out.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::json;

use crate::admin::Confirmation;
use crate::admin::confirm::Meanwhile;
use crate::cmd::{self, output};
use crate::model;
use crate::state;

/// Confirms the plan in the file at `path`. A plan that was carried out
/// before is no failure, so that a confirmation without an answer can be repeated.
///
/// # Errors
/// Fails if the log decided against it, such as because something that the
/// plan touches changed meanwhile, if it must not be appended yet, or if no
/// decision could be read.
pub fn run(admin: SocketAddr, path: &Path, format: cmd::Format) -> Result<(), cmd::Error> {
    let text = cmd::plan::read(path)?;
    let plan: state::plan::Plan =
        serde_json::from_slice(&text).map_err(|source| cmd::Error::Content {
            path: path.to_owned(),
            source,
        })?;
    let confirmation = cmd::Admin::new(admin).confirm(&text)?;
    let (record, note) = outcome(confirmation, plan.id)?;
    let value = json!({"outcome": "accepted", "record": record, "note": note});
    format.print(&value, |_| format!("{note} as record {record}\n"));
    Ok(())
}

/// Returns the record by which the plan took effect.
fn outcome(
    confirmation: Confirmation,
    plan: u64,
) -> Result<(model::Offset, &'static str), cmd::Error> {
    let (offset, verdict, meanwhile) = match confirmation {
        Confirmation::Decided {
            offset,
            verdict,
            meanwhile,
        } => (offset, verdict, meanwhile),
        Confirmation::Held { reasons } => {
            let text = format!("nothing was appended\n  {}", reasons.join("\n  "));
            return Err(cmd::Error::Rejected(text));
        }
        Confirmation::Undecided { detail } => return Err(cmd::Error::Undecided(detail)),
    };
    let why = match verdict {
        state::Verdict::Accepted => return Ok((offset, "accepted")),
        state::Verdict::Rejected(why) => why.to_string(),
        verdict => format!("{verdict:?}"),
    };
    let earlier = meanwhile.iter().find(|change| {
        let origin = change.origin.as_ref();
        origin.is_some_and(|origin| origin.plan == plan)
    });
    if let Some(change) = earlier {
        return Ok((change.record, "this plan was carried out before"));
    }
    let lines: Vec<_> = meanwhile.iter().map(describe).collect();
    let text = match lines.is_empty() {
        true => why,
        false => format!(
            "what it touches changed meanwhile\n  {}",
            lines.join("\n  ")
        ),
    };
    Err(cmd::Error::Rejected(text))
}

fn describe(change: &Meanwhile) -> String {
    let Meanwhile { object, record, .. } = change;
    match &change.origin {
        Some(origin) => format!(
            "{object} by record {record} at {}, plan {:016x} of {}: {}",
            output::time(origin.time),
            origin.plan,
            origin.operator,
            origin.reason
        ),
        None => format!("{object} by record {record}, which the log no longer has"),
    }
}

//! `plan`: shows what an intent would change and writes the plan to a file.

use std::net::SocketAddr;
use std::path::Path;

use serde::Serialize;

use crate::admin::{guard, intent, status};
use crate::cmd;
use crate::model;
use crate::peer::fleet;
use crate::state;

/// Who plans, and why.
#[derive(Clone, Debug)]
pub struct Author {
    /// Operator.
    pub operator: String,
    /// Stated reason, recorded with the plan.
    pub reason: String,
}

/// What is printed: the plan, and what its confirmation will need.
#[derive(Debug, Serialize)]
struct Proposal<'a> {
    plan: &'a state::plan::Plan,
    /// Objects whose last change every up daemon must have read.
    guarded: Vec<guard::Guarded>,
    /// Daemons that don't answer now.
    silent: Vec<fleet::Silent>,
    file: String,
    confirm: String,
}

/// Reads the intent, makes a plan from the daemon's state, prints it and
/// writes it to `out`.
///
/// # Errors
/// Fails if the intent has faults, or the daemon does not answer.
pub fn run(
    admin: SocketAddr,
    path: &Path,
    author: &Author,
    out: &Path,
    format: cmd::Format,
) -> Result<(), cmd::Error> {
    let client = cmd::Admin::new(admin);
    let intent = read_intent(path)?;
    let state = client.state()?;
    let operator = model::OperatorName::from(author.operator.as_str());
    let changes = intent.changes.clone();
    let reason = author.reason.as_str();
    let plan = state::plan::make(&state, rand::random(), changes, operator, reason)
        .map_err(|findings| intent.place(findings))?;
    write(out, &plan)?;
    let answers: fleet::Answers<status::Status> = client.json("/admin/status?all")?;
    let proposal = Proposal {
        guarded: guard::guarded(&state, &plan.changes),
        silent: answers.silent,
        file: out.display().to_string(),
        confirm: format!("pistachiomoor confirm --admin {admin} {}", out.display()),
        plan: &plan,
    };
    format.print(&proposal, text);
    Ok(())
}

fn text(proposal: &Proposal<'_>) -> String {
    let mut text = proposal.plan.to_string();
    for guard::Guarded { object, since } in &proposal.guarded {
        text.push_str(&format!(
            "confirmation will need every up daemon to have read record \
             {since} on {object}\n"
        ));
    }
    for silent in &proposal.silent {
        let fleet::Silent { host, why, .. } = silent;
        text.push_str(&format!(
            "warning: the daemon on {host} does not answer: {why}\n"
        ));
    }
    text.push_str(&format!(
        "Nothing has changed yet. Confirm with: {}\n",
        proposal.confirm
    ));
    text
}

fn read_intent(path: &Path) -> Result<intent::Intent, cmd::Error> {
    let text = read(path)?;
    let text = String::from_utf8_lossy(&text);
    Ok(intent::Intent::parse(&path.display().to_string(), &text)?)
}

fn write(path: &Path, plan: &state::plan::Plan) -> Result<(), cmd::Error> {
    let json = serde_json::to_vec_pretty(plan).map_err(|source| cmd::Error::Content {
        path: path.to_owned(),
        source,
    })?;
    cmd::write(path, &json)
}

/// Reads a file.
pub(super) fn read(path: &Path) -> Result<Vec<u8>, cmd::Error> {
    std::fs::read(path).map_err(|source| cmd::Error::File {
        path: path.to_owned(),
        what: "the file can't be read",
        source,
    })
}

//! `status`: shows what daemons hold and know.

use std::net::SocketAddr;

use crate::admin::status;
use crate::cmd::{self, output};
use crate::peer::fleet;

/// Prints the status of the daemon whose admin port is `admin`, or with `all`
/// of every daemon of its state.
///
/// # Errors
/// Fails if the daemon does not answer.
pub fn run(admin: SocketAddr, all: bool, format: cmd::Format) -> Result<(), cmd::Error> {
    let client = cmd::Admin::new(admin);
    if all {
        let answers: fleet::Answers<status::Status> = client.json("/admin/status?all")?;
        format.print(&answers, fleet_text);
        return Ok(());
    }
    let status: status::Status = client.json("/admin/status")?;
    format.print(&status, one_text);
    Ok(())
}

fn fleet_text(answers: &fleet::Answers<status::Status>) -> String {
    let head = [
        "HOST",
        "DOMAIN",
        "READY",
        "OFFSET",
        "LEASES",
        "ACTING",
        "BACKS",
        "LOST",
        "RUNNING",
        "WAITING",
        "INCARNATION",
        "NOTE",
    ];
    let mut rows: Vec<_> = answers.answers.iter().map(row).collect();
    rows.sort();
    let end = answers.answers.iter().map(|status| status.next).max();
    let mut text = output::table(&head, &rows);
    for silent in &answers.silent {
        let fleet::Silent {
            host,
            domain,
            incarnation,
            why,
        } = silent;
        text.push_str(&format!(
            "no answer from {host} ({domain}), daemon {incarnation}: {why}\n"
        ));
    }
    let (answered, silent) = (answers.answers.len(), answers.silent.len());
    let end = end.unwrap_or_default();
    text.push_str(&format!(
        "{answered} daemons answered, {silent} did not; the newest state is at {end}\n"
    ));
    text
}

fn row(status: &status::Status) -> Vec<String> {
    let held = &status.held;
    let count = |test: fn(&status::Held) -> bool| held.iter().filter(|held| test(held)).count();
    let sum = |part: fn(&status::Held) -> usize| held.iter().map(part).sum::<usize>();
    vec![
        status.host.to_string(),
        status.domain.to_string(),
        if status.ready { "yes" } else { "no" }.to_owned(),
        status.next.to_string(),
        held.len().to_string(),
        count(|held| held.may_act).to_string(),
        status.backed.to_string(),
        count(|held| held.lost).to_string(),
        sum(|held| held.running).to_string(),
        sum(|held| held.waiting).to_string(),
        status.incarnation.clone(),
        note(status),
    ]
}

fn note(status: &status::Status) -> String {
    match &status.halted {
        Some(why) => format!("halted: {why}"),
        None if status.next < status.end_seen => {
            let behind = status.end_seen.0 - status.next.0;
            format!("{behind} records behind")
        }
        None => String::new(),
    }
}

fn one_text(status: &status::Status) -> String {
    let mut text = format!(
        "{} in {} ({}), daemon {}, version {}\nready: {}, state at {}, backs up {} leases\n",
        status.host,
        status.domain,
        status.region,
        status.incarnation,
        status.version,
        if status.ready { "yes" } else { "no" },
        status.next,
        status.backed,
    );
    let note = note(status);
    if !note.is_empty() {
        text.push_str(&format!("{note}\n"));
    }
    let rows: Vec<_> = status.held.iter().map(held_row).collect();
    let head = ["TARGET", "MAY ACT", "STATE", "LIMIT", "RUNNING", "WAITING"];
    text.push_str(&output::table(&head, &rows));
    text
}

fn held_row(held: &status::Held) -> Vec<String> {
    vec![
        held.target.to_string(),
        if held.may_act { "yes" } else { "no" }.to_owned(),
        if held.lost { "lost" } else { "up" }.to_owned(),
        held.limit.to_string(),
        held.running.to_string(),
        held.waiting.to_string(),
    ]
}

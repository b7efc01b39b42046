//! `explain`: says who answers for a request and why, or what became of one.

use std::net::SocketAddr;

use crate::admin::confirm::Origin;
use crate::admin::explain;
use crate::cmd::{self, output};
use crate::tables::requests;

/// What to explain.
#[derive(Clone, Debug)]
pub enum Question {
    /// A request that could be sent.
    Place {
        /// Path.
        path: String,
        /// Value of the header `key`.
        key: Option<String>,
        /// Value of the header `tenant`.
        tenant: Option<String>,
    },
    /// A request that was answered, by the response's header `request-id`.
    Request(String),
    /// Recent requests that were slow, retried or refused.
    Recent,
}

/// Prints the explanation by the daemon whose admin port is `admin`.
///
/// # Errors
/// Fails if the daemon does not answer or does not know the request.
pub fn run(admin: SocketAddr, question: &Question, format: cmd::Format) -> Result<(), cmd::Error> {
    let client = cmd::Admin::new(admin);
    match question {
        Question::Place { path, key, tenant } => {
            let headers = [("key", key), ("tenant", tenant)];
            let headers = headers.into_iter();
            let headers: Vec<_> = headers
                .filter_map(|(name, value)| Some((name, value.as_deref()?)))
                .collect();
            let path = format!("/admin/explain?path={path}");
            let explanation: explain::Explanation = client.json_with(&path, &headers)?;
            format.print(&explanation, place_text);
        }
        Question::Request(id) => {
            let entry: requests::Entry = client.json(&format!("/admin/requests?id={id}"))?;
            format.print(&entry, entry_text);
        }
        Question::Recent => {
            let entries: Vec<requests::Entry> = client.json("/admin/requests")?;
            format.print(&entries, |entries| recent_text(entries));
        }
    }
    Ok(())
}

fn place_text(explanation: &explain::Explanation) -> String {
    let explain::Explanation { host, next, .. } = explanation;
    let mut text = format!("as {host} knows it, state at {next}\n");
    if let Some(tenant) = &explanation.tenant {
        text.push_str(&format!("tenant: recorded as {tenant}\n"));
    }
    if let Some(place) = &explanation.place {
        text.push_str(&place_lines(place));
    }
    for explain::Region { region, refused } in &explanation.regions {
        text.push_str(&match refused {
            Some(why) => format!("in region {region}: refused, not run: {why}\n"),
            None => format!("in region {region}: forwarded\n"),
        });
    }
    text
}

fn place_lines(place: &explain::Place) -> String {
    let homes: Vec<_> = place.homes.iter().map(|region| region.as_str()).collect();
    let homes = match homes.is_empty() {
        true => "every region".to_owned(),
        false => homes.join(", "),
    };
    let mut text = format!(
        "service: {}\nhome regions: {homes}\nplacement group: {}\n",
        place.service, place.group
    );
    for binding in &place.bindings {
        let explain::Binding { object, record, .. } = binding;
        let origin = binding
            .origin
            .as_ref()
            .map_or_else(String::new, origin_text);
        text.push_str(&format!("bound by {object}, record {record} {origin}\n"));
    }
    match &place.owner {
        Some(owner) => text.push_str(&owner_lines(owner)),
        None => {
            let names: Vec<_> = place.candidates.iter().map(|name| name.as_str()).collect();
            text.push_str(&format!(
                "targets that may serve it: {}\n",
                names.join(", ")
            ));
        }
    }
    for obstacle in &place.obstacles {
        text.push_str(&format!("refused now: {obstacle}\n"));
    }
    text
}

fn origin_text(origin: &Origin) -> String {
    let time = output::time(origin.time);
    let Origin {
        plan,
        operator,
        reason,
        ..
    } = origin;
    format!("{operator} at {time}, plan {plan:016x}: {reason}")
}

fn owner_lines(owner: &explain::Owner) -> String {
    let domain = owner
        .domain
        .as_ref()
        .map_or("unknown", |domain| domain.as_str());
    let mut text = format!(
        "shard: {}\nowner: {} in {domain}\nsince record {}: {}\n",
        owner.shard, owner.target, owner.since, owner.why
    );
    if let Some(origin) = &owner.origin {
        text.push_str(&format!("decided by {}\n", origin_text(origin)));
    }
    match &owner.lease {
        Some(lease) => {
            let name = |host: &Option<crate::model::HostName>| match host {
                Some(host) => host.to_string(),
                None => "none".to_owned(),
            };
            text.push_str(&format!(
                "lease holder: {}, daemon {}, since record {}; backup: {}\n",
                name(&lease.holder),
                lease.incarnation,
                lease.record,
                name(&lease.backup)
            ));
        }
        None => text.push_str("lease holder: none\n"),
    }
    text
}

fn entry_text(entry: &requests::Entry) -> String {
    let mut text = format!(
        "request {}: {} {}, {}{}{}, {:.1} ms{}, {} attempts, state at {}\n",
        entry.id,
        entry.method,
        if entry.service.is_empty() {
            "without a service"
        } else {
            &entry.service
        },
        entry.outcome,
        if entry.reason.is_empty() { "" } else { ", " },
        entry.reason,
        entry.micros as f64 / 1e3,
        if entry.slow {
            " (above the objective)"
        } else {
            ""
        },
        entry.tries,
        entry.next,
    );
    if !entry.detail.is_empty() {
        text.push_str(&format!("  {}\n", entry.detail));
    }
    for attempt in &entry.attempts {
        let shard = attempt.shard.map(|shard| format!(", shard {shard}"));
        text.push_str(&format!(
            "  {:>9.1} to {:>9.1} ms: {}{}: {} {}\n",
            attempt.start_us as f64 / 1e3,
            attempt.end_us as f64 / 1e3,
            attempt.target,
            shard.unwrap_or_default(),
            attempt.outcome,
            attempt.reason
        ));
    }
    text
}

fn recent_text(entries: &[requests::Entry]) -> String {
    let rows = entries.iter().map(|entry| {
        let targets = entry.attempts.iter();
        let targets: Vec<_> = targets.map(|attempt| attempt.target.as_str()).collect();
        vec![
            entry.id.clone(),
            entry.service.clone(),
            entry.outcome.clone(),
            entry.reason.clone(),
            format!("{:.1}", entry.micros as f64 / 1e3),
            targets.join(" "),
        ]
    });
    let rows: Vec<_> = rows.collect();
    output::table(
        &["REQUEST", "SERVICE", "OUTCOME", "REASON", "MS", "TRIED"],
        &rows,
    )
}

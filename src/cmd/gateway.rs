//! Text for people of what a gateway daemon answers.

use crate::cmd::output;
use crate::gateway::exchange::explain;
use crate::gateway::{burn, history, recent, status};

/// Writes names, or that there are none.
fn names<T: ToString>(names: &[T]) -> String {
    match names {
        [] => "none".to_owned(),
        names => {
            let names: Vec<_> = names.iter().map(ToString::to_string).collect();
            names.join(", ")
        }
    }
}

fn or_none<T: ToString>(value: Option<&T>) -> String {
    value.map_or_else(|| "none".to_owned(), ToString::to_string)
}

/// Writes the status of a daemon.
pub fn status_text(status: &status::Status) -> String {
    let mut text = format!(
        "{}, ready: {}, configuration: {}, steward: {}, daemons heard: {}\n\
         failure domains taken out: {}\n",
        status.host,
        if status.ready { "yes" } else { "no" },
        or_none(status.version.as_ref()),
        or_none(status.coordinator.as_ref()),
        status.daemons,
        names(&status.drained_domains),
    );
    for finding in &status.skipped {
        text.push_str(&format!("configuration, skipped: {finding}\n"));
    }
    let rows = status.targets.iter().map(|target| {
        vec![
            target.target.to_string(),
            target.service.to_string(),
            target.domain.to_string(),
            target.state.clone(),
            if target.cold { "yes" } else { "no" }.to_owned(),
        ]
    });
    let rows: Vec<_> = rows.collect();
    let head = ["TARGET", "SERVICE", "DOMAIN", "STATE", "COLD"];
    text.push_str(&output::table(&head, &rows));
    text
}

/// Writes where a request would go.
pub fn explanation_text(explanation: &explain::Explanation) -> String {
    let mut text = format!(
        "as {} knows it, configuration {}\n",
        explanation.daemon,
        or_none(explanation.version.as_ref())
    );
    if let Some(route) = &explanation.route {
        let regions = match route.regions.is_empty() {
            true => "every region".to_owned(),
            false => names(&route.regions),
        };
        text.push_str(&format!(
            "route: {} ({}), objective {} ms, at most {} attempts, regions: {regions}\n",
            route.name, route.prefix, route.objective_ms, route.attempts
        ));
    }
    for service in &explanation.services {
        text.push_str(&service_text(service));
    }
    if let Some(refused) = &explanation.refused {
        text.push_str(&format!("refused: {refused}\n"));
    }
    text
}

fn service_text(service: &explain::Service) -> String {
    let explain::Service {
        service: name,
        weight,
        result,
        ..
    } = service;
    let mut text = format!("service {name}, weight {weight}: {result}\n");
    if let Some(owner) = &service.owner {
        text.push_str(&owner_text(owner));
    }
    if service.candidates.is_empty() {
        return text;
    }
    let rows = service.candidates.iter().map(|candidate| {
        vec![
            candidate.target.to_string(),
            candidate.domain.to_string(),
            format!("{:.1}", candidate.estimate_ms),
            format!("{:.1} of {}", candidate.requests, candidate.slots),
            candidate.notice.clone().unwrap_or_else(|| {
                let label = candidate.exclusion.map(explain::Exclusion::label);
                label.unwrap_or_default().to_owned()
            }),
        ]
    });
    let rows: Vec<_> = rows.collect();
    let head = ["TARGET", "DOMAIN", "ESTIMATE MS", "REQUESTS", "LEFT OUT"];
    text.push_str(&output::table(&head, &rows));
    text
}

fn owner_text(owner: &explain::Owner) -> String {
    let (first, last) = owner.keys;
    let notice = owner.notice.as_ref();
    let notice = notice.map_or_else(String::new, |notice| format!("{notice}\n"));
    let wait = owner.wait.as_ref();
    let wait = wait.map_or_else(String::new, |wait| format!("{wait}\n"));
    format!(
        "keys {first} to {last}: owner {} in {}, fence {}, since record {}; before it: {}\n\
         key table: record {}, steward {}\n{notice}{wait}",
        or_none(owner.target.as_ref()),
        or_none(owner.domain.as_ref()),
        owner.fence,
        or_none(owner.since.as_ref()),
        or_none(owner.prior.as_ref()),
        owner.table,
        owner.coordinator,
    )
}

/// Writes requests that have ended, each with its attempts.
pub fn requests_text(entries: &[recent::Entry]) -> String {
    entries.iter().map(entry_text).collect()
}

fn entry_text(entry: &recent::Entry) -> String {
    let status = entry.status.map(|status| format!(", status {status}"));
    let reason = match entry.reason.as_str() {
        "" => String::new(),
        reason => format!(" ({reason})"),
    };
    let mut text = format!(
        "{} request {}: route {}, {}{}{reason}, {} ms, configuration {}\n",
        output::time(entry.time),
        entry.request,
        entry.route,
        entry.outcome,
        status.unwrap_or_default(),
        entry.ms,
        or_none(entry.version.as_ref()),
    );
    for attempt in &entry.attempts {
        let recent::Attempt {
            target,
            start_ms,
            ms,
            outcome,
            ..
        } = attempt;
        text.push_str(&format!(
            "  {start_ms:>6} ms: {target}: {outcome} after {ms} ms\n"
        ));
    }
    if entry.dropped_attempts > 0 {
        text.push_str(&format!("  {} more attempts\n", entry.dropped_attempts));
    }
    text
}

/// Writes the last events of a daemon.
pub fn history_text(history: &history::History) -> String {
    let mut text = format!(
        "events that {} saw within {} s; {} older ones are no longer kept\n",
        history.host,
        history.covered_ms / 1_000,
        history.dropped
    );
    for line in &history.events {
        text.push_str(&format!(
            "{:>8}  {}  {}: {}\n",
            or_none(line.offset.as_ref()),
            output::time(line.time),
            line.topic,
            event_text(&line.event)
        ));
    }
    text
}

fn event_text(event: &history::Event) -> String {
    use history::Event;
    match event {
        Event::Configuration { version } => format!("configuration {version} is in effect"),
        Event::DomainDrained { domain } => format!("failure domain {domain} is taken out"),
        Event::DomainRestored { domain } => format!("failure domain {domain} is back"),
        Event::KeyTable {
            coordinator: steward,
            takeover,
            moved_runs,
            moved_keys,
        } => {
            let takeover = if *takeover { ", which took over" } else { "" };
            format!(
                "key table by {steward}{takeover}: {moved_runs} runs with {moved_keys} keys moved"
            )
        }
        Event::LogRestored { era } => format!("the log was restored from a copy: era {era}"),
        Event::RequestQuarantined {
            digest,
            route,
            crashes,
        } => format!(
            "request {digest} of route {route} is refused: targets crashed in {crashes} attempts"
        ),
        Event::QuarantineEnded { digest, route } => {
            format!("request {digest} of route {route} is served again")
        }
        Event::OwnerEjected { target, birth } => {
            format!("target {target} of birth {birth} does not answer orders")
        }
    }
}

/// Writes the requests of the last minutes by route, or nothing if there are no
/// routes.
pub fn routes_text(routes: &[burn::Route]) -> String {
    if routes.is_empty() {
        return String::new();
    }
    let rows = routes.iter().flat_map(|route| {
        route.windows.iter().map(|window| {
            let burn::OutcomeCounts {
                met,
                late,
                refused,
                failed,
            } = window.requests;
            let mut row = vec![route.route.clone(), route.objective_ms.to_string()];
            row.push((window.window_ms / 60_000).to_string());
            row.extend([met, late, refused, failed].map(|count| count.to_string()));
            row
        })
    });
    let rows: Vec<_> = rows.collect();
    let head = [
        "ROUTE",
        "OBJECTIVE MS",
        "MINUTES",
        "MET",
        "LATE",
        "REFUSED",
        "FAILED",
    ];
    output::table(&head, &rows)
}

//! Interface for operators and the balancer on the admin port, and what other
//! daemons are asked for it.

pub mod confirm;
pub mod explain;
pub mod guard;
pub mod intent;
pub mod status;

pub use confirm::Confirmation;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::burn;
use crate::clock;
use crate::model;
use crate::peer::{self, fleet};
use crate::server;
use crate::state;
use crate::tables::{self, requests};

/// Entries of recent requests that are listed without an identifier.
const LISTED: usize = 50;

/// Number of shards that targets own, at an offset.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Owned {
    /// Next offset of the state.
    pub next: model::Offset,
    /// Known targets, each with its failure domain, whether it takes work, and
    /// its shards.
    pub targets: BTreeMap<model::TargetName, Share>,
}

/// What a target owns.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Share {
    /// Failure domain.
    pub domain: model::DomainName,
    /// Whether it takes new work.
    pub takes_work: bool,
    /// Shards that it owns, over all groups.
    pub shards: u64,
}

/// Answers a request on the admin port.
pub fn serve(shared: &Arc<tables::Shared>, mut request: server::Request) -> server::Response {
    let path = request.path().to_owned();
    let query = request.query().unwrap_or_default().to_owned();
    match (request.method.as_str(), path.as_str()) {
        ("GET", "/live") => text(http::StatusCode::OK, "live\n"),
        ("GET", "/ready") => ready(shared),
        ("GET", "/metrics") => text(http::StatusCode::OK, shared.metrics.render()),
        ("GET", "/admin/status") if query == "all" => ok(&status::all(shared)),
        ("GET", "/admin/status") => ok(&status::status(shared)),
        ("GET", "/admin/state") => state_bytes(shared),
        ("GET", "/admin/owned") => ok(&owned(shared)),
        ("GET", "/admin/explain") => explain(shared, &query, &request.headers),
        ("GET", "/admin/requests") => recent(shared, &query),
        ("GET", "/admin/burn") => ok(&burn(shared)),
        ("POST", "/admin/confirm") => confirm(shared, &mut request),
        _ => text(http::StatusCode::NOT_FOUND, "no such page\n"),
    }
}

/// Answers another daemon that gathers the answers of all; `None` if there is
/// no such question.
pub fn answer_peer(
    shared: &tables::Shared,
    request: &server::Request,
) -> Option<Result<Vec<u8>, peer::Error>> {
    let query = request.query().unwrap_or_default();
    match request.path() {
        "/peer/status" => Some(peer::encode(&status::status(shared))),
        "/peer/burn" => Some(peer::encode(&counts(shared))),
        "/peer/request" => Some(peer::encode(&shared.recent.find(query))),
        _ => None,
    }
}

fn text(status: http::StatusCode, body: impl Into<bytes::Bytes>) -> server::Response {
    server::Response::whole(status, body)
}

fn ok(body: &impl Serialize) -> server::Response {
    json(http::StatusCode::OK, body)
}

fn json(status: http::StatusCode, body: &impl Serialize) -> server::Response {
    match serde_json::to_vec(body) {
        Ok(body) => server::Response::whole(status, body),
        Err(error) => text(http::StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn ready(shared: &tables::Shared) -> server::Response {
    match shared.is_ready() {
        true => text(http::StatusCode::OK, "ready\n"),
        false => text(http::StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

fn state_bytes(shared: &tables::Shared) -> server::Response {
    if !shared.journal.is_usable() {
        return text(
            http::StatusCode::SERVICE_UNAVAILABLE,
            "no state was read yet\n",
        );
    }
    let bytes = state::snapshot::to_bytes(&shared.journal.state());
    server::Response::whole(http::StatusCode::OK, bytes)
}

fn owned(shared: &tables::Shared) -> Owned {
    let state = shared.journal.state();
    let targets = state.config.targets.values().map(|target| {
        let share = Share {
            domain: target.domain.clone(),
            takes_work: state.takes_work(&target.name),
            shards: state.owned.get(&target.name).copied().unwrap_or(0),
        };
        (target.name.clone(), share)
    });
    Owned {
        next: state.next,
        targets: targets.collect(),
    }
}

/// Explains the path after `path=`, with headers such as `key` and `tenant`.
fn explain(shared: &tables::Shared, query: &str, headers: &http::HeaderMap) -> server::Response {
    match query.strip_prefix("path=") {
        Some(path) => ok(&explain::explain(shared, path, headers)),
        None => text(
            http::StatusCode::BAD_REQUEST,
            "expected ?path=/prefix/key\n",
        ),
    }
}

/// Lists recent requests, or finds the one after `id=` at the daemon whose
/// incarnation it begins with.
fn recent(shared: &tables::Shared, query: &str) -> server::Response {
    let Some(id) = query.strip_prefix("id=") else {
        return ok(&shared.recent.newest(LISTED));
    };
    match find(shared, id) {
        Ok(entry) => ok(&entry),
        Err(why) => text(http::StatusCode::NOT_FOUND, format!("{why}\n")),
    }
}

fn find(shared: &tables::Shared, id: &str) -> Result<requests::Entry, String> {
    let incarnation = id.split_once('-').map(|(daemon, _)| daemon);
    let incarnation = incarnation.and_then(|text| u64::from_str_radix(text, 16).ok());
    let incarnation = incarnation
        .map(model::Incarnation)
        .ok_or("expected an identifier such as 0123456789abcdef-1f")?;
    let found = match incarnation == shared.me {
        true => shared.recent.find(id),
        false => {
            let state = shared.journal.state();
            let host = state.hosts.get(&incarnation);
            let host =
                host.ok_or_else(|| format!("daemon {incarnation} is gone, with its list"))?;
            fleet::ask_one(host, &format!("/peer/request?{id}"))
                .map_err(|why| format!("daemon {incarnation} on {}: {why}", host.name))?
        }
    };
    found.ok_or_else(|| {
        format!(
            "daemon {incarnation} does not keep this request: it keeps the last requests that \
             were slow, retried or refused, and one in 100 of the others"
        )
    })
}

fn counts(shared: &tables::Shared) -> burn::Reply {
    shared.burn.reply(&shared.settings.host, clock::now())
}

fn burn(shared: &tables::Shared) -> burn::report::Report {
    let state = shared.journal.state();
    let answers = fleet::ask(&state, shared.me, "/peer/burn", counts(shared));
    burn::report::merge(&shared.journal.state().config, answers)
}

fn confirm(shared: &Arc<tables::Shared>, request: &mut server::Request) -> server::Response {
    let body = match request.body.read_whole() {
        Ok(body) => body,
        Err(error) => return text(http::StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    let plan: state::plan::Plan = match serde_json::from_slice(&body) {
        Ok(plan) => plan,
        Err(error) => {
            return text(
                http::StatusCode::BAD_REQUEST,
                format!("the plan is malformed: {error}\n"),
            );
        }
    };
    let confirmation = confirm::confirm(shared, &plan);
    let status = match &confirmation {
        Confirmation::Decided {
            verdict: state::Verdict::Accepted,
            ..
        } => http::StatusCode::OK,
        Confirmation::Decided { .. } | Confirmation::Held { .. } => http::StatusCode::CONFLICT,
        Confirmation::Undecided { .. } => http::StatusCode::SERVICE_UNAVAILABLE,
    };
    json(status, &confirmation)
}

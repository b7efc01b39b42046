//! `history`: who decided what and when, read from the log, or what a gateway
//! daemon saw last.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use crate::cmd::{self, output};
use crate::gateway;
use crate::journal;
use crate::model;
use crate::state;

/// Records asked for in one read.
const PAGE: usize = 512;

/// Records of interest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Operators' changes.
    Changes,
    /// Assignments, moves and pins of shards.
    Moves,
    /// Leases, and daemons that come and go.
    Leases,
    /// All of them, and snapshots.
    All,
}

impl std::str::FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "changes" => Ok(Self::Changes),
            "moves" => Ok(Self::Moves),
            "leases" => Ok(Self::Leases),
            "all" => Ok(Self::All),
            _ => Err(format!(
                "expected changes, moves, leases or all, found {text:?}"
            )),
        }
    }
}

impl Kind {
    fn covers(self, body: &state::Body) -> bool {
        use state::Body;
        match body {
            _ if self == Self::All => true,
            Body::Change { .. } => self == Self::Changes,
            Body::Assign { .. } | Body::Move { .. } | Body::Pin { .. } | Body::Unpin { .. } => {
                self == Self::Moves
            }
            Body::Lease { .. } | Body::HostUp { .. } | Body::HostDown => self == Self::Leases,
            Body::SnapshotPart { .. } => false,
        }
    }
}

/// One record in words.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Event {
    /// Position in the log.
    pub offset: model::Offset,
    /// Wall-clock time at the writer, UTC.
    pub time: String,
    /// Operator, or the daemon that wrote it, with its host if known.
    pub who: String,
    /// What it says.
    pub what: String,
    /// `accepted`, `rejected: ...`, `duplicate`, or `unknown` before the first
    /// state that the log still allows to compute.
    pub verdict: String,
}

/// Everything that the log still has.
#[derive(Debug)]
pub struct Log {
    /// First offset that the log keeps.
    pub first: model::Offset,
    /// Records from there on.
    pub records: Vec<journal::Stored>,
}

impl Log {
    /// Reads the log to its present end.
    ///
    /// # Errors
    /// Fails if the log does not answer.
    pub fn read(client: &journal::Client) -> Result<Self, journal::Error> {
        let mut from = model::Offset(0);
        let mut records: Vec<journal::Stored> = Vec::new();
        let mut first = None;
        loop {
            let page = match client.read(from, PAGE, Duration::ZERO) {
                Ok(page) => page,
                // Retention can drop what was to be read next.
                Err(journal::Error::Truncated { first, .. }) if from < first => {
                    records.clear();
                    from = first;
                    continue;
                }
                Err(error) => return Err(error),
            };
            first.get_or_insert(page.first);
            let Some(last) = page.records.last() else {
                break;
            };
            from = last.offset.next();
            records.extend(page.records);
        }
        let kept = records.first().map(|record| record.offset);
        Ok(Self {
            first: kept.or(first).unwrap_or_default(),
            records,
        })
    }

    /// Returns the earliest state that the records allow to compute.
    fn start(&self) -> Option<state::State> {
        if self.first == model::Offset(0) {
            return Some(state::State::default());
        }
        let mut collector = state::snapshot::Collector::default();
        let mut envelopes = self
            .records
            .iter()
            .filter_map(|record| state::Envelope::decode(&record.data).ok());
        let found = envelopes.find_map(|envelope| collector.take(&envelope.body));
        found.filter(|state| state.next >= self.first)
    }

    /// Returns the records of a kind from `from` on, each with its verdict.
    pub fn events(&self, from: model::Offset, kind: Kind) -> Vec<Event> {
        let mut state = self.start();
        let mut events = Vec::new();
        for record in &self.records {
            let mut verdict = "unknown".to_owned();
            if let Some(state) = state.as_mut().filter(|state| state.next <= record.offset) {
                verdict = verdict_text(&state.apply(record.offset, &record.data));
            }
            let Ok(envelope) = state::Envelope::decode(&record.data) else {
                continue;
            };
            if record.offset >= from && kind.covers(&envelope.body) {
                events.push(event(record.offset, &envelope, state.as_ref(), verdict));
            }
        }
        events
    }
}

/// Prints the records of a kind from `from` on.
///
/// # Errors
/// Fails if the log does not answer.
pub fn run(
    log: SocketAddr,
    from: model::Offset,
    kind: Kind,
    format: cmd::Format,
) -> Result<(), cmd::Error> {
    let log = Log::read(&journal::Client::new(log))?;
    let Log { first, records } = &log;
    let next = records.last().map_or(*first, |record| record.offset.next());
    if format == cmd::Format::Json {
        println!("{}", serde_json::json!({"first": first, "next": next}));
    } else {
        println!("the log has records from {first} to before {next}");
    }
    if from < *first && first.0 > 0 {
        eprintln!("records before {first} were dropped by the log's retention");
    }
    for event in log.events(from, kind) {
        format.print(&event, |event| {
            let Event {
                offset,
                time,
                who,
                what,
                verdict,
            } = event;
            format!("{:>8}  {time}  {who}: {what} [{verdict}]\n", offset.0)
        });
    }
    Ok(())
}

/// Prints the last events of the gateway daemon whose admin port is `admin`.
///
/// # Errors
/// Fails if the daemon does not answer, or is none of a gateway.
pub fn run_gateway(admin: SocketAddr, format: cmd::Format) -> Result<(), cmd::Error> {
    let history: gateway::history::History = cmd::Admin::new(admin).json("/admin/history")?;
    format.print(&history, cmd::gateway::history_text);
    Ok(())
}

fn verdict_text(verdict: &state::Verdict) -> String {
    match verdict {
        state::Verdict::Accepted => "accepted".to_owned(),
        state::Verdict::Duplicate => "duplicate".to_owned(),
        state::Verdict::Rejected(why) => format!("rejected: {why}"),
        state::Verdict::TooNew(least) => format!("needs format version {least}"),
    }
}

fn event(
    offset: model::Offset,
    envelope: &state::Envelope,
    state: Option<&state::State>,
    verdict: String,
) -> Event {
    let host = |id: &model::Incarnation| {
        let host = state.and_then(|state| state.hosts.get(id));
        host.map_or_else(|| id.to_string(), |host| host.name.to_string())
    };
    let who = match &envelope.body {
        state::Body::Change { operator, .. } => operator.to_string(),
        _ => host(&envelope.writer),
    };
    Event {
        offset,
        time: output::time(envelope.time),
        who,
        what: describe(&envelope.body, &host),
        verdict,
    }
}

fn describe(body: &state::Body, host: &dyn Fn(&model::Incarnation) -> String) -> String {
    use state::Body;
    match body {
        Body::HostUp {
            host, domain, peer, ..
        } => {
            format!("daemon on {host} in {domain} is up at {peer}")
        }
        Body::HostDown => "daemon has left".to_owned(),
        Body::Lease {
            target,
            holder,
            backup,
            ..
        } => {
            let backup = backup.as_ref().map_or("none".to_owned(), host);
            format!(
                "lease on {target}: holder {}, backup {backup}",
                host(holder)
            )
        }
        Body::Assign {
            group,
            shards,
            target,
        } => {
            format!("{} shards of {group} assigned to {target}", shards.len())
        }
        Body::Move {
            group,
            shards,
            from,
            to,
            ..
        } => {
            format!(
                "{} shards of {group} moved from {from} to {to}",
                shards.len()
            )
        }
        Body::Pin { group, key, .. } => format!("key {:016x} of {group} pinned", key.0),
        Body::Unpin { group, key, .. } => format!("key {:016x} of {group} unpinned", key.0),
        Body::Change {
            plan,
            reason,
            changes,
            ..
        } => {
            let labels: Vec<_> = changes.iter().map(summary).collect();
            format!("plan {plan:016x} ({reason}): {}", labels.join(", "))
        }
        Body::SnapshotPart {
            at, part, parts, ..
        } => {
            format!(
                "snapshot of the state at {at}, part {} of {parts}",
                part + 1
            )
        }
    }
}

/// Names a change: what it does and to which object.
fn summary(change: &state::Change) -> String {
    use state::Change;
    let standing = |standing: &state::Standing| match standing {
        state::Standing::In => "in",
        state::Standing::Out => "out",
    };
    let label = change.label();
    match change {
        Change::PutTenant(tenant) => format!("put {label} {}", standing(&tenant.standing)),
        Change::SetDomain(_, to) | Change::SetTarget(_, to) | Change::SetHost(_, to) => {
            format!("set {label} {}", standing(to))
        }
        Change::HostLost(_) => format!("{label} is lost"),
        Change::RemoveService(_)
        | Change::RemoveRoute(_)
        | Change::RemoveTenant(_)
        | Change::RemoveTarget(_) => format!("remove {label}"),
        _ => format!("put {label}"),
    }
}

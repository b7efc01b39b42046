//! Server and client for the port between daemons: forwarded requests, state
//! and records.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::admin;
use crate::clock;
use crate::daemon::attempt;
use crate::daemon::delivery;
use crate::daemon::header;
use crate::daemon::hold;
use crate::forward;
use crate::journal;
use crate::model;
use crate::peer::{self, call};
use crate::server;
use crate::state;
use crate::tables;
use crate::target::wire;

/// Timeout of one call to another daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for records that the sender of a request has applied and this
/// daemon has not, in milliseconds.
const CATCH_UP_TIMEOUT_MS: u64 = 100;

/// Most records in one reply to a peer that is behind.
const MAX_RECORDS: usize = 512;

/// Largest reply accepted from another daemon, in bytes.
const REPLY_BYTES: u64 = 256 << 20;

/// Most daemons of the state that are asked, besides those of the settings.
const MAX_KNOWN_PEERS: usize = 4;

/// Number of replies after which no further daemon is asked.
const MAX_REPLIES: usize = 2;

impl tables::Shared {
    /// Answers a request on the port for other daemons.
    pub fn serve_peer(self: &Arc<Self>, mut request: server::Request) -> server::Response {
        if request.headers.contains_key(header::ROUTE_TARGET) {
            let result = self.serve_forwarded(&mut request);
            return result.unwrap_or_else(server::Response::from);
        }
        match request.path() {
            "/peer/state" => self.state_reply(),
            "/peer/records" => self.records_reply(request.query()),
            "/peer/offset" => encoded(peer::encode(&peer::OffsetReply {
                from: self.me,
                next: self.running.oldest(self.journal.state().next),
            })),
            "/peer/lease" => self.receive_lease(&request),
            "/peer/backup" => self.receive_resignation(&request),
            _ => match admin::answer_peer(self, &request) {
                Some(answer) => encoded(answer),
                None => server::Response::empty(http::StatusCode::NOT_FOUND),
            },
        }
    }

    /// Answers with a snapshot of this daemon's state, or 503 if it has none that
    /// is usable.
    fn state_reply(&self) -> server::Response {
        if !self.journal.is_usable() {
            return server::Response::empty(http::StatusCode::SERVICE_UNAVAILABLE);
        }
        let state = self.journal.state();
        encoded(peer::encode(&peer::StateReply {
            from: self.me,
            next: state.next,
            least: state::FORMAT,
            snapshot: peer::Blob(state::snapshot::to_bytes(&state)),
        }))
    }

    /// Answers with recent records from the offset in `query`, or 400 if that is
    /// malformed.
    fn records_reply(&self, query: Option<&str>) -> server::Response {
        let from = query.and_then(|query| query.strip_prefix("from="));
        let Some(from) = from.and_then(|from| from.parse().ok()) else {
            return server::Response::empty(http::StatusCode::BAD_REQUEST);
        };
        let from = model::Offset(from);
        let records = self.journal.recent(from, MAX_RECORDS).unwrap_or_default();
        let records = records.into_iter().map(|(offset, data)| peer::Record {
            offset,
            data: peer::Blob(data.to_vec()),
        });
        encoded(peer::encode(&peer::RecordsReply {
            from: self.me,
            first: from,
            next: self.journal.state().next,
            records: records.collect(),
        }))
    }

    /// Executes a request that another daemon has forwarded.
    fn serve_forwarded(
        self: &Arc<Self>,
        request: &mut server::Request,
    ) -> Result<server::Response, server::Refusal> {
        let _entered = self.running.enter(self.journal.state().next);
        let route = ForwardedRoute::read(&request.headers).ok_or_else(|| {
            server::Refusal::not_run(server::Reason::Malformed, "malformed route headers")
        })?;
        if self.journal.state().next < route.offset {
            self.journal.note_end(route.offset);
            self.journal
                .wait_for(route.offset, clock::duration(CATCH_UP_TIMEOUT_MS));
        }
        let mut body = std::mem::replace(
            &mut request.body,
            server::Payload::whole(bytes::Bytes::new()),
        );
        let held = body.held().cloned();
        let length = body.length();
        let content = match &held {
            Some(data) => attempt::content(data),
            None => forward::Content::Stream(&mut body, length),
        };
        let headers = request.headers.clone();
        header::strip_request(&mut request.headers);
        let order = hold::Order {
            target: &route.target,
            group: Arc::new(route.group),
            shard: route.shard,
            tenant: route.tenant,
            deadline: request.arrived + route.timeout,
            id: header::text(&headers, &header::REQUEST_ID).unwrap_or_default(),
            method: &request.method,
            path: &request.target,
            headers: &request.headers,
            token: &request.token,
        };
        let response = self.execute(&order, content)?;
        let (id, target) = (order.id.to_owned(), route.target.clone());
        let ended = move |result, bytes| log_cut_answer(&id, &target, result, bytes);
        Ok(delivery::follow(response, &request.token, ended))
    }
}

/// Logs a forwarded request's answer that was cut off. The sending daemon closes
/// the connection if its caller has left or another attempt's answer was used,
/// which is logged at the debug level only.
fn log_cut_answer(
    id: &str,
    target: &model::TargetName,
    result: Result<(), delivery::Cut>,
    bytes: u64,
) {
    let Err(cut) = result else {
        return;
    };
    let level = match cut {
        delivery::Cut::CallerLeft => log::Level::Debug,
        _ => log::Level::Warn,
    };
    log::log!(
        level, request_id = id, target_name = target.as_str(), reason = cut.as_str(),
        bytes = bytes;
        "the answer of {target} was cut off: {cut}"
    );
}

/// Route of a forwarded request, from its headers.
struct ForwardedRoute {
    target: model::TargetName,
    group: model::GroupId,
    shard: Option<model::Shard>,
    tenant: u64,
    timeout: u64,
    offset: model::Offset,
}

impl ForwardedRoute {
    /// Reads the route, or returns `None` if a header is missing or malformed.
    fn read(headers: &http::HeaderMap) -> Option<Self> {
        let shard = match header::text(headers, &header::ROUTE_SHARD) {
            Some(text) => Some(parse_shard(text)?),
            None => None,
        };
        Some(Self {
            target: header::text(headers, &header::ROUTE_TARGET)?.into(),
            group: wire::group(header::text(headers, &header::ROUTE_GROUP)?).ok()?,
            shard,
            tenant: header::text(headers, &header::ROUTE_TENANT)?.parse().ok()?,
            timeout: header::text(headers, &header::TIMEOUT)?.parse().ok()?,
            offset: model::Offset(header::text(headers, &header::ROUTE_OFFSET)?.parse().ok()?),
        })
    }
}

/// Parses a shard written as a number or as `pinned-` and a hexadecimal hash.
fn parse_shard(text: &str) -> Option<model::Shard> {
    match text.strip_prefix("pinned-") {
        Some(hash) => Some(model::Shard::Pinned(model::KeyHash(
            u64::from_str_radix(hash, 16).ok()?,
        ))),
        None => Some(model::Shard::Range(text.parse().ok()?)),
    }
}

/// Source of state and records from other daemons, for use while the log does
/// not answer.
pub struct Source {
    shared: Arc<tables::Shared>,
    agent: ureq::Agent,
}

impl Source {
    /// Returns a source that asks daemons of the newest state, then those named in
    /// the settings.
    pub fn new(shared: Arc<tables::Shared>) -> Self {
        Self {
            shared,
            agent: call::agent(CALL_TIMEOUT),
        }
    }

    /// Returns the addresses to ask, those of this failure domain first.
    fn addresses(&self) -> Vec<SocketAddr> {
        let state = self.shared.journal.state();
        let up = state.up_hosts().filter(|(id, _)| *id != self.shared.me);
        let near = |host: &&state::Host| host.domain == self.shared.settings.domain;
        let mut hosts: Vec<_> = up.map(|(_, host)| host).collect();
        hosts.sort_by_key(|host| !near(host));
        let known = hosts.into_iter().map(|host| host.peer);
        known
            .take(MAX_KNOWN_PEERS)
            .chain(self.shared.settings.platform.peers.iter().copied())
            .collect()
    }

    /// Asks one daemon after the other, and returns the first replies.
    fn get(&self, path: &str) -> Vec<Vec<u8>> {
        let addresses = self.addresses();
        let addresses = addresses.into_iter();
        let calls =
            addresses.filter_map(|address| call::get(&self.agent, address, path, REPLY_BYTES).ok());
        calls.take(MAX_REPLIES).collect()
    }
}

impl journal::Peers for Source {
    fn state(&self) -> Option<state::State> {
        let replies = self.get("/peer/state").into_iter();
        let replies = replies.filter_map(|reply| peer::decode::<peer::StateReply>(&reply).ok());
        let known = replies.filter(|reply| reply.least <= state::FORMAT);
        let states = known.filter_map(|reply| state::snapshot::from_bytes(&reply.snapshot.0).ok());
        states.max_by_key(|state| state.next)
    }

    fn records(&self, from: model::Offset) -> Vec<journal::Stored> {
        let replies = self.get(&format!("/peer/records?from={from}")).into_iter();
        let replies = replies.filter_map(|reply| peer::decode::<peer::RecordsReply>(&reply).ok());
        let lists = replies.filter_map(|reply| reply.records_from(from).map(<[_]>::to_vec).ok());
        let longest = lists.max_by_key(Vec::len).unwrap_or_default();
        let stored = longest.into_iter().map(|record| journal::Stored {
            offset: record.offset,
            data: Arc::from(record.data.0),
        });
        stored.collect()
    }
}

/// Returns a response with an encoded reply, or status 500 if encoding failed.
fn encoded(reply: Result<Vec<u8>, peer::Error>) -> server::Response {
    match reply {
        Ok(body) => server::Response::whole(http::StatusCode::OK, body),
        Err(error) => {
            log::error!("a reply to another daemon could not be encoded: {error}");
            server::Response::empty(http::StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

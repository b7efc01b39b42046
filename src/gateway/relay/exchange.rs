//! Requests for missed records from one daemon to another, over HTTP.

use std::io::{self, Read};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::Relayed;
use crate::clock;
use crate::gateway::adapter::{self, Topic};
use crate::gateway::client;
use crate::gateway::counters;
use crate::gateway::shared::Shared;
use crate::model;

/// Timeout for a connection to a daemon of the failure domain.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout for the head of an answer and for each further part of it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Last part of the path of a request for the newest records of all keys.
const ALL_RECORDS: &str = "all";

/// Longest answer that is accepted, after decompression.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Encoded records of a topic between two offsets, kept since many daemons ask for the
/// same ones at once.
#[derive(Debug)]
pub(super) struct CachedResponse {
    /// Offset from which records were requested; `None` for the newest of all keys.
    from: Option<model::Offset>,
    next: model::Offset,
    body: Bytes,
}

/// Asks the reader for the records of a topic from `from` on. Returns `None` if no reader
/// is known, if it does not answer in time, or if its answer does not continue at `from`.
pub(crate) async fn fetch(
    shared: &Shared,
    topic: Topic,
    from: model::Offset,
) -> Option<adapter::Batch> {
    let path = format!("/records/{}/{}", topic.index(), from.0);
    let relayed = request(shared, &path).await?;
    (relayed.continuity(from) == super::Continuity::Next).then(|| relayed.into_batch())
}

/// Asks the reader for the newest records of all keys of a topic in the era `era` of the log
/// or a later one. Returns `None` if no reader is known, if it does not answer in time, or if
/// it has not read the topic in that era.
pub(crate) async fn fetch_all(shared: &Shared, topic: Topic, era: u64) -> Option<adapter::Batch> {
    let path = format!("/records/{}/{ALL_RECORDS}", topic.index());
    let batch = request(shared, &path).await?.into_batch();
    (batch.next.era() >= era).then_some(batch)
}

/// Sends a request for records to the reader. Returns `None` if no reader is known, or if it
/// does not answer in time.
async fn request(shared: &Shared, path: &str) -> Option<Relayed> {
    let reader = shared.relay.borrow().reader.clone()?;
    let address = shared.peers.borrow().address(&reader)?;
    let mut request = http::Request::new(Bytes::new());
    *request.uri_mut() = path.parse().ok()?;
    let host = address.to_string().parse().ok()?;
    request.headers_mut().insert(http::header::HOST, host);
    let timeouts = client::ResponseTimeouts {
        head: ANSWER_TIMEOUT,
        part: ANSWER_TIMEOUT,
    };
    let peer = client::Peer { address, birth: 0 };
    let answer = shared
        .client
        .fetch(
            peer,
            request,
            CONNECT_TIMEOUT,
            client::Reuse::Pooled,
            timeouts,
        )
        .await;
    let answer = answer.ok().filter(|answer| answer.status() == 200)?;
    let relayed = decode(answer.body());
    let relayed = relayed.inspect_err(|error| log::warn!("records of {reader}: {error}"));
    relayed.ok()
}

/// Encodes and compresses a batch of records.
pub(super) fn encode(relayed: &Relayed) -> io::Result<Bytes> {
    let plain = rmp_serde::to_vec(relayed).map_err(io::Error::other)?;
    let mut body = Vec::new();
    DeflateEncoder::new(&plain[..], Compression::fast()).read_to_end(&mut body)?;
    Ok(body.into())
}

/// Decompresses and decodes a batch of records.
pub(super) fn decode(body: &[u8]) -> io::Result<Relayed> {
    let reader = DeflateDecoder::new(body).take(MAX_ANSWER_BYTES);
    let relayed: Relayed = rmp_serde::from_read(reader).map_err(io::Error::other)?;
    match relayed.is_consistent() {
        true => Ok(relayed),
        false => Err(io::Error::other("the positions of the records are invalid")),
    }
}

/// Accepts connections of other daemons and serves their requests; never returns.
pub(crate) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(Rc::clone(&shared), stream));
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

/// Serves the requests of one connection.
async fn serve(shared: Rc<Shared>, stream: TcpStream) {
    let handler = service::service_fn(move |request: http::Request<Incoming>| {
        let response = respond(&shared, request.uri().path());
        async move { Ok::<_, std::convert::Infallible>(response) }
    });
    // A daemon whose connection breaks reads the log itself.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), handler)
        .await;
}

/// Returns the response to a request for `path`: 400 if the path is invalid, 404 if
/// records may be missing here.
fn respond(shared: &Shared, path: &str) -> http::Response<Full<Bytes>> {
    counters::increment(&shared.counters.record_requests);
    let requested = parse_path(path);
    let body = requested.and_then(|(topic, from)| records(shared, topic, from));
    let status = match (requested, &body) {
        (None, _) => http::StatusCode::BAD_REQUEST,
        (Some(_), None) => http::StatusCode::NOT_FOUND,
        (Some(_), Some(_)) => http::StatusCode::OK,
    };
    let mut response = http::Response::new(Full::new(body.unwrap_or_default()));
    *response.status_mut() = status;
    response
}

/// Returns the topic and offset of a path such as `/records/1/250`; for `/records/1/all`, no
/// offset.
fn parse_path(path: &str) -> Option<(Topic, Option<model::Offset>)> {
    let (topic, from) = path.strip_prefix("/records/")?.split_once('/')?;
    let topic = Topic::ALL.get(topic.parse::<usize>().ok()?)?;
    let from = match from {
        ALL_RECORDS => None,
        from => Some(model::Offset(from.parse().ok()?)),
    };
    Some((*topic, from))
}

/// Returns the encoded records of a topic from `from` on, or the newest of all keys if `from`
/// is `None`. Returns `None` if some may be missing here.
fn records(shared: &Shared, topic: Topic, from: Option<model::Offset>) -> Option<Bytes> {
    let mut relay = shared.relay.borrow_mut();
    let cache = &relay.caches[topic.index()];
    let (records, next) = match from {
        Some(from) => cache.since(from)?,
        None => cache.all()?,
    };
    let cached = &relay.responses[topic.index()];
    let cached = cached
        .as_ref()
        .filter(|response| (response.from, response.next) == (from, next));
    if let Some(cached) = cached {
        return Some(cached.body.clone());
    }
    let started = clock::now();
    let body = encode(&Relayed::new(
        topic,
        from.unwrap_or_default(),
        next,
        next,
        records,
    ))
    .ok()?;
    log::debug!(
        "records of {topic:?} from {from:?} to {next}: {} bytes after {} ms",
        body.len(),
        clock::now().since(started)
    );
    relay.responses[topic.index()] = Some(CachedResponse {
        from,
        next,
        body: body.clone(),
    });
    Some(body)
}

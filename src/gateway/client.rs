//! HTTP/1 client with a pool of connections to targets and to the log.
//!
//! Each connection carries one request at a time. A failure tells whether any byte
//! of the request may have left the host. Dropping a call closes its connection,
//! which cancels the request at targets that watch for the close.

mod pace;
mod wire;

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use prometheus_client::metrics::counter::Counter;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::clock;
use crate::gateway::memory;

/// Idle timeout of a connection if the peer names none, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 8_000;

/// Upper limit of the idle timeout that a peer names, in seconds. Larger values
/// are reduced to it.
const MAX_IDLE_SECS: u64 = 3_600;

/// Time before the end of a peer's idle timeout from which on a connection is not
/// used, in milliseconds, so that no request crosses the peer's close.
const IDLE_MARGIN_MS: u64 = 2_000;

/// Milliseconds in a second.
const MS_PER_SECOND: u64 = 1_000;

/// Identified requests after which a connection is not used again. It bounds the
/// memory for their identifiers, 8 bytes each.
const MAX_CARRIED: usize = 1_024;

/// Largest part of a response that is read at once, in bytes. It bounds the memory for a
/// large body that is forwarded as its caller takes it.
const MAX_READ_BYTES: usize = 64 << 10;

/// Default of the largest response body that a call reads, in bytes. Peers of calls send at
/// most a few megabytes; a body without an end must not fill the memory of a small host.
const MAX_CALL_BYTES: usize = 16 << 20;

/// Peer of a connection: an address and the incarnation of the process behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Address on which the peer listens.
    pub address: SocketAddr,
    /// Unix time of the start of the process in milliseconds, or 0 if unknown.
    pub birth: u64,
}

/// Reason why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing listens at the address, and nothing was sent.
    Refused,
    /// No connection could be opened or used, and nothing was sent.
    Unreachable,
    /// The request may no longer go to the peer, and nothing was sent.
    Withdrawn,
    /// The connection broke or the response timed out. The peer may have read the
    /// request.
    Broken,
    /// The connection ended after the request had been written completely and before any
    /// byte of a response, as it does if the peer's process ends.
    Closed,
}

impl Failure {
    /// Returns whether certainly no byte of the request reached the peer.
    pub fn is_unsent(self) -> bool {
        !matches!(self, Self::Broken | Self::Closed)
    }
}

/// Timeouts of a response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimeouts {
    /// Time until its head is complete.
    pub head: Duration,
    /// Time until each further part of its body. The number of parts is not
    /// limited, because a large body may take long on a slow link.
    pub part: Duration,
}

impl ResponseTimeouts {
    /// No timeouts, for calls that their caller limits.
    const UNLIMITED: Self = Self {
        head: Duration::MAX,
        part: Duration::MAX,
    };
}

/// Use of connections by a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// The call uses an idle connection if there is one, and leaves its connection to
    /// later calls.
    Pooled,
    /// The call uses a connection that carries nothing else, so that no answer to another
    /// request can come on it.
    Never,
}

/// How a request is sent, and its response read.
struct Options<'m> {
    /// Longest time for a new connection to open.
    connect: Duration,
    reuse: Reuse,
    timeouts: ResponseTimeouts,
    /// Memory that the response takes.
    memory: &'m Arc<memory::ResponseMemory>,
    /// Largest body that is read whole, in bytes, if the memory allows as much.
    max_whole: usize,
}

/// Place of a response on its connection, from which callers conclude whether it
/// certainly answers the request. Each response of [`Client::send`] has one among its
/// extensions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The first response on its connection.
    First,
    /// A later response. A faulty peer may have repeated an earlier one, unless it names
    /// the request: no connection carries the same identifier twice.
    Later,
    /// The peer sent data before the head of the request was written completely, so
    /// that the response does not answer the request.
    Early,
    /// More bytes came than the response's length allows, or it states both a length and
    /// chunks, so that its body may not be what the peer meant.
    Misframed,
}

/// Body of a response.
pub enum Body {
    /// The complete body.
    Whole(Bytes),
    /// The beginning of a large body, and the stream of the rest.
    Partial(Bytes, Stream),
}

/// Rest of a large body. Dropping it closes the connection.
pub struct Stream {
    incoming: Incoming,
    progress: Rc<wire::Progress>,
    length: Option<u64>,
    pace: pace::Pace,
    _driver: Driver,
}

impl Stream {
    /// Returns the next part of the body, or `None` at its end.
    ///
    /// # Errors
    /// Returns [`Failure::Broken`] if the connection broke before the end, or if more
    /// bytes came than the response's length allows.
    pub async fn next(&mut self) -> Option<Result<Bytes, Failure>> {
        loop {
            let Some(frame) = self.incoming.frame().await else {
                let is_longer = self.progress.is_longer(self.length.take());
                return is_longer.then_some(Err(Failure::Broken));
            };
            let Ok(frame) = frame else {
                return Some(Err(Failure::Broken));
            };
            if let Ok(data) = frame.into_data() {
                self.pace.on_part(data.len()).await;
                return Some(Ok(data));
            }
        }
    }
}

/// Handle of a connection's task, which is aborted when the handle is dropped.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Connection without a request in progress.
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
    progress: Rc<wire::Progress>,
    /// Whether the connection has carried a request.
    used: bool,
    /// Digests of the identifiers of the requests that it has carried.
    carried: Vec<u64>,
    /// Time from which on the connection is not used again.
    usable_until: clock::Millis,
}

/// HTTP client with a pool of idle connections for each peer.
#[derive(Default)]
pub struct Client {
    idle: RefCell<HashMap<Peer, Vec<Connection>>>,
    /// Connections opened to peers whose start time is known.
    opened: Counter,
    /// Header with the identifier of a request.
    identifier: Option<http::HeaderName>,
    /// Digests identifiers.
    hasher: RandomState,
    /// Memory for responses that are forwarded.
    memory: Arc<memory::ResponseMemory>,
    /// Memory for the answers to calls, which has no limit: those who call keep them.
    call_memory: Arc<memory::ResponseMemory>,
    /// Largest response body that a call reads, in bytes.
    call_limit: CallLimit,
}

/// Largest response body that a call reads, in bytes.
#[derive(Clone, Copy, Debug)]
struct CallLimit(usize);

impl Default for CallLimit {
    fn default() -> Self {
        Self(MAX_CALL_BYTES)
    }
}

impl Client {
    /// Returns a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a client without connections that counts in `opened` the connections
    /// that it opens to peers whose start time is known.
    pub fn with_counter(opened: Counter) -> Self {
        Self {
            opened,
            ..Self::default()
        }
    }

    /// Sets the header with the identifier of a request. No connection carries two
    /// requests with the same identifier.
    pub fn with_identifier(self, name: http::HeaderName) -> Self {
        Self {
            identifier: Some(name),
            ..self
        }
    }

    /// Sets the memory for responses that are forwarded; the default has no limit.
    pub fn with_memory(self, memory: memory::ResponseMemory) -> Self {
        Self {
            memory: Arc::new(memory),
            ..self
        }
    }

    /// Sets the largest response body that a call reads, in bytes; a longer one fails as
    /// [`Failure::Broken`]. The default is 16 MiB.
    pub fn with_call_limit(self, limit: usize) -> Self {
        Self {
            call_limit: CallLimit(limit),
            ..self
        }
    }

    /// Returns the memory for responses that are forwarded.
    pub fn memory(&self) -> &Arc<memory::ResponseMemory> {
        &self.memory
    }

    /// Returns the digest of a request's identifier, if it has one.
    fn digest<T>(&self, request: &http::Request<T>) -> Option<u64> {
        let id = request.headers().get(self.identifier.as_ref()?)?;
        Some(self.hasher.hash_one(id.as_bytes()))
    }

    /// Sends a request and returns the response, whose body may still arrive.
    ///
    /// A new connection may take as long as `connect`. An idle connection that
    /// turns out to be closed before anything was sent is replaced. Nothing is sent on
    /// a new connection unless `may_send` holds when it is open. The connection is used
    /// again only if `is_reusable` accepts the response's headers.
    ///
    /// # Errors
    /// The failure tells whether the request may have reached the peer.
    pub async fn send(
        &self,
        peer: Peer,
        request: http::Request<Bytes>,
        connect: Duration,
        may_send: impl Fn() -> bool,
        is_reusable: impl Fn(&http::HeaderMap) -> bool,
    ) -> Result<http::Response<Body>, Failure> {
        let options = Options {
            connect,
            reuse: Reuse::Pooled,
            timeouts: ResponseTimeouts::UNLIMITED,
            memory: &self.memory,
            max_whole: usize::MAX,
        };
        let exchange = self.send_on(peer, request, &options, may_send);
        Ok(self.release(peer, exchange.await?, is_reusable))
    }

    /// Sends a request on an idle connection if the options allow it, or on a new one if none
    /// is usable.
    async fn send_on(
        &self,
        peer: Peer,
        request: http::Request<Bytes>,
        options: &Options<'_>,
        may_send: impl Fn() -> bool,
    ) -> Result<Exchange, Failure> {
        let id = self.digest(&request);
        let mut request = request.map(Full::new);
        while let Reuse::Pooled = options.reuse
            && let Some(mut connection) = self.take_idle(peer, id)
        {
            connection.carried.extend(id);
            match Self::exchange(connection, request, options).await {
                Ok(exchange) => return Ok(exchange),
                Err((failure, None)) => return Err(failure),
                Err((_, Some(unsent))) => request = unsent,
            }
        }
        let mut connection = connect_to(peer.address, options.connect).await?;
        connection.carried.extend(id);
        if peer.birth != 0 {
            self.opened.inc();
        }
        if !may_send() {
            return Err(Failure::Withdrawn);
        }
        let exchange = Self::exchange(connection, request, options).await;
        exchange.map_err(|(failure, _)| failure)
    }

    /// Sends a request and returns the response with its complete body.
    ///
    /// # Errors
    /// The failure tells whether the request may have reached the peer.
    pub async fn call(
        &self,
        peer: Peer,
        request: http::Request<Bytes>,
        connect: Duration,
    ) -> Result<http::Response<Bytes>, Failure> {
        let reuse = Reuse::Pooled;
        self.call_if(peer, request, connect, reuse, || true).await
    }

    /// Sends a request and returns the response with its complete body. If a connection has
    /// to be opened, the request is written only if `may_send` then returns true.
    ///
    /// # Errors
    /// The failure tells whether the request may have reached the peer.
    pub async fn call_if(
        &self,
        peer: Peer,
        request: http::Request<Bytes>,
        connect: Duration,
        reuse: Reuse,
        may_send: impl Fn() -> bool,
    ) -> Result<http::Response<Bytes>, Failure> {
        let timeouts = ResponseTimeouts::UNLIMITED;
        let options = Options {
            connect,
            reuse,
            timeouts,
            memory: &self.call_memory,
            max_whole: self.call_limit.0,
        };
        let exchange = self.send_on(peer, request, &options, may_send).await?;
        self.complete(peer, exchange, reuse, timeouts).await
    }

    /// Sends a request and returns the response with its complete body, within the
    /// timeouts of a response.
    ///
    /// # Errors
    /// The failure tells whether the request may have reached the peer. A response that
    /// came before the request, or whose lengths disagree, fails as [`Failure::Broken`].
    pub async fn fetch(
        &self,
        peer: Peer,
        request: http::Request<Bytes>,
        connect: Duration,
        reuse: Reuse,
        timeouts: ResponseTimeouts,
    ) -> Result<http::Response<Bytes>, Failure> {
        let options = Options {
            connect,
            reuse,
            timeouts,
            memory: &self.call_memory,
            max_whole: self.call_limit.0,
        };
        let exchange = self.send_on(peer, request, &options, || true).await?;
        let response = self.complete(peer, exchange, reuse, timeouts).await?;
        match response.extensions().get() {
            Some(Origin::First | Origin::Later) => Ok(response),
            _ => Err(Failure::Broken),
        }
    }

    /// Reads the rest of a response.
    async fn complete(
        &self,
        peer: Peer,
        exchange: Exchange,
        reuse: Reuse,
        timeouts: ResponseTimeouts,
    ) -> Result<http::Response<Bytes>, Failure> {
        let response = self.release(peer, exchange, |_| reuse == Reuse::Pooled);
        let (parts, body) = response.into_parts();
        let bytes = match body {
            Body::Whole(bytes) => bytes,
            Body::Partial(first, mut rest) => {
                if first.len() > self.call_limit.0 {
                    return Err(Failure::Broken);
                }
                let mut buffer = bytes::BytesMut::from(&first[..]);
                while let Some(part) = with_timeout(timeouts.part, rest.next()).await? {
                    buffer.extend_from_slice(&part?);
                    if buffer.len() > self.call_limit.0 {
                        return Err(Failure::Broken);
                    }
                }
                buffer.freeze()
            }
        };
        Ok(http::Response::from_parts(parts, bytes))
    }

    /// Closes idle connections that can no longer be used.
    pub fn close_expired(&self, now: clock::Millis) {
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|connection| {
                connection.usable_until > now && !connection.sender.is_closed()
            });
            !idle.is_empty()
        });
    }

    /// Returns whether the pool has a usable idle connection to a peer.
    pub fn has_idle(&self, peer: Peer) -> bool {
        let now = clock::now();
        let idle = self.idle.borrow();
        let idle = idle.get(&peer);
        idle.is_some_and(|idle| {
            let mut usable = idle
                .iter()
                .filter(|connection| connection.usable_until > now);
            usable.any(|connection| connection.sender.is_ready())
        })
    }

    /// Takes from the pool a usable idle connection that has not carried a request with
    /// the identifier `id`.
    fn take_idle(&self, peer: Peer, id: Option<u64>) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&peer)?;
        idle.retain(|connection| connection.usable_until > now && connection.sender.is_ready());
        let fit = idle
            .iter()
            .rposition(|connection| id.is_none_or(|id| !connection.carried.contains(&id)))?;
        Some(idle.remove(fit))
    }

    /// Sends a request on a connection and reads its response, large bodies only in
    /// part. If it fails, returns the request unless it may have been sent.
    async fn exchange(
        mut connection: Connection,
        request: http::Request<Full<Bytes>>,
        options: &Options<'_>,
    ) -> Result<Exchange, (Failure, Option<http::Request<Full<Bytes>>>)> {
        let origin = match std::mem::replace(&mut connection.used, true) {
            false => Origin::First,
            true => Origin::Later,
        };
        connection.progress.begin();
        // The HTTP library keeps a request that it began to write, even if the system
        // took no byte of it. A new connection gets no second try.
        let copy = (origin == Origin::Later).then(|| request.clone());
        let body_bytes = hyper::body::Body::size_hint(request.body()).exact();
        let response = connection.sender.try_send_request(request);
        let response = match with_timeout(options.timeouts.head, response).await {
            Ok(Ok(response)) => response,
            Err(failure) => return Err((failure, None)),
            Ok(Err(mut error)) => {
                let is_written = connection.progress.is_written();
                let unsent = error.take_message().or(copy.filter(|_| !is_written));
                let failure = match unsent.is_some() || !is_written {
                    true => Failure::Unreachable,
                    false if connection.progress.is_silent(body_bytes) => Failure::Closed,
                    false => Failure::Broken,
                };
                return Err((failure, unsent));
            }
        };
        let (mut parts, mut incoming) = response.into_parts();
        let length = stated_length(&parts.headers);
        parts
            .extensions
            .insert(match connection.progress.has_two_framings() {
                true => Origin::Misframed,
                false if connection.progress.is_early() => Origin::Early,
                false => origin,
            });
        let mut bytes = bytes::BytesMut::new();
        let mut share = memory::Share::new(options.memory);
        let mut pace = pace::Pace::default();
        loop {
            let frame = with_timeout(options.timeouts.part, incoming.frame()).await;
            let Some(frame) = frame.map_err(|failure| (failure, None))? else {
                break;
            };
            let frame = frame.map_err(|_| (Failure::Broken, None))?;
            if let Ok(data) = frame.into_data() {
                share.add(data.len());
                bytes.extend_from_slice(&data);
                pace.on_part(data.len()).await;
            }
            if bytes.len() > options.memory.whole_limit().min(options.max_whole) {
                let stream = Stream {
                    incoming,
                    progress: connection.progress,
                    length,
                    pace,
                    _driver: connection.driver,
                };
                let body = Body::Partial(share.hold(bytes.freeze()), stream);
                return Ok((http::Response::from_parts(parts, body), None));
            }
        }
        if connection.progress.is_longer(length) {
            parts.extensions.insert(Origin::Misframed);
        }
        let body = Body::Whole(share.hold(bytes.freeze()));
        Ok((http::Response::from_parts(parts, body), Some(connection)))
    }

    /// Returns the connection to the pool if it can be used again.
    fn release(
        &self,
        peer: Peer,
        (response, connection): Exchange,
        is_reusable: impl Fn(&http::HeaderMap) -> bool,
    ) -> http::Response<Body> {
        let Some(mut connection) = connection else {
            return response;
        };
        let is_worn = connection.carried.len() >= MAX_CARRIED;
        let origin = response.extensions().get();
        let in_order = matches!(origin, Some(Origin::First | Origin::Later));
        if in_order && !is_worn && !connection.sender.is_closed() && is_reusable(response.headers())
        {
            connection.usable_until = clock::now() + idle_time(response.headers());
            self.idle
                .borrow_mut()
                .entry(peer)
                .or_default()
                .push(connection);
        }
        response
    }

    /// Closes all idle connections to a peer.
    pub fn close_idle(&self, peer: Peer) {
        self.idle.borrow_mut().remove(&peer);
    }
}

/// Response, and its connection if the body was read whole.
type Exchange = (http::Response<Body>, Option<Connection>);

/// Waits for a part of a response for at most `limit`. A timeout fails as
/// [`Failure::Broken`], because the peer may have read the request.
async fn with_timeout<T>(limit: Duration, part: impl Future<Output = T>) -> Result<T, Failure> {
    if limit == Duration::MAX {
        return Ok(part.await);
    }
    let part = tokio::time::timeout(limit, part).await;
    part.map_err(|_| Failure::Broken)
}

/// Returns the length that a response states for its body.
fn stated_length(headers: &http::HeaderMap) -> Option<u64> {
    let length = headers.get(http::header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

/// Returns how long a connection may be used after a response, in milliseconds.
fn idle_time(headers: &http::HeaderMap) -> u64 {
    let named = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.parse::<u64>().ok());
    match named {
        Some(seconds) => seconds
            .min(MAX_IDLE_SECS)
            .saturating_mul(MS_PER_SECOND)
            .saturating_sub(IDLE_MARGIN_MS),
        None => DEFAULT_IDLE_MS,
    }
}

/// Opens a connection and starts its task.
async fn connect_to(address: SocketAddr, limit: Duration) -> Result<Connection, Failure> {
    let stream = match tokio::time::timeout(limit, TcpStream::connect(address)).await {
        Err(_) => return Err(Failure::Unreachable),
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(Failure::Refused);
        }
        Ok(Err(_)) => return Err(Failure::Unreachable),
        Ok(Ok(stream)) => stream,
    };
    wire::set_options(&stream);
    let progress = Rc::new(wire::Progress::default());
    let stream = wire::Wire::new(stream, Rc::clone(&progress));
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_READ_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| Failure::Unreachable)?;
    let driver = tokio::task::spawn_local(async move {
        // The call that uses the connection detects the error.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        driver: Driver(driver),
        progress,
        used: false,
        carried: Vec::new(),
        usable_until: clock::Millis(u64::MAX),
    })
}

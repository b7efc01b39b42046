//! Connections to targets and to the log, one request at a time each.
//!
//! A failure says whether any byte of the request may have left the host.
//! Dropping a call closes its connection, which cancels the work at a target
//! that heeds it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::clock;

/// Time for which an idle connection is kept if the peer names none, in milliseconds.
const IDLE: u64 = 8_000;

/// Longest idle time of a peer that counts, in seconds.
const LONGEST_IDLE: u64 = 3_600;

/// Time before the end of a peer's idle time at which a connection is no longer
/// used, in milliseconds: a request must not cross the peer's close.
const IDLE_MARGIN: u64 = 2_000;

/// Time without an acknowledgement after which the system gives a connection
/// up: one that went silent for good has no other sign.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);

/// Largest body of an answer that is read whole before it is passed on, in bytes.
const WHOLE: usize = 1 << 20;

/// Peer of a connection: an address and the life of the process behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Address.
    pub address: SocketAddr,
    /// Birth of the process, or 0 where it is not known.
    pub birth: u64,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing listens at the address; nothing was sent.
    Refused,
    /// No connection came about; nothing was sent.
    Unreachable,
    /// The connection broke; the request may have been read.
    Broken,
}

impl Failure {
    /// Returns whether no byte of the request can have reached the peer.
    pub fn is_unsent(self) -> bool {
        self != Self::Broken
    }
}

/// Times within which an answer has to come.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Time until its head.
    pub head: Duration,
    /// Time until each further part. A long answer may take any number of these
    /// on a slow link.
    pub part: Duration,
}

impl Patience {
    /// Waits for as long as the caller does.
    const ENDLESS: Self = Self {
        head: Duration::MAX,
        part: Duration::MAX,
    };
}

/// Body of an answer.
pub enum Body {
    /// All of it.
    Whole(Bytes),
    /// Its beginning, and what is still to come.
    Partial(Bytes, Stream),
}

/// Rest of a large body; dropping it closes the connection.
pub struct Stream {
    incoming: Incoming,
    _driver: Driver,
}

impl Stream {
    /// Returns the next part, or `None` at the end.
    ///
    /// # Errors
    /// Fails if the connection broke before the end.
    pub async fn next(&mut self) -> Option<Result<Bytes, Failure>> {
        loop {
            let frame = self.incoming.frame().await?;
            let Ok(frame) = frame else {
                return Some(Err(Failure::Broken));
            };
            if let Ok(data) = frame.into_data() {
                return Some(Ok(data));
            }
        }
    }
}

/// Ends a connection's task when it is dropped.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
    until: clock::Millis,
}

/// Pool of connections by peer.
#[derive(Default)]
pub struct Client {
    idle: RefCell<HashMap<Peer, Vec<Connection>>>,
}

impl Client {
    /// Returns a pool without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and returns the answer.
    ///
    /// A connection that proves closed before anything was sent is replaced.
    ///
    /// # Errors
    /// Says whether the request may have reached the peer.
    /// The connection is used again only if `keep` accepts the answer.
    pub async fn send(
        &self,
        peer: Peer,
        request: http::Request<Bytes>,
        connect: Duration,
        keep: impl Fn(&http::HeaderMap) -> bool,
    ) -> Result<http::Response<Body>, Failure> {
        let done = self.reach(peer, request, connect, Patience::ENDLESS);
        Ok(self.settle(peer, done.await?, keep))
    }

    async fn reach(
        &self,
        peer: Peer,
        request: http::Request<Bytes>,
        connect: Duration,
        patience: Patience,
    ) -> Result<Done, Failure> {
        let mut request = request.map(Full::new);
        while let Some(connection) = self.take(peer) {
            match Self::exchange(connection, request, patience).await {
                Ok(done) => return Ok(done),
                Err((failure, None)) => return Err(failure),
                Err((_, Some(unsent))) => request = unsent,
            }
        }
        let connection = open(peer.address, connect).await?;
        let done = Self::exchange(connection, request, patience).await;
        done.map_err(|(failure, _)| failure)
    }

    /// Sends a request and reads its answer whole.
    ///
    /// # Errors
    /// Says whether the request may have reached the peer.
    pub async fn call(
        &self,
        peer: Peer,
        request: http::Request<Bytes>,
        connect: Duration,
    ) -> Result<http::Response<Bytes>, Failure> {
        self.fetch(peer, request, connect, Patience::ENDLESS).await
    }

    /// Does the same, but gives up an answer that does not come within `patience`.
    ///
    /// # Errors
    /// Says whether the request may have reached the peer.
    pub async fn fetch(
        &self,
        peer: Peer,
        request: http::Request<Bytes>,
        connect: Duration,
        patience: Patience,
    ) -> Result<http::Response<Bytes>, Failure> {
        let done = self.reach(peer, request, connect, patience).await?;
        let response = self.settle(peer, done, |_| true);
        let (parts, body) = response.into_parts();
        let bytes = match body {
            Body::Whole(bytes) => bytes,
            Body::Partial(first, mut rest) => {
                let mut all = bytes::BytesMut::from(&first[..]);
                while let Some(part) = within(patience.part, rest.next()).await? {
                    all.extend_from_slice(&part?);
                }
                all.freeze()
            }
        };
        Ok(http::Response::from_parts(parts, bytes))
    }

    /// Closes idle connections that are no longer of use.
    pub fn sweep(&self, now: clock::Millis) {
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|connection| connection.until > now && !connection.sender.is_closed());
            !idle.is_empty()
        });
    }

    fn take(&self, peer: Peer) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&peer)?;
        while let Some(connection) = idle.pop() {
            if connection.until > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    async fn exchange(
        mut connection: Connection,
        request: http::Request<Full<Bytes>>,
        patience: Patience,
    ) -> Result<Done, (Failure, Option<http::Request<Full<Bytes>>>)> {
        let response = connection.sender.try_send_request(request);
        let response = match within(patience.head, response).await {
            Ok(Ok(response)) => response,
            Err(failure) => return Err((failure, None)),
            Ok(Err(mut error)) => {
                let unsent = error.take_message();
                let failure = match unsent {
                    Some(_) => Failure::Unreachable,
                    None => Failure::Broken,
                };
                return Err((failure, unsent));
            }
        };
        let (parts, mut incoming) = response.into_parts();
        let mut bytes = bytes::BytesMut::new();
        loop {
            let frame = within(patience.part, incoming.frame()).await;
            let Some(frame) = frame.map_err(|failure| (failure, None))? else {
                break;
            };
            let frame = frame.map_err(|_| (Failure::Broken, None))?;
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
            if bytes.len() > WHOLE {
                let stream = Stream {
                    incoming,
                    _driver: connection.driver,
                };
                let body = Body::Partial(bytes.freeze(), stream);
                return Ok((http::Response::from_parts(parts, body), None));
            }
        }
        let body = Body::Whole(bytes.freeze());
        Ok((http::Response::from_parts(parts, body), Some(connection)))
    }

    /// Keeps the connection for the next request if it can serve one.
    fn settle(
        &self,
        peer: Peer,
        (response, connection): Done,
        keep: impl Fn(&http::HeaderMap) -> bool,
    ) -> http::Response<Body> {
        let Some(mut connection) = connection else {
            return response;
        };
        if !connection.sender.is_closed() && keep(response.headers()) {
            connection.until = clock::now() + idle_time(response.headers());
            self.idle
                .borrow_mut()
                .entry(peer)
                .or_default()
                .push(connection);
        }
        response
    }

    /// Closes all idle connections to a peer.
    pub fn forget(&self, peer: Peer) {
        self.idle.borrow_mut().remove(&peer);
    }
}

type Done = (http::Response<Body>, Option<Connection>);

/// Waits for a part of an answer for as long as `limit`.
async fn within<T>(limit: Duration, part: impl Future<Output = T>) -> Result<T, Failure> {
    if limit == Duration::MAX {
        return Ok(part.await);
    }
    let part = tokio::time::timeout(limit, part).await;
    part.map_err(|_| Failure::Broken)
}

/// Returns how long a connection may be used after an answer, in milliseconds.
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
            .min(LONGEST_IDLE)
            .saturating_mul(1_000)
            .saturating_sub(IDLE_MARGIN),
        None => IDLE,
    }
}

async fn open(address: SocketAddr, limit: Duration) -> Result<Connection, Failure> {
    let stream = match tokio::time::timeout(limit, TcpStream::connect(address)).await {
        Err(_) => return Err(Failure::Unreachable),
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(Failure::Refused);
        }
        Ok(Err(_)) => return Err(Failure::Unreachable),
        Ok(Ok(stream)) => stream,
    };
    tune(&stream);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| Failure::Unreachable)?;
    let driver = tokio::task::spawn_local(async move {
        // A broken connection is seen by the call that uses it.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        driver: Driver(driver),
        until: clock::Millis(u64::MAX),
    })
}

/// Sets what a connection needs to notice a silent peer.
fn tune(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    // A call that was given up must not arrive later: without this option the
    // system goes on sending what is under way after the close.
    let _ = socket.set_linger(Some(Duration::ZERO));
    // Without these options the connection works, and only ends later.
    let _ = socket.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
}

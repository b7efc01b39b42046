//! The HTTP server that the stand-ins share.
//!
//! `hyper` takes the place of `astra` here: a handler of `astra` 0.4 that
//! reads a request body waits without end if the body didn't arrive together
//! with the head. One thread does the socket I/O, and every request is
//! answered on a thread of its own from a bounded pool.

use std::convert::Infallible;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::thread;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame};
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::runtime;
use tokio::sync::{mpsc, oneshot};

/// Most requests that one stand-in answers at a time; others wait. A request
/// on a connection that a fault made silent counts until the fault ends.
pub const MAX_REQUESTS: usize = 400;

/// Largest body of a control request, in bytes.
const MAX_CONTROL: u64 = 16 << 20;

/// Size of a piece of a streamed answer, in bytes.
const PIECE: usize = 64 << 10;

/// Pieces of a streamed answer that wait for the connection.
const PIECES: usize = 2;

/// A request with a body that is read while it arrives.
pub type Request = hyper::Request<Body>;

/// An answer.
pub type Response = hyper::Response<Reply>;

/// A request body; reading it blocks until bytes arrive.
pub struct Body {
    incoming: hyper::body::Incoming,
    runtime: runtime::Handle,
    piece: Bytes,
}

impl Body {
    /// Returns whether the request has a body that isn't empty.
    pub fn has_bytes(&self) -> bool {
        !self.piece.is_empty() || !self.incoming.is_end_stream()
    }
}

impl Read for Body {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while self.piece.is_empty() {
            if self.incoming.is_end_stream() {
                return Ok(0);
            }
            let Some(frame) = self.runtime.block_on(self.incoming.frame()) else {
                return Ok(0);
            };
            let frame = frame.map_err(io::Error::other)?;
            self.piece = frame.into_data().unwrap_or_default();
        }
        let size = buffer.len().min(self.piece.len());
        buffer[..size].copy_from_slice(&self.piece.split_to(size));
        Ok(size)
    }
}

/// The body of an answer.
pub enum Reply {
    /// The whole body.
    Whole(Bytes),
    /// A body that is read while it is sent. An error cuts it off: the
    /// connection is closed and the caller can tell.
    Stream(Box<dyn Read + Send>),
    /// No answer: the connection is closed before any byte is sent.
    Close,
}

/// One connection, in the order in which they were accepted.
#[derive(Clone)]
pub struct Connection {
    /// The number of the connection, from 0.
    pub number: u64,
    requests: Arc<AtomicU64>,
}

impl Connection {
    /// Counts a request and returns how many came before it.
    pub fn count(&self) -> u64 {
        self.requests.fetch_add(1, Ordering::Relaxed)
    }
}

/// A server that runs until this value is stopped or dropped.
pub struct Serving {
    /// The address that is bound.
    pub addr: SocketAddr,
    stop: oneshot::Sender<Infallible>,
    thread: thread::JoinHandle<()>,
}

impl Serving {
    /// Closes the listener and all connections, and returns when new
    /// connections are refused. Requests that run go on without an answer.
    pub fn stop(self) {
        drop(self.stop);
        let _ = self.thread.join();
    }
}

/// Binds `addr` and serves it with `handler` on background threads.
///
/// # Errors
/// The address isn't 127.0.0.1 or can't be bound.
pub fn serve(
    addr: SocketAddr,
    handler: impl Fn(Request, Connection) -> Response + Send + Sync + 'static,
) -> Result<Serving, crate::Error> {
    crate::check_loopback(addr)?;
    let failed = |source| crate::Error::Listen { addr, source };
    let listener = TcpListener::bind(addr).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_io()
        .max_blocking_threads(MAX_REQUESTS)
        .build()
        .map_err(failed)?;
    let (stop, stopped) = oneshot::channel();
    let thread = thread::spawn(move || {
        runtime.block_on(async {
            tokio::select! {
                () = accept(listener, Arc::new(handler)) => {}
                _ = stopped => {}
            }
        });
        runtime.shutdown_background();
    });
    let addr = bound;
    Ok(Serving { addr, stop, thread })
}

async fn accept<H>(listener: TcpListener, handler: Arc<H>)
where
    H: Fn(Request, Connection) -> Response + Send + Sync + 'static,
{
    let listener = tokio::net::TcpListener::from_std(listener).expect("the runtime does I/O");
    for number in 0.. {
        // Accepting fails when the caller has gone or descriptors run out; both
        // concern one connection only.
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let requests = Arc::default();
        let connection = Connection { number, requests };
        let handler = Arc::clone(&handler);
        let service = service::service_fn(move |request| {
            answer(Arc::clone(&handler), request, connection.clone())
        });
        let serving = http1::Builder::new()
            .header_read_timeout(None)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(serving);
    }
}

async fn answer<H>(
    handler: Arc<H>,
    request: hyper::Request<hyper::body::Incoming>,
    connection: Connection,
) -> io::Result<hyper::Response<Pieces>>
where
    H: Fn(Request, Connection) -> Response + Send + Sync + 'static,
{
    let runtime = runtime::Handle::current();
    let (head, heads) = oneshot::channel();
    tokio::task::spawn_blocking(move || {
        let request = request.map(|incoming| Body {
            incoming,
            runtime,
            piece: Bytes::new(),
        });
        send(handler(request, connection), head);
    });
    heads
        .await
        .map_err(|_| io::ErrorKind::ConnectionAborted.into())
}

fn send(answer: Response, head: oneshot::Sender<hyper::Response<Pieces>>) {
    let (parts, reply) = answer.into_parts();
    let mut reader = match reply {
        Reply::Whole(bytes) => {
            let whole = Pieces::Whole(bytes);
            let _ = head.send(hyper::Response::from_parts(parts, whole));
            return;
        }
        Reply::Stream(reader) => reader,
        Reply::Close => return,
    };
    let (sender, receiver) = mpsc::channel(PIECES);
    let pieces = Pieces::Stream(receiver);
    if head
        .send(hyper::Response::from_parts(parts, pieces))
        .is_err()
    {
        return;
    }
    let mut buffer = vec![0; PIECE];
    loop {
        let piece = match reader.read(&mut buffer) {
            Ok(0) => return,
            Ok(size) => Ok(Bytes::copy_from_slice(&buffer[..size])),
            Err(error) => Err(error),
        };
        let last = piece.is_err();
        if sender.blocking_send(piece).is_err() || last {
            return;
        }
    }
}

/// An answer's body on its way to the connection.
enum Pieces {
    Whole(Bytes),
    Stream(mpsc::Receiver<io::Result<Bytes>>),
}

impl hyper::body::Body for Pieces {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Stream(receiver) => {
                let piece = receiver.poll_recv(context);
                piece.map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Whole(bytes) => hyper::body::SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(_) => hyper::body::SizeHint::default(),
        }
    }
}

/// Returns an answer with a JSON body.
pub fn json(status: u16, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("the stand-ins' wire types serialize");
    build(status, "application/json", body)
}

/// Returns an answer with a text body.
pub fn text(status: u16, message: impl Into<String>) -> Response {
    build(status, "text/plain", message.into())
}

fn build(status: u16, kind: &str, body: impl Into<Bytes>) -> Response {
    hyper::Response::builder()
        .status(status)
        .header("content-type", kind)
        .body(Reply::Whole(body.into()))
        .expect("status and header are valid")
}

/// Returns an answer that closes the connection before any byte is sent.
pub fn closed() -> Response {
    hyper::Response::new(Reply::Close)
}

/// Reads the whole body of a control request.
///
/// # Errors
/// The body is cut off; bytes above 16 MiB are ignored.
pub fn read_all(request: &mut Request) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    request
        .body_mut()
        .take(MAX_CONTROL)
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Why a JSON body can't be used.
#[derive(Debug, thiserror::Error)]
pub enum InvalidBody {
    /// The body is cut off.
    #[error("the body is cut off: {0}")]
    Read(#[from] io::Error),
    /// The body doesn't have the form expected.
    #[error("the body is invalid: {0}")]
    Json(#[from] serde_json::Error),
}

/// Reads a JSON body.
///
/// # Errors
/// The body is cut off or doesn't have the form of `T`.
pub fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, InvalidBody> {
    let bytes = read_all(request)?;
    Ok(serde_json::from_slice(&bytes)?)
}

/// Returns the number that the query gives for `name`, or `None` if it is
/// missing or isn't a number.
pub fn query(request: &Request, name: &str) -> Option<u64> {
    let pairs = request.uri().query()?.split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    values.find(|(key, _)| *key == name)?.1.parse().ok()
}

/// Returns a header as text, or `None` if it is missing or isn't text.
pub fn header<'request>(request: &'request Request, name: &str) -> Option<&'request str> {
    request.headers().get(name)?.to_str().ok()
}

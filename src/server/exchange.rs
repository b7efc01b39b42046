//! One request and its response on the I/O thread.

use std::convert::Infallible;
use std::error::Error as _;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Method, Version, header, request};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::{mpsc, oneshot};
use tokio::time;

use crate::clock;
use crate::server::{SMALL_BODY_BYTES, listener, message, payload, refusal, stream, worker};
use crate::token;

/// Pieces of a request's body that are buffered for the worker.
const MAX_QUEUED_PIECES: usize = 4;

/// Time after which an overloaded server tells callers to retry, in milliseconds.
const OVERLOAD_RETRY_MS: u64 = 100;

/// Future of a response. Boxed because `hyper` returns the socket only for
/// futures that are `Unpin`.
pub(super) type ResponseFuture =
    Pin<Box<dyn Future<Output = Result<http::Response<ResponseBody>, Infallible>> + Send>>;

/// State that the requests of one connection share.
pub(super) struct Link {
    pub(super) shared: Arc<listener::Shared>,
    pub(super) pool: Arc<worker::Pool>,
    pub(super) progress: Arc<stream::Progress>,
    pub(super) peer: SocketAddr,
}

/// A request between the arrival of its head and the end of its response.
struct Running {
    link: Arc<Link>,
    token: token::Token,
    /// Whether no part of the response is still to come from the worker.
    complete: bool,
}

impl Running {
    fn new(link: Arc<Link>) -> Self {
        link.progress.begin();
        link.shared.running.fetch_add(1, Ordering::Relaxed);
        let token = token::Token::new();
        Self {
            link,
            token,
            complete: false,
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.link.progress.finish(self.complete);
        self.link.shared.running.fetch_sub(1, Ordering::Relaxed);
        self.token.cancel();
    }
}

/// Passes a request to a worker and returns its response.
pub(super) async fn serve(
    link: Arc<Link>,
    request: http::Request<Incoming>,
) -> Result<http::Response<ResponseBody>, Infallible> {
    let arrived = clock::now();
    let running = Running::new(link);
    let (parts, body) = request.into_parts();
    let head = parts.method == Method::HEAD;
    let chunked = parts.headers.contains_key(header::TRANSFER_ENCODING);
    let mut reply = match dispatch(&running, parts, body, arrived).await {
        Ok(reply) => reply,
        Err(refusal) => refuse(refusal),
    };
    if chunked {
        // Requests after a chunked body are not scanned for contradicting framing.
        let close = HeaderValue::from_static("close");
        reply.headers.insert(header::CONNECTION, close);
    }
    running.link.progress.respond();
    Ok(respond(reply, running, head))
}

/// Validates a request, submits it to a worker and waits for the reply.
async fn dispatch(
    running: &Running,
    parts: request::Parts,
    body: Incoming,
    arrived: clock::Millis,
) -> Result<worker::Reply, refusal::Refusal> {
    let link = &running.link;
    let mut body = RequestBody {
        body,
        link: link.clone(),
    };
    if link.shared.is_draining() {
        let detail = "the daemon is shutting down";
        return Err(refusal::Refusal::not_run(
            refusal::Reason::ShuttingDown,
            detail,
        ));
    }
    let target = validate_head(&parts, &link.progress)?;
    let timeout = clock::duration(link.shared.options.body_ms);
    let length = body.body.size_hint().exact();
    let buffered = buffer_body(&mut body.body, timeout)
        .await
        .map_err(refuse_body)?;
    let (payload, sender) = match buffered {
        Buffered::Whole(data) => (payload::Payload::whole(data), None),
        Buffered::First(data) => {
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_PIECES);
            let payload = payload::Payload::streamed(data, receiver, length);
            (payload, Some(sender))
        }
    };
    let request = message::Request {
        method: parts.method,
        target,
        headers: parts.headers,
        body: payload,
        peer: link.peer,
        arrived,
        token: running.token.clone(),
    };
    let reply = submit(link, request)?;
    if let Some(sender) = sender {
        tokio::spawn(pump(body, sender, timeout));
    }
    reply.await.map_err(|_| worker_lost())
}

/// A request's body that may not have been read to its end. Dropping it early
/// sets the connection to linger, so that the caller can read the response.
struct RequestBody {
    body: Incoming,
    link: Arc<Link>,
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if !self.body.is_end_stream() {
            self.link.progress.set_linger();
        }
    }
}

/// Submits a request to the pool; returns the receiver of its reply, or a
/// refusal if the queue is full.
fn submit(
    link: &Link,
    request: message::Request,
) -> Result<oneshot::Receiver<worker::Reply>, refusal::Refusal> {
    let (sender, reply) = oneshot::channel();
    match link.pool.submit(worker::Job {
        request,
        reply: sender,
    }) {
        Ok(()) => Ok(reply),
        Err(worker::QueueFull) => Err(overloaded("no worker is free")),
    }
}

/// Returns the refusal of a request or a connection that exceeds a limit.
pub(super) fn overloaded(detail: &str) -> refusal::Refusal {
    refusal::Refusal::not_run(refusal::Reason::Overloaded, detail).after(OVERLOAD_RETRY_MS)
}

/// Returns the refusal of a request whose worker sent no reply.
fn worker_lost() -> refusal::Refusal {
    let detail = "the daemon failed to process the request";
    refusal::Refusal::unknown(refusal::Reason::Internal, detail)
}

/// Converts a refusal into a reply, with `connection: close` if the connection
/// can't be reused.
fn refuse(refusal: refusal::Refusal) -> worker::Reply {
    let closes = matches!(
        refusal.reason,
        refusal::Reason::Malformed | refusal::Reason::TooSlow | refusal::Reason::ShuttingDown
    );
    let response = message::Response::from(refusal);
    let mut reply = worker::Reply {
        status: response.status,
        headers: response.headers,
        content: match response.body {
            message::Body::Whole(data) => worker::Content::Whole(data),
            message::Body::Stream(..) => worker::Content::Whole(Bytes::new()),
        },
    };
    if closes {
        let close = HeaderValue::from_static("close");
        reply.headers.insert(header::CONNECTION, close);
    }
    reply
}

/// Converts a body error into a refusal.
fn refuse_body(error: payload::BodyError) -> refusal::Refusal {
    let reason = match error {
        payload::BodyError::TooSlow => refusal::Reason::TooSlow,
        payload::BodyError::TooLarge(_) => refusal::Reason::TooLarge,
        payload::BodyError::Lost | payload::BodyError::Malformed => refusal::Reason::Malformed,
    };
    refusal::Refusal::not_run(reason, error.to_string())
}

/// Validates a head and returns its path and query. Heads that another hop
/// could interpret differently are refused as malformed.
fn validate_head(
    parts: &request::Parts,
    progress: &stream::Progress,
) -> Result<http::uri::PathAndQuery, refusal::Refusal> {
    let malformed = |detail| {
        Err(refusal::Refusal::not_run(
            refusal::Reason::Malformed,
            detail,
        ))
    };
    let headers = &parts.headers;
    let hosts = headers.get_all(header::HOST).iter().count();
    if hosts > 1 || (hosts == 0 && parts.version == Version::HTTP_11) {
        return malformed("the request needs exactly one host header");
    }
    if let Some(coding) = headers.get(header::TRANSFER_ENCODING) {
        if !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
            return malformed("no other transfer-encoding than chunked is supported");
        }
        if !progress.is_chunked() {
            return malformed("transfer-encoding and content-length exclude each other");
        }
    }
    match parts.uri.path_and_query() {
        Some(target) if parts.method != Method::CONNECT => Ok(target.clone()),
        _ => malformed("the request needs a path"),
    }
}

/// A request's body as far as it was buffered.
enum Buffered {
    /// The whole body.
    Whole(Bytes),
    /// The first part of a body that is too large to be buffered whole.
    First(Bytes),
}

/// Buffers a body up to [`SMALL_BODY_BYTES`].
async fn buffer_body(
    body: &mut Incoming,
    timeout: Duration,
) -> Result<Buffered, payload::BodyError> {
    let limit = SMALL_BODY_BYTES as u64;
    if body
        .size_hint()
        .exact()
        .is_some_and(|length| length > limit)
    {
        return Ok(Buffered::First(Bytes::new()));
    }
    let Some(first) = next_data(body, timeout).await? else {
        return Ok(Buffered::Whole(Bytes::new()));
    };
    if body.is_end_stream() {
        return Ok(Buffered::Whole(first));
    }
    let mut data = BytesMut::from(first);
    while data.len() <= SMALL_BODY_BYTES {
        match next_data(body, timeout).await? {
            Some(piece) => data.extend_from_slice(&piece),
            None => return Ok(Buffered::Whole(data.freeze())),
        }
    }
    Ok(Buffered::First(data.freeze()))
}

/// Returns the next data of a body, or `None` at its end.
async fn next_data(
    body: &mut Incoming,
    timeout: Duration,
) -> Result<Option<Bytes>, payload::BodyError> {
    while !body.is_end_stream() {
        match time::timeout(timeout, body.frame()).await {
            Err(_) => return Err(payload::BodyError::TooSlow),
            Ok(None) => return Ok(None),
            Ok(Some(Err(error))) => return Err(body_error(&error)),
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
    Ok(None)
}

/// Classifies an error of `hyper`.
fn body_error(error: &hyper::Error) -> payload::BodyError {
    let source = error.source().and_then(|e| e.downcast_ref::<io::Error>());
    match source.map(io::Error::kind) {
        Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) => {
            payload::BodyError::Malformed
        }
        _ => payload::BodyError::Lost,
    }
}

/// Passes a large body to the worker until its end, an error, or until the
/// worker drops the receiver.
async fn pump(mut body: RequestBody, sender: mpsc::Sender<payload::Piece>, timeout: Duration) {
    loop {
        let result = tokio::select! {
            () = sender.closed() => return,
            result = next_data(&mut body.body, timeout) => result,
        };
        let (piece, last) = match result {
            Ok(Some(data)) => (payload::Piece::Data(data), false),
            Ok(None) => (payload::Piece::End, true),
            Err(error) => (payload::Piece::Failed(error), true),
        };
        if sender.send(piece).await.is_err() || last {
            return;
        }
    }
}

/// Converts a worker's reply into a response, without its framing headers.
fn respond(reply: worker::Reply, mut running: Running, head: bool) -> http::Response<ResponseBody> {
    running.complete = head || matches!(reply.content, worker::Content::Whole(_));
    let mut response = http::Response::new(ResponseBody {
        content: reply.content,
        running: Some(running),
    });
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response.headers_mut().remove(header::TRANSFER_ENCODING);
    if !head {
        response.headers_mut().remove(header::CONTENT_LENGTH);
    }
    response
}

/// Error of a response body that ended before its announced end.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the response body was truncated")]
pub(super) struct Truncated;

/// Body of a response that `hyper` sends.
pub(super) struct ResponseBody {
    content: worker::Content,
    running: Option<Running>,
}

impl ResponseBody {
    /// Records that `bytes` of the body are passed to `hyper`.
    fn record_sent(&mut self, bytes: u64) {
        if let Some(running) = &self.running {
            running.link.progress.respond();
        }
        if let worker::Content::Pieces(_, Some(remaining)) = &mut self.content {
            *remaining = remaining.saturating_sub(bytes);
            if *remaining == 0 {
                self.mark_complete();
            }
        }
    }

    /// Marks the response as complete.
    fn mark_complete(&mut self) {
        if let Some(running) = &mut self.running {
            running.complete = true;
        }
    }
}

impl http_body::Body for ResponseBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let pieces = match &mut self.content {
            worker::Content::Whole(data) => {
                let data = std::mem::take(data);
                self.running = None;
                let frame = (!data.is_empty()).then(|| Ok(Frame::data(data)));
                return Poll::Ready(frame);
            }
            worker::Content::Pieces(pieces, _) => pieces,
        };
        Poll::Ready(match ready!(pieces.poll_recv(cx)) {
            Some(worker::Piece::Data(data)) => {
                self.record_sent(data.len() as u64);
                Some(Ok(Frame::data(data)))
            }
            Some(worker::Piece::End) => {
                self.mark_complete();
                self.running = None;
                None
            }
            None => Some(Err(Truncated)),
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, worker::Content::Whole(data) if data.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            worker::Content::Whole(data) => SizeHint::with_exact(data.len() as u64),
            worker::Content::Pieces(_, Some(remaining)) => SizeHint::with_exact(*remaining),
            worker::Content::Pieces(_, None) => SizeHint::default(),
        }
    }
}

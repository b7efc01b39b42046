//! Serves one connection: its timeouts, its close, and refusals that are sent
//! before a request was read.

use std::convert::Infallible;
use std::future;
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use tokio::net::TcpStream;
use tokio::time::{self, Instant, Sleep};

use crate::clock;
use crate::server::{exchange, listener, refusal, stream};

/// Time that a caller has to read a refusal before its connection is closed,
/// in milliseconds. Closing a socket with unread input discards sent data that
/// the caller hasn't read yet.
const LINGER_MS: u64 = 500;

/// Smallest buffer that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Buffer for input that is read and discarded before a close, in bytes.
const DISCARD_BYTES: usize = 4_096;

/// Shortest time for which the timer is set again, in milliseconds.
const MIN_TIMER_MS: u64 = 1;

/// How serving a connection ended.
enum End {
    /// The protocol ended, or an idle connection was drained.
    Closed,
    /// A timeout was reached.
    TimedOut(stream::Timeout),
}

/// Serves one connection until it ends.
pub(super) async fn run(socket: TcpStream, link: exchange::Link) {
    let shared = link.shared.clone();
    let progress = link.progress.clone();
    let link = Arc::new(link);
    let service = service::service_fn(
        move |request: Request<Incoming>| -> exchange::ResponseFuture {
            Box::pin(exchange::serve(link.clone(), request))
        },
    );
    let io = stream::Stream::new(socket, progress.clone());
    let mut connection = builder(&shared).serve_connection(io, service);
    let end = drive(&mut connection, &shared, &progress).await;
    let socket = connection.into_parts().io.into_socket();
    match end {
        End::TimedOut(stream::Timeout::Head) => refuse(socket, &head_timeout()).await,
        End::Closed if progress.wants_linger() => close(socket, Bytes::new()).await,
        End::Closed | End::TimedOut(_) => {}
    }
}

/// Returns the protocol settings of a connection.
fn builder(shared: &listener::Shared) -> http1::Builder {
    let bytes = shared.options.head_bytes.max(MIN_BUFFER_BYTES);
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_buf_size(bytes)
        .max_header_size(bytes)
        .writev(false);
    builder
}

/// Runs the connection until it ends, a timeout is reached, or a shutdown
/// finds it idle.
async fn drive<S>(
    connection: &mut http1::Connection<stream::Stream, S>,
    shared: &listener::Shared,
    progress: &stream::Progress,
) -> End
where
    S: service::HttpService<
            Incoming,
            ResBody = exchange::ResponseBody,
            Error = Infallible,
            Future = exchange::ResponseFuture,
        > + Unpin,
{
    let mut drain = pin!(shared.draining());
    let mut sleep = pin!(time::sleep(clock::duration(shared.options.head_ms)));
    let mut registered = false;
    let mut closing = false;
    future::poll_fn(|cx| {
        if !registered {
            registered = true;
            let _ = drain.as_mut().poll(cx);
        }
        if shared.is_draining() && !closing && !progress.is_idle() {
            closing = true;
            Pin::new(&mut *connection).graceful_shutdown();
        }
        if connection.poll_without_shutdown(cx).is_ready() {
            return Poll::Ready(End::Closed);
        }
        if shared.is_draining() && !closing {
            // The poll above may have read a request that arrived meanwhile.
            if progress.is_idle() {
                return Poll::Ready(End::Closed);
            }
            cx.waker().wake_by_ref();
        }
        poll_timeouts(sleep.as_mut(), shared, progress, cx).map(End::TimedOut)
    })
    .await
}

/// Returns the timeout that was reached. The timer is reset early only if the
/// next deadline comes before its own, so that most requests leave it as it is.
fn poll_timeouts(
    mut sleep: Pin<&mut Sleep>,
    shared: &listener::Shared,
    progress: &stream::Progress,
    cx: &mut Context<'_>,
) -> Poll<stream::Timeout> {
    let options = &shared.options;
    let now = clock::now();
    let limit = progress.deadline(options);
    let wait = limit.map_or(options.idle_ms, |(at, _)| at.since(now));
    let deadline = Instant::now() + clock::duration(wait);
    if deadline < sleep.deadline() {
        sleep.as_mut().reset(deadline);
    }
    while sleep.as_mut().poll(cx).is_ready() {
        match limit {
            Some((at, expiry)) if clock::now() >= at => return Poll::Ready(expiry),
            _ => sleep
                .as_mut()
                .reset(deadline.max(Instant::now() + clock::duration(MIN_TIMER_MS))),
        }
    }
    Poll::Pending
}

/// Returns the refusal of a request whose head timed out.
fn head_timeout() -> refusal::Refusal {
    let detail = "the head of the request did not arrive in time";
    refusal::Refusal::not_run(refusal::Reason::TooSlow, detail)
}

/// Sends a refusal without having read a request, and closes the connection.
pub(super) async fn refuse(socket: TcpStream, refusal: &refusal::Refusal) {
    close(socket, refusal.to_message()).await;
}

/// Closes a connection after sending `message`, within [`LINGER_MS`].
async fn close(socket: TcpStream, message: Bytes) {
    let limit = clock::duration(LINGER_MS);
    let _ = time::timeout(limit, linger(&socket, &message)).await;
}

/// Sends the message, closes the sending side and discards input until the
/// caller closes.
async fn linger(socket: &TcpStream, mut message: &[u8]) -> std::io::Result<()> {
    while !message.is_empty() {
        socket.writable().await?;
        match socket.try_write(message) {
            Ok(count) => message = &message[count..],
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    socket2::SockRef::from(socket).shutdown(Shutdown::Write)?;
    let mut discarded = [0; DISCARD_BYTES];
    loop {
        socket.readable().await?;
        match socket.try_read(&mut discarded) {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

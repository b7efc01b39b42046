//! The server for callers' connections, with graceful shutdown.

mod socket;

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::gateway::counters;
use crate::gateway::exchange;
use crate::gateway::shared::Shared;

/// Greatest number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8_192;

/// Pause after a failed accept.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Time from the close of the listener until idle connections are closed. Requests
/// that the host received before are read in this time; the close would reset them.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(100);

/// Opens a TCP listener on `address`, even while closed connections there are in
/// TIME_WAIT.
///
/// # Errors
/// Fails if the address can't be bound.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until `closing` becomes true. Each connection then closes after
/// its current response.
pub(crate) async fn accept(
    shared: Rc<Shared>,
    listener: TcpListener,
    mut closing: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.changed() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let closing = closing.clone();
                tokio::task::spawn_local(serve(Rc::clone(&shared), stream, closing));
            }
            // The caller disconnected before the accept, or descriptors are exhausted.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
    for stream in accept_waiting(listener) {
        tokio::task::spawn_local(serve(Rc::clone(&shared), stream, closing.clone()));
    }
}

/// Closes the listener, and returns the connections that the host had opened before:
/// closing it would reset them, and the requests on them would get no answer.
fn accept_waiting(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let waiting = std::iter::from_fn(|| listener.accept().ok());
    let waiting = waiting.take(BACKLOG as usize).filter_map(|(stream, _)| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    });
    waiting.collect()
}

/// Counts a connection as open until the guard is dropped.
struct ConnectionGuard(Rc<Shared>);

impl ConnectionGuard {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.connections.set(shared.connections.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Serves one connection, until it ends or `closing` becomes true.
async fn serve(shared: Rc<Shared>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    let _guard = ConnectionGuard::new(&shared);
    let limits = match &*shared.catalog.borrow() {
        Some(catalog) => catalog.limits(),
        None => Default::default(),
    };
    // Responses are written in one piece, so that Nagle's algorithm only delays them.
    let _ = stream.set_nodelay(true);
    let stream = Rc::new(stream);
    let slow = Rc::new(Cell::new(false));
    let socket = socket::Socket::new(Rc::clone(&stream), Rc::clone(&slow));
    let handler = service::service_fn({
        let shared = Rc::clone(&shared);
        move |request| {
            let shared = Rc::clone(&shared);
            async move { Ok::<_, std::convert::Infallible>(exchange::serve(shared, request).await) }
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The HTTP library measures this timeout from the last response, so that it
        // includes the time for which the connection is idle.
        .header_read_timeout(Duration::from_millis(limits.idle_ms.max(limits.header_ms)))
        .max_buf_size(limits.header_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), handler);
    let mut connection = std::pin::pin!(connection);
    let idle_close = async {
        // Fails only if the daemon ends.
        let _ = closing.wait_for(|closing| *closing).await;
        tokio::time::sleep(IDLE_CLOSE_DELAY).await;
    };
    let result = tokio::select! {
        result = connection.as_mut() => Some(result),
        () = idle_close => None,
    };
    let result = match result {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if slow.get() {
        counters::increment(&shared.counters.slow_callers);
        log::info!("a caller's connection is cut, as it took the response too slowly");
        // A caller without a length or chunks takes a close for the end of the body.
        let _ = stream.set_zero_linger();
    }
    // Such an error comes from the response body: it ended early.
    if result.is_err_and(|error| error.is_user()) {
        // Without a length or chunks, a caller takes a close for the end of the body.
        // Fails only if the connection has ended.
        let _ = stream.set_zero_linger();
        shared.on_truncated();
    }
}

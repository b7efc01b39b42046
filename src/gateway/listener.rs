//! Connections of callers, and their graceful end.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::gateway::exchange;
use crate::gateway::shared::Shared;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Smallest buffer for a head that the server allows, in bytes.
const LEAST_BUFFER: usize = 8_192;

/// Opens a listener.
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

/// Accepts connections until `closing` is set, and has each of them end after
/// its current answer then.
pub(crate) async fn accept(
    shared: Rc<Shared>,
    listener: TcpListener,
    mut closing: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let closing = closing.clone();
                tokio::task::spawn_local(serve(Rc::clone(&shared), stream, closing));
            }
            // The caller left before it was accepted, or descriptors ran out.
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

/// Counts a connection until it has ended.
struct Open(Rc<Shared>);

impl Open {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.connections.set(shared.connections.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

async fn serve(shared: Rc<Shared>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    let _open = Open::new(&shared);
    let limits = match &*shared.catalog.borrow() {
        Some(catalog) => catalog.limits(),
        None => Default::default(),
    };
    // The answer is sent in one piece; waiting for more would only delay it.
    let _ = stream.set_nodelay(true);
    let handler = service::service_fn({
        let shared = Rc::clone(&shared);
        move |request| {
            let shared = Rc::clone(&shared);
            async move { Ok::<_, std::convert::Infallible>(exchange::serve(shared, request).await) }
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The server measures the time from the last answer, so that the limit
        // has to cover an idle connection.
        .header_read_timeout(Duration::from_millis(
            limits.idle_time.max(limits.header_time),
        ))
        .max_buf_size(limits.header_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), handler);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        _ = closing.changed() => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if ended.is_err_and(|error| error.is_user()) {
        shared.on_cut();
    }
}

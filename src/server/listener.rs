//! The I/O thread: accepts connections and drains them on shutdown.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

use tokio::net::{self, TcpStream};
use tokio::sync::{Notify, futures};
use tokio::{runtime, time};

use crate::clock;
use crate::server::{Drained, Options, connection, exchange, stream, worker};
use crate::token;

/// Largest number of connections above the limit that stay open at the same
/// time until their caller has read the refusal.
const MAX_REFUSED_CONNECTIONS: usize = 64;

/// Interval at which the token is polled, in milliseconds.
const TOKEN_POLL_MS: u64 = 100;

/// Backoff after a failed accept, in milliseconds. Without it a lack of file
/// descriptors would make the accept loop spin.
const ACCEPT_BACKOFF_MS: u64 = 20;

/// State that the threads of a server share.
pub(super) struct Shared {
    pub(super) options: Options,
    pub(super) connections: AtomicUsize,
    pub(super) running: AtomicUsize,
    refused: AtomicUsize,
    aborted: AtomicUsize,
    stopping: AtomicBool,
    stop: Notify,
    closed: Notify,
}

impl Shared {
    pub(super) fn new(options: Options) -> Self {
        Self {
            options,
            connections: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
            aborted: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
            stop: Notify::new(),
            closed: Notify::new(),
        }
    }

    /// Starts the shutdown; returns at once.
    pub(super) fn drain(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.stop.notify_waiters();
    }

    pub(super) fn is_draining(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Returns a future that is woken when the shutdown starts. It must be
    /// polled before [`Self::is_draining`] is read, or the wake-up can be missed.
    pub(super) fn draining(&self) -> futures::Notified<'_> {
        self.stop.notified()
    }
}

/// Counts a connection while it exists. A drop before its end counts a
/// request in progress as aborted.
struct ConnectionGuard {
    shared: Arc<Shared>,
    progress: Arc<stream::Progress>,
    ended: bool,
}

impl ConnectionGuard {
    /// Marks the connection as ended by itself.
    fn end(mut self) {
        self.ended = true;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if !self.ended && self.progress.is_busy() {
            self.shared.aborted.fetch_add(1, Ordering::Relaxed);
        }
        self.shared.connections.fetch_sub(1, Ordering::Relaxed);
        self.shared.closed.notify_one();
    }
}

/// Starts the I/O thread, which returns the result of the shutdown.
pub(super) fn spawn(
    listener: TcpListener,
    shared: Arc<Shared>,
    pool: Arc<worker::Pool>,
    token: token::Token,
) -> io::Result<thread::JoinHandle<Drained>> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    let listener = {
        let _context = runtime.enter();
        net::TcpListener::from_std(listener)?
    };
    thread::Builder::new()
        .name(format!("{}-io", shared.options.name))
        .spawn(move || {
            runtime.block_on(run(listener, &shared, &pool, &token));
            drop(runtime);
            pool.close();
            let cut = shared.aborted.load(Ordering::Relaxed);
            Drained { cut }
        })
}

/// Accepts connections until the shutdown starts, then waits for open ones
/// until the drain timeout.
async fn run(
    listener: net::TcpListener,
    shared: &Arc<Shared>,
    pool: &Arc<worker::Pool>,
    token: &token::Token,
) {
    accept(listener, shared, pool, token).await;
    let drained = async {
        while shared.connections.load(Ordering::Relaxed) > 0 {
            shared.closed.notified().await;
        }
    };
    let limit = clock::duration(shared.options.drain_ms);
    let _ = time::timeout(limit, drained).await;
}

/// Accepts connections until the shutdown starts.
async fn accept(
    listener: net::TcpListener,
    shared: &Arc<Shared>,
    pool: &Arc<worker::Pool>,
    token: &token::Token,
) {
    let mut stop = std::pin::pin!(shared.draining());
    stop.as_mut().enable();
    let mut tick = time::interval(clock::duration(TOKEN_POLL_MS));
    while !shared.is_draining() {
        tokio::select! {
            () = &mut stop => {}
            _ = tick.tick() => {
                if token.is_cancelled() {
                    shared.drain();
                }
            }
            accepted = listener.accept() => match accepted {
                Ok((socket, peer)) => admit(socket, peer, shared, pool),
                Err(error) => {
                    log::warn!("accepting a connection failed: {error}");
                    time::sleep(clock::duration(ACCEPT_BACKOFF_MS)).await;
                }
            }
        }
    }
}

/// Starts to serve a connection, or refuses it above the limit.
fn admit(
    socket: TcpStream,
    peer: std::net::SocketAddr,
    shared: &Arc<Shared>,
    pool: &Arc<worker::Pool>,
) {
    if shared.connections.load(Ordering::Relaxed) >= shared.options.connections {
        refuse(socket, shared);
        return;
    }
    if let Err(error) = socket.set_nodelay(true) {
        log::debug!("setting TCP_NODELAY failed: {error}");
    }
    shared.connections.fetch_add(1, Ordering::Relaxed);
    let progress = Arc::new(stream::Progress::new(clock::now()));
    let guard = ConnectionGuard {
        shared: shared.clone(),
        progress: progress.clone(),
        ended: false,
    };
    let link = exchange::Link {
        shared: shared.clone(),
        pool: pool.clone(),
        progress,
        peer,
    };
    tokio::spawn(async move {
        connection::run(socket, link).await;
        guard.end();
    });
}

/// Refuses a connection. Above [`MAX_REFUSED_CONNECTIONS`] it is closed without
/// waiting for the caller to read the refusal.
fn refuse(socket: TcpStream, shared: &Arc<Shared>) {
    let refusal = exchange::overloaded("too many connections");
    if shared.refused.load(Ordering::Relaxed) >= MAX_REFUSED_CONNECTIONS {
        let _ = socket.try_write(&refusal.to_message());
        return;
    }
    shared.refused.fetch_add(1, Ordering::Relaxed);
    let shared = shared.clone();
    tokio::spawn(async move {
        connection::refuse(socket, &refusal).await;
        shared.refused.fetch_sub(1, Ordering::Relaxed);
    });
}

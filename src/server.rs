//! HTTP/1.1 server for callers, peers and operators.
//!
//! One thread does all socket I/O; a pool of worker threads runs the handler.
//! A request is passed to a worker only when its head and, up to
//! [`SMALL_BODY_BYTES`], its body have arrived, so slow callers occupy no
//! worker. A caller that closes its sending side before the response arrived
//! counts as disconnected, and its request's token is cancelled. Larger bodies
//! and streamed responses pass through bounded channels.
//! `docs/design.md`, section 2.9, gives the reasons.

mod connection;
mod exchange;
mod listener;
mod message;
mod payload;
mod refusal;
mod scan;
mod stream;
mod worker;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

use parking_lot::Mutex;

use crate::token;

pub use message::{Body, Handler, Request, Response};
pub use payload::{BodyError, Payload};
pub use refusal::{Reason, Refusal};

/// Largest request body that is buffered before a worker gets the request, in
/// bytes.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// Limits of a server.
#[derive(Clone, Debug)]
pub struct Options {
    /// Largest number of open connections.
    pub connections: usize,
    /// Time for a request's head to arrive, in milliseconds.
    pub head_ms: u64,
    /// Read timeout between two pieces of a request body, and write timeout of
    /// a response, in milliseconds.
    pub body_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_ms: u64,
    /// Largest size of a request's head, in bytes; smaller values than 8,192
    /// count as 8,192.
    pub head_bytes: usize,
    /// Number of worker threads.
    pub workers: usize,
    /// Largest number of requests that wait for a worker.
    pub queue: usize,
    /// Drain timeout: how long a shutdown waits for open connections, in
    /// milliseconds.
    pub drain_ms: u64,
    /// Name of the server, used for its threads.
    pub name: String,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connections: 4_000,
            head_ms: 5_000,
            body_ms: 10_000,
            idle_ms: 60_000,
            head_bytes: 32 << 10,
            workers: 128,
            queue: 512,
            drain_ms: 30_000,
            name: "http".to_owned(),
        }
    }
}

/// Result of a shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Drained {
    /// Number of requests that were aborted at the drain timeout.
    pub cut: usize,
}

/// A running server. Dropping it starts a shutdown without waiting for it.
pub struct Server {
    addr: SocketAddr,
    shared: Arc<listener::Shared>,
    thread: Mutex<Option<thread::JoinHandle<Drained>>>,
}

impl Server {
    /// Starts to serve `listener`. The server shuts down by itself when
    /// `token` is cancelled.
    ///
    /// # Errors
    /// Returns the I/O error if the listener can't be used or a thread can't be
    /// started.
    pub fn start(
        listener: TcpListener,
        options: Options,
        handler: impl message::Handler,
        token: token::Token,
    ) -> io::Result<Self> {
        let addr = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let pool = worker::Pool::start(&options, handler)?;
        let shared = Arc::new(listener::Shared::new(options));
        let thread = listener::spawn(listener, shared.clone(), pool, token)?;
        Ok(Self {
            addr,
            shared,
            thread: Mutex::new(Some(thread)),
        })
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of requests whose head has arrived and whose
    /// response isn't complete.
    pub fn in_flight(&self) -> usize {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Stops accepting, lets running requests finish, closes idle connections
    /// and returns when no connection is open or the drain timeout has passed.
    /// Handlers whose caller has disconnected aren't waited for. A second call
    /// returns the default at once.
    pub fn shutdown(&self) -> Drained {
        self.shared.drain();
        let Some(thread) = self.thread.lock().take() else {
            return Drained::default();
        };
        thread.join().unwrap_or_default()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.drain();
    }
}

//! The UDP socket for heartbeats and the thread that owns it.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::peer;
use crate::peer::Datagram;
use crate::token::Token;

/// Time between two calls of the `tick` function.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum size of a received datagram; the rest of a longer one is lost.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// Shortest receive timeout, since the socket rejects a timeout of zero.
const MIN_RECEIVE_TIMEOUT: Duration = Duration::from_millis(1);

/// Traffic since the start. Bytes count the payload, without IP and UDP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received, malformed ones included.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Datagrams received and dropped because they were malformed.
    pub malformed: u64,
    /// Datagrams that could not be sent or encoded, and failed receive calls.
    pub failed: u64,
}

/// Shared counters behind [`Counts`].
#[derive(Default)]
struct Counters {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
    malformed: AtomicU64,
    failed: AtomicU64,
}

impl Counters {
    fn read(&self) -> Counts {
        Counts {
            sent: self.sent.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
            malformed: self.malformed.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
        }
    }
}

/// A UDP socket with a thread that sends and answers heartbeats.
pub struct Datagrams {
    address: SocketAddr,
    counters: Arc<Counters>,
    thread: thread::JoinHandle<()>,
}

impl Datagrams {
    /// Opens `address` and starts the thread, which runs until `token` is
    /// cancelled.
    ///
    /// The thread calls `receive` for each datagram with the address of its
    /// sender, and sends the answer there. It calls `tick` every 20 ms, and
    /// sends what that returns. Both must return quickly and do no I/O.
    ///
    /// # Errors
    /// Returns [`peer::Error::Open`] if the address can't be opened.
    pub fn start(
        address: SocketAddr,
        token: Token,
        receive: impl FnMut(SocketAddr, Datagram) -> Option<Datagram> + Send + 'static,
        tick: impl FnMut() -> Vec<(SocketAddr, Datagram)> + Send + 'static,
    ) -> Result<Self, peer::Error> {
        let open_error = |source| peer::Error::Open { address, source };
        let socket = UdpSocket::bind(address).map_err(open_error)?;
        let address = socket.local_addr().map_err(open_error)?;
        let counters = Arc::new(Counters::default());
        let worker = Worker {
            socket,
            counters: Arc::clone(&counters),
            receive,
            tick,
        };
        let builder = thread::Builder::new().name("datagrams".to_owned());
        let thread = builder
            .spawn(move || worker.run(&token))
            .map_err(open_error)?;
        Ok(Self {
            address,
            counters,
            thread,
        })
    }

    /// Returns the local address of the socket.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the traffic so far.
    pub fn counts(&self) -> Counts {
        self.counters.read()
    }

    /// Waits for the thread to end after its token was cancelled. Returns the
    /// traffic, or `None` if the thread panicked.
    pub fn join(self) -> Option<Counts> {
        self.thread.join().ok()?;
        Some(self.counters.read())
    }
}

struct Worker<R, T> {
    socket: UdpSocket,
    counters: Arc<Counters>,
    receive: R,
    tick: T,
}

impl<R, T> Worker<R, T>
where
    R: FnMut(SocketAddr, Datagram) -> Option<Datagram>,
    T: FnMut() -> Vec<(SocketAddr, Datagram)>,
{
    fn run(mut self, token: &Token) {
        let mut next_tick = Instant::now();
        while !token.is_cancelled() {
            let now = Instant::now();
            if now >= next_tick {
                next_tick = now + TICK_INTERVAL;
                for (to, datagram) in (self.tick)() {
                    self.send(to, &datagram);
                }
            }
            let wait = next_tick.saturating_duration_since(Instant::now());
            if let Err(error) = self.receive_within(wait) {
                log::warn!("can't receive heartbeats: {error}");
                self.counters.failed.fetch_add(1, Ordering::Relaxed);
                token.wait_timeout(TICK_INTERVAL);
            }
        }
    }

    fn receive_within(&mut self, wait: Duration) -> io::Result<()> {
        let wait = wait.max(MIN_RECEIVE_TIMEOUT);
        self.socket.set_read_timeout(Some(wait))?;
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let (length, from) = match self.socket.recv_from(&mut buffer) {
            Ok(received) => received,
            Err(error) if is_transient(&error) => return Ok(()),
            Err(error) => return Err(error),
        };
        let counters = &self.counters;
        counters.received.fetch_add(1, Ordering::Relaxed);
        let bytes = &counters.received_bytes;
        bytes.fetch_add(length as u64, Ordering::Relaxed);
        let Ok(datagram) = Datagram::decode(&buffer[..length]) else {
            counters.malformed.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        };
        if let Some(answer) = (self.receive)(from, datagram) {
            self.send(from, &answer);
        }
        Ok(())
    }

    /// Sends a datagram. A failure is only counted, since datagrams may also be
    /// lost in transit.
    fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let sent = datagram.encode().ok().and_then(|bytes| {
            let sent = self.socket.send_to(&bytes, to);
            sent.ok()
        });
        let Some(length) = sent else {
            self.counters.failed.fetch_add(1, Ordering::Relaxed);
            return;
        };
        self.counters.sent.fetch_add(1, Ordering::Relaxed);
        let bytes = &self.counters.sent_bytes;
        bytes.fetch_add(length as u64, Ordering::Relaxed);
    }
}

fn is_transient(error: &io::Error) -> bool {
    use io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
    matches!(error.kind(), WouldBlock | TimedOut | Interrupted)
}

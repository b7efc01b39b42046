//! The socket of a connection, and the connection's phase and timeouts.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

use crate::clock;
use crate::server::{refusal, scan};

/// Largest read from a socket, in bytes.
const SCRATCH_BYTES: usize = 64 << 10;

thread_local! {
    /// Read buffer, in which input is scanned before `hyper` gets it.
    static SCRATCH: RefCell<Box<[u8]>> = RefCell::new(vec![0; SCRATCH_BYTES].into());
}

// Phases of a connection: no request, a head in part, a request in progress.
const IDLE: u8 = 0;
const HEAD: u8 = 1;
const BUSY: u8 = 2;

/// Phase and timeouts of a connection. Used by one thread; the atomics only
/// make it `Sync`.
pub(super) struct Progress {
    phase: AtomicU8,
    /// Start of the phase, in milliseconds of [`clock::Millis`].
    since: AtomicU64,
    /// Time at which writes became blocked, in milliseconds; 0 if they aren't.
    blocked: AtomicU64,
    /// Whether a request's response isn't complete yet.
    open: AtomicBool,
    /// Whether bytes of a response may still be buffered.
    unsent: AtomicBool,
    /// Whether the close has to linger, because a request's body was not read
    /// to its end.
    linger: AtomicBool,
    /// Whether the scan found a chunked request without a `content-length`.
    chunked: AtomicBool,
}

/// Timeout that a connection has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timeout {
    /// The connection was idle too long.
    Idle,
    /// The head did not arrive in time.
    Head,
    /// Writes were blocked too long, because the caller doesn't read.
    Write,
}

impl Progress {
    pub(super) fn new(now: clock::Millis) -> Self {
        Self {
            phase: AtomicU8::new(IDLE),
            since: AtomicU64::new(now.0),
            blocked: AtomicU64::new(0),
            open: AtomicBool::new(false),
            unsent: AtomicBool::new(false),
            linger: AtomicBool::new(false),
            chunked: AtomicBool::new(false),
        }
    }

    /// Returns the deadline of the current phase and its timeout, or `None` if
    /// it has none.
    pub(super) fn deadline(
        &self,
        options: &crate::server::Options,
    ) -> Option<(clock::Millis, Timeout)> {
        let blocked = self.blocked.load(Ordering::Relaxed);
        if blocked != 0 {
            return Some((clock::Millis(blocked) + options.body_ms, Timeout::Write));
        }
        let since = clock::Millis(self.since.load(Ordering::Relaxed));
        match self.phase.load(Ordering::Relaxed) {
            IDLE => Some((since + options.idle_ms, Timeout::Idle)),
            HEAD => Some((since + options.head_ms, Timeout::Head)),
            _ => None,
        }
    }

    /// Records that a request's head has arrived.
    pub(super) fn begin(&self) {
        self.phase.store(BUSY, Ordering::Relaxed);
        self.open.store(true, Ordering::Relaxed);
    }

    /// Records that a piece of a response is about to be passed to the socket.
    pub(super) fn respond(&self) {
        self.unsent.store(true, Ordering::Relaxed);
    }

    /// Records that the response's body is dropped. The connection stays busy if
    /// the body wasn't complete.
    pub(super) fn finish(&self, complete: bool) {
        self.open.store(false, Ordering::Relaxed);
        if complete && !self.unsent.load(Ordering::Relaxed) {
            self.set_idle();
        }
    }

    /// Makes the close linger, so that the caller can read the response.
    pub(super) fn set_linger(&self) {
        self.linger.store(true, Ordering::Relaxed);
    }

    pub(super) fn wants_linger(&self) -> bool {
        self.linger.load(Ordering::Relaxed)
    }

    /// Returns whether a chunked request whose head has arrived has no
    /// `content-length`.
    pub(super) fn is_chunked(&self) -> bool {
        self.chunked.load(Ordering::Relaxed)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.phase.load(Ordering::Relaxed) == IDLE
    }

    pub(super) fn is_busy(&self) -> bool {
        self.phase.load(Ordering::Relaxed) == BUSY
    }

    fn on_read(&self) {
        if self.is_idle() {
            self.phase.store(HEAD, Ordering::Relaxed);
            self.since.store(clock::now().0, Ordering::Relaxed);
        }
    }

    fn on_write(&self, complete: bool) {
        self.blocked.store(0, Ordering::Relaxed);
        if complete
            && self.unsent.swap(false, Ordering::Relaxed)
            && !self.open.load(Ordering::Relaxed)
        {
            self.set_idle();
        }
    }

    fn set_idle(&self) {
        self.phase.store(IDLE, Ordering::Relaxed);
        self.since.store(clock::now().0, Ordering::Relaxed);
    }

    fn on_write_blocked(&self) {
        if self.blocked.load(Ordering::Relaxed) == 0 {
            self.blocked.store(clock::now().0.max(1), Ordering::Relaxed);
        }
    }

    /// Returns whether bytes written now belong to no request, and so are an
    /// error response that `hyper` made itself.
    fn is_unsolicited(&self) -> bool {
        !self.open.load(Ordering::Relaxed) && !self.unsent.load(Ordering::Relaxed)
    }
}

/// A socket that records progress and replaces the error responses that
/// `hyper` makes itself, which lack the outcome headers, by refusals.
pub(super) struct Stream {
    io: TokioIo<TcpStream>,
    progress: Arc<Progress>,
    scan: scan::Scan,
    /// The unsent rest of a refusal that replaces `hyper`'s error response.
    replacement: Bytes,
}

impl Stream {
    pub(super) fn new(socket: TcpStream, progress: Arc<Progress>) -> Self {
        Self {
            io: TokioIo::new(socket),
            progress,
            scan: scan::Scan::new(),
            replacement: Bytes::new(),
        }
    }

    pub(super) fn into_socket(self) -> TcpStream {
        self.io.into_inner()
    }

    /// Writes the rest of the replacement.
    fn poll_replacement(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.replacement.is_empty() {
            match Pin::new(&mut self.io).poll_write(cx, &self.replacement) {
                Poll::Ready(Ok(count)) => self.replacement.advance(count),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => {
                    self.progress.on_write_blocked();
                    return Poll::Pending;
                }
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        SCRATCH.with_borrow_mut(|scratch| {
            let capacity = buf.remaining().min(scratch.len());
            let mut read = ReadBuf::new(&mut scratch[..capacity]);
            let this = &mut *self;
            ready!(Pin::new(this.io.inner_mut()).poll_read(cx, &mut read))?;
            let data = read.filled();
            buf.put_slice(data);
            if !data.is_empty() {
                let chunked = this.scan.feed(data) == scan::ChunkedFraming::Valid;
                this.progress.chunked.store(chunked, Ordering::Relaxed);
                this.progress.on_read();
            }
            Poll::Ready(Ok(()))
        })
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.progress.is_unsolicited()
            && let Some(refusal) = replacement_for(buf)
        {
            self.progress.set_linger();
            self.replacement = refusal.to_message();
            return Poll::Ready(Ok(buf.len()));
        }
        ready!(self.poll_replacement(cx))?;
        match Pin::new(&mut self.io).poll_write(cx, buf) {
            Poll::Ready(Ok(count)) => {
                self.progress.on_write(count == buf.len());
                Poll::Ready(Ok(count))
            }
            Poll::Ready(error) => Poll::Ready(error),
            Poll::Pending => {
                self.progress.on_write_blocked();
                Poll::Pending
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_replacement(cx))?;
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_replacement(cx))?;
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

/// Returns the refusal that replaces an error response of `hyper`.
fn replacement_for(buf: &[u8]) -> Option<refusal::Refusal> {
    use refusal::{Reason, Refusal};
    if buf.starts_with(b"HTTP/1.1 431 ") {
        let detail = "the head of the request is too large";
        return Some(Refusal::not_run(Reason::HeadTooLarge, detail));
    }
    if buf.starts_with(b"HTTP/1.1 4") {
        let detail = "the head of the request is malformed";
        return Some(Refusal::not_run(Reason::Malformed, detail));
    }
    None
}

//! Socket of a connection, which observes how a request and its response overlap.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Time after which the system closes a connection whose sent data is not
/// acknowledged. A peer that stops without a close shows no other sign.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time before the first keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Keepalive probes without an acknowledgement after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Bytes that end the head of a message.
const HEAD_END: &[u8; 4] = b"\r\n\r\n";

/// Index in a response of the first digit of its status, after `HTTP/1.1 `.
const STATUS_INDEX: usize = 9;

/// First digit of the status of an interim response.
const INTERIM_DIGIT: u8 = b'1';

/// Largest number of interim responses before the response to a request. Each one is skipped,
/// so that a peer that sends them without an end would never be left.
const MAX_INTERIM: u32 = 64;

/// Returns how many bytes of [`HEAD_END`] are at the end once `byte` follows `matched`
/// of them.
fn advance(matched: usize, byte: u8) -> usize {
    match byte {
        byte if byte == HEAD_END[matched] => matched + 1,
        b'\r' => 1,
        _ => 0,
    }
}

/// Position in the response to a request.
#[derive(Debug, Default)]
struct Position {
    /// Head of the response as far as it was read.
    head: Vec<u8>,
    /// Bytes after the head, once it is complete.
    body: Option<u64>,
    /// Interim responses that were skipped.
    interim: u32,
}

impl Position {
    /// Begins the response to the next request.
    fn begin(&mut self) {
        self.head.clear();
        self.body = None;
        self.interim = 0;
    }

    /// Skips an interim response.
    fn skip(&mut self) {
        self.head.clear();
        self.interim += 1;
    }

    /// Reads bytes that follow. An interim response is skipped.
    ///
    /// The HTTP library takes a line feed alone for the end of a line, and skips empty lines
    /// before the status line.
    fn advance(&mut self, bytes: &[u8]) {
        let mut rest = bytes.iter();
        while self.body.is_none() {
            let Some(byte) = rest.next() else {
                return;
            };
            if self.head.is_empty() && matches!(byte, b'\r' | b'\n') {
                continue;
            }
            self.head.push(*byte);
            if self.head.ends_with(b"\n\n") || self.head.ends_with(b"\n\r\n") {
                match self.head.get(STATUS_INDEX) {
                    Some(&INTERIM_DIGIT) => self.skip(),
                    _ => self.body = Some(0),
                }
            }
        }
        let count = rest.as_slice().len() as u64;
        self.body = self.body.map(|body| body + count);
    }

    /// Returns whether the head has a header named `name`.
    fn has_header(&self, name: &str) -> bool {
        let mut lines = self.head.split(|byte| *byte == b'\n');
        lines.any(|line| {
            let start = line.get(..name.len());
            start.is_some_and(|start| start.eq_ignore_ascii_case(name.as_bytes()))
                && line.get(name.len()) == Some(&b':')
        })
    }
}

/// Progress of the request on a connection.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Whether the system took a byte of the request.
    written: Cell<bool>,
    /// Number of bytes of [`HEAD_END`] at the end of what was written.
    matched: Cell<usize>,
    /// Bytes of the request's body that the system took.
    body: Cell<u64>,
    /// Whether data of the peer was there before the head was written completely.
    early: Cell<bool>,
    /// Whether a byte of the response has arrived.
    answered: Cell<bool>,
    /// Position in the response.
    position: RefCell<Position>,
}

impl Progress {
    /// Begins the next request.
    pub(super) fn begin(&self) {
        self.written.set(false);
        self.matched.set(0);
        self.body.set(0);
        self.early.set(false);
        self.answered.set(false);
        self.position.borrow_mut().begin();
    }

    /// Returns whether more bytes than `length` have come after the response's head.
    pub(super) fn is_longer(&self, length: Option<u64>) -> bool {
        let body = self.position.borrow().body.unwrap_or(0);
        length.is_some_and(|length| body > length)
    }

    /// Returns whether the head of the response states both a length and chunks. The HTTP
    /// library removes the length.
    pub(super) fn has_two_framings(&self) -> bool {
        let position = self.position.borrow();
        position.has_header("content-length") && position.has_header("transfer-encoding")
    }

    /// Returns whether the peer has sent more interim responses than any peer needs.
    fn has_too_many_interim(&self) -> bool {
        self.position.borrow().interim > MAX_INTERIM
    }

    /// Records bytes of the response.
    fn on_read(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        self.answered.set(true);
        if !self.is_head_written() {
            self.early.set(true);
        }
        self.position.borrow_mut().advance(bytes);
    }

    /// Returns whether any byte of the request may have left.
    pub(super) fn is_written(&self) -> bool {
        self.written.get()
    }

    /// Returns whether the peer sent data before it can have read the head of the
    /// request.
    pub(super) fn is_early(&self) -> bool {
        self.early.get()
    }

    /// Returns whether the request with a body of `body_bytes` was written completely, and
    /// no byte of a response has arrived.
    pub(super) fn is_silent(&self, body_bytes: Option<u64>) -> bool {
        let is_complete = body_bytes.is_some_and(|length| self.body.get() >= length);
        self.is_head_written() && is_complete && !self.answered.get() && !self.early.get()
    }

    fn is_head_written(&self) -> bool {
        self.matched.get() == HEAD_END.len()
    }

    /// Records bytes that the system took.
    fn on_written(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        self.written.set(true);
        for (index, byte) in bytes.iter().enumerate() {
            let matched = self.matched.get();
            if matched == HEAD_END.len() {
                let body = (bytes.len() - index) as u64;
                self.body.set(self.body.get() + body);
                return;
            }
            self.matched.set(advance(matched, *byte));
        }
    }

    /// Looks for data of the peer before a part of the head is written.
    ///
    /// # Errors
    /// Fails if nothing of the request was written yet and the connection holds data or
    /// has ended: the request can still go on another connection.
    fn check(&self, stream: &TcpStream) -> io::Result<()> {
        if self.is_head_written() || self.early.get() {
            return Ok(());
        }
        // The runtime learns of data only when it polls its sockets; this looks at once.
        let peeked = socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
        let is_quiet = peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        if is_quiet {
            return Ok(());
        }
        self.early.set(true);
        match self.written.get() {
            true => Ok(()),
            false => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }
}

/// Socket that records the progress of requests.
pub(super) struct Wire {
    stream: TcpStream,
    progress: Rc<Progress>,
}

impl Wire {
    /// Wraps a socket.
    pub(super) fn new(stream: TcpStream, progress: Rc<Progress>) -> Self {
        Self { stream, progress }
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.progress.on_read(&buffer.filled()[before..]);
        Poll::Ready(match self.progress.has_too_many_interim() {
            true => Err(io::ErrorKind::InvalidData.into()),
            false => Ok(()),
        })
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.progress.check(&self.stream)?;
        let length = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.progress.on_written(&bytes[..length]);
        Poll::Ready(Ok(length))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.progress.check(&self.stream)?;
        let length = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices))?;
        let mut rest = length;
        for slice in slices {
            let taken = rest.min(slice.len());
            self.progress.on_written(&slice[..taken]);
            rest -= taken;
        }
        Poll::Ready(Ok(length))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Sets the socket options of a connection, among them those that detect a peer
/// that stopped without a close.
pub(super) fn set_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    // A cancelled call must not arrive later: without this option, the system
    // goes on sending buffered data after the close.
    let _ = socket.set_linger(Some(Duration::ZERO));
    // These options are not required: without them, failures are only detected
    // later.
    let _ = socket.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
}

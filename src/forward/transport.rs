//! The TCP transport below `ureq`: guarded, counted writes on connections
//! that are never reused after an error.

use std::cell::{Cell, RefCell};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use ureq::unversioned::resolver;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};

use crate::forward::abort;
use crate::token;

/// Flags of `recv` that read without consuming data or blocking
/// (`MSG_PEEK | MSG_DONTWAIT` on Linux).
const PEEK_FLAGS: i32 = 0x2 | 0x40;

/// Longest remaining time for which the socket timeout is set exactly.
const MAX_EXACT_TIMEOUT: Duration = Duration::from_millis(40);

/// Fraction of a remaining time above [`MAX_EXACT_TIMEOUT`] that the socket
/// timeout is set to. It is below 1 so that requests with similar deadlines can
/// keep the timeout.
const TIMEOUT_NUMERATOR: u32 = 7;
const TIMEOUT_DENOMINATOR: u32 = 8;

/// Shortest socket timeout; zero is rejected by the standard library.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

thread_local! {
    static CURRENT: RefCell<Option<Rc<Call>>> = const { RefCell::new(None) };
}

/// State of the request that the current thread is sending.
pub(super) struct Call {
    guard: Box<dyn Fn() -> bool>,
    abort: abort::Abort,
    /// Set while firing the abort would shut the connection down.
    binding: Cell<Option<AbortBinding>>,
    reused: Cell<bool>,
    written: Cell<u64>,
    connecting: Cell<bool>,
    refused: Cell<bool>,
    source_error: Cell<Option<io::ErrorKind>>,
}

impl Call {
    pub(super) fn new(guard: impl Fn() -> bool + 'static, abort: &abort::Abort) -> Rc<Self> {
        Rc::new(Self {
            guard: Box::new(guard),
            abort: abort.clone(),
            binding: Cell::new(None),
            reused: Cell::new(false),
            written: Cell::new(0),
            connecting: Cell::new(false),
            refused: Cell::new(false),
            source_error: Cell::new(None),
        })
    }

    /// Makes this the call of the current thread until the result is dropped.
    pub(super) fn enter(self: &Rc<Self>) -> CallScope {
        CallScope(CURRENT.replace(Some(self.clone())))
    }

    pub(super) fn written(&self) -> u64 {
        self.written.get()
    }

    pub(super) fn is_connecting(&self) -> bool {
        self.connecting.get()
    }

    pub(super) fn was_refused(&self) -> bool {
        self.refused.get()
    }

    pub(super) fn is_aborted(&self) -> bool {
        self.abort.is_fired()
    }

    pub(super) fn is_reused(&self) -> bool {
        self.reused.get()
    }

    /// Takes the abort's binding to the connection, which must be kept while
    /// the response is read.
    pub(super) fn take_binding(&self) -> Option<AbortBinding> {
        self.binding.take()
    }

    pub(super) fn source_error(&self) -> Option<io::ErrorKind> {
        self.source_error.get()
    }

    /// Calls the guard and records a refusal.
    fn ask_guard(&self) -> bool {
        let allowed = (self.guard)();
        if !allowed {
            self.refused.set(true);
        }
        allowed
    }
}

/// Binds an attempt's abort to the attempt's connection until dropped.
pub(super) struct AbortBinding(
    #[expect(dead_code, reason = "held for its drop")] token::Registration,
);

/// The socket of a connection and the number of its latest request.
#[derive(Debug)]
struct Socket {
    stream: TcpStream,
    request: Mutex<u64>,
}

impl Socket {
    /// Binds the abort of the next request to the socket. Aborts of earlier
    /// requests no longer affect it.
    fn bind_abort(self: &Arc<Self>, call: &Call) -> AbortBinding {
        let mut request = self.request.lock();
        call.reused.set(*request > 0);
        *request += 1;
        let (socket, number) = (self.clone(), *request);
        drop(request);
        let shut = move || socket.shut_down(number);
        AbortBinding(call.abort.token().on_cancel(shut))
    }

    /// Shuts the socket down if `number` is still its latest request.
    fn shut_down(&self, number: u64) {
        let request = self.request.lock();
        if *request == number {
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}

/// Restores the current thread's previous call when dropped.
pub(super) struct CallScope(Option<Rc<Call>>);

impl Drop for CallScope {
    fn drop(&mut self) {
        CURRENT.set(self.0.take());
    }
}

fn current() -> Option<Rc<Call>> {
    CURRENT.with_borrow(Clone::clone)
}

/// Reads a request body and records its read errors.
pub(super) struct BodySource<'a> {
    pub(super) reader: &'a mut (dyn io::Read + 'static),
    pub(super) call: Rc<Call>,
}

impl Read for BodySource<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let result = self.reader.read(buf);
        if let Err(error) = &result
            && error.kind() != io::ErrorKind::Interrupted
        {
            self.call.source_error.set(Some(error.kind()));
        }
        result
    }
}

/// Resolves every request to one address, whatever its host name.
#[derive(Debug)]
pub(super) struct FixedResolver(pub(super) SocketAddr);

impl resolver::Resolver for FixedResolver {
    fn resolve(
        &self,
        _uri: &http::Uri,
        _config: &ureq::config::Config,
        _timeout: NextTimeout,
    ) -> Result<resolver::ResolvedSocketAddrs, ureq::Error> {
        let mut addrs = self.empty();
        addrs.push(self.0);
        Ok(addrs)
    }
}

/// Opens connections to one address and counts the open ones.
#[derive(Debug)]
pub(super) struct TcpConnector {
    pub(super) addr: SocketAddr,
    pub(super) open: Arc<AtomicUsize>,
}

impl Connector for TcpConnector {
    type Out = GuardedTransport;

    fn connect(
        &self,
        details: &ConnectionDetails,
        _chained: Option<()>,
    ) -> Result<Option<GuardedTransport>, ureq::Error> {
        let call = current();
        if let Some(call) = &call {
            call.connecting.set(true);
        }
        let stream = connect(self.addr, &details.timeout)?;
        stream.set_nodelay(true)?;
        if let Some(call) = &call {
            call.connecting.set(false);
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        let config = details.config;
        Ok(Some(GuardedTransport {
            socket: Arc::new(Socket {
                stream,
                request: Mutex::new(0),
            }),
            buffers: LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size()),
            read_timeout: Duration::ZERO,
            write_timeout: Duration::ZERO,
            broken: false,
            open: self.open.clone(),
        }))
    }
}

fn connect(addr: SocketAddr, timeout: &NextTimeout) -> Result<TcpStream, ureq::Error> {
    let left = *timeout.after;
    if left.is_zero() {
        return Err(ureq::Error::Timeout(timeout.reason));
    }
    TcpStream::connect_timeout(&addr, left).map_err(|error| match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => ureq::Error::Timeout(timeout.reason),
        _ => ureq::Error::Io(error),
    })
}

/// A connection whose writes are guarded and counted.
#[derive(Debug)]
pub(super) struct GuardedTransport {
    socket: Arc<Socket>,
    buffers: LazyBuffers,
    /// Read timeout set on the socket; zero if none was set.
    read_timeout: Duration,
    /// Write timeout set on the socket; zero if none was set.
    write_timeout: Duration,
    /// Whether an error or the end of the stream was seen, which rules out reuse.
    broken: bool,
    open: Arc<AtomicUsize>,
}

impl Drop for GuardedTransport {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Transport for GuardedTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        let result = self.transmit(amount, &timeout);
        self.broken |= result.is_err();
        result
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        let result = self.receive(&timeout);
        self.broken |= !matches!(result, Ok(true));
        result
    }

    fn is_open(&mut self) -> bool {
        !self.broken && self.buffers.input().is_empty() && is_reusable(&self.socket.stream)
    }
}

impl GuardedTransport {
    fn transmit(&mut self, amount: usize, timeout: &NextTimeout) -> Result<(), ureq::Error> {
        let Some(call) = current() else {
            return Err(guard_error());
        };
        if call.written.get() == 0 && amount > 0 {
            call.binding.set(Some(self.socket.bind_abort(&call)));
        }
        let deadline = Instant::now() + *timeout.after;
        let mut sent = 0;
        while sent < amount {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ureq::Error::Timeout(timeout.reason));
            }
            if let Some(limit) = timeout_to_set(self.write_timeout, left) {
                self.socket.stream.set_write_timeout(Some(limit))?;
                self.write_timeout = limit;
            }
            if !call.ask_guard() {
                return Err(guard_error());
            }
            match (&self.socket.stream).write(&self.buffers.output()[sent..amount]) {
                Ok(0) => return Err(io::Error::from(io::ErrorKind::WriteZero).into()),
                Ok(count) => {
                    sent += count;
                    call.written.set(call.written.get() + count as u64);
                }
                Err(error) if is_transient(&error) => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    }

    fn receive(&mut self, timeout: &NextTimeout) -> Result<bool, ureq::Error> {
        let deadline = Instant::now() + *timeout.after;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ureq::Error::Timeout(timeout.reason));
            }
            if let Some(limit) = timeout_to_set(self.read_timeout, left) {
                self.socket.stream.set_read_timeout(Some(limit))?;
                self.read_timeout = limit;
            }
            let buffer = self.buffers.input_append_buf();
            if buffer.is_empty() {
                return Ok(false);
            }
            match (&self.socket.stream).read(buffer) {
                Ok(count) => {
                    self.buffers.input_appended(count);
                    return Ok(count > 0);
                }
                Err(error) if is_transient(&error) => {}
                Err(error) => return Err(error.into()),
            }
        }
    }
}

/// Returns the timeout to set on a socket whose timeout is `set`, or `None` if
/// `set` can stay: it is at least half of `left` and at most `left`. A timeout
/// shorter than `left` is allowed because the caller repeats the read or write,
/// so that requests with similar deadlines need no system call for it.
fn timeout_to_set(set: Duration, left: Duration) -> Option<Duration> {
    if set <= left && set >= left / 2 && !set.is_zero() {
        return None;
    }
    let limit = match left > MAX_EXACT_TIMEOUT {
        true => left * TIMEOUT_NUMERATOR / TIMEOUT_DENOMINATOR,
        false => left,
    };
    Some(limit.max(MIN_TIMEOUT))
}

fn guard_error() -> ureq::Error {
    let error = io::Error::new(
        io::ErrorKind::PermissionDenied,
        "the guard no longer allows sending",
    );
    ureq::Error::Io(error)
}

fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}

/// Returns whether an idle connection is open and has no unread data, which
/// would be taken for the next request's response.
fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).recv_with_flags(&mut byte, PEEK_FLAGS);
    matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

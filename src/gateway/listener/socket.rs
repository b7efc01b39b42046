//! Socket of a caller's connection, which can be reset while it is served.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Time within which a caller has to take [`MIN_TAKEN_BYTES`] of a response that waits for it.
/// Links may be cut for some seconds.
const SLOW_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of a waiting response that a caller has to take within [`SLOW_TIMEOUT`].
const MIN_TAKEN_BYTES: usize = 16 << 10;

/// Pace at which a caller takes a response that waits for it.
#[derive(Default)]
struct Pace {
    /// End of the time for the next [`MIN_TAKEN_BYTES`], while a response waits.
    timeout: Option<Pin<Box<Sleep>>>,
    /// Bytes taken in that time.
    taken: usize,
}

impl Pace {
    /// Records that the caller's host takes no more bytes. Ready once the caller was too slow.
    fn poll_blocked(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let timeout = &mut self.timeout;
        let timeout = timeout.get_or_insert_with(|| Box::pin(tokio::time::sleep(SLOW_TIMEOUT)));
        timeout.as_mut().poll(context)
    }

    /// Records that the caller's host took bytes.
    fn on_taken(&mut self, bytes: usize) {
        if self.timeout.is_some() {
            self.taken += bytes;
        }
        if self.taken >= MIN_TAKEN_BYTES {
            self.reset();
        }
    }

    /// Records that nothing waits.
    fn reset(&mut self) {
        self.timeout = None;
        self.taken = 0;
    }
}

/// Socket that shares its stream with the task that serves it.
pub(super) struct Socket {
    stream: Rc<TcpStream>,
    pace: Pace,
    /// Set once the caller took a response too slowly.
    slow: Rc<Cell<bool>>,
}

impl Socket {
    /// Returns the socket of `stream`, which sets `slow` once it fails because the caller took
    /// a response too slowly.
    pub(super) fn new(stream: Rc<TcpStream>, slow: Rc<Cell<bool>>) -> Self {
        Self {
            stream,
            pace: Pace::default(),
            slow,
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Ok(length) => {
                    buffer.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl Socket {
    /// Writes as much as the system takes.
    ///
    /// # Errors
    /// Fails with [`io::ErrorKind::TimedOut`] if the caller takes a waiting response too slowly.
    fn poll_io(
        &mut self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            match self.stream.poll_write_ready(context) {
                Poll::Ready(result) => result?,
                Poll::Pending => {
                    ready!(self.pace.poll_blocked(context));
                    self.slow.set(true);
                    return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
                }
            }
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(length) => {
                    self.pace.on_taken(length);
                    return Poll::Ready(Ok(length));
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_io(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_io(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes once it has written all that it has.
        self.pace.reset();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write);
        Poll::Ready(match result {
            // The caller has closed the connection.
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(()),
            result => result,
        })
    }
}

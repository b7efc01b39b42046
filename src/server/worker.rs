//! Worker threads that run the handler.

use std::collections::VecDeque;
use std::io::{self, Read};
use std::panic::{self, AssertUnwindSafe};
use std::sync::Arc;
use std::thread;

use bytes::Bytes;
use crossbeam::channel;
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use crate::server::{self, message, refusal};

/// Size of a piece of a streamed response, in bytes.
const PIECE_BYTES: usize = 32 << 10;

/// Pieces of a streamed response that are buffered for the caller.
const MAX_QUEUED_PIECES: usize = 4;

/// A piece of a response's body that is passed from a worker to the I/O
/// thread. A channel that closes without `End` means that the body was truncated.
pub(super) enum Piece {
    Data(Bytes),
    End,
}

/// A response's body that is passed to the I/O thread, whole or as pieces with
/// the number of bytes to come if it is known.
pub(super) enum Content {
    Whole(Bytes),
    Pieces(mpsc::Receiver<Piece>, Option<u64>),
}

/// A handler's response that is passed to the I/O thread.
pub(super) struct Reply {
    pub(super) status: http::StatusCode,
    pub(super) headers: http::HeaderMap,
    pub(super) content: Content,
}

/// A request that is passed to a worker, and the channel for its reply.
pub(super) struct Job {
    pub(super) request: message::Request,
    pub(super) reply: oneshot::Sender<Reply>,
}

/// Error of a submit: no worker is idle and the queue is full, or the pool is
/// closed.
pub(super) struct QueueFull;

struct State {
    /// Indices of the idle workers; the last became idle last.
    idle: Vec<usize>,
    queued: VecDeque<Job>,
    closed: bool,
}

/// Pool of worker threads with a bounded queue.
///
/// The worker that became idle last gets the next request, because its stack
/// and its thread-local data are still in the processor's caches. A channel
/// shared by all workers would wake the one that has been idle longest.
pub(super) struct Pool {
    state: Mutex<State>,
    workers: Vec<channel::Sender<Option<Job>>>,
    max_queued: usize,
}

impl Pool {
    /// Starts the workers. They end when the pool is closed and its queue is empty.
    ///
    /// # Errors
    /// Returns the I/O error if a thread can't be started.
    pub(super) fn start(
        options: &server::Options,
        handler: impl message::Handler,
    ) -> io::Result<Arc<Self>> {
        let (workers, receivers): (Vec<_>, Vec<_>) =
            (0..options.workers).map(|_| channel::bounded(1)).unzip();
        let pool = Arc::new(Self {
            state: Mutex::new(State {
                idle: Vec::with_capacity(options.workers),
                queued: VecDeque::new(),
                closed: false,
            }),
            workers,
            max_queued: options.queue,
        });
        let handler = Arc::new(handler);
        for (index, receiver) in receivers.into_iter().enumerate() {
            let (pool, handler) = (pool.clone(), handler.clone());
            let builder = thread::Builder::new().name(format!("{}-{index}", options.name));
            builder.spawn(move || {
                while let Some(job) = pool.next(index, &receiver) {
                    run(job, &*handler);
                }
            })?;
        }
        Ok(pool)
    }

    /// Passes a request to an idle worker or queues it.
    ///
    /// # Errors
    /// Fails if the queue is full or the pool is closed; the request was not run.
    pub(super) fn submit(&self, job: Job) -> Result<(), QueueFull> {
        let mut state = self.state.lock();
        if let Some(index) = state.idle.pop() {
            drop(state);
            let _ = self.workers[index].send(Some(job));
            return Ok(());
        }
        if state.closed || state.queued.len() >= self.max_queued {
            return Err(QueueFull);
        }
        state.queued.push_back(job);
        Ok(())
    }

    /// Closes the pool: workers end when the queue is empty.
    pub(super) fn close(&self) {
        let mut state = self.state.lock();
        state.closed = true;
        for index in state.idle.drain(..) {
            let _ = self.workers[index].send(None);
        }
    }

    /// Returns the worker's next request, or `None` if the worker has to end.
    fn next(&self, index: usize, receiver: &channel::Receiver<Option<Job>>) -> Option<Job> {
        let mut state = self.state.lock();
        if let Some(job) = state.queued.pop_front() {
            return Some(job);
        }
        if state.closed {
            return None;
        }
        state.idle.push(index);
        drop(state);
        receiver.recv().ok().flatten()
    }
}

/// Runs the handler and sends its response. A panic becomes a refusal.
fn run(job: Job, handler: &dyn message::Handler) {
    if job.reply.is_closed() {
        return;
    }
    let Job { request, reply } = job;
    let response = panic::catch_unwind(AssertUnwindSafe(|| handler.handle(request)))
        .unwrap_or_else(|_| {
            let detail = "the daemon failed to process the request";
            refusal::Refusal::unknown(refusal::Reason::Internal, detail).into()
        });
    let message::Response {
        status,
        headers,
        body,
    } = response;
    match body {
        message::Body::Whole(data) => {
            let content = Content::Whole(data);
            let _ = reply.send(Reply {
                status,
                headers,
                content,
            });
        }
        message::Body::Stream(reader, length) => {
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_PIECES);
            let content = Content::Pieces(receiver, length);
            let response = Reply {
                status,
                headers,
                content,
            };
            if reply.send(response).is_ok() {
                let _ = panic::catch_unwind(AssertUnwindSafe(|| pump(reader, length, &sender)));
            }
        }
    }
}

/// Reads a body and sends it in pieces. Returns without sending `End` if
/// reading fails or the body's length differs from the stated one.
fn pump(mut reader: Box<dyn Read + Send>, length: Option<u64>, sender: &mpsc::Sender<Piece>) {
    let mut read_bytes = 0;
    let mut buffer = vec![0; PIECE_BYTES];
    loop {
        let count = match reader.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(error) => {
                log::debug!("reading a response body failed, the response is truncated: {error}");
                return;
            }
        };
        read_bytes += count as u64;
        let data = Bytes::copy_from_slice(&buffer[..count]);
        if length.is_some_and(|length| read_bytes > length)
            || sender.blocking_send(Piece::Data(data)).is_err()
        {
            return;
        }
    }
    if length.is_none_or(|length| read_bytes == length) {
        let _ = sender.blocking_send(Piece::End);
    }
}

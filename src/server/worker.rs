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

/// Pieces of a streamed response that wait for the caller.
const PIECES: usize = 4;

/// A piece of a response's body that is passed from a worker to the I/O
/// thread. A channel that closes without `End` means that the body is cut.
pub(super) enum Piece {
    Data(Bytes),
    End,
}

/// A response's body on its way to the I/O thread.
pub(super) enum Content {
    Whole(Bytes),
    Pieces(mpsc::Receiver<Piece>, Option<u64>),
}

/// A response on its way to the I/O thread.
pub(super) struct Answer {
    pub(super) status: http::StatusCode,
    pub(super) headers: http::HeaderMap,
    pub(super) content: Content,
}

/// A request on its way to a worker.
pub(super) struct Job {
    pub(super) request: message::Request,
    pub(super) reply: oneshot::Sender<Answer>,
}

/// No worker is free and too many requests wait.
pub(super) struct Full;

struct State {
    /// Numbers of the workers without a job; the last became idle last.
    idle: Vec<usize>,
    waiting: VecDeque<Job>,
    closed: bool,
}

/// Hands requests to workers.
///
/// The worker that became idle last gets the next request, because its stack
/// and its thread-local data are still in the processor's caches. A channel
/// shared by all workers would wake the one that has been idle longest.
pub(super) struct Pool {
    state: Mutex<State>,
    workers: Vec<channel::Sender<Option<Job>>>,
    queue: usize,
}

impl Pool {
    /// Starts the workers. They end when the pool is closed and no request waits.
    pub(super) fn start(
        options: &server::Options,
        handler: impl message::Handler,
    ) -> io::Result<Arc<Self>> {
        let (workers, receivers): (Vec<_>, Vec<_>) =
            (0..options.workers).map(|_| channel::bounded(1)).unzip();
        let pool = Arc::new(Self {
            state: Mutex::new(State {
                idle: Vec::with_capacity(options.workers),
                waiting: VecDeque::new(),
                closed: false,
            }),
            workers,
            queue: options.queue,
        });
        let handler = Arc::new(handler);
        for (number, receiver) in receivers.into_iter().enumerate() {
            let (pool, handler) = (pool.clone(), handler.clone());
            let builder = thread::Builder::new().name(format!("{}-{number}", options.name));
            builder.spawn(move || {
                while let Some(job) = pool.next(number, &receiver) {
                    run(job, &*handler);
                }
            })?;
        }
        Ok(pool)
    }

    /// Hands a request to a worker or lets it wait.
    ///
    /// # Errors
    /// Fails if too many wait or the pool is closed; the request was not run.
    pub(super) fn submit(&self, job: Job) -> Result<(), Full> {
        let mut state = self.state.lock();
        if let Some(number) = state.idle.pop() {
            drop(state);
            let _ = self.workers[number].send(Some(job));
            return Ok(());
        }
        if state.closed || state.waiting.len() >= self.queue {
            return Err(Full);
        }
        state.waiting.push_back(job);
        Ok(())
    }

    /// Lets the workers end when no request waits.
    pub(super) fn close(&self) {
        let mut state = self.state.lock();
        state.closed = true;
        for number in state.idle.drain(..) {
            let _ = self.workers[number].send(None);
        }
    }

    fn next(&self, number: usize, receiver: &channel::Receiver<Option<Job>>) -> Option<Job> {
        let mut state = self.state.lock();
        if let Some(job) = state.waiting.pop_front() {
            return Some(job);
        }
        if state.closed {
            return None;
        }
        state.idle.push(number);
        drop(state);
        receiver.recv().ok().flatten()
    }
}

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
            let _ = reply.send(Answer {
                status,
                headers,
                content,
            });
        }
        message::Body::Stream(reader, length) => {
            let (sender, receiver) = mpsc::channel(PIECES);
            let content = Content::Pieces(receiver, length);
            let answer = Answer {
                status,
                headers,
                content,
            };
            if reply.send(answer).is_ok() {
                let _ = panic::catch_unwind(AssertUnwindSafe(|| pump(reader, length, &sender)));
            }
        }
    }
}

/// Reads a body and passes it on. Returns without sending `End` if the body
/// is cut or has another length than stated.
fn pump(mut reader: Box<dyn Read + Send>, length: Option<u64>, sender: &mpsc::Sender<Piece>) {
    let mut seen = 0;
    let mut buffer = vec![0; PIECE_BYTES];
    loop {
        let count = match reader.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(error) => {
                log::debug!("a response was cut off: {error}");
                return;
            }
        };
        seen += count as u64;
        let data = Bytes::copy_from_slice(&buffer[..count]);
        if length.is_some_and(|length| seen > length)
            || sender.blocking_send(Piece::Data(data)).is_err()
        {
            return;
        }
    }
    if length.is_none_or(|length| seen == length) {
        let _ = sender.blocking_send(Piece::End);
    }
}

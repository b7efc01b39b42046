//! Two attempts at one request, of which the first answer counts.

use std::time::Instant;

use parking_lot::{Condvar, Mutex};

use crate::forward::Abort;

enum Second<T> {
    /// It has not started.
    Idle,
    /// It runs.
    Running,
    /// It has ended, and whether with an answer.
    Ended(T, bool),
}

struct Inner<T> {
    second: Second<T>,
    /// Set when the second attempt must not start or its result is not wanted.
    closed: bool,
}

/// What the first attempt's thread learns of the second attempt.
#[derive(Debug, PartialEq, Eq)]
pub enum Other<T> {
    /// It was not started, or its result does not matter.
    None,
    /// It was started and has not ended in time.
    Unfinished,
    /// It has ended. If it answered, its answer counts, whatever became of
    /// the first attempt.
    Ended(T),
}

/// Two attempts at one request.
///
/// The thread of the first attempt decides: it calls [`Race::end_first`] when
/// its attempt has returned. An answer of the second attempt aborts the first,
/// and the other way round. The first whole head under the lock wins: a streamed
/// answer of an aborted attempt would be cut off.
pub struct Race<T> {
    inner: Mutex<Inner<T>>,
    ended: Condvar,
    first: Abort,
    second: Abort,
}

impl<T> Race<T> {
    /// Returns a race whose attempts are ended by the two handles.
    pub fn new(first: Abort, second: Abort) -> Self {
        Self {
            inner: Mutex::new(Inner {
                second: Second::Idle,
                closed: false,
            }),
            ended: Condvar::new(),
            first,
            second,
        }
    }

    /// Returns whether the first attempt still runs without a second one.
    pub fn is_open(&self) -> bool {
        let inner = self.inner.lock();
        !inner.closed && matches!(inner.second, Second::Idle)
    }

    /// Starts the second attempt, unless the first has ended. If this returns
    /// true, [`Race::end_second`] must be called.
    pub fn start_second(&self) -> bool {
        let mut inner = self.inner.lock();
        if inner.closed || !matches!(inner.second, Second::Idle) {
            return false;
        }
        inner.second = Second::Running;
        true
    }

    /// Takes the result of the second attempt. If it `answered`, the first is aborted.
    pub fn end_second(&self, result: T, answered: bool) {
        let mut inner = self.inner.lock();
        if inner.closed {
            drop(inner);
            return;
        }
        inner.second = Second::Ended(result, answered);
        drop(inner);
        self.ended.notify_all();
        if answered {
            self.first.fire();
        }
    }

    /// Ends the first attempt. If it `answered`, a second one that runs is
    /// aborted. Otherwise waits for the second, until `end` at the latest.
    ///
    /// The first attempt's answer must not be used if the second has answered
    /// before, since the first is then aborted.
    pub fn end_first(&self, answered: bool, end: Instant) -> Other<T> {
        let mut inner = self.inner.lock();
        while !answered && matches!(inner.second, Second::Running) {
            if self.ended.wait_until(&mut inner, end).timed_out() {
                break;
            }
        }
        inner.closed = true;
        let second = std::mem::replace(&mut inner.second, Second::Idle);
        drop(inner);
        match second {
            Second::Running => {
                self.second.fire();
                match answered {
                    true => Other::None,
                    false => Other::Unfinished,
                }
            }
            Second::Ended(result, won) if won || !answered => Other::Ended(result),
            _ => Other::None,
        }
    }
}

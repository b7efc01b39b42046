//! Coordination of a request's first attempt and its hedged second attempt.

use std::time::Instant;

use parking_lot::{Condvar, Mutex};

use crate::forward::Abort;

/// State of the second attempt.
enum SecondState<T> {
    /// It has not started, or its result was taken.
    Idle,
    /// It is running.
    Running,
    /// It has ended. The flag tells whether with an answer.
    Ended(T, bool),
}

struct Inner<T> {
    second: SecondState<T>,
    /// Set when the first attempt has ended: a second attempt must not start, and
    /// its result is dropped.
    closed: bool,
}

/// Result of the second attempt for the first attempt's thread.
#[derive(Debug, PartialEq, Eq)]
pub enum SecondResult<T> {
    /// It was not started, or its result is not needed.
    None,
    /// It was started and did not end by the deadline.
    Unfinished,
    /// It has ended. If with an answer, this answer must be used, whatever the
    /// result of the first attempt.
    Ended(T),
}

/// Two attempts at one request, of which the first answer is used.
///
/// The thread of the first attempt selects the result: it calls
/// [`Race::end_first`] when its attempt has returned. An answer to one attempt
/// aborts the other. The first attempt whose response's head is recorded under
/// the lock wins, because a streamed answer of an aborted attempt is cut off.
pub struct Race<T> {
    inner: Mutex<Inner<T>>,
    ended: Condvar,
    first: Abort,
    second: Abort,
}

impl<T> Race<T> {
    /// Creates a race whose attempts are aborted through the two handles.
    pub fn new(first: Abort, second: Abort) -> Self {
        Self {
            inner: Mutex::new(Inner {
                second: SecondState::Idle,
                closed: false,
            }),
            ended: Condvar::new(),
            first,
            second,
        }
    }

    /// Returns whether the first attempt is running and no second one was started.
    pub fn is_open(&self) -> bool {
        let inner = self.inner.lock();
        !inner.closed && matches!(inner.second, SecondState::Idle)
    }

    /// Marks the second attempt as started, unless the first has ended or the
    /// second was started before. If this returns true, [`Race::end_second`] must
    /// be called.
    pub fn start_second(&self) -> bool {
        let mut inner = self.inner.lock();
        if inner.closed || !matches!(inner.second, SecondState::Idle) {
            return false;
        }
        inner.second = SecondState::Running;
        true
    }

    /// Records the result of the second attempt. If it `answered`, the first is aborted.
    pub fn end_second(&self, result: T, answered: bool) {
        let mut inner = self.inner.lock();
        if inner.closed {
            drop(inner);
            return;
        }
        inner.second = SecondState::Ended(result, answered);
        drop(inner);
        self.ended.notify_all();
        if answered {
            self.first.fire();
        }
    }

    /// Records the end of the first attempt. If it `answered`, a running second
    /// attempt is aborted. Otherwise waits for the second attempt, until `deadline`
    /// at the latest, and aborts it if it is still running then.
    ///
    /// If the result is [`SecondResult::Ended`], an answer of the first attempt must
    /// not be used, because the second one's answer has aborted it.
    pub fn end_first(&self, answered: bool, deadline: Instant) -> SecondResult<T> {
        let mut inner = self.inner.lock();
        while !answered && matches!(inner.second, SecondState::Running) {
            if self.ended.wait_until(&mut inner, deadline).timed_out() {
                break;
            }
        }
        inner.closed = true;
        let second = std::mem::replace(&mut inner.second, SecondState::Idle);
        drop(inner);
        match second {
            SecondState::Running => {
                self.second.fire();
                match answered {
                    true => SecondResult::None,
                    false => SecondResult::Unfinished,
                }
            }
            SecondState::Ended(result, second_answered) if second_answered || !answered => {
                SecondResult::Ended(result)
            }
            _ => SecondResult::None,
        }
    }
}

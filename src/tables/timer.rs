//! Timer for actions most of which are cancelled before they are due.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::{Condvar, Mutex};

type Action = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct Queue {
    last_id: u64,
    actions: BTreeMap<(Instant, u64), Action>,
    /// Time until which the timer's thread sleeps; `None` if it waits for an action.
    wake_at: Option<Instant>,
    stopped: bool,
}

/// Runs scheduled actions on one thread.
///
/// Most actions are cancelled before they are due, so scheduling one wakes the
/// thread only if it would otherwise sleep too long.
#[derive(Default)]
pub struct Timer {
    queue: Mutex<Queue>,
    changed: Condvar,
}

impl Timer {
    /// Schedules `action` to run at `at`, unless the returned guard is dropped
    /// before. An action must not block.
    pub fn arm(self: &Arc<Self>, at: Instant, action: impl FnOnce() + Send + 'static) -> Armed {
        let mut queue = self.queue.lock();
        queue.last_id += 1;
        let key = (at, queue.last_id);
        queue.actions.insert(key, Box::new(action));
        let must_wake = queue.wake_at.is_none_or(|wake_at| at < wake_at);
        drop(queue);
        if must_wake {
            self.changed.notify_one();
        }
        Armed {
            timer: self.clone(),
            key,
        }
    }

    /// Runs due actions on the calling thread until the timer is stopped.
    pub fn run(&self) {
        let mut queue = self.queue.lock();
        while !queue.stopped {
            let due = queue.actions.first_key_value().map(|((at, _), _)| *at);
            queue.wake_at = due;
            match due {
                None => self.changed.wait(&mut queue),
                Some(at) if at > Instant::now() => {
                    self.changed.wait_until(&mut queue, at);
                }
                Some(_) => {
                    let action = queue.actions.pop_first();
                    drop(queue);
                    if let Some((_, action)) = action {
                        action();
                    }
                    queue = self.queue.lock();
                }
            }
        }
    }

    /// Makes [`Timer::run`] return. Actions that are not due yet don't run.
    pub fn stop(&self) {
        self.queue.lock().stopped = true;
        self.changed.notify_all();
    }
}

/// Guard of a scheduled action; dropping it cancels the action.
pub struct Armed {
    timer: Arc<Timer>,
    key: (Instant, u64),
}

impl Drop for Armed {
    fn drop(&mut self) {
        let removed = self.timer.queue.lock().actions.remove(&self.key);
        // The action is dropped after the lock is released.
        drop(removed);
    }
}

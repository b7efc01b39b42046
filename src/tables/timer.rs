//! Timer for actions that are mostly disarmed before their time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::{Condvar, Mutex};

type Action = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct Queue {
    last: u64,
    actions: BTreeMap<(Instant, u64), Action>,
    /// When the timer's thread wakes by itself, if it sleeps.
    wake: Option<Instant>,
    stopped: bool,
}

/// Runs actions at set times on one thread.
///
/// Most actions are disarmed before their time, so that arming one wakes the
/// thread only if it would otherwise sleep past that time.
#[derive(Default)]
pub struct Timer {
    queue: Mutex<Queue>,
    changed: Condvar,
}

impl Timer {
    /// Has `action` run at `at`, unless the result is dropped before. An
    /// action must not block.
    pub fn arm(self: &Arc<Self>, at: Instant, action: impl FnOnce() + Send + 'static) -> Armed {
        let mut queue = self.queue.lock();
        queue.last += 1;
        let place = (at, queue.last);
        queue.actions.insert(place, Box::new(action));
        let late = queue.wake.is_none_or(|wake| at < wake);
        drop(queue);
        if late {
            self.changed.notify_one();
        }
        Armed {
            timer: self.clone(),
            place,
        }
    }

    /// Runs actions until the timer is stopped.
    pub fn run(&self) {
        let mut queue = self.queue.lock();
        while !queue.stopped {
            let due = queue.actions.first_key_value().map(|((at, _), _)| *at);
            queue.wake = due;
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

    /// Has [`Timer::run`] return.
    pub fn stop(&self) {
        self.queue.lock().stopped = true;
        self.changed.notify_all();
    }
}

/// Keeps an action armed until it is dropped.
pub struct Armed {
    timer: Arc<Timer>,
    place: (Instant, u64),
}

impl Drop for Armed {
    fn drop(&mut self) {
        let removed = self.timer.queue.lock().actions.remove(&self.place);
        // The action is dropped without the lock.
        drop(removed);
    }
}

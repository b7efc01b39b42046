//! The target's own clock.

use std::time::Instant;

use parking_lot::Mutex;

/// The first reading in milliseconds. It isn't 0, so that it can't be
/// confused with a time since start on the reader's side.
const START: u64 = 1_000_000;

struct Reading {
    base: u64,
    since: Option<Instant>,
}

impl Reading {
    fn get(&self) -> u64 {
        let passed = self.since.map(|since| since.elapsed().as_millis() as u64);
        self.base + passed.unwrap_or(0)
    }
}

/// A clock in milliseconds that never goes back and can be stopped.
pub struct Clock(Mutex<Reading>);

impl Clock {
    /// Returns a running clock.
    pub fn new() -> Self {
        let since = Some(Instant::now());
        Self(Mutex::new(Reading { base: START, since }))
    }

    /// Reads the clock, in milliseconds.
    pub fn now(&self) -> u64 {
        self.0.lock().get()
    }

    /// Stops the clock, or lets it go on from where it stands.
    pub fn stop(&self, stopped: bool) {
        let mut reading = self.0.lock();
        reading.base = reading.get();
        reading.since = (!stopped).then(Instant::now);
    }

    /// Sets the clock forward by `millis`.
    pub fn step(&self, millis: u64) {
        self.0.lock().base += millis;
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

//! The users' rule on requests that crash targets, counted from what the model's targets
//! and network did.

/// Targets that a request crashes before the rule applies.
const CRASHES: usize = 3;

/// Sends that the rule allows afterwards.
const SENDS: usize = 3;

/// Time that daemons have to learn of a crash, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// What happened to one crashing request.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    crashes: Vec<u64>,
    /// All sends.
    sends: usize,
    /// Sends after the contact time, while the daemons were in touch.
    late: Vec<u64>,
    /// Time since which all daemons have been in touch, if they are.
    joined: Option<u64>,
}

impl Oracle {
    /// Records whether all daemons can reach each other.
    pub fn on_network(&mut self, time: u64, whole: bool) {
        self.joined = match whole {
            true => self.joined.or(Some(time)),
            false => None,
        };
    }

    /// Records that the request crashed a target.
    pub fn on_crash(&mut self, time: u64) {
        self.crashes.push(time);
    }

    /// Records that the request was sent to a target.
    ///
    /// # Panics
    /// Panics if the rule does not allow it.
    pub fn on_send(&mut self, time: u64) {
        self.sends += 1;
        let (Some(third), Some(joined)) = (self.crashes.get(CRASHES - 1), self.joined) else {
            return;
        };
        if time > (*third).max(joined) + CONTACT_MS {
            self.late.push(time);
            assert!(
                self.late.len() <= SENDS,
                "crashes at {:?}, sends after the contact time at {:?}",
                self.crashes,
                self.late
            );
        }
    }

    /// Returns the number of sends.
    pub fn sends(&self) -> usize {
        self.sends
    }
}

//! Followers of the key table's topic: reads that wait for a record, and records that other
//! daemons pass on, which don't reach the state machine.

use pistachiomoor::model;
use rand::Rng;

use super::log::Answer;
use super::{Event, LOG_TIMEOUT_MS, World};

/// Longest time for which a read waits for a record.
const WAIT_MS: u64 = 10_000;
/// Pause after a failed read, and before a daemon looks again whether another one reads.
const PAUSE_MS: u64 = 200;
/// Time between looks of a waiting read at the log.
const LOOK_MS: u64 = 50;
/// Time since the last heartbeat of a daemon after which another one reads by itself.
const READER_TIMEOUT_MS: u64 = 1_000;

/// A read of the topic by its follower.
#[derive(Clone, Copy, Debug)]
pub(super) struct FollowerRead {
    /// Number of the read; earlier reads are cancelled.
    number: u64,
    started: u64,
    /// Time until which it waits for a record.
    until: u64,
    from: Option<model::Offset>,
}

/// Read position of a daemon's follower.
#[derive(Default)]
pub(super) struct Follower {
    position: Option<model::Offset>,
    /// Number of the last read.
    number: u64,
}

impl World {
    /// Lets the daemons follow the topic and pass on its records.
    pub fn with_followers(mut self) -> Self {
        self.following = true;
        for i in 0..self.daemons.len() {
            self.start_follower(i);
        }
        self
    }

    /// Starts the follower of a daemon that has just started.
    pub(super) fn start_follower(&mut self, i: usize) {
        if self.following {
            self.daemons[i].follower = Follower::default();
            self.follow_at(i, self.now);
        }
    }

    /// Lets the follower's next read begin at `at`, and cancels the one before.
    fn follow_at(&mut self, i: usize, at: u64) {
        let incarnation = self.daemons[i].incarnation;
        self.daemons[i].follower.number += 1;
        let number = self.daemons[i].follower.number;
        self.schedule(at, Event::Follow(i, incarnation, number));
    }

    /// Returns whether daemon `i` leaves reading to another one: the coordinator, or one
    /// earlier by name.
    fn has_reader(&self, i: usize) -> bool {
        let reads = |k: usize| {
            let heard = self.daemons[i].last_heartbeat[k] + READER_TIMEOUT_MS > self.now;
            let is_coordinator = self.daemons[k].coordinator.is_coordinator();
            heard && (k < i || is_coordinator) && !self.is_log_unavailable(k)
        };
        let mut others = (0..self.daemons.len()).filter(|&k| k != i);
        !self.daemons[i].coordinator.is_coordinator() && others.any(reads)
    }

    /// Begins a read, unless another daemon reads.
    pub(super) fn follow(&mut self, i: usize, incarnation: u64, number: u64) {
        if number != self.daemons[i].follower.number {
            return;
        }
        let from = self.daemons[i].follower.position;
        if from.is_some() && self.has_reader(i) {
            return self.follow_at(i, self.now + PAUSE_MS);
        }
        if self.is_log_unavailable(i) {
            return self.follow_at(i, self.now + LOG_TIMEOUT_MS + PAUSE_MS);
        }
        // A read ends early if the log returns from an outage meanwhile.
        let wait = match self.rng.random_bool(0.5) {
            true => WAIT_MS,
            false => self.rng.random_range(0..200),
        };
        let read = FollowerRead {
            number,
            started: self.now,
            until: self.now + wait,
            from,
        };
        let at = self.now + self.log_delay();
        self.schedule(at, Event::FollowerReads(i, incarnation, read));
    }

    /// Executes a read at the log.
    pub(super) fn follower_reads(&mut self, i: usize, incarnation: u64, read: FollowerRead) {
        if read.number != self.daemons[i].follower.number {
            return;
        }
        if self.is_log_unavailable(i) {
            return self.follow_at(i, self.now + LOG_TIMEOUT_MS + PAUSE_MS);
        }
        let event = match self.log.read(read.from) {
            Some(Answer::Unchanged(..)) if self.now < read.until => {
                let event = Event::FollowerReads(i, incarnation, read);
                return self.schedule(self.now + LOOK_MS, event);
            }
            answer => Event::Followed(i, incarnation, read, answer),
        };
        let at = self.now + self.answer_delay();
        self.schedule(at, event);
    }

    /// Handles the answer to a read, `None` if its position is lost, and passes on a record.
    pub(super) fn followed(&mut self, i: usize, read: FollowerRead, answer: Option<Answer>) {
        if read.number != self.daemons[i].follower.number {
            return;
        }
        let Some(answer) = answer else {
            self.daemons[i].follower.position = None;
            return self.follow_at(i, self.now);
        };
        let end = answer.end();
        self.daemons[i].follower.position = Some(end);
        let is_record = matches!(answer, Answer::Record(..));
        self.read_done(i, read.started, answer);
        for k in (0..self.daemons.len()).filter(|&k| is_record && k != i) {
            if let Some(at) = self.datagram(i, k) {
                self.schedule(at, Event::Relayed(k, end));
            }
        }
        self.follow_at(i, self.now + 1);
    }

    /// Handles records up to `next` that another daemon passed on. Those of a later era have
    /// no place in the follower's order, so that it reads the newest record by itself.
    pub(super) fn relayed(&mut self, i: usize, next: model::Offset) {
        let follower = &mut self.daemons[i].follower;
        let Some(position) = follower.position.filter(|position| *position < next) else {
            return;
        };
        follower.position = (position.era() == next.era()).then_some(next);
        self.follow_at(i, self.now);
    }
}

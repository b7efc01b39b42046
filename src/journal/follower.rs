//! Follower thread, which reads the log and folds its records into the state.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::journal::{Client, Error, FollowError, Journal, Stored};
use crate::model;
use crate::state;
use crate::token;

/// Maximum number of records per read.
const MAX_PAGE_RECORDS: usize = 512;

/// Maximum wait of a long poll.
const POLL_WAIT: Duration = Duration::from_secs(5);

/// Delay before the next read after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Other daemons as a source of state and records while the log is unavailable or truncated.
pub trait Peers: Send {
    /// Returns the newest state of the peers, or `None` if no peer answers.
    fn state(&self) -> Option<state::State>;

    /// Returns records from `from` on that a peer has read.
    fn records(&self, from: model::Offset) -> Vec<Stored>;
}

/// Follows the log on its own thread until its token is cancelled.
pub struct Follower<P> {
    journal: Arc<Journal>,
    client: Client,
    peers: P,
    token: token::Token,
}

impl<P: Peers> Follower<P> {
    /// Returns a follower that reads with a client of its own, since a long
    /// poll occupies a connection.
    pub fn new(journal: Arc<Journal>, client: Client, peers: P, token: token::Token) -> Self {
        Self {
            journal,
            client,
            peers,
            token,
        }
    }

    /// Follows the log until the token is cancelled. Once the log can't be
    /// followed any further, only waits for that.
    pub fn run(self) {
        while !self.token.is_cancelled() {
            if self.journal.halted().is_some() {
                self.token.wait_timeout(POLL_WAIT);
                continue;
            }
            let result = self.read_next();
            let available = result.is_ok();
            self.journal
                .log_available
                .store(available, Ordering::Relaxed);
            match result {
                Ok(()) => {}
                Err(error) => {
                    log::debug!("reading the log failed: {error}");
                    self.read_from_peers();
                    self.token.wait_timeout(RETRY_DELAY);
                }
            }
        }
    }

    /// Reads and folds the next page of records.
    fn read_next(&self) -> Result<(), Error> {
        let next = self.journal.state().next;
        // The first read must not wait for a record, since the log may be empty
        // and the state is usable only after a read.
        let wait = match self.journal.is_usable() {
            true => POLL_WAIT,
            false => Duration::ZERO,
        };
        match self.client.read(next, MAX_PAGE_RECORDS, wait) {
            Ok(page) if page.next < next => {
                self.journal.halt(FollowError::EndRegressed {
                    end: page.next,
                    next,
                });
                Ok(())
            }
            Ok(page) => {
                self.journal.note_end(page.next);
                self.fold(&page.records);
                Ok(())
            }
            Err(Error::Truncated { first, next: end }) => self.restore(first, end),
            Err(error) => Err(error),
        }
    }

    fn fold(&self, records: &[Stored]) {
        if let Err(error) = self.journal.fold(records) {
            log::error!("stopped following the log: {error}");
        }
    }

    /// Restores the state from the newest complete snapshot in the log, or from
    /// peers if there is none from `first` on.
    fn restore(&self, first: model::Offset, end: model::Offset) -> Result<(), Error> {
        log::warn!("the log begins at {first}; looking for a snapshot up to {end}");
        let mut collector = state::snapshot::Collector::default();
        let mut from = first;
        let mut found = None;
        while from < end && !self.token.is_cancelled() {
            let page = self.client.read(from, MAX_PAGE_RECORDS, Duration::ZERO)?;
            let Some(last) = page.records.last() else {
                break;
            };
            from = last.offset.next();
            for record in &page.records {
                if let Some(snapshot) = collect_snapshot(&mut collector, record) {
                    found = Some(snapshot);
                }
            }
        }
        match found {
            Some(snapshot) if snapshot.next >= first => {
                log::info!("restored the state from a snapshot at {}", snapshot.next);
                self.journal.adopt(snapshot);
            }
            _ => {
                log::error!("no whole snapshot in the log from {first} to {end}; asking peers");
                self.read_from_peers();
                self.token.wait_timeout(RETRY_DELAY);
            }
        }
        Ok(())
    }

    /// Loads the state, or the records that follow it, from peers.
    fn read_from_peers(&self) {
        if !self.journal.is_usable() {
            if let Some(state) = self.peers.state() {
                log::info!("loaded the state at {} from a peer", state.next);
                self.journal.adopt(state);
            }
            return;
        }
        let next = self.journal.state().next;
        if self.journal.end_seen() > next {
            let records = self.peers.records(next);
            self.fold(&records);
        }
    }
}

/// Adds a record to `collector` and returns the snapshot that it completes, if any.
fn collect_snapshot(
    collector: &mut state::snapshot::Collector,
    record: &Stored,
) -> Option<state::State> {
    let envelope = state::Envelope::decode(&record.data).ok()?;
    collector.take(&envelope.body)
}

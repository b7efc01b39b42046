//! The daemon's access to the platform's log: client, follower, writer and published state.
//!
//! One follower thread reads the log, folds its records with
//! [`crate::state::State::apply_envelope`] and publishes the state. A writer
//! takes a record's outcome as known only after the follower has read it back.

mod client;
mod follower;
mod given;
mod writer;

pub use client::{Client, Error, Page, Stored};
pub use follower::{Follower, Peers};
pub use given::{Given, UndecidedError};
pub use writer::{Decision, ProposeError};

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use parking_lot::{Condvar, Mutex, RwLock};

use crate::model;
use crate::state;

/// Maximum number of records kept for peers that lag behind.
const MAX_RECENT_RECORDS: usize = 4_096;

/// Maximum number of verdicts on this process's own records that are kept for
/// waiting threads.
const MAX_VERDICTS: usize = 1_024;

/// Reason why the log can't be followed any further.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum FollowError {
    /// The record at the offset requires the given format version, which this
    /// program does not support.
    #[error("record {0} needs format version {1}, this program knows {known}", known = state::FORMAT)]
    TooNew(model::Offset, u16),
    /// The log ends before records that were already read, so it is not the same log.
    #[error("the log ends at {end}, but records up to {next} were read before")]
    EndRegressed {
        /// Next offset that the log reports.
        end: model::Offset,
        /// Next offset of the state.
        next: model::Offset,
    },
}

/// Newest state and whether it is usable.
struct Published {
    state: Arc<state::State>,
    /// Why following stopped, if it did.
    halted: Option<FollowError>,
    /// Whether a state was loaded from the log, a snapshot or a peer.
    loaded: bool,
}

/// State folded from the log, shared by all threads of a process.
///
/// Lock order: `seq`, `lease_writes`, `published`, then `recent`, then `verdicts`.
pub struct Journal {
    me: model::Incarnation,
    client: Client,
    published: RwLock<Published>,
    changed: (Mutex<model::Offset>, Condvar),
    recent: Mutex<VecDeque<(model::Offset, Arc<[u8]>)>>,
    verdicts: Mutex<BTreeMap<u64, Decision>>,
    seq: Mutex<u64>,
    lease_writes: Mutex<Given>,
    /// Whether the follower's last read succeeded.
    log_available: AtomicBool,
    end_seen: AtomicU64,
    snapshot: Mutex<(model::Offset, Instant)>,
}

impl Journal {
    /// Returns a journal with an empty state, which is not usable until a state was loaded.
    pub fn new(me: model::Incarnation, client: Client) -> Self {
        let published = Published {
            state: Arc::default(),
            halted: None,
            loaded: false,
        };
        Self {
            me,
            client,
            published: RwLock::new(published),
            changed: (Mutex::new(model::Offset(0)), Condvar::new()),
            recent: Mutex::default(),
            verdicts: Mutex::default(),
            seq: Mutex::new(0),
            lease_writes: Mutex::default(),
            log_available: AtomicBool::new(true),
            end_seen: AtomicU64::new(0),
            snapshot: Mutex::new((model::Offset(0), Instant::now())),
        }
    }

    /// Returns the incarnation under which this process writes.
    pub fn me(&self) -> model::Incarnation {
        self.me
    }

    /// Returns the newest published state.
    pub fn state(&self) -> Arc<state::State> {
        self.published.read().state.clone()
    }

    /// Returns whether a state was loaded from the log, a snapshot or a peer,
    /// and the process has not stopped following the log.
    pub fn is_usable(&self) -> bool {
        let published = self.published.read();
        published.loaded && published.halted.is_none()
    }

    /// Returns why the process stopped following the log, if it did.
    pub fn halted(&self) -> Option<String> {
        self.published
            .read()
            .halted
            .as_ref()
            .map(|error| error.to_string())
    }

    /// Returns whether the follower's last read of the log succeeded. A record
    /// appended while the log is unavailable may take effect much later.
    pub fn answers(&self) -> bool {
        self.log_available.load(Ordering::Relaxed)
    }

    /// Returns the log's client.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Returns the highest next offset that the log or a peer has reported.
    pub fn end_seen(&self) -> model::Offset {
        model::Offset(self.end_seen.load(Ordering::Relaxed))
    }

    /// Returns the offset of the state in the newest snapshot that was read,
    /// and the time in milliseconds since it was read or the process started.
    pub fn snapshot_at(&self) -> (model::Offset, u64) {
        let (at, read) = *self.snapshot.lock();
        (at, read.elapsed().as_millis() as u64)
    }

    fn note_snapshot(&self, at: model::Offset) {
        let mut snapshot = self.snapshot.lock();
        if at > snapshot.0 {
            *snapshot = (at, Instant::now());
        }
    }

    /// Notes that the log has records before offset `end`.
    pub fn note_end(&self, end: model::Offset) {
        self.end_seen.fetch_max(end.0, Ordering::Relaxed);
    }

    /// Waits until the state's next offset is above `seen` or `timeout` has
    /// passed, and returns the newest state.
    pub fn wait_beyond(&self, seen: model::Offset, timeout: Duration) -> Arc<state::State> {
        let end = Instant::now() + timeout;
        let (next, changed) = &self.changed;
        let mut next = next.lock();
        while *next <= seen {
            if changed.wait_until(&mut next, end).timed_out() {
                break;
            }
        }
        drop(next);
        self.state()
    }

    /// Waits until the state includes the records before `next` or `timeout` has
    /// passed, and returns the newest state.
    pub fn wait_for(&self, next: model::Offset, timeout: Duration) -> Arc<state::State> {
        self.wait_beyond(model::Offset(next.0.saturating_sub(1)), timeout)
    }

    /// Returns at most `max` records from `from` on, or `None` if no records are
    /// kept or `from` lies before the first of them.
    pub fn recent(
        &self,
        from: model::Offset,
        max: usize,
    ) -> Option<Vec<(model::Offset, Arc<[u8]>)>> {
        let recent = self.recent.lock();
        let first = recent.front()?.0;
        if from < first {
            return None;
        }
        let skip = (from.0 - first.0) as usize;
        Some(recent.iter().skip(skip).take(max).cloned().collect())
    }

    /// Folds consecutive records into the state and publishes the result.
    ///
    /// Records below the state's next offset are skipped; folding stops at a gap.
    ///
    /// # Errors
    /// Returns why the log can't be followed any further; the process must then
    /// stop accepting work.
    pub fn fold(&self, records: &[Stored]) -> Result<(), FollowError> {
        let mut published = self.published.write();
        if let Some(error) = &published.halted {
            return Err(match error {
                FollowError::TooNew(offset, least) => FollowError::TooNew(*offset, *least),
                FollowError::EndRegressed { end, next } => FollowError::EndRegressed {
                    end: *end,
                    next: *next,
                },
            });
        }
        let mut state = (*published.state).clone();
        let mut result = Ok(());
        for record in records {
            if record.offset < state.next {
                continue;
            }
            if record.offset > state.next {
                break;
            }
            if let Err(error) = self.fold_record(&mut state, record) {
                result = Err(error);
                break;
            }
        }
        published.loaded = true;
        if let Err(FollowError::TooNew(offset, least)) = &result {
            published.halted = Some(FollowError::TooNew(*offset, *least));
        }
        let next = state.next;
        published.state = Arc::new(state);
        drop(published);
        self.publish_offset(next);
        result
    }

    fn fold_record(&self, state: &mut state::State, record: &Stored) -> Result<(), FollowError> {
        let envelope = state::Envelope::decode(&record.data).ok();
        let verdict = match &envelope {
            Some(envelope) => state.apply_envelope(record.offset, envelope),
            None => state.apply(record.offset, &record.data),
        };
        if let state::Verdict::TooNew(least) = verdict {
            return Err(FollowError::TooNew(record.offset, least));
        }
        self.keep_recent(record);
        if let Some(state::Body::SnapshotPart {
            at, part, parts, ..
        }) = envelope.as_ref().map(|envelope| &envelope.body)
            && part + 1 == *parts
        {
            self.note_snapshot(*at);
        }
        if let Some(envelope) = envelope.filter(|envelope| envelope.writer == self.me) {
            self.record_verdict(envelope.seq, record.offset, verdict);
        }
        Ok(())
    }

    /// Adds a record to the recent ones, which are cleared first if it does not
    /// follow them.
    fn keep_recent(&self, record: &Stored) {
        let mut recent = self.recent.lock();
        if recent
            .back()
            .is_some_and(|(last, _)| last.next() != record.offset)
        {
            recent.clear();
        }
        if recent.len() == MAX_RECENT_RECORDS {
            recent.pop_front();
        }
        recent.push_back((record.offset, record.data.clone()));
    }

    fn record_verdict(&self, seq: u64, offset: model::Offset, verdict: state::Verdict) {
        let mut verdicts = self.verdicts.lock();
        if verdicts.len() == MAX_VERDICTS {
            verdicts.pop_first();
        }
        verdicts.entry(seq).or_insert(Decision { offset, verdict });
    }

    /// Replaces the state by one from a snapshot or a peer, if that is newer or no
    /// state was loaded yet.
    ///
    /// Returns whether the state was replaced. A loaded state never goes back to
    /// an earlier offset.
    pub fn adopt(&self, newer: state::State) -> bool {
        let mut published = self.published.write();
        if published.loaded && newer.next <= published.state.next {
            return false;
        }
        let next = newer.next;
        published.loaded = true;
        published.state = Arc::new(newer);
        drop(published);
        self.note_snapshot(next);
        self.publish_offset(next);
        true
    }

    /// Notes the state's next offset and wakes the waiting threads.
    fn publish_offset(&self, next: model::Offset) {
        self.note_end(next);
        *self.changed.0.lock() = next;
        self.changed.1.notify_all();
    }

    /// Stops following the log for the reason `error`.
    fn halt(&self, error: FollowError) {
        log::error!("stopped following the log: {error}");
        self.published.write().halted = Some(error);
    }
}

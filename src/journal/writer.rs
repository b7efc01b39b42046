//! Appends records and waits until the follower has read them back.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::journal::Journal;
use crate::model;
use crate::state;

/// Delay before a failed append is retried.
const RESEND_DELAY: Duration = Duration::from_millis(100);

/// What the log decided about a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Offset of the record.
    pub offset: model::Offset,
    /// Verdict of folding the record into the state.
    pub verdict: state::Verdict,
}

/// Error of a proposal whose outcome was not read back in time.
///
/// The record may still take effect until a later record of this process is
/// decided.
#[derive(Debug, thiserror::Error)]
#[error("the log did not decide on the record within {waited_ms} ms; it may still take effect")]
pub struct ProposeError {
    /// Time since the start of the proposal, in milliseconds.
    pub waited_ms: u128,
}

/// Returns the Unix time in milliseconds, for reports only.
fn wall_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Journal {
    /// Appends `body`, which was derived from the state at `base`, and returns the
    /// decision once the record was read back.
    ///
    /// # Errors
    /// Returns [`ProposeError`] if the decision was not read back within `timeout`.
    pub fn propose(
        &self,
        body: state::Body,
        base: model::Offset,
        timeout: Duration,
    ) -> Result<Decision, ProposeError> {
        let mut decisions = self.propose_all(vec![body], base, timeout);
        decisions.pop().expect("one body has one decision")
    }

    /// Appends several records in order and waits for all decisions.
    ///
    /// One call runs at a time, since records of one writer must reach the log
    /// in order: a lower sequence number that arrives late has no effect. A
    /// failed append is retried with the same envelope before the next one is
    /// sent. Envelopes not sent within `timeout` are dropped, and so are records
    /// that require a lease which this process has released.
    pub fn propose_all(
        &self,
        bodies: Vec<state::Body>,
        base: model::Offset,
        timeout: Duration,
    ) -> Vec<Result<Decision, ProposeError>> {
        let mut seq = self.seq.lock();
        let start = Instant::now();
        let deadline = start + timeout;
        let envelopes: Vec<_> = bodies
            .into_iter()
            .map(|body| {
                *seq += 1;
                let forbidden = self.lease_writes.lock().forbids(&body);
                (!forbidden).then(|| self.envelope(body, base, *seq))
            })
            .collect();
        for envelope in envelopes.iter().flatten() {
            if !self.append(envelope, deadline) {
                break;
            }
        }
        let await_decision = |envelope: &Option<state::Envelope>| {
            let sent = envelope.as_ref();
            let decision = sent.and_then(|envelope| self.await_verdict(envelope.seq, deadline));
            decision.ok_or_else(|| ProposeError {
                waited_ms: start.elapsed().as_millis(),
            })
        };
        envelopes.iter().map(await_decision).collect()
    }

    fn envelope(&self, body: state::Body, base: model::Offset, seq: u64) -> state::Envelope {
        state::Envelope {
            format: state::FORMAT,
            least: state::FORMAT,
            writer: self.me(),
            seq,
            base,
            time: wall_clock(),
            body,
        }
    }

    /// Retries the append until it succeeds or the record was read back, and
    /// returns whether that happened before `deadline`.
    fn append(&self, envelope: &state::Envelope, deadline: Instant) -> bool {
        let record = envelope.encode();
        let decided = self.decided();
        self.lease_writes
            .lock()
            .note(envelope.seq, &envelope.body, decided);
        loop {
            match self.client().append(&record) {
                Ok(_) => return true,
                Err(error) => log::debug!("append of record {} failed: {error}", envelope.seq),
            }
            let pause = deadline.min(Instant::now() + RESEND_DELAY);
            if self.await_verdict(envelope.seq, pause).is_some() {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
        }
    }

    fn await_verdict(&self, seq: u64, deadline: Instant) -> Option<Decision> {
        loop {
            let seen = self.state().next;
            if let Some(decision) = self.verdicts.lock().get(&seq) {
                return Some(decision.clone());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            self.wait_beyond(seen, left);
        }
    }
}

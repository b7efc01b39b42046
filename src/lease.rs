//! Leases by which exactly one daemon at a time acts for a target; pure decisions.
//!
//! To act for a target is to send it requests, to renew its grants and to move
//! shards away from it. The holder of a lease may act while the lease is
//! valid, and its backup takes over when the holder fails.
//!
//! A [`Table`] decides for one daemon and all targets; `docs/design.md`,
//! section 2.4, gives the rules. It takes the time as argument and does no
//! I/O: the caller sends datagrams, reads the log and appends records.
//!
//! Two rules go beyond the page and keep leases exclusive. A holder that
//! appends a lease record stops counting acknowledgements first: the reply to
//! the append can be lost, and the backup that the record names may take over
//! while the old backup still acknowledges. A daemon transfers a lease only
//! after its own wait for the previous holder, because its successor does not
//! wait again.
//!
//! The span of a lease is the longest remaining time, until its deadline, with
//! which the holder sends a request. The lease record gives the first span,
//! and the holder announces later ones in heartbeats; a longer one applies
//! once the backup has acknowledged it. A daemon that takes over derives from
//! it when the last request of its predecessors has ended, even if the target
//! is unreachable. Spans are durations, counted from the arrival of the message
//! or record, so that a delay can only make the wait longer.

mod backup;
mod handover;
mod holder;
mod message;
mod resign;
mod span;
mod table;

pub use handover::{Handed, Refused, STEP_GAP, Surrendered};
pub use message::{Ack, Heartbeat};
pub use table::{Denied, Effect, Proposal, Right, Table};

/// Time for which an acknowledged heartbeat or a log read keeps a lease valid,
/// in milliseconds, counted from when it was sent or started.
pub const VALIDITY_MS: u64 = 300;

/// Period of a holder's heartbeats to a backup, in milliseconds. The backup
/// takes over only after three consecutive losses.
pub const HEARTBEAT_PERIOD_MS: u64 = 75;

/// Time without a heartbeat after which a backup takes over, in milliseconds.
pub const HOLDER_TIMEOUT_MS: u64 = 250;

/// Time without an acknowledgement after which log reads renew a lease, in milliseconds.
pub const LOG_FALLBACK_MS: u64 = 150;

/// Time by which a grant may outlast the validity of the lease under which it
/// was given, in milliseconds.
pub const GRANT_MARGIN_MS: u64 = 150;

/// Allowance for rounding errors of clocks and timers, in milliseconds.
pub const CLOCK_TOLERANCE_MS: u64 = 10;

/// Time after a lease record during which a target may still start a request of
/// an earlier holder, in milliseconds. By then that holder's last grant has ended.
pub const STALE_START_MS: u64 = VALIDITY_MS + GRANT_MARGIN_MS + 2 * CLOCK_TOLERANCE_MS;

/// Span that is assumed for a lease before any request was seen, in milliseconds.
pub const INITIAL_SPAN_MS: u64 = 1_000;

/// Unit to which a holder rounds the span that it announces up, in
/// milliseconds. Rounding up avoids a round trip to the backup for each request
/// whose deadline is slightly longer than the last one's.
pub const SPAN_UNIT: u64 = 100;

/// Period at which a holder renews a target's grants, in milliseconds.
pub const GRANT_RENEWAL_PERIOD_MS: u64 = 200;

/// Time without an acknowledgement after which a holder asks for a new backup, in milliseconds.
pub const BACKUP_TIMEOUT_MS: u64 = 500;

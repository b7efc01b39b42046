//! Messages between the holder and the backup of a lease.

use crate::model;

/// Heartbeat of a holder to one backup, for all leases that the backup backs up for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The holder.
    pub from: model::Incarnation,
    /// The backup.
    pub to: model::Incarnation,
    /// Sequence number of the heartbeat, counted from 1 over all backups of the holder.
    pub sequence: u64,
    /// Next offset of the holder's state.
    pub seen: model::Offset,
    /// Offsets of the lease records, ascending.
    pub leases: Vec<model::Offset>,
    /// Span of each lease in `leases`: the longest remaining time with which
    /// the holder sends requests from now on, in milliseconds.
    pub spans: Vec<u64>,
}

/// Acknowledgement of a heartbeat by the backup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ack {
    /// The backup.
    pub from: model::Incarnation,
    /// The holder.
    pub to: model::Incarnation,
    /// Sequence number of the heartbeat.
    pub sequence: u64,
    /// Next offset of the backup's state.
    pub seen: model::Offset,
    /// Offsets of the acknowledged leases, ascending: those of the heartbeat
    /// that the backup knows as current and has not begun to take over.
    pub leases: Vec<model::Offset>,
}

//! Messages that pass a lease from its holder to the backup without a log record.

use serde::{Deserialize, Serialize};

use crate::lease;
use crate::model;

/// Body of `POST /peer/lease`: the sender has released the lease permanently,
/// and the receiver, its backup, may act for the target. May be sent repeatedly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Surrender {
    /// Daemon that held the lease.
    pub from: model::Incarnation,
    /// Backup that receives the lease.
    pub to: model::Incarnation,
    /// The target.
    pub target: model::TargetName,
    /// Offset of the lease record.
    pub lease: model::Offset,
    /// Next offset of the sender's state; the receiver must have read up to it.
    pub seen: model::Offset,
    /// Last fencing token that the sender used at the target.
    pub fence: model::Fence,
}

impl From<Surrender> for lease::Handed {
    fn from(message: Surrender) -> Self {
        Self {
            target: message.target,
            from: message.from,
            lease: message.lease,
            seen: message.seen,
            fence: message.fence,
        }
    }
}

/// Body of `POST /peer/backup`: the sender has permanently resigned as backup of
/// the receiver's lease. May be sent repeatedly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resignation {
    /// Daemon that was the backup.
    pub from: model::Incarnation,
    /// Daemon that holds the lease.
    pub to: model::Incarnation,
    /// The target.
    pub target: model::TargetName,
    /// Offset of the lease record.
    pub lease: model::Offset,
}

/// Body of the reply to `POST /peer/lease` and `POST /peer/backup`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurrenderReply {
    /// Daemon that replies.
    pub from: model::Incarnation,
    /// Whether it acts for the target from now on without renewing the lease.
    pub accepted: bool,
    /// Whether to send the message again, because the receiver's state is behind.
    #[serde(default)]
    pub again: bool,
    /// Human-readable reason for a refusal.
    #[serde(default)]
    pub why: String,
}

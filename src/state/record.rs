//! Log records and the verdicts on them.

use serde::{Deserialize, Serialize};

use crate::model;
use crate::state::config;

/// Version of the record format that this build writes.
pub const FORMAT: u16 = 1;

/// Span of a lease whose writer does not know the requests of earlier holders,
/// in milliseconds: the default of the longest timeout, plus
/// [`crate::lease::STALE_START_MS`].
pub const UNKNOWN_SPAN_MS: u64 = config::DEFAULT_MAX_TIMEOUT_MS + crate::lease::STALE_START_MS;

pub(super) fn unknown_span() -> u64 {
    UNKNOWN_SPAN_MS
}

/// A log record, encoded by rmp-serde with named fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Format version of the writer.
    pub format: u16,
    /// Oldest format version whose readers can apply the record.
    pub least: u16,
    /// Incarnation of the process that wrote the record.
    pub writer: model::Incarnation,
    /// Sequence number of the record at its writer, from 1.
    pub seq: u64,
    /// The state's next offset when the writer decided on the record.
    pub base: model::Offset,
    /// Wall-clock time at the writer, in milliseconds since the Unix epoch; for
    /// reports only.
    pub time: u64,
    /// Content of the record.
    pub body: Body,
}

/// Error for bytes that are not an envelope of a known format.
#[derive(Debug, thiserror::Error)]
#[error("the record can't be decoded: {0}")]
pub struct DecodeError(#[from] rmp_serde::decode::Error);

impl Envelope {
    /// Encodes the envelope for the log.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).expect("an envelope has only encodable types")
    }

    /// Decodes a log record.
    ///
    /// # Errors
    /// Fails if the bytes are damaged or this build does not know the content.
    pub fn decode(record: &[u8]) -> Result<Self, DecodeError> {
        Ok(rmp_serde::from_slice(record)?)
    }
}

/// The fields of an envelope that every format version keeps.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) struct Header {
    pub least: u16,
    pub writer: model::Incarnation,
    pub seq: u64,
    pub base: model::Offset,
}

impl Header {
    /// Decodes the header of a record whose content may be unknown.
    pub(super) fn decode(record: &[u8]) -> Result<Self, DecodeError> {
        Ok(rmp_serde::from_slice(record)?)
    }
}

impl From<&Envelope> for Header {
    fn from(envelope: &Envelope) -> Self {
        Self {
            least: envelope.least,
            writer: envelope.writer,
            seq: envelope.seq,
            base: envelope.base,
        }
    }
}

/// Why a daemon is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It shut down cleanly, after handing over its leases.
    Left,
    /// An operator declared it lost.
    Lost,
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// Announces that the writer, a daemon, is up.
    HostUp {
        /// Host on which it runs.
        host: model::HostName,
        /// Failure domain of the host.
        domain: model::DomainName,
        /// Address for other daemons, TCP and UDP.
        peer: std::net::SocketAddr,
        /// Address for callers, returned to those that called the wrong region.
        caller: std::net::SocketAddr,
    },
    /// Announces that the writer, a daemon, has shut down cleanly.
    HostDown,
    /// Grants the lease on a target to a holder, by compare-and-set on the prior lease.
    Lease {
        /// The target.
        target: model::TargetName,
        /// Offset of the lease that this one replaces.
        prior: Option<model::Offset>,
        /// Daemon that may act for the target.
        holder: model::Incarnation,
        /// Daemon that may take over.
        backup: Option<model::Incarnation>,
        /// Time after which all requests sent under earlier leases have ended,
        /// counted from this record, in milliseconds. The holder's requests may
        /// last this long less [`crate::lease::STALE_START_MS`], until it announces more.
        #[serde(default = "unknown_span")]
        span: u64,
    },
    /// Assigns shards without an owner to a target.
    Assign {
        /// Placement group.
        group: model::GroupId,
        /// Shards.
        shards: model::ShardSet,
        /// New owner.
        target: model::TargetName,
    },
    /// Moves shards; appended after the source has stopped serving them.
    Move {
        /// Placement group.
        group: model::GroupId,
        /// Shards.
        shards: model::ShardSet,
        /// Source, whose lease the writer holds.
        from: model::TargetName,
        /// Offset of the writer's lease on the source.
        lease: model::Offset,
        /// New owner.
        to: model::TargetName,
    },
    /// Gives a hot key its own shard, owned by the key's current owner.
    Pin {
        /// Placement group.
        group: model::GroupId,
        /// Hash of the key.
        key: model::KeyHash,
        /// Offset of the writer's lease on the owner.
        lease: model::Offset,
    },
    /// Returns a pinned key to its hash shard; both must have the same owner.
    Unpin {
        /// Placement group.
        group: model::GroupId,
        /// Hash of the key.
        key: model::KeyHash,
        /// Offset of the writer's lease on the owner.
        lease: model::Offset,
    },
    /// An operator's confirmed plan.
    Change {
        /// Random number of the plan.
        plan: u64,
        /// Operator who confirmed it.
        operator: model::OperatorName,
        /// The operator's stated reason.
        reason: String,
        /// Changes, applied together or not at all.
        changes: Vec<config::Change>,
    },
    /// One part of a snapshot of the state.
    SnapshotPart {
        /// Next offset of the state in the snapshot.
        at: model::Offset,
        /// Index of this part, from 0.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// SHA-256 of the whole encoded snapshot.
        digest: [u8; 32],
        /// Bytes of this part.
        #[serde(with = "binary")]
        data: Vec<u8>,
    },
}

impl Body {
    /// Returns the offset of the lease record that must be the current one for
    /// this record to take effect, if it depends on a lease.
    pub fn under(&self) -> Option<model::Offset> {
        match self {
            Self::Lease { prior, .. } => *prior,
            Self::Move { lease, .. } | Self::Pin { lease, .. } | Self::Unpin { lease, .. } => {
                Some(*lease)
            }
            _ => None,
        }
    }
}

/// Why a record did not take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// An object that the record affects was changed at or after the record's base.
    #[error("{object} was changed by record {at}, after the plan was made")]
    Conflict {
        /// Label of the object.
        object: String,
        /// Record that changed it.
        at: model::Offset,
    },
    /// The lease that the record names is not the current one.
    #[error("the lease on {target} is now the one of record {current:?}")]
    LeaseChanged {
        /// The target.
        target: model::TargetName,
        /// Offset of the current lease.
        current: Option<model::Offset>,
    },
    /// The writer may not write this record.
    #[error("writer {writer} may not write this record: {why}")]
    NotAllowed {
        /// The writer.
        writer: model::Incarnation,
        /// Which condition it does not meet.
        why: String,
    },
    /// A shard is not owned as the record assumes.
    #[error("shard {shard} of {group} is owned by {owner:?}")]
    Owner {
        /// Placement group.
        group: String,
        /// First such shard.
        shard: String,
        /// Its current owner.
        owner: Option<model::TargetName>,
    },
    /// The record, or an object that it names, is invalid.
    #[error("{object}: {why}")]
    Invalid {
        /// Label of the object.
        object: String,
        /// Why it is invalid.
        why: String,
    },
}

/// Result of applying one record to the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The record took effect.
    Accepted,
    /// The record was applied before and has no further effect.
    Duplicate,
    /// The record has no effect.
    Rejected(Rejection),
    /// The record needs a reader of at least this format version.
    TooNew(u16),
}

/// Serializes bytes as one binary value.
///
/// Deserialization also accepts a list of numbers, as records of older builds
/// have it; a list takes half as much space again and much longer to decode.
mod binary {
    use std::fmt;

    use serde::de::{self, Deserializer, SeqAccess};
    use serde::ser::Serializer;

    pub fn serialize<S: Serializer>(data: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(data)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        deserializer.deserialize_byte_buf(Visitor)
    }

    struct Visitor;

    impl<'de> de::Visitor<'de> for Visitor {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("a binary value")
        }

        fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
            Ok(bytes.to_vec())
        }

        fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
            Ok(bytes)
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Vec<u8>, A::Error> {
            let mut bytes = Vec::new();
            while let Some(byte) = list.next_element()? {
                bytes.push(byte);
            }
            Ok(bytes)
        }
    }
}

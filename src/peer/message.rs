//! Bodies of the HTTP messages between daemons.

use std::fmt;

use serde::de::{self, DeserializeOwned};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::model;
use crate::peer;

/// Body of `POST /peer/handover`: a daemon that shuts down tells the new
/// holder which lease records name it, so that it reads them without delay.
/// Only the records entitle the new holder to act.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Daemon that hands the leases over.
    pub from: model::Incarnation,
    /// Daemon that receives them.
    pub to: model::Incarnation,
    /// Next offset of the sender's state; the receiver must have read up to it.
    #[serde(default)]
    pub next: model::Offset,
    /// Leases handed over.
    #[serde(default)]
    pub leases: Vec<Handed>,
}

/// A lease that is handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handed {
    /// The target.
    pub target: model::TargetName,
    /// Offset of the record that names the new holder.
    pub offset: model::Offset,
}

/// Body of the reply to `GET /peer/state`: a state for routing only, never
/// for holding a lease or writing records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateReply {
    /// Daemon that replies.
    pub from: model::Incarnation,
    /// Next offset of the state.
    pub next: model::Offset,
    /// Lowest format version that a reader of the snapshot must support.
    #[serde(default)]
    pub least: u16,
    /// Encoded snapshot of the state.
    pub snapshot: Blob,
}

/// Body of the reply to `GET /peer/records?from=`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsReply {
    /// Daemon that replies.
    pub from: model::Incarnation,
    /// First offset whose record the daemon still keeps.
    #[serde(default)]
    pub first: model::Offset,
    /// Next offset of the daemon's state.
    pub next: model::Offset,
    /// Records from the requested offset on, without gaps.
    #[serde(default)]
    pub records: Vec<Record>,
}

impl RecordsReply {
    /// Returns the records if their offsets are consecutive and start at `from`.
    ///
    /// # Errors
    /// Returns [`peer::Error::Invalid`] if one is missing, out of order or
    /// beyond the daemon's state.
    pub fn records_from(&self, from: model::Offset) -> Result<&[Record], peer::Error> {
        let mut expected = from;
        for record in &self.records {
            if record.offset != expected {
                return Err(peer::Error::Invalid("record offsets are not consecutive"));
            }
            expected = expected.next();
        }
        if !self.records.is_empty() && expected > self.next {
            return Err(peer::Error::Invalid("a record is beyond the state's end"));
        }
        Ok(&self.records)
    }
}

/// Body of the reply to `GET /peer/offset`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OffsetReply {
    /// Daemon that replies.
    pub from: model::Incarnation,
    /// Next offset of its state, which includes every record before it.
    pub next: model::Offset,
}

/// A log record as one daemon passes it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Offset in the log.
    pub offset: model::Offset,
    /// The record's bytes, as in the log.
    pub data: Blob,
}

/// Bytes that are encoded as one binary value instead of a list of numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blob(pub Vec<u8>);

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(BlobVisitor)
    }
}

struct BlobVisitor;

impl de::Visitor<'_> for BlobVisitor {
    type Value = Blob;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a binary value")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Blob, E> {
        Ok(Blob(bytes.to_vec()))
    }

    fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Blob, E> {
        Ok(Blob(bytes))
    }
}

/// Encodes a message with rmp-serde and named fields.
///
/// # Errors
/// Returns [`peer::Error::Encode`] if it can't be encoded.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, peer::Error> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// Decodes a message, ignoring unknown fields.
///
/// # Errors
/// Returns [`peer::Error::Malformed`] if the bytes are not such a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, peer::Error> {
    Ok(rmp_serde::from_slice(bytes)?)
}

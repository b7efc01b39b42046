//! Wire format of heartbeats and acknowledgements.
//!
//! Field names are short and offsets are delta-encoded, because the control
//! traffic of a daemon is limited to 3 KB/s.

use serde::{Deserialize, Serialize};

use crate::lease;
use crate::model;
use crate::peer;

/// A datagram between two daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Datagram {
    /// Heartbeat from a lease holder to a backup.
    Heartbeat(lease::Heartbeat),
    /// Acknowledgement from a backup to a lease holder.
    Ack(lease::Ack),
}

impl Datagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    /// Returns [`peer::Error::Encode`] if it can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, peer::Error> {
        peer::encode(&Wire::from(self))
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// Returns [`peer::Error::Malformed`] or [`peer::Error::Invalid`] if the
    /// bytes are not a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, peer::Error> {
        peer::decode::<Wire>(bytes)?.try_into()
    }
}

#[derive(Serialize, Deserialize)]
enum Wire {
    #[serde(rename = "hb")]
    Heartbeat(Message),
    #[serde(rename = "ack")]
    Ack(Message),
}

#[derive(Serialize, Deserialize)]
struct Message {
    from: u64,
    to: u64,
    seq: u64,
    #[serde(default)]
    offset: u64,
    /// Delta-encoded offsets: the first one, then each one's difference to the
    /// previous one.
    #[serde(default)]
    leases: Vec<u64>,
    /// Spans of a heartbeat's leases, in units of [`lease::SPAN_UNIT`]; the last
    /// one also applies to all further leases. An older holder, which does not
    /// support spans, sends none.
    #[serde(default, rename = "span", skip_serializing_if = "Vec::is_empty")]
    spans: Vec<u64>,
}

impl From<&Datagram> for Wire {
    fn from(datagram: &Datagram) -> Self {
        match datagram {
            Datagram::Heartbeat(heartbeat) => Self::Heartbeat(Message {
                from: heartbeat.from.0,
                to: heartbeat.to.0,
                seq: heartbeat.sequence,
                offset: heartbeat.seen.0,
                leases: delta_encode(&heartbeat.leases),
                spans: encode_spans(&heartbeat.spans),
            }),
            Datagram::Ack(ack) => Self::Ack(Message {
                from: ack.from.0,
                to: ack.to.0,
                seq: ack.sequence,
                offset: ack.seen.0,
                leases: delta_encode(&ack.leases),
                spans: Vec::new(),
            }),
        }
    }
}

impl TryFrom<Wire> for Datagram {
    type Error = peer::Error;

    fn try_from(wire: Wire) -> Result<Self, peer::Error> {
        Ok(match wire {
            Wire::Heartbeat(message) => Self::Heartbeat(lease::Heartbeat {
                from: model::Incarnation(message.from),
                to: model::Incarnation(message.to),
                sequence: message.seq,
                seen: model::Offset(message.offset),
                leases: delta_decode(&message.leases)?,
                spans: decode_spans(&message.spans, message.leases.len()),
            }),
            Wire::Ack(message) => Self::Ack(lease::Ack {
                from: model::Incarnation(message.from),
                to: model::Incarnation(message.to),
                sequence: message.seq,
                seen: model::Offset(message.offset),
                leases: delta_decode(&message.leases)?,
            }),
        })
    }
}

/// Converts spans to units, rounded up, and drops repeated values at the end.
fn encode_spans(spans: &[u64]) -> Vec<u64> {
    let spans = spans.iter();
    let mut units: Vec<_> = spans.map(|span| span.div_ceil(lease::SPAN_UNIT)).collect();
    while units.len() > 1 && units[units.len() - 2] == units[units.len() - 1] {
        units.pop();
    }
    units
}

/// Converts units to spans and repeats the last one up to the number of `leases`.
fn decode_spans(units: &[u64], leases: usize) -> Vec<u64> {
    let Some(&last) = units.last() else {
        return Vec::new();
    };
    let units = units.iter().chain(std::iter::repeat(&last)).take(leases);
    let spans = units.map(|unit| unit.saturating_mul(lease::SPAN_UNIT));
    spans.collect()
}

fn delta_encode(offsets: &[model::Offset]) -> Vec<u64> {
    let mut last = 0;
    let deltas = offsets.iter().map(|offset| {
        let delta = offset.0.wrapping_sub(last);
        last = offset.0;
        delta
    });
    deltas.collect()
}

fn delta_decode(deltas: &[u64]) -> Result<Vec<model::Offset>, peer::Error> {
    let mut last = 0_u64;
    let offsets = deltas.iter().map(|&delta| {
        last = last.checked_add(delta)?;
        Some(model::Offset(last))
    });
    let offsets: Option<Vec<_>> = offsets.collect();
    offsets.ok_or(peer::Error::Invalid(
        "the offset of a lease exceeds 64 bits",
    ))
}

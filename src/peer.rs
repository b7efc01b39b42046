//! Messages between daemons.
//!
//! [`Datagrams`] carries heartbeats and their acknowledgements over UDP. The
//! HTTP messages are [`Handover`], [`Surrender`], [`Resignation`],
//! [`StateReply`], [`RecordsReply`] and [`OffsetReply`]. All are encoded with
//! rmp-serde and named fields; a reader ignores unknown fields and uses the
//! default for fields that an older writer omits. [`call`] makes the calls, and
//! [`fleet`] queries all daemons.

pub mod call;
mod datagram;
pub mod fleet;
mod handover;
mod message;
mod socket;

pub use datagram::Datagram;
pub use handover::{Resignation, Surrender, SurrenderReply};
pub use message::{
    Blob, Handed, Handover, OffsetReply, Record, RecordsReply, StateReply, decode, encode,
};
pub use socket::{Counts, Datagrams};

/// Error of the communication between daemons.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The socket could not be opened.
    #[error("can't open UDP address {address}")]
    Open {
        /// Address to listen on.
        address: std::net::SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The bytes are not a message of the expected kind.
    #[error("malformed message: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// The message can't be encoded.
    #[error("can't encode the message: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// A message's fields contradict each other.
    #[error("invalid message: {0}")]
    Invalid(&'static str),
}

//! Stand-ins for the systems that the router meets: the log service, the host
//! list and the targets.
//!
//! They implement the published protocols and inject faults on request. They
//! listen on 127.0.0.1 only. A server runs until it is stopped or dropped.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

pub mod hosts;
pub mod http;
pub mod log;
pub mod target;

/// The reasons why a stand-in can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address isn't 127.0.0.1.
    #[error("{0} is not allowed: stand-ins listen on 127.0.0.1 only")]
    NotLoopback(SocketAddr),
    /// The address can't be bound.
    #[error("can't listen on {addr}: {source}")]
    Listen {
        /// The address asked for.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Returns a port of 127.0.0.1 that was free at the time of the call.
///
/// Another process can take it before the caller binds it; port 0 in a
/// `start` function avoids that.
///
/// # Errors
/// The operating system has no free port.
pub fn free_port() -> io::Result<u16> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    Ok(listener.local_addr()?.port())
}

/// Refuses every address but 127.0.0.1.
///
/// # Errors
/// [`Error::NotLoopback`] for any other address.
pub fn check_loopback(addr: SocketAddr) -> Result<(), Error> {
    if addr.ip() == IpAddr::V4(Ipv4Addr::LOCALHOST) {
        return Ok(());
    }
    Err(Error::NotLoopback(addr))
}

//! Sends a request exactly one time to a target or a lease holder and classifies the outcome.
//!
//! A [`Client`] keeps one `ureq` agent, and so one connection pool, per
//! address. This module implements the transport below `ureq`: it calls the
//! caller's guard directly before each write, counts the bytes that the kernel
//! accepted for the request, and never reuses a connection after an error, a
//! timeout or an unread byte. Requests are never retried here. An [`Abort`]
//! ends the attempt from another thread by shutting its connection down.
//!
//! How many bytes of the request may have been sent for each `ureq` error:
//!
//! | error | bytes of the request |
//! |---|---|
//! | `Http`, `BadUri`, `HostNotFound`, `RequireHttpsOnly`, `TlsRequired`, `Tls`, `InvalidProxyUrl`, `ConnectProxyFailed`, `ConnectionFailed` | none: raised before the first write |
//! | `Io` or `Timeout(Connect)` while connecting | none |
//! | `Io`, `Timeout(_)`, `Other` after connecting | by the byte counter: 0 until the first write |
//! | `Protocol` | by the byte counter: raised for the request before, for the response after the write |
//! | `BodyExceedsLimit` | by the byte counter: the head may have been sent |
//! | `LargeResponseHeader` | all: raised while reading the response |
//! | `StatusCode`, `RedirectFailed`, `TooManyRedirects` | all; disabled here |
//!
//! The outcome therefore depends only on the byte counter, never on the error
//! variant, so that variants added by later versions of `ureq` are handled too.

mod abort;
mod client;
mod failure;
mod headers;
mod inbound;
mod outbound;
mod transport;

pub use abort::Abort;
pub use client::{Client, Options};
pub use failure::{Cause, Failure, Outcome};
pub use headers::{copy_end_to_end, is_hop_by_hop};
pub use inbound::{Inbound, Reply};
pub use outbound::{Content, Outbound};

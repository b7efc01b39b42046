//! The lease holder's work for a target: admission, grants, control calls and moves of shards.
//!
//! [`admission`], [`grace`], [`grants`], [`order`] and [`transfer`] decide, without
//! reading a clock and without I/O; only the wrapper [`admission::Admission`] reads the
//! clock. [`control`] is the HTTP client, [`wire`] holds its messages, and [`cancel`]
//! cancels requests in the background.
//! `docs/design.md`, sections 2.4, 2.8 and 3.1, gives the rules.

pub mod admission;
pub mod cancel;
pub mod control;
pub mod grace;
pub mod grants;
pub mod order;
pub mod transfer;
pub mod wire;

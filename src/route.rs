//! Request routing: service, placement group, key and target of a request.
//!
//! [`Table`] resolves a request, [`choice`] picks a target of a shared
//! service, [`budget`] limits retries and hedges, and [`hedge`] computes the
//! delay of a hedge. `docs/design.md`, sections 2.6 and 2.7, gives the rules.

pub mod budget;
pub mod choice;
pub mod hedge;
mod path;
mod resolve;

pub use resolve::{Refused, Resolved, Table, is_idempotent, tenant_hash};

//! Log records, the state folded from them, and the verdict on each record.
//!
//! Everything here is free of side effects. Every daemon computes the same [`State`] from the
//! same records; `docs/design.md`, section 2.3, gives the rules.

mod change;
mod check;
mod config;
mod fold;
mod lookup;
mod ownership;
pub mod plan;
mod record;
pub mod snapshot;
mod table;

pub use config::{Change, Config, Domain, Kind, Route, Service, Standing, Target, Tenant};
pub use fold::MAX_BASE_LAG;
pub use ownership::MAX_PINNED_KEYS;
pub use record::{
    Body, DecodeError, Envelope, FORMAT, Reason, Rejection, UNKNOWN_SPAN_MS, Verdict,
};
pub use table::{Group, Host, Lease, Ownership, State};

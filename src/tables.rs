//! In-memory tables that the threads of a daemon share.
//!
//! [`Shared`] contains them all. `daemon` runs the threads that use them,
//! `admin` displays them, and `burn` reports on the counts; this module imports
//! none of the three.
//!
//! # Writers
//!
//! Each table is changed by one part of the daemon and read by the others:
//!
//! | table | changed by |
//! |---|---|
//! | `journal` | the follower of the log and the writers of records |
//! | `leases` | the threads for heartbeats, takeovers, new backups and handovers |
//! | `keepers` | the code that gains or ends a lease, under the lock of `leases` |
//! | a [`keeper::Keeper`] | the workers of its target; requests report failures to it |
//! | `grace`, `joins` | the thread that follows the state |
//! | `choice`, `loads`, `delays`, `budget` | attempts at callers' requests |
//! | `detours` | attempts at callers' requests, and direct lease handovers |
//! | `hedges`, `seats`, `running`, `recent`, `burn` | requests, when they start and end |
//! | `cancels` | requests and shard moves add to it, one thread empties it |
//!
//! # Lifetimes
//!
//! - Request: an entry in [`running`], a seat while it waits for a newer state,
//!   a scheduled hedge, and its admission at a keeper. Each ends when its guard
//!   is dropped.
//! - Connection: the pools of `forward` and `control`. A keeper resets the whole
//!   pool of a target, not single connections.
//! - Version: a [`View`], from one published state to the next. Routes and
//!   candidates are reused while the configuration and the hosts don't change.
//! - Lease: a [`keeper::Keeper`], for as long as this daemon holds the leases
//!   on a target without interruption.
//! - Process: everything else in [`Shared`]. None of it is persisted.
//!
//! # Lock order
//!
//! `view` and its candidates, `leases`, `keepers`, then the locks of one keeper
//! and its admission. Each lock of another table is held alone, for one
//! operation. No lock is held across I/O.

pub mod count;
pub mod detour;
pub mod hedges;
pub mod keeper;
pub mod load;
pub mod requests;
pub mod running;
pub mod seats;
mod shared;
pub mod timer;
mod view;

pub use shared::Shared;
pub use view::View;

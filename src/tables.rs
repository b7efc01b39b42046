//! Tables that the threads of a daemon share.
//!
//! [`Shared`] holds them all. `daemon` runs the threads that work on them,
//! `admin` shows them, and `burn` reports on the counts; this module imports
//! none of the three.
//!
//! # Owners
//!
//! Each table is changed by one part of the daemon and read by the others:
//!
//! | table | changed by |
//! |---|---|
//! | `journal` | the follower and the writers of records |
//! | `leases` | the threads for heartbeats, takeovers, new backups and hand-overs |
//! | `keepers` | whoever gains or ends a lease, under the lock of `leases` |
//! | a [`keeper::Keeper`] | the workers of its target; requests report failures to it |
//! | `grace`, `joins` | the thread that follows the state |
//! | `choice`, `loads`, `delays`, `budget` | attempts at callers' requests |
//! | `detours` | attempts at callers' requests, and leases handed over directly |
//! | `hedges`, `seats`, `running`, `recent`, `burn` | requests, on their way in and out |
//! | `cancels` | requests and moves add to it, one thread empties it |
//!
//! # Life span
//!
//! - Request: an entry in [`running`], a seat while it waits, an armed hedge,
//!   its admission at a keeper. Each ends when its guard is dropped.
//! - Connection: the pools of `forward` and `control`. A keeper has the pool
//!   of a target reset, not the connections one by one.
//! - Version: a [`View`], from one published state to the next. Routes and
//!   candidates are taken over while the configuration and the hosts stay.
//! - Lease: a [`keeper::Keeper`], for as long as this daemon holds the leases
//!   on a target without interruption.
//! - Process: all else in [`Shared`]. Nothing of it is stored.
//!
//! # Lock order
//!
//! `view` and its candidates, `leases`, `keepers`, then the locks of one keeper
//! and its admission. The locks of the other tables are held by themselves, for
//! one operation. No lock is held across I/O.

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

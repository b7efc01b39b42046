//! The gateway: serves callers in front of targets that check ownership themselves.
//!
//! Requests are sent directly to targets. Keys are owned by targets through
//! grants with fencing tokens; one daemon, the steward, gives them. Everything
//! that must last stands in the platform's log. `docs/platform.md` gives the
//! decisions, their bounds, and what happens when each part fails.

pub mod catalog;
pub mod dialect;
pub mod keys;
pub mod quota;
pub mod registry;
pub mod steward;

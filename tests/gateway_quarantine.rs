//! Requests that crash targets: evidence, verdicts and their end on one daemon, and several
//! daemons against a model of targets, callers and network.
//!
//! `PISTACHIOMOOR_FUZZ_CASES` and `PISTACHIOMOOR_FUZZ_SEED` set the number of cases and the
//! seed of the model.

#[path = "gateway_quarantine/bounds.rs"]
mod bounds;
#[path = "gateway_quarantine/daemons.rs"]
mod daemons;
#[path = "gateway_quarantine/digests.rs"]
mod digests;
#[path = "gateway_quarantine/evidence.rs"]
mod evidence;
#[path = "gateway_quarantine/history.rs"]
mod history;
#[path = "gateway_quarantine/oracle.rs"]
mod oracle;
#[path = "gateway_quarantine/rig.rs"]
mod rig;
#[path = "gateway_quarantine/verdicts.rs"]
mod verdicts;
#[path = "gateway_quarantine/world.rs"]
mod world;

//! The steward against a model of the log and of targets that check fences and leases.

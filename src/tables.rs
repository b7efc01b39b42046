//! Tables that the threads of a daemon share.

pub mod detour;
pub mod keeper;
pub mod load;
pub mod requests;
pub mod running;
pub mod seats;
pub mod timer;

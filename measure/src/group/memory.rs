//! Memory of a daemon and cost of its decisions against the size of the state.

mod cost;
mod resident;

use crate::fleet;

/// Measures and prints.
///
/// # Errors
/// A process does not start.
pub fn run() -> Result<(), fleet::Error> {
    cost::run();
    resident::run()
}

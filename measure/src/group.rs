//! Groups of measures, each of which can be run alone.

mod choice;
mod domain;
mod forward;
mod link;
mod loss;
mod memory;
mod overload;
mod whole;
mod zipf;

use crate::fleet;

/// A group of measures.
#[derive(Clone, Copy, Debug)]
pub enum Group {
    /// A daemon against a bare forwarder.
    Forward,
    /// Memory and costs.
    Memory,
    /// Stragglers.
    Choice,
    /// Overload and fairness.
    Overload,
    /// Losses.
    Loss,
    /// Moves of a failure domain and of a target.
    Domain,
    /// Imbalance.
    Zipf,
    /// Bytes between regions.
    Link,
    /// Large answers and uploads that end whole.
    Whole,
}

impl Group {
    /// The groups that `all` runs, in their order; `Whole` takes minutes and runs alone.
    pub const ALL: [Self; 8] = [
        Self::Forward,
        Self::Memory,
        Self::Choice,
        Self::Overload,
        Self::Loss,
        Self::Domain,
        Self::Zipf,
        Self::Link,
    ];

    /// Runs the group and prints its measures.
    ///
    /// # Errors
    /// A process or a configuration of the group did not start.
    pub fn run(self) -> Result<(), fleet::Error> {
        match self {
            Self::Forward => forward::run(),
            Self::Memory => memory::run(),
            Self::Choice => choice::run(),
            Self::Overload => overload::run(),
            Self::Loss => loss::run(),
            Self::Domain => domain::run(),
            Self::Zipf => zipf::run(),
            Self::Link => link::run(),
            Self::Whole => whole::run(),
        }
    }
}

//! Measures pistachiomoor against its baselines on one machine.
//!
//! Each group starts the real daemon and the stand-ins as processes on
//! loopback, loads them and prints one JSON line a measure on standard output;
//! progress goes to standard error. `docs/design.md`, section 1.4, names the
//! objectives.

mod caller;
mod fleet;
mod forwarder;
mod group;
mod load;
mod process;
mod relay;
mod report;
mod slice;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Instant;

use bpaf::Bpaf;

use crate::group::Group;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
/// Measures pistachiomoor; prints one JSON line a measure
enum Command {
    /// Runs all groups but `whole`, one after the other
    #[bpaf(command)]
    All,
    /// Requests/s, processor time and latency of a daemon and of a bare forwarder
    #[bpaf(command)]
    Forward,
    /// Memory and costs against the size of the state
    #[bpaf(command)]
    Memory,
    /// Latency while 2 of 20 targets are stragglers, by policy
    #[bpaf(command)]
    Choice,
    /// Goodput under overload, and fairness between tenants
    #[bpaf(command)]
    Overload,
    /// Unavailable time per key after losses
    #[bpaf(command)]
    Loss,
    /// Service while a failure domain or target leaves and returns
    #[bpaf(command)]
    Domain,
    /// Imbalance under a Zipf load, with and without rebalancing
    #[bpaf(command)]
    Zipf,
    /// Bytes between regions by purpose
    #[bpaf(command)]
    Link,
    /// Answers and uploads of 1 MB that are lost or refused
    #[bpaf(command)]
    Whole,
    /// Forwards every request to one address without decisions; the baseline of `forward`
    #[bpaf(command)]
    Forwarder {
        /// Address to listen on
        #[bpaf(argument("ADDR"))]
        listen: SocketAddr,
        /// Address to forward to
        #[bpaf(argument("ADDR"))]
        to: SocketAddr,
    },
}

impl Command {
    fn groups(&self) -> Vec<Group> {
        match self {
            Self::All => Group::ALL.to_vec(),
            Self::Forward => vec![Group::Forward],
            Self::Memory => vec![Group::Memory],
            Self::Choice => vec![Group::Choice],
            Self::Overload => vec![Group::Overload],
            Self::Loss => vec![Group::Loss],
            Self::Domain => vec![Group::Domain],
            Self::Zipf => vec![Group::Zipf],
            Self::Link => vec![Group::Link],
            Self::Whole => vec![Group::Whole],
            Self::Forwarder { .. } => Vec::new(),
        }
    }
}

fn main() -> ExitCode {
    let command = command().run();
    if let Command::Forwarder { listen, to } = command {
        return forwarder::serve(listen, to);
    }
    if let Err(error) = process::end_on_signals() {
        eprintln!("signals leave processes behind: {error}");
    }
    let mut failed = false;
    for group in command.groups() {
        let start = Instant::now();
        eprintln!("{group:?}: machine load {}", process::machine_load());
        if let Err(error) = group.run() {
            eprintln!("{group:?} failed: {error}");
            failed = true;
        }
        let seconds = start.elapsed().as_secs_f64();
        eprintln!(
            "{group:?}: took {seconds:.0} s, machine load {}",
            process::machine_load()
        );
    }
    match failed {
        true => ExitCode::FAILURE,
        false => ExitCode::SUCCESS,
    }
}

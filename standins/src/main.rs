//! Starts one stand-in and serves it until the process ends.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;

use bpaf::Bpaf;
use standins::{hosts, log, target};

/// Stand-ins for the systems that the router meets
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Serves an empty append-only log
    #[bpaf(command)]
    Log {
        /// The address to listen on, of 127.0.0.1
        #[bpaf(long, argument("ADDR"))]
        listen: SocketAddr,
    },
    /// Serves an empty list of hosts
    #[bpaf(command)]
    Hosts {
        /// The address to listen on, of 127.0.0.1
        #[bpaf(long, argument("ADDR"))]
        listen: SocketAddr,
        /// Age at which a list becomes visible, in ms
        #[bpaf(long, argument("MS"), fallback(0))]
        lag_ms: u64,
    },
    /// Serves a target
    #[bpaf(command)]
    Target(#[bpaf(external(target::parser))] target::Options),
}

fn serve(command: Command) -> Result<(), standins::Error> {
    match command {
        Command::Log { listen } => {
            let server = log::Server::start(listen)?;
            stay(server.addr());
        }
        Command::Hosts { listen, lag_ms } => {
            let server = hosts::Server::start(listen, lag_ms)?;
            stay(server.addr());
        }
        Command::Target(options) => {
            let server = target::Server::start(options)?;
            stay(server.addr());
        }
    }
    Ok(())
}

fn stay(addr: SocketAddr) {
    println!("listening on {addr}");
    loop {
        thread::park();
    }
}

fn main() -> ExitCode {
    match serve(command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

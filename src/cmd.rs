//! Subcommands of the command line, one module each.

pub mod check;
pub mod confirm;
pub mod explain;
pub mod gateway;
pub mod history;
pub mod output;
pub mod plan;
pub mod report;
pub mod serve;
pub mod status;
pub mod watch;

mod client;

use std::path::{Path, PathBuf};

use crate::burn;
use crate::daemon;
use crate::finding;
use crate::journal;
use crate::logging;

pub use client::Admin;
pub use output::Format;

/// Why a subcommand failed, worded for the person who ran it.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The input has faults.
    #[error(transparent)]
    Findings(#[from] finding::Findings),
    /// The daemon could not start.
    #[error("the daemon can't start")]
    Start(#[from] daemon::StartError),
    /// Logging could not start.
    #[error(transparent)]
    Logging(#[from] logging::StartError),
    /// A file could not be read or written.
    #[error("{path}: {what}")]
    File {
        /// The file.
        path: PathBuf,
        /// What was being done.
        what: &'static str,
        /// Cause.
        source: std::io::Error,
    },
    /// A file has not the expected content.
    #[error("{path}: {source}")]
    Content {
        /// The file.
        path: PathBuf,
        /// Cause, with line and column.
        source: serde_json::Error,
    },
    /// A daemon could not be asked.
    #[error("asking the daemon at {address}: {cause}")]
    Admin {
        /// Address of the daemon's admin port.
        address: std::net::SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// A daemon answered that it can't say.
    #[error("the daemon at {address} answered: {cause}")]
    Refused {
        /// Address of the daemon's admin port.
        address: std::net::SocketAddr,
        /// Its answer.
        cause: String,
    },
    /// The log could not be read.
    #[error(transparent)]
    Log(#[from] journal::Error),
    /// A plan was not accepted.
    #[error("the plan was not accepted: {0}")]
    Rejected(String),
    /// It is not known whether something took or will take effect.
    #[error("undecided: {0}")]
    Undecided(String),
    /// A page could not be drawn.
    #[error(transparent)]
    Page(#[from] burn::page::Error),
    /// Signals could not be awaited.
    #[error("signals can't be awaited")]
    Signals(#[from] std::io::Error),
}

impl Error {
    /// Returns the exit code: 1 for failures, 2 for faulty input, 3 for a
    /// plan that was not accepted, 4 for a daemon or log that can't be
    /// reached, 5 if it is undecided whether something took effect.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) | Self::Content { .. } => FAULTY_INPUT,
            Self::Rejected(_) => 3,
            Self::Admin { .. } | Self::Log(_) => 4,
            Self::Undecided(_) => 5,
            _ => 1,
        }
    }
}

/// Exit code for faulty input, including that on the command line.
pub const FAULTY_INPUT: u8 = 2;

/// Writes a file.
fn write(path: &Path, content: &[u8]) -> Result<(), Error> {
    std::fs::write(path, content).map_err(|source| Error::File {
        path: path.to_owned(),
        what: "the file can't be written",
        source,
    })
}

//! A router for servers that own keys exclusively.
//!
//! The library holds the product; the binary only parses arguments and calls
//! one function per subcommand. `docs/design.md` describes the modules, the
//! state that each of them owns, and what happens when each part fails.

pub mod admin;
pub mod burn;
pub mod clock;
pub mod cmd;
pub mod daemon;
pub mod finding;
pub mod forward;
pub mod gateway;
pub mod journal;
pub mod lease;
pub mod logging;
pub mod metrics;
pub mod model;
pub mod peer;
pub mod placement;
pub mod route;
pub mod server;
pub mod settings;
pub mod state;
pub mod tables;
pub mod target;
pub mod token;

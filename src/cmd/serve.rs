//! `serve`: runs the daemon until it is told to stop.

use std::path::Path;

use signal_hook::consts::signal;
use signal_hook::iterator::Signals;

use crate::cmd;
use crate::daemon;
use crate::logging;
use crate::settings;

/// Runs the daemon with the settings at `path`, until SIGTERM or SIGINT.
///
/// # Errors
/// Fails if the settings have faults or an address can't be listened on.
pub fn run(path: &Path) -> Result<(), cmd::Error> {
    let settings = settings::load(path)?;
    logging::start(&settings.logs.level, settings.host.as_str())?;
    let mut signals = Signals::new([signal::SIGTERM, signal::SIGINT])?;
    let daemon = daemon::Daemon::start(settings)?;
    log::info!("daemon {} runs", daemon.shared().me);
    signals.forever().next();
    daemon.shutdown();
    Ok(())
}

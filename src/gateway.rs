//! The gateway: serves callers in front of targets that check ownership themselves.
//!
//! Requests are sent directly to targets. Keys are owned by targets through
//! grants with fencing tokens; one daemon, the steward, gives them. Everything
//! that must last stands in the platform's log. `docs/platform.md` gives the
//! decisions, their bounds, and what happens when each part fails.

pub mod burn;
pub mod catalog;
pub mod choice;
pub mod client;
pub mod counters;
pub mod dialect;
pub mod exchange;
pub mod history;
pub mod keys;
pub mod peers;
pub mod query;
pub mod quota;
pub mod recent;
pub mod registry;
pub mod relay;
pub mod settings;
pub mod shared;
pub mod status;
pub mod steward;
pub mod trace;

mod admin;
mod executor;
mod feed;
mod listener;

use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::clock;
use crate::gateway::shared::Shared;
use crate::logging;

/// Time from a stop signal until no new connection is accepted, in milliseconds:
/// the balancer asks every second and turns away after two refusals.
const BALANCER: u64 = 2_500;

/// Part of the grace period in which requests may end.
const GRACE_SHARE: f64 = 0.93;

/// Time between clean-ups of connections and statistics.
const SWEEP: Duration = Duration::from_secs(1);

/// Why a daemon can't run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// Logging was started before.
    #[error(transparent)]
    Log(#[from] logging::StartError),
    /// An address can't be used, or the system refused something else.
    #[error("starting the daemon, {0}: {1}")]
    Start(&'static str, io::Error),
}

/// Runs a daemon until it is stopped.
///
/// # Errors
/// Fails if an address can't be bound.
pub fn run(
    settings: settings::Settings,
    path: &Path,
    dialect: Rc<dyn dialect::Dialect>,
) -> Result<(), RunError> {
    logging::start(&settings.logs.level, settings.host.as_str())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| RunError::Start("runtime", error))?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, serve(settings, path, dialect))
}

async fn serve(
    settings: settings::Settings,
    path: &Path,
    dialect: Rc<dyn dialect::Dialect>,
) -> Result<(), RunError> {
    let at = |what| move |error| RunError::Start(what, error);
    let mut stop = signal(SignalKind::terminate()).map_err(at("signals"))?;
    let mut reload = signal(SignalKind::hangup()).map_err(at("signals"))?;
    let listen = settings.listen.clone();
    let admin = listener::listen(listen.admin).map_err(at("admin address"))?;
    let caller = listener::listen(listen.caller).map_err(at("caller address"))?;
    let peer = UdpSocket::bind(listen.peer)
        .await
        .map_err(at("peer address"))?;
    let records = listener::listen(listen.peer).map_err(at("peer address"))?;
    let shared = Rc::new(Shared::new(settings, dialect, peer));
    tokio::task::spawn_local(relay::accept(Rc::clone(&shared), records));
    let (close, closing) = watch::channel(false);
    tokio::task::spawn_local(admin::accept(Rc::clone(&shared), admin));
    tokio::task::spawn_local(listener::accept(Rc::clone(&shared), caller, closing));
    feed::start(&shared);
    executor::start(&shared);
    tokio::task::spawn_local(sweep(Rc::clone(&shared)));
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = reload.recv() => check_settings(path),
        }
    }
    shut_down(&shared, close).await;
    Ok(())
}

/// Says what a changed settings file would mean. Addresses and bounds take
/// effect at the next start.
fn check_settings(path: &Path) {
    match settings::load(path) {
        Ok(_) => log::info!("the settings file is valid; it takes effect at the next start"),
        Err(findings) => log::warn!("the settings file is faulty and has no effect: {findings}"),
    }
}

async fn sweep(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let now = clock::now();
        shared.client.sweep(now);
        shared.choice.borrow_mut().expire(now);
        let lives = executor::lives(&shared);
        shared
            .choice
            .borrow_mut()
            .retain(|life| lives.contains(life));
        shared
            .cold
            .borrow_mut()
            .retain(|life, _| lives.contains(life));
    }
}

/// Ends the daemon without cutting a request.
async fn shut_down(shared: &Shared, close: watch::Sender<bool>) {
    let start = clock::now();
    let end = (shared.settings.bounds.grace.0 as f64 * GRACE_SHARE) as u64;
    log::info!("stopping");
    shared.stopping.set(true);
    tokio::time::sleep(Duration::from_millis(BALANCER.min(end))).await;
    // Without listener and connections nobody receives this.
    let _ = close.send(true);
    // A connection ends when its answer has been written.
    while shared.connections.get() > 0 && clock::now().since(start) < end {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // Lets the last answers leave.
    tokio::time::sleep(Duration::from_millis(50)).await;
}

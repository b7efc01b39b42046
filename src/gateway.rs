//! The gateway: forwards callers' requests to targets that check key ownership
//! themselves.
//!
//! Requests go directly to targets. Targets own keys through grants with fencing
//! tokens, which one daemon, the coordinator, issues. All persistent state is in the
//! platform's log. `docs/platform.md` gives the decisions, their bounds, and
//! what happens when each part fails.

pub mod adapter;
pub mod burn;
pub mod catalog;
pub mod choice;
pub mod client;
pub mod coordinator;
pub mod counters;
pub mod exchange;
pub mod history;
pub mod keys;
pub mod limits;
pub mod memory;
pub mod notices;
pub mod order;
pub mod pause;
pub mod peers;
pub mod quarantine;
pub mod query;
pub mod quota;
pub mod recent;
pub mod registry;
pub mod relay;
pub mod settings;
pub mod shared;
pub mod status;
pub mod trace;
pub mod view;

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
use crate::gateway::exchange::stop;
use crate::gateway::shared::Shared;
use crate::logging;

/// Time from a stop signal until the daemon accepts no new connections, in
/// milliseconds: the balancer checks readiness every second and sends no
/// connections after two failed checks.
const ACCEPT_CLOSE_DELAY_MS: u64 = 2_500;

/// Interval between checks for open connections during the shutdown.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time from the end of the last connection until the process ends, so that the
/// last responses are sent.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Interval between removals of idle connections and outdated statistics.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// An error that prevents a daemon from starting.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// Logging can't be started.
    #[error(transparent)]
    Log(#[from] logging::StartError),
    /// The named resource, such as an address, is unavailable.
    #[error("can't start the daemon: {0}: {1}")]
    Start(&'static str, io::Error),
}

/// Runs a daemon with the settings read from `path` until SIGTERM stops it.
///
/// # Errors
/// Fails if logging, the runtime or a signal handler can't be started, or an
/// address can't be bound.
pub fn run(
    settings: settings::Settings,
    path: &Path,
    adapter: Rc<dyn adapter::Adapter>,
) -> Result<(), RunError> {
    logging::start(&settings.logs.level, settings.host.as_str())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| RunError::Start("runtime", error))?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, serve(settings, path, adapter))
}

async fn serve(
    settings: settings::Settings,
    path: &Path,
    adapter: Rc<dyn adapter::Adapter>,
) -> Result<(), RunError> {
    let error_at = |what| move |error| RunError::Start(what, error);
    let mut stop = signal(SignalKind::terminate()).map_err(error_at("signals"))?;
    let mut reload = signal(SignalKind::hangup()).map_err(error_at("signals"))?;
    let listen = settings.listen.clone();
    let admin = listener::listen(listen.admin).map_err(error_at("admin address"))?;
    let caller = listener::listen(listen.caller).map_err(error_at("caller address"))?;
    let peer = UdpSocket::bind(listen.peer)
        .await
        .map_err(error_at("peer address"))?;
    let records = listener::listen(listen.peer).map_err(error_at("peer address"))?;
    let shared = Rc::new(Shared::new(settings, adapter, peer));
    tokio::task::spawn_local(relay::accept(Rc::clone(&shared), records));
    let (close, closing) = watch::channel(false);
    tokio::task::spawn_local(admin::accept(Rc::clone(&shared), admin));
    tokio::task::spawn_local(listener::accept(Rc::clone(&shared), caller, closing));
    feed::start(&shared);
    executor::start(&shared);
    tokio::task::spawn_local(quarantine::runner::run(Rc::clone(&shared)));
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

/// Checks the settings file and logs the result. Changed settings take effect at
/// the next start only.
fn check_settings(path: &Path) {
    match settings::load(path) {
        Ok(_) => log::info!("the settings file is valid; it takes effect at the next start"),
        Err(findings) => log::warn!("the settings file is faulty and has no effect: {findings}"),
    }
}

/// Performs delayed removals of targets, and removes idle connections and the statistics of
/// targets that no longer exist, once per interval.
async fn sweep(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = clock::now();
        shared.client.close_expired(now);
        shared.orders.close_expired(now);
        // Without this, a delayed removal would wait for the next record of the topic.
        shared.sweep_registry(now);
        let ttl = peers::report_ttl_ms(&shared);
        shared.choice.borrow_mut().expire(now, ttl);
        let instances = executor::instances(&shared);
        shared
            .choice
            .borrow_mut()
            .retain(|instance| instances.contains(instance));
        shared
            .cold_limiters
            .borrow_mut()
            .retain(|instance, _| instances.contains(instance));
        let registry = shared.registry.borrow();
        let is_newest =
            |instance: &choice::Instance| registry.is_newest(&instance.target, instance.birth);
        shared.notices.borrow_mut().retain(is_newest);
        shared.limits.borrow_mut().retain(is_newest);
    }
}

/// Shuts the daemon down: reports not ready, closes the listener after a delay,
/// and waits for open connections until the grace period is nearly over. Requests that
/// have not ended by then are answered before.
async fn shut_down(shared: &Shared, close: watch::Sender<bool>) {
    let start = clock::now();
    let stop = stop::Stop::new(start, shared.settings.bounds.grace.0);
    log::info!("stopping");
    shared.stopping.set(true);
    shared.stop.send_replace(Some(stop));
    let delay = ACCEPT_CLOSE_DELAY_MS.min(stop.answer_at.since(start));
    tokio::time::sleep(Duration::from_millis(delay)).await;
    // Fails only if the listener and all connections have already ended.
    let _ = close.send(true);
    // A connection closes once its current response has been written.
    while shared.connections.get() > 0 && clock::now() < stop.cut_at {
        tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    tokio::time::sleep(FLUSH_DELAY).await;
}

//! The daemon process: starts its listeners and background threads, and shuts
//! them down.

mod accounting;
mod attempt;
mod balancer;
mod cover;
pub mod delivery;
mod entry;
mod handover;
mod header;
mod hedge;
mod hold;
mod housekeeper;
mod keeper;
mod leases;
pub mod membership;
mod peers;
pub mod race;
mod refusal;
pub mod retry;
mod served;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

use crate::admin;
use crate::clock;
use crate::journal;
use crate::peer;
use crate::server;
use crate::settings;
use crate::tables::{self, hedges};
use crate::token;

/// Time between `/ready` turning false and the end of listening, so that load
/// balancers stop sending new callers first.
const READINESS_DELAY_MS: u64 = 1_000;

/// Worker threads for the admin port.
const ADMIN_WORKERS: usize = 4;

/// An error that keeps a daemon from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The daemon can't listen on an address.
    #[error("can't listen on {address} for {purpose}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// Who connects to the address, for the message.
        purpose: &'static str,
        /// The operating system's error.
        source: io::Error,
    },
    /// The UDP socket for heartbeats can't be opened.
    #[error(transparent)]
    Heartbeats(#[from] peer::Error),
}

/// A running daemon.
pub struct Daemon {
    shared: Arc<tables::Shared>,
    callers: server::Server,
    peers: server::Server,
    admin: server::Server,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon, which runs until [`Daemon::shutdown`].
    ///
    /// # Errors
    /// Fails if an address can't be listened on or the socket for heartbeats
    /// can't be opened.
    pub fn start(settings: settings::Settings) -> Result<Self, StartError> {
        let token = token::Token::new();
        let shared = Arc::new(tables::Shared::new(settings, token.clone()));
        let handle = shared.clone();
        let callers = serve(&shared, Port::Caller, move |request| {
            handle.serve_caller(request)
        })?;
        let handle = shared.clone();
        let peers = serve(&shared, Port::Peer, move |request| {
            handle.serve_peer(request)
        })?;
        let handle = shared.clone();
        let admin = serve(&shared, Port::Admin, move |request| {
            admin::serve(&handle, request)
        })?;
        let datagrams = shared.start_heartbeats()?;
        shared.datagrams.get_or_init(|| datagrams);
        let threads = start_threads(&shared);
        Ok(Self {
            shared,
            callers,
            peers,
            admin,
            threads,
        })
    }

    /// Returns the state that the daemon's threads share.
    pub fn shared(&self) -> &Arc<tables::Shared> {
        &self.shared
    }

    /// Shuts the daemon down: reports not ready, hands over its leases, drains
    /// running requests up to the drain limit, and stops the threads.
    pub fn shutdown(self) {
        log::info!("shutting down");
        self.shared.leaving.store(true, Ordering::Relaxed);
        thread::sleep(clock::duration(READINESS_DELAY_MS));
        self.shared.leave();
        let cut = self.callers.shutdown();
        let forwarded = self.peers.shutdown();
        self.admin.shutdown();
        self.shared.token.cancel();
        // The thread that reads the log may be in a long poll. It is not joined,
        // and ends when the poll returns.
        for thread in self.threads {
            if thread.thread().name() != Some("log") && thread.join().is_err() {
                log::error!("a thread of the daemon panicked");
            }
        }
        log::info!("shut down; cut {cut:?} callers and {forwarded:?} forwarded requests");
    }
}

/// The ports that a daemon listens on.
#[derive(Clone, Copy)]
enum Port {
    Caller,
    Peer,
    Admin,
}

fn serve(
    shared: &Arc<tables::Shared>,
    port: Port,
    handler: impl server::Handler,
) -> Result<server::Server, StartError> {
    let settings = &shared.settings;
    let (address, purpose, workers) = match port {
        Port::Caller => (settings.listen.caller, "callers", settings.limits.workers),
        Port::Peer => (
            settings.listen.peer,
            "other daemons",
            settings.limits.peer_workers,
        ),
        Port::Admin => (settings.listen.admin, "operators", ADMIN_WORKERS),
    };
    let limits = &settings.limits;
    let options = server::Options {
        connections: limits.connections,
        head_ms: limits.head_ms,
        body_ms: limits.body_ms,
        idle_ms: limits.idle_ms,
        head_bytes: limits.head_bytes,
        workers,
        queue: limits.queue,
        drain_ms: limits.drain_ms,
        name: purpose.to_owned(),
    };
    let listen_error = |source| StartError::Listen {
        address,
        purpose,
        source,
    };
    let listener = TcpListener::bind(address).map_err(listen_error)?;
    server::Server::start(listener, options, handler, shared.token.child()).map_err(listen_error)
}

fn start_threads(shared: &Arc<tables::Shared>) -> Vec<thread::JoinHandle<()>> {
    let follower = journal::Follower::new(
        shared.journal.clone(),
        journal::Client::new(shared.settings.platform.log),
        peers::Source::new(shared.clone()),
        shared.token.child(),
    );
    let spawn = |name: &str, run: Box<dyn FnOnce() + Send>| {
        let builder = thread::Builder::new().name(name.to_owned());
        builder
            .spawn(run)
            .expect("a thread starts while the daemon does")
    };
    let (state, takeovers) = (shared.clone(), shared.clone());
    let (housekeeper, balancer) = (shared.clone(), shared.clone());
    let canceller = shared.clone();
    let hedges = shared.settings.policy.hedge.then(|| start_hedges(shared));
    let threads = vec![
        spawn("log", Box::new(move || follower.run())),
        spawn("state", Box::new(move || state.run_follower())),
        spawn("takeovers", Box::new(move || takeovers.run_takeovers())),
        spawn(
            "housekeeper",
            Box::new(move || housekeeper.run_housekeeper()),
        ),
        spawn("balancer", Box::new(move || balancer.run_balancer())),
        spawn(
            "canceller",
            Box::new(move || canceller.cancels.run(&canceller.control, &canceller.token)),
        ),
    ];
    threads
        .into_iter()
        .chain(hedges.into_iter().flatten())
        .collect()
}

/// Starts the timer and the worker pool of hedged (second) attempts.
fn start_hedges(shared: &Arc<tables::Shared>) -> Vec<thread::JoinHandle<()>> {
    let timer = shared.clone();
    let run = move || timer.hedges.run_timer(&timer.token);
    let pool = (0..hedges::THREADS).map(|_| {
        let shared = shared.clone();
        thread::spawn(move || shared.hedges.run_attempts())
    });
    [thread::spawn(run)].into_iter().chain(pool).collect()
}

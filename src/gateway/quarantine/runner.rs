//! Runs the quarantine: passes it what happens to requests and instances, opens its
//! connections, and sends its messages.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;

use crate::clock;
use crate::gateway::choice;
use crate::gateway::counters;
use crate::gateway::exchange::ResolvedRequest;
use crate::gateway::history;
use crate::gateway::notices;
use crate::gateway::peers;
use crate::gateway::quarantine::{self, Digest, Happening};
use crate::gateway::registry;
use crate::gateway::shared::Shared;

/// Interval between polls of the quarantine.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Polls between updates of the live daemons.
const DAEMONS_POLLS: u64 = 10;

/// Timeout of a connection that shows whether an instance has ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs the quarantine until the process ends.
pub(crate) async fn run(shared: Rc<Shared>) {
    for round in 0_u64.. {
        tokio::time::sleep(POLL_INTERVAL).await;
        let now = clock::now();
        if round.is_multiple_of(DAEMONS_POLLS) {
            let hosts = shared.peers.borrow().recent_hosts(now);
            shared.quarantine.borrow_mut().on_daemons(hosts, now);
        }
        let (probes, messages, events) = {
            let mut quarantine = shared.quarantine.borrow_mut();
            let registry = shared.registry.borrow();
            quarantine.on_list(|instance| is_listed(&registry, instance), now);
            let probes = quarantine.take_probes(now);
            let messages = quarantine.take_messages(now);
            (probes, messages, quarantine.take_events())
        };
        for instance in probes {
            tokio::task::spawn_local(probe(Rc::clone(&shared), instance));
        }
        for event in events {
            record(&shared, event);
        }
        for (host, datagram) in messages {
            let address = shared.peers.borrow().address(&host);
            let message = peers::encode(&peers::Message::Quarantine(datagram));
            if let Some(address) = address {
                // The quarantine repeats what may be lost.
                let _ = shared.socket.send_to(&message, address).await;
            }
        }
    }
}

/// Returns whether the list shows this instance of its target.
fn is_listed(registry: &registry::Registry, instance: &choice::Instance) -> bool {
    let target = registry.get(&instance.target);
    target.is_some_and(|target| target.birth == instance.birth)
}

/// Opens a connection to an instance, to learn whether it has ended.
async fn probe(shared: Rc<Shared>, instance: choice::Instance) {
    let Some(address) = address(&shared, &instance) else {
        return;
    };
    let began = clock::now();
    let connect = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address));
    let result = connect.await;
    let mut quarantine = shared.quarantine.borrow_mut();
    match result {
        Ok(Ok(_)) => quarantine.on_accepted(&instance),
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            quarantine.on_refused(&instance, began, clock::now());
        }
        // No answer says nothing of the instance.
        Ok(Err(_)) | Err(_) => {}
    }
}

fn address(shared: &Shared, instance: &choice::Instance) -> Option<SocketAddr> {
    let registry = shared.registry.borrow();
    let target = registry.get(&instance.target)?;
    (target.birth == instance.birth).then_some(target.address)
}

/// Counts and logs an event, and adds it to the history.
fn record(shared: &Shared, event: quarantine::Event) {
    let quarantine::Event {
        digest,
        route,
        happening,
    } = event;
    counters::increment(&shared.counters.quarantine_changes);
    let event = match happening {
        Happening::Quarantined(crashes) => {
            log::warn!(
                "request {digest} of route {route} is refused: targets crashed in {crashes} \
                 attempts of it"
            );
            history::Event::RequestQuarantined {
                digest: digest.to_string(),
                route: route.to_string(),
                crashes,
            }
        }
        Happening::Trial => {
            log::info!("request {digest} of route {route} is tried once");
            return;
        }
        Happening::Ended(cause) => {
            log::info!("request {digest} of route {route} is served again: {cause:?}");
            history::Event::QuarantineEnded {
                digest: digest.to_string(),
                route: route.to_string(),
            }
        }
    };
    shared.history.add(clock::now(), None, event);
}

impl Shared {
    /// Returns the time in milliseconds after which a request may come again if it is
    /// refused now because targets crashed in attempts of it.
    pub(crate) fn quarantined(&self, request: &ResolvedRequest) -> Option<u64> {
        let mut quarantine = self.quarantine.borrow_mut();
        if !quarantine.is_refusing() {
            return None;
        }
        quarantine.refusal(request.digest(), clock::now())
    }

    /// Decides whether an attempt of a request may be sent to a target that was chosen, and
    /// counts it as the trial of its verdict if there is one. If it may not, returns the
    /// time in milliseconds after which the request may come again.
    pub(crate) fn admit(&self, request: &ResolvedRequest) -> Result<(), u64> {
        let mut quarantine = self.quarantine.borrow_mut();
        if !quarantine.is_refusing() {
            return Ok(());
        }
        match quarantine.admit(request.digest(), clock::now()) {
            quarantine::Admission::Open | quarantine::Admission::Trial => Ok(()),
            quarantine::Admission::Refused(time) => Err(time),
        }
    }

    /// Records that the connection of an attempt ended without a response.
    pub(crate) fn on_closed(
        &self,
        request: &ResolvedRequest,
        instance: &choice::Instance,
        began: clock::Millis,
    ) {
        let now = clock::now();
        let attempt = quarantine::Attempt {
            digest: request.digest(),
            route: request.route.name.clone(),
            instance: instance.clone(),
            began,
        };
        let end = quarantine::Break {
            written: true,
            silent: true,
            own: false,
            fitness: self.fitness(instance, now),
        };
        let waits = self.quarantine.borrow_mut().on_broken(attempt, end, now);
        log::debug!(target_name = instance.target.as_str(), waits; "an attempt broke off");
    }

    fn fitness(&self, instance: &choice::Instance, now: clock::Millis) -> quarantine::Fitness {
        let registry = self.registry.borrow();
        let target = registry.get(&instance.target);
        let Some(target) = target.filter(|target| target.birth == instance.birth) else {
            return quarantine::Fitness::Unfit;
        };
        let is_ready = target.state == crate::gateway::adapter::EntryState::Ready;
        let is_open = self.standing(instance, now) == notices::Standing::Open;
        let is_limited = self.limits.borrow().limit(instance).is_some();
        if !is_ready || !is_open || is_limited || self.is_drained(&target.domain) {
            return quarantine::Fitness::Unfit;
        }
        match target.is_cold(now) {
            true => quarantine::Fitness::Cold,
            false => quarantine::Fitness::Warm,
        }
    }

    /// Records that a request was answered by a target that ran it.
    pub(crate) fn on_run(&self, digest: Digest) {
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.on_answered(digest, clock::now());
    }
}

//! Tests of confirmations through a running daemon, with a stand-in for the log
//! and a second daemon whose replies the test sets.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use pistachiomoor::admin::{Confirmation, confirm, intent};
use pistachiomoor::{daemon, journal, model, peer, server, settings, state, token};

/// Longest wait for both daemons to be announced.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

struct Deployment {
    daemon: daemon::Daemon,
    log: standins::log::Server,
    other: server::Server,
    /// Next offset that the second daemon reports as read.
    read_offset: Arc<AtomicU64>,
}

fn address() -> std::net::SocketAddr {
    let port = standins::free_port().unwrap();
    (std::net::Ipv4Addr::LOCALHOST, port).into()
}

impl Deployment {
    fn start() -> Self {
        let log = standins::log::Server::start("127.0.0.1:0".parse().unwrap()).unwrap();
        let settings = serde_json::json!({
            "host": "h1", "domain": "a", "region": "north",
            "listen": {"caller": address(), "peer": address(), "admin": address()},
            "platform": {"log": log.addr()},
            "limits": {"workers": 2, "peer_workers": 2},
        });
        let settings: settings::Settings = serde_json::from_value(settings).unwrap();
        let daemon = daemon::Daemon::start(settings).unwrap();
        let read_offset = Arc::new(AtomicU64::new(0));
        let (other, address) = start_other(read_offset.clone());
        let deployment = Self {
            daemon,
            log,
            other,
            read_offset,
        };
        deployment.announce(address);
        deployment
    }

    /// Announces the second daemon, and waits until both are up.
    fn announce(&self, peer: std::net::SocketAddr) {
        let envelope = state::Envelope {
            format: state::FORMAT,
            least: state::FORMAT,
            writer: model::Incarnation(2),
            seq: 1,
            base: model::Offset(0),
            time: 0,
            body: state::Body::HostUp {
                host: "h2".into(),
                domain: "a".into(),
                peer,
                caller: peer,
            },
        };
        let client = journal::Client::new(self.log.addr());
        client.append(&envelope.encode()).unwrap();
        let journal = &self.daemon.shared().journal;
        let mut state = journal.state();
        while state.hosts.len() < 2 {
            let next = state.next;
            state = journal.wait_beyond(next, WAIT_TIMEOUT);
            assert!(state.next > next, "both daemons must be announced");
        }
    }

    fn plan(&self, operator: &str, changes: serde_json::Value) -> state::plan::Plan {
        let intent = intent::Intent::parse("intent", &changes.to_string()).unwrap();
        let state = self.daemon.shared().journal.state();
        let id = rand::random();
        state::plan::make(&state, id, intent.changes, operator.into(), "r").unwrap()
    }

    fn confirm(&self, plan: &state::plan::Plan) -> Confirmation {
        confirm::confirm(self.daemon.shared(), plan)
    }

    fn stop(self) {
        self.daemon.shutdown();
        self.other.shutdown();
        self.log.stop();
    }
}

/// Starts a second daemon that only reports its read offset.
fn start_other(read_offset: Arc<AtomicU64>) -> (server::Server, std::net::SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = move |request: server::Request| {
        assert_eq!(request.path(), "/peer/offset");
        let reply = peer::OffsetReply {
            from: model::Incarnation(2),
            next: model::Offset(read_offset.load(Ordering::Relaxed)),
        };
        server::Response::whole(http::StatusCode::OK, peer::encode(&reply).unwrap())
    };
    let options = server::Options::default();
    let token = token::Token::new();
    let server = server::Server::start(listener, options, answer, token).unwrap();
    (server, address)
}

fn is_accepted(confirmation: &Confirmation) -> bool {
    matches!(
        confirmation,
        Confirmation::Decided {
            verdict: state::Verdict::Accepted,
            ..
        }
    )
}

/// Guards against a binding that takes effect while a daemon still uses the old
/// one, against a plan that overwrites another operator's change or takes effect
/// twice, and against a refusal that does not name the conflicting operator.
#[test]
fn confirm_guarded() {
    let deployment = Deployment::start();
    let domain = serde_json::json!([{"put_domain": {"name": "a", "region": "north"}}]);
    let (first, second) = (
        deployment.plan("ann", domain.clone()),
        deployment.plan("bob", domain),
    );
    assert!(is_accepted(&deployment.confirm(&first)));
    for (plan, name) in [(&second, "ann"), (&first, "ann")] {
        let confirmation = deployment.confirm(plan);
        let Confirmation::Decided { meanwhile, .. } = &confirmation else {
            panic!("{confirmation:?}");
        };
        let origin = meanwhile[0].origin.as_ref().unwrap();
        assert!(!is_accepted(&confirmation) && origin.plan == first.id);
        assert_eq!(origin.operator.as_str(), name);
    }
    let tenant = |standing: &str| {
        serde_json::json!([{"put_tenant":
            {"name": "acme", "regions": ["north"], "standing": standing}}])
    };
    let out = deployment.plan("ann", tenant("out"));
    let Confirmation::Decided { offset, .. } = deployment.confirm(&out) else {
        panic!("the change of the tenant to `out` must be decided");
    };
    let plan = deployment.plan("ann", tenant("in"));
    deployment.read_offset.store(offset.0, Ordering::Relaxed);
    let Confirmation::Held { reasons } = deployment.confirm(&plan) else {
        panic!("the second daemon has not read record {offset}");
    };
    assert!(
        reasons.len() == 1 && reasons[0].contains("h2"),
        "{reasons:?}"
    );
    deployment
        .read_offset
        .store(offset.0 + 1, Ordering::Relaxed);
    assert!(is_accepted(&deployment.confirm(&plan)));
    deployment.stop();
}

//! What is told of an answer that ends before its whole body was passed on.

use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use pistachiomoor::admin::{confirm, intent};
use pistachiomoor::daemon::delivery::{self, Cut};
use pistachiomoor::{daemon, server, settings, state, token};
use serde_json::json;

/// Longest wait for a daemon to serve.
const PATIENCE: Duration = Duration::from_secs(20);

/// Two bytes, followed by the end or by an error.
fn body(error: Option<io::Error>) -> Box<dyn Read + Send> {
    struct Failing(Option<io::Error>);
    impl Read for Failing {
        fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
            self.0.take().map_or(Ok(0), Err)
        }
    }
    Box::new(io::Cursor::new(b"ok").chain(Failing(error)))
}

/// Guards against a cut answer that counts as served, one that counts under
/// another reason, and one that is counted twice.
#[test]
fn follow_tells_end() {
    let eof = || io::Error::from(io::ErrorKind::UnexpectedEof);
    // Error after two bytes, whether the caller is gone, bytes to read, expected.
    let cases = [
        (None, false, 9, Ok(())),
        (Some(eof()), false, 9, Err(Cut::TargetEnded)),
        (Some(Cut::RightLost.into()), false, 9, Err(Cut::RightLost)),
        (Some(Cut::Deadline.into()), false, 9, Err(Cut::Deadline)),
        (
            Some(Cut::HolderEnded.into()),
            false,
            9,
            Err(Cut::HolderEnded),
        ),
        (Some(eof()), true, 9, Err(Cut::CallerLeft)),
        (None, true, 9, Ok(())),
        (None, false, 2, Err(Cut::CallerLeft)),
    ];
    for (error, gone, most, expected) in cases {
        let (token, (sender, ends)) = (token::Token::new(), mpsc::channel());
        let stream = server::Body::Stream(body(error), None);
        let response = server::Response::new(http::StatusCode::OK, stream);
        let tell = move |end, bytes| sender.send((end, bytes)).unwrap();
        let response = delivery::follow(response, &token, tell);
        let server::Body::Stream(reader, _) = response.body else {
            panic!("the body must stay a stream");
        };
        if gone {
            token.cancel();
        }
        let _ = reader.take(most).read_to_end(&mut Vec::new());
        assert_eq!(ends.iter().collect::<Vec<_>>(), [(expected, 2)]);
    }
}

/// Guards against a time-out or a late end that is blamed on the target.
#[test]
fn classify_by_time() {
    let cases = [
        (io::ErrorKind::TimedOut, 5, Cut::Deadline),
        (io::ErrorKind::UnexpectedEof, 0, Cut::Deadline),
        (io::ErrorKind::UnexpectedEof, 5, Cut::TargetEnded),
    ];
    for (kind, left, expected) in cases {
        let cut = Cut::classify(&kind.into(), left, || Cut::TargetEnded);
        assert_eq!(cut, expected, "{kind} with {left} ms left");
    }
}

fn address() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, standins::free_port().unwrap()).into()
}

/// Guards against metrics and kept requests that call a cut answer served.
#[test]
fn serve_cut_answer_counted() {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let log = standins::log::Server::start(any).unwrap();
    let options = standins::target::Options::new(any, "t1");
    let target = standins::target::Server::start(options).unwrap();
    let caller = address();
    let settings: settings::Settings = serde_json::from_value(json!({
        "host": "h1", "domain": "a", "region": "north",
        "listen": {"caller": caller, "peer": address(), "admin": address()},
        "platform": {"log": log.addr()},
        "limits": {"workers": 2, "peer_workers": 2},
    }))
    .unwrap();
    let daemon = daemon::Daemon::start(settings).unwrap();
    let shared = daemon.shared();
    let changes = json!([
        {"put_domain": {"name": "a", "region": "north"}},
        {"put_service": {"name": "plain", "kind": "shared"}},
        {"put_route": {"prefix": "/plain", "service": "plain"}},
        {"put_target": {"name": "t1", "service": "plain", "domain": "a",
            "address": target.addr(), "concurrency": 4}},
    ]);
    let changes = intent::Intent::parse("intent", &changes.to_string()).unwrap();
    let start = Instant::now();
    let get = || {
        let answer = ureq::get(format!("http://{caller}/plain?bytes=1048576")).call()?;
        let id = answer.headers()["request-id"].to_str().unwrap().to_owned();
        Ok::<_, ureq::Error>((id, answer.into_body().read_to_vec()))
    };
    shared
        .journal
        .wait_beyond(state::State::default().next, PATIENCE);
    let state = shared.journal.state();
    let plan = state::plan::make(&state, 1, changes.changes, "ann".into(), "r").unwrap();
    confirm::confirm(shared, &plan);
    while get().is_err() {
        assert!(start.elapsed() < PATIENCE, "the target must be served");
    }
    let fault = ureq::post(format!("http://{}/fault", target.addr()));
    fault.send(r#"{"cut_answers": 1}"#).unwrap();
    let (id, body) = get().unwrap();
    assert!(body.is_err(), "the answer must be cut");
    let cut = r#"requests_total{service="plain",outcome="cut",reason="target_ended"} 1"#;
    let metrics = shared.metrics.render();
    assert!(metrics.contains(cut), "{metrics}");
    let entry = shared.recent.find(&id).unwrap();
    let attempt = entry.attempts.last().unwrap();
    assert_eq!((&*entry.outcome, &*entry.reason), ("cut", "target_ended"));
    assert_eq!(
        (&*attempt.outcome, &*attempt.reason),
        ("cut", "target_ended")
    );
    daemon.shutdown();
    target.stop();
    log.stop();
}

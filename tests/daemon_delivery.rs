//! Reasons, metrics and recent-request entries of answers that are cut off.

use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use pistachiomoor::admin::{confirm, intent};
use pistachiomoor::daemon::delivery::{self, Cut};
use pistachiomoor::{daemon, server, settings, state, token};
use serde_json::json;

/// Longest wait for the daemon to serve the target.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a body of two bytes, followed by its end or by an error.
fn body(error: Option<io::Error>) -> Box<dyn Read + Send> {
    struct Failing(Option<io::Error>);
    impl Read for Failing {
        fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
            self.0.take().map_or(Ok(0), Err)
        }
    }
    Box::new(io::Cursor::new(b"ok").chain(Failing(error)))
}

/// Guards against a cut-off answer that is reported as complete, with a wrong
/// reason, or twice.
#[test]
fn follow_reports_end() {
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
    for (error, caller_gone, max_bytes, expected) in cases {
        let (token, (sender, ends)) = (token::Token::new(), mpsc::channel());
        let stream = server::Body::Stream(body(error), None);
        let response = server::Response::new(http::StatusCode::OK, stream);
        let on_end = move |end, bytes| sender.send((end, bytes)).unwrap();
        let response = delivery::follow(response, &token, on_end);
        let server::Body::Stream(reader, _) = response.body else {
            panic!("the body must stay a stream");
        };
        if caller_gone {
            token.cancel();
        }
        let _ = reader.take(max_bytes).read_to_end(&mut Vec::new());
        assert_eq!(ends.iter().collect::<Vec<_>>(), [(expected, 2)]);
    }
}

/// Guards against a passed deadline that is reported as the target's failure.
#[test]
fn classify_by_time() {
    let cases = [
        (io::ErrorKind::TimedOut, 5, Cut::Deadline),
        (io::ErrorKind::UnexpectedEof, 0, Cut::Deadline),
        (io::ErrorKind::UnexpectedEof, 5, Cut::TargetEnded),
    ];
    for (kind, left_ms, expected) in cases {
        let cut = Cut::classify(&kind.into(), left_ms, || Cut::TargetEnded);
        assert_eq!(cut, expected, "{kind} with {left_ms} ms left");
    }
}

fn free_address() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, standins::free_port().unwrap()).into()
}

/// Guards against metrics and recent-request entries that show a cut-off answer
/// as complete.
#[test]
fn serve_cut_answer_counted() {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let log = standins::log::Server::start(any).unwrap();
    let options = standins::target::Options::new(any, "t1");
    let target = standins::target::Server::start(options).unwrap();
    let caller = free_address();
    let settings: settings::Settings = serde_json::from_value(json!({
        "host": "h1", "domain": "a", "region": "north",
        "listen": {"caller": caller, "peer": free_address(), "admin": free_address()},
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
        .wait_beyond(state::State::default().next, SERVE_TIMEOUT);
    let state = shared.journal.state();
    let plan = state::plan::make(&state, 1, changes.changes, "ann".into(), "r").unwrap();
    confirm::confirm(shared, &plan);
    while get().is_err() {
        assert!(start.elapsed() < SERVE_TIMEOUT, "the target must be served");
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

//! Bodies, cancellation and refusals of the server: a truncated response can't
//! be taken for a complete one, and every failure states its outcome.

use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::sync::mpsc;
use std::thread;

use http::StatusCode;
use parking_lot::Mutex;
use pistachiomoor::forward::Outcome;
use pistachiomoor::server::{Body, BodyError, Reason, Refusal, Request, Response};

#[path = "support/http.rs"]
mod support;

use support::{GET, LONG, ask, assert_refusal, ok, open, options, read, start};

/// Guards against handlers that go on after their caller has disconnected.
#[test]
fn cancel_on_disconnect() {
    let (result, cancelled) = mpsc::channel();
    let result = Mutex::new(result);
    let server = start(options(), move |request: Request| {
        result.lock().send(None).unwrap();
        let cancelled = request.token.wait_timeout(LONG);
        result.lock().send(Some(cancelled)).unwrap();
        Response::empty(StatusCode::OK)
    });
    let stream = open(server.addr(), GET);
    assert_eq!(cancelled.recv().unwrap(), None);
    drop(stream);
    assert_eq!(cancelled.recv().unwrap(), Some(true));
}

/// Guards against a truncated response that looks complete.
#[test]
fn stream_response_truncated() {
    struct Failing(u64);
    impl Read for Failing {
        fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
            let count = self.0.min(buf.len() as u64);
            self.0 -= count;
            match count {
                0 => Err(io::ErrorKind::UnexpectedEof.into()),
                count => Ok(count as usize),
            }
        }
    }
    let server = start(options(), |request: Request| {
        let length = (request.path() == "/length").then_some(300_000);
        Response::new(
            StatusCode::OK,
            Body::Stream(Box::new(Failing(200_000)), length),
        )
    });
    let text = ask(server.addr(), GET);
    assert!(text.contains("transfer-encoding: chunked\r\n"));
    assert!(
        !text.ends_with("0\r\n\r\n"),
        "a truncated response has a final chunk"
    );
    let text = ask(server.addr(), GET.replace("/ ", "/length "));
    assert!(text.contains("content-length: 300000\r\n"));
    assert!(text.len() < 300_000);
}

#[test]
fn stream_request_and_response() {
    const BODY_BYTES: usize = 5 << 20;
    let server = start(options(), |mut request: Request| {
        if request.body.limit(6 << 20).is_err() {
            return Refusal::not_run(Reason::TooLarge, "").into();
        }
        let length = request.body.length();
        assert!(request.body.held().is_none());
        Response::new(StatusCode::OK, Body::Stream(Box::new(request.body), length))
    });
    let body = vec![b'y'; BODY_BYTES];
    for framing in ["content-length", "chunked"] {
        let head = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n";
        let mut stream = open(server.addr(), head);
        let copy = stream.try_clone().unwrap();
        let reader = thread::spawn(move || read(copy));
        if framing == "chunked" {
            write!(
                stream,
                "transfer-encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n"
            )
            .unwrap();
            stream.write_all(&body).unwrap();
            stream.write_all(b"\r\n0\r\n\r\n").unwrap();
        } else {
            write!(stream, "content-length: {BODY_BYTES}\r\n\r\n").unwrap();
            stream.write_all(&body).unwrap();
        }
        let text = reader.join().unwrap();
        assert_eq!(
            text.matches('y').count(),
            BODY_BYTES,
            "{framing}: {}",
            &text[..200.min(text.len())]
        );
    }
    let text = ask(
        server.addr(),
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 7000000\r\n\r\n",
    );
    assert_refusal(&text, 413, Reason::TooLarge);
}

#[test]
fn read_body_errors() {
    let (result, errors) = mpsc::channel();
    let result = Mutex::new(result);
    let mut options = options();
    options.body_ms = 100;
    let server = start(options, move |mut request: Request| {
        let _ = request.body.limit(100_000);
        let error = request.body.read_to_end(&mut Vec::new()).unwrap_err();
        result.lock().send(BodyError::of(&error).unwrap()).unwrap();
        Response::empty(StatusCode::BAD_REQUEST)
    });
    let head = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n";
    let slow = open(
        server.addr(),
        format!("{head}content-length: 90000\r\n\r\nhal"),
    );
    assert_eq!(errors.recv().unwrap(), BodyError::TooSlow);
    drop(slow);
    let lost = open(
        server.addr(),
        format!("{head}content-length: 90000\r\n\r\nhal"),
    );
    lost.shutdown(Shutdown::Write).unwrap();
    assert_eq!(errors.recv().unwrap(), BodyError::Lost);
    let large = "z".repeat(150_000);
    let large = format!("{head}transfer-encoding: chunked\r\n\r\n249f0\r\n{large}");
    let large = open(server.addr(), large);
    assert_eq!(errors.recv().unwrap(), BodyError::TooLarge(100_000));
    drop(large);
}

/// Guards against a panic of the handler that ends its worker or leaves the
/// request without a response.
#[test]
fn serve_after_panic() {
    let server = start(options(), |request: Request| match request.path() {
        "/panic" => panic!("expected by the test"),
        _ => ok(request),
    });
    let text = ask(server.addr(), GET.replace("/ ", "/panic "));
    assert!(text.starts_with("HTTP/1.1 502 "), "{text}");
    assert!(text.contains("outcome: unknown\r\n"), "{text}");
    assert!(ask(server.addr(), GET).ends_with("fine"));
}

#[test]
fn refusal_round_trip() {
    for reason in Reason::ALL {
        for outcome in [Outcome::NotRun, Outcome::Unknown] {
            let mut refusal = Refusal::not_run(*reason, "").after(1_500).at("region a");
            refusal.outcome = outcome;
            let response = Response::from(refusal.clone());
            let read = Refusal::from_response(response.status, &response.headers);
            assert_eq!(read, Some(refusal));
            let allowed: &[u16] = match outcome {
                Outcome::NotRun => &[400, 404, 408, 413, 421, 429, 431, 503],
                Outcome::Unknown => &[502, 504],
            };
            assert!(allowed.contains(&response.status.as_u16()), "{reason}");
            assert_eq!(response.headers["retry-after"], "2");
            let Body::Whole(json) = response.body else {
                panic!("a refusal has a whole body")
            };
            let json: serde_json::Value = serde_json::from_slice(&json).unwrap();
            assert_eq!(json["reason"], reason.as_str());
            assert_eq!(json["location"], "region a");
        }
    }
}

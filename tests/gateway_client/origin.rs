//! Answers that don't certainly answer the request on whose connection they arrive.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::mpsc;

use pistachiomoor::gateway::client::{Body, Client, Failure, Origin};
use tokio::sync::oneshot;

use crate::raw::{Link, answer, serve};
use crate::{
    CONNECT_TIMEOUT, MAX_WHOLE_BYTES, ask, peer, read_streamed, request, run, run_aborted_tasks,
    serve_numbered, serve_once,
};

/// Guards against an answer that lay on a kept connection before the request was
/// written, and is returned for that request.
#[test]
fn answer_before_request() {
    let (wanted, want) = mpsc::channel::<()>();
    let (written, wait) = mpsc::channel();
    let address = serve(move |listener| {
        let mut link = Link::accept(&listener);
        let path = link.read().expect("a request");
        link.write(&answer(&path, ""));
        want.recv().expect("a waiting test");
        link.write(&answer("stray", ""));
        written.send(()).expect("a waiting test");
        let mut other = Link::accept(&listener);
        let path = other.read().expect("a request on a new connection");
        other.write(&answer(&path, ""));
        // The first connection gets no request.
        assert_eq!(link.read(), None);
    });
    run(async {
        let client = Client::new();
        assert_eq!(ask(&client, address, "/1").await.as_deref(), Ok("/1"));
        wanted.send(()).expect("a running server");
        // The runtime must not poll its sockets before the next request is made.
        wait.recv().expect("a stray answer");
        assert_eq!(ask(&client, address, "/2").await.as_deref(), Ok("/2"));
    });
}

/// Sends a request with an identifier, and returns the origin and the body of its answer.
async fn identify(client: &Client, address: SocketAddr, id: &str) -> (Option<Origin>, String) {
    let mut sent = request("/r", b"");
    sent.headers_mut()
        .insert("id", id.parse().expect("a header"));
    let answer = client.send(peer(address), sent, CONNECT_TIMEOUT, || true, |_| true);
    let answer = answer.await.expect("an answer");
    let origin = answer.extensions().get().copied();
    match answer.into_body() {
        Body::Whole(bytes) => (origin, String::from_utf8_lossy(&bytes).into_owned()),
        Body::Partial(..) => panic!("a small answer in parts"),
    }
}

/// Guards against two requests with the same identifier on one connection, where the
/// second can't be told from the first, and against a connection that is given up for it.
#[test]
fn identifier_sent_twice() {
    let address = serve_numbered("");
    run(async {
        let client = Client::new().with_identifier(http::HeaderName::from_static("id"));
        let (first, later) = (Some(Origin::First), Some(Origin::Later));
        for (id, expected) in [
            ("a", (first, "0")),
            ("b", (later, "0")),
            ("a", (first, "1")),
            ("c", (later, "1")),
            ("b", (later, "1")),
            ("d", (later, "1")),
            ("a", (first, "2")),
        ] {
            let (origin, number) = identify(&client, address, id).await;
            assert_eq!((origin, &*number), expected, "{id}");
        }
    });
}

/// Guards against an answer that counts as one to the request although its head was not
/// written completely when the answer came.
#[test]
fn answer_before_head_complete() {
    // More than the system buffers for a connection.
    let long = "x".repeat(32 << 20);
    let (ended, end) = mpsc::channel::<()>();
    let address = serve(move |listener| {
        let mut link = Link::accept(&listener);
        link.0.read_exact(&mut [0]).expect("a request's first byte");
        link.write(&answer("early", ""));
        // Fails once the test has ended.
        let _ = end.recv();
    });
    run(async {
        let client = Client::new().with_identifier(http::HeaderName::from_static("id"));
        let (origin, text) = identify(&client, address, &long).await;
        assert_eq!((origin, &*text), (Some(Origin::Early), "early"));
    });
    drop(ended);
}

/// Guards against a request that is written to a new connection on which the peer has
/// already sent something.
#[test]
fn answer_on_accept() {
    let (written, wait) = mpsc::channel();
    let (ended, end) = oneshot::channel();
    let address = serve(move |listener| {
        let mut link = Link::accept(&listener);
        link.write(&answer("early", ""));
        written.send(()).expect("a waiting test");
        let mut bytes = Vec::new();
        // The connection ends with a reset or a close.
        let _ = link.0.read_to_end(&mut bytes);
        ended.send(bytes.len()).expect("a waiting test");
    });
    run(async {
        let client = Client::new();
        let sent = request("/order", b"x");
        let await_early = || wait.recv().is_ok();
        let answer = client.send(peer(address), sent, CONNECT_TIMEOUT, await_early, |_| true);
        let failure = answer.await.map(|_| "an answer").expect_err("no answer");
        assert!(failure.is_unsent(), "{failure:?}");
        run_aborted_tasks().await;
        assert_eq!(end.await, Ok(0), "bytes that arrived");
    });
}

/// Guards against memory for identifiers that grows as long as a connection is used.
#[test]
fn identifier_limit() {
    let address = serve_numbered("");
    run(async {
        let client = Client::new().with_identifier(http::HeaderName::from_static("id"));
        for id in 0..1_025 {
            let (_, number) = identify(&client, address, &id.to_string()).await;
            assert_eq!(number, (id / 1_024).to_string(), "{id}");
        }
    });
}

/// Guards against a body that is longer than its length and is taken for a whole one, and
/// against interim responses that count towards it.
#[test]
fn answer_longer() {
    let interim = "HTTP/1.1 103 -\r\ncontent-length: 1\r\n\r\n".to_owned();
    for (text, expected) in [
        (answer("whole", ""), Origin::First),
        (
            interim.clone() + &interim + &answer("whole", ""),
            Origin::First,
        ),
        (answer("whole", "") + "x", Origin::Misframed),
        (interim + &answer("whole", "") + "x", Origin::Misframed),
    ] {
        let address = serve_once(text.clone(), false);
        run(async {
            let client = Client::new();
            let (origin, body) = identify(&client, address, "a").await;
            assert_eq!((origin, &*body), (Some(expected), "whole"), "{text:?}");
        });
    }
}

/// Guards against a body that is longer than its length and is taken for a whole one
/// because its head has other line ends, or empty lines before it. The whole body would
/// then also be kept in memory as a part of the head.
#[test]
fn answer_longer_other_lines() {
    let interim = "HTTP/1.1 103 -\ncontent-length: 1\n\n";
    let feeds = answer("whole", "").replace("\r\n", "\n");
    let mixed = answer("whole", "").replacen("\r\n\r\n", "\n\r\n", 1);
    for text in [
        feeds.clone(),
        interim.to_owned() + &feeds,
        mixed,
        "\r\n".to_owned() + &answer("whole", ""),
        "\r\n\r\n\n".to_owned() + &answer("whole", ""),
    ] {
        for (text, expected) in [
            (text.clone(), Origin::First),
            (text + "x", Origin::Misframed),
        ] {
            let address = serve_once(text.clone(), false);
            run(async {
                let (origin, body) = identify(&Client::new(), address, "a").await;
                assert_eq!((origin, &*body), (Some(expected), "whole"), "{text:?}");
            });
        }
    }
}

/// Guards against a response with both a length and chunks that is taken for a whole one
/// because its head has other line ends, and against a body whose lines are taken for
/// headers.
#[test]
fn answer_framings_other_lines() {
    let head = "HTTP/1.1 200 -\ncontent-length: 5\ntransfer-encoding: chunked\n\n";
    let both = head.to_owned() + "5\r\nwhole\r\n0\r\n\r\n";
    let lines = "x\ncontent-length: 1\ntransfer-encoding: chunked\n";
    let body = answer(lines, "").replace("\r\n", "\n");
    for (text, expected) in [
        (both, (Origin::Misframed, "whole")),
        (body, (Origin::First, lines)),
    ] {
        let address = serve_once(text.clone(), false);
        run(async {
            let (origin, body) = identify(&Client::new(), address, "a").await;
            assert_eq!((origin, &*body), (Some(expected.0), expected.1), "{text:?}");
        });
    }
}

/// Guards against a large body that is longer than its length and is taken for a whole
/// one.
#[test]
fn answer_large_longer() {
    let address = serve_once(answer(&"x".repeat(3 * MAX_WHOLE_BYTES), "") + "x", false);
    run(async {
        assert_eq!(read_streamed(address).await, Err(Failure::Broken));
    });
}

//! The outcome of a single send: not run or unknown. Also checks that no
//! response is mistaken for another request's or, truncated, for a complete one.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use http::{HeaderMap, Method, uri::PathAndQuery};
use pistachiomoor::forward::{self, Cause, Content, Outcome};
use pistachiomoor::{server, token};

const LONG_TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_TIMEOUT: Duration = Duration::from_millis(150);

/// Runs `script` on its own thread with the listener of a peer.
fn peer(script: impl FnOnce(TcpListener) + Send + 'static) -> (SocketAddr, thread::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    (addr, thread::spawn(move || script(listener)))
}

/// Reads a request with its body and returns its first line, or `None` if the
/// connection ends before.
fn read_request(stream: &TcpStream) -> Option<String> {
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader
        .read_line(&mut first)
        .ok()
        .filter(|count| *count > 0)?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .ok()
            .filter(|count| *count > 0)?;
        if line == "\r\n" {
            break;
        }
        if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
    }
    io::copy(&mut reader.take(length), &mut io::sink()).ok()?;
    Some(first)
}

fn reply(mut stream: &TcpStream, text: &str) {
    let length = text.len();
    let _ = write!(
        stream,
        "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{text}"
    );
}

fn client() -> forward::Client {
    forward::Client::new(forward::Options::default())
}

fn send(
    client: &forward::Client,
    addr: SocketAddr,
    path: &'static str,
    content: Content<'_>,
    timeout: Duration,
    guard: impl Fn() -> bool + 'static,
) -> Result<forward::Inbound, forward::Failure> {
    let request = forward::Outbound {
        method: &Method::POST,
        path: &PathAndQuery::from_static(path),
        headers: &HeaderMap::new(),
        extra: &[],
        content,
    };
    let abort = forward::Abort::new();
    client.send(addr, request, timeout, guard, &abort)
}

fn post(client: &forward::Client, addr: SocketAddr, path: &'static str) -> Result<String, String> {
    let whole = Content::Whole(b"order");
    let mut inbound =
        send(client, addr, path, whole, LONG_TIMEOUT, || true).map_err(|e| e.to_string())?;
    let mut text = String::new();
    inbound
        .body
        .read_to_string(&mut text)
        .map_err(|e| e.to_string())?;
    Ok(text)
}

/// Guards against a refused connection being reported as possibly run.
#[test]
fn send_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let failure = send(&client(), addr, "/", Content::Empty, LONG_TIMEOUT, || true).unwrap_err();
    assert_eq!(failure.outcome, Outcome::NotRun);
    assert_eq!(failure.cause, Cause::Refused);
}

/// Guards against a request being reported as not run although bytes of it were sent.
#[test]
fn send_peer_closes() {
    for read in [0, 10, usize::MAX] {
        let (addr, thread) = peer(move |listener| {
            let (mut stream, _) = listener.accept().unwrap();
            match read {
                usize::MAX => drop(read_request(&stream)),
                _ => stream.read_exact(&mut vec![0; read]).unwrap(),
            }
        });
        let failure = send(
            &client(),
            addr,
            "/",
            Content::Whole(b"order"),
            LONG_TIMEOUT,
            || true,
        );
        let failure = failure.unwrap_err();
        thread.join().unwrap();
        assert_eq!(failure.cause, Cause::Closed, "read {read}");
        assert_eq!(
            failure.outcome == Outcome::NotRun,
            failure.written == 0,
            "read {read}"
        );
        assert!(
            read == 0 || failure.outcome == Outcome::Unknown,
            "read {read}"
        );
    }
}

/// Guards against a timeout after the write being reported as not run.
#[test]
fn send_silent_peer() {
    let (done, wait) = mpsc::channel::<()>();
    let (addr, thread) = peer(move |listener| {
        let _stream = listener.accept().unwrap();
        let _ = wait.recv();
    });
    let failure = send(&client(), addr, "/", Content::Empty, SHORT_TIMEOUT, || true).unwrap_err();
    assert_eq!(
        (failure.outcome, failure.cause),
        (Outcome::Unknown, Cause::Timeout)
    );
    drop(done);
    thread.join().unwrap();
}

/// Guards against a truncated response body being taken for a complete one.
#[test]
fn read_cut_response() {
    let cases = [
        (
            "content-length: 100\r\n\r\nhalf",
            io::ErrorKind::UnexpectedEof,
        ),
        (
            "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            io::ErrorKind::UnexpectedEof,
        ),
        (
            "transfer-encoding: chunked\r\n\r\n8\r\nhalf",
            io::ErrorKind::UnexpectedEof,
        ),
        ("\r\nhalf", io::ErrorKind::InvalidData),
    ];
    for (rest, kind) in cases {
        let (addr, thread) = peer(move |listener| {
            let (mut stream, _) = listener.accept().unwrap();
            read_request(&stream).unwrap();
            write!(stream, "HTTP/1.1 200 OK\r\n{rest}").unwrap();
        });
        let inbound = send(&client(), addr, "/", Content::Empty, LONG_TIMEOUT, || true);
        let mut body = inbound.unwrap().body;
        let error = body.read_to_end(&mut Vec::new()).unwrap_err();
        assert_eq!(error.kind(), kind, "{rest:?}: {error}");
        assert!(
            body.read_to_end(&mut Vec::new()).is_err(),
            "{rest:?} is complete when read again"
        );
        thread.join().unwrap();
    }
}

/// Guards against a response that arrives after the timeout being taken for the next one.
#[test]
fn send_after_late_answer() {
    let (late, wait) = mpsc::channel::<()>();
    let (written, seen) = mpsc::channel();
    let (addr, thread) = peer(move |listener| {
        let (first, _) = listener.accept().unwrap();
        assert!(read_request(&first).unwrap().contains("/first"));
        wait.recv().unwrap();
        reply(&first, "first");
        written.send(()).unwrap();
        let (second, _) = listener.accept().unwrap();
        assert!(read_request(&second).unwrap().contains("/second"));
        reply(&second, "second");
    });
    let client = client();
    let failure = send(
        &client,
        addr,
        "/first",
        Content::Empty,
        SHORT_TIMEOUT,
        || true,
    )
    .unwrap_err();
    assert_eq!(failure.cause, Cause::Timeout);
    late.send(()).unwrap();
    seen.recv().unwrap();
    assert_eq!(post(&client, addr, "/second").as_deref(), Ok("second"));
    thread.join().unwrap();
}

/// Guards against reuse of a connection with an unread body.
#[test]
fn send_after_abandoned_body() {
    let (addr, thread) = peer(move |listener| {
        for text in ["first", "second"] {
            let (stream, _) = listener.accept().unwrap();
            read_request(&stream).unwrap();
            reply(&stream, text);
        }
    });
    let client = client();
    drop(send(&client, addr, "/", Content::Empty, LONG_TIMEOUT, || true).unwrap());
    assert_eq!(post(&client, addr, "/").as_deref(), Ok("second"));
    thread.join().unwrap();
}

/// Guards against an unrequested response on an idle connection being taken for the next one.
#[test]
fn send_after_stray_answer() {
    let (read, wait) = mpsc::channel();
    let (written, seen) = mpsc::channel();
    let (addr, thread) = peer(move |listener| {
        let (first, _) = listener.accept().unwrap();
        read_request(&first).unwrap();
        reply(&first, "first");
        wait.recv().unwrap();
        reply(&first, "stray");
        written.send(()).unwrap();
        let (second, _) = listener.accept().unwrap();
        read_request(&second).unwrap();
        reply(&second, "second");
    });
    let client = client();
    assert_eq!(post(&client, addr, "/").as_deref(), Ok("first"));
    read.send(()).unwrap();
    seen.recv().unwrap();
    assert_eq!(post(&client, addr, "/").as_deref(), Ok("second"));
    thread.join().unwrap();
}

/// Guards against bytes being sent although the guard refused the first write.
#[test]
fn send_guard_refuses() {
    let (addr, thread) = peer(|listener| {
        let (mut stream, _) = listener.accept().unwrap();
        assert_eq!(stream.read_to_end(&mut Vec::new()).unwrap(), 0);
    });
    let failure = send(&client(), addr, "/", Content::Empty, LONG_TIMEOUT, || false).unwrap_err();
    assert_eq!(
        (failure.outcome, failure.cause),
        (Outcome::NotRun, Cause::GuardRefused)
    );
    assert_eq!(failure.written, 0);
    thread.join().unwrap();
}

/// Guards against writes after the guard turned false in the middle of a body.
#[test]
fn send_guard_turns_false() {
    let (addr, thread) = peer(|listener| {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read_to_end(&mut Vec::new());
    });
    let asked = Arc::new(AtomicUsize::new(0));
    let guard = {
        let asked = asked.clone();
        move || asked.fetch_add(1, Ordering::SeqCst) < 2
    };
    let mut source = io::repeat(b'x').take(1 << 20);
    let content = Content::Stream(&mut source, Some(1 << 20));
    let failure = send(&client(), addr, "/", content, LONG_TIMEOUT, guard).unwrap_err();
    assert_eq!(
        (failure.outcome, failure.cause),
        (Outcome::Unknown, Cause::GuardRefused)
    );
    assert_eq!(asked.load(Ordering::SeqCst), 3);
    thread.join().unwrap();
}

/// Guards against a failure or a second send when the peer closed an idle connection.
#[test]
fn send_on_connection_closed_while_idle() {
    let (closed, seen) = mpsc::channel();
    let (addr, thread) = peer(move |listener| {
        let (first, _) = listener.accept().unwrap();
        read_request(&first).unwrap();
        reply(&first, "first");
        drop(first);
        closed.send(()).unwrap();
        let (second, _) = listener.accept().unwrap();
        read_request(&second).unwrap();
        reply(&second, "second");
        assert!(
            read_request(&second).is_none(),
            "the request was sent twice"
        );
        listener.set_nonblocking(true).unwrap();
        assert!(listener.accept().is_err(), "the request was sent twice");
    });
    let client = client();
    assert_eq!(post(&client, addr, "/").as_deref(), Ok("first"));
    seen.recv().unwrap();
    assert_eq!(post(&client, addr, "/").as_deref(), Ok("second"));
    drop(client);
    thread.join().unwrap();
}

/// Guards against idle connections that survive a reset.
#[test]
fn reset_drops_idle_connections() {
    let (addr, thread) = peer(|listener| {
        for requests in [2, 1] {
            let (stream, _) = listener.accept().unwrap();
            for _ in 0..requests {
                read_request(&stream).unwrap();
                reply(&stream, "ok");
            }
            assert!(read_request(&stream).is_none());
        }
    });
    let client = client();
    post(&client, addr, "/").unwrap();
    post(&client, addr, "/").unwrap();
    assert_eq!(client.open(), 1);
    client.reset(addr);
    assert_eq!(client.open(), 0);
    post(&client, addr, "/").unwrap();
    drop(client);
    thread.join().unwrap();
}

/// Answers with the request's method, framing and body.
fn describe(mut request: server::Request) -> server::Response {
    let length = request.body.length();
    let mut text = String::new();
    request.body.read_to_string(&mut text).unwrap();
    let mut names: Vec<_> = request.headers.keys().map(|name| name.as_str()).collect();
    names.sort_unstable();
    let size = text.len();
    let text = format!("{} {length:?} {size} {}", request.method, names.join(" "));
    server::Response::whole(http::StatusCode::OK, text)
}

/// Guards against hop-by-hop headers or the framing of the received request being forwarded.
#[test]
fn send_builds_message_anew() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let options = server::Options {
        workers: 2,
        ..Default::default()
    };
    let server = server::Server::start(listener, options, describe, token::Token::new()).unwrap();
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, x-private"),
        ("x-private", "1"),
        ("keep-alive", "1"),
        ("te", "trailers"),
        ("proxy-authorization", "1"),
        ("upgrade", "h2c"),
        ("expect", "100-continue"),
        ("host", "elsewhere"),
        ("content-length", "7"),
        ("transfer-encoding", "chunked"),
        ("x-kept", "1"),
    ] {
        headers.insert(name, value.parse().unwrap());
    }
    let large = 200_000;
    let mut known = io::repeat(b'x').take(large);
    let mut unknown = io::repeat(b'x').take(large);
    let cases = [
        (Method::GET, Content::Empty, "GET Some(0) 0 host x-kept"),
        (
            Method::POST,
            Content::Empty,
            "POST Some(0) 0 content-length host x-kept",
        ),
        (
            Method::POST,
            Content::Whole(b"abc"),
            "POST Some(3) 3 content-length host x-kept",
        ),
        (
            Method::GET,
            Content::Whole(b"abc"),
            "GET Some(3) 3 content-length host x-kept",
        ),
        (
            Method::PUT,
            Content::Stream(&mut known, Some(large)),
            "PUT Some(200000) 200000 content-length host x-kept",
        ),
        (
            Method::PATCH,
            Content::Stream(&mut unknown, None),
            "PATCH None 200000 host transfer-encoding x-kept",
        ),
        (
            Method::from_bytes(b"REPORT").unwrap(),
            Content::Whole(b"abc"),
            "REPORT Some(3) 3 content-length host x-kept",
        ),
        (
            Method::DELETE,
            Content::Whole(b""),
            "DELETE Some(0) 0 host x-kept",
        ),
        (Method::HEAD, Content::Empty, ""),
    ];
    let client = client();
    for (method, content, expected) in cases {
        let request = forward::Outbound {
            method: &method,
            path: &PathAndQuery::from_static("/a?b=c"),
            headers: &headers,
            extra: &[],
            content,
        };
        let mut inbound = client
            .send(
                server.addr(),
                request,
                LONG_TIMEOUT,
                || true,
                &forward::Abort::new(),
            )
            .unwrap();
        let data = inbound.body.read_small(1_000).unwrap().unwrap();
        assert_eq!(String::from_utf8_lossy(&data), expected, "{method}");
    }
    assert_eq!(client.open(), 1, "a connection was not reused");
}

//! Aborting an attempt from another thread: the sender returns at once, the
//! outcome is correct, and no other request is affected.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use http::{HeaderMap, Method, uri::PathAndQuery};
use pistachiomoor::forward::{Abort, Cause, Client, Content, Failure, Inbound, Options, Outcome};
use pistachiomoor::{forward, token};

const LONG_TIMEOUT: Duration = Duration::from_secs(20);

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

fn send(
    client: &Client,
    addr: SocketAddr,
    abort: &Abort,
    guard: impl Fn() -> bool + 'static,
) -> Result<Inbound, Failure> {
    let request = forward::Outbound {
        method: &Method::GET,
        path: &PathAndQuery::from_static("/slots"),
        headers: &HeaderMap::new(),
        extra: &[],
        content: Content::Empty,
    };
    client.send(addr, request, LONG_TIMEOUT, guard, abort)
}

/// Reads the head of a request without a body.
fn read_head(stream: &TcpStream) {
    let lines = BufReader::new(stream).lines();
    let _ = lines
        .take_while(|line| !line.as_ref().unwrap().is_empty())
        .count();
}

fn answer(mut stream: &TcpStream) {
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        .unwrap();
}

/// Guards against a worker that stays blocked after its caller has left, and
/// against reuse of the aborted connection.
#[test]
fn send_aborted_after_write_is_unknown() {
    let (listener, addr) = listen();
    let abort = Abort::new();
    let fire = abort.clone();
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_head(&stream);
        fire.fire();
        assert_eq!(stream.read(&mut [0]).unwrap(), 0);
        let (stream, _) = listener.accept().unwrap();
        read_head(&stream);
        answer(&stream);
    });
    let client = Client::new(Options::default());
    let start = Instant::now();
    let failure = send(&client, addr, &abort, || true).unwrap_err();
    assert_eq!(
        (failure.outcome, failure.cause),
        (Outcome::Unknown, Cause::Cancelled)
    );
    assert!(start.elapsed() < LONG_TIMEOUT / 2);
    let mut again = send(&client, addr, &Abort::new(), || true).unwrap();
    assert_eq!(again.body.read_small(2).unwrap().unwrap(), "ok");
    peer.join().unwrap();
}

/// Guards against sent bytes or the outcome unknown after an abort before the
/// first byte.
#[test]
fn send_aborted_before_write_is_not_run() {
    let (listener, addr) = listen();
    let client = Client::new(Options::default());
    let abort = Abort::new();
    let fire = abort.clone();
    let connected = send(&client, addr, &abort, move || {
        fire.fire();
        true
    });
    let (mut stream, _) = listener.accept().unwrap();
    assert_eq!(stream.read(&mut [0]).unwrap(), 0);
    listener.set_nonblocking(true).unwrap();
    let fired = send(&client, addr, &abort, || true);
    assert!(listener.accept().is_err(), "a connection was opened");
    for failure in [connected.unwrap_err(), fired.unwrap_err()] {
        assert_eq!((failure.outcome, failure.written), (Outcome::NotRun, 0));
        assert_eq!(failure.cause, Cause::Cancelled);
    }
}

/// Guards against a late abort that ends the next request on the connection.
#[test]
fn send_late_abort_spares_next_request() {
    let (listener, addr) = listen();
    let abort = Abort::new();
    let fire = abort.clone();
    let peer = thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        read_head(&stream);
        answer(&stream);
        read_head(&stream);
        fire.fire();
        answer(&stream);
    });
    let client = Client::new(Options::default());
    // The first response is kept, as a worker may do while it forwards it.
    let mut first = send(&client, addr, &abort, || true).unwrap();
    assert_eq!(first.body.read_small(2).unwrap().unwrap(), "ok");
    let mut second = send(&client, addr, &Abort::new(), || true).unwrap();
    assert_eq!(second.body.read_small(2).unwrap().unwrap(), "ok");
    peer.join().unwrap();
}

/// Guards against closing a connection that returns to the pool: the last bytes
/// of a body end their request, which cancels the request's token.
#[test]
fn send_abort_after_last_byte_keeps_connection() {
    let (listener, addr) = listen();
    let peer = thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        drop(listener);
        for _ in 0..2 {
            read_head(&stream);
            answer(&stream);
        }
    });
    let client = Client::new(Options::default());
    let abort = Abort::new();
    let mut first = send(&client, addr, &abort, || true).unwrap();
    first.body.read_exact(&mut [0; 2]).unwrap();
    abort.fire();
    assert_eq!(first.body.read(&mut [0]).unwrap(), 0);
    let mut second = send(&client, addr, &Abort::new(), || true).unwrap();
    assert_eq!(second.body.read_small(2).unwrap().unwrap(), "ok");
    drop(client);
    peer.join().unwrap();
}

/// Guards against a body truncated by an abort being taken for a complete one.
#[test]
fn send_aborted_in_body_is_cut() {
    let (listener, addr) = listen();
    let abort = Abort::new();
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_head(&stream);
        let chunk = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n";
        stream.write_all(chunk).unwrap();
        stream.read(&mut [0]).unwrap()
    });
    let client = Client::new(Options::default());
    let mut inbound = send(&client, addr, &abort, || true).unwrap();
    inbound.body.read_exact(&mut [0; 2]).unwrap();
    abort.fire();
    assert!(inbound.body.read_to_end(&mut Vec::new()).is_err());
    drop(inbound);
    assert_eq!(peer.join().unwrap(), 0);
}

/// Guards against actions that are lost, run twice, or run after they were dropped.
#[test]
fn on_cancel_runs_registered_once() {
    let token = token::Token::new();
    let (sender, seen) = std::sync::mpsc::channel();
    let note = |name| {
        let sender = sender.clone();
        move || sender.send(name).unwrap()
    };
    let _kept = token.on_cancel(note("kept"));
    drop(token.on_cancel(note("dropped")));
    token.cancel();
    token.cancel();
    let _late = token.on_cancel(note("late"));
    assert_eq!(seen.try_iter().collect::<Vec<_>>(), ["kept", "late"]);
}

//! The control client against a target that sends scripted replies.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};

use pistachiomoor::model;
use pistachiomoor::target::control::{Client, Error};
use pistachiomoor::target::grants::{Failure, Grants};
use pistachiomoor::target::wire;

const REPLY: &str = r#"{"clock":70,"running":1,"active":2,"queued":3,"state":"cold"}"#;

/// Reads one request and returns its request line and body; `None` at the end of the stream.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let lower = head.to_lowercase();
    let length = lower.split("content-length: ").nth(1).unwrap_or("0\r\n");
    let length = length.lines().next()?.parse().ok()?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let line = head.lines().next()?.to_owned();
    Some((line, String::from_utf8(body).ok()?))
}

/// Answers each connection's requests with its replies in order; `None` sends no reply.
///
/// Returns the address and a thread that yields the requests received.
fn serve_scripted(
    connections: Vec<Vec<Option<(&'static str, &'static str)>>>,
) -> (SocketAddr, JoinHandle<Vec<(String, String)>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let thread = thread::spawn(move || {
        let (mut requests, mut open) = (Vec::new(), Vec::new());
        for replies in connections {
            let (stream, _) = listener.accept().unwrap();
            let mut reader = BufReader::new(stream);
            for reply in replies {
                requests.extend(read_request(&mut reader));
                let Some((status, body)) = reply else { break };
                let length = body.len();
                let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n");
                write!(reader.get_mut(), "{head}location: /other\r\n\r\n{body}").unwrap();
            }
            open.push(reader);
        }
        requests
    });
    (address, thread)
}

fn message() -> wire::Message {
    let mut grants = Grants::new(model::Offset(7));
    let list = [wire::Holding {
        group: wire::group("orders@bkk").unwrap(),
        fence: model::Fence::at(model::Offset(3)),
        shards: model::ShardSet {
            ranges: vec![(0, 4)],
            pinned: vec![model::KeyHash(u64::MAX)],
        },
    }];
    let message = grants.prepare(pistachiomoor::clock::Millis(0), 1, &list.into());
    message.unwrap()
}

#[test]
fn grants_speaks_the_protocol() {
    let (address, thread) =
        serve_scripted(vec![vec![Some(("200 OK", REPLY)), Some(("200 OK", "{}"))]]);
    let client = Client::new();
    let reply = client.grants(address, &message()).unwrap();
    assert_eq!((reply.clock, reply.running, reply.active), (70, 1, 2));
    assert_eq!((reply.queued, reply.state), (3, wire::Condition::Cold));
    client.cancel(address, "r-1").unwrap();
    let requests = thread.join().unwrap();
    assert_eq!(requests[0].0, "POST /control/grants HTTP/1.1");
    let expected = concat!(
        r#"{"fence":{"offset":7,"step":0},"valid_until":1,"shards":[{"group":"orders@bkk","#,
        r#""fence":{"offset":3,"step":0},"ranges":[[0,4]],"pinned":[18446744073709551615]}]}"#,
    );
    assert_eq!(requests[0].1, expected);
    assert_eq!(requests[1].0, "POST /control/cancel/r-1 HTTP/1.1");
}

#[test]
fn grants_conflict_tells_higher_fence() {
    let conflict = r#"{"clock":70,"highest":{"offset":9,"step":2}}"#;
    let (address, _thread) = serve_scripted(vec![vec![Some(("409 Conflict", conflict))]]);
    match Client::new().grants(address, &message()) {
        Err(Error::Conflict(_, found)) => assert_eq!(found.highest.offset, 9),
        other => panic!("expected a conflict, found {other:?}"),
    }
}

#[test]
fn grants_invalid_response_is_distinguished_from_loss() {
    for reply in [("200 OK", "{"), ("500 Error", ""), ("302 Found", REPLY)] {
        let (address, _thread) = serve_scripted(vec![vec![Some(reply), Some(("200 OK", REPLY))]]);
        let error = Client::new().grants(address, &message()).unwrap_err();
        assert_eq!(error.failure(), Some(Failure::Answer), "{error}");
    }
}

#[test]
fn grants_refused_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = Client::new().grants(address, &message()).unwrap_err();
    assert_eq!(error.failure(), Some(Failure::Refused), "{error}");
}

/// Guards against declaring a target lost because one connection stopped
/// responding: the call after a timeout must use a new connection.
#[test]
fn grants_after_timeout_uses_new_connection() {
    let ok = || Some(("200 OK", REPLY));
    let (address, _thread) = serve_scripted(vec![vec![ok(), None], vec![ok()]]);
    let client = Client::new();
    client.grants(address, &message()).unwrap();
    let error = client.grants(address, &message()).unwrap_err();
    assert_eq!(error.failure(), Some(Failure::TimedOut), "{error}");
    client.grants(address, &message()).unwrap();
}

//! HTTP client of the gateway, over loopback sockets.

#[path = "support/known.rs"]
mod known;
#[path = "gateway_client/origin.rs"]
mod origin;
#[path = "support/raw.rs"]
mod raw;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use pistachiomoor::clock;
use pistachiomoor::gateway::client::{Body, Client, Failure, Peer, Reuse};
use tokio::sync::oneshot;

use self::raw::{Link, answer, serve};

/// Connection timeout in tests that expect a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit until the peer detects that a call was dropped.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Size above which a response body is streamed, in bytes.
const MAX_WHOLE_BYTES: usize = 1 << 20;

/// Runs a test on a single-threaded runtime, as a daemon does.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        tokio::time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("an end");
    });
}

fn peer(address: SocketAddr) -> Peer {
    Peer { address, birth: 1 }
}

fn request(path: &str, body: &'static [u8]) -> http::Request<Bytes> {
    let request = http::Request::post(path).header("host", "target.test");
    request.body(Bytes::from_static(body)).expect("a request")
}

/// Sends a request and returns the body of its response.
async fn ask(client: &Client, address: SocketAddr, path: &str) -> Result<String, Failure> {
    let answer = client.call(peer(address), request(path, b"x"), CONNECT_TIMEOUT);
    let answer = answer.await?;
    Ok(String::from_utf8_lossy(answer.body()).into_owned())
}

/// Lets the connection tasks that a dropped call aborts run to their end.
async fn run_aborted_tasks() {
    for _ in 0..16 {
        tokio::task::yield_now().await;
    }
}

/// Accepts any number of connections, and answers each request with the number of
/// its connection.
fn serve_numbered(headers: &'static str) -> SocketAddr {
    serve(move |listener| {
        for number in 0.. {
            let mut link = Link::accept(&listener);
            // The next connection may be opened before this one is closed.
            std::thread::spawn(move || {
                while link.read().is_some() {
                    link.write(&answer(&number.to_string(), headers));
                }
            });
        }
    })
}

/// Request body that does not fit into the peer's receive buffer.
static LONG_BODY: [u8; 16 << 10] = [b'x'; 16 << 10];

/// Guards against a request that arrives after its call was dropped: data that the
/// peer's host has not received by then must not be sent.
#[test]
fn drop_request_partly_sent() {
    let (received, arrival) = oneshot::channel();
    let (dropped, drop) = mpsc::channel();
    let (ended, end) = oneshot::channel();
    let listener = small_buffer_listener();
    let address = listener.local_addr().expect("a bound address");
    std::thread::spawn(move || {
        let mut link = Link::accept(&listener);
        link.0.peek(&mut [0]).expect("the request's first byte");
        received.send(()).expect("a waiting test");
        drop.recv().expect("a dropped call");
        let mut bytes = Vec::new();
        let end = link.0.read_to_end(&mut bytes);
        let end = end.map_err(|error| error.kind());
        ended.send((end, bytes.len())).expect("a waiting test");
    });
    run(async {
        let client = Client::new();
        let call = client.call(
            peer(address),
            request("/order", &LONG_BODY),
            CONNECT_TIMEOUT,
        );
        tokio::select! {
            answer = call => panic!("no answer was sent: {answer:?}"),
            _ = arrival => {}
        }
        run_aborted_tasks().await;
        dropped.send(()).expect("a waiting server");
        let (end, length) = end.await.expect("a server's report");
        assert!(length < LONG_BODY.len(), "{length} bytes arrived");
        assert_eq!(end, Err(ErrorKind::ConnectionReset), "after {length} bytes");
    });
}

/// Returns a listener whose connections have a small receive buffer.
fn small_buffer_listener() -> TcpListener {
    let kind = socket2::Type::STREAM;
    let socket = socket2::Socket::new(socket2::Domain::IPV4, kind, None).expect("a socket");
    socket.set_recv_buffer_size(2_304).expect("a small buffer");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a free port");
    socket.listen(8).expect("a listener");
    socket.into()
}

/// Guards against a target that goes on with a request whose caller has left,
/// because the connection of the dropped call stays open.
#[test]
fn drop_request_read() {
    let (read, arrival) = oneshot::channel();
    let (ended, end) = oneshot::channel();
    let address = serve(move |listener| {
        let mut link = Link::accept(&listener);
        link.read().expect("a request");
        read.send(()).expect("a waiting test");
        // A reset ends the connection just as a close does.
        let _ = link.0.read(&mut [0]);
        ended.send(Instant::now()).expect("a waiting test");
    });
    run(async {
        let client = Client::new();
        tokio::select! {
            answer = ask(&client, address, "/r") => panic!("no answer was sent: {answer:?}"),
            _ = arrival => {}
        }
        let dropped = Instant::now();
        let end = end.await.expect("a server's report");
        let time = end.saturating_duration_since(dropped);
        assert!(time <= CLOSE_TIMEOUT, "{time:?}");
    });
}

/// Guards against `has_idle` that reports a connection where there is none, or
/// none where there is one.
#[test]
fn has_idle_after_answer() {
    run(async {
        let (client, address) = (Client::new(), serve_numbered(""));
        assert!(!client.has_idle(peer(address)));
        ask(&client, address, "/").await.expect("an answer");
        assert!(client.has_idle(peer(address)));
        let later = Peer {
            birth: 2,
            ..peer(address)
        };
        assert!(
            !client.has_idle(later),
            "another incarnation at the address"
        );
        client.close_idle(peer(address));
        assert!(!client.has_idle(peer(address)));
    });
}

/// Guards against a new connection for every request.
#[test]
fn call_connection_reused() {
    let address = serve_numbered("");
    run(async {
        let client = Client::new();
        for _ in 0..5 {
            assert_eq!(ask(&client, address, "/r").await.as_deref(), Ok("0"));
        }
    });
}

/// Guards against a call that must not share its connection, and is sent on one that has
/// carried other requests, or leaves its own to them.
#[test]
fn call_connection_own() {
    let address = serve_numbered("");
    run(async {
        let client = Client::new();
        let own = async || {
            let sent = request("/own", b"");
            let answer =
                client.call_if(peer(address), sent, CONNECT_TIMEOUT, Reuse::Never, || true);
            answer.await.expect("an answer").into_body()
        };
        assert_eq!(ask(&client, address, "/r").await.as_deref(), Ok("0"));
        assert_eq!(own().await, "1");
        assert_eq!(own().await, "2");
        assert_eq!(ask(&client, address, "/r").await.as_deref(), Ok("0"));
    });
}

/// Guards against a request that fails because the peer has closed an idle
/// connection.
#[test]
fn call_closed_while_idle() {
    let (closed, closing) = mpsc::channel::<SocketAddr>();
    let address = serve(move |listener| {
        loop {
            let mut link = Link::accept(&listener);
            let path = link.read().expect("a request");
            link.write(&answer(&path, ""));
            let Ok(notify_address) = closing.recv() else {
                return;
            };
            drop(link);
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
            socket
                .send_to(b"closed", notify_address)
                .expect("a waiting test");
        }
    });
    run(async {
        let client = Client::new();
        for number in 0..20 {
            let path = format!("/{number}");
            assert_eq!(ask(&client, address, &path).await.as_ref(), Ok(&path));
            wait_closed(&closed).await;
        }
    });
}

/// Waits until the server has closed its connection and the runtime has polled its
/// sockets since. Only such a poll can report the datagram on the new socket.
async fn wait_closed(closed: &mpsc::Sender<SocketAddr>) {
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await;
    let socket = socket.expect("a free port");
    let address = socket.local_addr().expect("a bound address");
    closed.send(address).expect("a waiting server");
    let received = socket.recv(&mut [0; 16]).await;
    received.expect("a closed connection");
}

/// Guards against a request that is reported as unsent although the peer has read
/// it, on a new connection and on a reused one.
#[test]
fn call_closed_after_read() {
    let address = serve(|listener| {
        drop(Link::accept(&listener).read());
        let mut link = Link::accept(&listener);
        link.read().expect("a request");
        link.write(&answer("kept", ""));
        link.read().expect("a request");
    });
    run(async {
        let client = Client::new();
        let closed = Err(Failure::Closed);
        assert_eq!(ask(&client, address, "/new").await, closed);
        assert_eq!(ask(&client, address, "/kept").await.as_deref(), Ok("kept"));
        assert_eq!(ask(&client, address, "/again").await, closed);
        assert!(!Failure::Closed.is_unsent() && !Failure::Broken.is_unsent());
    });
}

/// Guards against a refused connection that is reported as a lost request.
#[test]
fn call_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    drop(listener);
    run(async {
        let answer = ask(&Client::new(), address, "/r").await;
        assert_eq!(answer, Err(Failure::Refused));
        assert!(Failure::Refused.is_unsent());
    });
}

/// Guards against a call that never ends, or is reported as a lost request, when
/// the peer does not accept the connection.
#[test]
fn call_unreachable() {
    let (listener, _connections) = full_listener();
    let address = listener.local_addr().expect("a bound address");
    let limit = Duration::from_millis(200);
    run(async {
        let client = Client::new();
        let start = Instant::now();
        let answer = client.call(peer(address), request("/r", b""), limit).await;
        assert_eq!(answer.map(|_| ()), Err(Failure::Unreachable));
        assert!(start.elapsed() >= limit, "{:?}", start.elapsed());
        assert!(Failure::Unreachable.is_unsent());
    });
}

/// Returns a listener with a full backlog, and the connections that fill it.
fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let kind = socket2::Type::STREAM;
    let socket = socket2::Socket::new(socket2::Domain::IPV4, kind, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a free port");
    socket.listen(0).expect("a listener");
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().expect("a bound address");
    let mut streams = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
        streams.push(stream);
        assert!(streams.len() < 16, "the listener's backlog is not limited");
    }
    (listener, streams)
}

/// Answers one request with `text`, then closes or resets the connection.
fn serve_once(text: String, reset: bool) -> SocketAddr {
    serve(move |listener| {
        let mut link = Link::accept(&listener);
        link.read().expect("a request");
        link.write(&text);
        if reset {
            link.reset();
        }
    })
}

/// Guards against a complete response without a length that is rejected.
#[test]
fn answer_until_close() {
    let address = serve_once("HTTP/1.1 200 OK\r\n\r\nwhole".to_owned(), false);
    run(async {
        let answer = ask(&Client::new(), address, "/r").await;
        assert_eq!(answer.as_deref(), Ok("whole"));
    });
}

/// Guards against a truncated response without a length that is returned as
/// complete.
#[test]
fn answer_until_reset() {
    let address = serve_once("HTTP/1.1 200 OK\r\n\r\npart".to_owned(), true);
    run(async {
        let answer = ask(&Client::new(), address, "/r").await;
        assert_eq!(answer, Err(Failure::Broken));
    });
}

/// Guards against truncated responses that are returned as complete: with a
/// length, with chunks, and with an incomplete head.
#[test]
fn answer_cut_short() {
    let texts = [
        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
        "HTTP/1.1 200 OK\r\ncontent-le",
    ];
    run(async {
        for text in texts {
            let address = serve_once(text.to_owned(), false);
            let answer = ask(&Client::new(), address, "/r").await;
            assert_eq!(answer, Err(Failure::Broken), "{text:?}");
        }
    });
}

/// Answers every request with its path, followed by an unsolicited response.
fn serve_unsolicited() -> SocketAddr {
    serve(|listener| {
        loop {
            let mut link = Link::accept(&listener);
            std::thread::spawn(move || {
                while let Some(path) = link.read() {
                    link.write(&(answer(&path, "") + &answer("stray", "")));
                }
            });
        }
    })
}

/// Guards against a response that is returned for another request.
///
/// The client closes a connection on which more than the response has arrived, so
/// that the next request gets a new connection even if the response was accepted.
/// An unsolicited response that arrives after the next request was sent can't be
/// detected here; callers compare request identifiers.
#[test]
fn answer_extra() {
    let address = serve_unsolicited();
    run(async {
        for keep in [false, true] {
            let client = Client::new();
            for number in 0..20 {
                let path = format!("/{number}");
                let sent = request(&path, b"");
                let answer = client
                    .send(peer(address), sent, CONNECT_TIMEOUT, || true, |_| keep)
                    .await;
                let answer = answer.map(|answer| match answer.into_body() {
                    Body::Whole(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
                    Body::Partial(..) => panic!("a small answer in parts"),
                });
                assert_eq!(answer.as_ref(), Ok(&path), "kept: {keep}");
            }
        }
    });
}

/// Guards against a connection that is used again although its response was not
/// accepted, for instance because it belongs to another request.
#[test]
fn answer_not_accepted() {
    let address = serve_numbered("");
    run(async {
        let client = Client::new();
        for number in 0..3 {
            let sent = request("/r", b"");
            let answer = client
                .send(peer(address), sent, CONNECT_TIMEOUT, || true, |_| false)
                .await;
            let Ok(Body::Whole(bytes)) = answer.map(http::Response::into_body) else {
                panic!("no whole answer");
            };
            assert_eq!(bytes, number.to_string());
        }
    });
}

/// Guards against a request that is written although its target began to drain while the
/// connection was opened.
#[test]
fn send_withdrawn() {
    let (ended, end) = oneshot::channel();
    let address = serve(move |listener| {
        let mut link = Link::accept(&listener);
        let mut bytes = Vec::new();
        // The connection ends with a reset or a close.
        let _ = link.0.read_to_end(&mut bytes);
        ended.send(bytes.len()).expect("a waiting test");
    });
    run(async {
        let client = Client::new();
        let sent = request("/order", b"x");
        let answer = client.send(peer(address), sent, CONNECT_TIMEOUT, || false, |_| true);
        let failure = answer.await.map(|_| "an answer").expect_err("no answer");
        assert_eq!(failure, Failure::Withdrawn);
        assert!(failure.is_unsent());
        run_aborted_tasks().await;
        assert_eq!(end.await, Ok(0), "bytes that arrived");
    });
}

/// Reads a streamed response and returns its length in bytes.
async fn read_streamed(address: SocketAddr) -> Result<usize, Failure> {
    let client = Client::new();
    let answer = client.send(
        peer(address),
        request("/r", b""),
        CONNECT_TIMEOUT,
        || true,
        |_| true,
    );
    let Body::Partial(first, mut rest) = answer.await?.into_body() else {
        panic!("a large answer in one part");
    };
    let mut length = first.len();
    while let Some(part) = rest.next().await {
        length += part?.len();
    }
    Ok(length)
}

/// Guards against large responses that lose a part.
#[test]
fn answer_large() {
    let address = serve_once(answer(&"x".repeat(3 * MAX_WHOLE_BYTES), ""), false);
    run(async {
        assert_eq!(read_streamed(address).await, Ok(3 * MAX_WHOLE_BYTES));
    });
}

/// Guards against a body without an end that fills the memory of the daemon, because a call
/// reads it whole.
#[test]
fn call_answer_endless() {
    let (ended, end) = mpsc::channel::<()>();
    let address = serve(move |listener| {
        let mut link = Link::accept(&listener);
        link.read().expect("a request");
        link.write("HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n");
        let part = "x".repeat(MAX_WHOLE_BYTES);
        for _ in 0..32 {
            link.write(&part);
        }
        // The rest comes after a time, which does not end the call. Fails once the test
        // has ended.
        let _ = end.recv();
    });
    run(async {
        let client = Client::new();
        let call = ask(&client, address, "/r");
        let answer = tokio::time::timeout(Duration::from_secs(5), call).await;
        assert_eq!(answer, Ok(Err(Failure::Broken)));
    });
    drop(ended);
}

/// Guards against answers to orders that fill the memory of a coordinator: each of many targets
/// could send as much as the log does.
#[test]
fn call_answer_above_limit() {
    let (ended, end) = mpsc::channel::<()>();
    let address = serve(move |listener| {
        for head in [
            "content-length: 1000000",
            "transfer-encoding: chunked",
            "x: y",
        ] {
            let mut link = Link::accept(&listener);
            link.read().expect("a request");
            link.write(&format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n"));
            let part = "x".repeat(100_000);
            match head.starts_with("transfer") {
                true => link.write(&format!("186a0\r\n{part}\r\n")),
                false => link.write(&part),
            }
            // The connection stays open until the next call.
            std::mem::forget(link);
        }
        // Fails once the test has ended.
        let _ = end.recv();
    });
    run(async {
        let client = Client::new().with_call_limit(64 << 10);
        for _ in 0..3 {
            let call = ask(&client, address, "/r");
            let answer = tokio::time::timeout(Duration::from_secs(5), call).await;
            assert_eq!(answer, Ok(Err(Failure::Broken)));
        }
    });
    drop(ended);
}

/// Guards against interim responses without an end, which are read for as long as the caller
/// waits. A few of them are skipped.
#[test]
fn call_interim_endless() {
    for (count, expected) in [(8, Ok("done".to_owned())), (1_000, Err(Failure::Broken))] {
        let address = serve(move |listener| {
            let mut link = Link::accept(&listener);
            link.read().expect("a request");
            let interim = "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n".repeat(count);
            // The client may have closed the connection.
            let _ = link.0.write_all(interim.as_bytes());
            let _ = link.0.write_all(answer("done", "").as_bytes());
        });
        run(async {
            let client = Client::new();
            assert_eq!(ask(&client, address, "/r").await, expected, "{count}");
        });
    }
}

/// Guards against a body of tiny chunks that takes the whole processor from other requests.
/// Without pauses, hundreds of thousands of chunks are read in a second.
#[test]
fn send_tiny_chunks_paced() {
    let address = serve(move |listener| {
        let mut link = Link::accept(&listener);
        link.read().expect("a request");
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let chunks = "1\r\nx\r\n".repeat(1_000);
        // Ends when the client has closed the connection.
        let mut is_open = link.0.write_all(head.as_bytes()).is_ok();
        while is_open {
            is_open = link.0.write_all(chunks.as_bytes()).is_ok();
        }
    });
    run(async {
        let client = Client::new();
        let sent = request("/r", b"x");
        let call = client.send(peer(address), sent, CONNECT_TIMEOUT, || true, |_| true);
        let mut call = std::pin::pin!(call);
        let started = Instant::now();
        let ended = tokio::time::timeout(Duration::from_secs(1), call.as_mut()).await;
        assert!(ended.is_err(), "the body has no end");
        // 128 chunks are read between two pauses of 4 ms.
        let most = 128 * (started.elapsed().as_millis() as usize / 4 + 1);
        let read = client.memory().held();
        assert!((1..=most).contains(&read), "{read} chunks, {most} at most");
    });
}

/// Guards against a response head without an end that a call reads for ever.
#[test]
fn call_head_endless() {
    for line in ["x: y\r\n".repeat(64), "y".repeat(512), "\r\n".repeat(256)] {
        let (stopped, stop) = mpsc::channel();
        let name = format!("{:?}", &line[..6]);
        let address = serve(move |listener| {
            let mut link = Link::accept(&listener);
            link.read().expect("a request");
            link.write("HTTP/1.1 200 OK\r\nx: ");
            let mut sent = 0;
            while sent < 64 * MAX_WHOLE_BYTES && link.0.write_all(line.as_bytes()).is_ok() {
                sent += line.len();
            }
            stopped.send(sent).expect("a waiting test");
        });
        run(async {
            let client = Client::new();
            let call = ask(&client, address, "/r");
            let answer = tokio::time::timeout(Duration::from_secs(5), call).await;
            assert_eq!(answer, Ok(Err(Failure::Broken)), "{name}");
            run_aborted_tasks().await;
        });
        let sent = stop.recv().expect("a server's report");
        assert!(
            sent < 64 * MAX_WHOLE_BYTES,
            "{name}: {sent} bytes were read"
        );
    }
}

/// Guards against a truncated large response that is returned as complete.
#[test]
fn answer_large_truncated() {
    for reset in [false, true] {
        let mut text = answer(&"x".repeat(3 * MAX_WHOLE_BYTES), "");
        text.truncate(2 * MAX_WHOLE_BYTES);
        let address = serve_once(text, reset);
        run(async {
            assert_eq!(read_streamed(address).await, Err(Failure::Broken));
        });
    }
}

/// Guards against a request that crosses the close of its idle connection: the
/// last 2 s of the idle timeout that a peer names are not used.
#[test]
fn keep_alive_named() {
    let address = serve_numbered("keep-alive: timeout=3\r\n");
    run(async {
        let client = Client::new();
        assert_eq!(ask(&client, address, "/r").await.as_deref(), Ok("0"));
        client.close_expired(clock::now() + 500);
        assert_eq!(ask(&client, address, "/r").await.as_deref(), Ok("0"));
        client.close_expired(clock::now() + 1_000);
        assert_eq!(ask(&client, address, "/r").await.as_deref(), Ok("1"));
    });
}

/// Guards against reuse of a connection whose peer names an idle timeout that is
/// not longer than the margin.
#[test]
fn keep_alive_short() {
    let address = serve_numbered("keep-alive: max=5, timeout=2\r\n");
    run(async {
        let client = Client::new();
        assert_eq!(ask(&client, address, "/r").await.as_deref(), Ok("0"));
        assert_eq!(ask(&client, address, "/r").await.as_deref(), Ok("1"));
    });
}

/// Guards against a panic at an idle timeout whose milliseconds overflow.
#[test]
fn keep_alive_beyond_range() {
    let result = std::panic::catch_unwind(|| {
        let address = serve_numbered("keep-alive: timeout=18446744073709551615\r\n");
        run(async {
            let client = Client::new();
            assert_eq!(ask(&client, address, "/r").await.as_deref(), Ok("0"));
        });
    });
    let result = result.map_err(|_| "the call panics".to_owned());
    known::conclude("keep_alive_beyond_range", result);
}

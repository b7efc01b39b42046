//! Servers that answer byte by byte as a test says, one thread each.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Longest time for which a server waits for bytes.
const LIMIT: Duration = Duration::from_secs(10);

/// A connection that a server accepted.
pub struct Link(pub TcpStream);

impl Link {
    /// Accepts the next connection.
    pub fn accept(listener: &TcpListener) -> Self {
        let (stream, _) = listener.accept().expect("a connection");
        stream
            .set_read_timeout(Some(LIMIT))
            .expect("a time limit for reads");
        Self(stream)
    }

    /// Reads a request with a `content-length`, and returns its path, or `None`
    /// if the connection ends before it.
    pub fn read(&mut self) -> Option<String> {
        let mut bytes = Vec::new();
        let end = loop {
            match bytes.windows(4).position(|four| four == b"\r\n\r\n") {
                Some(end) => break end + 4,
                None => bytes.push(self.byte()?),
            }
        };
        let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .map_or(0, |text| text.parse().expect("a length"));
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).ok()?;
        head.split(' ').nth(1).map(str::to_owned)
    }

    fn byte(&mut self) -> Option<u8> {
        let mut byte = [0];
        self.0.read_exact(&mut byte).ok()?;
        Some(byte[0])
    }

    /// Writes text. The peer may have closed the connection.
    pub fn write(&mut self, text: &str) {
        let _ = self.0.write_all(text.as_bytes());
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        socket2::SockRef::from(&self.0)
            .set_linger(Some(Duration::ZERO))
            .expect("an open socket");
    }
}

/// Returns an answer with a body and further header lines.
pub fn answer(body: &str, headers: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

/// Starts a server that runs `script`, and returns its address.
pub fn serve(script: impl FnOnce(TcpListener) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    std::thread::spawn(move || script(listener));
    address
}

//! A small HTTP/1.1 client with one connection that is kept open, so that the
//! load generator costs little.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest time for a connection to open.
const CONNECT: Duration = Duration::from_secs(1);

/// Buffer for answers, in bytes.
const BUFFER: usize = 64 << 10;

/// An answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Header lines.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1);
        let mut fields = lines.filter_map(|line| line.split_once(':'));
        let found = fields.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }
}

/// A request, written out once and sent many times.
#[derive(Clone, Debug)]
pub struct Call(Vec<u8>);

impl Call {
    /// Writes a request; `headers` are lines that end with `\r\n`.
    pub fn new(method: &str, path: &str, headers: &str, body: &[u8]) -> Self {
        let length = match body.is_empty() && method == "GET" {
            true => String::new(),
            false => format!("content-length: {}\r\n", body.len()),
        };
        let head = format!("{method} {path} HTTP/1.1\r\nhost: measure\r\n{headers}{length}\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        Self(bytes)
    }
}

/// A client of one address.
pub struct Caller {
    address: SocketAddr,
    timeout: Duration,
    stream: Option<TcpStream>,
    buffer: Vec<u8>,
    filled: usize,
}

impl Caller {
    /// Returns a client whose calls take at most about `timeout` each.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            stream: None,
            buffer: vec![0; BUFFER],
            filled: 0,
        }
    }

    /// Sends a request and reads the whole answer. The connection is dropped
    /// on every error.
    ///
    /// # Errors
    /// The connection failed or the answer was cut or not understood.
    pub fn call(&mut self, call: &Call) -> io::Result<Answer> {
        let result = self.exchange(call);
        let closes = |answer: &Answer| {
            let value = answer.header("connection");
            value.is_some_and(|value| value.eq_ignore_ascii_case("close"))
        };
        if result.as_ref().map_or(true, closes) {
            self.stream = None;
        }
        result
    }

    fn exchange(&mut self, call: &Call) -> io::Result<Answer> {
        self.filled = 0;
        let stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.connect()?,
        };
        let stream = self.stream.insert(stream);
        stream.write_all(&call.0)?;
        let end = loop {
            self.fill()?;
            if let Some(end) = find(&self.buffer[..self.filled], b"\r\n\r\n") {
                break end;
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let mut answer = Answer {
            status: status.ok_or(io::ErrorKind::InvalidData)?,
            head,
            body: Vec::new(),
        };
        self.buffer.copy_within(end + 4..self.filled, 0);
        self.filled -= end + 4;
        let length = answer.header("content-length");
        let length = length.and_then(|length| length.parse::<usize>().ok());
        match length {
            Some(length) => answer.body = self.take(length)?,
            None if answer.header("transfer-encoding").is_some() => {
                answer.body = self.chunks()?;
            }
            None => {}
        }
        Ok(answer)
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.address, CONNECT.min(self.timeout))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.timeout))?;
        stream.set_write_timeout(Some(self.timeout))?;
        Ok(stream)
    }

    fn fill(&mut self) -> io::Result<()> {
        let Some(stream) = &mut self.stream else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        if self.filled == self.buffer.len() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        match stream.read(&mut self.buffer[self.filled..])? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.filled += count;
                Ok(())
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        let mut body = Vec::with_capacity(length);
        loop {
            let count = self.filled.min(length - body.len());
            body.extend_from_slice(&self.buffer[..count]);
            self.buffer.copy_within(count..self.filled, 0);
            self.filled -= count;
            if body.len() == length {
                return Ok(body);
            }
            self.fill()?;
        }
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = loop {
                if let Some(end) = find(&self.buffer[..self.filled], b"\r\n") {
                    break self.take(end + 2)?;
                }
                self.fill()?;
            };
            let text = String::from_utf8_lossy(&line);
            let size = text.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let chunk = self.take(size + 2)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

//! The part of HTTP/1.1 that the stand-ins speak: messages with a length.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn response(status: u16) -> Self {
        Self {
            start: format!("HTTP/1.1 {status} Status"),
            ..Self::default()
        }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    pub fn with_body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut parts = self.start.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }

    fn encode(&self) -> Vec<u8> {
        let mut text = format!("{}\r\n", self.start);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut text = String::new();
    reader.read_line(&mut text)?;
    if !text.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(text.trim_end().to_owned())
}

pub fn read(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message {
        start: line(reader)?,
        ..Message::default()
    };
    loop {
        let text = line(reader)?;
        let Some((name, value)) = text.split_once(':') else {
            break;
        };
        let pair = (name.to_owned(), value.trim().to_owned());
        message.headers.push(pair);
    }
    let length = message.header("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

/// A server, which serves each connection in a thread of its own.
#[derive(Clone, Default)]
pub struct Server {
    ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves connections. The handler returns no response for a connection that is to be
    /// closed without one.
    pub fn start(
        listener: TcpListener,
        handler: impl Fn(Message) -> Option<Message> + Clone + Send + 'static,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let server = Self::default();
        let accepting = server.clone();
        std::thread::spawn(move || {
            while !accepting.has_ended() {
                match listener.accept() {
                    Ok((stream, _)) => accepting.serve(stream, handler.clone()),
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(server)
    }

    fn serve(
        &self,
        stream: TcpStream,
        handler: impl Fn(Message) -> Option<Message> + Send + 'static,
    ) {
        let copy = stream
            .set_nonblocking(false)
            .and_then(|()| stream.try_clone());
        if let Ok(copy) = copy {
            self.connections.lock().expect("connections").push(copy);
            std::thread::spawn(move || connection(stream, handler));
        }
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Closes the listener and all connections, as the end of a process does.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // The listener is closed once its thread has seen that.
        std::thread::sleep(Duration::from_millis(5));
        for stream in self.connections.lock().expect("connections").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn connection(stream: TcpStream, handler: impl Fn(Message) -> Option<Message>) {
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let (mut reader, mut writer) = (BufReader::new(copy), &stream);
    while let Ok(request) = read(&mut reader) {
        let response = handler(request);
        if !response.is_some_and(|response| writer.write_all(&response.encode()).is_ok()) {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Sends a request on a connection of its own.
pub fn call(address: SocketAddr, request: &Message, limit: Duration) -> io::Result<Message> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    let left = end.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    stream.write_all(&request.encode())?;
    read(&mut BufReader::new(stream))
}

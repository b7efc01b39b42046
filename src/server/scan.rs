//! Scans the bytes of a connection for contradicting framing headers.
//!
//! `hyper` prefers `transfer-encoding` over `content-length` and drops the
//! latter before a handler sees it. A proxy in front that prefers
//! `content-length` would take a part of such a body for a request (request
//! smuggling), so a request with both must be refused.

/// Prefix of a line that is kept, in bytes; enough for the longest header name
/// that is looked for, with its value.
const LINE_PREFIX_BYTES: usize = 64;

/// Framing of the first chunked request of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChunkedFraming {
    /// No chunked request was seen.
    Unseen,
    /// The request has no `content-length`.
    Valid,
    /// The request has a `content-length` too, or a `content-length` of it or
    /// of an earlier request could not be parsed.
    Ambiguous,
}

/// State of the scan.
#[derive(Clone, Copy)]
enum State {
    Head,
    /// Inside a body, with the number of its remaining bytes.
    Body(u64),
    Stopped,
}

/// Scanner that follows the requests of a connection until the first chunked
/// one, whose response ends the connection.
pub(super) struct Scan {
    state: State,
    line: [u8; LINE_PREFIX_BYTES],
    /// Length of the line so far in bytes, which may exceed the kept prefix.
    line_bytes: usize,
    empty_head: bool,
    chunked: bool,
    length: Option<u64>,
    result: ChunkedFraming,
}

impl Scan {
    pub(super) fn new() -> Self {
        Self {
            state: State::Head,
            line: [0; LINE_PREFIX_BYTES],
            line_bytes: 0,
            empty_head: true,
            chunked: false,
            length: None,
            result: ChunkedFraming::Unseen,
        }
    }

    /// Scans the next bytes of the connection, and returns the result so far.
    pub(super) fn feed(&mut self, mut data: &[u8]) -> ChunkedFraming {
        while !data.is_empty() {
            match self.state {
                State::Stopped => break,
                State::Body(remaining) => {
                    let skipped = remaining.min(data.len() as u64);
                    data = &data[skipped as usize..];
                    self.state = match remaining - skipped {
                        0 => State::Head,
                        remaining => State::Body(remaining),
                    };
                }
                State::Head => data = self.take_line(data),
            }
        }
        self.result
    }

    /// Consumes input up to the end of a line, and returns the rest.
    fn take_line<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        let end = data.iter().position(|byte| *byte == b'\n');
        let part = &data[..end.unwrap_or(data.len())];
        let free = &mut self.line[self.line_bytes.min(LINE_PREFIX_BYTES)..];
        let copied = free.len().min(part.len());
        free[..copied].copy_from_slice(&part[..copied]);
        self.line_bytes += part.len();
        let Some(end) = end else {
            return &[];
        };
        self.end_line();
        self.line_bytes = 0;
        &data[end + 1..]
    }

    /// Evaluates a complete line of a head.
    fn end_line(&mut self) {
        let complete = self.line_bytes <= LINE_PREFIX_BYTES;
        let line = &self.line[..self.line_bytes.min(LINE_PREFIX_BYTES)];
        if line.is_empty() || line == b"\r" {
            self.end_head();
            return;
        }
        self.empty_head = false;
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return;
        };
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.chunked = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            let text = std::str::from_utf8(value).unwrap_or("");
            match text.trim().parse() {
                Ok(length) if complete => self.length = Some(length),
                _ => self.stop(ChunkedFraming::Ambiguous),
            }
        }
    }

    /// Evaluates a complete head. Empty lines before it are skipped.
    fn end_head(&mut self) {
        if self.empty_head {
            return;
        }
        if self.chunked {
            let result = match self.length {
                None => ChunkedFraming::Valid,
                Some(_) => ChunkedFraming::Ambiguous,
            };
            self.stop(result);
            return;
        }
        self.state = match self.length.take() {
            None | Some(0) => State::Head,
            Some(length) => State::Body(length),
        };
        self.empty_head = true;
    }

    /// Ends the scan with a result.
    fn stop(&mut self, result: ChunkedFraming) {
        self.state = State::Stopped;
        self.result = result;
    }
}

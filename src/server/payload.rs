//! Bodies of requests.

use std::io::{self, Read};

use bytes::{Buf, Bytes};
use tokio::sync::mpsc;

/// Reason why a request's body can't be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is larger than this limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(u64),
    /// No piece of the body arrived within the read timeout.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// The connection was lost before the end of the body.
    #[error("the connection was lost before the end of the body")]
    Lost,
    /// The body's framing violates the protocol.
    #[error("the body is malformed")]
    Malformed,
}

impl BodyError {
    /// Returns the body error that an I/O error wraps, if any.
    pub fn of(error: &io::Error) -> Option<Self> {
        error.get_ref()?.downcast_ref().copied()
    }
}

impl From<BodyError> for io::Error {
    fn from(error: BodyError) -> Self {
        let kind = match error {
            BodyError::TooLarge(_) => io::ErrorKind::FileTooLarge,
            BodyError::TooSlow => io::ErrorKind::TimedOut,
            BodyError::Lost => io::ErrorKind::ConnectionAborted,
            BodyError::Malformed => io::ErrorKind::InvalidData,
        };
        Self::new(kind, error)
    }
}

/// A piece of a body that is passed from the I/O thread to a worker.
pub(super) enum Piece {
    Data(Bytes),
    End,
    Failed(BodyError),
}

/// Body of a request: in memory if it is small, or else read as it arrives.
pub struct Payload {
    buffer: Bytes,
    pieces: Option<mpsc::Receiver<Piece>>,
    error: Option<BodyError>,
    length: Option<u64>,
    limit: u64,
    read_bytes: u64,
}

impl Payload {
    /// Returns a body that is in memory as a whole.
    pub fn whole(data: impl Into<Bytes>) -> Self {
        let buffer = data.into();
        let length = Some(buffer.len() as u64);
        Self {
            buffer,
            pieces: None,
            error: None,
            length,
            limit: u64::MAX,
            read_bytes: 0,
        }
    }

    /// Returns a body that starts with `first` and goes on with `pieces`.
    pub(super) fn streamed(
        first: Bytes,
        pieces: mpsc::Receiver<Piece>,
        length: Option<u64>,
    ) -> Self {
        Self {
            buffer: first,
            pieces: Some(pieces),
            error: None,
            length,
            limit: u64::MAX,
            read_bytes: 0,
        }
    }

    /// Returns the length of the whole body in bytes if it is known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns the unread rest of the body if all of it is in memory.
    pub fn held(&self) -> Option<&Bytes> {
        match self.pieces {
            None if self.error.is_none() => Some(&self.buffer),
            _ => None,
        }
    }

    /// Limits the body to `bytes`; reading more fails with
    /// [`BodyError::TooLarge`].
    ///
    /// # Errors
    /// Returns [`BodyError::TooLarge`] if the known length is above the limit.
    pub fn limit(&mut self, bytes: u64) -> Result<(), BodyError> {
        self.limit = bytes;
        match self.length {
            Some(length) if length > bytes => Err(BodyError::TooLarge(bytes)),
            _ => Ok(()),
        }
    }

    /// Reads the rest of the body, up to the limit.
    ///
    /// # Errors
    /// Returns the error that prevents reading to the end.
    pub fn read_whole(&mut self) -> Result<Bytes, BodyError> {
        if self.held().is_some() {
            self.record_read(self.buffer.len())?;
            return Ok(std::mem::take(&mut self.buffer));
        }
        let mut data = Vec::new();
        while self.fill()? {
            self.record_read(self.buffer.len())?;
            data.extend_from_slice(&self.buffer);
            self.buffer.clear();
        }
        Ok(Bytes::from(data))
    }

    /// Adds to the bytes read and checks the limit.
    fn record_read(&mut self, bytes: usize) -> Result<(), BodyError> {
        self.read_bytes += bytes as u64;
        if self.read_bytes > self.limit {
            return Err(self.fail(BodyError::TooLarge(self.limit)));
        }
        Ok(())
    }

    /// Discards the body and makes later reads fail with `error`.
    fn fail(&mut self, error: BodyError) -> BodyError {
        self.buffer.clear();
        self.pieces = None;
        self.error = Some(error);
        error
    }

    /// Fills the buffer if it is empty; returns false at the end of the body.
    fn fill(&mut self) -> Result<bool, BodyError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        while self.buffer.is_empty() {
            let Some(pieces) = self.pieces.as_mut() else {
                return Ok(false);
            };
            match pieces.blocking_recv() {
                Some(Piece::Data(data)) => self.buffer = data,
                Some(Piece::End) => self.pieces = None,
                Some(Piece::Failed(error)) => return Err(self.fail(error)),
                None => return Err(self.fail(BodyError::Lost)),
            }
        }
        Ok(true)
    }
}

impl Read for Payload {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        if buf.is_empty() || !self.fill()? {
            return Ok(0);
        }
        let count = buf.len().min(self.buffer.len());
        self.record_read(count)?;
        buf[..count].copy_from_slice(&self.buffer[..count]);
        self.buffer.advance(count);
        Ok(count)
    }
}

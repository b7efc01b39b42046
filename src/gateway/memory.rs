//! Memory that responses take until their callers have read them.
//!
//! A response is read whole before it is forwarded, so that a target that breaks off can be
//! replaced by another one, and no caller's pace holds a slot of a target. That takes memory
//! for as long as the caller reads. The fuller the memory is, the smaller the responses are
//! that are read whole; larger ones are forwarded as the caller takes them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Largest response body that is read whole before it is forwarded, in bytes.
const MAX_WHOLE_BYTES: usize = 1 << 20;

/// Response body up to which it is always read whole, in bytes.
const MIN_WHOLE_BYTES: usize = 16 << 10;

/// One response may take one part in this many of the free memory.
const FREE_DIVISOR: usize = 8;

/// Count of the bytes of responses in memory, and their limit.
#[derive(Debug)]
pub struct ResponseMemory {
    held: AtomicUsize,
    limit: usize,
}

impl Default for ResponseMemory {
    /// Returns a count without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl ResponseMemory {
    /// Returns an empty count with a limit in bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            held: AtomicUsize::new(0),
            limit,
        }
    }

    /// Returns the bytes that responses take.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns whether responses take as much as they may, so that no further request should
    /// be sent to a target.
    pub fn is_full(&self) -> bool {
        self.held() >= self.limit
    }

    /// Returns the size in bytes above which a response body is not read whole now.
    pub fn whole_limit(&self) -> usize {
        let free = self.limit.saturating_sub(self.held());
        (free / FREE_DIVISOR).clamp(MIN_WHOLE_BYTES, MAX_WHOLE_BYTES)
    }

    /// Returns `bytes`, which are counted until the last copy of them is dropped.
    pub fn hold(self: &Arc<Self>, bytes: Bytes) -> Bytes {
        let mut share = Share::new(self);
        share.add(bytes.len());
        share.hold(bytes)
    }
}

/// Part of a count that one response takes, until it is dropped.
#[derive(Debug)]
pub(crate) struct Share {
    memory: Arc<ResponseMemory>,
    bytes: usize,
}

impl Share {
    /// Returns an empty part of `memory`.
    pub(crate) fn new(memory: &Arc<ResponseMemory>) -> Self {
        Self {
            memory: Arc::clone(memory),
            bytes: 0,
        }
    }

    /// Counts further bytes.
    pub(crate) fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.memory.held.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns `bytes`, and keeps this part until the last copy of them is dropped.
    pub(crate) fn hold(self, bytes: Bytes) -> Bytes {
        match bytes.is_empty() {
            true => bytes,
            false => Bytes::from_owner(Held {
                bytes,
                _share: self,
            }),
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.memory.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes with the part of the count that they take.
struct Held {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

//! Pace of reading a response whose body comes in tiny parts.

use std::time::Duration;

/// Parts after which their mean size is looked at.
const BATCH_PARTS: u32 = 128;

/// Mean size of parts, in bytes, from which on they are read without pauses.
const MIN_MEAN_BYTES: usize = 64;

/// Pause after a batch of smaller parts. Each part costs some microseconds whatever its size,
/// so that a body of chunks of one byte would take a whole core from all other requests.
const PAUSE: Duration = Duration::from_millis(4);

/// Parts that were read since the last look at their size.
#[derive(Debug, Default)]
pub(super) struct Pace {
    parts: u32,
    bytes: usize,
}

impl Pace {
    /// Counts a part of `bytes` bytes, and pauses if parts are tiny. Meanwhile the peer is held
    /// back by the connection's buffers.
    pub(super) async fn on_part(&mut self, bytes: usize) {
        self.parts += 1;
        self.bytes += bytes;
        if self.parts < BATCH_PARTS {
            return;
        }
        let is_tiny = self.bytes < BATCH_PARTS as usize * MIN_MEAN_BYTES;
        *self = Self::default();
        if is_tiny {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

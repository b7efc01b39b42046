//! Digest by which daemons recognise the same request.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest as _, Sha256};

/// Bytes at each end of a long body that are hashed. The daemon has one thread, which
/// could not serve other requests while it hashed the longest bodies whole.
const BODY_END_BYTES: usize = 64 * 1024;

/// Hexadecimal digits of a digest as text.
const TEXT_DIGITS: usize = 16;

/// Digest of a request: 64 bits of SHA-256 over all that makes two requests the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub u64);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The text is no digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a digest has 16 hexadecimal digits")]
pub struct InvalidDigest;

impl FromStr for Digest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Self, InvalidDigest> {
        let is_digit = |byte: u8| byte.is_ascii_hexdigit();
        if text.len() != TEXT_DIGITS || !text.bytes().all(is_digit) {
            return Err(InvalidDigest);
        }
        let number = u64::from_str_radix(text, 16).map_err(|_| InvalidDigest)?;
        Ok(Self(number))
    }
}

/// What makes two requests the same. Headers don't count: the identifier and the deadline
/// differ between attempts.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'r> {
    /// Method.
    pub method: &'r http::Method,
    /// Host as the caller names it. Case and port don't count.
    pub host: &'r str,
    /// Path and query.
    pub uri: &'r http::Uri,
    /// Key, if the service is keyed.
    pub key: Option<u16>,
    /// Complete body.
    pub body: &'r [u8],
}

impl Subject<'_> {
    /// Returns the digest. Of a body of more than 128 KiB, it covers the length and the
    /// first and last 64 KiB.
    pub fn digest(&self) -> Digest {
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let key = self.key.map(u16::to_be_bytes);
        let mut hasher = Sha256::new();
        // Each field is preceded by its length, so that no two lists of fields yield the
        // same bytes.
        let mut add = |field: &[u8]| {
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        };
        add(self.method.as_str().as_bytes());
        add(host_name(self.host).to_ascii_lowercase().as_bytes());
        add(path.as_bytes());
        add(key.as_ref().map_or(&[][..], <[u8; 2]>::as_slice));
        add(&(self.body.len() as u64).to_be_bytes());
        if self.body.len() <= 2 * BODY_END_BYTES {
            add(self.body);
        } else {
            add(&self.body[..BODY_END_BYTES]);
            add(&self.body[self.body.len() - BODY_END_BYTES..]);
        }
        let hash = hasher.finalize();
        let first = hash.iter().take(size_of::<u64>());
        Digest(first.fold(0, |number, byte| (number << 8) | u64::from(*byte)))
    }
}

/// Returns a host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

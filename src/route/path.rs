//! Normalization of request paths: percent-decoding and rejection of ambiguous paths.

use std::borrow::Cow;

/// Error for a path that two servers could interpret differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ambiguous;

/// Returns the normalized form of `path`, against which routes are matched.
///
/// Encoded slashes stay encoded as `%2F`, so that they don't separate
/// segments, and an encoded percent sign as `%25`; everything else is decoded.
///
/// # Errors
/// Returns [`Ambiguous`] for a path without a leading `/`, with a backslash,
/// plain or encoded, with an encoded NUL or a malformed escape, with segments `.`
/// or `..`, or with an empty segment before the last one. Targets may interpret these differently and
/// serve the path of another route.
pub fn normalize(path: &str) -> Result<Cow<'_, [u8]>, Ambiguous> {
    let bytes = path.as_bytes();
    if bytes.first() != Some(&b'/') || bytes.contains(&b'\\') {
        return Err(Ambiguous);
    }
    let decoded = match bytes.contains(&b'%') {
        true => Cow::Owned(decode(bytes, true)?),
        false => Cow::Borrowed(bytes),
    };
    let mut segments = decoded[1..].split(|&byte| byte == b'/').peekable();
    while let Some(segment) = segments.next() {
        let empty = segment.is_empty() && segments.peek().is_some();
        if empty || segment == b"." || segment == b".." {
            return Err(Ambiguous);
        }
    }
    Ok(decoded)
}

/// Decodes the slashes and percent signs that [`normalize`] left encoded.
///
/// Returns the input unchanged if it can't be decoded.
pub fn decode_fully(segment: &[u8]) -> Cow<'_, [u8]> {
    if !segment.contains(&b'%') {
        return Cow::Borrowed(segment);
    }
    decode(segment, false).map_or(Cow::Borrowed(segment), Cow::Owned)
}

/// Decodes percent escapes; with `keep_reserved`, slashes and percent signs stay encoded.
fn decode(bytes: &[u8], keep_reserved: bool) -> Result<Vec<u8>, Ambiguous> {
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut remaining = bytes;
    while let Some((&byte, tail)) = remaining.split_first() {
        remaining = tail;
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let (&[high, low], tail) = remaining.split_first_chunk().ok_or(Ambiguous)?;
        remaining = tail;
        match hex_digit(high)? << 4 | hex_digit(low)? {
            b'/' if keep_reserved => decoded.extend_from_slice(b"%2F"),
            // A decoded percent sign would look like an escape in `decode_fully`.
            b'%' if keep_reserved => decoded.extend_from_slice(b"%25"),
            b'\\' | 0 => return Err(Ambiguous),
            byte => decoded.push(byte),
        }
    }
    Ok(decoded)
}

fn hex_digit(byte: u8) -> Result<u8, Ambiguous> {
    let value = char::from(byte).to_digit(16).ok_or(Ambiguous)?;
    Ok(value as u8)
}

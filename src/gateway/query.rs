//! Query parameters of requests on the admin port.

use crate::finding;

/// Decoded query parameters of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    pairs: Vec<(String, String)>,
}

impl Query {
    /// Parses the query of a request for `page`, which accepts the parameters
    /// `names`.
    ///
    /// # Errors
    /// Returns a finding for each parameter that is unknown, repeated, or wrongly
    /// encoded.
    pub fn parse(
        page: &str,
        text: Option<&str>,
        names: &[&str],
    ) -> Result<Self, finding::Findings> {
        let mut findings = finding::Findings::default();
        let mut pairs: Vec<(String, String)> = Vec::new();
        let parts = text.unwrap_or_default().split('&');
        for part in parts.filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once('=').unwrap_or((part, ""));
            let place = format!("{page}, parameter {name}");
            if !names.contains(&name) {
                findings.add(place, expected(names), format!("{name:?}"));
            } else if pairs.iter().any(|(known, _)| known == name) {
                findings.add(place, "one value", "a second one");
            } else if let Some(value) = decode(value) {
                pairs.push((name.to_owned(), value));
            } else {
                let encoding = "UTF-8 text with bytes written as %XX";
                findings.add(place, encoding, format!("{value:?}"));
            }
        }
        findings.into_result(Self { pairs })
    }

    /// Returns the value of a parameter, or `None` if it is absent.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut pairs = self.pairs.iter();
        let (_, value) = pairs.find(|(known, _)| known == name)?;
        Some(value)
    }
}

/// Describes the parameters that a page accepts.
fn expected(names: &[&str]) -> String {
    match names {
        [] => "no parameters".to_owned(),
        names => format!("one of {}", names.join(", ")),
    }
}

/// Decodes percent-encoded text; returns `None` if an escape is faulty or the
/// result is not UTF-8.
fn decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        rest = tail;
        if first != b'%' {
            bytes.push(first);
            continue;
        }
        let digits = std::str::from_utf8(tail.get(..2)?).ok()?;
        if !digits.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return None;
        }
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &tail[2..];
    }
    String::from_utf8(bytes).ok()
}

/// Percent-encodes a value for use in a query.
pub fn encode(value: &str) -> String {
    let mut text = String::with_capacity(value.len());
    for byte in value.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b'/' => {
                text.push(char::from(byte));
            }
            _ => text.push_str(&format!("%{byte:02X}")),
        }
    }
    text
}

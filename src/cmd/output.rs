//! How commands print: text for people, JSON for programs.

use serde::Serialize;
use serde_json::json;

use crate::cmd;

/// How a command prints what it found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    Text,
    /// One JSON document, or one per line where a command prints a sequence.
    Json,
}

impl Format {
    /// Prints `value` as JSON, or what `text` writes.
    pub fn print<T: Serialize>(self, value: &T, text: impl FnOnce(&T) -> String) {
        match self {
            Self::Json => println!("{}", json(value)),
            Self::Text => print!("{}", text(value)),
        }
    }
}

/// Writes a value as one line of JSON.
pub(super) fn json(value: &impl Serialize) -> String {
    // The types that are printed have no keys but text, so that this can't fail.
    serde_json::to_string(value)
        .unwrap_or_else(|error| json!({"error": error.to_string()}).to_string())
}

/// Writes a failure as one line of JSON.
pub fn failure(error: &cmd::Error) -> String {
    let findings = match error {
        cmd::Error::Findings(findings) => findings.0.as_slice(),
        _ => &[],
    };
    let findings = findings.iter().map(|finding| {
        json!({"place": finding.place, "expected": finding.expected, "found": finding.found})
    });
    let findings: Vec<_> = findings.collect();
    let text = error.to_string();
    json!({"error": text, "exit_code": error.exit_code(), "findings": findings}).to_string()
}

/// Lays out rows under a head, each column as wide as its widest cell.
pub(super) fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<_> = head.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let mut line = String::new();
        for (cell, width) in cells.zip(&widths) {
            line.push_str(&format!("{cell:<width$}  "));
        }
        format!("{}\n", line.trim_end())
    };
    let mut text = line(&mut head.iter().copied());
    for row in rows {
        text.push_str(&line(&mut row.iter().map(String::as_str)));
    }
    text
}

/// Writes a wall-clock time in milliseconds since 1970 as UTC.
pub(super) fn time(millis: u64) -> String {
    let time = std::time::UNIX_EPOCH + std::time::Duration::from_millis(millis);
    humantime::format_rfc3339_millis(time).to_string()
}

//! Findings about input: each names a place, and all are reported together.

use std::fmt;
use std::path::Path;

/// One fault in the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// File and JSON pointer, or another place that the reader can look up.
    pub place: String,
    /// What was expected there.
    pub expected: String,
    /// What was found there.
    pub found: String,
}

/// Longest text of a finding in a log line, in characters.
const MAX_SUMMARY_CHARS: usize = 400;

impl Finding {
    /// Returns the text, shortened for a log line: what was found may be a value of a
    /// megabyte.
    pub fn summary(&self) -> String {
        let text = self.to_string();
        match text.char_indices().nth(MAX_SUMMARY_CHARS) {
            Some((end, _)) => format!("{}...", &text[..end]),
            None => text,
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            place,
            expected,
            found,
        } = self;
        write!(f, "{place}: expected {expected}, found {found}")
    }
}

/// All faults found in one input.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a finding.
    pub fn add(
        &mut self,
        place: impl Into<String>,
        expected: impl Into<String>,
        found: impl Into<String>,
    ) {
        self.0.push(Finding {
            place: place.into(),
            expected: expected.into(),
            found: found.into(),
        });
    }

    /// Returns `Ok(value)` if nothing was found.
    ///
    /// # Errors
    /// Returns all findings otherwise.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

/// Reads a text file whose content is to be checked.
///
/// # Errors
/// Returns a finding that names the file if it can't be read.
pub fn read_file(path: &Path) -> Result<String, Findings> {
    std::fs::read_to_string(path).map_err(|error| {
        let mut findings = Findings::default();
        findings.add(
            path.display().to_string(),
            "a readable file",
            error.to_string(),
        );
        findings
    })
}

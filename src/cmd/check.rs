//! `check`: checks settings files and intents without starting anything.

use std::path::{Path, PathBuf};

use serde_json::json;

use crate::admin::intent;
use crate::cmd;
use crate::finding;
use crate::settings;

/// Checks each file and reports all findings together. A JSON list, or an
/// object with a field `changes`, is checked as an intent; everything else as
/// settings.
///
/// # Errors
/// Returns every finding with its file and place.
pub fn run(paths: &[PathBuf], format: cmd::Format) -> Result<(), cmd::Error> {
    let mut all = finding::Findings::default();
    let mut good = Vec::new();
    for path in paths {
        match file(path) {
            Ok(kind) => good.push((path.display().to_string(), kind)),
            Err(findings) => all.0.extend(findings.0),
        }
    }
    all.into_result(())?;
    let list = good
        .iter()
        .map(|(file, kind)| json!({"file": file, "kind": kind}));
    let list: Vec<_> = list.collect();
    format.print(&list, |_| {
        let lines = good.iter();
        let lines = lines.map(|(file, kind)| format!("{file}: no findings ({kind})\n"));
        lines.collect()
    });
    Ok(())
}

/// Checks one file and says what it was taken for, `intent` or `settings`.
///
/// # Errors
/// Returns every finding with its file and place.
pub fn file(path: &Path) -> Result<&'static str, finding::Findings> {
    let place = path.display().to_string();
    let text = finding::read_file(path)?;
    if is_intent(&text) {
        intent::Intent::parse(&place, &text).map(|_| "intent")
    } else {
        settings::parse(&place, &text).map(|_| "settings")
    }
}

fn is_intent(text: &str) -> bool {
    let document: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
    document.is_array() || document.get("changes").is_some()
}

//! Findings about settings files of the gateway, one case per file.
//!
//! To add a case, write the settings to `tests/gateway_settings/NAME.json` and the
//! expected findings to `tests/gateway_settings/NAME.txt`, one per line, with the
//! file's name but without its folder; an empty file means no findings.
//! `cargo test --test gateway_settings` then prints any difference.
//!
//! The cases guard against faulty settings that are accepted, and against findings
//! that lack the file, the place, the expected value or the value found.

#[path = "support/known.rs"]
mod known;

use std::path::Path;

use pistachiomoor::gateway::settings;

fn load_file(path: &Path) -> datatest_stable::Result<()> {
    let expected = std::fs::read_to_string(path.with_extension("txt"))?;
    let folder = format!("{}/", path.parent().ok_or("no folder")?.display());
    let found = match settings::load(path) {
        Ok(_) => String::new(),
        Err(findings) => findings.to_string().replace(&folder, ""),
    };
    let result = match found.trim() == expected.trim() {
        true => Ok(()),
        false => Err(format!("expected:\n{expected}\nfound:\n{found}\n")),
    };
    let stem = path.file_stem().unwrap_or_default().to_string_lossy();
    known::conclude(&format!("gateway_settings {stem}"), result);
    Ok(())
}

datatest_stable::harness! {
    { test = load_file, root = "tests/gateway_settings", pattern = r"\.json$" },
}

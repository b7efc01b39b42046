//! Reading and checking a settings file.

use std::net::SocketAddr;
use std::path::Path;

use crate::finding;
use crate::logging;
use crate::settings::Settings;

/// Reads the settings file at `path` and checks it.
///
/// # Errors
/// Returns every finding with its file and JSON pointer.
pub fn load(path: &Path) -> Result<Settings, finding::Findings> {
    let place = path.display().to_string();
    let text = finding::read_file(path)?;
    parse(&place, &text)
}

/// Parses and checks the text of a settings file named `place`.
///
/// # Errors
/// Returns every finding with its file and JSON pointer.
pub fn parse(place: &str, text: &str) -> Result<Settings, finding::Findings> {
    let mut findings = finding::Findings::default();
    let mut reader = serde_json::Deserializer::from_str(text);
    let settings: Settings = match serde_path_to_error::deserialize(&mut reader) {
        Ok(settings) => settings,
        Err(error) => {
            let pointer = pointer(error.path());
            let inner = error.inner();
            findings.add(
                format!("{place}:{}:{} {pointer}", inner.line(), inner.column()),
                "valid settings",
                inner.to_string(),
            );
            return Err(findings);
        }
    };
    if let Err(error) = reader.end() {
        findings.add(place, "the end of the file", error.to_string());
    }
    check(place, &settings, &mut findings);
    findings.into_result(settings)
}

/// Writes a path within a document as a JSON pointer.
fn pointer(path: &serde_path_to_error::Path) -> String {
    use serde_path_to_error::Segment;
    let mut text = String::new();
    for segment in path.iter() {
        text.push('/');
        match segment {
            Segment::Seq { index } => text.push_str(&index.to_string()),
            Segment::Map { key } => text.push_str(&key.replace('~', "~0").replace('/', "~1")),
            Segment::Enum { variant } => text.push_str(variant),
            Segment::Unknown => text.push('?'),
        }
    }
    text
}

fn check(place: &str, settings: &Settings, findings: &mut finding::Findings) {
    check_names(place, settings, findings);
    check_listen(place, settings, findings);
    check_limits(place, settings, findings);
    let policy = &settings.policy;
    if !(0.0..=100.0).contains(&policy.extra_percent) {
        let found = policy.extra_percent.to_string();
        findings.add(format!("{place} /policy/extra_percent"), "0 to 100", found);
    }
    at_least(
        place,
        "/policy/target_queue",
        policy.target_queue as u64,
        1,
        findings,
    );
    if !logging::LEVELS.contains(&settings.logs.level.as_str()) {
        let found = format!("{:?}", settings.logs.level);
        findings.add(
            format!("{place} /logs/level"),
            format!("one of {:?}", logging::LEVELS),
            found,
        );
    }
}

fn check_names(place: &str, settings: &Settings, findings: &mut finding::Findings) {
    let names = [
        ("/host", settings.host.as_str()),
        ("/domain", settings.domain.as_str()),
        ("/region", settings.region.as_str()),
    ];
    for (pointer, name) in names {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || !name.chars().all(allowed) {
            let expected = "a name of ASCII letters, digits, '-', '_' and '.'";
            findings.add(format!("{place} {pointer}"), expected, format!("{name:?}"));
        }
    }
}

fn check_listen(place: &str, settings: &Settings, findings: &mut finding::Findings) {
    let listen = &settings.listen;
    let addrs: [(&str, SocketAddr); 3] = [
        ("/listen/caller", listen.caller),
        ("/listen/peer", listen.peer),
        ("/listen/admin", listen.admin),
    ];
    for (i, (pointer, addr)) in addrs.iter().enumerate() {
        let place = format!("{place} {pointer}");
        if addr.ip().is_unspecified() {
            findings.add(
                &place,
                "the host's own IP number, which other daemons can reach",
                addr.to_string(),
            );
        }
        if addr.port() == 0 {
            findings.add(&place, "a fixed port", addr.to_string());
        }
        if let Some((other, _)) = addrs[..i].iter().find(|(_, before)| before == addr) {
            findings.add(
                &place,
                format!("an address that differs from {other}"),
                addr.to_string(),
            );
        }
    }
}

fn check_limits(place: &str, settings: &Settings, findings: &mut finding::Findings) {
    let limits = &settings.limits;
    let bounds = [
        ("/limits/connections", limits.connections as u64, 1),
        ("/limits/head_ms", limits.head_ms, 10),
        ("/limits/body_ms", limits.body_ms, 10),
        ("/limits/idle_ms", limits.idle_ms, 10),
        ("/limits/head_bytes", limits.head_bytes as u64, 8 << 10),
        ("/limits/workers", limits.workers as u64, 1),
        ("/limits/peer_workers", limits.peer_workers as u64, 1),
        ("/limits/queue", limits.queue as u64, 1),
        ("/limits/drain_ms", limits.drain_ms, 1),
    ];
    for (pointer, value, least) in bounds {
        at_least(place, pointer, value, least, findings);
    }
}

fn at_least(place: &str, pointer: &str, value: u64, least: u64, findings: &mut finding::Findings) {
    if value < least {
        findings.add(
            format!("{place} {pointer}"),
            format!("at least {least}"),
            value.to_string(),
        );
    }
}

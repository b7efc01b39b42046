//! Parameters of the gateway's `explain` page, and its list of recent requests.

use pistachiomoor::gateway::exchange::explain;
use pistachiomoor::gateway::recent;

/// Guards against invalid parameters that are replaced by defaults, and against an
/// error that names only the first invalid one.
#[test]
fn question_invalid() {
    let parse = |host, path, key| explain::Question::new("/p", host, path, key);
    let valid = parse(Some("app.test"), Some("/a"), Some("65535"));
    assert_eq!(valid.expect("valid parameters").key, Some(65_535));
    let findings = parse(None, Some("a"), Some("65536")).expect_err("three findings");
    let text = "/p, parameter host: expected the host that a request names, found nothing\n\
        /p, parameter path: expected a path that begins with a slash, found \"a\"\n\
        /p, parameter key: expected a number from 0 to 65535, found \"65536\"";
    assert_eq!(findings.to_string(), text);
}

/// Guards against a list of recent requests that grows without limit, and against
/// a lookup that finds only one of two requests with the same identifier.
#[test]
fn recent_bounded() {
    let ring = recent::Ring::default();
    let entry = |request: String, ms| recent::Entry {
        request,
        time: 0,
        version: Some(1),
        route: "r".to_owned(),
        outcome: "refused".to_owned(),
        status: Some(503),
        reason: String::new(),
        ms,
        attempts: Vec::new(),
        dropped_attempts: 0,
    };
    for ms in 0..1_000 {
        ring.add(entry(format!("r{}", ms / 2), ms));
    }
    assert_eq!(ring.all().len(), 400);
    assert!(ring.find("r0").is_empty());
    let found: Vec<_> = ring.find("r499").iter().map(|entry| entry.ms).collect();
    assert_eq!(found, [999, 998]);
}

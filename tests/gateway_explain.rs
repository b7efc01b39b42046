//! Questions to a gateway daemon about requests.

use pistachiomoor::gateway::exchange::explain;
use pistachiomoor::gateway::recent;

/// Guards against faulty questions that are answered for another request, and
/// against an error that names only the first fault.
#[test]
fn question_faulty() {
    let ask = |host, path, key| explain::Question::new("/p", host, path, key);
    let good = ask(Some("app.test"), Some("/a"), Some("65535"));
    assert_eq!(good.expect("a question").key, Some(65_535));
    let findings = ask(None, Some("a"), Some("65536")).expect_err("three faults");
    let text = "/p, parameter host: expected the host that a request names, found nothing\n\
        /p, parameter path: expected a path that begins with a slash, found \"a\"\n\
        /p, parameter key: expected a number from 0 to 65535, found \"65536\"";
    assert_eq!(findings.to_string(), text);
}

/// Guards against memory that grows with failed requests, and against an
/// identifier used twice that hides one of its requests.
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
        more: 0,
    };
    for ms in 0..1_000 {
        ring.add(entry(format!("r{}", ms / 2), ms));
    }
    assert_eq!(ring.all().len(), 400);
    assert!(ring.find("r0").is_empty());
    let found: Vec<_> = ring.find("r499").iter().map(|entry| entry.ms).collect();
    assert_eq!(found, [999, 998]);
}

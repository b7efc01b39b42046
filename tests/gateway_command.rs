//! Text output of subcommands for a gateway daemon's responses.

use pistachiomoor::cmd::{self, explain, gateway};

/// Guards against an explanation that omits why a target gets no requests.
#[test]
fn explanation_left_out() {
    let candidate = |name: &str, exclusion: Option<&str>| {
        serde_json::json!({
            "target": name, "domain": "d", "estimate_ms": 12.5, "requests": 1.0, "slots": 4,
            "left_out": exclusion,
        })
    };
    let explanation = serde_json::from_value(serde_json::json!({
        "daemon": "h0", "version": 3, "refused": null,
        "route": {
            "name": "read", "prefix": "/read/", "kind": "idempotent", "objective_ms": 150,
            "attempts": 3, "regions": ["north"],
        },
        "services": [{
            "service": "plain", "weight": 1.0, "owner": null, "result": "goes to t0",
            "candidates": [candidate("t0", None), candidate("t1", Some("domain_out"))],
        }],
    }));
    let text = gateway::explanation_text(&explanation.expect("an explanation"));
    let expected = "as h0 knows it, configuration 3\n\
        route: read (/read/), objective 150 ms, at most 3 attempts, regions: north\n\
        service plain, weight 1: goes to t0\n\
        TARGET  DOMAIN  ESTIMATE MS  REQUESTS  LEFT OUT\n\
        t0      d       12.5         1.0 of 4\n\
        t1      d       12.5         1.0 of 4  domain_out\n";
    assert_eq!(text, expected);
}

/// Guards against a tenant that a question to a gateway silently ignores.
#[test]
fn question_tenant_at_gateway() {
    let place = |host: Option<&str>, tenant: Option<&str>| {
        let owned = |text: Option<&str>| text.map(str::to_owned);
        explain::Question::place(owned(host), "/a".to_owned(), None, owned(tenant))
    };
    assert!(place(Some("h"), None).is_ok() && place(None, Some("t")).is_ok());
    let error = cmd::Error::from(place(Some("h"), Some("t")).expect_err("both"));
    assert_eq!(error.exit_code(), cmd::FAULTY_INPUT);
    assert!(error.to_string().contains("--tenant: expected no tenant"));
}

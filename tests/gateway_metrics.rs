//! Metrics of a gateway daemon.

use pistachiomoor::gateway::trace::Outcome;
use pistachiomoor::gateway::{catalog, counters, dialect, steward};

fn configuration(version: u64, routes: &[&str]) -> catalog::Catalog {
    let route = |name: &&str| dialect::Route {
        name: (*name).into(),
        host: "app.test".into(),
        prefix: format!("/{name}/").into(),
        kind: dialect::Kind::Idempotent,
        backends: Vec::new(),
        timeout: None,
        objective: 100,
        attempts: 1,
        priority: 0,
        regions: Vec::new(),
    };
    catalog::Catalog::new(dialect::Revision {
        version,
        routes: routes.iter().map(route).collect(),
        ..Default::default()
    })
}

#[track_caller]
fn assert_line(text: &str, line: &str) {
    assert!(text.lines().any(|l| l == line), "{line} not in\n{text}");
}

/// Guards against metrics that operators read and that change their names.
#[test]
fn render_names() {
    let metrics = counters::Counters::default();
    counters::count(&metrics.requests);
    let text = metrics.render(counters::Standing::default());
    assert_line(&text, "gateway_requests_total 1");
    let kept = [
        "answered",
        "refused",
        "unknown",
        "abandoned",
        "cut",
        "retries",
        "log_calls",
        "log_failures",
        "orders",
    ];
    for name in kept {
        assert_line(&text, &format!("gateway_{name}_total 0"));
    }
    assert_line(&text, "gateway_running 0");
}

/// Guards against counts that begin anew with each configuration, and against
/// memory that grows with routes that come and go.
#[test]
fn routes_replaced() {
    let metrics = counters::Counters::default();
    metrics.set_routes(&configuration(1, &["kept", "gone"]));
    metrics.on_request("kept", Outcome::Answered, 30);
    metrics.on_request("gone", Outcome::Answered, 30);
    for version in 2..50 {
        let passing = format!("passing-{version}");
        metrics.set_routes(&configuration(version, &["kept", &passing]));
    }
    metrics.on_request("gone", Outcome::Refused, 30);
    let text = metrics.render(counters::Standing::default());
    let answered = r#"gateway_route_requests_total{route="kept",outcome="answered"} 1"#;
    assert_line(&text, answered);
    assert_line(&text, r#"gateway_route_seconds_count{route="kept"} 1"#);
    assert_line(
        &text,
        r#"gateway_route_seconds_bucket{le="0.04",route="kept"} 1"#,
    );
    assert!(!text.contains(r#"route="gone""#), "{text}");
    assert_eq!(text.matches("gateway_route_seconds_count").count(), 2);
}

/// Guards against calls and orders whose failures can't be told apart.
#[test]
fn outcomes_told_apart() {
    let metrics = counters::Counters::default();
    let topic = dialect::Topic::Table;
    metrics.on_call(topic, dialect::Appended::Moved(Default::default()));
    metrics.on_call(topic, counters::CallOutcome::Silent);
    metrics.on_order(counters::OrderKind::Grant, &steward::Reply::Fenced);
    let text = metrics.render(counters::Standing::default());
    for outcome in ["moved", "silent"] {
        let name = r#"gateway_log_results_total{topic="table","#;
        assert_line(&text, &format!(r#"{name}outcome="{outcome}"}} 1"#));
    }
    let order = r#"gateway_order_results_total{kind="grant",outcome="fenced"} 1"#;
    assert_line(&text, order);
}

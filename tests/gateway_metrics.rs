//! Metrics of a gateway daemon.

use pistachiomoor::gateway::trace::Outcome;
use pistachiomoor::gateway::{adapter, catalog, coordinator, counters};

fn configuration(version: u64, routes: &[&str]) -> catalog::Catalog {
    let route = |name: &&str| adapter::Route {
        name: (*name).into(),
        host: "app.test".into(),
        prefix: format!("/{name}/").into(),
        kind: adapter::RequestKind::Idempotent,
        backends: Vec::new(),
        timeout_ms: None,
        objective_ms: 100,
        attempts: 1,
        priority: 0,
        regions: Vec::new(),
    };
    catalog::Catalog::new(adapter::Revision {
        version,
        routes: routes.iter().map(route).collect(),
        ..Default::default()
    })
}

#[track_caller]
fn assert_line(text: &str, line: &str) {
    assert!(text.lines().any(|l| l == line), "{line} not in\n{text}");
}

/// Guards against changed names of metrics, on which operators' tools depend.
#[test]
fn render_names() {
    let metrics = counters::Counters::default();
    counters::increment(&metrics.requests);
    let text = metrics.render(counters::GaugeValues::default());
    assert_line(&text, "gateway_requests_total 1");
    let names = [
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
    for name in names {
        assert_line(&text, &format!("gateway_{name}_total 0"));
    }
    assert_line(&text, "gateway_running 0");
}

/// Guards against counters that are reset by a new configuration, and against
/// unbounded memory as routes are added and removed.
#[test]
fn routes_replaced() {
    let metrics = counters::Counters::default();
    metrics.set_routes(&configuration(1, &["kept", "gone"]));
    metrics.on_request("kept", Outcome::Answered, 30);
    metrics.on_request("gone", Outcome::Answered, 30);
    for version in 2..50 {
        let temporary = format!("passing-{version}");
        metrics.set_routes(&configuration(version, &["kept", &temporary]));
    }
    metrics.on_request("gone", Outcome::Refused, 30);
    let text = metrics.render(counters::GaugeValues::default());
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

/// Guards against failures of calls and orders that share one label.
#[test]
fn outcomes_distinct() {
    let metrics = counters::Counters::default();
    let topic = adapter::Topic::Table;
    metrics.on_call(topic, adapter::AppendOutcome::Conflict(Default::default()));
    metrics.on_call(topic, counters::CallOutcome::NoResponse);
    metrics.on_order(
        counters::OrderKind::Grant,
        &coordinator::OrderOutcome::Fenced,
    );
    metrics.on_freed(coordinator::Evidence::Released);
    let restored: Result<(), _> = Err(adapter::ReadError::Restored(3));
    metrics.on_call(topic, &restored);
    let values = counters::GaugeValues {
        log_era: 3,
        ..counters::GaugeValues::default()
    };
    let text = metrics.render(values);
    assert_line(&text, "gateway_log_era 3");
    for outcome in ["moved", "silent", "restored"] {
        let name = r#"gateway_log_results_total{topic="table","#;
        assert_line(&text, &format!(r#"{name}outcome="{outcome}"}} 1"#));
    }
    let freed = r#"gateway_owner_waits_total{evidence="released"} 1"#;
    assert_line(&text, freed);
    let order = r#"gateway_order_results_total{kind="grant",outcome="fenced"} 1"#;
    assert_line(&text, order);
}

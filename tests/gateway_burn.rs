//! Service-level burn of a gateway's routes.

use pistachiomoor::gateway::trace::Outcome;
use pistachiomoor::gateway::{adapter, burn, catalog};
use pistachiomoor::{burn as windows, clock};

/// Latency objective of the routes, in milliseconds.
const OBJECTIVE_MS: u64 = 100;

/// Share of requests that must be good, in millionths.
const SLO_PPM: u32 = 990_000;

fn route(name: &str) -> adapter::Route {
    adapter::Route {
        name: name.into(),
        host: "app.test".into(),
        prefix: "/".into(),
        kind: adapter::RequestKind::Idempotent,
        backends: Vec::new(),
        timeout_ms: None,
        objective_ms: OBJECTIVE_MS,
        attempts: 1,
        priority: 0,
        regions: Vec::new(),
    }
}

fn table(routes: &[adapter::Route]) -> burn::Table {
    let table = burn::Table::new(clock::Millis(0));
    set_routes(&table, routes);
    table
}

fn set_routes(table: &burn::Table, routes: &[adapter::Route]) {
    table.set_routes(&catalog::Catalog::new(adapter::Revision {
        routes: routes.to_vec(),
        ..Default::default()
    }));
}

/// Guards against requests that are counted in the wrong class, and against faulty
/// or abandoned requests that use up the error budget.
#[test]
fn record_classes() {
    let route = route("r");
    let table = table(std::slice::from_ref(&route));
    let now = clock::Millis(1_000_000);
    for (outcome, ms) in [
        (Outcome::Answered, OBJECTIVE_MS),
        (Outcome::Answered, OBJECTIVE_MS + 1),
        (Outcome::Abandoned, OBJECTIVE_MS + 1),
        (Outcome::Abandoned, OBJECTIVE_MS),
        (Outcome::Faulty, 1),
        (Outcome::Refused, 1),
        (Outcome::Unknown, 1),
        (Outcome::Truncated, 1),
    ] {
        table.record(&route, outcome, ms, now);
    }
    let page = table.page(&"h".into(), SLO_PPM, now);
    let expected = burn::OutcomeCounts {
        met: 1,
        late: 2,
        refused: 1,
        failed: 2,
    };
    assert_eq!(page.routes[0].windows[0].requests, expected);
    let counts = page.report.services[0].rules[0].short.counts;
    assert_eq!(counts, windows::Counts { good: 1, total: 6 });
    assert!(page.report.services[0].rules[0].firing);
    let later = table.page(&"h".into(), SLO_PPM, now + 400_000);
    assert_eq!(later.routes[0].windows[1].requests, Default::default());
}

/// Guards against unbounded growth by counts of removed routes, and against the
/// loss of counts when a route only changes.
#[test]
fn routes_replaced() {
    let (kept, removed) = (route("kept"), route("gone"));
    let table = table(&[kept.clone(), removed.clone()]);
    let now = clock::Millis(1_000_000);
    for route in [&kept, &removed] {
        table.record(route, Outcome::Refused, 1, now);
    }
    let changed = adapter::Route {
        objective_ms: 7,
        ..kept
    };
    set_routes(&table, std::slice::from_ref(&changed));
    table.record(&removed, Outcome::Refused, 1, now);
    let page = table.page(&"h".into(), SLO_PPM, now);
    assert_eq!((page.routes.len(), page.report.services.len()), (1, 1));
    assert_eq!(page.routes[0].windows[0].requests.refused, 1);
    assert_eq!(page.report.services[0].slo_ms, 7);
}

//! Counts of good and total requests, burn rates, the alert rules and the page.

use pistachiomoor::peer::fleet;
use pistachiomoor::{burn, clock, state};

const MINUTE_MS: u64 = 60_000;

fn config() -> state::Config {
    let service = serde_json::json!({"name": "s", "kind": "shared", "slo_ppm": 990_000});
    let service: state::Service = serde_json::from_value(service).unwrap();
    let mut config = state::Config::default();
    config.services.insert(service.name.clone(), service);
    config
}

/// Records one request per second from minute `from` to minute `to`; every
/// `every`-th is bad, or none if it is 0.
fn record_requests(table: &burn::Table, from: u64, to: u64, every: u64) {
    for second in from * 60..to * 60 {
        let good = every == 0 || second % every != 0;
        table.record(&"s".into(), good, clock::Millis(second * 1_000));
    }
}

/// Merges replies, with one daemon missing.
fn report(replies: Vec<burn::Reply>) -> burn::report::Report {
    let silent = vec![fleet::Silent {
        host: "h9".into(),
        domain: "d".into(),
        incarnation: "0".into(),
        why: "time-out <>".to_owned(),
    }];
    let answers = fleet::Answers {
        answers: replies,
        silent,
    };
    burn::report::merge(&config(), answers)
}

/// Guards against an alert that goes on after its cause has ended, and one that
/// fires on a short disturbance.
#[test]
fn merge_windows() {
    let table = burn::Table::new(clock::Millis(0));
    record_requests(&table, 0, 120, 0);
    record_requests(&table, 120, 123, 2);
    let at = |minute| {
        report(vec![
            table.reply(&"h".into(), clock::Millis(minute * MINUTE_MS)),
        ])
    };
    let early = &at(123).services[0].rules[0];
    assert!(early.short.rate > 14.4, "{early:?}");
    assert!(!early.firing, "the hour burns slowly: {early:?}");
    record_requests(&table, 123, 140, 2);
    assert!(at(140).services[0].rules[0].firing);
    record_requests(&table, 140, 146, 0);
    let after = &at(146).services[0].rules[0];
    assert!(after.long.rate > 14.4 && !after.firing, "{after:?}");
}

/// Guards against memory that grows with time, and against counts that are
/// still summed after their window has passed.
#[test]
fn reply_bounded() {
    let table = burn::Table::new(clock::Millis(0));
    for minute in 0..6 * 24 * 60 {
        table.record(&"s".into(), true, clock::Millis(minute * MINUTE_MS));
    }
    let now = clock::Millis(6 * 24 * 60 * MINUTE_MS);
    let reply = table.reply(&"h".into(), now);
    let counted = &reply.services[0];
    assert!(counted.fine.buckets.len() <= 361 && counted.coarse.buckets.len() <= 865);
    assert_eq!(counted.fine.sum(60 * MINUTE_MS).total, 60);
    assert_eq!(counted.coarse.sum(burn::LONGEST_MS).total, 3 * 24 * 60);
    let later = table.reply(&"h".into(), now + 4 * 24 * 60 * MINUTE_MS);
    assert_eq!(later.services[0].coarse.sum(burn::LONGEST_MS).total, 0);
}

/// Guards against merging buckets by the daemons' clocks, which may differ,
/// instead of by age, and against a report that hides a missing daemon.
#[test]
fn merge_daemons() {
    let (one, two) = (
        burn::Table::new(clock::Millis(0)),
        burn::Table::new(clock::Millis(0)),
    );
    record_requests(&one, 0, 10, 0);
    record_requests(&two, 1_000, 1_010, 2);
    let replies = vec![
        one.reply(&"h1".into(), clock::Millis(10 * MINUTE_MS)),
        two.reply(&"h2".into(), clock::Millis(1_010 * MINUTE_MS)),
    ];
    let report = report(replies);
    let window = &report.services[0].rules[0].short;
    let bad = window.counts.total - window.counts.good;
    assert_eq!(window.counts.total, 600);
    assert_eq!(bad, 150);
    assert!((window.rate - 25.0).abs() < 1e-9, "{window:?}");
    let text = report.to_string();
    assert!(text.contains("missing: h9"), "{text}");
    let page = burn::page::render(&report, "now").unwrap();
    assert!(page.contains("h9") && page.contains("time-out &lt;&gt;"));
    assert_eq!(page.matches("<svg").count(), 2);
    assert!(
        !page.contains("http://") || !page.contains("src="),
        "the page needs nothing else"
    );
}

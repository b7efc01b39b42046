//! Lines of the report.

use serde::Serialize;

/// One measured value.
#[derive(Debug, Serialize)]
struct Line<'line> {
    measure: &'line str,
    case: &'line str,
    value: f64,
    unit: &'line str,
    /// Value of the baseline in the same run, or the objective.
    baseline: Option<f64>,
    /// `value` over `baseline`.
    ratio: Option<f64>,
}

/// Prints a value that has no baseline.
pub fn value(measure: &str, case: &str, value: f64, unit: &str) {
    print(measure, case, value, unit, None);
}

/// Prints a value beside its baseline.
pub fn against(measure: &str, case: &str, value: f64, unit: &str, baseline: f64) {
    print(measure, case, value, unit, Some(baseline));
}

fn print(measure: &str, case: &str, value: f64, unit: &str, baseline: Option<f64>) {
    // Adding 0 turns a negative zero, such as an empty sum's, into zero.
    let round = |value: f64| (value * 1e4).round() / 1e4 + 0.0;
    let ratio = baseline.filter(|baseline| *baseline != 0.0);
    let line = Line {
        measure,
        case,
        value: round(value),
        unit,
        baseline: baseline.map(round),
        ratio: ratio.map(|baseline| round(value / baseline)),
    };
    match serde_json::to_string(&line) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("{measure} {case} can't be written: {error}"),
    }
}

//! Burn rates over all daemons.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::burn::{self, Counts, Series};
use crate::model;
use crate::peer::fleet;
use crate::state;

/// Longest window that fine buckets cover, in milliseconds.
const FINE: u64 = 3_600_000;

/// Burn of one service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Service {
    /// The service.
    pub service: model::ServiceName,
    /// Time within which a request is good, in milliseconds.
    pub slo_ms: u64,
    /// Share of requests that must be good, in millionths.
    pub slo_ppm: u32,
    /// One entry for each of [`burn::RULES`].
    pub rules: Vec<Rule>,
    /// The last hour.
    pub fine: Series,
    /// The last 3 days.
    pub coarse: Series,
}

/// State of one rule.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rule {
    /// Threshold of both burn rates.
    pub threshold: f64,
    /// Short window.
    pub short: Window,
    /// Long window.
    pub long: Window,
    /// Whether both windows burn faster than the threshold.
    pub firing: bool,
}

/// Burn within one window.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Window {
    /// Length in milliseconds.
    pub window_ms: u64,
    /// Requests in the window.
    pub counts: Counts,
    /// Burn rate: 1 uses up the allowance exactly over the objective's period.
    pub rate: f64,
}

/// Burn of all services.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Services that are in the configuration or have counts.
    pub services: Vec<Service>,
    /// Hosts whose daemons answered, with the time that each covers, in milliseconds.
    pub covered: Vec<(model::HostName, u64)>,
    /// Daemons whose counts are missing.
    pub silent: Vec<fleet::Silent>,
}

/// Merges the answers of all daemons; objectives come from `config`.
pub fn merge(config: &state::Config, answers: fleet::Answers<burn::Reply>) -> Report {
    let mut merged: BTreeMap<model::ServiceName, (Series, Series)> = BTreeMap::new();
    let mut covered = Vec::new();
    for reply in answers.answers {
        covered.push((reply.host, reply.covered_ms));
        for counted in reply.services {
            match merged.get_mut(&counted.service) {
                Some((fine, coarse)) => {
                    fine.merge(&counted.fine);
                    coarse.merge(&counted.coarse);
                }
                None => {
                    merged.insert(counted.service, (counted.fine, counted.coarse));
                }
            }
        }
    }
    let services = merged.into_iter().filter_map(|(name, (fine, coarse))| {
        let objective = config.services.get(&name)?;
        Some(service(objective, fine, coarse))
    });
    Report {
        services: services.collect(),
        covered,
        silent: answers.silent,
    }
}

fn service(objective: &state::Service, fine: Series, coarse: Series) -> Service {
    let window = |length: u64| {
        let series = if length <= FINE { &fine } else { &coarse };
        let counts = series.sum(length);
        Window {
            window_ms: length,
            counts,
            rate: rate(counts, objective.slo_ppm),
        }
    };
    let rules = burn::RULES.iter().map(|rule| {
        let (short, long) = (window(rule.short), window(rule.long));
        Rule {
            threshold: rule.threshold,
            firing: short.rate > rule.threshold && long.rate > rule.threshold,
            short,
            long,
        }
    });
    let rules = rules.collect();
    Service {
        service: objective.name.clone(),
        slo_ms: objective.slo_ms,
        slo_ppm: objective.slo_ppm,
        rules,
        fine,
        coarse,
    }
}

/// Returns the burn rate of counts under an objective in millionths.
pub fn rate(counts: Counts, slo_ppm: u32) -> f64 {
    let allowed = f64::from(1_000_000_u32.saturating_sub(slo_ppm).max(1)) / 1e6;
    counts.bad_share() / allowed
}

/// Writes a length of time in the largest unit that divides it.
pub fn span(millis: u64) -> String {
    const UNITS: [(u64, &str); 4] = [
        (86_400_000, "d"),
        (3_600_000, "h"),
        (60_000, "min"),
        (1_000, "s"),
    ];
    let unit = UNITS
        .iter()
        .find(|(unit, _)| millis >= *unit && millis.is_multiple_of(*unit));
    match unit {
        Some((unit, name)) => format!("{} {name}", millis / unit),
        None => format!("{:.1} s", millis as f64 / 1e3),
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.services.is_empty() {
            writeln!(f, "no request was counted yet")?;
        }
        for service in &self.services {
            write!(f, "{service}")?;
        }
        let shortest = self.covered.iter().min_by_key(|(_, covered)| *covered);
        if let Some((host, covered)) = shortest {
            let daemons = self.covered.len();
            let minutes = covered / 60_000;
            writeln!(
                f,
                "{daemons} daemons answered; the youngest, on {host}, counts since {minutes} min"
            )?;
        }
        for silent in &self.silent {
            writeln!(f, "missing: {} ({})", silent.host, silent.why)?;
        }
        Ok(())
    }
}

impl fmt::Display for Service {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = f64::from(self.slo_ppm) / 1e4;
        let Self {
            service, slo_ms, ..
        } = self;
        writeln!(
            f,
            "{service}: objective {percent}% of requests answered within {slo_ms} ms"
        )?;
        for rule in &self.rules {
            let state = if rule.firing { "BURNING" } else { "ok" };
            writeln!(
                f,
                "  {state:<8} above {:>4}: {}, {}",
                rule.threshold, rule.short, rule.long
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts { good, total } = self.counts;
        let bad = total - good.min(total);
        let length = span(self.window_ms);
        write!(f, "{length} {:.2} ({bad} of {total} bad)", self.rate)
    }
}

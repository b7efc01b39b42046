//! Burn rates of each service, merged over all daemons.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::burn::{self, Counts, Series};
use crate::model;
use crate::peer::fleet;
use crate::state;

/// Longest window that fine buckets cover, in milliseconds.
const FINE_WINDOW_MS: u64 = burn::HOUR_MS;

const SECOND_MS: u64 = 1_000;
const DAY_MS: u64 = 24 * burn::HOUR_MS;

/// Millionths in 1.
const PPM: u32 = 1_000_000;

/// Millionths in one percent.
pub(super) const PPM_PER_PERCENT: f64 = 1e4;

/// Burn rates of one service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub service: model::ServiceName,
    /// Time within which a request is good, in milliseconds.
    pub slo_ms: u64,
    /// Share of requests that must be good, in millionths.
    pub slo_ppm: u32,
    /// One entry for each of [`burn::RULES`].
    pub rules: Vec<Rule>,
    /// Counts of the last hour, in fine buckets.
    pub fine: Series,
    /// Counts of the last 3 days, in coarse buckets.
    pub coarse: Series,
}

/// Evaluation of one rule for a service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rule {
    /// Burn rate above which both windows must be.
    pub threshold: f64,
    /// Short window.
    pub short: Window,
    /// Long window.
    pub long: Window,
    /// Whether the burn rates of both windows exceed the threshold.
    pub firing: bool,
}

/// Counts and burn rate of one window.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Window {
    /// Length of the window in milliseconds.
    pub window_ms: u64,
    /// Requests in the window.
    pub counts: Counts,
    /// Burn rate: 1 uses up the error budget exactly over the objective's period.
    pub rate: f64,
}

/// Burn rates of all services.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Services that have counts and are in the configuration.
    pub services: Vec<Service>,
    /// Hosts whose daemons answered, with the period that the counts of each
    /// cover, in milliseconds.
    pub covered: Vec<(model::HostName, u64)>,
    /// Daemons that did not answer, so that their counts are missing.
    pub silent: Vec<fleet::Silent>,
}

/// Merges the answers of all daemons. Objectives come from `config`; counts of
/// services that it lacks are dropped.
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
        let objective = Objective {
            slo_ms: objective.slo_ms,
            slo_ppm: objective.slo_ppm,
        };
        Some(Service::new(name, objective, fine, coarse))
    });
    Report {
        services: services.collect(),
        covered,
        silent: answers.silent,
    }
}

/// Service-level objective of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Objective {
    /// Time within which a request is good, in milliseconds.
    pub slo_ms: u64,
    /// Share of requests that must be good, in millionths.
    pub slo_ppm: u32,
}

impl Service {
    /// Evaluates [`burn::RULES`] for the counts of a service.
    pub fn new(
        service: model::ServiceName,
        objective: Objective,
        fine: Series,
        coarse: Series,
    ) -> Self {
        let window = |length: u64| {
            let series = if length <= FINE_WINDOW_MS {
                &fine
            } else {
                &coarse
            };
            let counts = series.sum(length);
            Window {
                window_ms: length,
                counts,
                rate: rate(counts, objective.slo_ppm),
            }
        };
        let rules = burn::RULES.iter().map(|rule| {
            let (short, long) = (window(rule.short_ms), window(rule.long_ms));
            Rule {
                threshold: rule.threshold,
                firing: short.rate > rule.threshold && long.rate > rule.threshold,
                short,
                long,
            }
        });
        let rules = rules.collect();
        Self {
            service,
            slo_ms: objective.slo_ms,
            slo_ppm: objective.slo_ppm,
            rules,
            fine,
            coarse,
        }
    }
}

/// Returns the burn rate of counts: their share of bad requests, divided by the
/// share that the objective, in millionths, allows.
pub fn rate(counts: Counts, slo_ppm: u32) -> f64 {
    let allowed = f64::from(PPM.saturating_sub(slo_ppm).max(1)) / f64::from(PPM);
    counts.bad_share() / allowed
}

/// Formats a duration in the largest unit that divides it, or in seconds with
/// one decimal.
pub fn format_duration(millis: u64) -> String {
    const UNITS: [(u64, &str); 4] = [
        (DAY_MS, "d"),
        (burn::HOUR_MS, "h"),
        (burn::MINUTE_MS, "min"),
        (SECOND_MS, "s"),
    ];
    let unit = UNITS
        .iter()
        .find(|(unit, _)| millis >= *unit && millis.is_multiple_of(*unit));
    match unit {
        Some((unit, name)) => format!("{} {name}", millis / unit),
        None => format!("{:.1} s", millis as f64 / SECOND_MS as f64),
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
        let youngest = self.covered.iter().min_by_key(|(_, covered)| *covered);
        if let Some((host, covered)) = youngest {
            let daemons = self.covered.len();
            let minutes = covered / burn::MINUTE_MS;
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
        let percent = f64::from(self.slo_ppm) / PPM_PER_PERCENT;
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
        let length = format_duration(self.window_ms);
        write!(f, "{length} {:.2} ({bad} of {total} bad)", self.rate)
    }
}

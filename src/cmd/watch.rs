//! `watch`: shows the progress of a failure domain or target until it owns nothing.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::admin;
use crate::cmd;

/// What is watched.
#[derive(Clone, Debug)]
pub enum Subject {
    /// All targets of a failure domain.
    Domain(String),
    /// One target.
    Target(String),
}

/// How it is watched.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Pause between two looks, in milliseconds.
    pub every_ms: u64,
    /// Longest time to watch, in seconds.
    pub at_most: Option<u64>,
}

/// What one look has found.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Progress {
    /// Shards left.
    pub left: u64,
    /// Targets that still own some.
    pub targets: usize,
    /// Targets that still take work: these are not being evacuated.
    pub taking: usize,
    /// Shards per second since the first look.
    pub rate: f64,
    /// Time until nothing is left at this rate, in seconds.
    pub eta: Option<u64>,
}

impl Progress {
    /// Sums up what the subject owns, `elapsed` seconds after `first` shards
    /// were left.
    pub fn new(owned: &admin::Owned, subject: &Subject, first: Option<u64>, elapsed: f64) -> Self {
        let of_subject = owned.targets.iter().filter(|(name, share)| match subject {
            Subject::Domain(domain) => share.domain.as_str() == domain,
            Subject::Target(target) => name.as_str() == target,
        });
        let shares: Vec<_> = of_subject.map(|(_, share)| share).collect();
        let left = shares.iter().map(|share| share.shards).sum();
        let moved = first.unwrap_or(left).saturating_sub(left) as f64;
        let rate = if elapsed > 0.0 { moved / elapsed } else { 0.0 };
        Self {
            left,
            targets: shares.iter().filter(|share| share.shards > 0).count(),
            taking: shares.iter().filter(|share| share.takes_work).count(),
            rate,
            eta: (rate > 0.0).then(|| (left as f64 / rate).ceil() as u64),
        }
    }

    fn text(&self) -> String {
        let Self {
            left,
            targets,
            taking,
            rate,
            eta,
        } = self;
        let eta = eta
            .filter(|_| *left > 0)
            .map(|eta| format!(", about {eta} s left"));
        let taking = match taking {
            0 => String::new(),
            _ => format!("; {taking} targets still take work"),
        };
        let eta = eta.unwrap_or_default();
        format!("{left} shards left on {targets} targets, {rate:.1} shards/s{eta}{taking}\n")
    }
}

/// Prints one line per look until nothing is left.
///
/// # Errors
/// Fails if the daemon does not answer, the subject is unknown, or something
/// is left when the time is over.
pub fn run(
    admin: SocketAddr,
    subject: &Subject,
    pace: Pace,
    format: cmd::Format,
) -> Result<(), cmd::Error> {
    let client = cmd::Admin::new(admin);
    let start = Instant::now();
    let mut first = None;
    loop {
        let owned: admin::Owned = client.json("/admin/owned")?;
        known(&owned, subject)?;
        let elapsed = start.elapsed().as_secs_f64();
        let progress = Progress::new(&owned, subject, first, elapsed);
        first = first.or(Some(progress.left));
        format.print(&progress, Progress::text);
        if progress.left == 0 {
            return Ok(());
        }
        if pace.at_most.is_some_and(|limit| elapsed >= limit as f64) {
            let left = progress.left;
            return Err(cmd::Error::Undecided(format!("{left} shards are left")));
        }
        std::thread::sleep(Duration::from_millis(pace.every_ms.max(100)));
    }
}

fn known(owned: &admin::Owned, subject: &Subject) -> Result<(), cmd::Error> {
    let (found, label) = match subject {
        Subject::Domain(domain) => {
            let mut shares = owned.targets.values();
            let found = shares.any(|share| share.domain.as_str() == domain);
            (found, format!("domain/{domain}"))
        }
        Subject::Target(target) => {
            let found = owned.targets.contains_key(&target.as_str().into());
            (found, format!("target/{target}"))
        }
    };
    let mut findings = crate::finding::Findings::default();
    if !found {
        findings.add(
            "command line",
            "a known target, or a domain with targets",
            label,
        );
    }
    Ok(findings.into_result(())?)
}

//! The table of key ranges and their owners.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::finding;
use crate::gateway::dialect;
use crate::model;

/// Number of keys of one bucket, the unit in which load is counted and runs are
/// split.
pub const BUCKET: u16 = 16;

/// One life of a target that owns keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Owner {
    /// Name of the target.
    pub target: model::TargetName,
    /// Unix time of its start in milliseconds.
    pub birth: u64,
}

/// Neighbouring keys with one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Keys.
    pub range: dialect::Range,
    /// Target that owns the keys, if one is known.
    pub owner: Option<Owner>,
    /// Fencing token of the owner's grants.
    pub fence: u64,
    /// Target that owned the keys before, while the move is not completed.
    pub prior: Option<Owner>,
}

impl Run {
    /// Returns the run of all keys without an owner.
    pub fn unowned() -> Self {
        Self {
            range: dialect::Range::ALL,
            owner: None,
            fence: 0,
            prior: None,
        }
    }

    fn agrees(&self, next: &Self) -> bool {
        self.owner == next.owner && self.prior == next.prior && self.fence == next.fence
    }
}

/// Owners of all keys, and the daemon that gives them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    /// Host of the steward.
    pub host: model::HostName,
    /// Process of the steward.
    pub incarnation: model::Incarnation,
    /// Runs of each keyed service, ascending; they cover all keys.
    pub services: BTreeMap<model::ServiceName, Vec<Run>>,
}

impl Table {
    /// Returns the table as written to the log.
    pub fn encode(&self) -> Vec<u8> {
        let wire = WireTable::from(self);
        rmp_serde::to_vec_named(&wire).expect("a table has only types that can be encoded")
    }

    /// Reads a table and checks that its runs cover all keys once.
    ///
    /// # Errors
    /// Returns all that is wrong with it.
    pub fn decode(bytes: &[u8]) -> Result<Self, finding::Findings> {
        let wire: WireTable = rmp_serde::from_slice(bytes).map_err(|error| {
            let mut findings = finding::Findings::default();
            findings.add("table", "an encoded key table", error.to_string());
            findings
        })?;
        Self::try_from(wire)
    }

    /// Returns the run that holds `key` of `service`.
    pub fn run_of(&self, service: &model::ServiceName, key: u16) -> Option<&Run> {
        let runs = self.services.get(service)?;
        let after = runs.partition_point(|run| run.range.first <= key);
        let run = runs.get(after.checked_sub(1)?)?;
        run.range.contains(key).then_some(run)
    }
}

/// Splits runs at the ends of `range` and applies `edit` to those inside it.
pub fn edit(runs: &mut Vec<Run>, range: dialect::Range, mut edit: impl FnMut(&mut Run)) {
    split(runs, range.first);
    if let Some(after) = range.last.checked_add(1) {
        split(runs, after);
    }
    for run in runs.iter_mut() {
        if range.contains(run.range.first) {
            edit(run);
        }
    }
}

/// Splits the run that holds `key`, so that a run begins at `key`.
pub fn split(runs: &mut Vec<Run>, key: u16) {
    let inside = |run: &Run| run.range.first < key && key <= run.range.last;
    if let Some(i) = runs.iter().position(inside) {
        let mut tail = runs[i].clone();
        tail.range.first = key;
        runs[i].range.last = key - 1;
        runs.insert(i + 1, tail);
    }
}

/// Merges neighbours that agree in owner, previous owner and fence.
pub fn merge(runs: &mut Vec<Run>) {
    runs.dedup_by(|next, run| {
        let same = run.agrees(next);
        if same {
            run.range.last = next.range.last;
        }
        same
    });
}

#[derive(Serialize, Deserialize)]
struct WireOwner {
    target: model::TargetName,
    birth: u64,
}

#[derive(Serialize, Deserialize)]
struct WireRun {
    first: u16,
    last: u16,
    owner: Option<WireOwner>,
    fence: u64,
    prior: Option<WireOwner>,
}

#[derive(Serialize, Deserialize)]
struct WireTable {
    host: model::HostName,
    incarnation: model::Incarnation,
    services: BTreeMap<model::ServiceName, Vec<WireRun>>,
}

impl From<&Owner> for WireOwner {
    fn from(owner: &Owner) -> Self {
        Self {
            target: owner.target.clone(),
            birth: owner.birth,
        }
    }
}

impl From<WireOwner> for Owner {
    fn from(wire: WireOwner) -> Self {
        Self {
            target: wire.target,
            birth: wire.birth,
        }
    }
}

impl From<&Run> for WireRun {
    fn from(run: &Run) -> Self {
        Self {
            first: run.range.first,
            last: run.range.last,
            owner: run.owner.as_ref().map(WireOwner::from),
            fence: run.fence,
            prior: run.prior.as_ref().map(WireOwner::from),
        }
    }
}

impl From<WireRun> for Run {
    fn from(wire: WireRun) -> Self {
        Self {
            range: dialect::Range {
                first: wire.first,
                last: wire.last,
            },
            owner: wire.owner.map(Owner::from),
            fence: wire.fence,
            prior: wire.prior.map(Owner::from),
        }
    }
}

impl From<&Table> for WireTable {
    fn from(table: &Table) -> Self {
        let services = table.services.iter();
        Self {
            host: table.host.clone(),
            incarnation: table.incarnation,
            services: services
                .map(|(service, runs)| (service.clone(), runs.iter().map(WireRun::from).collect()))
                .collect(),
        }
    }
}

impl TryFrom<WireTable> for Table {
    type Error = finding::Findings;

    fn try_from(wire: WireTable) -> Result<Self, Self::Error> {
        let mut findings = finding::Findings::default();
        let mut services = BTreeMap::new();
        for (service, runs) in wire.services {
            check(&service, &runs, &mut findings);
            services.insert(service, runs.into_iter().map(Run::from).collect());
        }
        findings.into_result(Self {
            host: wire.host,
            incarnation: wire.incarnation,
            services,
        })
    }
}

fn check(service: &model::ServiceName, runs: &[WireRun], findings: &mut finding::Findings) {
    let mut next = 0_u32;
    for (i, run) in runs.iter().enumerate() {
        let place = format!("table, /services/{service}/{i}");
        if u32::from(run.first) != next {
            let expected = format!("a run that begins at {next}");
            findings.add(place, expected, run.first.to_string());
        } else if run.last < run.first {
            let expected = format!("a last key from {next} on");
            findings.add(place, expected, run.last.to_string());
        }
        next = u32::from(run.last) + 1;
    }
    let count = dialect::Range::ALL.len();
    if next != count {
        let place = format!("table, /services/{service}");
        let expected = format!("runs up to key {}", count - 1);
        findings.add(
            place,
            expected,
            format!("{next} as the first key without a run"),
        );
    }
}

//! The key table: key ranges with their owners, and its encoding.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::finding;
use crate::gateway::adapter;
use crate::model;

/// Number of keys per bucket, the unit by which load is counted and runs are split.
pub const BUCKET_KEYS: u16 = 16;

/// Prefix of the keys of the table's records in the log; the era follows.
const RECORD_KEY_PREFIX: &str = "table.";

/// Returns the key of a record that a daemon appends while it knows the log to be in `era`.
///
/// The condition of an append compares numbers only, so that an append that was decided
/// before the log was restored may succeed afterwards. The key shows such a record.
pub fn record_key(era: u64) -> String {
    format!("{RECORD_KEY_PREFIX}{era}")
}

/// Returns the position of a table's record in the era in which its writer decided on it.
/// That is an earlier one than the log's for a record that a restored log kept, and for one
/// whose append came late. Earlier versions wrote the key `table`, which stands for era 0.
pub fn record_offset(record: &adapter::Record) -> model::Offset {
    let era = record.key.strip_prefix(RECORD_KEY_PREFIX);
    let era = era.and_then(|era| era.parse().ok()).unwrap_or(0);
    record.offset.in_era(era.min(record.offset.era()))
}

/// One incarnation (process) of a target that owns keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Owner {
    /// Name of the target.
    pub target: model::TargetName,
    /// Unix time at which the process started, in milliseconds.
    pub birth: u64,
}

/// A range of keys with one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Range of the keys.
    pub range: adapter::KeyRange,
    /// Target that owns the keys, if one is known.
    pub owner: Option<Owner>,
    /// Fencing token of the owner's grants.
    pub fence: u64,
    /// Target that owned the keys before; set until the move is completed.
    pub previous_owner: Option<Owner>,
}

impl Run {
    /// Returns the run of all keys without an owner.
    pub fn unowned() -> Self {
        Self {
            range: adapter::KeyRange::ALL,
            owner: None,
            fence: 0,
            previous_owner: None,
        }
    }

    /// Returns the era of the log in which the run got its fence.
    pub fn era(&self) -> u64 {
        model::Offset(self.fence.saturating_sub(1)).era()
    }

    /// Returns whether this run and the following one may be merged.
    fn is_mergeable(&self, next: &Self) -> bool {
        self.owner == next.owner
            && self.previous_owner == next.previous_owner
            && self.fence == next.fence
    }
}

/// Daemons of which a majority has to acknowledge an outage of the log before the coordinator
/// grants extended leases. None are named if they are not known.
pub type Voters = BTreeSet<model::HostName>;

/// Owners of the keys of all keyed services, and the daemon that assigns them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    /// Host of the coordinator.
    pub host: model::HostName,
    /// Incarnation of the coordinator's process.
    pub incarnation: model::Incarnation,
    /// Runs of each keyed service in ascending order, which cover all keys.
    pub services: BTreeMap<model::ServiceName, Vec<Run>>,
    /// Voters of the coordinator, and then those of earlier records whose extended leases may
    /// last. Empty in tables of versions that did not know them.
    pub quorums: Vec<Voters>,
}

impl Table {
    /// Encodes the table for the log. The encoding is compact, since every daemon reads
    /// the table whenever keys move.
    pub fn encode(&self) -> Vec<u8> {
        let wire = WireTable::from(self);
        rmp_serde::to_vec(&wire).expect("a table has only types that can be encoded")
    }

    /// Decodes a table and checks that its runs cover each key once.
    ///
    /// # Errors
    /// Returns a finding for each fault: bytes that can't be decoded, an index out of
    /// range, a gap or an overlap.
    pub fn decode(bytes: &[u8]) -> Result<Self, finding::Findings> {
        let wire: WireTable = rmp_serde::from_slice(bytes).map_err(|error| {
            let mut findings = finding::Findings::default();
            findings.add("table", "an encoded key table", error.to_string());
            findings
        })?;
        Self::try_from(wire)
    }

    /// Returns the run that contains `key` of `service`, or `None` if the table lacks the
    /// service.
    pub fn run_of(&self, service: &model::ServiceName, key: u16) -> Option<&Run> {
        let runs = self.services.get(service)?;
        let after = runs.partition_point(|run| run.range.first <= key);
        let run = runs.get(after.checked_sub(1)?)?;
        run.range.contains(key).then_some(run)
    }
}

/// Splits runs at the ends of `range` and applies `edit` to those inside it.
pub fn edit(runs: &mut Vec<Run>, range: adapter::KeyRange, mut edit: impl FnMut(&mut Run)) {
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

/// Splits the run that contains `key`, so that a run begins at `key`.
pub fn split(runs: &mut Vec<Run>, key: u16) {
    let inside = |run: &Run| run.range.first < key && key <= run.range.last;
    if let Some(i) = runs.iter().position(inside) {
        let mut tail = runs[i].clone();
        tail.range.first = key;
        runs[i].range.last = key - 1;
        runs.insert(i + 1, tail);
    }
}

/// Merges neighbouring runs with the same owner, previous owner and fence.
pub fn merge(runs: &mut Vec<Run>) {
    runs.dedup_by(|next, run| {
        let mergeable = run.is_mergeable(next);
        if mergeable {
            run.range.last = next.range.last;
        }
        mergeable
    });
}

/// Encoded owner: the index of its target's name, and the time of its start.
#[derive(Clone, Copy, Serialize, Deserialize)]
struct WireOwner {
    target: u32,
    birth: u64,
}

/// Encoded run, with owners as indices.
#[derive(Serialize, Deserialize)]
struct WireRun {
    first: u16,
    last: u16,
    owner: Option<u32>,
    fence: u64,
    prior: Option<u32>,
}

/// Name before each list of voters. No target has it, since a header can't hold it.
const VOTERS_MARK: &str = "";

/// Encoded table, with fields by position; each name and each owner occurs once.
#[derive(Serialize, Deserialize)]
struct WireTable {
    host: model::HostName,
    incarnation: model::Incarnation,
    /// Names of targets, to which owners refer by index, and after [`VOTERS_MARK`] each the
    /// lists of voters. Earlier versions reject a further field, but skip names without an
    /// owner.
    names: Vec<model::TargetName>,
    owners: Vec<WireOwner>,
    services: BTreeMap<model::ServiceName, Vec<WireRun>>,
}

/// Returns the index of `item` in a sorted list.
fn index_of<T: Ord>(list: &[T], item: &T) -> Option<u32> {
    let index = list.binary_search(item).ok()?;
    u32::try_from(index).ok()
}

impl WireRun {
    fn new(run: &Run, owners: &[&Owner]) -> Self {
        let index = |owner: &Option<Owner>| index_of(owners, &owner.as_ref()?);
        Self {
            first: run.range.first,
            last: run.range.last,
            owner: index(&run.owner),
            fence: run.fence,
            prior: index(&run.previous_owner),
        }
    }
}

impl From<&Table> for WireTable {
    fn from(table: &Table) -> Self {
        let runs = table.services.values().flatten();
        let owners: BTreeSet<&Owner> = runs
            .flat_map(|run| [&run.owner, &run.previous_owner])
            .flatten()
            .collect();
        let owners: Vec<&Owner> = owners.into_iter().collect();
        let mut targets: Vec<&model::TargetName> =
            owners.iter().map(|owner| &owner.target).collect();
        targets.dedup();
        let wire_owner = |owner: &&Owner| {
            index_of(&targets, &&owner.target).map(|target| WireOwner {
                target,
                birth: owner.birth,
            })
        };
        let services = table.services.iter().map(|(service, runs)| {
            let runs = runs.iter().map(|run| WireRun::new(run, &owners));
            (service.clone(), runs.collect())
        });
        Self {
            host: table.host.clone(),
            incarnation: table.incarnation,
            services: services.collect(),
            owners: owners.iter().filter_map(wire_owner).collect(),
            names: targets
                .iter()
                .map(|target| (*target).clone())
                .chain(table.quorums.iter().flat_map(voter_names))
                .collect(),
        }
    }
}

/// Returns a list of voters with the mark before it.
fn voter_names(voters: &Voters) -> impl Iterator<Item = model::TargetName> {
    let names = voters.iter().map(|host| host.as_str().into());
    std::iter::once(VOTERS_MARK.into()).chain(names)
}

/// Returns the names of targets among the names of a table, and the lists of voters.
fn split_names(names: &[model::TargetName]) -> (&[model::TargetName], Vec<Voters>) {
    let mut lists = names.split(|name| name.as_str() == VOTERS_MARK);
    let targets = lists.next().unwrap_or_default();
    let voter = |name: &model::TargetName| name.as_str().into();
    let quorums = lists.map(|list| list.iter().map(voter).collect());
    (targets, quorums.collect())
}

impl TryFrom<WireTable> for Table {
    type Error = finding::Findings;

    fn try_from(wire: WireTable) -> Result<Self, Self::Error> {
        let mut findings = finding::Findings::default();
        let (targets, quorums) = split_names(&wire.names);
        let owners = resolve_owners(&wire.owners, targets, &mut findings);
        let mut services = BTreeMap::new();
        for (service, runs) in wire.services {
            check_coverage(&service, &runs, &mut findings);
            let place = format!("table, /services/{service}");
            let runs = runs.iter().enumerate();
            let runs = runs
                .map(|(i, run)| resolve_run(run, &owners, &format!("{place}/{i}"), &mut findings));
            services.insert(service, runs.collect());
        }
        findings.into_result(Self {
            host: wire.host,
            incarnation: wire.incarnation,
            services,
            quorums,
        })
    }
}

/// Returns the owners by index; adds a finding for each one whose name is missing.
fn resolve_owners(
    owners: &[WireOwner],
    targets: &[model::TargetName],
    findings: &mut finding::Findings,
) -> Vec<Option<Owner>> {
    let owners = owners.iter().enumerate().map(|(i, owner)| {
        let place = format!("table, /owners/{i}/target");
        let target = lookup(targets, owner.target, &place, findings)?;
        Some(Owner {
            target: target.clone(),
            birth: owner.birth,
        })
    });
    owners.collect()
}

/// Returns a decoded run; adds a finding for each owner index out of range.
fn resolve_run(
    run: &WireRun,
    owners: &[Option<Owner>],
    place: &str,
    findings: &mut finding::Findings,
) -> Run {
    let mut owner = |index: Option<u32>, field: &str| {
        let place = format!("{place}/{field}");
        lookup(owners, index?, &place, findings)?.clone()
    };
    Run {
        range: adapter::KeyRange {
            first: run.first,
            last: run.last,
        },
        owner: owner(run.owner, "owner"),
        fence: run.fence,
        previous_owner: owner(run.prior, "prior"),
    }
}

/// Returns the item at `index`, or adds a finding if there is none.
fn lookup<'a, T>(
    list: &'a [T],
    index: u32,
    place: &str,
    findings: &mut finding::Findings,
) -> Option<&'a T> {
    let item = list.get(index as usize);
    if item.is_none() {
        let expected = format!("an index below {}", list.len());
        findings.add(place, expected, index.to_string());
    }
    item
}

/// Adds a finding for each gap or overlap of a service's runs.
fn check_coverage(
    service: &model::ServiceName,
    runs: &[WireRun],
    findings: &mut finding::Findings,
) {
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
    let count = adapter::KeyRange::ALL.len();
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

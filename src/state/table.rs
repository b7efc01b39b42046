//! The state that is folded from the log.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::model;
use crate::state::config;
use crate::state::record;

/// A daemon that has announced itself in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: model::HostName,
    /// Failure domain of the host.
    pub domain: model::DomainName,
    /// Address for other daemons, TCP and UDP.
    pub peer: SocketAddr,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Offset of the daemon's first announcement.
    pub since: model::Offset,
    /// Why the daemon is gone; `None` while it is up.
    pub gone: Option<record::Reason>,
    /// Offset of the lease record by which another daemon replaced this one as
    /// unresponsive; cleared by this daemon's next record.
    #[serde(default)]
    pub silent: Option<model::Offset>,
}

/// The current lease on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Offset of the lease record; it is the fencing token of the holder's orders.
    pub offset: model::Offset,
    /// Daemon that may act for the target.
    pub holder: model::Incarnation,
    /// Daemon that may take over the lease.
    pub backup: Option<model::Incarnation>,
    /// Time after which all requests sent under earlier leases have ended,
    /// counted from the record, in milliseconds.
    #[serde(default = "record::unknown_span")]
    pub span: u64,
}

/// Owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// The target that owns the shard.
    pub target: model::TargetName,
    /// Offset of the record that made it the owner.
    pub since: model::Offset,
}

/// Shards of one placement group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Owner of each hash shard.
    pub shards: Vec<Option<Ownership>>,
    /// Owners of pinned keys.
    pub pinned: BTreeMap<model::KeyHash, Ownership>,
    /// Offset of the last record that pinned or unpinned a key.
    #[serde(default)]
    pub repinned: Option<model::Offset>,
}

impl Group {
    /// Iterates over all shards and their owners, hash shards first.
    pub fn iter(&self) -> impl Iterator<Item = (model::Shard, Option<&Ownership>)> {
        let ranges = (0u32..).zip(&self.shards);
        let ranges = ranges.map(|(n, owner)| (model::Shard::Range(n), owner.as_ref()));
        let pinned = self.pinned.iter();
        ranges.chain(pinned.map(|(&key, owner)| (model::Shard::Pinned(key), Some(owner))))
    }
}

/// State folded from the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Offset after that of the last applied record.
    pub next: model::Offset,
    /// Current configuration.
    pub config: Arc<config::Config>,
    /// Daemons by incarnation.
    pub hosts: BTreeMap<model::Incarnation, Host>,
    /// Leases by target.
    pub leases: BTreeMap<model::TargetName, Lease>,
    /// Placement groups; copies of the state share unchanged ones.
    #[serde(with = "groups")]
    pub groups: BTreeMap<model::GroupId, Arc<Group>>,
    /// Last sequence number and offset seen from each writer.
    pub writers: BTreeMap<model::Incarnation, (u64, model::Offset)>,
    /// Number of shards that each target owns, over all groups; targets
    /// without shards are left out.
    #[serde(default)]
    pub owned: BTreeMap<model::TargetName, u64>,
}

impl State {
    /// Returns the configuration for modification; copies of the state keep theirs.
    pub fn config_mut(&mut self) -> &mut config::Config {
        Arc::make_mut(&mut self.config)
    }

    /// Returns the shard of a key and its owner, or `None` if it has no owner.
    pub fn owner(
        &self,
        group: &model::GroupId,
        key: model::KeyHash,
    ) -> Option<(model::Shard, &Ownership)> {
        let table = self.groups.get(group)?;
        if let Some(owner) = table.pinned.get(&key) {
            return Some((model::Shard::Pinned(key), owner));
        }
        let shard = key.shard(table.shards.len() as u32);
        let owner = table.shards.get(shard as usize)?.as_ref()?;
        Some((model::Shard::Range(shard), owner))
    }

    /// Returns the owner of a shard, or `None` if it has none or is unknown.
    pub fn shard_owner(&self, group: &model::GroupId, shard: model::Shard) -> Option<&Ownership> {
        let table = self.groups.get(group)?;
        match shard {
            model::Shard::Range(n) => table.shards.get(n as usize)?.as_ref(),
            model::Shard::Pinned(key) => table.pinned.get(&key),
        }
    }

    /// Returns the daemon that holds the lease on `target`, if it is not gone.
    pub fn holder(&self, target: &model::TargetName) -> Option<(model::Incarnation, &Host)> {
        let lease = self.leases.get(target)?;
        let host = self.hosts.get(&lease.holder)?;
        host.gone.is_none().then_some((lease.holder, host))
    }

    /// Returns whether `target` and its failure domain take new work.
    pub fn takes_work(&self, target: &model::TargetName) -> bool {
        let Some(target) = self.config.targets.get(target) else {
            return false;
        };
        let domain = self.config.domains.get(&target.domain);
        target.standing == config::Standing::In
            && domain.is_some_and(|domain| domain.standing == config::Standing::In)
    }

    /// Returns the region of a failure domain.
    pub fn region(&self, domain: &model::DomainName) -> Option<&model::RegionName> {
        Some(&self.config.domains.get(domain)?.region)
    }
}

/// Serializes groups as a list, because their identifiers can't be keys of a JSON object.
mod groups {
    use std::collections::BTreeMap;
    use std::sync::Arc;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::Group;
    use crate::model;

    type Groups = BTreeMap<model::GroupId, Arc<Group>>;

    pub fn serialize<S: Serializer>(groups: &Groups, serializer: S) -> Result<S::Ok, S::Error> {
        let list: Vec<_> = groups.iter().collect();
        list.serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Groups, D::Error> {
        let list = Vec::<(model::GroupId, Arc<Group>)>::deserialize(deserializer)?;
        Ok(list.into_iter().collect())
    }
}

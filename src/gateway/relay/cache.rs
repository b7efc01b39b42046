//! Cache of a topic's newest records, for daemons that missed some of them.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;

use crate::gateway::adapter;
use crate::model;

/// Largest number of removed keys that are kept; beyond it the older half is dropped.
const MAX_REMOVED_KEYS: usize = 4_096;

/// Newest record of each key of one topic, removed keys included.
#[derive(Debug, Default)]
pub struct TopicCache {
    /// Offset from which on no record is missing here; `None` while the cache is empty.
    complete_from: Option<model::Offset>,
    /// The cache has the newest record of each key, however old.
    complete: bool,
    /// Offset that follows the last record.
    next: model::Offset,
    /// Offset and value of the newest record of each key.
    newest: BTreeMap<Arc<str>, (model::Offset, Option<Bytes>)>,
    /// Number of removed keys in `newest`.
    removed: usize,
}

impl TopicCache {
    /// Replaces the contents by the newest records of all keys as of offset `next`. Keys
    /// that were removed earlier are unknown, so that records before `next` may be missing.
    pub fn replace(&mut self, records: &[adapter::Record], next: model::Offset) {
        self.newest.clear();
        self.removed = 0;
        self.complete_from = Some(next);
        self.complete = true;
        self.next = next;
        self.insert(records);
    }

    /// Adds the records from offset `from` up to `next`. Records before `from` count as
    /// missing if there is a gap between them and the known ones.
    pub fn extend(
        &mut self,
        from: model::Offset,
        next: model::Offset,
        records: &[adapter::Record],
    ) {
        if self.complete_from.is_none() || from > self.next {
            self.complete_from = Some(from);
            self.complete = false;
        }
        self.next = self.next.max(next);
        self.insert(records);
    }

    fn insert(&mut self, records: &[adapter::Record]) {
        for record in records {
            let value = (record.offset, record.value.clone());
            let old = self.newest.insert(Arc::clone(&record.key), value);
            self.removed += usize::from(record.value.is_none());
            self.removed -= usize::from(old.is_some_and(|(_, value)| value.is_none()));
        }
        if self.removed > MAX_REMOVED_KEYS {
            self.prune_removed();
        }
    }

    /// Drops the older half of the removed keys.
    fn prune_removed(&mut self) {
        let removed = self.newest.values().filter(|(_, value)| value.is_none());
        let mut offsets: Vec<_> = removed.map(|(offset, _)| *offset).collect();
        offsets.sort_unstable();
        let last_dropped = offsets[MAX_REMOVED_KEYS / 2];
        self.newest
            .retain(|_, (offset, value)| value.is_some() || *offset > last_dropped);
        self.removed = offsets.len() - MAX_REMOVED_KEYS / 2 - 1;
        self.complete_from = self.complete_from.max(Some(last_dropped.next()));
    }

    /// Returns the newest records of all keys, in order, and the offset that follows them;
    /// `None` if some may be missing here.
    pub fn all(&self) -> Option<(Vec<adapter::Record>, model::Offset)> {
        if !self.complete {
            return None;
        }
        let present = self.newest.iter().filter(|(_, (_, value))| value.is_some());
        Some((Self::in_order(present), self.next))
    }

    /// Returns the newest records from offset `from` on, in order, and the offset
    /// that follows them; `None` if some may be missing here.
    pub fn since(&self, from: model::Offset) -> Option<(Vec<adapter::Record>, model::Offset)> {
        if self.complete_from.is_none_or(|complete| from < complete) || from > self.next {
            return None;
        }
        let newer = self
            .newest
            .iter()
            .filter(|(_, (offset, _))| *offset >= from);
        Some((Self::in_order(newer), self.next))
    }

    /// Returns entries of the cache as records in the order of their offsets.
    fn in_order<'c>(
        entries: impl Iterator<Item = (&'c Arc<str>, &'c (model::Offset, Option<Bytes>))>,
    ) -> Vec<adapter::Record> {
        let mut records: Vec<_> = entries
            .map(|(key, (offset, value))| adapter::Record {
                offset: *offset,
                key: Arc::clone(key),
                value: value.clone(),
            })
            .collect();
        records.sort_unstable_by_key(|record| record.offset);
        records
    }
}

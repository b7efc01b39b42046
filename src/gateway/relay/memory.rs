//! Newest records of a topic, kept for daemons that missed some of them.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;

use crate::gateway::dialect;
use crate::model;

/// Removed keys that are kept at most; beyond that the older half is dropped.
const REMOVED: usize = 4_096;

/// Newest records of one topic.
#[derive(Debug, Default)]
pub struct Memory {
    /// Offset from which on no record is missing here, once there is one.
    complete: Option<model::Offset>,
    /// Offset that follows the last record.
    next: model::Offset,
    newest: BTreeMap<Arc<str>, (model::Offset, Option<Bytes>)>,
    removed: usize,
}

impl Memory {
    /// Takes the newest records of all keys as of offset `next`. Which keys were
    /// removed before is not known.
    pub fn replace(&mut self, records: &[dialect::Record], next: model::Offset) {
        self.newest.clear();
        self.removed = 0;
        self.complete = Some(next);
        self.next = next;
        self.put(records);
    }

    /// Takes the records from offset `from` up to `next`.
    pub fn extend(
        &mut self,
        from: model::Offset,
        next: model::Offset,
        records: &[dialect::Record],
    ) {
        if self.complete.is_none() || from > self.next {
            self.complete = Some(from);
        }
        self.next = self.next.max(next);
        self.put(records);
    }

    fn put(&mut self, records: &[dialect::Record]) {
        for record in records {
            let value = (record.offset, record.value.clone());
            let old = self.newest.insert(Arc::clone(&record.key), value);
            self.removed += usize::from(record.value.is_none());
            self.removed -= usize::from(old.is_some_and(|(_, value)| value.is_none()));
        }
        if self.removed > REMOVED {
            self.forget();
        }
    }

    /// Drops the older half of the removed keys.
    fn forget(&mut self) {
        let removed = self.newest.values().filter(|(_, value)| value.is_none());
        let mut offsets: Vec<_> = removed.map(|(offset, _)| *offset).collect();
        offsets.sort_unstable();
        let last = offsets[REMOVED / 2];
        self.newest
            .retain(|_, (offset, value)| value.is_some() || *offset > last);
        self.removed = offsets.len() - REMOVED / 2 - 1;
        self.complete = self.complete.max(Some(last.next()));
    }

    /// Returns the newest records from offset `from` on, in order, and the offset
    /// that follows them; `None` if some may be missing here.
    pub fn since(&self, from: model::Offset) -> Option<(Vec<dialect::Record>, model::Offset)> {
        if self.complete.is_none_or(|complete| from < complete) || from > self.next {
            return None;
        }
        let later = self
            .newest
            .iter()
            .filter(|(_, (offset, _))| *offset >= from);
        let mut records: Vec<_> = later
            .map(|(key, (offset, value))| dialect::Record {
                offset: *offset,
                key: Arc::clone(key),
                value: value.clone(),
            })
            .collect();
        records.sort_unstable_by_key(|record| record.offset);
        Some((records, self.next))
    }
}

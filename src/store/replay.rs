//! Recovers the state of the log from its records.

use super::Corruption;
use super::record::Header;
use super::record::Record;
use super::segment;
use crate::consensus::Entry;
use crate::consensus::HardState;
use crate::consensus::Snapshot;
use crate::unit::Index;

/// The state after the records read so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Replay {
    pub hard: HardState,
    pub base: Snapshot,
    pub entries: Vec<Entry>,
    /// Whether the first entry must directly follow the base snapshot, because no segment was
    /// removed.
    from_base: bool,
}

impl Replay {
    /// Starts from the header of the first segment.
    pub fn new(header: &Header) -> Self {
        let from_base = header.number == segment::FIRST;
        Self { hard: header.hard, base: header.base.clone(), entries: Vec::new(), from_base }
    }

    /// Applies the header of a later segment.
    pub fn begin(&mut self, header: Header) {
        self.hard = header.hard;
        self.base = header.base;
    }

    /// Applies a record.
    pub fn apply(&mut self, record: Record) -> Result<(), Corruption> {
        match record {
            Record::Hard(hard) => self.hard = hard,
            Record::Reset(snapshot) => self.reset(snapshot),
            Record::Truncate(from) => self.truncate(from),
            Record::Entries(entries) => {
                return entries.into_iter().try_for_each(|entry| self.push(entry));
            }
        }
        Ok(())
    }

    /// Reconciles the log with the latest snapshot. Returns whether entries conflicted with it and
    /// were discarded.
    ///
    /// After a crash between persisting a leader's snapshot and resetting the log, the log still
    /// has conflicting entries, which must not be treated as committed entries after the snapshot.
    pub fn reconcile(
        &mut self,
        snapshot: Option<&Snapshot>,
        has_data: bool,
    ) -> Result<bool, Corruption> {
        let base = self.base.position.index;
        let end = self.entries.last().map_or(base, Entry::index);
        match snapshot {
            Some(snapshot) if snapshot.position.index >= base => self.base = snapshot.clone(),
            _ if has_data && base > Index::ZERO => return Err(Corruption::SnapshotMissing(base)),
            _ => {}
        }
        let position = self.base.position;
        let first = self.entries.first().map_or(position.index, Entry::index);
        if first > position.index.next() {
            return Err(Corruption::Gap(first));
        }
        let same = self.entries.iter().find(|entry| entry.index() == position.index);
        let discarded =
            same.is_some_and(|entry| entry.position != position) || end < position.index;
        if discarded {
            self.entries.clear();
        }
        Ok(discarded)
    }

    fn reset(&mut self, snapshot: Snapshot) {
        self.base = snapshot;
        self.entries.clear();
        self.from_base = true;
    }

    fn truncate(&mut self, from: Index) {
        let kept = self.entries.partition_point(|entry| entry.index() < from);
        self.entries.truncate(kept);
    }

    fn push(&mut self, entry: Entry) -> Result<(), Corruption> {
        let last = self.entries.last().map(Entry::index);
        let last = last.or_else(|| self.from_base.then_some(self.base.position.index));
        if last.is_some_and(|last| last.next() != entry.index()) {
            return Err(Corruption::Gap(entry.index()));
        }
        self.entries.push(entry);
        Ok(())
    }
}

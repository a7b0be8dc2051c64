//! The in-memory log: the snapshot's position, the entries kept, and how far they are persisted.

use std::collections::VecDeque;

use super::Entry;
use super::HardState;
use super::Members;
use super::Payload;
use super::Persist;
use super::Position;
use super::Snapshot;
use crate::unit::Index;
use crate::unit::Sequence;

/// The replicated log of one replica and its unconfirmed writes.
#[derive(Debug, Clone)]
pub struct Log {
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
    bytes: usize,
    /// The bytes of entries that the snapshot covered when it was taken.
    covered_bytes: usize,
    /// Membership changes in the log: the index of each, and the members from there on.
    members: Vec<(Index, Members)>,
    /// The last persisted index.
    synced: Index,
    /// Unconfirmed writes, each with the last index of the log at that point.
    writes: VecDeque<(Sequence, Index)>,
    issued: Sequence,
    /// Changes to include in the next write.
    pending: PendingWrite,
}

/// Which entries are kept although a snapshot covers them.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Tail {
    /// At most this many, if they take at most this many bytes.
    pub(super) entries: usize,
    pub(super) bytes: usize,
    /// All from this index on, while the log takes at most this many bytes.
    pub(super) needed: Option<Index>,
    pub(super) needed_bytes: usize,
}

/// Changes since the last write was issued.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct PendingWrite {
    hard: Option<HardState>,
    reset: bool,
    truncate: Option<Index>,
    append: Option<Index>,
}

impl Log {
    /// Restores a log, all of which is persisted.
    ///
    /// Drops entries that a newer snapshot replaced: a crash between persisting the snapshot and
    /// resetting the log leaves them on disk.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            synced: snapshot.position.index,
            snapshot,
            entries: VecDeque::new(),
            bytes: 0,
            covered_bytes: 0,
            members: Vec::new(),
            writes: VecDeque::new(),
            issued: Sequence::ZERO,
            pending: PendingWrite::default(),
        };
        for entry in entries {
            log.push(entry);
        }
        let covered = log.snapshot.position;
        let conflicts = log.get(covered.index).is_some_and(|entry| entry.position != covered);
        if conflicts || log.entries.back().is_some_and(|entry| entry.index() < covered.index) {
            log.entries.clear();
            log.members.clear();
            log.bytes = 0;
        }
        log.synced = log.last().index;
        log
    }

    /// The position of the last entry.
    pub fn last(&self) -> Position {
        self.entries.back().map_or(self.snapshot.position, |e| e.position)
    }

    /// The first index kept as an entry.
    pub fn first(&self) -> Index {
        self.entries.front().map_or_else(|| self.snapshot.position.index.next(), Entry::index)
    }

    /// The last snapshot.
    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The last persisted index.
    pub const fn synced(&self) -> Index {
        self.synced
    }

    /// The approximate size of the entries in memory.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// The current members, committed or not.
    pub fn members(&self) -> &Members {
        self.members.last().map_or(&self.snapshot.members, |(_, members)| members)
    }

    /// The members at an index.
    pub fn members_at(&self, index: Index) -> &Members {
        let change = self.members.iter().rev().find(|(at, _)| *at <= index);
        change.map_or(&self.snapshot.members, |(_, members)| members)
    }

    /// The index of the last membership change, or of the snapshot if there is none after it.
    pub fn members_index(&self) -> Index {
        self.members.last().map_or(self.snapshot.position.index, |&(at, _)| at)
    }

    /// The entry at an index, if it is kept.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.get().checked_sub(self.first().get())?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The position at an index, if its term is known.
    pub fn position(&self, index: Index) -> Option<Position> {
        if index == self.snapshot.position.index {
            return Some(self.snapshot.position);
        }
        self.get(index).map(|entry| entry.position)
    }

    /// Whether the log contains this entry, or the snapshot covers it, so that it is committed.
    pub fn matches(&self, position: Position) -> bool {
        position.index < self.snapshot.position.index
            || self.position(position.index) == Some(position)
    }

    /// The entries in a range of indexes, limited to that many bytes but at least one entry.
    pub fn slice(&self, from: Index, to: Index, bytes: usize) -> Vec<Entry> {
        let mut taken = Vec::new();
        let mut size = 0;
        let mut index = from;
        while let Some(entry) = self.get(index).filter(|_| index <= to) {
            size += entry.size();
            if !taken.is_empty() && size > bytes {
                break;
            }
            taken.push(entry.clone());
            index = index.next();
        }
        taken
    }

    /// Appends an entry.
    pub fn append(&mut self, entry: Entry) {
        self.pending.append.get_or_insert(entry.index());
        self.push(entry);
    }

    fn push(&mut self, entry: Entry) {
        let index = entry.index();
        if let Payload::Members(members) = &entry.payload
            && index > self.snapshot.position.index
        {
            self.members.push((index, members.clone()));
        }
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Appends a leader's entries, replacing all entries from the first conflicting one on.
    pub fn merge(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if self.matches(entry.position) {
                continue;
            }
            if entry.index() <= self.last().index {
                self.truncate(entry.index());
            }
            self.append(entry);
        }
    }

    fn truncate(&mut self, from: Index) {
        while let Some(entry) = self.entries.back().filter(|e| e.index() >= from) {
            self.bytes -= entry.size();
            self.entries.pop_back();
        }
        self.members.retain(|&(at, _)| at < from);
        let end = self.last().index;
        self.synced = self.synced.min(end);
        for (_, last) in &mut self.writes {
            *last = (*last).min(end);
        }
        self.pending.truncate = Some(self.pending.truncate.map_or(from, |at| at.min(from)));
        self.pending.append = self.pending.append.filter(|&at| at < from);
    }

    /// Installs a snapshot. Entries after it are kept if the log matches it, else discarded.
    pub fn install(&mut self, snapshot: Snapshot) {
        let position = snapshot.position;
        if self.position(position.index) == Some(position) {
            self.members.retain(|&(at, _)| at > position.index);
            self.drop_through(position.index);
        } else {
            self.entries.clear();
            self.members.clear();
            self.bytes = 0;
        }
        self.covered_bytes = 0;
        self.snapshot = snapshot;
        self.synced = position.index;
        for (_, last) in &mut self.writes {
            *last = position.index;
        }
        let append = self.entries.front().map(Entry::index);
        self.pending =
            PendingWrite { hard: self.pending.hard, reset: true, truncate: None, append };
    }

    /// Records a local snapshot and drops the entries it covers, except for a tail limited to that
    /// many entries and bytes. Returns the last dropped index.
    pub fn compact(&mut self, index: Index, entries: usize, bytes: usize) -> Option<Index> {
        self.compact_to(index, Tail { entries, bytes, ..Tail::default() })
    }

    /// Records a local snapshot and drops the entries it covers, except for a tail. Returns the last dropped index.
    pub(super) fn compact_to(&mut self, index: Index, tail: Tail) -> Option<Index> {
        let position = self.position(index).filter(|p| p.index > self.snapshot.position.index)?;
        let members = self.members_at(index).clone();
        self.members.retain(|&(at, _)| at > index);
        self.snapshot = Snapshot { position, members };
        let tail_start = index.saturating_sub(Index::new(tail.entries as u64)).next();
        while self.first() <= index {
            let first = self.first();
            let is_recent = first >= tail_start && self.bytes <= tail.bytes;
            let is_needed = tail.needed.is_some_and(|needed| first >= needed);
            if is_recent || (is_needed && self.bytes <= tail.needed_bytes) {
                break;
            }
            self.drop_through(first);
        }
        let covered = self.entries.iter().take_while(|entry| entry.index() <= index);
        self.covered_bytes = covered.map(Entry::size).sum();
        Some(self.first().saturating_sub(Index::new(1)))
    }

    /// Makes the next write reset the persisted log to the snapshot.
    pub fn reset_to_snapshot(&mut self) {
        self.install(self.snapshot.clone());
    }

    fn drop_through(&mut self, through: Index) {
        while let Some(entry) = self.entries.front().filter(|e| e.index() <= through) {
            self.bytes -= entry.size();
            self.entries.pop_front();
        }
    }

    /// Includes a term and vote in the next write.
    pub const fn set_hard(&mut self, hard: HardState) {
        self.pending.hard = Some(hard);
    }

    /// Issues a write with all changes since the last one, if there are any.
    pub fn take_write(&mut self) -> Option<Persist> {
        let pending = std::mem::take(&mut self.pending);
        if pending == PendingWrite::default() {
            return None;
        }
        self.issued = self.issued.next();
        self.writes.push_back((self.issued, self.last().index));
        let append = pending.append.into_iter();
        Some(Persist {
            sequence: self.issued,
            hard: pending.hard,
            reset: pending.reset.then(|| self.snapshot.clone()),
            truncate: pending.truncate,
            entries: append
                .flat_map(|from| self.slice(from, self.last().index, usize::MAX))
                .collect(),
        })
    }

    /// The bytes of entries that the snapshot covered when it was taken.
    pub(super) const fn covered_bytes(&self) -> usize {
        self.covered_bytes
    }

    /// The last issued write.
    pub const fn issued(&self) -> Sequence {
        self.issued
    }

    /// The last confirmed write.
    pub fn last_persisted(&self) -> Sequence {
        let open = self.writes.front().map(|&(sequence, _)| sequence);
        open.map_or(self.issued, |sequence| sequence.saturating_sub(Sequence::new(1)))
    }

    /// The unconfirmed writes, each as its distance from the last issued one and the last index of
    /// the log at that point.
    #[cfg(feature = "faults")]
    pub(super) fn open_writes(&self) -> impl Iterator<Item = (Sequence, Index)> + '_ {
        self.writes.iter().map(|&(sequence, last)| (self.issued.saturating_sub(sequence), last))
    }

    /// Marks all writes up to this one as persisted.
    pub fn mark_persisted(&mut self, sequence: Sequence) {
        while let Some(&(_, last)) = self.writes.front().filter(|(issued, _)| *issued <= sequence) {
            self.synced = self.synced.max(last);
            self.writes.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;

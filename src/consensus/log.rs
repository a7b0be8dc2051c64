//! The log in memory: a snapshot's position, the entries kept, and how much of them is synced.

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

/// The replicated log of one replica and its writes.
#[derive(Debug, Clone)]
pub struct Log {
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
    bytes: usize,
    /// Entries that change members, with the members from there on.
    members: Vec<(Index, Members)>,
    /// The last synced index.
    synced: Index,
    /// Writes asked for and not confirmed, each with the log's end as it left it.
    writes: VecDeque<(Sequence, Index)>,
    issued: Sequence,
    /// What the next write has to hold.
    next: Draft,
}

/// What changed since the last write was asked for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Draft {
    hard: Option<HardState>,
    reset: bool,
    truncate: Option<Index>,
    append: Option<Index>,
}

impl Log {
    /// The log as restored: all of it is synced. Entries that a later snapshot replaced are dropped: a crash
    /// between the snapshot's sync and the write that starts the log anew leaves them behind.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            synced: snapshot.position.index,
            snapshot,
            entries: VecDeque::new(),
            bytes: 0,
            members: Vec::new(),
            writes: VecDeque::new(),
            issued: Sequence::ZERO,
            next: Draft::default(),
        };
        for entry in entries {
            log.push(entry);
        }
        let covered = log.snapshot.position;
        let differs = log.get(covered.index).is_some_and(|entry| entry.position != covered);
        if differs || log.entries.back().is_some_and(|entry| entry.index() < covered.index) {
            log.entries.clear();
            log.members.clear();
            log.bytes = 0;
        }
        log.synced = log.last().index;
        log
    }

    /// The end of the log.
    pub fn last(&self) -> Position {
        self.entries.back().map_or(self.snapshot.position, |e| e.position)
    }

    /// The first index that is still kept as an entry.
    pub fn first(&self) -> Index {
        self.entries.front().map_or_else(|| self.snapshot.position.index.next(), Entry::index)
    }

    /// The last snapshot.
    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The last synced index.
    pub const fn synced(&self) -> Index {
        self.synced
    }

    /// The bytes that the entries take.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// The members as of the end of the log.
    pub fn members(&self) -> &Members {
        self.members.last().map_or(&self.snapshot.members, |(_, members)| members)
    }

    /// The members as of an index.
    pub fn members_at(&self, index: Index) -> &Members {
        let change = self.members.iter().rev().find(|(at, _)| *at <= index);
        change.map_or(&self.snapshot.members, |(_, members)| members)
    }

    /// The index of the last change of members, the snapshot's where there is none since.
    pub fn members_index(&self) -> Index {
        self.members.last().map_or(self.snapshot.position.index, |&(at, _)| at)
    }

    /// The entry at an index, if it is kept.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.get().checked_sub(self.first().get())?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The position at an index, if the log knows its term.
    pub fn position(&self, index: Index) -> Option<Position> {
        if index == self.snapshot.position.index {
            return Some(self.snapshot.position);
        }
        self.get(index).map(|entry| entry.position)
    }

    /// Whether the log has this very entry, or it is covered by the snapshot and thus committed.
    pub fn agrees(&self, position: Position) -> bool {
        position.index < self.snapshot.position.index
            || self.position(position.index) == Some(position)
    }

    /// The entries from an index to another one, up to that many bytes but at least one.
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

    /// Adds an entry after the last one.
    pub fn append(&mut self, entry: Entry) {
        self.next.append.get_or_insert(entry.index());
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

    /// Takes in a leader's entries: keeps those that agree, and replaces all from the first that doesn't.
    pub fn merge(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if self.agrees(entry.position) {
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
        self.next.truncate = Some(self.next.truncate.map_or(from, |at| at.min(from)));
        self.next.append = self.next.append.filter(|&at| at < from);
    }

    /// Starts again after a snapshot, and keeps what follows it if the log agrees with it.
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
        self.snapshot = snapshot;
        self.synced = position.index;
        for (_, last) in &mut self.writes {
            *last = position.index;
        }
        let append = self.entries.front().map(Entry::index);
        self.next = Draft { hard: self.next.hard, reset: true, truncate: None, append };
    }

    /// Notes a snapshot of the own state machine, and drops the entries that it covers but for a tail of
    /// at most that many entries and bytes. Returns the last dropped index.
    pub fn compact(&mut self, index: Index, entries: usize, bytes: usize) -> Option<Index> {
        let position = self.position(index).filter(|p| p.index > self.snapshot.position.index)?;
        let members = self.members_at(index).clone();
        self.members.retain(|&(at, _)| at > index);
        self.snapshot = Snapshot { position, members };
        self.drop_through(index.saturating_sub(Index::new(entries as u64)));
        while self.bytes > bytes && self.first() <= index {
            self.drop_through(self.first());
        }
        Some(self.first().saturating_sub(Index::new(1)))
    }

    /// Has the next write start the log anew after the snapshot.
    pub fn rewrite(&mut self) {
        self.install(self.snapshot.clone());
    }

    fn drop_through(&mut self, through: Index) {
        while let Some(entry) = self.entries.front().filter(|e| e.index() <= through) {
            self.bytes -= entry.size();
            self.entries.pop_front();
        }
    }

    /// Notes a term and vote to be written.
    pub const fn set_hard(&mut self, hard: HardState) {
        self.next.hard = Some(hard);
    }

    /// The write that covers all changes since the last one.
    pub fn write(&mut self) -> Option<Persist> {
        let draft = std::mem::take(&mut self.next);
        if draft == Draft::default() {
            return None;
        }
        self.issued = self.issued.next();
        self.writes.push_back((self.issued, self.last().index));
        let append = draft.append.into_iter();
        Some(Persist {
            sequence: self.issued,
            hard: draft.hard,
            reset: draft.reset.then(|| self.snapshot.clone()),
            truncate: draft.truncate,
            entries: append
                .flat_map(|from| self.slice(from, self.last().index, usize::MAX))
                .collect(),
        })
    }

    /// The last write asked for.
    pub const fn issued(&self) -> Sequence {
        self.issued
    }

    /// The last confirmed write.
    pub fn confirmed(&self) -> Sequence {
        let open = self.writes.front().map(|&(sequence, _)| sequence);
        open.map_or(self.issued, |sequence| sequence.saturating_sub(Sequence::new(1)))
    }

    /// The writes that are not confirmed: how long ago each was asked for, in writes, and the log's end.
    #[cfg(feature = "faults")]
    pub(super) fn open_writes(&self) -> impl Iterator<Item = (Sequence, Index)> + '_ {
        self.writes.iter().map(|&(sequence, last)| (self.issued.saturating_sub(sequence), last))
    }

    /// All writes up to this one are synced.
    pub fn persisted(&mut self, sequence: Sequence) {
        while let Some(&(_, last)) = self.writes.front().filter(|(issued, _)| *issued <= sequence) {
            self.synced = self.synced.max(last);
            self.writes.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;

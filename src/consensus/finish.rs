//! End of a step: emits the write, releases messages whose writes are persisted, and applies
//! entries.

use tokio::time::Instant;

use super::Output;
use super::Replica;
use super::fault::Fault;
use super::log::Tail;
use super::progress::Progress;
use super::replica::State;
use crate::unit::Index;
use crate::unit::Sequence;

impl Replica {
    pub(super) fn finish_step(&mut self, now: Instant) -> Vec<Output> {
        loop {
            self.emit_persist();
            if !self.release_sends(now) {
                break;
            }
        }
        self.apply();
        self.finish_reads();
        self.compact_if_due();
        if *self.log.members() != self.reported_members {
            self.reported_members = self.log.members().clone();
            self.emit(Output::MembersChanged(self.reported_members.clone()));
        }
        std::mem::take(&mut self.outputs)
    }

    fn emit_persist(&mut self) {
        if let Some(persist) = self.log.take_write() {
            self.emit(Output::Persist(persist));
        }
        let issued = self.log.issued();
        for pending in self.pending_sends.iter_mut().filter(|pending| pending.after > issued) {
            pending.after = issued;
        }
    }

    /// Sends the pending messages whose writes are persisted. Returns whether its own vote was
    /// among them.
    fn release_sends(&mut self, now: Instant) -> bool {
        let confirmed = self.log.last_persisted();
        let unsynced = self.has_fault(Fault::CountUnsynced);
        let mut own_vote = false;
        while self
            .pending_sends
            .front()
            .is_some_and(|pending| unsynced || pending.after <= confirmed)
        {
            let Some(pending) = self.pending_sends.pop_front() else {
                break;
            };
            if pending.to == self.id() {
                own_vote = true;
                self.receive(pending.to, pending.message, now);
            } else {
                self.send(pending.to, pending.message);
            }
        }
        own_vote
    }

    pub(super) fn handle_persisted(&mut self, sequence: Sequence) {
        self.log.mark_persisted(sequence);
        self.advance_commit();
        self.send_witness();
    }

    /// Emits the entries that are committed and persisted locally. A snapshot of them thus never
    /// gets ahead of the persisted log.
    fn apply(&mut self) {
        let end = self.commit.min(self.log.synced());
        if end <= self.applied {
            return;
        }
        let entries = self.log.slice(self.applied.next(), end, usize::MAX);
        self.applied = end;
        if !self.config.witness {
            self.emit(Output::Apply(entries));
        }
    }

    /// Requests a snapshot when the log has grown enough. A witness has no state machine and
    /// compacts at once.
    fn compact_if_due(&mut self) {
        let covered = self.log.snapshot().position.index;
        let entries = self.applied.saturating_sub(covered).get();
        let has_many_entries = entries >= self.config.snapshot_entries as u64;
        // What the last snapshot covers and was kept for followers does not make another one due.
        let limit = self.log.covered_bytes() + self.config.snapshot_bytes / 2;
        let has_many_bytes = self.log.bytes() > limit.max(self.config.snapshot_bytes);
        if entries == 0 || !(has_many_entries || has_many_bytes) {
            return;
        }
        if self.config.witness {
            self.log.compact(self.applied, 0, 0);
            self.log.reset_to_snapshot();
            self.emit_persist();
        } else if !self.snapshot_due {
            self.snapshot_due = true;
            self.emit(Output::SnapshotDue { index: self.applied });
        }
    }

    /// Drops the entries covered by a new snapshot, except for a tail for followers that lag
    /// slightly, and what responding members need.
    pub(super) fn compact(&mut self, index: Index, now: Instant) {
        self.snapshot_due = false;
        if index > self.applied {
            return;
        }
        let tail = Tail {
            entries: self.config.snapshot_entries / 2,
            bytes: self.config.snapshot_bytes / 2,
            needed: self.needed_by_members(now),
            needed_bytes: self.config.retained_bytes,
        };
        if let Some(through) = self.log.compact_to(index, tail) {
            self.emit(Output::Compact { through });
        }
    }

    /// The first entry that a responding member needs.
    ///
    /// A member that copies a snapshot, or catches up after that, would have to begin again if the entries after it
    /// were dropped meanwhile; with many changes it would never end.
    fn needed_by_members(&self, now: Instant) -> Option<Index> {
        let State::Leader(leader) = &self.state else { return None };
        let responds = |p: &&Progress| p.silence(now) < self.config.election_timeout;
        leader.progress.values().filter(responds).filter_map(Progress::needed).min()
    }
}

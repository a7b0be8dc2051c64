//! The changes that followers receive.

use std::mem;

use bytes::Bytes;
use tokio::time::Instant;

use super::Table;
use crate::roster::Interest;
use crate::roster::News;
use crate::roster::Piece;
use crate::roster::Scope;
use crate::roster::Standing;
use crate::roster::change_log::Entry;
use crate::roster::change_log::Group;
use crate::roster::change_log::Subject;
use crate::roster::piece::MAX_PIECE_BYTES;
use crate::roster::slice::Level;
use crate::roster::slice::Position;
use crate::wire::Role;

/// The most records in a piece; more than fit into [`MAX_PIECE_BYTES`].
const MAX_PIECE_RECORDS: usize = 512;

/// The followers concerned by changes.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Touched {
    /// All followers.
    pub all: bool,
    /// Those in the same shard as a position.
    pub shards: Vec<(Level, Position)>,
}

impl Table {
    /// Adapts the division into slices to the number of subjects, at regular intervals; returns whether followers lack
    /// changes.
    pub fn adapt(&mut self) -> bool {
        let before = (self.revision, self.log.scope_revision());
        let lacking = self.log.adapt(self.revision + 1);
        if self.log.scope_revision() != before.1 {
            self.revision += 1;
            self.touched.all = true;
        }
        for subject in lacking {
            self.log_change(&subject);
        }
        self.revision != before.0
    }

    /// The revision at which the division into slices changed last.
    pub const fn scope_revision(&self) -> u64 {
        self.log.scope_revision()
    }

    /// The division into slices.
    pub fn scope(&self) -> Scope {
        self.log.scope()
    }

    /// Removes and returns the followers concerned by changes since the last call.
    pub fn take_touched(&mut self) -> Touched {
        mem::take(&mut self.touched)
    }

    /// Whether a follower at a revision lacks changes of its slice. `base` is the revision at which it began to receive
    /// the slice.
    pub fn news(&self, interest: &Interest, from: u64, base: u64) -> News {
        if from.max(base) < self.oldest_delta_revision {
            return News::Withdrawals;
        }
        self.log.news(interest, from)
    }

    /// The next changes of a follower's slice after a revision; none if the revision is the latest one.
    pub fn piece(&self, interest: &Interest, from: u64, base: u64, now: Instant) -> Option<Piece> {
        if from >= self.revision {
            return None;
        }
        let is_first = from.max(base) < self.oldest_delta_revision;
        let (from, base) = if is_first { (0, self.revision) } else { (from, base) };
        let changes = self.log.changes(interest, from, MAX_PIECE_RECORDS);
        let (mut encoded, mut bytes, mut last) = (Vec::new(), 0, from);
        for (revision, subject) in &changes {
            if bytes >= MAX_PIECE_BYTES {
                break;
            }
            let change = match subject {
                Subject::Upstream(id) => self.upstreams.get(id).map(|known| known.encoded_at(now)),
                Subject::Vm(vm, role) => {
                    self.vms.get(&(vm.clone(), *role)).map(|known| known.encoded.clone())
                }
            };
            bytes += change.as_ref().map_or(0, Bytes::len);
            encoded.extend(change);
            last = *revision;
        }
        let has_more = changes.last().is_some_and(|(revision, _)| *revision > last)
            || changes.len() == MAX_PIECE_RECORDS;
        let is_scope_known = self.log.scope_revision() <= from && !is_first;
        let piece = Piece {
            revision: if has_more { last } else { self.revision },
            base,
            is_first,
            has_more,
            scope: (!is_scope_known).then(|| self.log.scope()),
            ..Piece::default()
        };
        Some(piece.with_changes(&encoded))
    }

    /// Logs a change, or defers a new subject.
    pub(super) fn record_change(&mut self, subject: &Subject) {
        let Some((group, is_new)) = self.group(subject) else { return };
        if is_new && self.log.defer(subject, &group) {
            self.count_vm_change(subject);
            self.schedule_expiry(subject);
        } else {
            self.log_change(subject);
        }
    }

    fn count_vm_change(&mut self, subject: &Subject) {
        self.vm_revision += u64::from(matches!(subject, Subject::Vm(..)));
    }

    /// The group of a subject, and whether it has not been logged yet.
    pub(super) fn group(&self, subject: &Subject) -> Option<(Group, bool)> {
        match subject {
            Subject::Upstream(id) => {
                let known = self.upstreams.get(id)?;
                let region = self.regions.get(&known.record.data_centre).cloned();
                let group = Group::Upstreams(region, known.record.service.clone());
                Some((group, known.entry.is_none()))
            }
            Subject::Vm(vm, role) => {
                let known = self.vms.get(&(vm.clone(), *role))?;
                let group = match role {
                    Role::Control => Group::Control,
                    Role::Entry => Group::Vms(known.record.region.clone()),
                };
                Some((group, known.entry.is_none()))
            }
        }
    }

    fn schedule_expiry(&mut self, subject: &Subject) {
        let due = match subject {
            Subject::Upstream(id) => {
                let known = self.upstreams.get_mut(id);
                known.and_then(|known| known.reschedule(self.timeouts.upstream))
            }
            Subject::Vm(vm, role) => {
                let known = self.vms.get_mut(&(vm.clone(), *role));
                known.and_then(|known| known.reschedule(self.timeouts.vm))
            }
        };
        if let Some(due) = due {
            self.expiry.push(due, subject.clone());
        }
    }

    /// Assigns the next revision to a subject and logs the change.
    pub(super) fn log_change(&mut self, subject: &Subject) {
        let Some((group, _)) = self.group(subject) else { return };
        self.count_vm_change(subject);
        self.revision += 1;
        let revision = self.revision;
        let (entry, previous) = match subject {
            Subject::Upstream(id) => {
                let Some(known) = self.upstreams.get_mut(id) else { return };
                let is_gone = known.record.standing == Standing::Gone;
                let is_withdrawal = known.silent || known.record.standing != Standing::Ready;
                let entry = Entry { group, revision, is_gone, is_withdrawal };
                (entry.clone(), known.log(entry))
            }
            Subject::Vm(vm, role) => {
                let Some(known) = self.vms.get_mut(&(vm.clone(), *role)) else { return };
                let is_gone = known.record.standing == Standing::Gone;
                let is_usable = known.record.ready && known.record.standing == Standing::Ready;
                let is_withdrawal = known.silent || !is_usable;
                let entry = Entry { group, revision, is_gone, is_withdrawal };
                (entry.clone(), known.log(entry))
            }
        };
        self.schedule_expiry(subject);
        let level = self.log.record(subject.clone(), &entry, previous.as_ref());
        self.touched.shards.push((level, subject.position()));
    }

    /// Removes a subject from the log. A follower that has not seen its last change needs the full table.
    pub(super) fn forget(
        &mut self,
        subject: &Subject,
        group: Option<(Group, bool)>,
        entry: Option<&Entry>,
    ) {
        if let Some((group, true)) = &group {
            self.log.remove_deferred(subject, group);
        }
        let Some(entry) = entry else { return };
        self.oldest_delta_revision = self.oldest_delta_revision.max(entry.revision);
        self.log.remove(subject, entry);
    }
}

//! Snapshots: taken, fetched from another replica and served to others.

use tokio::time::Instant;

use super::Chunk;
use super::Driver;
use super::Machine;
use super::Message;
use super::Stage;
use super::fetch::Next;
use super::serve::Serve;
use crate::consensus::Input;
use crate::consensus::Role;
use crate::consensus::Snapshot;
use crate::id;
use crate::store::Disk;
use crate::unit::Index;

/// The log in memory beyond which a snapshot is taken however large the machine is: half of what a replica holds
/// before it refuses proposals, and a fraction of a second to replay.
///
/// Failure: a snapshot holds up all commands while it is encoded, by a tenth of a second for a million keys. Taken
/// every few thousand commands, as suits a small machine, it takes most of the time of a large one. So the log
/// grows as long as the last snapshot was, up to this bound.
const LOG_BYTES: usize = 16 << 20;

impl<M: Machine, D: Disk> Driver<M, D> {
    /// Stores a snapshot that arrived or is due, one at a time.
    pub(super) fn use_snapshots(&mut self) {
        if !self.files.has_snapshots() {
            return;
        }
        if let Some((snapshot, data)) = self.arrived.take() {
            self.files.install(snapshot, data);
        } else if self.snapshot_due
            && self.replica.log().bytes() >= self.snapshot_bytes.min(LOG_BYTES)
        {
            self.snapshot_due = false;
            self.snapshot();
        }
    }

    /// Writes a snapshot of the machine as it is now, which may be later than what was asked for.
    pub(super) fn snapshot(&mut self) {
        let Some((snapshot, data)) = self.encode() else { return };
        self.snapshot_bytes = data.len();
        self.files.save(snapshot, data);
    }

    /// The machine as it is now, and what it stands for.
    fn encode(&self) -> Option<(Snapshot, Vec<u8>)> {
        let position = self.replica.log().position(self.applied)?;
        let members = self.replica.log().members_at(self.applied).clone();
        let mut data = Vec::new();
        ciborium::into_writer(&self.machine, &mut data)
            .expect("plain data always encodes to memory");
        Some((Snapshot { position, members }, data))
    }

    pub(super) fn compact(&mut self, through: Index) {
        let snapshot = self.replica.log().snapshot().clone();
        self.files.compact(through, snapshot);
    }

    pub(super) fn receive(&mut self, from: id::Replica, message: Message) {
        self.meter.record_received();
        match message {
            Message::Consensus(message) => self.step(Input::Receive { from, message }),
            Message::Fetch { index, offset } => self.serve(from, index, offset),
            Message::Chunk(chunk) => self.take_chunk(from, chunk),
        }
    }

    /// Sends a piece of the machine to a member that holds data; never to a witness or a stranger.
    ///
    /// It is the machine as it is now: an older snapshot would have to be followed by all entries since, which may be many
    /// times as long.
    pub(super) fn serve(&mut self, to: id::Replica, index: Index, offset: u64) {
        let role = self.replica.log().members().role(to);
        if !matches!(role, Some(Role::Voter | Role::Learner)) || self.applied < index {
            return;
        }
        let now = Instant::now();
        if offset == 0 || !self.serves.contains_key(&to) {
            let recent = self.serves.values().find(|serve| serve.is_recent(now)).cloned();
            let serve = recent.filter(|serve| serve.covers(index));
            let encoded = || self.encode().map(|(snapshot, data)| Serve::new(snapshot, data, now));
            let Some(serve) = serve.or_else(encoded) else { return };
            self.serves.insert(to, serve);
        }
        if let Some(serve) = self.serves.get_mut(&to) {
            let chunk = serve.piece(offset, now);
            self.send(to, Message::Chunk(chunk));
        }
    }

    pub(super) fn take_chunk(&mut self, from: id::Replica, chunk: Chunk) {
        if let Some(fetch) = &mut self.fetch {
            self.tally.record_piece(chunk.data.len());
            let next = fetch.take(from, chunk, Instant::now());
            self.fetch_next(next);
        }
    }

    /// Gives up a snapshot of a former leader, which may be gone; the next one offers its own.
    pub(super) fn give_up_former_leader(&mut self) {
        let leader = self.replica.leader();
        if self.fetch.take_if(|fetch| leader.is_some_and(|leader| leader != fetch.from())).is_some()
        {
            self.tally.reach(Stage::Abandoned, Instant::now());
            self.step(Input::SnapshotFailed);
        }
    }

    pub(super) fn fetch_next(&mut self, next: Next) {
        match next {
            Next::Wait => {}
            Next::Ask(to, messages) => {
                self.tally.record_requests(messages.len());
                messages.into_iter().for_each(|message| self.send(to, message));
            }
            Next::Done(snapshot, data) => {
                self.fetch = None;
                self.tally.reach(Stage::Received, Instant::now());
                self.arrived = Some((snapshot, data));
            }
            Next::Failed => {
                self.fetch = None;
                self.tally.reach(Stage::Failed, Instant::now());
                self.step(Input::SnapshotFailed);
            }
        }
    }

    /// Takes another replica's machine over, unless this one is further by now.
    pub(super) fn install(&mut self, snapshot: Snapshot, machine: M) {
        if snapshot.position.index > self.applied {
            self.applied = snapshot.position.index;
            self.machine = machine;
        }
        self.step(Input::SnapshotInstalled { snapshot });
    }
}

//! Replication progress and flow control for one member.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use super::Config;
use super::Snapshot;
use crate::unit::Index;
use crate::unit::Round;

/// Replication mode of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// One message at a time, until a matching index is found.
    Probe {
        /// Whether a probe is outstanding; repeated at each heartbeat.
        sent: bool,
    },
    /// Pipelined, up to the in-flight limits.
    Stream,
    /// Needs entries that were compacted; a snapshot was offered.
    Snapshot,
}

/// Replication state of one member.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// The last index up to which its persisted log is known to match.
    pub(super) matched: Index,
    /// The next index to send.
    pub(super) next: Index,
    pub(super) mode: Mode,
    /// Whether it responded since the last quorum check.
    pub(super) recently_active: bool,
    /// Whether it missed its heartbeats and has not caught up since.
    pub(super) unresponsive: bool,
    /// Whether it reported that it holds data; `None` until it responds.
    pub(super) holds_data: Option<bool>,
    /// The last heartbeat round it answered.
    pub(super) round: Round,
    /// Messages with entries in flight, each with its last index and size.
    in_flight: VecDeque<(Index, usize)>,
    in_flight_bytes: usize,
    /// The snapshot that it is to copy.
    offered: Option<Snapshot>,
    last_response: Instant,
    last_advance: Instant,
}

impl Progress {
    /// A member that has not responded in this term. It counts as responsive until it misses
    /// heartbeats.
    pub(super) const fn new(last: Index, now: Instant) -> Self {
        Self {
            matched: Index::ZERO,
            next: last.next(),
            mode: Mode::Probe { sent: false },
            recently_active: true,
            unresponsive: false,
            holds_data: None,
            round: Round::ZERO,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            offered: None,
            last_response: now,
            last_advance: now,
        }
    }

    /// Records a response.
    pub(super) fn record_response(&mut self, round: Round, now: Instant) {
        self.recently_active = true;
        self.last_response = now;
        self.round = self.round.max(round);
    }

    /// Restarts the timeouts after the leader itself was suspended.
    pub(super) const fn reset_timestamps(&mut self, now: Instant) {
        self.last_response = now;
        self.last_advance = now;
    }

    /// Records that its log matches up to `index`; `last` is the leader's last index.
    pub(super) fn advance(&mut self, index: Index, last: Index, now: Instant) {
        while let Some(&(_, bytes)) = self.in_flight.front().filter(|(last, _)| *last <= index) {
            self.in_flight_bytes -= bytes;
            self.in_flight.pop_front();
        }
        if index > self.matched || index == last {
            self.last_advance = now;
        }
        self.matched = self.matched.max(index);
        self.next = self.next.max(index.next());
        if matches!(self.mode, Mode::Probe { .. }) || self.mode == Mode::Snapshot {
            self.mode = Mode::Stream;
            self.next = self.matched.next();
        }
    }

    /// Records a mismatch: its log matches up to `hint` at most, and entries in flight are lost.
    pub(super) fn decrease_next(&mut self, hint: Index) {
        self.clear_in_flight();
        self.mode = Mode::Probe { sent: false };
        self.next = self.next.min(hint.next()).max(self.matched.next());
    }

    /// Allows another probe, in case the last one or its response was lost.
    pub(super) const fn resume_probe(&mut self) {
        if let Mode::Probe { sent } = &mut self.mode {
            *sent = false;
        }
    }

    /// Switches to sending a snapshot.
    pub(super) fn enter_snapshot_mode(&mut self, snapshot: Snapshot) {
        self.clear_in_flight();
        self.mode = Mode::Snapshot;
        self.offered = Some(snapshot);
    }

    /// The snapshot that it is to copy.
    pub(super) fn offered(&self) -> Option<&Snapshot> {
        self.offered.as_ref().filter(|_| self.mode == Mode::Snapshot)
    }

    /// The last entry that it has or is about to have, which precedes what it needs next.
    pub(super) fn needed(&self) -> Option<Index> {
        let copied = self.offered().map(|snapshot| snapshot.position.index);
        copied.or(Some(self.matched)).filter(|&index| index > Index::ZERO)
    }

    fn clear_in_flight(&mut self) {
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }

    /// Whether another message with entries may be sent.
    ///
    /// Without a limit, a member that returns after a long absence would receive its whole backlog
    /// at once; heartbeats would queue behind it and the leader would be presumed failed.
    pub(super) fn can_send(&self, config: &Config) -> bool {
        match self.mode {
            Mode::Probe { sent } => !sent,
            Mode::Stream => {
                self.in_flight.len() < config.in_flight_appends
                    && self.in_flight_bytes < config.in_flight_bytes
            }
            Mode::Snapshot => false,
        }
    }

    /// Records that entries up to an index were sent.
    pub(super) fn record_sent(&mut self, last: Index, bytes: usize) {
        match &mut self.mode {
            Mode::Probe { sent } => *sent = true,
            Mode::Stream => {
                self.in_flight.push_back((last, bytes));
                self.in_flight_bytes += bytes;
                self.next = last.next();
            }
            Mode::Snapshot => {}
        }
    }

    /// Whether it missed its heartbeats, or answers them without making progress.
    pub(super) fn has_timed_out(
        &self,
        last: Index,
        response_timeout: Duration,
        advance_timeout: Duration,
        now: Instant,
    ) -> bool {
        let is_stalled = self.matched < last && self.last_advance + advance_timeout <= now;
        !self.unresponsive && (is_stalled || self.last_response + response_timeout <= now)
    }

    /// Time since its last response.
    pub(super) fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_response)
    }

    /// Hashes the state that determines what is sent next, for model checking.
    #[cfg(feature = "faults")]
    pub(super) fn digest(&self, hasher: &mut impl std::hash::Hasher) {
        use std::hash::Hash;

        (
            self.matched,
            self.next,
            self.mode,
            self.unresponsive,
            self.holds_data,
            self.round,
            &self.in_flight,
            self.offered(),
        )
            .hash(hasher);
    }
}

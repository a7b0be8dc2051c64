//! What a leader knows of one other member, and how much it may send to it.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::Config;
use crate::unit::Index;
use crate::unit::Round;

/// How entries are sent to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Mode {
    /// One message at a time, until the logs are found to agree.
    Probe {
        /// Whether it is sent and not answered; repeated with each heartbeat.
        sent: bool,
    },
    /// As many as may be in flight.
    Stream,
    /// It needs entries that are no longer kept, and was offered a snapshot.
    Snapshot,
}

/// The leader's view of one other member.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// The last index at which its synced log is known to agree.
    pub(super) matched: Index,
    /// The next entry to send.
    pub(super) next: Index,
    pub(super) mode: Mode,
    /// Heard since the last quorum check.
    pub(super) heard: bool,
    /// Missed its heartbeats and has not caught up since.
    pub(super) missed: bool,
    /// Whether it holds data, by its own word; unknown until it answers.
    pub(super) holds_data: Option<bool>,
    /// The last round that it answered.
    pub(super) round: Round,
    /// Messages with entries in flight: the last index and the size of each.
    in_flight: VecDeque<(Index, usize)>,
    in_flight_bytes: usize,
    heard_at: Instant,
    advanced_at: Instant,
}

impl Progress {
    /// A member that nothing was heard of in this term. It counts as in touch until it misses heartbeats.
    pub(super) const fn new(last: Index, now: Instant) -> Self {
        Self {
            matched: Index::ZERO,
            next: last.next(),
            mode: Mode::Probe { sent: false },
            heard: true,
            missed: false,
            holds_data: None,
            round: Round::ZERO,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            heard_at: now,
            advanced_at: now,
        }
    }

    /// An answer came.
    pub(super) fn hear(&mut self, round: Round, now: Instant) {
        self.heard = true;
        self.heard_at = now;
        self.round = self.round.max(round);
    }

    /// What looks like silence may be the leader's own.
    pub(super) const fn excuse(&mut self, now: Instant) {
        self.heard_at = now;
        self.advanced_at = now;
    }

    /// Its log agrees up to an index, of the leader's whose last index is given.
    pub(super) fn advance(&mut self, index: Index, last: Index, now: Instant) {
        while let Some(&(_, bytes)) = self.in_flight.front().filter(|(last, _)| *last <= index) {
            self.in_flight_bytes -= bytes;
            self.in_flight.pop_front();
        }
        if index > self.matched || index == last {
            self.advanced_at = now;
        }
        self.matched = self.matched.max(index);
        self.next = self.next.max(index.next());
        if matches!(self.mode, Mode::Probe { .. }) || self.mode == Mode::Snapshot {
            self.mode = Mode::Stream;
            self.next = self.matched.next();
        }
    }

    /// Its log may agree up to an index at most: entries in flight are lost.
    pub(super) fn back_up(&mut self, hint: Index) {
        self.forget_in_flight();
        self.mode = Mode::Probe { sent: false };
        self.next = self.next.min(hint.next()).max(self.matched.next());
    }

    /// The last probe was lost, or its answer was.
    pub(super) const fn probe_again(&mut self) {
        if let Mode::Probe { sent } = &mut self.mode {
            *sent = false;
        }
    }

    /// It needs a snapshot.
    pub(super) fn need_snapshot(&mut self) {
        self.forget_in_flight();
        self.mode = Mode::Snapshot;
    }

    fn forget_in_flight(&mut self) {
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }

    /// Whether another message with entries may leave.
    ///
    /// Without the bound, a member that returns after an hour gets the whole backlog at once: the link
    /// is full, heartbeats wait behind it, and the leader is taken for dead.
    pub(super) fn has_room(&self, config: &Config) -> bool {
        match self.mode {
            Mode::Probe { sent } => !sent,
            Mode::Stream => {
                self.in_flight.len() < config.in_flight_appends
                    && self.in_flight_bytes < config.in_flight_bytes
            }
            Mode::Snapshot => false,
        }
    }

    /// Entries up to an index leave.
    pub(super) fn sent(&mut self, last: Index, bytes: usize) {
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

    /// Whether it missed its heartbeats, or answers them but takes in nothing of what it lacks.
    pub(super) fn is_overdue(
        &self,
        last: Index,
        heartbeats: Duration,
        headway: Duration,
        now: Instant,
    ) -> bool {
        let stuck = self.matched < last && self.advanced_at + headway <= now;
        !self.missed && (stuck || self.heard_at + heartbeats <= now)
    }

    /// How long nothing was heard.
    pub(super) fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard_at)
    }

    /// What decides on what it is sent next, for checks that compare states.
    #[cfg(feature = "faults")]
    pub(super) fn digest(&self, hasher: &mut impl std::hash::Hasher) {
        use std::hash::Hash;

        (
            self.matched,
            self.next,
            self.mode,
            self.missed,
            self.holds_data,
            self.round,
            &self.in_flight,
        )
            .hash(hasher);
    }
}

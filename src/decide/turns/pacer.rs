//! The turns that this VM has used at one upstream.

use std::time::Duration;

use tokio::time::Instant;

use super::MAX_WAIT;
use super::Sender;
use super::Turn;
use super::Turns;

/// How far ahead the next turn is searched for.
const MAX_SEARCH: Duration = Duration::from_secs(2);

/// How many requests a VM may be ahead of its equal share, times the number of VMs. Turns are random, so that several of
/// one VM may follow each other. If its clock is wrong, they overlap those of the others; the fewer VMs, the more that
/// adds.
const MAX_AHEAD_PER_VM: f64 = 0.5;

/// Tracks the turns that this VM has used at one upstream.
#[derive(Debug, Default)]
pub struct Pacer {
    /// The beginning of the last turn used, and the requests sent in it. Earlier turns are used, whatever the view by which
    /// they were assigned.
    last_turn: Option<(Instant, u32)>,
    /// The requests ahead of the equal share, and when they were counted.
    ahead: f64,
    counted_at: Option<Instant>,
}

impl Pacer {
    /// Returns how long requests have to wait; zero if one may be sent now. The search ends after two seconds, and then
    /// that is the result.
    pub fn wait(&self, turns: &Turns, sender: &Sender, now: Instant) -> Duration {
        if self.next_turn(turns, sender, now).is_some() {
            return Duration::ZERO;
        }
        let earliest = self.earliest(turns, sender, now);
        if earliest > MAX_SEARCH {
            return earliest;
        }
        let from = turns.first_valid(sender, now + earliest);
        let until = turns.index_at(sender, now + MAX_SEARCH);
        let mut own = (from..=until).filter_map(|index| turns.own_turn(sender, index));
        let next = own.find(|turn| self.is_free(turn));
        next.map_or(MAX_SEARCH, |turn| turn.begins.saturating_duration_since(now).max(earliest))
    }

    /// Returns whether a request may be sent now.
    pub fn allows(&self, turns: &Turns, sender: &Sender, now: Instant) -> bool {
        self.next_turn(turns, sender, now).is_some()
    }

    /// Records that a request was sent, and returns the turn that it uses; `None` if the VM has none.
    pub fn record_sent(&mut self, turns: &Turns, sender: &Sender, now: Instant) -> Option<Turn> {
        let turn = self.next_turn(turns, sender, now);
        if let Some(turn) = &turn {
            let sent = self.sent_in(turn) + 1;
            self.last_turn = Some((turn.begins, sent));
        }
        self.ahead = self.ahead(turns, sender, now) + 1.0;
        self.counted_at = Some(now);
        turn
    }

    /// Returns the first turn that a request sent now may use.
    fn next_turn(&self, turns: &Turns, sender: &Sender, now: Instant) -> Option<Turn> {
        if !self.earliest(turns, sender, now).is_zero() {
            return None;
        }
        let indices = turns.first_valid(sender, now)..=turns.index_at(sender, now);
        let mut own = indices.filter_map(|index| turns.own_turn(sender, index));
        own.find(|turn| self.is_free(turn))
    }

    /// Returns how long the VM may not send, whoever the turns are assigned to.
    fn earliest(&self, turns: &Turns, sender: &Sender, now: Instant) -> Duration {
        let interval = turns.share_interval_seconds(sender);
        let max_ahead = (turns.validity.as_secs_f64() / interval)
            .max(f64::from(sender.count()) * MAX_AHEAD_PER_VM);
        let excess = (self.ahead(turns, sender, now) - max_ahead).max(0.0);
        let drained = Duration::try_from_secs_f64(excess * interval).unwrap_or(MAX_WAIT);
        drained.min(MAX_WAIT).max(sender.settles_in(now))
    }

    fn is_free(&self, turn: &Turn) -> bool {
        let is_later = self.last_turn.is_none_or(|(begins, _)| turn.begins >= begins);
        is_later && self.sent_in(turn) < turn.requests
    }

    /// Returns the requests sent in the turn, if it is the last one used.
    fn sent_in(&self, turn: &Turn) -> u32 {
        self.last_turn.filter(|(begins, _)| *begins == turn.begins).map_or(0, |(_, sent)| sent)
    }

    fn ahead(&self, turns: &Turns, sender: &Sender, now: Instant) -> f64 {
        let elapsed =
            self.counted_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (self.ahead - elapsed.as_secs_f64() / turns.share_interval_seconds(sender)).max(0.0)
    }
}

//! How many requests a second an upstream can refuse for want of room.

use tokio::time::Instant;

use super::Feedback;
use super::Source;
use super::Statement;
use crate::unit::Rate;

/// What one incarnation of an upstream has stated of the requests that it can refuse.
#[derive(Debug, Default)]
pub struct RefusalLimit {
    /// What the last response showed, and when.
    latest: Option<(Option<Rate>, Instant)>,
}

impl RefusalLimit {
    /// Records a response to a request that was sent at `sent_at`.
    ///
    /// An answer without a limit ends it only if its request was sent after the limit was last stated: an earlier one may
    /// have been overtaken.
    pub fn record(&mut self, feedback: &Feedback, sent_at: Instant, now: Instant) {
        match &feedback.refusal_limit {
            Statement::Value(rate) => self.latest = Some((Some(*rate), now)),
            Statement::Absent if !feedback.is_refusal => {
                if self.latest.is_none_or(|(_, at)| at < sent_at) {
                    self.latest = Some((None, sent_at));
                }
            }
            Statement::Absent | Statement::Invalid(_) => (),
        }
    }

    /// Returns the limit in force.
    pub fn rate(&self) -> Option<Rate> {
        self.latest.and_then(|(rate, _)| rate)
    }

    /// Returns whether no response has shown yet whether there is a limit.
    pub const fn is_unknown(&self) -> bool {
        self.latest.is_none()
    }

    /// Returns when the upstream showed the current state, and how this VM knows.
    pub fn known(&self) -> Option<(Instant, Source)> {
        self.latest.map(|(_, at)| (at, Source::Response))
    }
}

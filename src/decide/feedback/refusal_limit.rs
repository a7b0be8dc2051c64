//! How many requests a second an upstream can refuse for want of room.

use tokio::time::Instant;

use super::Feedback;
use super::Source;
use super::Statement;
use super::pace::Pace;
use crate::decide::sharing::Key;
use crate::decide::turns::Pacer;
use crate::decide::turns::Sender;
use crate::decide::turns::Turns;
use crate::unit::Rate;

/// The fraction of the limit that VMs may risk where nothing shows whether there is room.
const RISKED_FRACTION: f64 = 0.5;

/// What one incarnation of an upstream has stated of the requests that it can refuse.
#[derive(Debug, Default)]
pub struct RefusalLimit {
    /// What the last response showed, and when.
    latest: Option<(Option<Rate>, Instant)>,
    pacer: Pacer,
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

    /// Returns whether no response has shown since then whether there is a limit.
    pub fn is_unknown_since(&self, since: Instant) -> bool {
        self.latest.is_none_or(|(_, at)| at < since)
    }

    /// Returns whether a request may be sent now that it may have to refuse, under that limit.
    pub fn allows(&self, limit: Rate, key: Key, sender: &Sender, now: Instant) -> bool {
        self.pacer.allows(&turns(limit, key, sender), sender, now)
    }

    /// Records that such a request was sent.
    pub fn record_sent(&mut self, limit: Rate, key: Key, sender: &Sender, now: Instant) {
        self.pacer.record_sent(&turns(limit, key, sender), sender, now);
    }

    /// Returns when the upstream showed the current state, and how this VM knows.
    pub fn known(&self) -> Option<(Instant, Source)> {
        self.latest.map(|(_, at)| (at, Source::Response))
    }
}

fn turns(limit: Rate, key: Key, sender: &Sender) -> Turns {
    Pace::limited(Rate::per_second(limit.get() * RISKED_FRACTION)).turns(key, sender)
}

//! The rate limit of one upstream.

use tokio::time::Instant;

use super::Source;
use super::Statement;
use crate::unit::Rate;

/// What a response showed: a limit or that there is none.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Evidence {
    rate: Option<Rate>,
    at: Instant,
}

/// The rate limit of one upstream over all VMs.
#[derive(Debug, Default)]
pub struct Limit {
    latest: Option<Evidence>,
    source: Source,
}

impl Limit {
    /// Records what a response stated. `sent_at` is when the request was sent.
    ///
    /// A response without a limit ends it only if its request was sent after the limit was last stated. An earlier one
    /// may have been answered before the limit began, and have been overtaken.
    pub fn record(&mut self, stated: &Statement<Rate>, sent_at: Instant, now: Instant) {
        match stated {
            Statement::Value(rate) => {
                self.update(Evidence { rate: Some(*rate), at: now }, Source::Response);
            }
            Statement::Absent if self.rate().is_some() => {
                self.update(Evidence { rate: None, at: sent_at }, Source::Response);
            }
            Statement::Absent | Statement::Invalid(_) => (),
        }
    }

    /// Returns the limit in force.
    pub fn rate(&self) -> Option<Rate> {
        self.latest.and_then(|latest| latest.rate)
    }

    /// Returns when the upstream showed the current state, and how this VM knows.
    pub fn known(&self) -> Option<(Instant, Source)> {
        Some((self.latest?.at, self.source))
    }

    fn update(&mut self, evidence: Evidence, source: Source) {
        if self.latest.is_some_and(|latest| latest.at >= evidence.at) {
            return;
        }
        self.latest = Some(evidence);
        self.source = source;
    }
}

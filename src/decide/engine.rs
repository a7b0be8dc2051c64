//! Latency model of an inference engine, learned from the response streams of its service.
//!
//! **Load pattern.** An engine generates one token for each running request per step and prefills prompts between steps.
//! Steps get longer with the batch size and with each prefill, so an answer in a batch of 128 takes three times as long
//! as in a batch of 15, even if both start at once.
//!
//! **Without it.** Compared by the time to the first event alone, all engines with a free slot look equal. Some engines of a
//! region fill up while others run a few requests, and long answers exceed their deadlines.
//!
//! **Model.** Two lines per service: the time to the first event over the tokens to prefill, and the gap between events over
//! the batch size, without the time for prefills. Both are fitted through running quantiles, which are robust against
//! stalled streams and wrong load reports. [`Length`] predicts the number of events of an answer.

mod length;
mod quantile;
mod regression;

use std::time::Duration;

pub use length::Length;
pub use length::Output;
pub use quantile::Quantile;
pub use regression::Line;
pub use regression::Regression;

/// Prior for the time to the first event: 50 ms plus 20 µs per token.
const PRIOR_FIRST_EVENT: Line = Line { intercept: 0.05, slope: 1.0 / 50_000.0 };

/// Prior for the gap between events: 40 ms, doubled in a batch of sixty.
const PRIOR_GAP: Line = Line { intercept: 0.04, slope: 0.04 / 60.0 };

/// The quantile of the gaps that the line follows. Prefills lengthen gaps and are more frequent in large batches, so the
/// median would attribute their time to the batch size. The lower quartile is free of prefills even in an engine that
/// spends half of its time on them.
const GAP_QUANTILE: f64 = 0.25;

/// Estimates the latency of the engines of one service.
#[derive(Debug, Clone)]
pub struct Engine {
    first_event: Regression,
    gap: Regression,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            first_event: Regression::new(PRIOR_FIRST_EVENT, 0.5),
            gap: Regression::new(PRIOR_GAP, GAP_QUANTILE),
        }
    }
}

impl Engine {
    /// Records the time to a first event that was preceded by the prefill of `tokens`.
    pub fn record_first_event(&mut self, tokens: f64, elapsed: Duration) {
        self.first_event.add(tokens, elapsed.as_secs_f64());
    }

    /// Records the gap between two events of a stream in a batch of `running` requests.
    pub fn record_gap(&mut self, running: f64, gap: Duration) {
        self.gap.add(running, gap.as_secs_f64());
    }

    /// Returns the current estimates.
    pub fn speed(&self) -> Speed {
        Speed { first_event: self.first_event.line(), gap: self.gap.line() }
    }
}

/// Estimated latencies of an engine, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    first_event: Line,
    gap: Line,
}

impl Speed {
    /// Returns the time from arrival to the first event if `tokens` are to be prefilled before it.
    pub fn first_event(&self, tokens: f64) -> f64 {
        self.first_event.at(tokens)
    }

    /// Returns the time to prefill `tokens`.
    pub fn prefill(&self, tokens: f64) -> f64 {
        self.first_event.slope * tokens
    }

    /// Returns the gap between events in a batch of `running` requests, without prefills.
    pub fn gap(&self, running: f64) -> f64 {
        self.gap.at(running)
    }

    /// Returns how much each further running request lengthens the gap between events.
    pub const fn gap_per_request(&self) -> f64 {
        self.gap.slope
    }
}

#[cfg(test)]
mod tests;

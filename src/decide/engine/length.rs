//! Prediction of the number of events of an answer.

use super::Quantile;
use crate::decide::route::Ewma;
use crate::unit::Tokens;

/// Events per token before any answer was observed.
const DEFAULT_EVENTS_PER_TOKEN: f64 = 0.2;

/// Upper bound of a prediction, in case a request states an absurd limit or hint.
const MAX_EVENTS: f64 = 100_000.0;

/// What a request states about the length of its answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Output {
    /// The maximum number of tokens to generate; zero if the request has no limit.
    pub limit: Tokens,
    /// The length that the caller expects. Its median error is zero, but a factor of two is common.
    pub hint: Option<Tokens>,
}

impl Output {
    /// Returns the expected number of tokens at the end of the answer.
    pub fn likely(&self) -> Tokens {
        match self.hint {
            Some(hint) if hint < self.limit => hint,
            _ => self.limit,
        }
    }
}

/// Predicts the lengths of the answers of a service from those observed.
#[derive(Debug, Default, Clone, Copy)]
pub struct Length {
    per_hint: Quantile,
    per_limit: Quantile,
    /// The mean number of events, for requests without a hint or a limit.
    events: Ewma,
}

impl Length {
    /// Records the number of events of a complete answer.
    pub fn record(&mut self, output: &Output, events: u32) {
        let events = f64::from(events);
        self.events.add(events);
        if let Some(hint) = output.hint {
            self.per_hint.add(events / hint.get() as f64);
        }
        self.per_limit.add(events / output.limit.get() as f64);
    }

    /// Predicts the number of events of an answer; the mean if the request has neither a hint nor a limit.
    pub fn events(&self, output: &Output) -> f64 {
        let limit = output.limit.get() as f64;
        let events = match output.hint {
            Some(hint) => {
                let hint = hint.get() as f64;
                hint * self.per_hint.get().unwrap_or(DEFAULT_EVENTS_PER_TOKEN)
            }
            None if output.limit == Tokens::ZERO => self.events.get().unwrap_or(0.0),
            None => limit * self.per_limit.get().unwrap_or(DEFAULT_EVENTS_PER_TOKEN),
        };
        events.clamp(0.0, MAX_EVENTS)
    }
}

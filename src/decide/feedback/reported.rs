//! What the log has been told of an upstream's restrictions.

use std::time::Duration;

use tokio::time::Instant;

use super::Event;
use super::Source;
use crate::unit::Rate;

/// Minimum interval between reports of one upstream, which bounds the log if a statement changes with each response.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The same for headers that are ignored, which an upstream may send with each response.
const IGNORED_INTERVAL: Duration = Duration::from_secs(60);

/// The state of one restriction.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum State {
    /// The rate limit.
    Limit(Option<Rate>),
    /// How many requests it can refuse.
    RefusalLimit(Option<Rate>),
    /// Whether the upstream is draining.
    Draining(bool),
    /// The end of the time without requests.
    Backoff(Option<Instant>),
}

/// A state, with when the upstream stated it and how this VM knows.
pub type Known = (State, Option<(Instant, Source)>);

/// The state that was last reported.
#[derive(Debug)]
pub struct Reported {
    at: Option<Instant>,
    ignored_at: Option<Instant>,
    states: [State; 4],
}

impl Default for Reported {
    fn default() -> Self {
        let states = [
            State::Limit(None),
            State::RefusalLimit(None),
            State::Draining(false),
            State::Backoff(None),
        ];
        Self { at: None, ignored_at: None, states }
    }
}

impl Reported {
    /// Returns the events that lead from the reported states to these, unless the last report was just before.
    pub fn take_events(
        &mut self,
        states: [Known; 4],
        ignored: Option<(&'static str, String)>,
        now: Instant,
    ) -> Vec<(Event, Option<(Instant, Source)>)> {
        let is_within = |at: Option<Instant>, span: Duration| {
            at.is_some_and(|at| now.saturating_duration_since(at) < span)
        };
        let mut events = Vec::new();
        if let Some((name, value)) = ignored
            && !is_within(self.ignored_at, IGNORED_INTERVAL)
        {
            self.ignored_at = Some(now);
            events.push((Event::HeaderIgnored { name, value }, Some((now, Source::Response))));
        }
        if is_within(self.at, REPORT_INTERVAL) {
            return events;
        }
        for (reported, (state, known)) in self.states.iter_mut().zip(states) {
            let event = event(*reported, state, now);
            *reported = state;
            events.extend(event.map(|event| (event, known)));
        }
        if !events.is_empty() {
            self.at = Some(now);
        }
        events
    }

    /// Lets the next report follow at once.
    pub const fn expire(&mut self) {
        self.at = None;
    }
}

/// Returns what leads from one state to another, if anything.
fn event(before: State, after: State, now: Instant) -> Option<Event> {
    match (before, after) {
        (before, after) if before == after => None,
        (State::Limit(None), State::Limit(Some(rate))) => Some(Event::LimitBegan(rate)),
        (_, State::Limit(Some(rate))) => Some(Event::LimitChanged(rate)),
        (_, State::Limit(None)) => Some(Event::LimitEnded),
        (State::RefusalLimit(None), State::RefusalLimit(Some(rate))) => {
            Some(Event::RefusalLimitBegan(rate))
        }
        (_, State::RefusalLimit(Some(rate))) => Some(Event::RefusalLimitChanged(rate)),
        (_, State::RefusalLimit(None)) => Some(Event::RefusalLimitEnded),
        (_, State::Draining(true)) => Some(Event::DrainBegan),
        (_, State::Draining(false)) => Some(Event::DrainEnded),
        (State::Backoff(None), State::Backoff(Some(until))) => {
            Some(Event::BackoffBegan(until.saturating_duration_since(now)))
        }
        (_, State::Backoff(Some(until))) => {
            Some(Event::BackoffExtended(until.saturating_duration_since(now)))
        }
        (_, State::Backoff(None)) => Some(Event::BackoffEnded),
    }
}

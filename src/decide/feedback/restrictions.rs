//! All restrictions of one upstream.

use std::time::Duration;

use tokio::time::Instant;

use super::Backoff;
use super::Change;
use super::Event;
use super::Feedback;
use super::Limit;
use super::RefusalLimit;
use super::Source;
use super::Statement;
use super::reported::Reported;
use super::reported::State;
use crate::decide::sharing::Key;
use crate::decide::turns::Sender;
use crate::id;

/// Upper bound on the wait for a VM's turn at a rate limit that callers are told.
const MAX_TURN_WAIT: Duration = Duration::from_secs(2);

/// How long statements of an upstream are held that is not in the roster. It may return there from a control VM that
/// has not heard of its end.
const RETENTION: Duration = Duration::from_secs(60);

/// What one incarnation of an upstream has stated.
#[derive(Debug, Default)]
pub struct Restrictions {
    /// The rate limit.
    pub limit: Limit,
    /// How many requests it can refuse.
    pub refusal_limit: RefusalLimit,
    /// When the upstream first stated that it is draining, and how this VM knows. It does not return until it has
    /// restarted.
    draining: Option<(Instant, Source)>,
    /// The time without requests from this VM.
    pub backoff: Backoff,
    /// The last header that could not be decoded, until it is reported.
    ignored: Option<(&'static str, String)>,
    reported: Reported,
}

impl Restrictions {
    /// Creates the state of a new incarnation, which has not stated anything. The log is told what ended.
    #[must_use]
    pub fn restarted(self) -> Self {
        Self { reported: self.reported, ..Self::default() }
    }

    /// Records the feedback of a response to a request that was sent at `sent_at`.
    pub fn record(&mut self, feedback: &Feedback, sent_at: Instant, now: Instant) {
        self.refusal_limit.record(feedback, sent_at, now);
        if !feedback.is_refusal || feedback.rate_limit != Statement::Absent {
            self.limit.record(&feedback.rate_limit, sent_at, now);
        }
        if feedback.draining == Statement::Value(true) {
            self.record_draining(Source::Response, now);
        }
        match feedback.backoff {
            Statement::Value(span) => self.backoff.record(span, now),
            Statement::Absent | Statement::Invalid(_) => self.backoff.record_response(sent_at),
        }
        let invalid = [
            ("rate limit", feedback.rate_limit.invalid()),
            ("refusal limit", feedback.refusal_limit.invalid()),
            ("draining", feedback.draining.invalid()),
            ("backoff", feedback.backoff.invalid()),
        ];
        let mut ignored = invalid.into_iter().filter_map(|(name, text)| Some((name, text?)));
        if let Some((name, text)) = ignored.next() {
            self.ignored = Some((name, text.to_owned()));
        }
    }

    /// Records that a request was sent to the upstream with the given key.
    pub fn record_sent(&mut self, key: Key, sender: &Sender, now: Instant) {
        self.limit.record_sent(key, sender, now);
        self.backoff.record_sent(now);
    }

    /// Returns whether a request of this VM may be sent now.
    pub fn allows(&self, key: Key, sender: &Sender, now: Instant) -> bool {
        self.backoff.wait(now).is_zero() && self.limit.allows(key, sender, now)
    }

    /// Returns how long callers have to wait who may come to another VM, which may have its turn at a rate limit sooner.
    pub fn caller_wait(&self, key: Key, sender: &Sender, now: Instant) -> Duration {
        self.limit.wait(key, sender, now).min(MAX_TURN_WAIT).max(self.backoff.wait(now))
    }

    /// Records that the upstream is draining.
    ///
    /// What a VM received itself replaces another VM's news: it may be passed on.
    pub fn record_draining(&mut self, source: Source, now: Instant) {
        let known = self.draining.get_or_insert((now, source));
        if known.1 == Source::Vm {
            known.1 = source;
        }
    }

    /// Returns whether this VM knows by itself that the upstream is draining, so that it tells the others.
    pub fn announces_draining(&self) -> bool {
        self.draining.is_some_and(|(_, source)| source != Source::Vm)
    }

    /// Returns whether anything is held that would be missing if the upstream returned to the roster.
    pub fn is_needed(&self, now: Instant) -> bool {
        let last = [self.draining, self.limit.known(), self.backoff.known()]
            .into_iter()
            .flatten()
            .map(|(at, _)| at)
            .max();
        last.is_some_and(|at| now.saturating_duration_since(at) < RETENTION)
    }

    /// Returns whether the upstream is draining.
    pub const fn is_draining(&self) -> bool {
        self.draining.is_some()
    }

    /// Returns the changes since the last call, for the log.
    pub fn take_changes(&mut self, upstream: &id::Upstream, now: Instant) -> Vec<Change> {
        let until = self.backoff.until(now);
        let states = [
            (State::Limit(self.limit.rate()), self.limit.known()),
            (State::RefusalLimit(self.refusal_limit.rate()), self.refusal_limit.known()),
            (State::Draining(self.is_draining()), self.draining),
            (State::Backoff(until), self.backoff.known()),
        ];
        let ignored = self.ignored.take();
        let events = self.reported.take_events(states, ignored, now);
        let change = |(event, known): (Event, Option<(Instant, Source)>)| {
            // Without a statement of this incarnation, the roster says that the upstream has restarted or is gone.
            let (at, source) = known.unwrap_or((now, Source::Roster));
            let age = now.saturating_duration_since(at);
            Change { upstream: upstream.clone(), event, source, age }
        };
        events.into_iter().map(change).collect()
    }

    /// Returns the last changes of an upstream that is gone.
    pub fn into_changes(mut self, upstream: &id::Upstream, now: Instant) -> Vec<Change> {
        self.reported.expire();
        self.take_changes(upstream, now)
    }
}

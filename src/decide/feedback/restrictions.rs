//! All restrictions of one upstream.

use std::time::Duration;

use tokio::time::Instant;

use super::Backoff;
use super::Change;
use super::Event;
use super::Feedback;
use super::Limit;
use super::Source;
use super::Statement;
use crate::decide::turns::Sender;
use crate::id;
use crate::unit::Rate;

/// Minimum interval between log entries about one upstream, which bounds the log if a statement changes with each
/// response.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Upper bound on the wait for a VM's turn at a rate limit that callers are told.
const MAX_TURN_WAIT: Duration = Duration::from_secs(2);

/// How long statements of an upstream are held that is not in the roster. It may return there from a control VM that
/// has not heard of its end.
const RETENTION: Duration = Duration::from_secs(60);

/// The state that was last reported to the log.
#[derive(Debug, Default)]
struct Reported {
    at: Option<Instant>,
    rate: Option<Rate>,
    is_draining: bool,
    backoff_until: Option<Instant>,
}

/// What one incarnation of an upstream has stated.
#[derive(Debug, Default)]
pub struct Restrictions {
    /// The rate limit.
    pub limit: Limit,
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
        if let Statement::Invalid(text) = &feedback.backoff {
            self.ignored = Some(("backoff", text.clone()));
        }
        if let Statement::Invalid(text) = &feedback.rate_limit {
            self.ignored = Some(("rate limit", text.clone()));
        }
        if let Statement::Invalid(text) = &feedback.draining {
            self.ignored = Some(("draining", text.clone()));
        }
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, sender: Sender, now: Instant) {
        self.limit.record_sent(sender, now);
        self.backoff.record_sent(now);
    }

    /// Returns how long requests of this VM have to wait; zero if one may be sent now.
    pub fn wait(&self, sender: Sender, now: Instant) -> Duration {
        self.limit.wait(sender, now).max(self.backoff.wait(now))
    }

    /// Returns how long callers have to wait who may come to another VM, which may have its turn at a rate limit sooner.
    pub fn caller_wait(&self, sender: Sender, now: Instant) -> Duration {
        self.limit.wait(sender, now).min(MAX_TURN_WAIT).max(self.backoff.wait(now))
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

    /// Returns the last changes of an upstream that is gone.
    pub fn into_changes(mut self, upstream: &id::Upstream, now: Instant) -> Vec<Change> {
        self.reported.at = None;
        self.take_changes(upstream, now)
    }

    /// Returns the changes since the last call, for the log.
    pub fn take_changes(&mut self, upstream: &id::Upstream, now: Instant) -> Vec<Change> {
        let is_unchanged = self.reported.rate == self.limit.rate()
            && self.reported.is_draining == self.is_draining()
            && self.reported.backoff_until == self.backoff.until(now)
            && self.ignored.is_none();
        let is_early =
            self.reported.at.is_some_and(|at| now.saturating_duration_since(at) < LOG_INTERVAL);
        if is_unchanged || is_early {
            return Vec::new();
        }
        self.reported.at = Some(now);
        let mut changes = Vec::new();
        let mut add = |event, known: Option<(Instant, Source)>| {
            let (at, source) = known.unwrap_or((now, Source::Response));
            let age = now.saturating_duration_since(at);
            changes.push(Change { upstream: upstream.clone(), event, source, age });
        };
        if let Some((name, value)) = self.ignored.take() {
            add(Event::HeaderIgnored { name, value }, None);
        }
        let rate = self.limit.rate();
        let event = match (self.reported.rate, rate) {
            (None, Some(rate)) => Some(Event::LimitBegan(rate)),
            (Some(before), Some(rate)) if before != rate => Some(Event::LimitChanged(rate)),
            (Some(_), None) => Some(Event::LimitEnded),
            _ => None,
        };
        if let Some(event) = event {
            add(event, self.limit.known());
        }
        self.reported.rate = rate;
        let is_draining = self.is_draining();
        match (self.reported.is_draining, is_draining) {
            (false, true) => add(Event::DrainBegan, self.draining),
            (true, false) => add(Event::DrainEnded, None),
            _ => (),
        }
        self.reported.is_draining = is_draining;
        let until = self.backoff.until(now);
        let left = until.map(|until| until.saturating_duration_since(now));
        match (self.reported.backoff_until, left) {
            (None, Some(left)) => add(Event::BackoffBegan(left), self.backoff.known()),
            (Some(before), Some(left)) if Some(before) != until => {
                add(Event::BackoffExtended(left), self.backoff.known());
            }
            (Some(_), None) => add(Event::BackoffEnded, None),
            _ => (),
        }
        self.reported.backoff_until = until;
        changes
    }
}

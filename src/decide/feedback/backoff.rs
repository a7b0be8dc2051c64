//! The time for which an upstream wants no requests from this VM.
//!
//! Failure: an upstream refuses each request within a millisecond. Its slots are free, so it looks like the least loaded
//! one and attracts more requests than before, which lose their attempts there.
//!
//! After that time one request probes the upstream, and the others follow once it has been answered.

use std::time::Duration;

use tokio::time::Instant;

use super::Source;

/// Upper bound of a backoff. An upstream that states more, perhaps by mistake, is asked again after it.
const MAX_BACKOFF: Duration = Duration::from_secs(3600);

/// How long an unanswered probe keeps other requests back.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The time for which an upstream wants no requests from this VM.
#[derive(Debug, Default)]
pub struct Backoff {
    /// The end; `None` once a request that was sent after it has been answered.
    until: Option<Instant>,
    stated_at: Option<Instant>,
    /// When the last request was sent after the end.
    probed_at: Option<Instant>,
}

impl Backoff {
    /// Records a refusal that asks for that time. A shorter one does not shorten a longer one.
    pub fn record(&mut self, span: Duration, now: Instant) {
        let until = now + span.min(MAX_BACKOFF);
        if self.until.is_none_or(|known| known < until) {
            self.until = Some(until);
            self.stated_at = Some(now);
            self.probed_at = None;
        }
    }

    /// Records any other response to a request that was sent at `sent_at`. Requests that were sent before the upstream
    /// asked for a pause don't end it.
    pub fn record_response(&mut self, sent_at: Instant) {
        self.until = self.until.filter(|until| sent_at < *until);
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.probed_at = Some(now).filter(|_| self.until.is_some());
    }

    /// Returns how long requests have to wait; zero if one may be sent now.
    pub fn wait(&self, now: Instant) -> Duration {
        let Some(until) = self.until else { return Duration::ZERO };
        let probe_ends = self.probed_at.map(|at| at + PROBE_TIMEOUT);
        probe_ends.unwrap_or(until).max(until).saturating_duration_since(now)
    }

    /// Returns the end of the time, if it is not over.
    pub fn until(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|until| now < *until)
    }

    /// Returns when the upstream stated it.
    pub fn known(&self) -> Option<(Instant, Source)> {
        Some((self.stated_at?, Source::Response))
    }
}

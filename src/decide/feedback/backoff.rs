//! The time for which an upstream wants no requests from this VM.

use std::time::Duration;

use tokio::time::Instant;

use super::Source;

/// Upper bound of a backoff. An upstream that states more, perhaps by mistake, is asked again after it.
const MAX_BACKOFF: Duration = Duration::from_secs(3600);

/// The time for which an upstream wants no requests from this VM.
#[derive(Debug, Default)]
pub struct Backoff {
    until: Option<Instant>,
    stated_at: Option<Instant>,
}

impl Backoff {
    /// Records a refusal that asks for that time. A shorter one does not shorten a longer one.
    pub fn record(&mut self, span: Duration, now: Instant) {
        let until = now + span.min(MAX_BACKOFF);
        if self.until.is_none_or(|known| known < until) {
            self.until = Some(until);
            self.stated_at = Some(now);
        }
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

//! Upstreams that have not answered a request that was given up.
//!
//! Load pattern: an upstream stands still while its host accepts connections and requests. Requests that may be repeated are
//! given up there after a fraction of a second, so that none is waiting for long and the upstream looks idle. It reads all of
//! them when it goes on, long after others have answered them.
//!
//! Such an upstream is sent one request at a time, at growing intervals, until it answers, also where there is no other: a
//! request is better refused at once than given up later.

use std::time::Duration;

use tokio::time::Instant;

/// The time between the first request that was given up and the next one; doubles with each further one.
const MIN_INTERVAL: Duration = Duration::from_millis(500);

/// The longest time between two requests.
const MAX_INTERVAL: Duration = Duration::from_secs(3);

/// What an upstream has not answered.
#[derive(Debug, Default)]
pub struct Silence {
    /// Requests that were given up since the upstream last responded, and that it may still run.
    unanswered: u32,
    probe: Option<Probe>,
}

/// The next request to a silent upstream.
#[derive(Debug)]
struct Probe {
    at: Instant,
    interval: Duration,
    silent_since: Instant,
}

impl Silence {
    /// Records that a request was given up, which was sent at `sent_at` to an upstream that last responded to any VM at `heard`.
    pub fn record_unanswered(&mut self, sent_at: Instant, heard: Option<Instant>, now: Instant) {
        if heard.is_some_and(|heard| heard >= sent_at) {
            return;
        }
        self.unanswered = self.unanswered.saturating_add(1);
        self.probe.get_or_insert_with(|| Probe {
            at: now + MIN_INTERVAL,
            interval: MIN_INTERVAL,
            silent_since: sent_at,
        });
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: Instant) {
        if let Some(probe) = &mut self.probe {
            probe.interval = (probe.interval * 2).min(MAX_INTERVAL);
            probe.at = now + probe.interval;
        }
    }

    /// Returns how long requests have to wait; zero if one may be sent now. `heard` tells when the upstream last responded to
    /// another VM; it is asked for a silent one only.
    pub fn wait(&self, heard: impl FnOnce() -> Option<Instant>, now: Instant) -> Duration {
        let Some(probe) = &self.probe else { return Duration::ZERO };
        match heard() {
            Some(heard) if heard > probe.silent_since => Duration::ZERO,
            _ => probe.at.saturating_duration_since(now),
        }
    }

    /// Returns how long it has not responded; `None` if it is not silent.
    pub fn duration(&self, now: Instant) -> Option<Duration> {
        let probe = self.probe.as_ref()?;
        Some(now.saturating_duration_since(probe.silent_since))
    }

    /// Returns the number of requests that the upstream may still run although they were given up.
    pub const fn unanswered(&self) -> u32 {
        self.unanswered
    }
}

#[cfg(test)]
mod tests;

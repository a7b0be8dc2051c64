//! What upstreams state in their responses: records it, and passes it on to the other VMs and to the log.

use std::time::Duration;

use tokio::time::Instant;

use super::Balancer;
use super::InFlight;
use super::UpstreamState;
use super::state_of;
use crate::decide::feedback::Change;
use crate::decide::feedback::Feedback;
use crate::decide::feedback::RateNotice;
use crate::decide::feedback::Source;
use crate::decide::feedback::Statement;
use crate::decide::sharing::Key;

/// Maximum number of rate limits, and of draining upstreams, in a message to other VMs.
const MAX_NOTICES: usize = 256;

impl Balancer {
    /// Returns the rate limits that this VM found in responses of a shard's upstreams.
    pub fn rate_notices(&self, shard: u8, now: Instant) -> Vec<(Key, RateNotice)> {
        let upstreams = self.upstreams.values().filter(|upstream| upstream.key().shard() == shard);
        let notices = upstreams.filter_map(|upstream| {
            Some((upstream.key(), upstream.restrictions.limit.notice(now)?))
        });
        notices.take(MAX_NOTICES).collect()
    }

    /// Returns the upstreams of a shard of which this VM knows by itself that they are draining.
    pub fn draining(&self, shard: u8) -> Vec<Key> {
        let upstreams = self.upstreams.values().filter(|upstream| upstream.key().shard() == shard);
        let draining = upstreams.filter(|upstream| upstream.restrictions.announces_draining());
        draining.map(UpstreamState::key).take(MAX_NOTICES).collect()
    }

    /// Returns the time until the first upstream accepts a request of a caller, if restrictions or turns exclude it on all
    /// of them now; otherwise `None`.
    pub fn next_opening(&self, service: &str, now: Instant) -> Option<Duration> {
        let sender = self.sender(service);
        let demand = self.demand(service, now);
        let room_wait = self.room_wait(service, now);
        let waits = self.available(service).map(|(_, upstream)| {
            let wait = upstream.caller_wait(sender, now);
            if demand.has_room(upstream) { wait } else { wait.max(room_wait) }
        });
        waits.min().filter(|wait| !wait.is_zero())
    }

    /// Returns how many requests the cold upstreams of a service take from this VM within a time; `None` if others take
    /// more.
    pub fn turns_within(&self, service: &str, span: Duration, now: Instant) -> Option<f64> {
        let sender = self.sender(service);
        self.available(service).map(|(_, upstream)| upstream.turns_within(span, sender, now)).sum()
    }

    /// Records what an upstream states in its response to a request.
    pub fn record_feedback(&mut self, in_flight: &InFlight, feedback: &Feedback, now: Instant) {
        let found = state_of(&mut self.upstreams, &mut self.services, in_flight);
        let Some((upstream, stats)) = found else { return };
        upstream.restrictions.record(feedback, in_flight.sent_at, now);
        if let Statement::Value(limit) = feedback.refusal_limit {
            stats.record_refusal_limit(limit, now);
            if feedback.is_refusal {
                upstream.record_refusal(now);
            }
        }
    }

    /// Returns the restrictions that began, changed or ended since the last call, for the log.
    pub fn take_changes(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = std::mem::take(&mut self.ended);
        for (id, upstream) in &mut self.upstreams {
            changes.extend(upstream.restrictions.take_changes(id, now));
            changes.extend(upstream.take_bound_event(now).map(|event| Change {
                upstream: id.clone(),
                event,
                source: Source::Response,
                age: Duration::ZERO,
            }));
        }
        changes
    }

    /// Returns the number of upstreams known to be draining.
    pub fn draining_count(&self) -> usize {
        self.upstreams.values().filter(|upstream| upstream.restrictions.is_draining()).count()
    }

    /// Returns the number of upstreams that want no requests from this VM at present.
    pub fn backoff_count(&self, now: Instant) -> usize {
        let upstreams = self.upstreams.values();
        upstreams.filter(|upstream| upstream.restrictions.backoff.until(now).is_some()).count()
    }

    /// Returns the number of upstreams that state how many requests they can refuse.
    pub fn refusal_limited_count(&self) -> usize {
        let upstreams = self.upstreams.values();
        upstreams.filter_map(|upstream| upstream.restrictions.refusal_limit.rate()).count()
    }

    /// Returns the number of upstreams that have shown by rejections how many requests they hold at most.
    pub fn bounded_count(&self, now: Instant) -> usize {
        self.upstreams.values().filter(|upstream| upstream.has_bound(now)).count()
    }

    /// Returns the number of upstreams that state a rate limit.
    pub fn limited_count(&self) -> usize {
        let limits =
            self.upstreams.values().filter_map(|upstream| upstream.restrictions.limit.rate());
        limits.count()
    }
}

//! Load of an upstream as exchanged among the VMs of a region.

use std::time::Duration;

use tokio::time::Instant;

use super::UpstreamState;
use crate::decide::engine::Speed;
use crate::decide::place::Prefix;
use crate::decide::sharing;
use crate::decide::sharing::Key;
use crate::decide::sharing::Load;

/// An upstream with running requests is unresponsive if no VM received anything from it for this time plus twice the
/// time that its queued prefills take.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(700);
const UNRESPONSIVE_PREFILLS: f64 = 2.0;

/// How long after a gap summaries may lack the load of some VMs.
const HOST_SETTLING_TIME: Duration = sharing::UPDATE_INTERVAL.saturating_mul(2);

/// A plain service that has not responded for this many mean service times takes longer than usual.
const USUAL_SERVICE_TIMES: u32 = 2;

impl UpstreamState {
    /// Returns the key that identifies this incarnation among the VMs of the region.
    pub fn key(&self) -> Key {
        self.key
    }

    /// Returns the age of the load from other VMs, or `None` if there is none or it is stale.
    pub fn load_age(&self, now: Instant) -> Option<Duration> {
        let (_, at) = self.peer_load?;
        let age = now.saturating_duration_since(at);
        (age < sharing::SUMMARY_TTL).then_some(age)
    }

    /// Returns whether the load from other VMs is current.
    pub fn has_peer_load(&self, now: Instant) -> bool {
        self.load_age(now).is_some()
    }

    /// Returns the load from other VMs, if it is current.
    pub fn peer_load(&self, now: Instant) -> Option<Load> {
        let age = self.load_age(now)?;
        self.peer_load.map(|(load, _)| load.aged(age))
    }

    /// Returns the load from other VMs, if it is current and their host has heard from all of them: one that has just begun
    /// reports the load of a few.
    pub fn settled_peer_load(&self, now: Instant) -> Option<Load> {
        let since = self.peers_since?;
        let load = self.peer_load(now)?;
        (now.saturating_duration_since(since) >= HOST_SETTLING_TIME).then_some(load)
    }

    /// Updates the load from other VMs.
    pub fn set_peer_load(&mut self, load: Load, now: Instant) {
        let is_next = self.load_age(now).is_some_and(|age| age < HOST_SETTLING_TIME);
        if !is_next {
            self.peers_since = Some(now);
        }
        self.peer_load = Some((load, now));
        self.running_at_summary = self.running();
    }

    /// Records that another VM sent a prompt with the prefix.
    pub fn record_peer_use(&mut self, prefix: Prefix, now: Instant) {
        if let Some(memory) = self.endpoint.memory {
            self.cache.record_use(prefix, memory, now);
        }
    }

    /// Returns this VM's load, for the other VMs.
    pub fn load(&self, now: Instant) -> Load {
        let since = |then: Option<Instant>| then.map(|then| now.saturating_duration_since(then));
        let (heard, busy) = (since(self.heard), since(self.busy_since));
        let quiet = busy.map(|busy| heard.map_or(busy, |heard| heard.min(busy)));
        let counts = self.health.counts(now);
        Load {
            running: self.running,
            unread: self.unread,
            unread_tokens: self.unread_tokens.get(),
            memory: self.memory.get(),
            answered: counts.answered.round() as u32,
            failed: counts.failed.round() as u32,
            unreachable: u32::from(self.health.is_backing_off(now)),
            heard,
            quiet: quiet.unwrap_or_default(),
        }
    }

    /// Returns whether several other VMs cannot connect to the upstream and none received an answer recently.
    ///
    /// Failure: an engine crashes, and each VM of the region loses a request before it notices.
    pub(super) fn is_unreachable(&self, now: Instant) -> bool {
        self.peer_load(now).is_some_and(|load| load.unreachable >= 2 && load.answered == 0)
    }

    /// Returns whether no VM received anything from the upstream for longer than its queued prefills explain.
    ///
    /// Failure: an engine hangs without closing its connections. No request fails, so nothing counts against it, and
    /// requests wait there until their deadlines.
    pub(super) fn is_unresponsive(&self, speed: &Speed, now: Instant) -> bool {
        let all = self.region_load(now);
        let prefill = speed.prefill(all.unread_tokens as f64);
        let timeout = UNRESPONSIVE_AFTER
            + Duration::try_from_secs_f64(UNRESPONSIVE_PREFILLS * prefill).unwrap_or(Duration::MAX);
        all.quiet > timeout && all.heard.is_none_or(|heard| heard > timeout)
    }

    /// Returns how much longer than usual a plain service with running requests has not responded to any VM; zero for
    /// engines, whose prefills take long.
    ///
    /// Failure: an upstream stands still. Until the first request is given up, it gets as many as before.
    pub(in crate::decide::place) fn stall(&self, service_time: Duration, now: Instant) -> Duration {
        if self.endpoint.memory.is_some() {
            return Duration::ZERO;
        }
        let all = self.region_load(now);
        let silence = all.heard.map_or(all.quiet, |heard| heard.min(all.quiet));
        silence.saturating_sub(service_time * USUAL_SERVICE_TIMES)
    }

    /// Returns the load of all VMs of the region.
    fn region_load(&self, now: Instant) -> Load {
        let own = self.load(now);
        self.peer_load(now).map_or(own, |others| own.merge(others))
    }
}

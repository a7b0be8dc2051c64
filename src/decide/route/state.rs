//! Routing state of one upstream.

use std::time::Duration;

use tokio::time::Instant;

use super::ejection::Ejection;
use super::ewma::Ewma;
use super::group::Stats;
use crate::decide::history::History;
use crate::unit::Slots;
use crate::upstream::Announcement;
use crate::upstream::Load;

/// Duration of slow start. A new upstream has an empty prefix cache and uncompiled kernels, so a
/// full share at once would delay all of its requests.
pub const SLOW_START: Duration = Duration::from_secs(30);

/// How much faster a report's weight decays than the requests it counted complete. All VMs react to
/// the same report at once, so its information is used up sooner; without this they herd.
const REPORT_DECAY: f64 = 3.0;

/// Share of traffic at the beginning of slow start.
pub const INITIAL_SHARE: f64 = 0.1;

/// Decay time of affinity misses, the shortest time for which a slot is held for the next request
/// with the same prefix.
const AFFINITY_MISS_DECAY: Duration = Duration::from_secs(1);

/// Upper bound on counted misses, since a request may be counted at each retry.
const MAX_AFFINITY_MISSES: f64 = 2.0;

/// Upper bound on the latency factor in a score.
const MAX_SLOWDOWN: f64 = 10.0;

/// Routing state of one upstream.
#[derive(Debug)]
pub struct UpstreamState {
    /// The last announcement.
    pub announcement: Announcement,
    /// This VM's requests on the upstream.
    pub local: History,
    /// Failures and ejections.
    pub ejection: Ejection,
    /// Mean ratio of its latencies to those of the group.
    pub latency_ratio: Ewma,
    /// Slots that this VM may use; `None` until the pool has assigned any.
    pub leased_slots: Option<Slots>,
    /// It gets no new requests but still runs some.
    pub removed: bool,
    /// It gets no new requests while it is drained for an order.
    pub draining: bool,
    started_at: Instant,
    report: Option<Report>,
    affinity_misses: Option<(f64, Instant)>,
}

#[derive(Debug)]
struct Report {
    sequence: u64,
    measured_at: Instant,
    other_load: f64,
}

impl UpstreamState {
    /// Creates the state of a new upstream.
    pub fn new(announcement: Announcement, now: Instant) -> Self {
        Self {
            announcement,
            local: History::default(),
            ejection: Ejection::default(),
            latency_ratio: Ewma::default(),
            leased_slots: None,
            removed: false,
            draining: false,
            started_at: now,
            report: None,
            affinity_misses: None,
        }
    }

    /// Updates the announcement. A new incarnation resets latencies, failures and slow start.
    pub fn update_announcement(&mut self, announcement: Announcement, now: Instant) {
        if announcement.incarnation > self.announcement.incarnation {
            self.ejection = Ejection::default();
            self.latency_ratio = Ewma::default();
            self.report = None;
            self.started_at = now;
        }
        self.removed = false;
        self.announcement = announcement;
    }

    /// Applies a load report. This VM's requests at the time of the report are subtracted, as they
    /// are counted locally.
    pub fn update_load(&mut self, load: &Load, now: Instant) {
        let newer = self.report.as_ref().is_none_or(|last| load.sequence > last.sequence);
        if load.incarnation != self.announcement.incarnation || !newer {
            return;
        }
        let measured_at = now.checked_sub(load.age).unwrap_or(now);
        let other_load = f64::from(load.total().saturating_sub(self.local.at(measured_at)));
        self.report = Some(Report { sequence: load.sequence, measured_at, other_load });
    }

    /// Records that the upstream refused a request for lack of room: other VMs use all slots that
    /// this one doesn't.
    pub fn record_full(&mut self, now: Instant) {
        let other_load = (self.slots() - f64::from(self.local.running())).max(0.0);
        let sequence = self.report.as_ref().map_or(0, |last| last.sequence);
        self.report = Some(Report { sequence, measured_at: now, other_load });
    }

    /// Estimates the current requests of other VMs from a report that may be old.
    ///
    /// The share `exp(-age / service time)` of the reported requests is still running (exact for
    /// exponential service times without queueing), decayed faster by [`REPORT_DECAY`]; the rest is
    /// assumed to be at the mean of the group. Trusting old reports would make all VMs send to the
    /// same upstream.
    pub fn other_load(&self, stats: &Stats, now: Instant) -> f64 {
        let mean = stats.other_load_per_slot * self.slots();
        let Some(report) = &self.report else { return mean };
        let age = now.saturating_duration_since(report.measured_at);
        let weight = (-REPORT_DECAY * age.as_secs_f64() / stats.service_time.as_secs_f64()).exp();
        mean + (report.other_load - mean) * weight
    }

    /// The requests of other VMs in the last report.
    pub fn reported_other_load(&self) -> Option<f64> {
        self.report.as_ref().map(|report| report.other_load)
    }

    /// The estimated requests per slot.
    pub fn utilisation(&self, stats: &Stats, now: Instant) -> f64 {
        (f64::from(self.local.running()) + self.other_load(stats, now)) / self.slots()
    }

    /// The score of one more request; lower is better.
    pub fn score(&self, stats: &Stats, now: Instant) -> f64 {
        let load = f64::from(self.local.running()) + self.other_load(stats, now) + 1.0;
        load / (self.slots() * self.slow_start_share(stats, now)) * self.slowdown(stats)
    }

    /// Its latency ratio relative to the median of the group, at least 1, so that an upstream isn't
    /// overloaded because of a few short requests.
    pub fn slowdown(&self, stats: &Stats) -> f64 {
        let latency_ratio = self.latency_ratio.get().unwrap_or(stats.latency_ratio);
        (latency_ratio / stats.latency_ratio).clamp(1.0, MAX_SLOWDOWN)
    }

    /// Its share of traffic during slow start, relative to the most advanced member: if all are
    /// new, none is held back.
    pub fn slow_start_share(&self, stats: &Stats, now: Instant) -> f64 {
        (self.slow_start_progress(now) / stats.slow_start).min(1.0)
    }

    /// Slow start progress, from [`INITIAL_SHARE`] to 1.
    pub fn slow_start_progress(&self, now: Instant) -> f64 {
        let start =
            self.ejection.until().map_or(self.started_at, |until| until.max(self.started_at));
        let grown = now.saturating_duration_since(start).as_secs_f64() / SLOW_START.as_secs_f64();
        (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * grown).min(1.0)
    }

    /// Records a request that ran elsewhere only because this VM had no free slot here.
    pub fn record_affinity_miss(&mut self, now: Instant) {
        self.affinity_misses =
            Some(((self.affinity_misses(now) + 1.0).min(MAX_AFFINITY_MISSES), now));
    }

    /// Recent affinity misses, decayed over [`AFFINITY_MISS_DECAY`].
    pub fn affinity_misses(&self, now: Instant) -> f64 {
        let age = |at: Instant| {
            now.saturating_duration_since(at).as_secs_f64() / AFFINITY_MISS_DECAY.as_secs_f64()
        };
        self.affinity_misses.map_or(0.0, |(count, at)| count * (-age(at)).exp())
    }

    /// Whether this VM may send it one more request.
    pub fn has_room(&self, stats: &Stats, now: Instant) -> bool {
        let slots = self.leased_slots.unwrap_or(self.announcement.slots).get();
        let running = u64::from(self.local.running());
        if self.removed || self.draining || running >= slots {
            return false;
        }
        running == 0 || (running as f64) < slots as f64 * self.slow_start_share(stats, now)
    }

    /// Its slots, at least 1.
    pub fn slots(&self) -> f64 {
        self.announcement.slots.get().max(1) as f64
    }
}

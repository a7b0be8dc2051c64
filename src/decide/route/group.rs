//! The upstreams of one model and their aggregate statistics.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::ewma::Ewma;
use super::state::INITIAL_SHARE;
use super::state::UpstreamState;
use crate::catalogue::Class;

/// How often the statistics are recomputed. With 850 upstreams this takes some microseconds.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Lower bound on the mean service time, to avoid dividing by zero.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(10);

/// Mean service time before the first answer.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_secs(1);

/// Prefixes whose affinity targets are cached.
const MAX_CACHED_PREFIXES: usize = 4096;

/// The upstreams of one model, by index.
#[derive(Debug, Default)]
pub struct Group {
    /// All upstreams.
    pub members: Vec<u32>,
    /// Those that this VM picks from at random; all unless the group is large.
    pub subset: Vec<u32>,
    pub stats: Stats,
    /// The affinity targets of prefixes, cached until the members change.
    pub affinity_targets: HashMap<u64, [Option<u32>; 2]>,
    latency: [Ewma; Class::COUNT],
    service_time: Ewma,
    refreshed_at: Option<Instant>,
}

/// Aggregate statistics of a group.
#[derive(Debug, Clone, Copy)]
pub struct Stats {
    /// Requests of other VMs per slot, by the last reports.
    pub other_load_per_slot: f64,
    /// All requests per slot.
    pub utilisation: f64,
    /// Median latency ratio.
    pub latency_ratio: f64,
    /// Highest slow start progress of any member.
    pub slow_start: f64,
    /// Mean service time.
    pub service_time: Duration,
}

impl Default for Stats {
    fn default() -> Self {
        Self {
            other_load_per_slot: 0.0,
            utilisation: 0.0,
            latency_ratio: 1.0,
            slow_start: INITIAL_SHARE,
            service_time: DEFAULT_SERVICE_TIME,
        }
    }
}

impl Group {
    /// Records a latency and returns its ratio to the mean of its class in the group.
    pub fn record_latency(&mut self, class: Class, latency: Duration) -> f64 {
        let seconds = latency.as_secs_f64();
        self.service_time.add(seconds);
        let mean = &mut self.latency[class.index()];
        mean.add(seconds);
        mean.get().filter(|&mean| mean > 0.0).map_or(1.0, |mean| seconds / mean)
    }

    /// Caches the affinity targets of a prefix.
    pub fn cache_targets(&mut self, prefix: u64, targets: [Option<u32>; 2]) {
        if self.affinity_targets.len() >= MAX_CACHED_PREFIXES {
            self.affinity_targets.clear();
        }
        self.affinity_targets.insert(prefix, targets);
    }

    /// Recomputes the statistics if they are out of date.
    pub fn refresh_stats(&mut self, upstreams: &[Option<UpstreamState>], now: Instant) {
        if self
            .refreshed_at
            .is_some_and(|last| now.saturating_duration_since(last) < REFRESH_INTERVAL)
        {
            return;
        }
        self.refreshed_at = Some(now);
        let members = || self.members.iter().filter_map(|&u| upstreams[u as usize].as_ref());
        let mut stats = Stats::default();
        if let Some(mean) = self.service_time.get() {
            stats.service_time = Duration::from_secs_f64(mean).max(MIN_SERVICE_TIME);
        }
        let reported = || members().filter_map(|u| Some((u.reported_other_load()?, u.slots())));
        let (other_load, slots) =
            reported().fold((0.0, 0.0), |(o, s), (other_load, slots)| (o + other_load, s + slots));
        stats.other_load_per_slot = if slots > 0.0 { other_load / slots } else { 0.0 };
        stats.slow_start =
            members().map(|u| u.slow_start_progress(now)).fold(INITIAL_SHARE, f64::max);
        let mut latency_ratio: Vec<f64> = members().filter_map(|u| u.latency_ratio.get()).collect();
        if !latency_ratio.is_empty() {
            let middle = latency_ratio.len() / 2;
            stats.latency_ratio =
                latency_ratio.select_nth_unstable_by(middle, f64::total_cmp).1.max(1e-6);
        }
        let used: f64 = members().map(|u| u.utilisation(&stats, now) * u.slots()).sum();
        let all: f64 = members().map(UpstreamState::slots).sum();
        stats.utilisation = if all > 0.0 { used / all } else { 0.0 };
        self.stats = stats;
    }
}

//! Aggregates what the VMs of this region learn about other regions.
//!
//! A VM receives estimates of another region only with answers to its own forwarded requests, every
//! few seconds. Without aggregation it assumes in between that the region is as full as its own,
//! and keeps its requests.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::RegionEstimate;
use crate::id;

/// Time constant of the average. Each estimate covers only a few upstreams, and all VMs act on the
/// result.
const SMOOTHING_TIME: Duration = Duration::from_millis(300);

/// How long an estimate is used.
const ESTIMATE_TTL: Duration = Duration::from_secs(2);

/// Upper bound on tracked regions and services, which bounds memory under invalid input.
const MAX_ENTRIES: usize = 256;

#[derive(Debug)]
struct Average {
    wait: f64,
    running: f64,
    /// The latest room. An average would show room for a while after a region has become full.
    room: Option<u32>,
    at: Instant,
}

/// Averages by region, service and urgency.
#[derive(Debug, Default)]
pub struct Remotes(BTreeMap<(id::Region, String, bool), Average>);

impl Remotes {
    /// Adds an estimate reported by a VM.
    pub fn update(&mut self, remote: RegionEstimate, now: Instant) {
        self.0.retain(|_, average| now.saturating_duration_since(average.at) < ESTIMATE_TTL);
        let at = now.checked_sub(remote.age).unwrap_or(now);
        let (wait, running) = (remote.wait.as_secs_f64(), f64::from(remote.running));
        let room = remote.room;
        let key = (remote.region, remote.service, remote.urgent);
        let Some(average) = self.0.get_mut(&key) else {
            if self.0.len() < MAX_ENTRIES {
                self.0.insert(key, Average { wait, running, room, at });
            }
            return;
        };
        let elapsed = at.saturating_duration_since(average.at).as_secs_f64();
        let weight = 1.0 - (-elapsed / SMOOTHING_TIME.as_secs_f64()).exp();
        average.wait += weight * (wait - average.wait);
        average.running += weight * (running - average.running);
        if average.at <= at {
            (average.room, average.at) = (room, at);
        }
    }

    /// All recent estimates.
    pub fn recent(&self, now: Instant) -> Vec<RegionEstimate> {
        let estimates = self.0.iter().map(|((region, service, urgent), average)| RegionEstimate {
            region: region.clone(),
            service: service.clone(),
            urgent: *urgent,
            wait: Duration::try_from_secs_f64(average.wait).unwrap_or(Duration::MAX),
            running: average.running.round() as u32,
            room: average.room,
            age: now.saturating_duration_since(average.at),
        });
        estimates.filter(|remote| remote.age < ESTIMATE_TTL).collect()
    }
}

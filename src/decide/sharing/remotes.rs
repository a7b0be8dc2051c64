//! What other regions told the VMs of this one, put together by a host.
//!
//! Load pattern: a region is at its peak and another one is not. Each VM hears of the other region with the answers to what it
//! passed on itself, once in seconds; in between it takes the region to be as full as its own, and keeps its requests.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::Remote;
use crate::id;

/// Statements are averaged over this time: each comes from one VM that looked at a few upstreams, and all VMs act by it.
const SMOOTHED: Duration = Duration::from_millis(300);

/// A statement counts for so long.
const KEPT: Duration = Duration::from_secs(2);

/// The regions and services of which a host knows at most; what strangers invent fills no memory.
const MOST: usize = 256;

#[derive(Debug)]
struct Average {
    wait: f64,
    running: f64,
    at: Instant,
}

/// Averages of what was told, by region, service and urgency.
#[derive(Debug, Default)]
pub struct Remotes(BTreeMap<(id::Region, String, bool), Average>);

impl Remotes {
    /// A VM passes on what a region told it.
    pub fn take(&mut self, remote: Remote, now: Instant) {
        self.0.retain(|_, average| now.saturating_duration_since(average.at) < KEPT);
        let at = now.checked_sub(remote.age).unwrap_or(now);
        let (wait, running) = (remote.wait.as_secs_f64(), f64::from(remote.running));
        let key = (remote.region, remote.service, remote.urgent);
        let Some(average) = self.0.get_mut(&key) else {
            if self.0.len() < MOST {
                self.0.insert(key, Average { wait, running, at });
            }
            return;
        };
        let since = at.saturating_duration_since(average.at).as_secs_f64();
        let weight = 1.0 - (-since / SMOOTHED.as_secs_f64()).exp();
        average.wait += weight * (wait - average.wait);
        average.running += weight * (running - average.running);
        average.at = average.at.max(at);
    }

    /// All that was told lately.
    pub fn told(&self, now: Instant) -> Vec<Remote> {
        let told = self.0.iter().map(|((region, service, urgent), average)| Remote {
            region: region.clone(),
            service: service.clone(),
            urgent: *urgent,
            wait: Duration::try_from_secs_f64(average.wait).unwrap_or(Duration::MAX),
            running: average.running.round() as u32,
            age: now.saturating_duration_since(average.at),
        });
        told.filter(|remote| remote.age < KEPT).collect()
    }
}

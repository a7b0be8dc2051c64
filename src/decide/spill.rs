//! Decides whether a request is forwarded to another region.
//!
//! Load patterns handled, and what happens without this module:
//! - *A region short of capacity.* Its queue delays urgent requests while other regions have free
//!   slots. Requests that prefer latency are forwarded once another region would answer sooner,
//!   including the trip and a cold cache there; those that prefer home are forwarded only if they
//!   would miss their deadline at home.
//! - *Many VMs with the same old digest.* If all of them send to the same free slots, the target is
//!   overloaded, reports that, and traffic swings back. Each VM forwards at most its share of the
//!   slots that were free when the digest was made.
//! - *Recovery after an outage.* A cold region that gets all of its prefixes at once is slow for
//!   the first minute. Traffic returns gradually by prefix hash, so that each prefix is computed
//!   once.
//! - *Forwarding loops.* Only the VM that received a request from its caller may forward it, and
//!   only once. If the other region refuses, the request stays.
//! - *Bound requests* are never forwarded: they run in their home region or their caller is
//!   redirected there.

mod criteria;
mod digest;
mod remote;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use self::remote::RemoteRegion;
use crate::catalogue::Home;
use crate::catalogue::Preference;
use crate::id;

pub use criteria::Criteria;
pub use criteria::Decision;
pub use criteria::ForwardState;
pub use digest::Digest;
pub use digest::Room;
pub use remote::DIGEST_TTL;
pub use remote::RECOVERY_TIME;

/// Minimum gain in response time over home, as a share of the service time. A smaller gain isn't
/// worth a cold cache and the load on the link.
const MIN_GAIN: f64 = 0.25;

/// One-way trip time to a region before it is measured.
const DEFAULT_TRIP_TIME: Duration = Duration::from_millis(50);

/// Selects the region that runs a request.
#[derive(Debug)]
pub struct RegionSelector {
    local_region: id::Region,
    vm_count: u32,
    regions: BTreeMap<id::Region, RemoteRegion>,
    recoveries: HashMap<id::Model, remote::Recovery>,
}

impl RegionSelector {
    /// Creates a selector for one of `vms` VMs in the region `local_region`.
    pub fn new(local_region: id::Region, vms: u32) -> Self {
        Self {
            local_region,
            vm_count: vms.max(1),
            regions: BTreeMap::new(),
            recoveries: HashMap::new(),
        }
    }

    /// Sets the number of VMs in this region.
    pub fn set_vm_count(&mut self, vms: u32) {
        self.vm_count = vms.max(1);
    }

    /// Applies the digest of a region.
    pub fn update_digest(&mut self, digest: Digest, now: Instant) {
        if digest.region == self.local_region {
            return;
        }
        let region_state =
            self.regions.entry(digest.region.clone()).or_insert_with(|| RemoteRegion::new(now));
        region_state.update_digest(digest, now);
    }

    /// Sets the measured one-way trip time to a region.
    pub fn set_trip_time(&mut self, region: &id::Region, trip: Duration, now: Instant) {
        self.regions.entry(region.clone()).or_insert_with(|| RemoteRegion::new(now)).trip =
            Some(trip);
    }

    /// Updates whether this region has any upstream for the model. After an outage its traffic
    /// returns gradually.
    pub fn update_availability(&mut self, model: &id::Model, serves: bool, now: Instant) {
        match self.recoveries.get_mut(model) {
            Some(recovery) => recovery.update(serves, now),
            // Callers may send any model name: only models that were served here are tracked.
            None if !serves => {}
            None => {
                let mut recovery = remote::Recovery::new();
                recovery.update(true, now);
                self.recoveries.insert(model.clone(), recovery);
            }
        }
    }

    /// Records that a region refused a request. Nothing more is forwarded to it until its next
    /// digest.
    pub fn record_refusal(&mut self, region: &id::Region) {
        if let Some(region_state) = self.regions.get_mut(region) {
            region_state.mark_full();
        }
    }

    /// Records that a forwarded request has ended, answered or not.
    pub fn finish_forward(&mut self, region: &id::Region, model: &id::Model, now: Instant) {
        if let Some(region_state) = self.regions.get_mut(region) {
            region_state.finish_forward(model, now);
        }
    }

    /// Decides where a request runs. A forwarded request is counted until [`Self::finish_forward`].
    pub fn decide(
        &mut self,
        criteria: &Criteria<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Decision {
        if let Home::Bound(home) = criteria.home {
            let at_home = *home == self.local_region;
            return if at_home { Decision::Local } else { Decision::Redirect(home.clone()) };
        }
        if criteria.forward_state != ForwardState::Original {
            return Decision::Local;
        }
        let home = criteria.home.region().unwrap_or(&self.local_region).clone();
        let home_response_time = self.home_response_time(&home, criteria, now);
        let away = self.best_alternative(&home, criteria, now, rng);
        let forward = away.as_ref().is_some_and(|(_, response_time)| {
            should_forward(criteria, home_response_time, *response_time)
        });
        let region = match away {
            Some((region, _)) if forward => region,
            _ => home.clone(),
        };
        match self.regions.get_mut(&region) {
            Some(region_state) if region != self.local_region && region_state.is_fresh(now) => {
                region_state.start_forward(criteria.model, now);
                Decision::Forward(region)
            }
            _ => Decision::Local,
        }
    }

    /// The response time at home, or `None` if home can't run the request or is still recovering.
    fn home_response_time(
        &self,
        home: &id::Region,
        criteria: &Criteria<'_>,
        now: Instant,
    ) -> Option<Duration> {
        if *home == self.local_region {
            let wait = criteria.wait?;
            let recovery = self.recoveries.get(criteria.model);
            let recovered =
                recovery.is_none_or(|recovery| recovery.admits(criteria.prefix_hash, now));
            return recovered.then_some(wait + criteria.service_time);
        }
        let region_state = self.regions.get(home)?;
        region_state
            .response_time(criteria, DEFAULT_TRIP_TIME, now)
            .filter(|_| region_state.recovery.admits(criteria.prefix_hash, now))
    }

    /// The region other than home with the shortest response time and room for the request; this
    /// region is included if it isn't home.
    fn best_alternative(
        &mut self,
        home: &id::Region,
        criteria: &Criteria<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<(id::Region, Duration)> {
        let vms = self.vm_count;
        let others = self.regions.iter_mut().filter_map(|(region, region_state)| {
            let response_time = region_state.response_time(criteria, DEFAULT_TRIP_TIME, now)?
                + criteria.cold_penalty;
            let usable = region != home
                && region_state.recovery.admits(criteria.prefix_hash, now)
                && region_state.has_free_share(criteria.model, vms, now, rng);
            usable.then(|| (region.clone(), response_time))
        });
        let local = criteria.wait.filter(|_| *home != self.local_region);
        let local = local.map(|wait| {
            (self.local_region.clone(), wait + criteria.cold_penalty + criteria.service_time)
        });
        others.chain(local).min_by(|a, b| (a.1, &a.0).cmp(&(b.1, &b.0)))
    }
}

/// Whether to forward a request whose response time is `home` at home and `away` elsewhere.
fn should_forward(criteria: &Criteria<'_>, home: Option<Duration>, away: Duration) -> bool {
    let Some(home) = home else { return away <= criteria.remaining };
    match criteria.prefers {
        Preference::Latency => away + criteria.service_time.mul_f64(MIN_GAIN) < home,
        Preference::Home => home > criteria.remaining && away <= criteria.remaining,
    }
}

#[cfg(test)]
mod tests;

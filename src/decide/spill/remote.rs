//! State of another region, as seen by one VM.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::criteria::Criteria;
use super::digest::Digest;
use super::digest::Room;
use crate::decide::history::History;
use crate::id;

/// Digests older than this are not used. They arrive every second, so ten in a row are lost only if
/// the link is cut or the region is down.
pub const DIGEST_TTL: Duration = Duration::from_secs(10);

/// Duration of the ramp-up after an outage, long enough for most active prefixes to be requested
/// once. At a sixtieth a second, requests for cold prefixes are a small part of the load.
pub const RECOVERY_TIME: Duration = Duration::from_secs(60);

/// Share of traffic at the beginning of the ramp-up.
const INITIAL_SHARE: f64 = 0.1;

/// Share of a region's slots reserved for its own callers, whose arrivals since the digest are
/// unknown here. At 85% load of 40 slots they use a tenth more than the mean in one second of ten.
const RESERVED_SHARE: f64 = 0.1;

/// Another region: its last digest and the requests forwarded to it.
#[derive(Debug)]
pub struct RemoteRegion {
    /// Measured one-way trip time.
    pub trip: Option<Duration>,
    /// Ramp-up after an outage.
    pub recovery: Recovery,
    room: BTreeMap<id::Model, Room>,
    sequence: Option<u64>,
    made_at: Option<Instant>,
    forwarded: HashMap<id::Model, History>,
    dither: Option<f64>,
    full: bool,
}

impl RemoteRegion {
    /// Creates the state of a region without a digest.
    pub fn new(now: Instant) -> Self {
        let mut recovery = Recovery::new();
        recovery.update(true, now);
        Self {
            trip: None,
            recovery,
            room: BTreeMap::new(),
            sequence: None,
            made_at: None,
            forwarded: HashMap::new(),
            dither: None,
            full: false,
        }
    }

    /// Applies a digest, unless a newer one was applied before.
    pub fn update_digest(&mut self, digest: Digest, now: Instant) {
        if self.sequence.is_some_and(|last| digest.sequence <= last) {
            return;
        }
        let was_stale = self.made_at.is_some() && !self.is_fresh(now);
        if was_stale {
            self.recovery.update(false, now);
        }
        self.sequence = Some(digest.sequence);
        self.made_at = now.checked_sub(digest.age).or(Some(now));
        self.recovery.update(digest.room.values().any(|room| room.capacity.get() > 0), now);
        self.room = digest.room;
        self.dither = None;
        self.full = false;
    }

    /// Whether the last digest is recent enough to use.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.made_at.is_some_and(|made_at| now.saturating_duration_since(made_at) < DIGEST_TTL)
    }

    /// Stops forwarding until the next digest, because the region refused a request.
    pub fn mark_full(&mut self) {
        self.full = true;
    }

    /// The response time there including the round trip, or `None` if the region can't run the
    /// request.
    pub fn response_time(
        &self,
        criteria: &Criteria<'_>,
        default_trip_time: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let room = self.room.get(criteria.model).filter(|room| room.capacity.get() > 0)?;
        let trip = self.trip.unwrap_or(default_trip_time);
        self.is_fresh(now).then_some(room.wait + trip * 2 + criteria.service_time)
    }

    /// Whether this VM may forward one more request. The requests that it added since the digest
    /// must not exceed its share of the slots that were free then, so that all VMs together fill
    /// the region without overloading it.
    pub fn has_free_share(
        &mut self,
        model: &id::Model,
        vm_count: u32,
        now: Instant,
        rng: &mut impl Rng,
    ) -> bool {
        let Some(made_at) = self.made_at.filter(|_| !self.full && self.is_fresh(now)) else {
            return false;
        };
        let Some(room) = self.room.get(model) else { return false };
        let free = room.free.get() as f64 - RESERVED_SHARE * room.capacity.get() as f64;
        let forwarded = self.forwarded.get(model);
        let added = forwarded.map_or(0.0, |forwarded| {
            f64::from(forwarded.running()) - f64::from(forwarded.at(made_at))
        });
        // If the share is a fraction of a request, random dithering grants it to that fraction of
        // the VMs. One draw holds until the next digest; repeated draws would grant it to all.
        let dither = *self.dither.get_or_insert_with(|| rng.random());
        free / f64::from(vm_count) - added + dither >= 1.0
    }

    /// Counts a forwarded request.
    pub fn start_forward(&mut self, model: &id::Model, now: Instant) {
        self.forwarded.entry(model.clone()).or_default().sent(now);
    }

    /// Counts the end of a forwarded request.
    pub fn finish_forward(&mut self, model: &id::Model, now: Instant) {
        if let Some(forwarded) = self.forwarded.get_mut(model) {
            forwarded.finished(now);
        }
    }
}

/// The ramp-up of a region after an outage.
#[derive(Debug)]
pub struct Recovery {
    served: Option<bool>,
    since: Option<Instant>,
}

impl Recovery {
    /// Creates a ramp-up without a known outage.
    pub fn new() -> Self {
        Self { served: None, since: None }
    }

    /// Updates whether the region is serving; the ramp-up begins when it serves again after an
    /// outage.
    pub fn update(&mut self, serves: bool, now: Instant) {
        if serves && self.served == Some(false) {
            self.since = Some(now);
        }
        self.served = Some(serves);
    }

    /// Whether requests with that prefix hash have returned. VMs agree on the prefixes, so that
    /// each is computed once and its later requests hit the cache.
    pub fn admits(&self, prefix_hash: u64, now: Instant) -> bool {
        let Some(since) = self.since else { return true };
        let progress =
            now.saturating_duration_since(since).as_secs_f64() / RECOVERY_TIME.as_secs_f64();
        let share = INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress;
        (prefix_hash as f64) < share * u64::MAX as f64
    }
}

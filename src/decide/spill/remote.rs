//! What a VM knows of another region.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::digest::Digest;
use super::digest::Room;
use super::facts::Facts;
use crate::decide::history::History;
use crate::id;

/// A region whose last digest is older than this can't be counted on. Digests come each second over links with
/// heartbeats, so that ten in a row are missed only when the link is cut or the region gone.
pub const GONE: Duration = Duration::from_secs(10);

/// How long a region takes to get all its traffic back after an outage. Within a minute each prefix that is used at
/// all has mostly been asked for, and at a sixtieth a second the cold ones are a small part of the load.
pub const RETURN: Duration = Duration::from_secs(60);

/// The share of the traffic that returns at once.
const FIRST: f64 = 0.1;

/// The share of a region's slots that is left free for its own callers, whose arrivals since the digest nobody here
/// has seen: at 85% load of 40 slots they use a tenth more than the mean one second in ten.
const KEPT: f64 = 0.1;

/// A region, its last digest and what was sent there since.
#[derive(Debug)]
pub struct Known {
    /// The time of one trip, once it was measured.
    pub trip: Option<Duration>,
    /// Its return after an outage.
    pub returning: Return,
    room: BTreeMap<id::Model, Room>,
    sequence: Option<u64>,
    made: Option<Instant>,
    own: HashMap<id::Model, History>,
    dither: Option<f64>,
    exhausted: bool,
}

impl Known {
    /// A region without any digest.
    pub fn new(now: Instant) -> Self {
        let mut returning = Return::new();
        returning.seen(true, now);
        Self {
            trip: None,
            returning,
            room: BTreeMap::new(),
            sequence: None,
            made: None,
            own: HashMap::new(),
            dither: None,
            exhausted: false,
        }
    }

    /// Takes a digest; one that was overtaken is dropped.
    pub fn digest(&mut self, digest: Digest, now: Instant) {
        if self.sequence.is_some_and(|last| digest.sequence <= last) {
            return;
        }
        let was_gone = self.made.is_some() && !self.is_fresh(now);
        if was_gone {
            self.returning.seen(false, now);
        }
        self.sequence = Some(digest.sequence);
        self.made = now.checked_sub(digest.age).or(Some(now));
        self.returning.seen(digest.room.values().any(|room| room.capacity.get() > 0), now);
        self.room = digest.room;
        self.dither = None;
        self.exhausted = false;
    }

    /// Whether its digest is recent.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.made.is_some_and(|made| now.saturating_duration_since(made) < GONE)
    }

    /// It refused: nothing more before the next digest.
    pub fn exhaust(&mut self) {
        self.exhausted = true;
    }

    /// The time until an answer from there, the trip there and back included; none where it can't run the request.
    pub fn cost(
        &self,
        facts: &Facts<'_>,
        assumed_trip: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let room = self.room.get(facts.model).filter(|room| room.capacity.get() > 0)?;
        let trip = self.trip.unwrap_or(assumed_trip);
        self.is_fresh(now).then_some(room.wait + trip * 2 + facts.service)
    }

    /// Whether this VM may hand one more over. It may have so many more there than when the digest was made as is its
    /// part of the slots that were free then; if all VMs do so, the region is filled and not overrun.
    pub fn has_part(
        &mut self,
        model: &id::Model,
        vms: u32,
        now: Instant,
        rng: &mut impl Rng,
    ) -> bool {
        let Some(made) = self.made.filter(|_| !self.exhausted && self.is_fresh(now)) else {
            return false;
        };
        let Some(room) = self.room.get(model) else { return false };
        let spare = room.free.get() as f64 - KEPT * room.capacity.get() as f64;
        let own = self.own.get(model);
        let more = own.map_or(0.0, |own| f64::from(own.running()) - f64::from(own.at(made)));
        // Where each VM's part is less than one, so many of them are allowed one as make up the sum; the draw
        // holds until the next digest, or repeated draws would allow it to all.
        let dither = *self.dither.get_or_insert_with(|| rng.random());
        spare / f64::from(vms) - more + dither >= 1.0
    }

    /// A request is handed over.
    pub fn handed_over(&mut self, model: &id::Model, now: Instant) {
        self.own.entry(model.clone()).or_default().sent(now);
    }

    /// A request that was handed over has ended.
    pub fn ended(&mut self, model: &id::Model, now: Instant) {
        if let Some(own) = self.own.get_mut(model) {
            own.finished(now);
        }
    }
}

/// A region's return after an outage.
#[derive(Debug)]
pub struct Return {
    served: Option<bool>,
    since: Option<Instant>,
}

impl Return {
    /// Nothing was seen yet.
    pub fn new() -> Self {
        Self { served: None, since: None }
    }

    /// Whether the region serves now. What is first seen serving has not had an outage that is known of.
    pub fn seen(&mut self, serves: bool, now: Instant) {
        if serves && self.served == Some(false) {
            self.since = Some(now);
        }
        self.served = Some(serves);
    }

    /// Whether requests of that prefix have returned already: the same ones on all VMs, so that each prefix is
    /// computed there once, and its requests then find it.
    pub fn includes(&self, prefix: u64, now: Instant) -> bool {
        let Some(since) = self.since else { return true };
        let grown = now.saturating_duration_since(since).as_secs_f64() / RETURN.as_secs_f64();
        let share = FIRST + (1.0 - FIRST) * grown;
        (prefix as f64) < share * u64::MAX as f64
    }
}

//! Who is served next when requests wait for slots.
//!
//! **Load pattern.** Long briefings among short lookups, one owner that asks for more than all others together,
//! and batch drafts with hours of slack beside work that somebody waits for.
//!
//! **Without it.** In arrival order a short lookup waits behind every briefing before it, the hot owner's backlog
//! is everybody's wait, and slots are spent on requests whose callers have left.
//!
//! **Order of service.** Alerts first. Then the classes share by start-time fair queueing with steep weights, owners
//! share within a class, and the earliest deadline goes first within an owner. Some slots are kept for short work
//! and alerts. What can no longer meet its deadline is not run and is handed back at once.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::catalogue::Class;
use crate::id;

mod band;
mod bounds;
mod capacity;
mod lane;
mod reserve;
mod ticket;

pub use bounds::Bounds;
pub use bounds::Refusal;
pub use capacity::Capacity;
pub use ticket::Priority;
pub use ticket::Ticket;

use band::Band;
use band::Spot;
use bounds::Fill;
use reserve::Reserve;

/// Each class's share of the service time while all classes wait, in the order of [`Class::ALL`].
///
/// Alerts go first whatever their share. Short work is all but strictly first, yet long work keeps a ninth and
/// batch work a hundredth, so that nothing starves.
const CLASS_WEIGHTS: [u64; Class::COUNT] = [64, 64, 8, 1];

/// Batch work counts as pressing once its slack falls below so many times the time that its backlog takes.
///
/// Derived: pressing batch work shares its slots evenly with long work, which doubles the time that it takes.
const PRESSING: u32 = 2;

/// The requests that wait on one VM for one set of upstreams.
#[derive(Debug, Default)]
pub struct Queue {
    bands: [Band; Class::COUNT],
    tags: [u64; Class::COUNT],
    virtual_time: u64,
    spots: HashMap<id::Request, (Class, Spot)>,
    fill: Fill,
    reserve: Reserve,
    seq: u64,
    lapsed: Vec<Ticket>,
}

impl Queue {
    /// An empty queue.
    pub fn new(bounds: Bounds) -> Self {
        Self { fill: Fill::new(bounds), ..Self::default() }
    }

    /// The requests that wait.
    pub fn len(&self) -> usize {
        self.spots.len()
    }

    /// The time for which all that waits would occupy a single slot.
    pub fn work(&self) -> Duration {
        self.bands.iter().map(Band::work).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.spots.is_empty()
    }

    /// Whether this ticket could be pushed now.
    pub fn check(&self, ticket: &Ticket, now: Instant) -> Result<(), Refusal> {
        if self.spots.contains_key(&ticket.request) {
            return Err(Refusal::Duplicate);
        }
        if ticket.is_too_late(now) {
            return Err(Refusal::TooLate);
        }
        self.fill.check(ticket)
    }

    /// Adds a request that will wait.
    pub fn push(&mut self, ticket: Ticket, now: Instant) -> Result<(), Refusal> {
        self.check(&ticket, now)?;
        self.fill.add(&ticket);
        self.seq += 1;
        let (class, request) = (ticket.class, ticket.request);
        let index = class.index();
        if self.bands[index].is_empty() {
            self.tags[index] = self.tags[index].max(self.virtual_time);
        }
        self.reserve.add(class, ticket.service, now);
        let spot = self.bands[index].insert(self.seq, ticket);
        self.spots.insert(request, (class, spot));
        Ok(())
    }

    /// Takes out the request that starts now; [`Capacity::started`] must follow.
    pub fn pop(&mut self, now: Instant, capacity: &Capacity) -> Option<Ticket> {
        self.lapse(now);
        let class = self.next_class(now, capacity)?;
        let index = class.index();
        let ticket = self.bands[index].pop()?;
        if class != Class::Alert {
            self.virtual_time = self.virtual_time.max(self.tags[index]);
            let weight = self.class_weight(class, now, capacity);
            self.tags[index] += ticket.service.as_nanos() as u64 / weight;
        }
        self.spots.remove(&ticket.request);
        self.fill.subtract(&ticket);
        Some(ticket)
    }

    /// Puts back a request that was popped and found no place that suits it; others may be popped meanwhile.
    ///
    /// Pushed as if it were new it would be charged a second time, and wait the longer the more often it was tried.
    pub fn give_back(&mut self, ticket: Ticket, now: Instant, capacity: &Capacity) {
        self.fill.add(&ticket);
        self.seq += 1;
        let (class, request) = (ticket.class, ticket.request);
        if class != Class::Alert {
            let cost = ticket.service.as_nanos() as u64 / self.class_weight(class, now, capacity);
            let tag = &mut self.tags[class.index()];
            *tag = tag.saturating_sub(cost);
        }
        let spot = self.bands[class.index()].give_back(self.seq, ticket);
        self.spots.insert(request, (class, spot));
    }

    /// Takes out a request whose caller has gone.
    pub fn cancel(&mut self, request: id::Request) -> Option<Ticket> {
        let (class, spot) = self.spots.remove(&request)?;
        let ticket = self.bands[class.index()].remove(spot)?;
        self.fill.subtract(&ticket);
        Some(ticket)
    }

    /// Hands over the requests that can no longer meet their deadline: none of them ran, and each is answered at once.
    pub fn expired(&mut self, now: Instant) -> Vec<Ticket> {
        self.lapse(now);
        std::mem::take(&mut self.lapsed)
    }

    /// When [`Self::expired`] should be called again, if nothing changes before.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.bands.iter().filter_map(Band::first_latest_start).min()
    }

    /// How long a request of this owner and class would wait for a slot.
    pub fn predicted_wait(&self, ticket: &Ticket, capacity: &Capacity, now: Instant) -> Duration {
        let own = &self.bands[ticket.class.index()];
        let ahead: Duration = Class::ALL
            .into_iter()
            .filter(|&class| class < ticket.class)
            .map(|class| self.bands[class.index()].work())
            .sum();
        let ahead = ahead + own.work_ahead(&ticket.owner, ticket.weight);
        if ahead.is_zero() && self.reserve.allows(ticket.class, capacity, now) {
            return Duration::ZERO;
        }
        (ahead + ticket.service).div_f64(self.share(ticket.class, capacity, now) as f64)
    }

    /// The slots that a request of this class may count on.
    pub fn share(&self, class: Class, capacity: &Capacity, now: Instant) -> u64 {
        self.reserve.share(class, capacity, now)
    }

    fn lapse(&mut self, now: Instant) {
        for class in Class::ALL {
            while let Some(request) = self.bands[class.index()].first_too_late(now) {
                let Some(ticket) = self.cancel(request) else { break };
                self.lapsed.push(ticket);
            }
        }
    }

    fn next_class(&self, now: Instant, capacity: &Capacity) -> Option<Class> {
        let waits = |class: Class| {
            !self.bands[class.index()].is_empty() && self.reserve.allows(class, capacity, now)
        };
        if waits(Class::Alert) {
            return Some(Class::Alert);
        }
        Class::ALL
            .into_iter()
            .filter(|&class| waits(class))
            .min_by_key(|class| self.tags[class.index()])
    }

    fn class_weight(&self, class: Class, now: Instant, capacity: &Capacity) -> u64 {
        if class == Class::Batch && self.is_pressing(now, capacity) {
            return CLASS_WEIGHTS[Class::Long.index()];
        }
        CLASS_WEIGHTS[class.index()]
    }

    /// Whether batch work would miss deadlines at its usual share.
    fn is_pressing(&self, now: Instant, capacity: &Capacity) -> bool {
        let band = &self.bands[Class::Batch.index()];
        let slots = self.share(Class::Batch, capacity, now) as u32;
        let Some(latest_start) = band.first_latest_start() else { return false };
        latest_start.saturating_duration_since(now) < band.work() * PRESSING / slots
    }
}

#[cfg(test)]
mod tests;

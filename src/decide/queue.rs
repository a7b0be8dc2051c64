//! Scheduling of requests that wait for slots.
//!
//! Alerts go first. The other classes share the slots by start-time fair queueing with steep weights, owners share
//! within a class, and within an owner the earliest deadline goes first. So a short request doesn't wait for every long
//! one before it, and one owner's backlog doesn't delay the others. Some slots are reserved for short requests and
//! alerts. A request that can no longer meet its deadline isn't run; it is returned at once.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::catalogue::Class;
use crate::id;

mod bounds;
mod capacity;
mod class_queue;
mod owner_queue;
mod reservation;
mod ticket;

pub use bounds::Bounds;
pub use bounds::Refusal;
pub use capacity::Capacity;
pub use ticket::Priority;
pub use ticket::Ticket;

use bounds::Usage;
use class_queue::ClassQueue;
use class_queue::Handle;
use reservation::Reservation;

/// Each class's share of the service time while all classes wait, in the order of [`Class::ALL`].
///
/// Alerts have strict priority. The weights of the others put short requests first without starving long and batch
/// requests.
const CLASS_WEIGHTS: [u64; Class::COUNT] = [64, 64, 8, 1];

/// The batch class is urgent once its slack falls below this multiple of the time to process its backlog.
///
/// Urgent batch requests share their slots evenly with long requests, which doubles that time.
const URGENT_SLACK_FACTOR: u32 = 2;

/// The requests waiting on one VM for one set of upstreams.
#[derive(Debug, Default)]
pub struct Queue {
    classes: [ClassQueue; Class::COUNT],
    tags: [u64; Class::COUNT],
    virtual_time: u64,
    handles: HashMap<id::Request, (Class, Handle)>,
    usage: Usage,
    reservation: Reservation,
    seq: u64,
    expired: Vec<Ticket>,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(bounds: Bounds) -> Self {
        Self { usage: Usage::new(bounds), ..Self::default() }
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.handles.len()
    }

    /// The total expected service time of all waiting requests.
    pub fn work(&self) -> Duration {
        self.classes.iter().map(ClassQueue::work).sum()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.handles.is_empty()
    }

    /// Checks whether a ticket can be pushed now.
    pub fn check(&self, ticket: &Ticket, now: Instant) -> Result<(), Refusal> {
        if self.handles.contains_key(&ticket.request) {
            return Err(Refusal::Duplicate);
        }
        if ticket.is_too_late(now) {
            return Err(Refusal::TooLate);
        }
        self.usage.check(ticket)
    }

    /// Adds a request.
    pub fn push(&mut self, ticket: Ticket, now: Instant) -> Result<(), Refusal> {
        self.check(&ticket, now)?;
        self.usage.add(&ticket);
        self.seq += 1;
        let (class, request) = (ticket.class, ticket.request);
        let index = class.index();
        if self.classes[index].is_empty() {
            self.tags[index] = self.tags[index].max(self.virtual_time);
        }
        self.reservation.add(class, ticket.service, now);
        let handle = self.classes[index].insert(self.seq, ticket);
        self.handles.insert(request, (class, handle));
        Ok(())
    }

    /// Removes the next request to start; [`Capacity::started`] must follow.
    pub fn pop(&mut self, now: Instant, capacity: &Capacity) -> Option<Ticket> {
        self.expire(now);
        let class = self.next_class(now, capacity)?;
        let index = class.index();
        let ticket = self.classes[index].pop()?;
        if class != Class::Alert {
            self.virtual_time = self.virtual_time.max(self.tags[index]);
            let weight = self.class_weight(class, now, capacity);
            self.tags[index] += ticket.service.as_nanos() as u64 / weight;
        }
        self.handles.remove(&ticket.request);
        self.usage.subtract(&ticket);
        Some(ticket)
    }

    /// Puts back a popped request that no upstream could take; other requests may have been popped meanwhile.
    ///
    /// Refunds the charge of the pop, so that a request isn't delayed further by each attempt to place it.
    pub fn requeue(&mut self, ticket: Ticket, now: Instant, capacity: &Capacity) {
        self.usage.add(&ticket);
        self.seq += 1;
        let (class, request) = (ticket.class, ticket.request);
        if class != Class::Alert {
            let charge = ticket.service.as_nanos() as u64 / self.class_weight(class, now, capacity);
            let tag = &mut self.tags[class.index()];
            *tag = tag.saturating_sub(charge);
        }
        let handle = self.classes[class.index()].requeue(self.seq, ticket);
        self.handles.insert(request, (class, handle));
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(&mut self, request: id::Request) -> Option<Ticket> {
        let (class, handle) = self.handles.remove(&request)?;
        let ticket = self.classes[class.index()].remove(handle)?;
        self.usage.subtract(&ticket);
        Some(ticket)
    }

    /// Returns the requests that can no longer meet their deadline. None of them ran; each must be answered at once.
    pub fn expired(&mut self, now: Instant) -> Vec<Ticket> {
        self.expire(now);
        std::mem::take(&mut self.expired)
    }

    /// When to call [`Self::expired`] next, if the queue doesn't change before.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.classes.iter().filter_map(ClassQueue::first_latest_start).min()
    }

    /// Predicts how long a request of this owner and class would wait for a slot.
    pub fn predicted_wait(&self, ticket: &Ticket, capacity: &Capacity, now: Instant) -> Duration {
        let class_queue = &self.classes[ticket.class.index()];
        let ahead: Duration = Class::ALL
            .into_iter()
            .filter(|&class| class < ticket.class)
            .map(|class| self.classes[class.index()].work())
            .sum();
        let ahead = ahead + class_queue.work_ahead(&ticket.owner, ticket.weight);
        if ahead.is_zero() && self.reservation.allows(ticket.class, capacity, now) {
            return Duration::ZERO;
        }
        (ahead + ticket.service).div_f64(self.share(ticket.class, capacity, now) as f64)
    }

    /// The number of slots available to this class.
    pub fn share(&self, class: Class, capacity: &Capacity, now: Instant) -> u64 {
        self.reservation.share(class, capacity, now)
    }

    fn expire(&mut self, now: Instant) {
        for class in Class::ALL {
            while let Some(request) = self.classes[class.index()].first_too_late(now) {
                let Some(ticket) = self.cancel(request) else { break };
                self.expired.push(ticket);
            }
        }
    }

    fn next_class(&self, now: Instant, capacity: &Capacity) -> Option<Class> {
        let can_start = |class: Class| {
            !self.classes[class.index()].is_empty() && self.reservation.allows(class, capacity, now)
        };
        if can_start(Class::Alert) {
            return Some(Class::Alert);
        }
        Class::ALL
            .into_iter()
            .filter(|&class| can_start(class))
            .min_by_key(|class| self.tags[class.index()])
    }

    fn class_weight(&self, class: Class, now: Instant, capacity: &Capacity) -> u64 {
        if class == Class::Batch && self.is_batch_urgent(now, capacity) {
            return CLASS_WEIGHTS[Class::Long.index()];
        }
        CLASS_WEIGHTS[class.index()]
    }

    /// Whether batch requests would miss deadlines at their usual weight.
    fn is_batch_urgent(&self, now: Instant, capacity: &Capacity) -> bool {
        let class_queue = &self.classes[Class::Batch.index()];
        let slots = self.share(Class::Batch, capacity, now) as u32;
        let Some(latest_start) = class_queue.first_latest_start() else { return false };
        latest_start.saturating_duration_since(now)
            < class_queue.work() * URGENT_SLACK_FACTOR / slots
    }
}

#[cfg(test)]
mod tests;

//! The waiting requests of one class: start-time fair queueing among owners.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::decide::queue::Ticket;
use crate::decide::queue::owner_queue::Key;
use crate::decide::queue::owner_queue::OwnerQueue;
use crate::id;

/// Locates a ticket in its class queue.
#[derive(Debug, Clone, Copy)]
pub struct Handle {
    owner_queue: usize,
    key: Key,
}

/// The waiting requests of one class.
///
/// Each owner's queue has a start tag, the virtual time at which its next request starts; the owner with the lowest tag
/// is served next and charged. An idle owner returns at the current virtual time or its own tag, whichever is later, so
/// that it gains neither credit nor a waiver of its debt by going idle.
#[derive(Debug, Default)]
pub struct ClassQueue {
    owners: Vec<OwnerQueue>,
    vacant: Vec<usize>,
    by_owner: HashMap<id::Owner, usize>,
    ready: BTreeSet<(u64, usize)>,
    idle: BTreeSet<(u64, usize)>,
    by_latest_start: BTreeSet<(Instant, u64, id::Request)>,
    virtual_time: u64,
    weights: u64,
    work: Duration,
}

impl ClassQueue {
    /// The expected service time of all requests waiting here.
    pub fn work(&self) -> Duration {
        self.work
    }

    /// Whether no request is waiting here.
    pub fn is_empty(&self) -> bool {
        self.ready.is_empty()
    }

    /// The earliest among the tickets' latest start times.
    pub fn first_latest_start(&self) -> Option<Instant> {
        self.by_latest_start.first().map(|&(at, _, _)| at)
    }

    /// A request that can no longer start in time, if there is one.
    pub fn first_too_late(&self, now: Instant) -> Option<id::Request> {
        let &(at, _, request) = self.by_latest_start.first()?;
        (at < now).then_some(request)
    }

    /// The service time scheduled ahead of a further request of this owner: its own work and debt, scaled by the other
    /// owners' weights, plus one round of requests.
    pub fn work_ahead(&self, owner: &id::Owner, weight: u32) -> Duration {
        let weight = u64::from(weight.max(1));
        let owner_queue = self.by_owner.get(owner).map(|&index| &self.owners[index]);
        let Some(owner_queue) = owner_queue else {
            return self.work.min(self.one_round());
        };
        let debt = Duration::from_nanos(
            owner_queue.tag.saturating_sub(self.virtual_time).saturating_mul(weight),
        );
        let others = if owner_queue.is_empty() { self.weights + weight } else { self.weights };
        let fair = (owner_queue.work + debt).mul_f64(others as f64 / weight as f64);
        self.work.min(fair + self.one_round())
    }

    /// The service time of one request of each waiting owner, on average.
    fn one_round(&self) -> Duration {
        let waiting = self.by_latest_start.len().max(1);
        self.work.mul_f64(self.ready.len() as f64 / waiting as f64)
    }

    /// Adds a ticket.
    pub fn insert(&mut self, seq: u64, ticket: Ticket) -> Handle {
        let latest_start = ticket.latest_start();
        let key = (ticket.deadline, seq);
        let index = self.owner_index(&ticket.owner);
        self.work += ticket.service;
        self.by_latest_start.insert((latest_start, seq, ticket.request));
        let owner_queue = &mut self.owners[index];
        if owner_queue.is_empty() {
            self.idle.remove(&(owner_queue.tag, index));
            owner_queue.tag = owner_queue.tag.max(self.virtual_time);
            self.ready.insert((owner_queue.tag, index));
        } else {
            self.weights -= u64::from(owner_queue.weight);
        }
        owner_queue.insert(key, ticket);
        self.weights += u64::from(owner_queue.weight);
        Handle { owner_queue: index, key }
    }

    /// Puts back a popped ticket that didn't start, and refunds its owner.
    pub fn requeue(&mut self, seq: u64, ticket: Ticket) -> Handle {
        let service = ticket.service;
        let handle = self.insert(seq, ticket);
        let owner_queue = &mut self.owners[handle.owner_queue];
        self.ready.remove(&(owner_queue.tag, handle.owner_queue));
        owner_queue.refund(service);
        self.ready.insert((owner_queue.tag, handle.owner_queue));
        handle
    }

    /// Removes the next ticket in fair order, and charges its owner.
    pub fn pop(&mut self) -> Option<Ticket> {
        let &(tag, index) = self.ready.first()?;
        self.virtual_time = self.virtual_time.max(tag);
        let key = self.owners[index].first()?;
        self.ready.remove(&(tag, index));
        let owner_queue = &mut self.owners[index];
        let ticket = owner_queue.remove(key)?;
        owner_queue.charge(ticket.service);
        self.untrack(&ticket, key.1);
        self.reclassify(index);
        self.remove_idle();
        Some(ticket)
    }

    /// Removes a ticket that will not run; its owner isn't charged.
    pub fn remove(&mut self, handle: Handle) -> Option<Ticket> {
        let owner_queue = &mut self.owners[handle.owner_queue];
        let tag = owner_queue.tag;
        let ticket = owner_queue.remove(handle.key)?;
        self.ready.remove(&(tag, handle.owner_queue));
        self.untrack(&ticket, handle.key.1);
        self.reclassify(handle.owner_queue);
        Some(ticket)
    }

    fn untrack(&mut self, ticket: &Ticket, seq: u64) {
        let latest_start = ticket.latest_start();
        self.by_latest_start.remove(&(latest_start, seq, ticket.request));
        self.work = self.work.saturating_sub(ticket.service);
    }

    /// Puts an owner that lost a ticket in the ready or idle set.
    fn reclassify(&mut self, index: usize) {
        let owner_queue = &self.owners[index];
        if owner_queue.is_empty() {
            self.weights -= u64::from(owner_queue.weight);
            self.idle.insert((owner_queue.tag, index));
        } else {
            self.ready.insert((owner_queue.tag, index));
        }
    }

    /// Removes idle owners without debt, so that memory doesn't grow with every owner ever seen.
    fn remove_idle(&mut self) {
        while let Some(&(tag, index)) = self.idle.first() {
            if tag > self.virtual_time && !self.ready.is_empty() {
                break;
            }
            self.virtual_time = self.virtual_time.max(tag);
            self.idle.remove(&(tag, index));
            self.by_owner.remove(&self.owners[index].owner);
            self.vacant.push(index);
        }
    }

    fn owner_index(&mut self, owner: &id::Owner) -> usize {
        if let Some(&index) = self.by_owner.get(owner) {
            return index;
        }
        let owner_queue = OwnerQueue::new(owner.clone(), self.virtual_time);
        let index = match self.vacant.pop() {
            Some(index) => {
                self.owners[index] = owner_queue;
                index
            }
            None => {
                self.owners.push(owner_queue);
                self.owners.len() - 1
            }
        };
        self.by_owner.insert(owner.clone(), index);
        index
    }
}

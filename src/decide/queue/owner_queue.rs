//! The waiting requests of one owner in one class, the earliest deadline first.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::decide::queue::Ticket;
use crate::id;

/// The sort key of a ticket: its deadline, then its order of arrival.
pub type Key = (Instant, u64);

/// The waiting requests of one owner, with its start tag.
#[derive(Debug)]
pub struct OwnerQueue {
    /// The owner.
    pub owner: id::Owner,
    /// The virtual time at which the next ticket starts.
    pub tag: u64,
    /// The owner's weight, from its last ticket.
    pub weight: u32,
    /// The expected service time of all requests waiting here.
    pub work: Duration,
    tickets: BTreeMap<Key, Ticket>,
}

impl OwnerQueue {
    /// Creates an empty queue with this start tag.
    pub fn new(owner: id::Owner, tag: u64) -> Self {
        Self { owner, tag, weight: 1, work: Duration::ZERO, tickets: BTreeMap::new() }
    }

    /// Whether no request is waiting here.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Adds a ticket.
    pub fn insert(&mut self, key: Key, ticket: Ticket) {
        self.weight = ticket.weight.max(1);
        self.work += ticket.service;
        self.tickets.insert(key, ticket);
    }

    /// Removes a ticket.
    pub fn remove(&mut self, key: Key) -> Option<Ticket> {
        let ticket = self.tickets.remove(&key)?;
        self.work = self.work.saturating_sub(ticket.service);
        Some(ticket)
    }

    /// The key of the ticket with the earliest deadline.
    pub fn first(&self) -> Option<Key> {
        self.tickets.keys().next().copied()
    }

    /// Charges the owner for a service time, divided by its weight.
    pub fn charge(&mut self, service: Duration) {
        self.tag = self.tag.saturating_add(self.cost(service));
    }

    /// Reverses a charge.
    pub fn refund(&mut self, service: Duration) {
        self.tag = self.tag.saturating_sub(self.cost(service));
    }

    fn cost(&self, service: Duration) -> u64 {
        (service.as_nanos() as u64 / u64::from(self.weight)).max(1)
    }
}

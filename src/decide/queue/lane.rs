//! The waiting requests of one owner in one band, the earliest deadline first.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::decide::queue::Ticket;
use crate::id;

/// A ticket's place in its lane: by deadline, and by arrival among equal deadlines.
pub type Place = (Instant, u64);

/// The waiting requests of one owner, and the owner's account of virtual time.
#[derive(Debug)]
pub struct Lane {
    /// Whose requests they are.
    pub owner: id::Owner,
    /// The virtual time at which the next ticket starts.
    pub tag: u64,
    /// The owner's share, as the last ticket gave it.
    pub weight: u32,
    /// The expected service time of all that waits here.
    pub work: Duration,
    tickets: BTreeMap<Place, Ticket>,
}

impl Lane {
    /// An empty lane that starts at this virtual time.
    pub fn new(owner: id::Owner, tag: u64) -> Self {
        Self { owner, tag, weight: 1, work: Duration::ZERO, tickets: BTreeMap::new() }
    }

    /// Whether nothing waits here.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Adds a ticket.
    pub fn insert(&mut self, place: Place, ticket: Ticket) {
        self.weight = ticket.weight.max(1);
        self.work += ticket.service;
        self.tickets.insert(place, ticket);
    }

    /// Takes one ticket out.
    pub fn remove(&mut self, place: Place) -> Option<Ticket> {
        let ticket = self.tickets.remove(&place)?;
        self.work = self.work.saturating_sub(ticket.service);
        Some(ticket)
    }

    /// The place of the ticket with the earliest deadline.
    pub fn first(&self) -> Option<Place> {
        self.tickets.keys().next().copied()
    }

    /// Charges the owner for a service time, in proportion to its share.
    pub fn charge(&mut self, service: Duration) {
        self.tag = self.tag.saturating_add(self.cost(service));
    }

    /// Takes a charge back.
    pub fn refund(&mut self, service: Duration) {
        self.tag = self.tag.saturating_sub(self.cost(service));
    }

    fn cost(&self, service: Duration) -> u64 {
        (service.as_nanos() as u64 / u64::from(self.weight)).max(1)
    }
}

//! One class's waiting requests: start-time fair queueing among owners.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::decide::queue::Ticket;
use crate::decide::queue::lane::Lane;
use crate::decide::queue::lane::Place;
use crate::id;

/// Where a ticket stands within its band.
#[derive(Debug, Clone, Copy)]
pub struct Spot {
    lane: usize,
    place: Place,
}

/// The waiting requests of one class.
///
/// Each owner has a lane with a tag, the virtual time at which its next request starts; the lane with the
/// lowest tag goes next and is charged. An owner that was idle starts at the band's virtual time, so that it
/// neither saves up a claim nor sheds a debt by going idle.
#[derive(Debug, Default)]
pub struct Band {
    lanes: Vec<Lane>,
    vacant: Vec<usize>,
    by_owner: HashMap<id::Owner, usize>,
    ready: BTreeSet<(u64, usize)>,
    idle: BTreeSet<(u64, usize)>,
    by_latest_start: BTreeSet<(Instant, u64, id::Request)>,
    virtual_time: u64,
    weights: u64,
    work: Duration,
}

impl Band {
    /// The expected service time of all that waits here.
    pub fn work(&self) -> Duration {
        self.work
    }

    /// Whether nothing waits here.
    pub fn is_empty(&self) -> bool {
        self.ready.is_empty()
    }

    /// The last instant at which the most pressing ticket can still start in time.
    pub fn first_latest_start(&self) -> Option<Instant> {
        self.by_latest_start.first().map(|&(at, _, _)| at)
    }

    /// The request that can no longer start in time, if there is one.
    pub fn first_too_late(&self, now: Instant) -> Option<id::Request> {
        let &(at, _, request) = self.by_latest_start.first()?;
        (at < now).then_some(request)
    }

    /// The service time that this owner would see served before a further request of its own.
    ///
    /// Within the fair order an owner waits for its own work, and for what others are owed meanwhile.
    pub fn work_ahead(&self, owner: &id::Owner, weight: u32) -> Duration {
        let weight = u64::from(weight.max(1));
        let lane = self.by_owner.get(owner).map(|&index| &self.lanes[index]);
        let Some(lane) = lane else {
            return self.work.min(self.one_round());
        };
        let debt =
            Duration::from_nanos(lane.tag.saturating_sub(self.virtual_time).saturating_mul(weight));
        let others = if lane.is_empty() { self.weights + weight } else { self.weights };
        let fair = (lane.work + debt).mul_f64(others as f64 / weight as f64);
        self.work.min(fair + self.one_round())
    }

    /// The service time of one request of each owner that waits.
    fn one_round(&self) -> Duration {
        let waiting = self.by_latest_start.len().max(1);
        self.work.mul_f64(self.ready.len() as f64 / waiting as f64)
    }

    /// Adds a ticket.
    pub fn insert(&mut self, seq: u64, ticket: Ticket) -> Spot {
        let latest_start = ticket.latest_start();
        let place = (ticket.deadline, seq);
        let index = self.lane(&ticket.owner);
        self.work += ticket.service;
        self.by_latest_start.insert((latest_start, seq, ticket.request));
        let lane = &mut self.lanes[index];
        if lane.is_empty() {
            self.idle.remove(&(lane.tag, index));
            lane.tag = lane.tag.max(self.virtual_time);
            self.ready.insert((lane.tag, index));
        } else {
            self.weights -= u64::from(lane.weight);
        }
        lane.insert(place, ticket);
        self.weights += u64::from(lane.weight);
        Spot { lane: index, place }
    }

    /// Puts a ticket back that was popped and didn't start; its owner gets back what it was charged.
    pub fn give_back(&mut self, seq: u64, ticket: Ticket) -> Spot {
        let service = ticket.service;
        let spot = self.insert(seq, ticket);
        let lane = &mut self.lanes[spot.lane];
        self.ready.remove(&(lane.tag, spot.lane));
        lane.refund(service);
        self.ready.insert((lane.tag, spot.lane));
        spot
    }

    /// Takes out the next ticket in the fair order, and charges its owner.
    pub fn pop(&mut self) -> Option<Ticket> {
        let &(tag, index) = self.ready.first()?;
        self.virtual_time = self.virtual_time.max(tag);
        let place = self.lanes[index].first()?;
        self.ready.remove(&(tag, index));
        let lane = &mut self.lanes[index];
        let ticket = lane.remove(place)?;
        lane.charge(ticket.service);
        self.forget(&ticket, place.1);
        self.settle(index);
        self.drop_idle();
        Some(ticket)
    }

    /// Takes out a ticket that will not run; its owner isn't charged.
    pub fn remove(&mut self, spot: Spot) -> Option<Ticket> {
        let lane = &mut self.lanes[spot.lane];
        let tag = lane.tag;
        let ticket = lane.remove(spot.place)?;
        self.ready.remove(&(tag, spot.lane));
        self.forget(&ticket, spot.place.1);
        self.settle(spot.lane);
        Some(ticket)
    }

    fn forget(&mut self, ticket: &Ticket, seq: u64) {
        let latest_start = ticket.latest_start();
        self.by_latest_start.remove(&(latest_start, seq, ticket.request));
        self.work = self.work.saturating_sub(ticket.service);
    }

    /// Files a lane that lost a ticket under ready or idle.
    fn settle(&mut self, index: usize) {
        let lane = &self.lanes[index];
        if lane.is_empty() {
            self.weights -= u64::from(lane.weight);
            self.idle.insert((lane.tag, index));
        } else {
            self.ready.insert((lane.tag, index));
        }
    }

    /// Drops idle lanes whose debt is paid; without this the band would grow with each owner ever seen.
    fn drop_idle(&mut self) {
        while let Some(&(tag, index)) = self.idle.first() {
            if tag > self.virtual_time && !self.ready.is_empty() {
                break;
            }
            self.virtual_time = self.virtual_time.max(tag);
            self.idle.remove(&(tag, index));
            self.by_owner.remove(&self.lanes[index].owner);
            self.vacant.push(index);
        }
    }

    fn lane(&mut self, owner: &id::Owner) -> usize {
        if let Some(&index) = self.by_owner.get(owner) {
            return index;
        }
        let lane = Lane::new(owner.clone(), self.virtual_time);
        let index = match self.vacant.pop() {
            Some(index) => {
                self.lanes[index] = lane;
                index
            }
            None => {
                self.lanes.push(lane);
                self.lanes.len() - 1
            }
        };
        self.by_owner.insert(owner.clone(), index);
        index
    }
}

//! Requests that wait for room at upstreams; see [`room`](crate::decide::room).

use std::sync::Arc;
use std::time::Duration;

use tokio::time;
use tokio::time::Instant;

use super::State;
use crate::decide::room::Position;

/// Interval between checks whether there is room, beside notifications.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A request that waits for room, until dropped.
pub struct Ticket {
    state: Arc<State>,
    service: String,
    position: Position,
    /// How many requests waited before it.
    others: usize,
    since: Instant,
}

impl Ticket {
    /// Adds a request to those that wait for room at the upstreams of a service.
    pub fn new(state: &Arc<State>, service: &str, rank: u8) -> Self {
        let (position, others) = {
            let mut waiters = state.waiters();
            let others = waiters.count(service);
            (waiters.join(service, rank), others)
        };
        state.update_waiting(service);
        let (state, service) = (state.clone(), service.to_owned());
        Self { state, service, position, others, since: Instant::now() }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.state.waiters().leave(&self.service, self.position);
        let waited = self.since.elapsed();
        self.state.place().record_room_wait(&self.service, waited, self.others);
        self.state.update_waiting(&self.service);
        self.state.notify_room();
    }
}

impl State {
    /// Returns whether no other request for the service waits for room and goes first.
    pub fn is_next_for_room(&self, service: &str, rank: u8, ticket: Option<&Ticket>) -> bool {
        self.waiters().is_next(service, rank, ticket.map(|ticket| ticket.position))
    }

    /// Waits until there may be room.
    pub async fn wait_for_room(&self, until: Instant) {
        let next_poll = until.min(Instant::now() + POLL_INTERVAL);
        time::timeout_at(next_poll, self.room_changes.subscribe().changed()).await.ok();
    }

    /// Lets waiting requests check whether there is room.
    pub fn notify_room(&self) {
        self.room_changes.send_replace(());
    }

    /// Records that a request ended at an upstream.
    pub fn record_place_end(&self) {
        self.send_urgent_claims();
        self.notify_room();
    }

    /// Lets the hosts hear of claims that can't wait for the next update.
    fn send_urgent_claims(&self) {
        if !self.place().urgent_claims().is_empty() {
            self.claims_due.notify_one();
        }
    }

    fn update_waiting(&self, service: &str) {
        let waiting = self.waiters().count(service);
        self.place().set_waiting(service, waiting, Instant::now());
        self.send_urgent_claims();
    }
}

//! The order of a VM's requests that wait for room.

use std::collections::BTreeSet;
use std::collections::HashMap;

/// The position of a request among those of its service: its rank, 0 first, and the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    rank: u8,
    number: u64,
}

/// The requests that wait for room, by service.
#[derive(Debug, Default)]
pub struct Waiters {
    by_service: HashMap<String, BTreeSet<Position>>,
    next_number: u64,
}

impl Waiters {
    /// Adds a request behind those of its rank.
    pub fn join(&mut self, service: &str, rank: u8) -> Position {
        let position = Position { rank, number: self.next_number };
        self.next_number += 1;
        self.by_service.entry(service.to_owned()).or_default().insert(position);
        position
    }

    /// Removes a request.
    pub fn leave(&mut self, service: &str, position: Position) {
        let Some(waiting) = self.by_service.get_mut(service) else { return };
        waiting.remove(&position);
        if waiting.is_empty() {
            self.by_service.remove(service);
        }
    }

    /// Returns whether no other request goes before one of that rank. It may wait itself.
    pub fn is_next(&self, service: &str, rank: u8, own: Option<Position>) -> bool {
        let first = self.by_service.get(service).and_then(BTreeSet::first);
        first.is_none_or(|first| Some(*first) == own || (own.is_none() && rank < first.rank))
    }

    /// Returns the number of requests that wait.
    pub fn count(&self, service: &str) -> usize {
        self.by_service.get(service).map_or(0, BTreeSet::len)
    }
}

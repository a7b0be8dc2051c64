//! The part of another region's room that this VM may use.
//!
//! Load pattern: all VMs of a region hear that another one has room. If each used all of it, they would fill the region
//! together before they hear of it again, and its upstreams would reject what comes later.

use std::time::Duration;

use tokio::time::Instant;

use super::OUTLOOK_TTL;
use super::ROUND_TRIP;
use crate::decide::sharing::UPDATE_INTERVAL;

/// How long a region without room receives no requests. Its upstreams complete several requests in this time.
const FULL_TTL: Duration = Duration::from_millis(500);

/// The requests that all VMs of this region together send to a region of which nothing is known, in each interval between
/// updates. With this number, an interval without any is unlikely.
const PROBES: u32 = 4;

/// The room of a region, as it was reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// The number of requests that the region could place.
    pub places: u32,
    /// When the report arrived in this region.
    pub at: Instant,
}

/// The room of a region and the use that this VM makes of it.
#[derive(Debug, Default)]
pub struct Credit {
    room: Option<Room>,
    /// This VM's part of the room reported at that time, or of the probes from that time on.
    part: Option<(u32, Instant)>,
    /// When the requests in flight were sent.
    in_flight: Vec<Instant>,
}

impl Credit {
    /// Records a report; one that is older than the last is ignored.
    pub fn record_room(&mut self, room: Room) {
        if self.room.is_none_or(|known| known.at < room.at) {
            self.room = Some(room);
        }
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.in_flight.push(now);
    }

    /// Records the end of a request that was sent at that time.
    pub fn record_end(&mut self, sent_at: Instant) {
        if let Some(index) = self.in_flight.iter().position(|at| *at == sent_at) {
            self.in_flight.swap_remove(index);
        }
    }

    /// Returns the last report, unless it is stale.
    pub fn room(&self, now: Instant) -> Option<Room> {
        self.room.filter(|room| now.saturating_duration_since(room.at) < OUTLOOK_TTL)
    }

    /// Returns whether this VM, one of `vms`, may send a request. `has_outlook` tells whether anything is known of the
    /// region; `random` is between zero and one.
    pub fn permits(&mut self, vms: u32, has_outlook: bool, random: f64, now: Instant) -> bool {
        match self.room(now) {
            Some(Room { places: 0, at }) if now.saturating_duration_since(at) < FULL_TTL => false,
            Some(Room { places, at }) if places > 0 => {
                let part = self.part_of(places, vms, random, |drawn_at| drawn_at == at, at);
                // The report does not include what was on its way to the region. An answered request has left its place.
                let unreported = self.in_flight.iter().filter(|sent| **sent + ROUND_TRIP > at);
                (unreported.count() as u64) < u64::from(part)
            }
            // Some VMs report no room: older ones, and those whose upstreams have not rejected a request yet.
            None if has_outlook => true,
            _ => {
                let is_valid = |drawn_at| now.saturating_duration_since(drawn_at) < UPDATE_INTERVAL;
                let part = self.part_of(PROBES, vms, random, is_valid, now);
                (self.in_flight.len() as u64) < u64::from(part)
            }
        }
    }

    /// Returns this VM's part, rounded at random once for each report, so that all VMs together use about all places.
    fn part_of(
        &mut self,
        places: u32,
        vms: u32,
        random: f64,
        is_valid: impl Fn(Instant) -> bool,
        at: Instant,
    ) -> u32 {
        match self.part.filter(|(_, drawn_at)| is_valid(*drawn_at)) {
            Some((part, _)) => part,
            None => {
                let part = (f64::from(places) / f64::from(vms.max(1)) + random) as u32;
                self.part = Some((part, at));
                part
            }
        }
    }
}

#[cfg(test)]
mod tests;

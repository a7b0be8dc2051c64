//! Pacing what a cold upstream gets.
//!
//! Load pattern: an upstream starts, or comes back after an outage, while its service is under load; all VMs find it
//! idle at the same moment. Without a pace it gets more in its first second than it bears and crashes, again and again.
//! Nor is it enough that each VM keeps to its part of the rate: where twenty-six VMs may send it 6.7 requests a second in
//! all, each sends its first one at once, and that makes twenty-six.
//!
//! So the VMs take turns: each has one turn in a round, in which it may send one request, and turns begin one after the
//! other. They are counted back from the moment at which the upstream is no longer cold, which all VMs know alike, so that
//! no message is needed.

use std::time::Duration;

use tokio::time::Instant;

use crate::unit::Rate;

/// A turn that was not taken is over after this, so that the unused ones of many VMs don't end in one burst. In any second
/// those turns that began in the last 1.4 s may be taken, which is less than half as many again as the rate allows.
const TURN: Duration = Duration::from_millis(400);

/// This VM's place among those that send to the upstreams of its region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    senders: u32,
    rank: u32,
}

impl Share {
    /// The place of that rank, from 0, among so many VMs.
    pub fn new(rank: u32, senders: u32) -> Self {
        Self { senders: senders.max(1), rank }
    }

    /// How many VMs send.
    pub const fn senders(self) -> u32 {
        self.senders
    }
}

/// An upstream that is cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cold {
    /// Until when.
    pub until: Instant,
    /// How many requests it bears until then, of all VMs.
    pub rate: Rate,
}

/// The turns that this VM has taken.
#[derive(Debug, Default)]
pub struct Pace {
    taken: Option<u64>,
}

impl Pace {
    /// Whether a request may go now.
    pub fn allows(&self, cold: &Cold, share: Share, now: Instant) -> bool {
        let (round, begun) = turn(cold, share, now);
        begun <= TURN && self.taken != Some(round)
    }

    /// A request goes.
    pub fn went(&mut self, cold: &Cold, share: Share, now: Instant) {
        self.taken = Some(turn(cold, share, now).0);
    }
}

/// This VM's present round, counted back from the end, and how long ago its turn in it began.
fn turn(cold: &Cold, share: Share, now: Instant) -> (u64, Duration) {
    let gap = 1.0 / cold.rate.get();
    let round = gap * f64::from(share.senders);
    let left = cold.until.saturating_duration_since(now).as_secs_f64();
    let from_end = left + gap * f64::from(share.rank);
    let index = (from_end / round).floor();
    let begun = round * (index + 1.0) - from_end;
    (index as u64, Duration::try_from_secs_f64(begun).unwrap_or(Duration::MAX))
}

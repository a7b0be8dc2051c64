//! Rate limit for cold upstreams, coordinated among VMs without messages.
//!
//! Load pattern: an upstream starts or recovers while its service is under load, and all VMs find it idle at once.
//! Without a limit it receives more than it can handle in the first second and crashes repeatedly. A limit per VM is
//! not enough: if 26 VMs may send 6.7 requests a second in total, they still send 26 at once.
//!
//! Therefore each VM has one turn per round, in which it may send one request. Turns start one after the other, and
//! are computed backwards from the end of the cold period, which all VMs know.

use std::time::Duration;

use tokio::time::Instant;

use crate::unit::Rate;

/// How long an unused turn remains valid. It bounds bursts: turns that began in the last 1.4 s can be used within one
/// second, which is less than 1.5 times the rate.
const TURN_VALIDITY: Duration = Duration::from_millis(400);

/// This VM's rank among the VMs that send to the upstreams of its region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sender {
    count: u32,
    rank: u32,
}

/// The only VM.
impl Default for Sender {
    fn default() -> Self {
        Self::new(0, 1)
    }
}

impl Sender {
    /// Creates a sender of the given rank, counted from 0, among `count` VMs.
    pub fn new(rank: u32, count: u32) -> Self {
        Self { count: count.max(1), rank }
    }

    /// Returns the number of VMs that send.
    pub const fn count(self) -> u32 {
        self.count
    }
}

/// The rate limit of a cold upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cold {
    /// The end of the cold period.
    pub until: Instant,
    /// The rate limit over all VMs.
    pub rate: Rate,
}

/// Tracks the turns that this VM has used.
#[derive(Debug, Default)]
pub struct Pacer {
    last_round: Option<u64>,
}

impl Pacer {
    /// Returns whether a request may be sent now.
    pub fn allows(&self, cold: &Cold, sender: Sender, now: Instant) -> bool {
        let (round, elapsed) = turn(cold, sender, now);
        elapsed <= TURN_VALIDITY && self.last_round != Some(round)
    }

    /// Records that a request was sent.
    pub fn record(&mut self, cold: &Cold, sender: Sender, now: Instant) {
        self.last_round = Some(turn(cold, sender, now).0);
    }
}

/// Returns the index of this VM's current round, counted backwards from the end, and the time since its turn began.
fn turn(cold: &Cold, sender: Sender, now: Instant) -> (u64, Duration) {
    let gap = 1.0 / cold.rate.get();
    let round = gap * f64::from(sender.count);
    let remaining = cold.until.saturating_duration_since(now).as_secs_f64();
    let from_end = remaining + gap * f64::from(sender.rank);
    let index = (from_end / round).floor();
    let elapsed = round * (index + 1.0) - from_end;
    (index as u64, Duration::try_from_secs_f64(elapsed).unwrap_or(Duration::MAX))
}

//! Rate limit for cold upstreams, coordinated among VMs without messages.
//!
//! Load pattern: an upstream starts or recovers while its service is under load, and all VMs find it idle at once.
//! Without a limit it receives more than it can handle in the first second and crashes repeatedly.
//!
//! The VMs take [`Turns`], which are computed backwards from the end of the cold period, since all VMs know it. A VM
//! may send one request in a turn.

use std::time::Duration;

use tokio::time::Instant;

use crate::decide::turns::Sender;
use crate::decide::turns::Turn;
use crate::decide::turns::Turns;
use crate::unit::Rate;

/// How long an unused turn remains valid. It bounds bursts: turns that began in the last 1.4 s can be used within one
/// second, which is less than 1.5 times the rate.
const TURN_VALIDITY: Duration = Duration::from_millis(400);

/// The rate limit of a cold upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cold {
    /// The end of the cold period.
    pub until: Instant,
    /// The rate limit over all VMs.
    pub rate: Rate,
}

/// A request to a cold upstream, as logged: which turn it takes, in whose view.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSend {
    /// This VM's rank among the VMs that it knows.
    pub sender: Sender,
    /// The VM's turn.
    pub turn: Turn,
    /// The remaining cold period.
    pub left: Duration,
}

/// Tracks the turns that this VM has used.
#[derive(Debug, Default)]
pub struct Pacer {
    last_round: Option<i64>,
}

impl Pacer {
    /// Returns whether a request may be sent now.
    pub fn allows(&self, cold: &Cold, sender: Sender, now: Instant) -> bool {
        let turn = turn(cold, sender, now);
        turn.elapsed <= TURN_VALIDITY && self.last_round != Some(turn.round)
    }

    /// Records that a request was sent.
    pub fn record(&mut self, cold: &Cold, sender: Sender, now: Instant) {
        self.last_round = Some(turn(cold, sender, now).round);
    }
}

impl ColdSend {
    /// Describes a request sent now.
    pub fn new(cold: &Cold, sender: Sender, now: Instant) -> Self {
        let left = cold.until.saturating_duration_since(now);
        Self { sender, turn: turn(cold, sender, now), left }
    }
}

fn turn(cold: &Cold, sender: Sender, now: Instant) -> Turn {
    Turns { reference: cold.until, rate: cold.rate }.current(sender, now)
}

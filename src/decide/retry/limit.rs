//! Limits how many requests are sent to a service more than once, over all VMs.
//!
//! **Load pattern.** All upstreams of a service fail at once, and many VMs repeat what was refused. VMs also restart, all
//! of them and in series, and know few of the others or none.
//!
//! **Without it.** The repeats double the load of a failing service. A limit that is divided by the VMs that each one
//! knows, or kept in the memory of a process, is exceeded with each restart.
//!
//! **Decision.** There are two sources of repeats, and neither depends on how many VMs there are, or on what they know.
//!
//! - Requests earn repeats where they are sent, with half the ratio, and for less than half a window ([`Limit::earned`]).
//!   The repeats of a window were earned within it or in the half window before it. Requests are counted in the window,
//!   in the one before or in the one that begins half a window before, whichever has the most; so each half earns no
//!   more than half of what is allowed.
//! - The fixed minimum is not divided among the VMs that send. The voters of the control group issue it one by one
//!   ([`Reserve`](super::reserve::Reserve)), each of them its [share](Limit::share).
//!
//! A process starts without either, so that no restart adds anything. Only a control group that is founded begins with
//! what it may hold, since nothing has been repeated before.

use std::time::Duration;

use super::budget::BudgetConfig;

/// How long an issued repeat can be used, from when it was asked for. Covers a round trip between regions.
pub const ISSUE_LIFETIME: Duration = Duration::from_millis(250);

/// The fraction of the ratio that requests earn.
const EARNED_FRACTION: f64 = 0.5;

/// How long earned repeats can be used, as a fraction of the window. Requests and repeats reach the VM and the upstream
/// a little later than callers and VMs have sent them.
const EARNED_LIFETIME: f64 = 0.4;

/// Added to the whole number that a voter issues in a window, so that one more is not reached by rounding.
const FRACTION: f64 = 0.9;

/// The limit for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Repeats for each request within a window.
    pub ratio: f64,
    /// Additional repeats within a window, over all VMs.
    pub minimum: f64,
    /// The window.
    pub window: Duration,
}

/// One of several voters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// The number of voters before it.
    pub nth: u32,
    /// The number of voters.
    pub voters: u32,
}

impl Limit {
    /// The budget of a VM that sends requests.
    pub fn earned(&self) -> BudgetConfig {
        BudgetConfig {
            ratio: self.ratio * EARNED_FRACTION,
            lifetime: self.window.mul_f64(EARNED_LIFETIME),
            capacity: 0.0,
            refill_interval: Duration::MAX,
        }
    }

    /// The budget of a voter, from which it issues repeats; none if it has no part of the minimum. All voters together
    /// issue no more than the minimum in any window.
    pub fn share(&self, rank: Rank) -> Option<BudgetConfig> {
        let before = |nth: u32| (self.minimum * f64::from(nth) / f64::from(rank.voters)).floor();
        let share = before(rank.nth + 1) - before(rank.nth);
        if !(1.0..f64::INFINITY).contains(&share) {
            return None;
        }
        let capacity = (share / 2.0).ceil();
        let added = share - capacity + FRACTION;
        let refill_interval = (self.window + ISSUE_LIFETIME).div_f64(added);
        Some(BudgetConfig { ratio: 0.0, lifetime: Duration::ZERO, capacity, refill_interval })
    }
}

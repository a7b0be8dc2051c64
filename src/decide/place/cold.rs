//! Rate limit for cold upstreams, coordinated among VMs by [`Turns`].
//!
//! Load pattern: an upstream starts or recovers while its service is under load, and all VMs find it idle at once.
//! Without a limit it receives more than it can handle in the first second and crashes repeatedly.

use std::time::Duration;

use tokio::time::Instant;

use crate::decide::sharing::Key;
use crate::decide::turns::Turn;
use crate::decide::turns::Turns;
use crate::unit::Rate;

/// How long an unused turn remains valid, at least for its own length. It bounds bursts: within one second, the turns
/// that began in the last 1.4 s can be used.
const TURN_VALIDITY: Duration = Duration::from_millis(400);

/// The rate limit of a cold upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cold {
    /// The end of the cold period.
    pub until: Instant,
    /// The rate limit over all VMs.
    pub rate: Rate,
}

impl Cold {
    /// Returns the VMs' turns at the upstream.
    pub fn turns(&self, key: Key) -> Turns {
        let turn = Duration::try_from_secs_f64(1.0 / self.rate.get()).unwrap_or(Duration::MAX);
        Turns { key, rate: self.rate, validity: TURN_VALIDITY.max(turn) }
    }
}

/// A request to a cold upstream, as logged: which turn it takes, in whose view.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSend {
    /// The number of VMs that this VM knows.
    pub vms: u32,
    /// The turn; `None` if the VM has no turn.
    pub turn: Option<Turn>,
    /// The remaining cold period.
    pub left: Duration,
}

//! Turns of VMs at an upstream with a rate limit over all VMs, computed by each VM without messages.
//!
//! **Load pattern.** Many VMs find the same upstream idle at once, often as all of them have just started with it. A
//! limit for each VM is not enough: if 26 VMs may send 6.7 requests a second in total, they still send 26 at once.
//!
//! **Without it.** The upstream receives a burst from all VMs and crashes again.
//!
//! **Decision.** Time is divided into turns of one request each, or of a few if the rate is high, counted from an epoch
//! that all VMs know. Rendezvous hashing assigns each turn to one VM. A turn does not depend on the state of the upstream
//! or on the number of VMs, so that a VM never uses one twice when its view of them changes, and views that differ in one
//! VM disagree on the turns of that VM only. A VM that has just started knows too few others, and would take their turns:
//! it has none until the others are known to it, see [`Sender`].
//!
//! In any span of time, all VMs together send at most the requests of that span and of the [validity](Turns::validity)
//! of a turn, plus those of one turn.

mod pacer;
mod sender;

use std::time::Duration;

use tokio::time::Instant;

use crate::decide::sharing::Key;
use crate::unit::Rate;

pub use pacer::Pacer;
pub use sender::SETTLING_TIME;
pub use sender::Sender;

/// Maximum number of valid turns. Turns are longer at high rates, so that few have to be checked.
const MAX_VALID_TURNS: f64 = 32.0;

/// Upper bound on waits, so that they can be added to an instant.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// The turns at one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Turns {
    /// The upstream, so that a VM's turns at several upstreams do not coincide.
    pub key: Key,
    /// The requests over all VMs.
    pub rate: Rate,
    /// How long a turn can be used after it has begun.
    pub validity: Duration,
}

/// A turn of one VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Turn {
    /// The number of turns since the epoch.
    pub index: i64,
    /// When it begins.
    pub begins: Instant,
    /// The requests that may be sent in it.
    pub requests: u32,
}

impl Turns {
    /// Returns the interval between two requests of a VM at its equal share of the rate; an hour at most.
    pub fn share_interval(&self, sender: &Sender) -> Duration {
        let seconds = self.share_interval_seconds(sender);
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }

    fn share_interval_seconds(&self, sender: &Sender) -> f64 {
        f64::from(sender.count()) / self.rate.get()
    }

    /// Returns the length of a turn in seconds.
    fn turn_length(&self) -> f64 {
        (1.0 / self.rate.get()).max(self.validity.as_secs_f64() / MAX_VALID_TURNS)
    }

    fn index_at(&self, sender: &Sender, at: Instant) -> i64 {
        (sender.since_epoch(at) / self.turn_length()).floor() as i64
    }

    /// Returns the first turn that can be used at the given time.
    fn first_valid(&self, sender: &Sender, at: Instant) -> i64 {
        let oldest = at.checked_sub(self.validity).unwrap_or(at);
        self.index_at(sender, oldest).saturating_add(1)
    }

    /// Returns the turn if it is assigned to this VM and may carry requests.
    fn own_turn(&self, sender: &Sender, index: i64) -> Option<Turn> {
        let length = self.turn_length();
        // Where turns carry more than one request, fractions are carried over to the next turn.
        let per_turn = (length * self.rate.get()).max(1.0);
        let before = |index: i64| (index as f64 * per_turn).floor();
        let requests = (before(index + 1) - before(index)) as u32;
        (requests > 0 && sender.owns(self.key, index)).then(|| Turn {
            index,
            begins: sender.instant(index as f64 * length),
            requests,
        })
    }
}

#[cfg(test)]
mod tests;

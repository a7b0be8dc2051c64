//! The region's command lease: which VM may send placement commands.
//!
//! The region's replicas grant the lease with an increasing fencing number. Engines that check the number reject
//! commands of an earlier holder. For the others safety rests on time: a holder sends no command whose timeout ends
//! after its lease, and a new holder waits until the previous lease and every command sent under it have ended.
//! A holder that was paused sees on waking that its lease has expired, and sends no further step.
//!
//! Timing doesn't cover a process that is paused between its check of the clock and the write that follows, for
//! longer than [`TAKEOVER_DELAY`]. A permit must therefore be requested right before each write. Only engines that
//! check fencing numbers are safe from such a pause.

use std::time::Duration;

use tokio::time::Instant;

use crate::unit::Fence;

/// How long a lease is valid without renewal.
pub const LEASE_DURATION: Duration = Duration::from_secs(15);

/// The longest that one command may take, from the first byte to the engine's acknowledgement.
pub const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);

/// How far two VMs' clocks may drift apart during a lease: 1%; quartz clocks differ by 0.02% at worst.
pub const CLOCK_DRIFT: Duration = Duration::from_millis(150);

/// How long a new holder sends no commands: the previous holder's lease, clock drift and command timeout.
pub const TAKEOVER_DELAY: Duration =
    LEASE_DURATION.saturating_add(CLOCK_DRIFT).saturating_add(COMMAND_TIMEOUT);

/// A VM's state with respect to the region's command lease.
#[derive(Debug)]
pub struct LeaseHolder<S> {
    state: S,
}

/// Doesn't hold the lease.
#[derive(Debug)]
pub struct Idle;

/// Holds the lease, and waits until no command of the previous holder can take effect.
#[derive(Debug)]
pub struct Waiting {
    fence: Fence,
    expires: Instant,
    ready: Instant,
}

/// Holds the lease and may send commands.
#[derive(Debug)]
pub struct Active {
    fence: Fence,
    expires: Instant,
}

/// Permission to write one step of a command now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// The fencing number to send with the command.
    pub fence: Fence,
    /// When the command must be acknowledged; its connection is closed then.
    pub deadline: Instant,
}

/// The status of a lease at a given time.
#[derive(Debug)]
pub enum LeaseStatus {
    /// Held, but no commands may be sent yet.
    Waiting(LeaseHolder<Waiting>),
    /// Commands may be sent.
    Active(LeaseHolder<Active>),
    /// The lease has expired.
    Expired(LeaseHolder<Idle>),
}

impl Default for LeaseHolder<Idle> {
    fn default() -> Self {
        Self::new()
    }
}

impl LeaseHolder<Idle> {
    /// A VM without the lease.
    pub fn new() -> Self {
        Self { state: Idle }
    }

    /// Records a granted lease. It runs from the moment it was requested. The takeover delay runs from now, since the
    /// previous holder may have renewed until just before the grant; `first` means that there was no previous holder.
    pub fn granted(
        self,
        fence: Fence,
        requested: Instant,
        first: bool,
        now: Instant,
    ) -> LeaseHolder<Waiting> {
        let ready = if first { now } else { now + TAKEOVER_DELAY };
        LeaseHolder { state: Waiting { fence, expires: requested + LEASE_DURATION, ready } }
    }
}

impl LeaseHolder<Waiting> {
    /// Records a renewal that was requested at that moment.
    pub fn renewed(&mut self, requested: Instant) {
        self.state.expires = self.state.expires.max(requested + LEASE_DURATION);
    }

    /// The status now.
    pub fn status(self, now: Instant) -> LeaseStatus {
        let Waiting { fence, expires, ready } = self.state;
        if now >= expires {
            return LeaseStatus::Expired(LeaseHolder::new());
        }
        if now < ready {
            return LeaseStatus::Waiting(self);
        }
        LeaseStatus::Active(LeaseHolder { state: Active { fence, expires } })
    }
}

impl LeaseHolder<Active> {
    /// Records a renewal that was requested at that moment. An expired lease stays expired: another VM may have held
    /// it since.
    pub fn renewed(&mut self, requested: Instant, now: Instant) {
        if now < self.state.expires {
            self.state.expires = self.state.expires.max(requested + LEASE_DURATION);
        }
    }

    /// Permission for one step of a command, or `None` if the lease might expire before the command's timeout. Must be
    /// requested right before each write.
    pub fn permit(&self, now: Instant) -> Option<Permit> {
        let deadline = now + COMMAND_TIMEOUT;
        (deadline <= self.state.expires).then_some(Permit { fence: self.state.fence, deadline })
    }

    /// The status now.
    pub fn status(self, now: Instant) -> LeaseStatus {
        if now < self.state.expires {
            return LeaseStatus::Active(self);
        }
        LeaseStatus::Expired(LeaseHolder::new())
    }
}

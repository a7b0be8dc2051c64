//! Whether what this VM knows of upstreams is outdated, because it paused.
//!
//! Load pattern: a VM stands still for some seconds while its callers go on to send requests, and an upstream becomes cold
//! meanwhile. All that has queued up would be sent to it before the VM has read what control VMs have told of it.
//!
//! After a pause the VM asks a control VM. Until the answer arrives, all upstreams count as cold. That ends after
//! [`MAX_DOUBT`], since a VM that does not reach any control VM must go on to serve its callers.

use std::time::Duration;

use tokio::time::Instant;

use crate::clock::pause;

/// The interval at which the owner of a [`Balancer`](super::Balancer) makes it observe that the process runs, at least.
pub const OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);

/// A shorter pause is no longer than what VMs know of each other is old anyway, and frequent on a busy machine.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// How long a VM waits for an answer of a control VM after a pause: a few round trips between regions.
pub const MAX_DOUBT: Duration = Duration::from_millis(500);

/// Tells since when this VM has been running, and whether it has heard anything since.
#[derive(Debug)]
pub struct Doubt {
    pauses: pause::Detector,
    resumed_at: Option<Instant>,
    until: Option<Instant>,
}

impl Doubt {
    /// Creates a state without a pause.
    pub const fn new() -> Self {
        Self { pauses: pause::Detector::new(MIN_PAUSE), resumed_at: None, until: None }
    }

    /// Records that the process runs; returns the length of the pause that has ended, if there was one. `elapsing` is the
    /// time by a clock that goes on while the VM is suspended.
    pub fn observe(&mut self, elapsing: Instant, now: Instant) -> Option<Duration> {
        let pause = self.pauses.observe(elapsing)?;
        self.resumed_at = Some(now);
        self.until = Some(now + MAX_DOUBT);
        Some(pause)
    }

    /// Records the answer of a control VM to a question that was asked at that time; returns whether it ends the doubt.
    pub fn record_answer(&mut self, asked_at: Instant) -> bool {
        let is_news = self.until.is_some() && !self.has_paused_since(asked_at);
        if is_news {
            self.until = None;
        }
        is_news
    }

    /// Until when the VM is in doubt; `None` if it is not.
    pub fn until(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|until| now < *until)
    }

    /// Whether the process has paused since that time.
    pub fn has_paused_since(&self, at: Instant) -> bool {
        self.resumed_at.is_some_and(|resumed| at < resumed)
    }
}

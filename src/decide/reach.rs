//! Whether this VM reaches the upstreams of its region.
//!
//! **Load pattern.** A VM loses its paths to all upstreams for some seconds: connections hang, are reset, or new ones are
//! refused. Callers and other VMs still reach it.
//!
//! **Without it.** The VM sends each request to one upstream after the other, all of which fail, although a VM beside it could
//! serve the request. Other VMs go on to forward requests to it.
//!
//! **Decision.** Any answer shows that the VM reaches upstreams. Failures at several upstreams without an answer in between
//! raise a doubt, which is settled by probing connections; silence for long settles it by itself. A VM without reach sends
//! its requests to a peer, and tells so to the other VMs. Once a probe is accepted, single requests are tried: an answer ends
//! the state, a failure prolongs it.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::id;

/// The number of upstreams at which requests must fail before the VM doubts its reach.
const MIN_FAILING: usize = 2;

/// How long a failure counts.
const FAILURE_TIME: Duration = Duration::from_secs(2);

/// How long all upstreams with running requests must be silent before the VM doubts its reach. A single sound upstream may
/// be silent for a second.
const DOUBTFUL_SILENCE: Duration = Duration::from_millis(700);

/// The same for silence that needs no probe: a path may accept connections and pass nothing on.
const CERTAIN_SILENCE: Duration = Duration::from_millis(2_000);

/// The time between probes without reach, and from a failed trial to the next one; it doubles with each further failure.
const MIN_PAUSE: Duration = Duration::from_millis(250);
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// How long a trial may take until another request is tried.
const TRIAL_TIME: Duration = Duration::from_secs(1);

/// Why a VM concluded that it has no reach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Evidence {
    /// Requests failed at these upstreams, and no probe was accepted.
    Failures(BTreeSet<id::Upstream>),
    /// Nothing was received from any upstream with running requests for that time.
    Silence(Duration),
}

/// What to do next to find out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// Nothing.
    None,
    /// Probe some upstreams, and report to [`Reach::record_probes`].
    Probe,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum State {
    #[default]
    Reached,
    /// Probes are sent at that time.
    Lost { probe_at: Instant, pause: Duration },
    /// A request may be tried at that time.
    Trial { try_at: Instant, pause: Duration },
}

/// This VM's view of its reach.
#[derive(Debug, Default)]
pub struct Reach {
    state: State,
    failing: BTreeSet<id::Upstream>,
    last_failure: Option<Instant>,
    silence: Duration,
}

impl Reach {
    /// Assumes that upstreams are reached.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether upstreams are reached, as far as is known.
    pub fn is_reached(&self) -> bool {
        self.state == State::Reached
    }

    /// Whether a request may be sent to an upstream. Without reach only single requests may, to try it out: those that may be
    /// repeated, or others if there are none for some time.
    pub fn may_send(&mut self, is_repeatable: bool, now: Instant) -> bool {
        let delay = if is_repeatable { Duration::ZERO } else { TRIAL_TIME };
        match self.state {
            State::Reached => true,
            State::Trial { try_at, pause } if now >= try_at + delay => {
                self.state = State::Trial { try_at: now + TRIAL_TIME, pause };
                true
            }
            State::Lost { .. } | State::Trial { .. } => false,
        }
    }

    /// Records that something was received from an upstream; returns whether the VM has regained its reach.
    pub fn record_answer(&mut self) -> bool {
        let is_regained = !self.is_reached();
        self.state = State::Reached;
        self.failing.clear();
        self.last_failure = None;
        is_regained
    }

    /// Records that a request failed at an upstream without an answer.
    pub fn record_failure(&mut self, upstream: &id::Upstream, now: Instant) {
        if self.last_failure.is_none_or(|last| now >= last + FAILURE_TIME) {
            self.failing.clear();
        }
        self.failing.insert(upstream.clone());
        self.last_failure = Some(now);
        if let State::Trial { pause, .. } = self.state {
            let pause = (pause * 2).min(MAX_PAUSE);
            self.state = State::Lost { probe_at: now + pause, pause };
        }
    }

    /// What to do now. `silence` is how long nothing was received from any of the upstreams with running requests, if there
    /// are several; `known` is the number of upstreams of the region.
    pub fn check(
        &mut self,
        silence: Option<Duration>,
        known: impl FnOnce() -> usize,
        now: Instant,
    ) -> Check {
        self.silence = silence.unwrap_or_default();
        match self.state {
            State::Reached => {
                let is_recent = self.last_failure.is_some_and(|last| now < last + FAILURE_TIME);
                let count = self.failing.len();
                let is_failing = is_recent && (count >= MIN_FAILING || count == known());
                let is_silent = self.silence >= DOUBTFUL_SILENCE;
                if is_silent || is_failing { Check::Probe } else { Check::None }
            }
            State::Lost { probe_at, .. } if now >= probe_at => Check::Probe,
            State::Lost { .. } | State::Trial { .. } => Check::None,
        }
    }

    /// Records whether any probe was accepted; returns the evidence if the VM has just lost its reach.
    pub fn record_probes(&mut self, is_accepted: bool, now: Instant) -> Option<Evidence> {
        match self.state {
            State::Reached if !is_accepted || self.silence >= CERTAIN_SILENCE => {
                let is_silent = self.silence >= DOUBTFUL_SILENCE;
                self.state = State::Lost { probe_at: now + MIN_PAUSE, pause: MIN_PAUSE };
                Some(match is_silent {
                    true => Evidence::Silence(self.silence),
                    false => Evidence::Failures(self.failing.clone()),
                })
            }
            State::Lost { pause, .. } => {
                self.state = match is_accepted {
                    true => State::Trial { try_at: now, pause },
                    false => State::Lost { probe_at: now + MIN_PAUSE, pause },
                };
                None
            }
            State::Reached | State::Trial { .. } => {
                // The upstreams that fail are down, and others are not.
                if is_accepted {
                    self.failing.clear();
                }
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;

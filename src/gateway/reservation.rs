//! Capacity reserved for a request at an upstream or another region, released on drop.

use std::sync::Arc;

use tokio::time::Instant;

use super::State;
use crate::decide::feedback::Feedback;
use crate::decide::place::InFlight;
use crate::decide::place::Outcome;
use crate::decide::place::Report;
use crate::decide::quarantine::Digest;
use crate::id;

/// The target of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// An upstream of this region.
    Upstream(id::Upstream),
    /// An entry VM of another region.
    Vm(id::Region, id::Vm),
}

/// Reserved capacity at a target; dropping it reports the outcome.
pub struct Reservation {
    state: Arc<State>,
    target: Target,
    service: String,
    held: Option<InFlight>,
    outcome: Outcome,
    started: Instant,
    /// The request, while it matters where suspects run.
    digest: Option<Digest>,
    /// The parts of its prompt that other requests may share.
    parts: Arc<[Digest]>,
    /// The hash of a request that was sent to an upstream.
    hash: Option<u64>,
}

impl Reservation {
    /// Creates a reservation. If it is dropped before it is completed, the request counts as
    /// abandoned.
    pub fn new(state: Arc<State>, target: Target, service: &str, held: Option<InFlight>) -> Self {
        let outcome = Outcome::Abandoned;
        let (service, started) = (service.to_owned(), Instant::now());
        let (digest, parts, hash) = (None, Arc::default(), None);
        if let Target::Vm(region, _) = &target
            && *region != state.node().region
        {
            state.regions().record_sent(region, &service, started);
        }
        Self { state, target, service, held, outcome, started, digest, parts, hash }
    }

    /// Sets the request whose run is to be reported with its parts, if it matters where suspects run.
    #[must_use]
    pub fn with_digest(mut self, digest: Option<Digest>) -> Self {
        self.digest = digest;
        self
    }

    /// Sets the parts of the prompt whose answer is counted.
    #[must_use]
    pub fn with_parts(mut self, parts: Arc<[Digest]>) -> Self {
        self.parts = parts;
        self
    }

    /// Sets the hash of a request whose answer is counted.
    #[must_use]
    pub fn with_hash(mut self, hash: Option<u64>) -> Self {
        self.hash = hash;
        self
    }

    /// The target.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Records an event of the response, or a complete response.
    pub fn record_event(&mut self) {
        if let Target::Upstream(_) = self.target {
            self.state.record_answer();
        }
        if let Some(held) = &mut self.held {
            self.state.place().record_event(held, Instant::now());
        }
    }

    /// Records what the upstream states in its response.
    pub fn record_feedback(&self, feedback: &Feedback) {
        if let Some(held) = &self.held {
            self.state.place().record_feedback(held, feedback, Instant::now());
        }
    }

    /// Records that the upstream rejected the request, and the load that it stated with it.
    pub fn record_rejection(&self, load: Report) {
        if let Some(held) = &self.held {
            self.state.place().record_rejection(held, load, Instant::now());
        }
    }

    /// Releases the capacity with the given outcome.
    pub fn complete(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let now = Instant::now();
        match (&self.target, self.held.take()) {
            (Target::Upstream(upstream), Some(held)) => {
                // Without reach, no upstream is to blame.
                let outcome = match self.outcome {
                    Outcome::Unanswered if !self.state.reaches_upstreams() => Outcome::Failed,
                    outcome => outcome,
                };
                self.state.place().record_end(held, outcome, now);
                self.state.record_place_end();
                let is_answered = matches!(self.outcome, Outcome::Answered | Outcome::Error);
                if is_answered || self.outcome == Outcome::Refused {
                    self.state.record_answer();
                }
                if let (Outcome::Answered, Some(hash)) = (self.outcome, self.hash) {
                    self.state.record_popular(hash);
                }
                if self.outcome == Outcome::Answered {
                    self.state.record_part_answers(&self.parts);
                }
                if let Some(request) = &self.digest {
                    for digest in [request].into_iter().chain(self.parts.iter()) {
                        self.state.record_run_end(digest, upstream, is_answered);
                    }
                }
                if is_answered {
                    self.state.record_sign_of_life(upstream, self.started);
                }
            }
            // What a peer of this region answers tells nothing of another region.
            (Target::Vm(region, _), _) if *region == self.state.node().region => (),
            (Target::Vm(region, _), _) => {
                let ended = (self.outcome, self.started);
                self.state.regions().record_end(region, &self.service, ended, now);
            }
            (Target::Upstream(_), None) => (),
        }
    }
}

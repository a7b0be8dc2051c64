//! What a request that was sent holds of an upstream or of another region, given back whatever way it ends.

use std::sync::Arc;

use tokio::time::Instant;

use super::Hub;
use crate::decide::place::InFlight;
use crate::decide::place::Outcome;
use crate::id;

/// Where a request was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// An upstream of this region.
    Upstream(id::Upstream),
    /// An entry VM of another region.
    Vm(id::Region, id::Vm),
}

/// A place at a target; dropping it gives it back.
pub struct Claim {
    hub: Arc<Hub>,
    target: Target,
    service: String,
    held: Option<InFlight>,
    outcome: Outcome,
}

impl Claim {
    /// A claim of a request that is sent now. A request that is dropped before it has ended was abandoned.
    pub fn new(hub: Arc<Hub>, target: Target, service: &str, held: Option<InFlight>) -> Self {
        let outcome = Outcome::Abandoned;
        Self { hub, target, service: service.to_owned(), held, outcome }
    }

    /// Where the request was sent.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// An event of its answer, or its whole answer, came.
    pub fn event(&mut self) {
        if let Some(held) = &mut self.held {
            self.hub.place().record_event(held, Instant::now());
        }
    }

    /// It ended so.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let now = Instant::now();
        match (&self.target, self.held.take()) {
            (Target::Upstream(_), Some(held)) => {
                self.hub.place().record_end(held, self.outcome, now);
            }
            (Target::Vm(region, _), _) => {
                self.hub.regions().record_end(region, &self.service, self.outcome, now);
            }
            (Target::Upstream(_), None) => (),
        }
    }
}

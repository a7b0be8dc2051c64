//! Requests at a VM that is stopping: an attempt is sent only if it can be expected to end before remaining requests are
//! cut off, and a request that is cut off gets a response.

use std::time::Duration;

use tokio::time::Instant;

use super::OpenResponse;
use super::Placement;
use super::Relay;
use crate::gateway::receive;
use crate::http::Ran;
use crate::http::Reason;
use crate::http::Refusal;

/// The time that must be left for an attempt, as a multiple of the expected one, since about half of all take longer than
/// expected.
const MIN_TIME_FACTOR: u32 = 2;

/// What ends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Bounds {
    /// The timeout of its caller or route.
    Caller,
    /// The stop of this VM.
    Stop,
}

impl Relay {
    /// Brings the deadline forward to the time at which this VM cuts requests off. Upstreams are told no more than that.
    pub(super) fn bound_by_stop(&mut self) {
        if let Some(at) = self.state.cutoff().at().filter(|at| *at < self.job.deadline) {
            self.job.deadline = at;
            self.bounds = Bounds::Stop;
        }
    }

    /// Whether this VM is expected to cut the request off before it ends.
    pub(super) fn outlasts_stop(&self, placement: &Placement) -> bool {
        let left = self.job.deadline.saturating_duration_since(Instant::now());
        self.bounds == Bounds::Stop && left < self.usual_time(placement)
    }

    fn usual_time(&self, placement: &Placement) -> Duration {
        (placement.expected_total() * MIN_TIME_FACTOR).max(self.job.route.objective)
    }

    /// Refuses the request since this VM is stopping.
    pub(super) fn stopping(&self) -> Refusal {
        if self.executed == 0 && !self.is_attempting {
            return receive::stopping();
        }
        let text = "this VM stopped before the request had ended";
        Refusal::new(Reason::UpstreamFailed, text).with_ran(Ran::Unknown)
    }

    /// Ends a request that this VM cuts off before its response has begun. The attempt in progress has been dropped.
    pub fn cut_off(&mut self) -> Result<OpenResponse, Refusal> {
        self.upstream_error.take().ok_or_else(|| self.stopping())
    }
}

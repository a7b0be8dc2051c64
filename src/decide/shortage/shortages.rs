//! The shortages of all services, as one VM sees them.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::Detector;
use crate::decide::place::wait;

/// The services that are short of capacity.
#[derive(Debug, Default)]
pub struct Shortages {
    services: HashMap<String, Detector>,
}

impl Shortages {
    /// Records the expected time to the first event of an urgent request, and its objective.
    ///
    /// Others don't count: what is expected of them includes preemption by urgent ones, which is no queue.
    pub fn record_expected(
        &mut self,
        service: &str,
        expected: Duration,
        objective: Duration,
        now: Instant,
    ) {
        let is_late = expected > wait::shortage_limit(objective);
        if let Some(detector) = self.services.get_mut(service) {
            detector.record(is_late, now);
            return;
        }
        if is_late {
            // Services of earlier documents are removed whenever another one comes under pressure.
            self.services.retain(|_, detector| detector.is_pressed(now));
            self.services.entry(service.to_owned()).or_default().record(is_late, now);
        }
    }

    /// Returns the limit of the expected time of a request; a lower one in a shortage, and lower still if its caller's first
    /// attempt was so long ago.
    ///
    /// Only urgent requests have a lower limit. Others are refused before them by their usual one; with less, prompts would be
    /// moved away from engines that hold their parts.
    ///
    /// Failure: requests that can't be in time any more lengthen the wait of others, which are late as well then.
    pub fn limit(
        &self,
        service: &str,
        (objective, urgent): (Duration, bool),
        since_first: Option<Duration>,
        now: Instant,
    ) -> Duration {
        let limit = wait::limit(objective, urgent);
        let Some(detector) = self.services.get(service).filter(|_| urgent) else { return limit };
        let elapsed = since_first.unwrap_or_default();
        let is_late = elapsed >= objective;
        match (detector.is_standing(now), is_late && detector.is_pressed(now)) {
            (true, _) => limit.min(wait::return_limit(objective, elapsed)),
            (false, true) => limit.min(wait::shortage_limit(objective)),
            (false, false) => limit,
        }
    }
}

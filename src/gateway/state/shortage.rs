//! Services that are short of capacity; see [`shortage`](crate::decide::shortage).

use std::sync::MutexGuard;
use std::time::Duration;

use tokio::time::Instant;

use super::State;
use crate::decide::shortage::Shortages;

impl State {
    pub(in crate::gateway) fn shortages(&self) -> MutexGuard<'_, Shortages> {
        self.shortages.lock()
    }

    /// Records the timeout that a caller states; returns the time since its first attempt if this is not the first.
    pub fn record_timeout(&self, route: &str, timeout: Duration) -> Option<Duration> {
        let mut returns = self.returns.lock();
        returns.record_timeout(route, timeout, Instant::now())
    }
}

//! Return times of refused callers, spread at the rate at which they can be served.
//!
//! If all callers refused in a burst returned after the same time, the burst would repeat.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::id;

/// The longest time after which a refused caller may come back; with longer ones, recovered capacity would stay idle.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The latest return time of each owner with refused callers.
///
/// Owners share the service rate evenly, so that one owner's refusals delay only its own callers.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    last: HashMap<id::Owner, Instant>,
    order: BTreeSet<(Instant, id::Owner)>,
}

impl RetrySchedule {
    /// The next return time for this owner, not before `earliest`; `interval` is the time between two returns of any owner.
    pub fn schedule(
        &mut self,
        owner: &id::Owner,
        earliest: Instant,
        interval: Duration,
        now: Instant,
    ) -> Instant {
        self.remove_past(now);
        let last = self.last.get(owner).copied();
        let owners = self.last.len() + usize::from(last.is_none());
        let interval = interval.saturating_mul(owners as u32);
        let at =
            last.map_or(earliest, |last| earliest.max(last + interval)).min(now + MAX_RETRY_AFTER);
        if let Some(last) = self.last.insert(owner.clone(), at) {
            self.order.remove(&(last, owner.clone()));
        }
        self.order.insert((at, owner.clone()));
        at
    }

    fn remove_past(&mut self, now: Instant) {
        while self.order.first().is_some_and(|(at, _)| *at < now) {
            let Some((_, owner)) = self.order.pop_first() else { return };
            self.last.remove(&owner);
        }
    }
}

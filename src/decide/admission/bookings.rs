//! When refused callers return: places one after the other, at the rate at which they can be served.
//!
//! **Load pattern.** A burst refuses thousands of callers within seconds. **Without it** they all return after the same
//! pause, and the burst repeats itself until they happen to be spread.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::id;

/// The longest time that a refused caller is told to stay away: longer, and capacity that returns would idle.
pub const MAX_RETRY: Duration = Duration::from_secs(60);

/// The last place given to each owner that has callers away.
///
/// Each owner gets places at its even part of the rate of service: a hot owner's thousands of refusals push its
/// own callers back, and nobody else's.
#[derive(Debug, Default)]
pub struct Bookings {
    last: HashMap<id::Owner, Instant>,
    order: BTreeSet<(Instant, id::Owner)>,
}

impl Bookings {
    /// The next place of this owner, not before `earliest`; `pace` is the time between two places of all owners.
    pub fn book(
        &mut self,
        owner: &id::Owner,
        earliest: Instant,
        pace: Duration,
        now: Instant,
    ) -> Instant {
        self.drop_past(now);
        let last = self.last.get(owner).copied();
        let owners = self.last.len() + usize::from(last.is_none());
        let pace = pace.saturating_mul(owners as u32);
        let turn = last.map_or(earliest, |last| earliest.max(last + pace)).min(now + MAX_RETRY);
        if let Some(last) = self.last.insert(owner.clone(), turn) {
            self.order.remove(&(last, owner.clone()));
        }
        self.order.insert((turn, owner.clone()));
        turn
    }

    fn drop_past(&mut self, now: Instant) {
        while self.order.first().is_some_and(|(turn, _)| *turn < now) {
            let Some((_, owner)) = self.order.pop_first() else { return };
            self.last.remove(&owner);
        }
    }
}

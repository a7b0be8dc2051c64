//! Whether a request is better served in another region.
//!
//! Load pattern: each region has its peak at another hour, and a small one can't serve its own. Without help its callers
//! are refused beside idle engines elsewhere; with too ready help the narrow lines between regions carry prompts that
//! were better read at home, and all VMs of a region run to the same other one at once.
//!
//! A region tells its outlook (the expected time to the first event) with each answer that it gives to another, so no
//! message is needed for it; an outlook that is old counts less.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::health::Health;
use super::health::Outcome;
use crate::id;

/// A trip to another region and back.
const TRIP: Duration = Duration::from_millis(110);
/// What a request must gain besides: bytes between regions are dear, and the other region has callers of its own.
const PRICE: Duration = Duration::from_millis(150);
/// What is expected of a region that has told nothing for long.
const UNKNOWN: Duration = Duration::from_millis(80);
/// An outlook counts for so long; regions fill and empty within seconds.
const OUTLOOK_TIME: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct Other {
    outlook: Option<(Duration, Instant)>,
    health: Health,
}

/// What is known of other regions, by service.
#[derive(Debug, Default)]
pub struct Regions {
    others: HashMap<(id::Region, String), Other>,
}

impl Regions {
    /// A region told its outlook.
    pub fn told(&mut self, region: &id::Region, service: &str, outlook: Duration, now: Instant) {
        self.other(region, service).outlook = Some((outlook, now));
    }

    /// A request that was passed on ended so.
    pub fn ended(&mut self, region: &id::Region, service: &str, outcome: Outcome, now: Instant) {
        self.other(region, service).health.take(outcome, now);
    }

    /// The expected time to the first event of a request that is passed on to the region, and what it is worth beside
    /// one that stays; none while the region can't be reached.
    pub fn cost(&self, region: &id::Region, service: &str, now: Instant) -> Option<Duration> {
        let Some(other) = self.others.get(&(region.clone(), service.to_owned())) else {
            return Some(UNKNOWN + TRIP + PRICE);
        };
        if other.health.is_away(now) {
            return None;
        }
        let fresh =
            |(_, at): &(Duration, Instant)| now.saturating_duration_since(*at) < OUTLOOK_TIME;
        let outlook = other.outlook.filter(fresh).map_or(UNKNOWN, |(outlook, _)| outlook);
        Some(outlook + TRIP + PRICE + other.health.penalty(now))
    }

    fn other(&mut self, region: &id::Region, service: &str) -> &mut Other {
        self.others.entry((region.clone(), service.to_owned())).or_default()
    }
}

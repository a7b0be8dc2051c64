//! Spill: whether a request leaves for another region.
//!
//! Load patterns answered, and what happens without:
//! - *A region short of capacity.* Alerts wait in its queue until they are worthless, while other regions have free
//!   slots. Requests that prefer latency leave once another region would answer sooner, with the trip and its cold
//!   cache counted; those that prefer home leave only where they would miss their deadline otherwise.
//! - *Many VMs with one late digest.* All see the same free slots and send all at once; the other region is overrun,
//!   its next digest says so, all stop, and so on. Each VM has no more there than when the digest was made, and its
//!   part of the slots that were free then.
//! - *Return after an outage.* All prefixes of a region at once, each cold, would make its first minute late. They
//!   return one share after the other, by the prefix's hash, so that each is computed once and stays.
//! - *Circles.* A request is handed over once at most, by the VM that its caller asked. Refused there it stays.
//! - *Bound data* never leaves: whatever the load, such a request is run at home, or its caller is sent there.

mod digest;
mod facts;
mod known;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use self::known::Known;
use crate::catalogue::Home;
use crate::catalogue::Preference;
use crate::id;

pub use digest::Digest;
pub use digest::Room;
pub use facts::Decision;
pub use facts::Facts;
pub use facts::Journey;
pub use known::GONE;
pub use known::RETURN;

/// How much sooner than home another region must answer, as a share of the service time. Service times vary by more
/// than that, and a smaller gain isn't worth a cold cache there and the load on the link.
const MARGIN: f64 = 0.25;

/// The trip assumed before one was measured; long-distance trips within a continent take 20 to 80 ms one way.
const ASSUMED_TRIP: Duration = Duration::from_millis(50);

/// Chooses regions.
#[derive(Debug)]
pub struct Spill {
    here: id::Region,
    vms: u32,
    known: BTreeMap<id::Region, Known>,
    returning: HashMap<id::Model, known::Return>,
}

impl Spill {
    /// The choice of a VM in that region, where so many VMs are.
    pub fn new(here: id::Region, vms: u32) -> Self {
        Self { here, vms: vms.max(1), known: BTreeMap::new(), returning: HashMap::new() }
    }

    /// So many VMs are in this region now.
    pub fn vms(&mut self, vms: u32) {
        self.vms = vms.max(1);
    }

    /// A region's digest has come.
    pub fn digest(&mut self, digest: Digest, now: Instant) {
        if digest.region == self.here {
            return;
        }
        let known = self.known.entry(digest.region.clone()).or_insert_with(|| Known::new(now));
        known.digest(digest, now);
    }

    /// The time of one trip to a region, as its links measure it.
    pub fn trip(&mut self, region: &id::Region, trip: Duration, now: Instant) {
        self.known.entry(region.clone()).or_insert_with(|| Known::new(now)).trip = Some(trip);
    }

    /// Whether this region has any upstream for the model; its traffic returns gradually after it had none.
    pub fn here(&mut self, model: &id::Model, serves: bool, now: Instant) {
        match self.returning.get_mut(model) {
            Some(returning) => returning.seen(serves, now),
            // A model that was never served here has nothing to return to, and any name may be asked for.
            None if !serves => {}
            None => {
                let mut returning = known::Return::new();
                returning.seen(true, now);
                self.returning.insert(model.clone(), returning);
            }
        }
    }

    /// A region refused what was handed to it: it gets nothing more before its next digest.
    pub fn refused(&mut self, region: &id::Region) {
        if let Some(known) = self.known.get_mut(region) {
            known.exhaust();
        }
    }

    /// A request that was handed over has ended, whether it was answered or refused there.
    pub fn ended(&mut self, region: &id::Region, model: &id::Model, now: Instant) {
        if let Some(known) = self.known.get_mut(region) {
            known.ended(model, now);
        }
    }

    /// Where a request is to run. What is handed over is counted at once, until [`Self::ended`] is called.
    pub fn decide(&mut self, facts: &Facts<'_>, now: Instant, rng: &mut impl Rng) -> Decision {
        if let Home::Bound(home) = facts.home {
            let at_home = *home == self.here;
            return if at_home { Decision::Stay } else { Decision::Redirect(home.clone()) };
        }
        if facts.journey != Journey::Fresh {
            return Decision::Stay;
        }
        let home = facts.home.region().unwrap_or(&self.here).clone();
        let home_cost = self.home_cost(&home, facts, now);
        let away = self.away(&home, facts, now, rng);
        let leaves = away.as_ref().is_some_and(|(_, cost)| leaves(facts, home_cost, *cost));
        let region = match away {
            Some((region, _)) if leaves => region,
            _ => home.clone(),
        };
        match self.known.get_mut(&region) {
            Some(known) if region != self.here && known.is_fresh(now) => {
                known.handed_over(facts.model, now);
                Decision::HandOver(region)
            }
            _ => Decision::Stay,
        }
    }

    /// The time until an answer from home; none where home can't run it, or should not yet.
    fn home_cost(&self, home: &id::Region, facts: &Facts<'_>, now: Instant) -> Option<Duration> {
        if *home == self.here {
            let wait = facts.wait?;
            let returning = self.returning.get(facts.model);
            let back = returning.is_none_or(|returning| returning.includes(facts.prefix, now));
            return back.then_some(wait + facts.service);
        }
        let known = self.known.get(home)?;
        known.cost(facts, ASSUMED_TRIP, now).filter(|_| known.returning.includes(facts.prefix, now))
    }

    /// The soonest of the other regions that have room for one more, this one included where it isn't home.
    fn away(
        &mut self,
        home: &id::Region,
        facts: &Facts<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<(id::Region, Duration)> {
        let vms = self.vms;
        let others = self.known.iter_mut().filter_map(|(region, known)| {
            let cost = known.cost(facts, ASSUMED_TRIP, now)? + facts.cold;
            let open = region != home
                && known.returning.includes(facts.prefix, now)
                && known.has_part(facts.model, vms, now, rng);
            open.then(|| (region.clone(), cost))
        });
        let here = facts.wait.filter(|_| *home != self.here);
        let here = here.map(|wait| (self.here.clone(), wait + facts.cold + facts.service));
        others.chain(here).min_by(|a, b| (a.1, &a.0).cmp(&(b.1, &b.0)))
    }
}

/// Whether a request leaves home, where it would be answered after `home`, for a region that answers after `away`.
fn leaves(facts: &Facts<'_>, home: Option<Duration>, away: Duration) -> bool {
    let Some(home) = home else { return away <= facts.left };
    match facts.prefers {
        Preference::Latency => away + facts.service.mul_f64(MARGIN) < home,
        Preference::Home => home > facts.left && away <= facts.left,
    }
}

#[cfg(test)]
mod tests;

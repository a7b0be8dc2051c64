//! Between regions: one VM of each tells the others a small digest.

use std::sync::Arc;

use rand::seq::IteratorRandom;
use tokio::time::Instant;

use super::config::RELAY_PERIOD;
use super::fact::Fact;
use super::key::Key;
use super::member::Member;
use super::message::Message;
use super::output::Output;
use super::ring;
use crate::id;

/// Digests missed before the other region's speaker is no longer taken as there, and a seed is asked.
const MISSED: u32 = 3;

/// What this VM would say for its region.
#[derive(Debug)]
pub(super) struct Relay {
    pub(super) payload: Option<Vec<u8>>,
    next: Instant,
}

impl Relay {
    pub(super) fn new(now: Instant) -> Self {
        Self { payload: None, next: now + RELAY_PERIOD }
    }
}

impl Member {
    /// Whether this VM speaks for its region; while views differ, two may.
    pub fn speaks(&self) -> bool {
        ring::speaker(self.alive.iter()) == Some(&self.config.vm)
    }

    /// Whether a digest of another region has come lately.
    pub fn hears(&self, region: &id::Region, now: Instant) -> bool {
        let known = self.store.get(&Key::Region(region.clone()));
        known.is_some_and(|known| now < known.since + RELAY_PERIOD * MISSED)
    }

    pub(super) fn relay_digest(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if now < self.relay.next {
            return;
        }
        self.relay.next = now + RELAY_PERIOD;
        let Some(payload) = self.relay.payload.clone().filter(|_| self.speaks()) else { return };
        self.write_digest(payload, now);
        for region in self.other_regions() {
            let Some(to) = self.contact(&region, now) else { continue };
            let message = Message::Digest { fact: self.own_digest(), answer: true };
            outputs.push(Output::Send { to, message });
        }
    }

    fn own_digest(&self) -> Option<Arc<Fact>> {
        let known = self.store.get(&Key::Region(self.config.region.clone()))?;
        Some(Arc::clone(&known.fact))
    }

    fn other_regions(&self) -> Vec<id::Region> {
        let seeds = self.config.seeds.iter().map(|seed| seed.region.clone());
        let mut regions: Vec<_> = seeds.filter(|region| *region != self.config.region).collect();
        regions.sort();
        regions.dedup();
        regions
    }

    /// The VM that speaks for another region, or one of its seeds.
    fn contact(&mut self, region: &id::Region, now: Instant) -> Option<id::Vm> {
        let known = self.store.get(&Key::Region(region.clone()));
        let holder = known.and_then(|known| known.fact.holder.clone());
        if holder.is_some() && self.hears(region, now) {
            return holder;
        }
        let seeds = self.config.seeds.iter().filter(|seed| seed.region == *region);
        seeds.map(|seed| seed.vm.clone()).choose(&mut self.rng)
    }

    /// Takes in the digest of a region, and only that: no detail of a region comes this way.
    ///
    /// A region that was restarted as a whole counts its digests from one again, and the others would
    /// take them for old ones for ever. So they tell it the digest that they have, and it goes on from
    /// there.
    pub(super) fn receive_digest(
        &mut self,
        from: &id::Vm,
        fact: Option<Arc<Fact>>,
        answer: bool,
        now: Instant,
        outputs: &mut Vec<Output>,
    ) {
        let is_digest = |fact: &Arc<Fact>| matches!(&fact.key, Key::Region(_));
        let mut newer = None;
        if let Some(fact) = fact.filter(is_digest) {
            let known = self.store.get(&fact.key).filter(|known| known.stamp > fact.stamp());
            newer = known.map(|known| Arc::clone(&known.fact));
            self.accept(None, fact, now, outputs);
        }
        let replies = answer.then(|| self.own_digest()).into_iter().chain(newer.map(Some));
        for fact in replies {
            let message = Message::Digest { fact, answer: false };
            outputs.push(Output::Send { to: from.clone(), message });
        }
    }
}

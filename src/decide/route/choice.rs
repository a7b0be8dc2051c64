//! The choice itself: among the holders of a prefix, else among a few at random.

use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use super::Facts;
use super::OUTLIER;
use super::Route;
use super::group::Stats;
use super::rendezvous;
use super::tracked::Tracked;
use crate::id;

/// How far above the mean the load of a prefix's holder may be before the prefix is computed elsewhere. The bound
/// of 1.25 is that of consistent hashing with bounded loads, where it costs few moves; one request more is
/// always allowed, as upstreams have few slots.
const BOUND: f64 = 1.25;

/// How many upstreams are drawn at random, of which the best is taken. With two, a slow upstream makes more requests late.
const CHOICES: usize = 3;

/// The most random draws before all candidates are looked through.
const DRAWS: usize = 12;

impl Route {
    /// The better of two holders of the request's prefix, where its load is within bounds.
    pub(super) fn affine(
        &mut self,
        facts: &Facts<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<u32> {
        let &root = facts.prefix.first()?;
        let stats = self.groups.get(facts.model)?.stats;
        let usable = |route: &Self, u: u32| {
            route.healthy(u, facts, now).is_some_and(|t| {
                t.has_room(&stats, now)
                    && t.utilisation(&stats, now) <= limit(t, &stats)
                    && t.relative_slowness(&stats) < OUTLIER
            })
        };
        let known = self.index.holders(facts.prefix);
        let known: Vec<u32> = known.into_iter().filter(|&u| usable(self, u)).collect();
        if !known.is_empty() {
            return self.better(known.choose_multiple(rng, 2).copied(), &stats, now);
        }
        let homes = self.homes(facts.model, root);
        homes.into_iter().flatten().find(|&u| usable(self, u))
    }

    /// Notes where a request would have found its prefix but for a slot of this VM's, so that one is asked for there;
    /// returns whether there is such an upstream. Without that the slots of a prefix's upstream go to whichever VM
    /// happened to ask, and affinity is lost.
    pub(super) fn note_missed(&mut self, facts: &Facts<'_>, now: Instant) -> bool {
        let Some(&root) = facts.prefix.first() else { return false };
        let Some(stats) = self.groups.get(facts.model).map(|group| group.stats) else {
            return false;
        };
        let known = self.index.holders(facts.prefix);
        let homes = self.homes(facts.model, root);
        let wished = known.into_iter().chain(homes.into_iter().flatten()).find(|&u| {
            self.healthy(u, facts, now).is_some_and(|t| {
                t.utilisation(&stats, now) <= limit(t, &stats)
                    && t.relative_slowness(&stats) < OUTLIER
            })
        });
        let Some(number) = wished else { return false };
        if let Some(tracked) = self.tracked[number as usize].as_mut() {
            tracked.miss(now);
        }
        true
    }

    /// The two upstreams that all VMs find for a prefix that none is known to hold, the first choice first.
    fn homes(&mut self, model: &id::Model, root: u64) -> [Option<u32>; 2] {
        let Some(group) = self.groups.get_mut(model) else { return [None; 2] };
        if let Some(&homes) = group.homes.get(&root) {
            return homes;
        }
        let names = group.members.iter().filter_map(|&member| {
            let tracked = self.tracked[member as usize].as_ref()?;
            Some((member, tracked.announcement.id.as_str()))
        });
        let top = rendezvous::top(root, names, 2);
        let homes = [top.first().copied(), top.get(1).copied()];
        group.remember(root, homes);
        homes
    }

    /// The best of a few random upstreams with room. Ejected ones are used only where no other fits.
    pub(super) fn any(&self, facts: &Facts<'_>, now: Instant, rng: &mut impl Rng) -> Option<u32> {
        let group = self.groups.get(facts.model)?;
        let stats = &group.stats;
        let usable = |u: u32| self.healthy(u, facts, now).is_some_and(|t| t.has_room(stats, now));
        let mut drawn = [None; CHOICES];
        let mut found = 0;
        for _ in 0..DRAWS {
            let &number = group.followed.choose(rng)?;
            if drawn.contains(&Some(number)) || !usable(number) {
                continue;
            }
            drawn[found] = Some(number);
            found += 1;
            if found == CHOICES {
                break;
            }
        }
        if found > 0 {
            return self.better(drawn.into_iter().flatten(), stats, now);
        }
        let with_room: Vec<u32> = group.members.iter().copied().filter(|&u| usable(u)).collect();
        if !with_room.is_empty() {
            return self.better(with_room.choose_multiple(rng, 2).copied(), stats, now);
        }
        if group.members.iter().any(|&u| self.healthy(u, facts, now).is_some()) {
            return None;
        }
        let last = |&u: &u32| self.fitting(u, facts).is_some_and(|t| t.has_room(stats, now));
        let ejected: Vec<u32> = group.members.iter().copied().filter(last).collect();
        self.better(ejected.choose_multiple(rng, 2).copied(), stats, now)
    }

    fn better(
        &self,
        numbers: impl Iterator<Item = u32>,
        stats: &Stats,
        now: Instant,
    ) -> Option<u32> {
        let score = |number: u32| {
            self.tracked[number as usize].as_ref().map_or(f64::MAX, |t| t.score(stats, now))
        };
        let scored = numbers.map(|number| (score(number), number));
        scored.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, number)| number)
    }
}

/// The utilisation up to which an upstream is used for its prefixes.
fn limit(tracked: &Tracked, stats: &Stats) -> f64 {
    (BOUND * stats.utilisation).max(1.0 / tracked.slots())
}

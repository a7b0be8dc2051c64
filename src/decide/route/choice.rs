//! Picks among the holders of a prefix, or among random candidates.

use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use super::Criteria;
use super::OUTLIER_RATIO;
use super::Router;
use super::group::Stats;
use super::rendezvous;
use super::state::UpstreamState;
use crate::id;

/// Upper bound on the load of a prefix's holder, relative to the mean (consistent hashing with
/// bounded loads). One request is always allowed, as upstreams have few slots.
const LOAD_BOUND: f64 = 1.25;

/// Random candidates compared for each pick. With two, a slow upstream makes more requests late.
const SAMPLE_SIZE: usize = 3;

/// Random draws before all candidates are scanned.
const MAX_DRAWS: usize = 12;

impl Router {
    /// Picks the better of two holders of the request's prefix whose load is within bounds.
    pub(super) fn pick_by_prefix(
        &mut self,
        criteria: &Criteria<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<u32> {
        let &root = criteria.prefix.first()?;
        let stats = self.groups.get(criteria.model)?.stats;
        let usable = |router: &Self, u: u32| {
            router.healthy(u, criteria, now).is_some_and(|t| {
                t.has_room(&stats, now)
                    && t.utilisation(&stats, now) <= affinity_load_limit(t, &stats)
                    && t.slowdown(&stats) < OUTLIER_RATIO
            })
        };
        let known = self.prefix_index.holders(criteria.prefix);
        let known: Vec<u32> = known.into_iter().filter(|&u| usable(self, u)).collect();
        if !known.is_empty() {
            return self.best_of(known.choose_multiple(rng, 2).copied(), &stats, now);
        }
        let targets = self.affinity_targets(criteria.model, root);
        targets.into_iter().flatten().find(|&u| usable(self, u))
    }

    /// Records that a request's preferred upstream lacks only a free slot of this VM, so that
    /// demand is raised there. Returns whether there is such an upstream.
    ///
    /// Without this, slots go to whichever VM asks first, and prefix affinity is lost.
    pub(super) fn record_affinity_miss(&mut self, criteria: &Criteria<'_>, now: Instant) -> bool {
        let Some(&root) = criteria.prefix.first() else { return false };
        let Some(stats) = self.groups.get(criteria.model).map(|group| group.stats) else {
            return false;
        };
        let known = self.prefix_index.holders(criteria.prefix);
        let targets = self.affinity_targets(criteria.model, root);
        let preferred = known.into_iter().chain(targets.into_iter().flatten()).find(|&u| {
            self.healthy(u, criteria, now).is_some_and(|t| {
                t.utilisation(&stats, now) <= affinity_load_limit(t, &stats)
                    && t.slowdown(&stats) < OUTLIER_RATIO
            })
        });
        let Some(index) = preferred else { return false };
        if let Some(state) = self.upstreams[index as usize].as_mut() {
            state.record_affinity_miss(now);
        }
        true
    }

    /// The two upstreams that rendezvous hashing assigns to a prefix without known holders, the
    /// preferred one first.
    fn affinity_targets(&mut self, model: &id::Model, root: u64) -> [Option<u32>; 2] {
        let Some(group) = self.groups.get_mut(model) else { return [None; 2] };
        if let Some(&targets) = group.affinity_targets.get(&root) {
            return targets;
        }
        let names = group.members.iter().filter_map(|&member| {
            let state = self.upstreams[member as usize].as_ref()?;
            Some((member, state.announcement.id.as_str()))
        });
        let top = rendezvous::top(root, names, 2);
        let targets = [top.first().copied(), top.get(1).copied()];
        group.cache_targets(root, targets);
        targets
    }

    /// Picks the best of a few random upstreams with room. Ejected ones are used only if no other
    /// matches.
    pub(super) fn pick_random(
        &self,
        criteria: &Criteria<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<u32> {
        let group = self.groups.get(criteria.model)?;
        let stats = &group.stats;
        let usable =
            |u: u32| self.healthy(u, criteria, now).is_some_and(|t| t.has_room(stats, now));
        let mut drawn = [None; SAMPLE_SIZE];
        let mut found = 0;
        for _ in 0..MAX_DRAWS {
            let &index = group.subset.choose(rng)?;
            if drawn.contains(&Some(index)) || !usable(index) {
                continue;
            }
            drawn[found] = Some(index);
            found += 1;
            if found == SAMPLE_SIZE {
                break;
            }
        }
        if found > 0 {
            return self.best_of(drawn.into_iter().flatten(), stats, now);
        }
        let with_room: Vec<u32> = group.members.iter().copied().filter(|&u| usable(u)).collect();
        if !with_room.is_empty() {
            return self.best_of(with_room.choose_multiple(rng, 2).copied(), stats, now);
        }
        if group.members.iter().any(|&u| self.healthy(u, criteria, now).is_some()) {
            return None;
        }
        let ejected_with_room =
            |&u: &u32| self.eligible(u, criteria).is_some_and(|t| t.has_room(stats, now));
        let ejected: Vec<u32> = group.members.iter().copied().filter(ejected_with_room).collect();
        self.best_of(ejected.choose_multiple(rng, 2).copied(), stats, now)
    }

    fn best_of(
        &self,
        indices: impl Iterator<Item = u32>,
        stats: &Stats,
        now: Instant,
    ) -> Option<u32> {
        let score = |index: u32| {
            self.upstreams[index as usize].as_ref().map_or(f64::MAX, |t| t.score(stats, now))
        };
        let scored = indices.map(|index| (score(index), index));
        scored.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, index)| index)
    }
}

/// The utilisation up to which an upstream is used for prefix affinity.
fn affinity_load_limit(state: &UpstreamState, stats: &Stats) -> f64 {
    (LOAD_BOUND * stats.utilisation).max(1.0 / state.slots())
}

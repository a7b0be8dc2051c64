//! Selects the upstream that runs a request.
//!
//! Load patterns handled, and what happens without this module:
//! - *Stale load reports.* Reports are seconds old. If every VM picks the least loaded upstream by
//!   the same report, all of them overload it at once. Each VM counts its own requests exactly,
//!   discounts a report by its age, and picks the best of a few random candidates.
//! - *A slow or failing upstream.* Round robin keeps sending it a full share. Latency lowers its
//!   score, and an outlier is ejected for a while; at most half of the upstreams of a model are
//!   ejected at a time.
//! - *A hot prefix.* Random choice recomputes the prefix on every upstream, and strict affinity
//!   overloads one. Known holders of the prefix, or else two upstreams chosen by rendezvous hash,
//!   are preferred while their load is within a bound of the mean.
//! - *A new upstream.* It is the least loaded one and has a cold cache, so it would attract all
//!   traffic. Slow start raises its share over 30 s.
//! - *A large region.* Each VM picks from a subset, so that it needs the load of few upstreams.
//!
//! Alternatives are compared in `docs/design/route.md`.

mod choice;
mod criteria;
mod ejection;
mod ewma;
mod group;
mod prefix;
pub mod rendezvous;
mod state;

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use self::group::Group;
use self::state::UpstreamState;
use crate::catalogue::Class;
use crate::id;
use crate::unit::Slots;
use crate::upstream::Announcement;
use crate::upstream::Load;

pub use criteria::Criteria;
pub use criteria::Outcome;
pub use ewma::Ewma;
pub use prefix::CacheChange;
pub use prefix::CacheEvent;

/// Ejects an upstream whose latency is this many times the median of its model.
const OUTLIER_RATIO: f64 = 3.0;

/// Answers required before an upstream can be ejected for latency.
const MIN_SAMPLES: u32 = 5;

/// Upstreams of a model that a VM picks from. With 117 VMs in a region and 283 upstreams, each
/// upstream is followed by 13 VMs give or take 4, and the shared slots even out the rest.
pub const SUBSET_SIZE: usize = 32;

/// Upstreams at which a slot is requested for each waiting request.
const SLOTS_PER_WAITING: usize = 2;

/// The slots of an upstream that this VM uses and wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Slots in use by this VM's requests.
    pub running: Slots,
    /// Slots that this VM could use.
    pub wanted: Slots,
}

/// Selects upstreams and learns from the outcomes of attempts.
#[derive(Debug, Default)]
pub struct Router {
    seed: u64,
    indices: HashMap<id::Upstream, u32>,
    upstreams: Vec<Option<UpstreamState>>,
    groups: HashMap<id::Model, Group>,
    prefix_index: prefix::Index,
}

impl Router {
    /// Creates a router without upstreams. The VM's name seeds its subset of a large region.
    pub fn new(vm: &id::Vm) -> Self {
        Self { seed: rendezvous::weight(0, vm.as_str()), ..Self::default() }
    }

    /// Adds an upstream or updates its announcement.
    pub fn update_announcement(&mut self, announcement: &Announcement, now: Instant) {
        let index = self.index_of(&announcement.id);
        let entry = &mut self.upstreams[index as usize];
        let old = entry.as_ref().filter(|t| !t.removed).map(|t| t.announcement.models.clone());
        match entry {
            Some(state) => state.update_announcement(announcement.clone(), now),
            None => *entry = Some(UpstreamState::new(announcement.clone(), now)),
        }
        if old.as_ref() != Some(&announcement.models) {
            self.update_groups(old.iter().flatten(), index);
            self.update_groups(announcement.models.iter(), index);
        }
    }

    /// Removes an upstream. It gets no new requests; those still running there stay counted.
    pub fn remove(&mut self, upstream: &id::Upstream) {
        let Some(&index) = self.indices.get(upstream) else { return };
        let Some(state) = &mut self.upstreams[index as usize] else { return };
        state.removed = true;
        let models = state.announcement.models.clone();
        self.update_groups(models.iter(), index);
        self.prefix_index.remove_upstream(index);
        self.remove_if_idle(index);
    }

    /// Limits the requests that this VM may run on the upstream at once. Until then the limit is
    /// all of the upstream's slots.
    pub fn set_leased_slots(&mut self, upstream: &id::Upstream, slots: Slots) {
        if let Some(state) = self.get_mut(upstream) {
            state.leased_slots = Some(slots);
        }
    }

    /// Starts or stops draining an upstream for an order (`order::Step::Drain` and `Resume`).
    pub fn set_draining(&mut self, upstream: &id::Upstream, draining: bool) {
        if let Some(state) = self.get_mut(upstream) {
            state.draining = draining;
        }
    }

    /// Picks an upstream for a request. Returns `None` if all matching upstreams are full; the
    /// request then waits in this VM's queue rather than in an engine's.
    pub fn pick(
        &mut self,
        criteria: &Criteria<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<id::Upstream> {
        let group = self.groups.get_mut(criteria.model)?;
        group.refresh_stats(&self.upstreams, now);
        let index = match self.pick_by_prefix(criteria, now, rng) {
            Some(index) => index,
            None => {
                let has_preferred = self.record_affinity_miss(criteria, now);
                if has_preferred && !criteria.affinity_wait.is_zero() {
                    return None;
                }
                self.pick_random(criteria, now, rng)?
            }
        };
        self.upstreams[index as usize].as_ref().map(|state| state.announcement.id.clone())
    }

    /// Whether any upstream, full or not, could run the request. If not, queueing is pointless.
    pub fn is_servable(&self, criteria: &Criteria<'_>) -> bool {
        let Some(group) = self.groups.get(criteria.model) else { return false };
        group.members.iter().any(|&u| self.eligible(u, criteria).is_some())
    }

    /// Slots that this VM uses and wants on each upstream of its subsets, given the number of
    /// waiting requests by model. Input of `upstream::Pool::demand`.
    pub fn demand(&self, waiting: &HashMap<id::Model, usize>, now: Instant) -> Vec<Demand> {
        let mut wanted: HashMap<u32, u64> = HashMap::new();
        for (model, group) in &self.groups {
            group.subset.iter().for_each(|&u| *wanted.entry(u).or_default() += 0);
            let count = waiting.get(model).copied().unwrap_or(0);
            if count > 0 {
                self.distribute_demand(group, count, now, &mut wanted);
            }
        }
        let demand = |(index, state): (usize, &Option<UpstreamState>)| {
            let state = state.as_ref()?;
            let running = u64::from(state.local.running());
            let more = u32::try_from(index).ok().and_then(|index| wanted.get(&index));
            let relevant = more.is_some() || running > 0 || state.affinity_misses(now) > 0.5;
            let misses = state.affinity_misses(now).round() as u64;
            let wanted = running + more.copied().unwrap_or(0) + misses;
            relevant.then(|| Demand {
                upstream: state.announcement.id.clone(),
                running: Slots::new(running),
                wanted: Slots::new(wanted.min(state.announcement.slots.get())),
            })
        };
        self.upstreams.iter().enumerate().filter_map(demand).collect()
    }

    /// Distributes the slot demand of waiting requests over the least loaded upstreams of a group.
    /// A request counts at most once per upstream.
    fn distribute_demand(
        &self,
        group: &Group,
        waiting: usize,
        now: Instant,
        wanted: &mut HashMap<u32, u64>,
    ) {
        let usable = |&u: &u32| {
            let state = self.upstreams[u as usize].as_ref()?;
            let unusable = state.draining || state.ejection.is_ejected(now);
            (!unusable).then(|| (state.score(&group.stats, now), u))
        };
        let mut scored: Vec<(f64, u32)> = group.subset.iter().filter_map(usable).collect();
        scored.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
        let (members, count) = (scored.len(), waiting * SLOTS_PER_WAITING);
        for (rank, (_, index)) in scored.into_iter().enumerate().take(count) {
            let rounds = count / members + usize::from(rank < count % members);
            *wanted.entry(index).or_default() += rounds.min(waiting) as u64;
        }
    }

    /// Records that an attempt was sent to the upstream.
    pub fn start_attempt(&mut self, upstream: &id::Upstream, now: Instant) {
        if let Some(state) = self.get_mut(upstream) {
            state.local.sent(now);
        }
    }

    /// Records the outcome of an attempt. Must follow each [`Self::start_attempt`] exactly once.
    pub fn finish_attempt(
        &mut self,
        upstream: &id::Upstream,
        criteria: &Criteria<'_>,
        outcome: Outcome,
        latency: Duration,
        now: Instant,
    ) {
        let Some(&index) = self.indices.get(upstream) else { return };
        let Some(state) = &mut self.upstreams[index as usize] else { return };
        state.local.finished(now);
        match outcome {
            Outcome::Answered => {
                self.record_success(index, criteria.model, criteria.class, latency, now);
            }
            Outcome::Failed if state.ejection.record_failure() => {
                self.eject(index, criteria.model, now);
            }
            Outcome::Full => state.record_full(now),
            Outcome::Failed | Outcome::Cancelled => {}
        }
        self.remove_if_idle(index);
    }

    /// Applies a load report.
    pub fn update_load(&mut self, load: &Load, now: Instant) {
        if let Some(state) = self.get_mut(&load.upstream) {
            state.update_load(load, now);
        }
    }

    /// Applies an event of an engine's prefix cache.
    pub fn update_cache(&mut self, upstream: &id::Upstream, event: &CacheEvent) {
        if let Some(&index) = self.indices.get(upstream) {
            self.prefix_index.apply(index, event);
        }
    }

    /// Whether the upstream is ejected at `now`.
    pub fn is_ejected(&self, upstream: &id::Upstream, now: Instant) -> bool {
        let index = self.indices.get(upstream);
        let state = index.and_then(|&index| self.upstreams[index as usize].as_ref());
        state.is_some_and(|state| state.ejection.is_ejected(now))
    }

    fn get_mut(&mut self, upstream: &id::Upstream) -> Option<&mut UpstreamState> {
        let &index = self.indices.get(upstream)?;
        self.upstreams[index as usize].as_mut()
    }

    fn index_of(&mut self, upstream: &id::Upstream) -> u32 {
        if let Some(&index) = self.indices.get(upstream) {
            return index;
        }
        let vacant = self.upstreams.iter().position(Option::is_none);
        let position = vacant.unwrap_or_else(|| {
            self.upstreams.push(None);
            self.upstreams.len() - 1
        });
        let index = u32::try_from(position).unwrap_or(u32::MAX);
        self.indices.insert(upstream.clone(), index);
        index
    }

    fn remove_if_idle(&mut self, index: u32) {
        let entry = &mut self.upstreams[index as usize];
        if let Some(removed) = entry.take_if(|t| t.removed && t.local.running() == 0) {
            self.indices.remove(&removed.announcement.id);
        }
    }

    /// Updates the upstream's membership in the groups of these models.
    fn update_groups<'a>(&mut self, models: impl Iterator<Item = &'a id::Model>, index: u32) {
        for model in models {
            let has_model = |t: &UpstreamState| !t.removed && t.announcement.models.contains(model);
            let is_member = self.upstreams[index as usize].as_ref().is_some_and(has_model);
            let group = self.groups.entry(model.clone()).or_default();
            group.members.retain(|&member| member != index);
            if is_member {
                group.members.push(index);
            }
            group.affinity_targets.clear();
            let names = group.members.iter().filter_map(|&member| {
                let state = self.upstreams[member as usize].as_ref()?;
                Some((member, state.announcement.id.as_str()))
            });
            group.subset = if group.members.len() > SUBSET_SIZE {
                rendezvous::top(self.seed, names, SUBSET_SIZE)
            } else {
                group.members.clone()
            };
            if group.members.is_empty() {
                self.groups.remove(model);
            }
        }
    }

    fn eligible(&self, index: u32, criteria: &Criteria<'_>) -> Option<&UpstreamState> {
        let state = self.upstreams[index as usize].as_ref()?;
        (!state.removed && !state.draining && criteria.matches(&state.announcement))
            .then_some(state)
    }

    /// Returns the upstream if it is eligible and not ejected, whether or not it has room.
    fn healthy(&self, index: u32, criteria: &Criteria<'_>, now: Instant) -> Option<&UpstreamState> {
        self.eligible(index, criteria).filter(|state| !state.ejection.is_ejected(now))
    }

    fn record_success(
        &mut self,
        index: u32,
        model: &id::Model,
        class: Class,
        latency: Duration,
        now: Instant,
    ) {
        let Some(group) = self.groups.get_mut(model) else { return };
        let Some(state) = &mut self.upstreams[index as usize] else { return };
        state.latency_ratio.add(group.record_latency(class, latency));
        // After an ejection one slow answer is enough; waiting for more would delay more callers.
        let min_samples = if state.ejection.is_on_probation() { 1 } else { MIN_SAMPLES };
        let is_outlier = state.latency_ratio.samples() >= min_samples
            && state.slowdown(&group.stats) >= OUTLIER_RATIO;
        if is_outlier {
            self.eject(index, model, now);
        } else if !state.ejection.is_ejected(now) {
            state.ejection.record_success();
        }
    }

    /// Ejects an upstream, unless that would eject more than half of the group. A fault in most
    /// upstreams has another cause, and the rest could not carry the load.
    fn eject(&mut self, index: u32, model: &id::Model, now: Instant) {
        let Some(group) = self.groups.get(model) else { return };
        let ejected = |&&u: &&u32| {
            self.upstreams[u as usize].as_ref().is_some_and(|t| t.ejection.is_ejected(now))
        };
        let out = group.members.iter().filter(ejected).count();
        let Some(state) = &mut self.upstreams[index as usize] else { return };
        if state.ejection.is_ejected(now) || (out + 1) * 2 > group.members.len() {
            return;
        }
        state.ejection.eject(now);
        state.latency_ratio = ewma::Ewma::default();
    }
}

#[cfg(test)]
mod tests;

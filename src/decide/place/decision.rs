//! Evaluation of the candidates for one request.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::Placement;
use super::Query;
use super::sample;
use super::sample::Candidate;
use super::seconds;
use super::service::Profile;
use super::service::ServiceStats;
use super::upstream::CacheState;
use super::upstream::Reading;
use super::upstream::UpstreamState;
use crate::decide::held;
use crate::decide::held::Held;
use crate::decide::turns::Sender;
use crate::id;
use crate::unit::Tokens;

/// The range of the random addend that breaks ties; otherwise all VMs choose the same upstream between two load
/// reports.
const JITTER: Duration = Duration::from_millis(4);

/// The same, as a fraction of the cost, about as large as the error from outdated load data.
const JITTER_FRACTION: f64 = 0.03;

/// The cost of reading a prefix that no engine holds elsewhere than at the engine that the VMs find by rendezvous hashing.
/// It decides between engines with about the same queue.
const SCATTER: Duration = Duration::from_millis(300);

/// The request, the statistics of its service and the identity of the sender.
pub struct Decision<'a> {
    query: &'a Query<'a>,
    stats: &'a ServiceStats,
    profile: Profile,
    sender: &'a Sender,
    now: Instant,
    /// The expected number of unreported requests from other VMs per upstream.
    unreported: f64,
    /// The engines for the query's prefix by rendezvous hashing, in order of preference.
    prefix_candidates: Vec<id::Upstream>,
    /// Whether load data is shared among VMs and an engine has the prefix cached.
    is_cached: bool,
    /// What the engines hold in their caches.
    held: Option<&'a held::View>,
}

impl<'a> Decision<'a> {
    /// Creates a decision without prefix candidates.
    pub fn new(
        query: &'a Query<'a>,
        (stats, profile): (&'a ServiceStats, Profile),
        sender: &'a Sender,
        now: Instant,
    ) -> Self {
        let (unreported, prefix_candidates, is_cached) = (0.0, Vec::new(), false);
        let held = None;
        Self { query, stats, profile, sender, now, unreported, prefix_candidates, is_cached, held }
    }

    /// Returns the upstreams that accept the request: the healthy ones or, if there are none, the unhealthy ones.
    ///
    /// An unhealthy one does not replace a cold one at which this VM has no turn now: the caller would wait for a
    /// connection that is not established instead of being sent elsewhere.
    pub fn candidates<'t>(
        &mut self,
        upstreams: &'t BTreeMap<id::Upstream, UpstreamState>,
    ) -> Vec<Candidate<'t>> {
        let replicas = || {
            upstreams.iter().filter(|(_, upstream)| upstream.endpoint.service == self.query.service)
        };
        self.unreported = sample::unreported(replicas().count(), self.stats, self.sender, self.now);
        let mut candidates: Vec<Candidate<'t>> = Vec::new();
        for is_fallback in [false, true] {
            candidates.extend(replicas().filter(|(id, upstream)| {
                let speed = &self.profile.speed;
                !self.query.tried.contains(id)
                    && self.query.only.is_none_or(|only| only == *id)
                    && upstream.is_eligible(speed, is_fallback, self.sender, self.now)
            }));
            if !candidates.is_empty() {
                break;
            }
        }
        candidates.retain(|(_, upstream)| upstream.has_turn(self.sender, self.now));
        candidates
    }

    /// Adds what the engines hold in their caches.
    #[must_use]
    pub fn with_held(self, held: &'a held::View) -> Self {
        let held = self.query.work.prefix.is_some().then_some(held);
        Self { held, ..self }
    }

    /// Adds the engines for the prefix.
    #[must_use]
    pub fn with_prefix_candidates(
        self,
        prefix_candidates: Vec<id::Upstream>,
        candidates: &[Candidate<'_>],
    ) -> Self {
        let is_cached = candidates
            .iter()
            .any(|(_, upstream)| upstream.has_peer_load(self.now) && self.is_holder(upstream));
        Self { prefix_candidates, is_cached, ..self }
    }

    /// Moves the candidates to compare to the front, and returns their number.
    pub fn sample(&self, candidates: &mut [Candidate<'_>], rng: &mut impl Rng) -> usize {
        let count = sample::size(candidates, self.unreported, self.now);
        sample::draw(candidates, count, rng, |(id, upstream)| {
            self.is_holder(upstream) || self.prefix_candidates.contains(id)
        })
    }

    /// Evaluates an upstream. `random`, between zero and one, breaks ties.
    pub fn evaluate(&self, id: &id::Upstream, upstream: &UpstreamState, random: f64) -> Placement {
        let held = self.held(upstream);
        let reading = self.reading(id, upstream, held);
        let uncached = reading.uncached;
        let conditions = upstream.conditions(
            self.stats,
            &self.profile,
            self.query,
            reading,
            self.sender,
            self.now,
        );
        let estimate = conditions.estimate(&self.profile, self.query.max_wait);
        let cost = seconds(estimate.cost * (1.0 + JITTER_FRACTION * random))
            + upstream.penalty(self.now)
            + upstream.stall(self.stats.service_time(), self.now)
            + self.scatter(id, held)
            + JITTER.mul_f64(random);
        let prefill = uncached + self.query.work.suffix;
        Placement {
            id: id.clone(),
            address: upstream.endpoint.address,
            first_event: seconds(estimate.first_event),
            last_event: seconds(estimate.last_event),
            cost,
            prefill,
            running: conditions.running.round() as u32,
            load_age: upstream.load_age(self.now),
            queued_prefill: upstream.backlog(self.stats, self.sender, self.now) + prefill,
            is_indexed: held.is_some(),
        }
    }

    /// Returns what an engine holds of the prompt, if its cache is known.
    fn held(&self, upstream: &UpstreamState) -> Option<Held> {
        self.held?.longest(upstream.key(), &self.query.work.chain, self.now)
    }

    fn reading(&self, id: &id::Upstream, upstream: &UpstreamState, held: Option<Held>) -> Reading {
        let Some(held) = held else {
            let uncached = upstream.uncached_prefix(&self.query.work, self.cache_state(id));
            return Reading { uncached, cached: None };
        };
        let prefix = self.query.work.prefix.map_or(Tokens::ZERO, |prefix| prefix.tokens);
        Reading { uncached: prefix.saturating_sub(held.tokens), cached: Some(held.total) }
    }

    /// Returns an addend for engines that would read a prefix which no engine holds, except for the one that the VMs find
    /// by rendezvous hashing: requests with that prefix which follow within a second find it there.
    fn scatter(&self, id: &id::Upstream, held: Option<Held>) -> Duration {
        let is_new = held.is_some_and(|held| held.tokens == Tokens::ZERO) && !self.is_cached;
        let is_assigned = self.prefix_candidates.first() == Some(id);
        if is_new && !is_assigned { SCATTER } else { Duration::ZERO }
    }

    fn is_holder(&self, upstream: &UpstreamState) -> bool {
        if let Some(held) = self.held(upstream) {
            return held.tokens > Tokens::ZERO;
        }
        self.query.work.prefix.is_some_and(|prefix| upstream.has_cached(&prefix))
    }

    fn cache_state(&self, id: &id::Upstream) -> CacheState {
        match self.prefix_candidates.iter().position(|candidate| candidate == id) {
            // If the VMs know of an engine with the prefix cached, no other is assumed to have it.
            Some(0) if self.query.holds_prefix && !self.is_cached => CacheState::Cached,
            Some(_) => CacheState::MaybeCached,
            None => CacheState::Unknown,
        }
    }
}

#[cfg(test)]
mod tests;

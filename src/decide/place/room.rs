//! Room at upstreams that can refuse few requests; see [`room`](crate::decide::room).

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::Balancer;
use super::InFlight;
use super::Query;
use super::Report;
use super::UpstreamState;
use super::service::ServiceStats;
use super::state_of;
use crate::decide::room::Claim;
use crate::decide::room::Grant;
use crate::decide::sharing::Key;
use crate::decide::sharing::SHARDS;
use crate::decide::turns::Sender;
use crate::id;

/// The fraction of its room from which an upstream counts as full by what is known.
const FULL: f64 = 0.75;

/// How long claims remain unanswered until a VM goes on without a host.
const HOST_TIMEOUT: Duration = Duration::from_millis(400);

/// Upper bound on the wait for room that callers are told.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// The exchange of claims with the host of one shard.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    /// When the first of them was made that has not been answered.
    unanswered_since: Option<Instant>,
    /// Whether the host is to hear of the claims before the next regular update.
    pub(super) is_urgent: bool,
}

/// The exchanges with the hosts of all shards.
pub(super) type Exchanges = [Exchange; SHARDS as usize];

impl Exchange {
    /// Returns whether the host does not answer.
    pub(super) fn is_lost(&self, now: Instant) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.saturating_duration_since(since) >= HOST_TIMEOUT)
    }

    /// Records an answer of the host.
    pub(super) const fn record_answer(&mut self) {
        self.unanswered_since = None;
    }
}

/// What decides whether there is room at the upstreams of a service.
pub(super) struct Demand<'a> {
    sender: &'a Sender,
    exchanges: &'a Exchanges,
    stats: &'a ServiceStats,
    now: Instant,
}

impl<'a> Demand<'a> {
    pub(super) const fn new(
        stats: &'a ServiceStats,
        sender: &'a Sender,
        exchanges: &'a Exchanges,
        now: Instant,
    ) -> Self {
        Self { sender, exchanges, stats, now }
    }

    /// Returns whether a request may be sent without the risk that the upstream has to refuse it.
    pub(super) fn has_room(&self, upstream: &UpstreamState) -> bool {
        let (running, now) = (upstream.running(), self.now);
        let Some(limit) = upstream.refusal_limit(self.stats, now) else {
            // A VM that has just started does not know whether there is a limit.
            return self.stats.has_answered
                || self.is_alone()
                || upstream.is_cold(now)
                || running < self.own_part(upstream);
        };
        if self.is_alone() {
            return running < upstream.capacity(now);
        }
        let exchange = &self.exchanges[usize::from(upstream.key().shard())];
        let stated = &upstream.restrictions.refusal_limit;
        upstream.allowance.permits(running, now)
            || (exchange.is_lost(now)
                && (running < self.own_part(upstream)
                    || stated.allows(limit, upstream.key(), self.sender, now)))
    }

    /// Returns how many more requests a plain upstream takes below its bound, as far as this VM knows.
    fn free_places(&self, upstream: &UpstreamState) -> Option<u32> {
        let bound = upstream.bound(self.stats, self.now)?;
        let held = upstream.total_requests(self.stats, self.sender, self.now).ceil();
        Some(bound.saturating_sub(held as u32))
    }

    /// Returns the capacity for the VMs that this VM knows.
    pub(super) fn capacity(&self, upstream: &UpstreamState) -> u32 {
        self.sender.known_part(upstream.key(), upstream.capacity(self.now))
    }

    /// Returns whether there is no other VM.
    fn is_alone(&self) -> bool {
        self.sender.count() == 1 && self.sender.settles_in(self.now).is_zero()
    }

    /// Returns this VM's equal part of the capacity, one at most while it may not know all others, and one at least until it
    /// has had an answer: most upstreams have no limit, and some may not answer.
    fn own_part(&self, upstream: &UpstreamState) -> u32 {
        let part = self.sender.own_part(upstream.key(), upstream.capacity(self.now));
        let part = if self.sender.settles_in(self.now).is_zero() { part } else { part.min(1) };
        if self.stats.has_answered { part } else { part.max(1) }
    }
}

/// Returns the requests of all VMs at an upstream, as far as this VM knows.
fn known_requests(upstream: &UpstreamState, now: Instant) -> f64 {
    f64::from(upstream.running() + upstream.peer_load(now).unwrap_or_default().running)
}

impl Balancer {
    /// Sets the number of requests that wait for room at the upstreams of a service.
    pub fn set_waiting(&mut self, service: &str, waiting: usize, now: Instant) {
        let before = match waiting {
            0 => self.waiting.remove(service),
            _ => self.waiting.insert(service.to_owned(), waiting),
        };
        let before = before.unwrap_or_default();
        let ids = match waiting {
            0 if before > 0 => self.unused(service, now),
            _ if before < waiting => self.wanted(now),
            _ => return,
        };
        for upstream in ids.iter().filter_map(|id| self.upstreams.get(id)) {
            self.exchanges[usize::from(upstream.key().shard())].is_urgent = true;
        }
    }

    /// Returns the upstreams of a service at which this VM has room that it does not use.
    fn unused(&self, service: &str, now: Instant) -> Vec<id::Upstream> {
        let upstreams = self.available(service);
        let unused =
            upstreams.filter(|(_, upstream)| upstream.allowance.permits(upstream.running(), now));
        unused.map(|(id, _)| id.clone()).collect()
    }

    /// Applies what a host grants. What no request waits for any more is given up at once.
    pub fn apply_grants(&mut self, grants: &[(Key, Grant)], now: Instant) {
        let grants: HashMap<Key, Grant> = grants.iter().copied().collect();
        for upstream in self.upstreams.values_mut() {
            let key = upstream.key();
            if let Some(grant) = grants.get(&key) {
                upstream.allowance.apply(*grant, now);
                let is_unused = upstream.allowance.permits(upstream.running(), now)
                    && !self.waiting.contains_key(&upstream.endpoint.service);
                self.exchanges[usize::from(key.shard())].is_urgent |= is_unused;
            }
        }
    }

    /// Returns whether upstreams would accept the request if they had room.
    pub fn lacks_room(&self, query: &Query<'_>, now: Instant) -> bool {
        let sender = self.sender(query.service);
        let demand = self.demand(query.service, now);
        let speed = &self.profile(query.service).speed;
        self.available(query.service).any(|(id, upstream)| {
            !query.tried.contains(id)
                && query.only.is_none_or(|only| only == id)
                && upstream.is_eligible(speed, false, sender, now)
                && upstream.has_turn(sender, now)
                && !demand.has_room(upstream)
        })
    }

    /// Returns the expected wait of one more request for room at the upstreams of a service.
    pub fn room_wait(&self, service: &str, now: Instant) -> Duration {
        // Only a VM with a request that waits learns from the hosts whether there is room.
        let Some(waiting) = self.waiting.get(service) else { return Duration::ZERO };
        let stats = self.services.get(service).unwrap_or(&self.no_stats);
        let expected = stats.room_wait(*waiting).unwrap_or_else(|| {
            let upstreams = self.available(service);
            let places: u32 = upstreams.map(|(_, upstream)| upstream.capacity(now)).sum();
            let all = (waiting + 1) as f64 * f64::from(self.sender(service).count());
            stats.service_time().mul_f64(all / f64::from(places.max(1)))
        });
        expected.min(MAX_WAIT)
    }

    /// Records how long a request waited for room behind so many others.
    pub fn record_room_wait(&mut self, service: &str, waited: Duration, others: usize) {
        if let Some(stats) = self.services.get_mut(service) {
            stats.record_room_wait(waited, others);
        }
    }

    /// Returns this VM's claims to room at the upstreams of a shard, and gives up what it does not use.
    pub fn claim(&mut self, shard: u8, now: Instant) -> Vec<(Key, Claim)> {
        let wanted = self.wanted(now);
        let limited = self.services.iter().filter(|(_, stats)| stats.refusal_limit(now).is_some());
        let claims = limited.flat_map(|(service, _)| self.claims_of(service, shard, &wanted, now));
        let claims: Vec<(Key, Claim)> = claims.collect();
        let upstreams = self.upstreams.values_mut();
        for upstream in upstreams.filter(|upstream| upstream.key().shard() == shard) {
            upstream.allowance.give_up(upstream.running());
        }
        let exchange = &mut self.exchanges[usize::from(shard)];
        exchange.is_urgent = false;
        if !claims.is_empty() {
            exchange.unanswered_since.get_or_insert(now);
        }
        claims
    }

    /// Returns the claims at the upstreams of one service.
    fn claims_of(
        &self,
        service: &str,
        shard: u8,
        wanted: &[id::Upstream],
        now: Instant,
    ) -> Vec<(Key, Claim)> {
        let demand = self.demand(service, now);
        let upstreams = self.upstreams.iter().filter(|(_, upstream)| {
            upstream.endpoint.service == service
                && upstream.key().shard() == shard
                && upstream.refusal_limit(demand.stats, now).is_some()
        });
        let claims = upstreams.map(|(id, upstream)| {
            let wanted = wanted.iter().filter(|wanted| *wanted == id).count() as u32;
            let (capacity, running) = (demand.capacity(upstream), upstream.running());
            (upstream.key(), Claim { capacity, running, wanted })
        });
        claims.filter(|(_, claim)| claim.running + claim.wanted > 0).collect()
    }

    /// Returns the shards whose hosts are to hear of this VM's claims before its next regular update.
    pub fn urgent_claims(&self) -> Vec<u8> {
        (0..SHARDS).filter(|shard| self.exchanges[usize::from(*shard)].is_urgent).collect()
    }

    /// Returns the upstreams at which waiting requests want room, one for each request.
    ///
    /// All are about equally full by what is known, so that each VM prefers others of them.
    fn wanted(&self, now: Instant) -> Vec<id::Upstream> {
        let mut wanted = Vec::new();
        for (service, waiting) in &self.waiting {
            let sender = self.sender(service);
            let demand = self.demand(service, now);
            let speed = &self.profile(service).speed;
            let mut full: Vec<(bool, u64, &id::Upstream)> = self
                .available(service)
                .filter(|(_, upstream)| {
                    upstream.is_eligible(speed, false, sender, now) && !demand.has_room(upstream)
                })
                .map(|(id, upstream)| (demand.capacity(upstream), id, upstream))
                .filter(|(capacity, _, _)| *capacity > 0)
                .map(|(capacity, id, upstream)| {
                    let used = known_requests(upstream, now) / f64::from(capacity);
                    (used >= FULL, sender.preference(upstream.key()), id)
                })
                .collect();
            full.sort();
            wanted.extend(full.iter().map(|(_, _, id)| (*id).clone()).cycle().take(*waiting));
        }
        wanted
    }

    /// Records that an upstream rejected a request as full, with the load that it stated in the same response.
    pub fn record_rejection(&mut self, in_flight: &InFlight, report: Report, now: Instant) {
        let found = state_of(&mut self.upstreams, &mut self.services, in_flight);
        let Some((upstream, stats)) = found else { return };
        let held = report.running.saturating_add(report.waiting);
        if upstream.record_rejection(held, now) {
            stats.record_rejection(held, now);
        }
    }

    /// Returns how many more requests the plain upstreams of a service can take now below their bounds; `None` while no bound
    /// is known.
    pub fn free_places(&self, service: &str, now: Instant) -> Option<u32> {
        let demand = self.demand(service, now);
        let upstreams = self.available(service);
        let free = upstreams.filter_map(|(_, upstream)| demand.free_places(upstream));
        free.reduce(u32::saturating_add)
    }

    pub(super) fn demand<'a>(&'a self, service: &str, now: Instant) -> Demand<'a> {
        let stats = self.services.get(service).unwrap_or(&self.no_stats);
        Demand::new(stats, self.sender(service), &self.exchanges, now)
    }
}

#[cfg(test)]
mod tests;

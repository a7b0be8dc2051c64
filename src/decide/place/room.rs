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
use crate::decide::sharing::UPDATE_INTERVAL;
use crate::decide::turns::Sender;
use crate::id;

/// The fraction of its room from which an upstream counts as full by what is known.
const FULL: f64 = 0.75;

/// How long claims remain unanswered until a VM goes on without a host.
const HOST_TIMEOUT: Duration = Duration::from_millis(400);

/// The fraction of a bound up to which VMs send more than their equal parts. What other VMs have sent since the last summary
/// needs the rest.
const SHARED_FRACTION: f64 = 0.7;

/// How long places that can't be divided equally fall to the same VMs.
const PART_PERIOD: Duration = Duration::from_secs(8);

/// The fraction of the time beside a full queue for which a request may wait at its VM; the rest is for queues that take longer.
const MAX_WAIT_FRACTION: f64 = 0.75;

/// The margin of the expected wait for a place at plain upstreams: a request that waits in vain is refused late.
const WAIT_MARGIN: f64 = 1.5;

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
            let may_send = self.stats.has_answered
                || self.is_alone()
                || upstream.is_cold(now)
                || running < self.own_part(upstream);
            return may_send && self.is_below_bound(upstream);
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

    /// Returns whether a request may be sent to an upstream that rejects what exceeds its bound; true while none is known.
    ///
    /// A VM may always have its equal part there. It may have more where the last summary shows that places are free: the VMs
    /// divide these among them, in proportion to what they have there. While fewer are free than there are VMs, they are drawn,
    /// unless the upstream has idle slots.
    fn is_below_bound(&self, upstream: &UpstreamState) -> bool {
        let Some(bound) = upstream.bound(self.stats, self.now) else { return true };
        let (running, key) = (upstream.running(), upstream.key());
        if upstream.ceiling_after_rejection(self.now).is_some_and(|ceiling| running >= ceiling) {
            return false;
        }
        if self.is_alone() {
            return running < bound;
        }
        if running < self.part_of_bound(upstream) {
            return true;
        }
        let Some(load) = upstream.settled_peer_load(self.now) else { return false };
        let before = upstream.running_at_summary();
        let known = f64::from(before + load.running);
        let free = f64::from(bound) * SHARED_FRACTION - known;
        let share = (f64::from(before) / known.max(1.0)).max(1.0 / f64::from(self.sender.count()));
        let is_idle = known < upstream.slots();
        // As parts pass from some VMs to others, the last summary shows places that the new ones are about to use.
        if !is_idle && self.is_changing_parts(upstream, bound) {
            return false;
        }
        let more = if is_idle { (free * share).max(1.0) } else { free * share };
        let is_drawn = || self.sender.is_drawn(key, more, UPDATE_INTERVAL, self.now);
        let more = if (0.0..1.0).contains(&more) { f64::from(is_drawn()) } else { more.floor() };
        f64::from(running) < f64::from(before) + more
    }

    /// Returns whether the room at an upstream follows from its bound, so that no host grants it.
    fn is_bounded(&self, upstream: &UpstreamState) -> bool {
        upstream.refusal_limit(self.stats, self.now).is_none()
            && upstream.bound(self.stats, self.now).is_some()
    }

    /// Returns this VM's equal part of the requests that an upstream holds, one at most while it may not know all others.
    fn part_of_bound(&self, upstream: &UpstreamState) -> u32 {
        let bound = upstream.confirmed_bound(self.stats, self.now).unwrap_or_default();
        let overlap = self.full_queue(upstream, bound).min(PART_PERIOD);
        let periods = (PART_PERIOD, overlap);
        let part = self.sender.rotating_part(upstream.key(), bound, periods, self.now);
        if self.sender.settles_in(self.now).is_zero() { part } else { part.min(1) }
    }

    /// Returns whether parts have just passed to other VMs, at an upstream that holds less than one request of each.
    fn is_changing_parts(&self, upstream: &UpstreamState, bound: u32) -> bool {
        let overlap = self.full_queue(upstream, bound).min(PART_PERIOD) + UPDATE_INTERVAL * 2;
        bound < self.sender.count() && self.sender.is_within(PART_PERIOD, overlap, self.now)
    }

    /// Returns the time from sending a request to its answer at an upstream that holds as many as it can.
    fn full_queue(&self, upstream: &UpstreamState, bound: u32) -> Duration {
        let rounds = f64::from(bound) / f64::from(upstream.slot_count());
        self.stats.service_time().mul_f64(rounds.max(1.0))
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
        if self.full_queue(service, now).is_some() {
            let expected = self.place_interval(service, now) * (self.waiting(service) + 1);
            return expected.mul_f64(WAIT_MARGIN).min(MAX_WAIT);
        }
        // Only a VM with a request that waits learns from the hosts whether there is room.
        let Some(waiting) = self.waiting.get(service) else { return Duration::ZERO };
        let stats = self.services.get(service).unwrap_or(&self.no_stats);
        let expected = stats
            .room_wait(*waiting)
            .unwrap_or_else(|| self.place_interval(service, now).mul_f64((waiting + 1) as f64));
        expected.min(MAX_WAIT)
    }

    /// Returns the time from one place that becomes free for this VM to the next, if all VMs want equally many.
    fn place_interval(&self, service: &str, now: Instant) -> Duration {
        let stats = self.services.get(service).unwrap_or(&self.no_stats);
        let places: u32 = self.available(service).map(|(_, upstream)| upstream.capacity(now)).sum();
        let vms = f64::from(self.sender(service).count());
        stats.service_time().mul_f64(vms / f64::from(places.max(1)))
    }

    fn waiting(&self, service: &str) -> u32 {
        self.waiting.get(service).map_or(0, |waiting| u32::try_from(*waiting).unwrap_or(u32::MAX))
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
                    !demand.is_bounded(upstream)
                        && upstream.is_eligible(speed, false, sender, now)
                        && !demand.has_room(upstream)
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
        let free = self.bounded(service, now).map(|(upstream, bound)| {
            let held = upstream.total_requests(demand.stats, demand.sender, now).ceil();
            bound.saturating_sub(held as u32)
        });
        free.reduce(u32::saturating_add)
    }

    /// Returns how many requests the plain upstreams of a service hold at most, as far as is known.
    pub fn bounds(&self, service: &str, now: Instant) -> u32 {
        self.bounded(service, now).map(|(_, bound)| bound).sum()
    }

    /// Returns the least time from sending a request to its answer at a plain upstream that holds as many as it can; `None`
    /// while no bound is known.
    pub fn full_queue(&self, service: &str, now: Instant) -> Option<Duration> {
        let demand = self.demand(service, now);
        let bounded = self.bounded(service, now);
        bounded.map(|(upstream, bound)| demand.full_queue(upstream, bound)).min()
    }

    /// Iterates over the plain upstreams of a service with their bounds. A service without any rejection is not searched.
    fn bounded<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = (&'a UpstreamState, u32)> {
        let stats = self.services.get(service).filter(|stats| stats.bound().is_some());
        stats.into_iter().flat_map(move |stats| {
            let upstreams = self.available(service);
            upstreams.filter_map(move |(_, upstream)| Some((upstream, upstream.bound(stats, now)?)))
        })
    }

    /// Returns how long a request with that objective may wait for room at its VM. At plain upstreams it then waits once more.
    pub fn max_room_wait(&self, service: &str, objective: Duration, now: Instant) -> Duration {
        let spare = |queue| objective.saturating_sub(queue).mul_f64(MAX_WAIT_FRACTION);
        self.full_queue(service, now).map_or(objective, spare)
    }

    /// Returns the number of requests that wait for room.
    pub fn waiting_for_room(&self) -> usize {
        self.waiting.values().sum()
    }

    pub(super) fn demand<'a>(&'a self, service: &str, now: Instant) -> Demand<'a> {
        let stats = self.services.get(service).unwrap_or(&self.no_stats);
        Demand::new(stats, self.sender(service), &self.exchanges, now)
    }
}

#[cfg(test)]
mod tests;

//! Room at upstreams that can refuse few requests; see [`room`](crate::decide::room).

use std::time::Duration;

use tokio::time::Instant;

use super::Balancer;
use super::Query;
use super::UpstreamState;
use super::sample;
use super::service::ServiceStats;
use crate::decide::room::Claim;
use crate::decide::room::Grant;
use crate::decide::sharing::Key;
use crate::decide::sharing::SHARDS;
use crate::decide::turns::Sender;
use crate::id;
use crate::unit::Rate;

/// The fraction of its room from which an upstream counts as full by what is known.
const FULL: f64 = 0.75;

/// How long claims remain unanswered until a VM goes on without a host.
const HOST_TIMEOUT: Duration = Duration::from_millis(400);

/// Ample room is left if so many times the requests that are not reported yet would fit.
const UNREPORTED_FACTOR: f64 = 2.0;

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
    /// What an upstream of the service stated last, for those that have not answered since.
    refusal_limit: Option<(Rate, Instant)>,
    /// Whether any upstream of the service has answered this VM.
    has_answered: bool,
    /// The mean number of known requests per upstream.
    mean: f64,
    service_time: Duration,
    now: Instant,
}

impl<'a> Demand<'a> {
    pub(super) fn new<'u>(
        upstreams: impl Iterator<Item = &'u UpstreamState>,
        stats: &ServiceStats,
        (sender, exchanges): (&'a Sender, &'a Exchanges),
        now: Instant,
    ) -> Self {
        let (refusal_limit, service_time) = (stats.refusal_limit(now), stats.service_time());
        // Without a limit nothing depends on it.
        let counted = upstreams.filter(|_| refusal_limit.is_some());
        let (count, known) = counted.fold((0, 0.0), |(count, known), upstream| {
            (count + 1, known + known_requests(upstream, now))
        });
        let mean = known / f64::from(count.max(1));
        let has_answered = stats.has_answered;
        Self { sender, exchanges, refusal_limit, has_answered, mean, service_time, now }
    }

    /// Returns whether a request may be sent without the risk that the upstream has to refuse it.
    pub(super) fn has_room(&self, upstream: &UpstreamState) -> bool {
        let (running, now) = (upstream.running(), self.now);
        // A VM that has just started does not know whether there is a limit.
        let Some(limit) = self.refusal_limit_of(upstream) else {
            return self.has_answered
                || self.is_alone()
                || upstream.is_cold(now)
                || running < self.equal_part(upstream).max(1);
        };
        upstream.allowance.permits(running, now)
            || self.has_ample_room(upstream)
            || (self.is_without_host(upstream)
                && (running < self.equal_part(upstream)
                    || upstream.restrictions.refusal_limit.allows(
                        limit,
                        upstream.key(),
                        self.sender,
                        now,
                    )))
    }

    /// Returns the limit at an upstream; `None` if it may refuse as much as it has to.
    pub(super) fn refusal_limit_of(&self, upstream: &UpstreamState) -> Option<Rate> {
        let stated = &upstream.restrictions.refusal_limit;
        let since = self.refusal_limit.filter(|(_, at)| stated.is_unknown_since(*at));
        since.map(|(limit, _)| limit).or(stated.rate())
    }

    /// Returns the capacity for the VMs that this VM knows.
    pub(super) fn capacity(&self, upstream: &UpstreamState) -> u32 {
        let capacity = upstream.capacity(self.now);
        (f64::from(capacity) * self.sender.known_fraction()) as u32
    }

    fn has_ample_room(&self, upstream: &UpstreamState) -> bool {
        if self.is_alone() {
            return upstream.running() < upstream.capacity(self.now);
        }
        let known = known_requests(upstream, self.now);
        let expected = known + 1.0 + self.unreported(known) * UNREPORTED_FACTOR;
        upstream.has_peer_load(self.now) && expected <= f64::from(self.capacity(upstream))
    }

    /// Returns the expected number of requests from other VMs that are not reported yet: as many as end in that time, and
    /// more where fewer run than elsewhere.
    fn unreported(&self, known: f64) -> f64 {
        let rate = known.max(self.mean).max(1.0) / self.service_time.as_secs_f64();
        let preference = ((self.mean + 1.0) / (known + 1.0)).max(1.0);
        rate * preference * sample::LOAD_AGE.as_secs_f64()
    }

    /// Returns whether there is no other VM.
    fn is_alone(&self) -> bool {
        self.sender.count() == 1 && self.sender.settles_in(self.now).is_zero()
    }

    fn is_without_host(&self, upstream: &UpstreamState) -> bool {
        self.exchanges[usize::from(upstream.key().shard())].is_lost(self.now)
    }

    /// Returns the equal part of a VM that knows the others.
    fn equal_part(&self, upstream: &UpstreamState) -> u32 {
        match self.sender.settles_in(self.now).is_zero() {
            true => upstream.capacity(self.now) / self.sender.count(),
            false => 0,
        }
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

    /// Applies what a host grants.
    pub fn apply_grants(&mut self, grants: &[(Key, Grant)], now: Instant) {
        for upstream in self.upstreams.values_mut() {
            let key = upstream.key();
            if let Some((_, grant)) = grants.iter().find(|(of, _)| *of == key) {
                upstream.allowance.apply(*grant, now);
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
        let sender = self.sender(service);
        let places: u32 = self.available(service).map(|(_, upstream)| upstream.capacity(now)).sum();
        let waiting = self.waiting.get(service).copied().unwrap_or_default() + 1;
        let rounds = waiting as f64 * f64::from(sender.count()) / f64::from(places.max(1));
        self.service_time(service).mul_f64(rounds).min(MAX_WAIT)
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
                && demand.refusal_limit_of(upstream).is_some()
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
                .map(|(id, upstream)| {
                    let used = known_requests(upstream, now) / f64::from(upstream.capacity(now));
                    (used >= FULL, sender.preference(upstream.key()), id)
                })
                .collect();
            full.sort();
            wanted.extend(full.iter().map(|(_, _, id)| (*id).clone()).cycle().take(*waiting));
        }
        wanted
    }

    pub(super) fn demand<'a>(&'a self, service: &str, now: Instant) -> Demand<'a> {
        let upstreams = self.available(service).map(|(_, upstream)| upstream);
        let no_stats = ServiceStats::default();
        let stats = self.services.get(service).unwrap_or(&no_stats);
        Demand::new(upstreams, stats, (self.sender(service), &self.exchanges), now)
    }

    /// Returns the mean service time.
    fn service_time(&self, service: &str) -> Duration {
        let stats = self.services.get(service);
        stats.map_or_else(|| ServiceStats::default().service_time(), ServiceStats::service_time)
    }
}

//! Selects the upstream of this region that runs a request, and estimates the latency.
//!
//! **Load pattern.** Inference engines prefill prompts one at a time, between decoding steps. Most tokens of a long
//! prompt belong to a prefix shared with other prompts, and an engine with the prefix in its cache needs a fraction
//! of the time. Every running stream slows down the others in its batch.
//!
//! **Without it.** Load balancing by free slots recomputes each prefix on every engine: three quarters of the prefill
//! work is redundant, caches thrash, and a region saturates at a quarter of its capacity. Strict prefix affinity
//! overloads the engine of a hot prefix while others idle.
//!
//! **Decision.** The upstream with the lowest [`cost`] to all callers wins: the time to the first event (queued
//! prefills, the prompt's own prefill, the wait for a slot), the time to the last event, and the slowdown of the
//! requests that already run there. Own requests are counted exactly, those of other VMs come from
//! [`sharing`](super::sharing) or, failing that, from load reports. All VMs find the same engine for a prefix by
//! rendezvous hashing; another one is chosen if the queue of that engine costs more than a recomputation. `regions`
//! finds the region of that engine.

mod cache;
mod cold;
pub mod cost;
mod decision;
mod doubt;
mod health;
mod regions;
mod restrictions;
mod room;
mod sample;
mod service;
mod silence;
mod upstream;
pub mod wait;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use self::decision::Decision;
use self::doubt::Doubt;
use self::room::Demand;
use self::room::Exchanges;
use self::service::Profile;
use self::service::ServiceStats;
use self::upstream::UpstreamState;
use crate::decide::engine::Output;
use crate::decide::feedback::Change;
use crate::decide::feedback::RateNotice;
use crate::decide::feedback::Source;
use crate::decide::held;
use crate::decide::route::rendezvous;
use crate::decide::sharing::Key;
use crate::decide::sharing::Load;
use crate::decide::sharing::PrefixUse;
use crate::decide::sharing::Summary;
use crate::id;
use crate::unit::Slots;
use crate::unit::Tokens;

pub use cold::Cold;
pub use cold::ColdSend;
pub use doubt::MAX_DOUBT;
pub use doubt::OBSERVATION_INTERVAL;
pub use health::Outcome;
pub use regions::Holder;
pub use regions::OpenUpstreams;
pub use regions::Outlook;
pub use regions::RegionCandidate;
pub use regions::RegionQuery;
pub use regions::Regions;
pub use service::Prefix;
pub use service::Work;
pub use upstream::Report;

pub use super::turns::Sender;

/// Number of event gaps averaged into one slowdown sample; a single gap may consist of the prefill of one prompt.
const GAP_SAMPLES: u32 = 8;

/// Number of engines per prefix found by rendezvous hashing, so that all VMs fall back to the same second engine.
const PREFIX_CANDIDATES: usize = 2;

/// Maximum number of prefix uses queued for other VMs.
const MAX_PENDING_USES: usize = 64;

/// What the roster and the configuration say about an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The name of the upstream.
    pub id: id::Upstream,
    /// The incarnation; a new one starts with an empty cache and no failures.
    pub incarnation: u64,
    /// The service that the upstream is a replica of.
    pub service: String,
    /// The address for connections.
    pub address: SocketAddr,
    /// The number of requests that run concurrently.
    pub slots: Slots,
    /// The KV cache size of an engine; `None` for a plain service.
    pub memory: Option<Tokens>,
    /// This VM's share of the connection limit.
    pub connections: u32,
    /// The rate limit after a start, while the upstream is cold.
    pub cold: Option<Cold>,
    /// Whether the upstream accepts new requests.
    pub open: bool,
    /// Whether the roster says that it is draining.
    pub draining: bool,
    /// Whether its heartbeats are missing; such an upstream is used only if there is no other.
    pub silent: bool,
}

/// The requirements of a request that needs an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The name of the service.
    pub service: &'a str,
    /// The work for an engine.
    pub work: Work,
    /// Upstreams that already were tried.
    pub tried: &'a [id::Upstream],
    /// Whether the engine for the prefix is in this region.
    pub holds_prefix: bool,
    /// Whether the request has the highest priority of the service.
    pub urgent: bool,
    /// The maximum expected time to the first event; above it, the request is rejected.
    pub max_wait: Duration,
    /// The only upstream that may run it, if it is restricted to one.
    pub only: Option<&'a id::Upstream>,
}

/// The upstream selected for a request, with the expected latency.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The upstream.
    pub id: id::Upstream,
    /// The address for connections.
    pub address: SocketAddr,
    /// The expected time to the first event.
    pub first_event: Duration,
    /// The expected time to the last event.
    pub last_event: Duration,
    /// The total cost, for comparison.
    pub cost: Duration,
    /// The tokens of the prompt that are to be prefilled.
    pub prefill: Tokens,
    /// The known requests of all VMs on the upstream.
    pub running: u32,
    /// The age of the data on other VMs' requests; `None` if there is none or it is stale.
    pub load_age: Option<Duration>,
    /// The tokens that are prefilled before the first event, those of other requests included.
    queued_prefill: Tokens,
    /// Whether the tokens to prefill follow from the engine's own events.
    is_indexed: bool,
}

/// A request in flight, with the resources it uses on its upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct InFlight {
    /// The upstream.
    pub id: id::Upstream,
    /// How it was sent, if the upstream is cold.
    pub cold_send: Option<ColdSend>,
    incarnation: u64,
    prefill: Tokens,
    queued_prefill: Tokens,
    /// Whether `prefill` is exact, which requires a prompt without cached tokens.
    is_prefill_exact: bool,
    memory: Tokens,
    output: Output,
    sent_at: Instant,
    /// The expected duration in multiples of the service time, the wait for a slot included.
    rounds: f64,
    /// The number of events received.
    events: u32,
    /// The start and the first event of the current gap measurement; `None` before the first event.
    gap_start: Option<(Instant, u32)>,
    /// The time of the last event.
    last_event: Instant,
}

/// Selects among the upstreams of a region, from the view of one VM.
#[derive(Debug)]
pub struct Balancer {
    rng: SmallRng,
    /// Ordered, so that decisions are reproducible for a given seed.
    upstreams: BTreeMap<id::Upstream, UpstreamState>,
    services: HashMap<String, ServiceStats>,
    /// For services without requests.
    no_stats: ServiceStats,
    /// The VMs that send to the upstreams of each service.
    senders: HashMap<String, Sender>,
    /// For services without upstreams.
    alone: Sender,
    doubt: Doubt,
    /// Prefix uses not yet sent to other VMs.
    uses: Vec<PrefixUse>,
    /// The requests that wait for room, by service.
    waiting: HashMap<String, usize>,
    exchanges: Exchanges,
    /// What the engines hold in their caches.
    held: held::View,
    /// Shared tokens that indexed engines were expected to hold, and those that they had to read.
    held_tokens: (u64, u64),
    /// Restrictions of upstreams that are gone, not yet reported to the log.
    ended: Vec<Change>,
}

impl Balancer {
    /// Creates a balancer without upstreams.
    pub fn new(rng: SmallRng) -> Self {
        let alone = Sender::alone(Instant::now());
        Self {
            rng,
            upstreams: BTreeMap::new(),
            services: HashMap::new(),
            no_stats: ServiceStats::default(),
            senders: HashMap::new(),
            alone,
            doubt: Doubt::new(),
            uses: Vec::new(),
            waiting: HashMap::new(),
            exchanges: Exchanges::default(),
            held: held::View::default(),
            held_tokens: (0, 0),
            ended: Vec::new(),
        }
    }

    /// Updates the list of upstreams and the VMs that send to those of each service.
    pub fn sync(
        &mut self,
        endpoints: Vec<Endpoint>,
        senders: HashMap<String, Sender>,
        now: Instant,
    ) {
        self.senders = senders;
        let names: std::collections::HashSet<id::Upstream> =
            endpoints.iter().map(|endpoint| endpoint.id.clone()).collect();
        self.upstreams.retain(|id, upstream| {
            let is_kept = names.contains(id)
                || upstream.running() > 0
                || upstream.restrictions.is_needed(now);
            if !is_kept {
                let ended = std::mem::take(&mut upstream.restrictions).restarted();
                self.ended.extend(ended.into_changes(id, now));
            }
            is_kept
        });
        for (id, upstream) in &mut self.upstreams {
            if !names.contains(id) {
                upstream.endpoint.open = false;
            }
        }
        for endpoint in endpoints {
            match self.upstreams.get_mut(&endpoint.id) {
                Some(upstream) => upstream.update(endpoint, now),
                None => {
                    let id = endpoint.id.clone();
                    self.upstreams.insert(id, UpstreamState::new(endpoint, now));
                }
            }
        }
        let kept: std::collections::HashSet<Key> =
            self.upstreams.values().map(UpstreamState::key).collect();
        self.held.retain(|engine| kept.contains(&engine));
        self.apply_doubt(now);
    }

    /// Records that the process runs; returns the length of the pause that has ended, if there was one. `elapsing` is the
    /// time by a clock that goes on while the VM is suspended.
    pub fn observe(&mut self, elapsing: Instant, now: Instant) -> Option<Duration> {
        let pause = self.doubt.observe(elapsing, now)?;
        self.upstreams.values_mut().for_each(|upstream| upstream.forgive_silence(now));
        self.apply_doubt(now);
        Some(pause)
    }

    /// Records the answer of a control VM to a question that was asked at that time; returns whether it ends the doubt.
    pub fn record_answer(&mut self, asked_at: Instant, now: Instant) -> bool {
        let is_news = self.doubt.record_answer(asked_at);
        if is_news {
            self.apply_doubt(now);
        }
        is_news
    }

    /// Returns until when what is known of upstreams may be outdated, since this VM paused; `None` if it is not.
    pub fn doubt_until(&self, now: Instant) -> Option<Instant> {
        self.doubt.until(now)
    }

    /// Returns whether this VM has paused since that time.
    pub fn has_paused_since(&self, at: Instant) -> bool {
        self.doubt.has_paused_since(at)
    }

    fn apply_doubt(&mut self, now: Instant) {
        let until = self.doubt.until(now);
        self.upstreams.values_mut().for_each(|upstream| upstream.doubt(until));
    }

    /// Returns the upstream with the lowest cost, or `None` if no upstream accepts the request.
    pub fn choose(&mut self, query: &Query<'_>, now: Instant) -> Option<Placement> {
        let prefix_candidates = self.prefix_candidates(query);
        let stats = self.services.get(query.service).unwrap_or(&self.no_stats);
        let profile = self.profile(query.service);
        let sender = self.sender(query.service).clone();
        let mut decision = Decision::new(query, (stats, profile), &sender, now);
        let mut candidates = decision.candidates(&self.upstreams);
        let demand = Demand::new(stats, &sender, &self.exchanges, now);
        candidates.retain(|(_, upstream)| demand.has_room(upstream));
        let decision =
            decision.with_held(&self.held).with_prefix_candidates(prefix_candidates, &candidates);
        let count = decision.sample(&mut candidates, &mut self.rng);
        let placements = candidates[..count]
            .iter()
            .map(|(id, upstream)| decision.evaluate(id, upstream, self.rng.random()));
        placements.min_by_key(|placement| placement.cost)
    }

    /// Returns the upstreams of a service that accept new requests.
    pub fn open(&self, service: &str) -> Vec<id::Upstream> {
        self.available(service).map(|(id, _)| id.clone()).collect()
    }

    /// Returns whether any upstream of a service accepts new requests.
    pub fn has_open(&self, service: &str) -> bool {
        self.available(service).next().is_some()
    }

    /// Returns how long nothing was received from any of the upstreams with requests of this VM that are running or were given
    /// up; `None` if there are less than two of them.
    pub fn silence(&self, now: Instant) -> Option<Duration> {
        let quiet: Vec<Duration> =
            self.upstreams.values().filter_map(|upstream| upstream.quiet(now)).collect();
        (quiet.len() > 1).then(|| quiet.into_iter().min().unwrap_or_default())
    }

    /// Returns the number of requests that were given up, and that upstreams which have not responded since may still run.
    pub fn unanswered(&self) -> u32 {
        self.upstreams.values().map(UpstreamState::unanswered).sum()
    }

    /// Forgets that upstreams did not answer: this VM does not reach them.
    pub fn forget_silence(&mut self) {
        self.upstreams.values_mut().for_each(UpstreamState::forget_silence);
    }

    /// Forgets that upstreams could not be connected to.
    pub fn forget_unreachable(&mut self) {
        self.upstreams.values_mut().for_each(UpstreamState::forget_unreachable);
    }

    /// Returns this VM's load on the upstreams of a shard, for the shard's host.
    pub fn loads(&self, shard: u8, now: Instant) -> Vec<(Key, Load)> {
        let upstreams = self.upstreams.values().filter(|upstream| upstream.key().shard() == shard);
        let loads = upstreams.map(|upstream| (upstream.key(), upstream.load(now)));
        loads.filter(|(_, load)| !load.is_empty()).collect()
    }

    /// Removes and returns the prefix uses on the upstreams of a shard.
    pub fn take_uses(&mut self, shard: u8) -> Vec<PrefixUse> {
        let (taken, left) =
            self.uses.drain(..).partition(|used: &PrefixUse| used.engine.shard() == shard);
        self.uses = left;
        taken
    }

    /// Applies a summary of other VMs' load from a shard's host. Upstreams missing from it have no load.
    pub fn apply_summary(&mut self, summary: &Summary, now: Instant) {
        let loads: HashMap<Key, Load> = summary.loads.iter().copied().collect();
        self.exchanges[usize::from(summary.shard)].record_answer();
        self.apply_grants(&summary.grants, now);
        let limits: HashMap<Key, RateNotice> = summary.limits.iter().copied().collect();
        let told = summary.held.iter().flat_map(|held| &held.changes);
        told.for_each(|change| self.held.apply(change, now));
        for upstream in self.upstreams.values_mut() {
            let key = upstream.key();
            if key.shard() != summary.shard {
                continue;
            }
            upstream.set_peer_load(loads.get(&key).copied().unwrap_or_default(), now);
            if let Some(notice) = limits.get(&key) {
                upstream.restrictions.limit.apply_notice(notice, now);
            }
            if summary.draining.contains(&key) {
                upstream.restrictions.record_draining(Source::Vm, now);
            }
            let uses = summary.uses.iter().filter(|used| used.engine == key);
            for used in uses {
                let prefix = Prefix { key: used.part, tokens: Tokens::new(used.tokens) };
                upstream.record_peer_use(prefix, now);
                self.held.record_use(key, used.part, now);
            }
        }
    }

    /// Returns the highest rendezvous weight of the region's engines for a prefix, for comparison with other regions.
    pub fn rendezvous_weight(&self, service: &str, prefix: &Prefix) -> Option<u64> {
        let weights =
            self.available(service).map(|(id, _)| rendezvous::weight(prefix.key, id.as_str()));
        weights.max()
    }

    /// Returns the typical parameters of the engines of a service.
    pub fn profile(&self, service: &str) -> Profile {
        let mut engines =
            self.upstreams.values().filter(|upstream| upstream.endpoint.service == service);
        let slots = engines.next().map_or(1.0, UpstreamState::slots);
        self.services
            .get(service)
            .map_or_else(|| ServiceStats::default().profile(slots), |stats| stats.profile(slots))
    }

    /// Estimates the latency of a typical request, for VMs of other regions.
    pub fn outlook(&mut self, service: &str, urgent: bool, now: Instant) -> Option<Outlook> {
        let (work, max_wait) = (Work::default(), Duration::MAX);
        let (tried, only) = (&[][..], None);
        let query = Query { service, work, tried, holds_prefix: false, urgent, max_wait, only };
        let Some(placement) = self.choose(&query, now) else {
            let wait = self.next_opening(service, now)?;
            return Some(Outlook { wait, running: 0 });
        };
        let sender = self.sender(service);
        let upstream = self.upstreams.get(&placement.id);
        let failures = upstream.map(|upstream| upstream.penalty(now)).unwrap_or_default();
        // The next request under a rate limit waits for the VM's next turn.
        let interval = upstream.map(|upstream| upstream.limit_interval(sender, now));
        let wait = placement.first_event + failures + interval.unwrap_or_default();
        Some(Outlook { wait, running: placement.running })
    }

    /// Records that a request was sent to the selected upstream.
    pub fn record_sent(&mut self, placement: &Placement, work: &Work, now: Instant) -> InFlight {
        let service = self.upstreams.get(&placement.id).map(|known| &known.endpoint.service);
        let sender = service.map_or(&self.alone, |service| self.sender(service)).clone();
        let upstream = self.upstreams.get_mut(&placement.id);
        let incarnation = upstream.as_ref().map_or(0, |upstream| upstream.endpoint.incarnation);
        let memory = work.suffix + work.output.likely();
        let (mut rounds, mut cold_send) = (1.0, None);
        if let Some(upstream) = upstream {
            let stats = self.services.entry(upstream.endpoint.service.clone()).or_default();
            rounds = upstream.rounds(upstream.total_requests(stats, &sender, now));
            stats.record_sent(placement.prefill, now);
            let shard = usize::from(upstream.key().shard());
            upstream.record_refusal_risk(stats, (&self.exchanges[shard], &sender), now);
            cold_send = upstream.record_sent(work, placement.prefill, memory, &sender, now);
            if let Some(prefix) = work.prefix {
                let parts = work.chain.parts().iter();
                parts.for_each(|(part, _)| self.held.record_shared(*part, now));
                self.held.record_use(upstream.key(), prefix.key, now);
                if placement.is_indexed {
                    let read = placement.prefill.saturating_sub(work.suffix);
                    self.held_tokens.0 += prefix.tokens.saturating_sub(read).get();
                    self.held_tokens.1 += read.get();
                }
            }
            let prefix = work.prefix.filter(|_| self.uses.len() < MAX_PENDING_USES);
            self.uses.extend(prefix.map(|prefix| PrefixUse {
                engine: upstream.key(),
                part: prefix.key,
                tokens: prefix.tokens.get(),
            }));
        }
        InFlight {
            id: placement.id.clone(),
            cold_send,
            incarnation,
            prefill: placement.prefill,
            queued_prefill: placement.queued_prefill,
            is_prefill_exact: placement.prefill == work.suffix,
            memory,
            output: work.output,
            sent_at: now,
            rounds,
            events: 0,
            gap_start: None,
            last_event: now,
        }
    }

    /// Records an event of the answer, or the complete answer.
    pub fn record_event(&mut self, in_flight: &mut InFlight, now: Instant) {
        in_flight.events = in_flight.events.saturating_add(1);
        if let Some(upstream) = self.upstreams.get_mut(&in_flight.id) {
            upstream.record_response(now);
            if in_flight.gap_start.is_none() {
                let stats = self.services.entry(upstream.endpoint.service.clone()).or_default();
                stats.has_answered = true;
            }
        }
        match in_flight.gap_start {
            None => self.record_first_event(in_flight, now),
            Some(gap_start) => self.record_gap(in_flight, gap_start, now),
        }
        in_flight.last_event = now;
    }

    fn record_first_event(&mut self, in_flight: &mut InFlight, now: Instant) {
        in_flight.gap_start = Some((now, in_flight.events));
        let Some((upstream, stats)) = state_of(&mut self.upstreams, &mut self.services, in_flight)
        else {
            return;
        };
        upstream.record_prefilled(in_flight.prefill);
        // Requests with a shared prefix are skipped: whether the prefix was cached is only an estimate, and a wrong
        // one would make prefills look faster than they are.
        if !self.doubt.has_paused_since(in_flight.sent_at)
            && in_flight.is_prefill_exact
            && in_flight.rounds <= 1.0
            && upstream.endpoint.memory.is_some()
        {
            let elapsed = now.saturating_duration_since(in_flight.sent_at);
            stats.engine.record_first_event(in_flight.queued_prefill.get() as f64, elapsed);
        }
    }

    fn record_gap(
        &mut self,
        in_flight: &mut InFlight,
        (since, first): (Instant, u32),
        now: Instant,
    ) {
        if self.doubt.has_paused_since(in_flight.last_event) {
            in_flight.gap_start = Some((now, in_flight.events));
            return;
        }
        let Some((upstream, stats)) = state_of(&mut self.upstreams, &mut self.services, in_flight)
        else {
            return;
        };
        let sender = self.senders.get(&upstream.endpoint.service).unwrap_or(&self.alone);
        let running = upstream.total_requests(stats, sender, now);
        stats.engine.record_gap(running, now.saturating_duration_since(in_flight.last_event));
        if in_flight.events - first >= GAP_SAMPLES {
            let gap = now.saturating_duration_since(since) / (in_flight.events - first);
            let ratio = gap.as_secs_f64() / stats.engine.speed().gap(running);
            upstream.record_slowdown(ratio);
            stats.slowdown.add(ratio);
            in_flight.gap_start = Some((now, in_flight.events));
        }
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, in_flight: InFlight, outcome: Outcome, now: Instant) {
        let Some((upstream, stats)) = state_of(&mut self.upstreams, &mut self.services, &in_flight)
        else {
            return;
        };
        if in_flight.gap_start.is_none() {
            upstream.record_prefilled(in_flight.prefill);
        }
        // The answer may have arrived while this VM paused.
        let has_paused = self.doubt.has_paused_since(in_flight.sent_at);
        let outcome = match outcome {
            Outcome::Unanswered if has_paused => Outcome::Failed,
            outcome => outcome,
        };
        upstream.record_end(in_flight.memory, in_flight.sent_at, outcome, now);
        let exchange = &mut self.exchanges[usize::from(upstream.key().shard())];
        let is_wanted = self.waiting.contains_key(&upstream.endpoint.service);
        exchange.is_urgent |= upstream.allowance.record_end(is_wanted);
        stats.has_answered |=
            matches!(outcome, Outcome::Answered | Outcome::Refused | Outcome::Error);
        if outcome != Outcome::Answered {
            return;
        }
        if !has_paused {
            stats.record_service_time(
                now.saturating_duration_since(in_flight.sent_at),
                in_flight.rounds,
            );
        }
        if upstream.endpoint.memory.is_some() {
            stats.length.record(&in_flight.output, in_flight.events);
        }
    }

    /// Returns what the engines hold in their caches.
    pub const fn held(&self) -> &held::View {
        &self.held
    }

    /// Starts to record what the engines hold in their caches.
    pub const fn enable_held(&mut self) {
        self.held.enable();
    }

    /// Returns the shared tokens of prompts that indexed engines were expected to hold, and those that they had to read.
    pub const fn held_tokens(&self) -> (u64, u64) {
        self.held_tokens
    }

    /// Returns the engines of this region, with their addresses and memory.
    pub fn engines(&self) -> Vec<(id::Upstream, Key, SocketAddr, Tokens)> {
        let engine = |(id, upstream): (&id::Upstream, &UpstreamState)| {
            let endpoint = &upstream.endpoint;
            let memory = endpoint.memory.filter(|_| endpoint.open && !endpoint.silent)?;
            Some((id.clone(), upstream.key(), endpoint.address, memory))
        };
        self.upstreams.iter().filter_map(engine).collect()
    }

    /// Records a load report of an upstream.
    pub fn record_report(&mut self, id: &id::Upstream, report: Report, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_report(report, now);
            self.services
                .entry(upstream.endpoint.service.clone())
                .or_default()
                .record_report(report);
        }
    }

    /// Returns the VMs that send to the upstreams of a service.
    pub fn sender(&self, service: &str) -> &Sender {
        self.senders.get(service).unwrap_or(&self.alone)
    }

    /// Returns the engines for the query's prefix by rendezvous hashing, in order of preference.
    fn prefix_candidates(&self, query: &Query<'_>) -> Vec<id::Upstream> {
        let Some(prefix) = query.work.prefix else { return Vec::new() };
        let named = self.available(query.service).map(|(id, _)| (id, id.as_str()));
        rendezvous::top(prefix.key, named, PREFIX_CANDIDATES).into_iter().cloned().collect()
    }

    /// Iterates over the available upstreams of a service.
    fn available<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a id::Upstream, &'a UpstreamState)> {
        self.upstreams.iter().filter(move |(_, upstream)| {
            upstream.endpoint.service == service
                && upstream.endpoint.open
                && !upstream.endpoint.silent
                && !upstream.restrictions.is_draining()
        })
    }
}

/// Returns the state of the upstream that runs a request, and the statistics of its service. `None` if the upstream
/// is gone or was restarted.
fn state_of<'a>(
    upstreams: &'a mut BTreeMap<id::Upstream, UpstreamState>,
    services: &'a mut HashMap<String, ServiceStats>,
    in_flight: &InFlight,
) -> Option<(&'a mut UpstreamState, &'a mut ServiceStats)> {
    let upstream = upstreams
        .get_mut(&in_flight.id)
        .filter(|upstream| upstream.endpoint.incarnation == in_flight.incarnation)?;
    let stats = services.entry(upstream.endpoint.service.clone()).or_default();
    Some((upstream, stats))
}

/// Converts seconds to a duration; invalid values yield a very long one.
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX / 4)
}

#[cfg(test)]
mod tests;

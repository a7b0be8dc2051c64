//! State of one upstream, from the view of one VM.

mod peers;

use std::time::Duration;

use tokio::time::Instant;

use super::Endpoint;
use super::Query;
use super::cache::Cache;
use super::cold::Cold;
use super::cold::ColdSend;
use super::cost::Conditions;
use super::health::Health;
use super::health::Outcome;
use super::health::OutcomeCounts;
use super::room::Exchange;
use super::seconds;
use super::service::Prefix;
use super::service::Profile;
use super::service::ServiceStats;
use super::service::Work;
use super::silence::Silence;
use crate::decide::engine::Quantile;
use crate::decide::engine::Speed;
use crate::decide::feedback::Event;
use crate::decide::feedback::Restrictions;
use crate::decide::feedback::Source;
use crate::decide::pace;
use crate::decide::pace::Pace;
use crate::decide::room::Allowance;
use crate::decide::room::Bound;
use crate::decide::sharing::Key;
use crate::decide::sharing::Load;
use crate::decide::sharing::UPDATE_INTERVAL;
use crate::decide::turns::Pacer;
use crate::decide::turns::Sender;
use crate::unit::Rate;
use crate::unit::Slots;
use crate::unit::Tokens;

/// The minimum time constant with which load reports lose their weight; otherwise it is the service time. Reports
/// arrive some hundred milliseconds late.
const MIN_REPORT_DECAY: Duration = Duration::from_millis(500);
/// Bounds of an engine's slowdown, relative to that of its service. An engine beyond them is avoided for its failures
/// instead.
const MAX_SLOWDOWN: f64 = 8.0;
const MIN_SLOWDOWN: f64 = 0.25;
/// The delay from a preemption, which happens if running requests need more memory than the engine has: they are
/// evicted and recomputed, which takes about as long as they have run.
const PREEMPTION: Duration = Duration::from_secs(2);

/// The utilization from which requests that are not urgent may be preempted by urgent ones, which then wait for
/// repeated prefills.
const PREEMPTION_THRESHOLD: f64 = 0.9;

/// A load report of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// The requests of all VMs that generate tokens.
    pub running: u32,
    /// The requests of all VMs that are queued or in prefill.
    pub waiting: u32,
    /// The number of requests that run concurrently.
    pub slots: Option<Slots>,
    /// How fast the upstream is at present.
    pub pace: Option<Pace>,
}

/// Whether an upstream has a prefix cached that this VM did not send to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheState {
    /// All VMs send the prefix to this upstream.
    Cached,
    /// The VMs of the region send the prefix to this upstream while its assigned engine is overloaded.
    MaybeCached,
    /// There is no indication that it has.
    Unknown,
}

#[derive(Debug)]
struct LastReport {
    others_running: u32,
    others_waiting: u32,
    at: Instant,
}

/// The state of one upstream, from the view of one VM.
#[derive(Debug)]
pub struct UpstreamState {
    /// What the roster and the configuration say about it.
    pub endpoint: Endpoint,
    key: Key,
    running: u32,
    /// The number of running requests without a first event.
    unread: u32,
    /// The tokens to prefill for those.
    unread_tokens: Tokens,
    /// The memory used by this VM's running requests, without shared prefixes.
    memory: Tokens,
    report: Option<LastReport>,
    /// The slots that it last reported.
    reported_slots: Option<Slots>,
    pace: pace::Latest,
    /// The load from other VMs of the region and when it was received.
    peer_load: Option<(Load, Instant)>,
    /// Since when that load has been received without a gap.
    peers_since: Option<Instant>,
    /// When the upstream last responded.
    heard: Option<Instant>,
    /// Since when this VM has had requests on the upstream without interruption.
    busy_since: Option<Instant>,
    /// The ratio of its gaps between events to the gaps of the service without prefills.
    slowdown: Quantile,
    health: Health,
    silence: Silence,
    cache: Cache,
    pacer: Pacer,
    /// Until when it counts as cold, since this VM does not know whether it is.
    doubted_until: Option<Instant>,
    /// What the upstream has stated in its responses.
    pub restrictions: Restrictions,
    /// The requests that this VM may have there, if it can refuse few.
    pub allowance: Allowance,
    /// The requests that it holds at most, if it is a plain one that has rejected some.
    bound: Option<Bound>,
    /// This VM's requests beside the last one that was rejected as beyond the bound.
    rejection: Option<(u32, Instant)>,
    /// This VM's requests when the load from other VMs was received.
    running_at_summary: u32,
    /// The bound that the log has been told.
    reported_bound: Option<u32>,
}

impl UpstreamState {
    /// Creates the state of a new upstream.
    pub fn new(endpoint: Endpoint, now: Instant) -> Self {
        Self::with_restrictions(endpoint, Restrictions::default(), now)
    }

    fn with_restrictions(endpoint: Endpoint, mut restrictions: Restrictions, now: Instant) -> Self {
        if endpoint.draining {
            restrictions.record_draining(Source::Roster, now);
        }
        Self {
            key: Key::new(&endpoint.id, endpoint.incarnation),
            endpoint,
            running: 0,
            unread: 0,
            unread_tokens: Tokens::ZERO,
            memory: Tokens::ZERO,
            report: None,
            reported_slots: None,
            pace: pace::Latest::default(),
            peer_load: None,
            peers_since: None,
            heard: None,
            busy_since: None,
            slowdown: Quantile::default(),
            health: Health::default(),
            silence: Silence::default(),
            cache: Cache::default(),
            pacer: Pacer::default(),
            doubted_until: None,
            restrictions,
            allowance: Allowance::default(),
            bound: None,
            rejection: None,
            running_at_summary: 0,
            reported_bound: None,
        }
    }

    /// Updates the announced properties. A new incarnation resets the state, except for the turns that were used.
    pub fn update(&mut self, endpoint: Endpoint, now: Instant) {
        if endpoint.incarnation == self.endpoint.incarnation
            && endpoint.address == self.endpoint.address
        {
            if endpoint.draining {
                self.restrictions.record_draining(Source::Roster, now);
            }
            // It checks in again.
            if self.endpoint.silent && !endpoint.silent {
                self.forget_silence();
            }
            self.endpoint = endpoint;
        } else {
            let restrictions = std::mem::take(&mut self.restrictions).restarted();
            let pacer = std::mem::take(&mut self.pacer);
            *self = Self { pacer, ..Self::with_restrictions(endpoint, restrictions, now) };
        }
    }

    /// Returns the number of this VM's requests on the upstream.
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns whether the upstream accepts requests of this VM now, apart from its turns at a cold one.
    pub fn is_eligible(
        &self,
        speed: &Speed,
        is_fallback: bool,
        sender: &Sender,
        now: Instant,
    ) -> bool {
        let is_healthy = !self.endpoint.silent
            && !self.health.is_backing_off(now)
            && !self.is_unreachable(now)
            && !self.is_unresponsive(speed, now);
        self.endpoint.open
            && !self.restrictions.is_draining()
            && self.running < self.endpoint.connections
            && (is_healthy || is_fallback)
            && self.silence_wait(now).is_zero()
            && self.restrictions.allows(self.key, sender, now)
    }

    /// Returns whether the upstream is not cold, or this VM has a turn at it.
    pub fn has_turn(&self, sender: &Sender, now: Instant) -> bool {
        self.cold(now).is_none_or(|cold| self.pacer.allows(&cold.turns(self.key), sender, now))
    }

    /// Returns the interval between two requests of this VM under the rate limit; zero without one.
    pub fn limit_interval(&self, sender: &Sender, now: Instant) -> Duration {
        self.restrictions.limit.interval(self.key, sender, now)
    }

    /// Returns how long restrictions and turns exclude requests of callers who may come to another VM.
    pub fn caller_wait(&self, sender: &Sender, now: Instant) -> Duration {
        let restricted = self.restrictions.caller_wait(self.key, sender, now);
        let turn = self.cold(now).map(|cold| {
            let wait = self.pacer.wait(&cold.turns(self.key), sender, now);
            wait.min(cold.until.saturating_duration_since(now))
        });
        restricted.max(turn.unwrap_or_default()).max(self.silence_wait(now))
    }

    /// Returns how long requests have to wait since the upstream has not answered those before.
    fn silence_wait(&self, now: Instant) -> Duration {
        self.silence.wait(|| self.heard_by_peers(now), now)
    }

    /// Returns when it last responded to another VM, as far as is known.
    fn heard_by_peers(&self, now: Instant) -> Option<Instant> {
        now.checked_sub(self.peer_load(now)?.heard?)
    }

    /// Returns how many requests of this VM the upstream takes within a time; `None` if it is not limited to turns.
    pub fn turns_within(&self, span: Duration, sender: &Sender, now: Instant) -> Option<f64> {
        let cold = self.cold(now)?;
        let left = span.saturating_sub(self.caller_wait(sender, now));
        Some(cold.rate.over(left) / f64::from(sender.count()))
    }

    /// Returns the number of prefix tokens to prefill.
    pub fn uncached_prefix(&self, work: &Work, state: CacheState) -> Tokens {
        let Some(prefix) = &work.prefix else { return Tokens::ZERO };
        match state {
            _ if self.cache.contains(prefix) => Tokens::ZERO,
            CacheState::Cached => Tokens::ZERO,
            CacheState::MaybeCached => Tokens::new(prefix.tokens.get() / 5 * 4),
            CacheState::Unknown => prefix.tokens,
        }
    }

    /// Returns the conditions under which a request would run.
    pub fn conditions(
        &self,
        stats: &ServiceStats,
        profile: &Profile,
        query: &Query<'_>,
        uncached: Tokens,
        sender: &Sender,
        now: Instant,
    ) -> Conditions {
        let total = self.total_requests(stats, sender, now);
        let pace = self.pace(now);
        let slot_wait = stats.service_time().as_secs_f64() * (self.rounds(total) - 1.0);
        let Some(memory) = self.endpoint.memory else {
            let first_event = stats.service_time().as_secs_f64() + slot_wait;
            return Conditions {
                first_event: pace.duration(first_event),
                prefill: 0.0,
                uncached: 0.0,
                events: 0.0,
                running: total,
                slowdown: 1.0,
            };
        };
        let prefill = (uncached + query.work.suffix).get() as f64;
        let queued = self.backlog(stats, sender, now).get() as f64 + prefill;
        let reserved = self.reserved_memory(&query.work, sender, total, now);
        let preemption = self.preemption_delay(reserved, memory, query.urgent, total);
        let slowdown = self.slowdown(profile);
        // The model of the first event already includes the mean slowdown.
        let relative_slowdown = slowdown / profile.slowdown;
        let usual = profile.speed.first_event(queued) * relative_slowdown + slot_wait;
        let first_event = pace.duration(usual) + preemption;
        let events = profile.length.events(&query.work.output);
        // The pace decays while the request is queued and prefilled.
        let stream = profile.stream(events, total, slowdown);
        let stream_factor = pace.after(seconds(first_event)).mean_factor(stream);
        Conditions {
            first_event,
            prefill,
            uncached: uncached.get() as f64,
            events,
            running: total,
            slowdown: slowdown * stream_factor,
        }
    }

    /// Returns the number of tokens queued for prefill.
    pub fn backlog(&self, stats: &ServiceStats, sender: &Sender, now: Instant) -> Tokens {
        if let Some(load) = self.peer_load(now) {
            return self.unread_tokens + Tokens::new(load.unread_tokens);
        }
        let (_, others_waiting) = self.peer_requests(stats, sender, now);
        self.unread_tokens + Tokens::new((others_waiting * stats.mean_prefill()) as u64)
    }

    /// Returns the tokens that all running requests and this one will have in memory. Unknown requests of other VMs
    /// are assumed to be like this VM's.
    fn reserved_memory(&self, work: &Work, sender: &Sender, total: f64, now: Instant) -> f64 {
        let own = (self.memory + work.suffix + work.output.likely()).get() as f64;
        match self.peer_load(now) {
            Some(load) => own + load.memory as f64,
            None => {
                let ratio = (total + 1.0) / f64::from(self.running + 1);
                own * f64::from(sender.count()).min(ratio)
            }
        }
    }

    /// Returns the expected delay from preemption, in seconds.
    fn preemption_delay(&self, reserved: f64, memory: Tokens, urgent: bool, total: f64) -> f64 {
        let excess = (reserved / memory.get().max(1) as f64 - 1.0).clamp(0.0, 1.0);
        let probability =
            if urgent { excess } else { excess.max(self.preemption_probability(total)) };
        PREEMPTION.as_secs_f64() * probability
    }

    /// Returns the probability that a request which is not urgent is preempted: zero below the threshold, one if all
    /// slots are in use.
    fn preemption_probability(&self, total: f64) -> f64 {
        let utilization = (total + 1.0) / self.slots();
        ((utilization - PREEMPTION_THRESHOLD) / (1.0 - PREEMPTION_THRESHOLD)).clamp(0.0, 1.0)
    }

    /// Returns the number of requests of all VMs.
    pub fn total_requests(&self, stats: &ServiceStats, sender: &Sender, now: Instant) -> f64 {
        let (others_running, others_waiting) = self.peer_requests(stats, sender, now);
        f64::from(self.running) + others_running + others_waiting
    }

    /// Returns the number of requests for which it has room.
    pub fn capacity(&self, now: Instant) -> u32 {
        self.allowance.capacity(self.slot_count(), now)
    }

    /// Records that it refused a request.
    pub fn record_refusal(&mut self, now: Instant) {
        let others = self.peer_load(now).unwrap_or_default().running;
        let beside = (self.running + others).saturating_sub(1);
        self.allowance.record_refusal(beside, self.slot_count(), now);
    }

    /// Returns how many requests a second it can refuse, as far as is known. One that has not answered since another of its
    /// service stated a limit is taken for one of the same kind.
    pub fn refusal_limit(&self, stats: &ServiceStats, now: Instant) -> Option<Rate> {
        let stated = &self.restrictions.refusal_limit;
        let of_service = stats.refusal_limit(now).filter(|(_, at)| stated.is_unknown_since(*at));
        of_service.map(|(limit, _)| limit).or(stated.rate())
    }

    /// Records that it rejected a request as full, beside so many others. Returns whether that shows its bound: an engine
    /// rejects by its memory, and an upstream with free slots for another reason.
    pub fn record_rejection(&mut self, held: u32, now: Instant) -> bool {
        let is_full = self.endpoint.memory.is_none() && held >= self.slot_count();
        if is_full {
            self.bound.get_or_insert_with(|| Bound::new(held, now)).record_rejection(held, now);
            self.rejection = Some((self.running.saturating_sub(1), now));
        }
        is_full
    }

    /// Returns whether its own rejections have shown its bound.
    pub fn has_bound(&self, now: Instant) -> bool {
        self.bound.is_some_and(|bound| bound.get(now).is_some())
    }

    /// Returns the requests that a plain upstream holds at most; `None` while none of its service has rejected any.
    pub fn bound(&self, stats: &ServiceStats, now: Instant) -> Option<u32> {
        self.bound_by(stats, |bound| bound.get(now))
    }

    /// Returns the bound at the last rejection, which VMs divide among them.
    pub fn confirmed_bound(&self, stats: &ServiceStats, now: Instant) -> Option<u32> {
        self.bound_by(stats, |bound| bound.confirmed(now))
    }

    fn bound_by(
        &self,
        stats: &ServiceStats,
        requests: impl Fn(&Bound) -> Option<u32>,
    ) -> Option<u32> {
        if self.endpoint.memory.is_some() {
            return None;
        }
        let own = self.bound.as_ref().and_then(&requests);
        let of_service = || stats.bound().as_ref().and_then(&requests);
        own.or_else(|| Some(of_service()?.max(self.slot_count())))
    }

    /// Returns how many requests this VM may have there since one of them was rejected, until other VMs are heard again.
    pub fn ceiling_after_rejection(&self, now: Instant) -> Option<u32> {
        let (ceiling, at) = self.rejection?;
        (now.saturating_duration_since(at) < UPDATE_INTERVAL).then_some(ceiling)
    }

    /// Returns this VM's requests when the load from other VMs was received.
    pub const fn running_at_summary(&self) -> u32 {
        self.running_at_summary
    }

    /// Returns what has become of the bound since the last call, if that is much.
    pub fn take_bound_event(&mut self, now: Instant) -> Option<Event> {
        let bound = self.bound.and_then(|bound| bound.get(now));
        let event = match (self.reported_bound, bound) {
            (None, None) => return None,
            (None, Some(bound)) => Event::BoundBegan(bound),
            (Some(_), None) => Event::BoundEnded,
            (Some(before), Some(bound)) if 2 * before.abs_diff(bound) < before => return None,
            (Some(_), Some(bound)) => Event::BoundChanged(bound),
        };
        self.reported_bound = bound;
        Some(event)
    }

    /// Records a request, which the upstream may refuse if no host has granted it room.
    pub fn record_refusal_risk(
        &mut self,
        stats: &ServiceStats,
        (exchange, sender): (&Exchange, &Sender),
        now: Instant,
    ) {
        if exchange.is_lost(now)
            && let Some(limit) = self.refusal_limit(stats, now)
        {
            self.restrictions.refusal_limit.record_sent(limit, self.key, sender, now);
        }
    }

    /// Returns the slots that it announced, which all VMs know alike.
    pub(super) fn slot_count(&self) -> u32 {
        u32::try_from(self.endpoint.slots.get()).unwrap_or(u32::MAX).max(1)
    }

    /// Returns the number of requests that run concurrently, as far as this VM knows.
    pub fn slots(&self) -> f64 {
        self.reported_slots.unwrap_or(self.endpoint.slots).get().max(1) as f64
    }

    /// Returns the expected duration of one more request in multiples of the service time, the wait for a slot
    /// included.
    pub fn rounds(&self, total: f64) -> f64 {
        ((total + 1.0) / self.slots()).max(1.0)
    }

    /// Returns the ratio of the gaps between events to the gaps of the service without prefills.
    fn slowdown(&self, profile: &Profile) -> f64 {
        let measured = self.slowdown.get().unwrap_or(profile.slowdown);
        measured.clamp(profile.slowdown * MIN_SLOWDOWN, profile.slowdown * MAX_SLOWDOWN)
    }

    /// Returns the number of requests that were given up, and that it may still run.
    pub const fn unanswered(&self) -> u32 {
        self.silence.unanswered()
    }

    /// Records the ratio of a gap between events to the one expected for its service.
    pub fn record_slowdown(&mut self, ratio: f64) {
        self.slowdown.add(ratio);
    }

    /// Returns the penalty for failures, as a wait.
    pub fn penalty(&self, now: Instant) -> Duration {
        let others = self.peer_load(now).map_or_else(OutcomeCounts::default, |load| {
            OutcomeCounts { answered: f64::from(load.answered), failed: f64::from(load.failed) }
        });
        self.health.penalty(self.endpoint.memory.is_some(), others, now)
    }

    /// Returns whether the prefix is probably cached.
    pub fn has_cached(&self, prefix: &Prefix) -> bool {
        self.cache.contains(prefix)
    }

    /// Records that the upstream responded.
    pub fn record_response(&mut self, now: Instant) {
        self.heard = Some(now);
        self.forget_silence();
    }

    /// Records that a request was sent, and returns how, if the upstream is cold.
    pub fn record_sent(
        &mut self,
        work: &Work,
        prefill: Tokens,
        memory: Tokens,
        sender: &Sender,
        now: Instant,
    ) -> Option<ColdSend> {
        self.running += 1;
        self.busy_since.get_or_insert(now);
        self.silence.record_sent(now);
        self.unread += 1;
        self.unread_tokens += prefill;
        self.memory += memory;
        let cold_send = self.cold(now).map(|cold| ColdSend {
            vms: sender.count(),
            turn: self.pacer.record_sent(&cold.turns(self.key), sender, now),
            left: cold.until.saturating_duration_since(now),
        });
        self.restrictions.record_sent(self.key, sender, now);
        if let (Some(prefix), Some(memory)) = (work.prefix, self.endpoint.memory) {
            self.cache.record_use(prefix, memory, now);
        }
        cold_send
    }

    /// Records the end of the prefill of a request.
    pub fn record_prefilled(&mut self, prefill: Tokens) {
        self.unread = self.unread.saturating_sub(1);
        self.unread_tokens = self.unread_tokens.saturating_sub(prefill);
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, memory: Tokens, sent_at: Instant, outcome: Outcome, now: Instant) {
        self.running = self.running.saturating_sub(1);
        self.memory = self.memory.saturating_sub(memory);
        if self.running == 0 {
            self.busy_since = None;
        }
        if matches!(outcome, Outcome::Answered | Outcome::Refused | Outcome::Error) {
            self.record_response(now);
        }
        if outcome == Outcome::Unanswered {
            let heard = self.heard.max(self.heard_by_peers(now));
            self.silence.record_unanswered(sent_at, heard, now);
        }
        self.health.record(outcome, now);
    }

    /// Forgets that it could not be connected to.
    pub fn forget_unreachable(&mut self) {
        self.health.forget_unreachable();
        self.forget_silence();
    }

    /// Forgets that it did not answer.
    pub fn forget_silence(&mut self) {
        self.silence = Silence::default();
    }

    /// Returns how long nothing was received from it; `None` if this VM has no requests there that are running or were given up.
    pub fn quiet(&self, now: Instant) -> Option<Duration> {
        let running = (self.running > 0).then(|| self.load(now).quiet);
        running.max(self.silence.duration(now))
    }

    /// Returns how fast it is expected to be.
    pub fn pace(&self, now: Instant) -> Pace {
        self.pace.pace(now)
    }

    /// Returns the pace to tell other VMs of.
    pub fn pace_notice(&self, now: Instant) -> Option<pace::Notice> {
        self.pace.notice(self.key, now)
    }

    /// Records the pace that another VM observed.
    pub fn apply_pace(&mut self, notice: &pace::Notice, now: Instant) {
        self.pace.apply_notice(notice, now);
    }

    /// Records a load report.
    pub fn record_report(&mut self, report: Report, now: Instant) {
        let slots = report.slots.filter(|slots| *slots > Slots::ZERO);
        self.reported_slots = slots.or(self.reported_slots);
        if let Some(pace) = report.pace {
            self.pace.record(pace, now);
        }
        let own_running = self.running.saturating_sub(self.unread);
        self.report = Some(LastReport {
            others_running: report.running.saturating_sub(own_running),
            others_waiting: report.waiting.saturating_sub(self.unread),
            at: now,
        });
    }

    /// Returns the numbers of running and of waiting requests from other VMs.
    ///
    /// Without shared load data, the last report is blended with the mean of the service as it ages: counted requests
    /// end and new ones arrive. A VM that rarely sends to an upstream would otherwise decide by outdated counts.
    fn peer_requests(&self, stats: &ServiceStats, sender: &Sender, now: Instant) -> (f64, f64) {
        if let Some(load) = self.peer_load(now) {
            return (f64::from(load.running - load.unread), f64::from(load.unread));
        }
        let own_running = f64::from(self.running - self.unread);
        let own_waiting = f64::from(self.unread);
        let others = f64::from(sender.count() - 1);
        let (Some(report), Some((running, waiting))) = (&self.report, stats.mean_load()) else {
            // Without a report, the other VMs are assumed to send as much as this one.
            return (others * own_running, others * own_waiting);
        };
        let mean = ((running - own_running).max(0.0), (waiting - own_waiting).max(0.0));
        let age = now.saturating_duration_since(report.at).as_secs_f64();
        let weight = (-age / stats.service_time().max(MIN_REPORT_DECAY).as_secs_f64()).exp();
        let blended = |reported: u32, mean: f64| mean + (f64::from(reported) - mean) * weight;
        (blended(report.others_running, mean.0), blended(report.others_waiting, mean.1))
    }

    /// Sets until when the upstream counts as cold, whatever is known of it.
    pub fn doubt(&mut self, until: Option<Instant>) {
        self.doubted_until = until;
    }

    /// Counts its silence from now on, since this VM has paused and read nothing.
    pub fn forgive_silence(&mut self, now: Instant) {
        self.busy_since = self.busy_since.map(|_| now);
    }

    /// Returns whether it is cold, so that VMs take turns at it.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold(now).is_some()
    }

    fn cold(&self, now: Instant) -> Option<Cold> {
        let known = self.endpoint.cold?;
        let until = self.doubted_until.map_or(known.until, |until| until.max(known.until));
        (now < until).then_some(Cold { until, ..known })
    }
}

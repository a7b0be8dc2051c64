//! One upstream as one VM knows it.

mod region;

use std::time::Duration;

use tokio::time::Instant;

use super::Demand;
use super::Seen;
use super::cache::Cache;
use super::cold::Cold;
use super::cold::Pace;
use super::cold::Share;
use super::cost::Case;
use super::health::Evidence;
use super::health::Health;
use super::health::Outcome;
use super::model::Model;
use super::model::Shared;
use super::model::Usual;
use super::model::Work;
use crate::decide::engine::Quantile;
use crate::decide::engine::Speed;
use crate::decide::sharing::Key;
use crate::decide::sharing::Load;
use crate::unit::Tokens;

/// What a report told of running requests fades within one service time, but no faster than this: reports lag by some
/// hundred milliseconds, and a service whose requests take less has told its load by then.
const FADE: Duration = Duration::from_millis(500);
/// An engine is taken to be slower or faster than its like by these factors at most; one that is slower still is left
/// alone for its failures.
const SLOWEST: f64 = 8.0;
const FASTEST: f64 = 0.25;
/// Memory that is promised beyond what an engine has is paid with preemption: running requests are thrown out and read
/// again, which takes about as long as they have run.
const PREEMPTION: Duration = Duration::from_secs(2);

/// From this share of taken slots on, a request that isn't urgent may be thrown out for one that is: its prompt is read again
/// and again, and urgent requests wait for that.
const CROWDED: f64 = 0.9;

/// What an upstream told of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The requests that generate, of all VMs.
    pub running: u32,
    /// The requests that wait or are being read in, of all VMs.
    pub waiting: u32,
}

/// Whether an upstream holds a shared part that this VM has not sent there itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guess {
    /// All VMs send the part there.
    Holds,
    /// All VMs of the region send it there while its holder elsewhere is behind.
    MayHold,
    /// Nothing speaks for it.
    Unknown,
}

#[derive(Debug)]
struct Told {
    others_running: u32,
    others_waiting: u32,
    at: Instant,
}

/// One upstream as one VM knows it.
#[derive(Debug)]
pub struct Tracked {
    /// What was announced.
    pub seen: Seen,
    key: Key,
    running: u32,
    /// Of the running ones, those whose first event hasn't come.
    unread: u32,
    /// What those have to read.
    unread_tokens: Tokens,
    /// What this VM's running requests keep in memory, shared parts aside.
    memory: Tokens,
    told: Option<Told>,
    /// What the other VMs of the region have there, as its shard's host told, and when.
    others: Option<(Load, Instant)>,
    /// When anything came from it last.
    heard: Option<Instant>,
    /// Since when this VM has had requests there without a gap.
    busy_since: Option<Instant>,
    /// Its pauses, with what it reads in them, against those of the service's engines that read nothing.
    slowness: Quantile,
    health: Health,
    cache: Cache,
    pace: Pace,
}

impl Tracked {
    /// An upstream that has just been heard of.
    pub fn new(seen: Seen) -> Self {
        Self {
            key: Key::new(&seen.id, seen.born),
            seen,
            running: 0,
            unread: 0,
            unread_tokens: Tokens::ZERO,
            memory: Tokens::ZERO,
            told: None,
            others: None,
            heard: None,
            busy_since: None,
            slowness: Quantile::default(),
            health: Health::default(),
            cache: Cache::default(),
            pace: Pace::default(),
        }
    }

    /// Takes what it announces now. Another start knows nothing of before, and neither does this VM of it.
    pub fn update(&mut self, seen: Seen) {
        if seen.born == self.seen.born && seen.address == self.seen.address {
            self.seen = seen;
        } else {
            *self = Self::new(seen);
        }
    }

    /// This VM's requests there.
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Whether it may get a request now.
    pub fn may_take(
        &self,
        speed: &Speed,
        is_last_resort: bool,
        share: Share,
        now: Instant,
    ) -> bool {
        let is_well = !self.seen.silent
            && !self.health.is_away(now)
            && !self.is_unreachable(now)
            && !self.is_dark(speed, now);
        self.seen.open
            && self.running < self.seen.connections
            && (is_well || is_last_resort)
            && self.cold(now).is_none_or(|cold| self.pace.allows(&cold, share, now))
    }

    /// What it has to read of the shared part of a prompt.
    pub fn reads_again(&self, work: &Work, guess: Guess) -> Tokens {
        let Some(shared) = &work.shared else { return Tokens::ZERO };
        match guess {
            _ if self.cache.holds(shared) => Tokens::ZERO,
            Guess::Holds => Tokens::ZERO,
            Guess::MayHold => Tokens::new(shared.tokens.get() / 5 * 4),
            Guess::Unknown => shared.tokens,
        }
    }

    /// How a request would fare there.
    pub fn case(
        &self,
        model: &Model,
        usual: &Usual,
        demand: &Demand<'_>,
        again: Tokens,
        share: Share,
        now: Instant,
    ) -> Case {
        let inside = self.inside(model, share, now);
        let for_slot = model.service_time().as_secs_f64() * (self.rounds(inside) - 1.0);
        let Some(memory) = self.seen.memory else {
            let first = model.service_time().as_secs_f64() + for_slot;
            return Case {
                first,
                reads: 0.0,
                again: 0.0,
                events: 0.0,
                running: inside,
                slowness: 1.0,
            };
        };
        let reads = (again + demand.work.own).get() as f64;
        let before = self.backlog(model, share, now).get() as f64 + reads;
        let promised = self.promised(&demand.work, share, inside, now);
        let thrown_out = self.thrown_out(promised, memory, demand.urgent, inside);
        let slowness = self.slowness(usual);
        // First events were measured at engines that read beside them as a rule.
        let against_others = slowness / usual.slowness;
        Case {
            first: usual.speed.first_event(before) * against_others + for_slot + thrown_out,
            reads,
            again: again.get() as f64,
            events: usual.length.events(&demand.work.output),
            running: inside,
            slowness,
        }
    }

    /// The tokens that it has to read before it gets to another request.
    pub fn backlog(&self, model: &Model, share: Share, now: Instant) -> Tokens {
        if let Some(load) = self.region(now) {
            return self.unread_tokens + Tokens::new(load.unread_tokens);
        }
        let (_, others_waiting) = self.others(model, share, now);
        self.unread_tokens + Tokens::new((others_waiting * model.mean_reads()) as u64)
    }

    /// The tokens that all running requests and this one will have in memory. Where others' are not known, they are taken to
    /// be like the own ones.
    fn promised(&self, work: &Work, share: Share, inside: f64, now: Instant) -> f64 {
        let own = (self.memory + work.own + work.output.likely()).get() as f64;
        match self.region(now) {
            Some(load) => own + load.memory as f64,
            None => {
                let alike = (inside + 1.0) / f64::from(self.running + 1);
                own * f64::from(share.senders()).min(alike)
            }
        }
    }

    /// The seconds that a request is expected to lose because it is thrown out and read again.
    fn thrown_out(&self, promised: f64, memory: Tokens, urgent: bool, inside: f64) -> f64 {
        let over = (promised / memory.get().max(1) as f64 - 1.0).clamp(0.0, 1.0);
        let chance = if urgent { over } else { over.max(self.crowd(inside)) };
        PREEMPTION.as_secs_f64() * chance
    }

    /// How sure it is that a request which isn't urgent will be thrown out for one that is: not at all while slots are
    /// free for these, surely where all are taken.
    fn crowd(&self, inside: f64) -> f64 {
        let taken = (inside + 1.0) / self.slots();
        ((taken - CROWDED) / (1.0 - CROWDED)).clamp(0.0, 1.0)
    }

    /// The requests of all VMs there.
    pub fn inside(&self, model: &Model, share: Share, now: Instant) -> f64 {
        let (others_running, others_waiting) = self.others(model, share, now);
        f64::from(self.running) + others_running + others_waiting
    }

    /// The requests that it runs at once.
    pub fn slots(&self) -> f64 {
        self.seen.slots.get().max(1) as f64
    }

    /// How many service times pass until one more request has ended: its own, and those of the requests that wait for a
    /// slot before it, where so many requests are there.
    pub fn rounds(&self, inside: f64) -> f64 {
        ((inside + 1.0) / self.slots()).max(1.0)
    }

    /// How much longer its pauses are than those of the service's engines that read nothing.
    fn slowness(&self, usual: &Usual) -> f64 {
        let measured = self.slowness.get().unwrap_or(usual.slowness);
        measured.clamp(usual.slowness * FASTEST, usual.slowness * SLOWEST)
    }

    /// A pause between events was so many times as long as expected of an engine of its service.
    pub fn paced(&mut self, ratio: f64) {
        self.slowness.add(ratio);
    }

    /// What its failures cost, as a wait.
    pub fn penalty(&self, now: Instant) -> Duration {
        let others = self.region(now).map_or_else(Evidence::default, |load| Evidence {
            answered: f64::from(load.answered),
            failed: f64::from(load.failed),
        });
        self.health.penalty(self.seen.memory.is_some(), others, now)
    }

    /// Whether it is known to hold the part.
    pub fn holds(&self, shared: &Shared) -> bool {
        self.cache.holds(shared)
    }

    /// Something came from it.
    pub fn heard(&mut self, now: Instant) {
        self.heard = Some(now);
    }

    /// A request goes there.
    pub fn sent(&mut self, work: &Work, reads: Tokens, memory: Tokens, share: Share, now: Instant) {
        self.running += 1;
        self.busy_since.get_or_insert(now);
        self.unread += 1;
        self.unread_tokens += reads;
        self.memory += memory;
        if let Some(cold) = self.cold(now) {
            self.pace.went(&cold, share, now);
        }
        if let (Some(shared), Some(memory)) = (work.shared, self.seen.memory) {
            self.cache.used(shared, memory, now);
        }
    }

    /// A request has nothing more to read.
    pub fn unread(&mut self, reads: Tokens) {
        self.unread = self.unread.saturating_sub(1);
        self.unread_tokens = self.unread_tokens.saturating_sub(reads);
    }

    /// A request ended.
    pub fn ended(&mut self, memory: Tokens, outcome: Outcome, now: Instant) {
        self.running = self.running.saturating_sub(1);
        self.memory = self.memory.saturating_sub(memory);
        if self.running == 0 {
            self.busy_since = None;
        }
        if matches!(outcome, Outcome::Answered | Outcome::Refused | Outcome::Error) {
            self.heard(now);
        }
        self.health.take(outcome, now);
    }

    /// It told its load.
    pub fn reported(&mut self, report: Report, now: Instant) {
        let own_running = self.running.saturating_sub(self.unread);
        self.told = Some(Told {
            others_running: report.running.saturating_sub(own_running),
            others_waiting: report.waiting.saturating_sub(self.unread),
            at: now,
        });
    }

    /// The other VMs' requests there: those that generate, and those that wait or are being read in.
    ///
    /// Of the requests that a report counted, a part has ended since; others have come, about as many as in the service's
    /// other engines. A VM that sends an engine one request in ten seconds hears of it as seldom: if it took old counts for
    /// new ones, or its own request for one of each VM's, it would choose among loads that are not there.
    fn others(&self, model: &Model, share: Share, now: Instant) -> (f64, f64) {
        if let Some(load) = self.region(now) {
            return (f64::from(load.running - load.unread), f64::from(load.unread));
        }
        let own_running = f64::from(self.running - self.unread);
        let own_waiting = f64::from(self.unread);
        let others = f64::from(share.senders() - 1);
        let (Some(told), Some((running, waiting))) = (&self.told, model.usual_load()) else {
            // Nothing was heard of it: the other VMs are taken to send it as much as this one.
            return (others * own_running, others * own_waiting);
        };
        let usual = ((running - own_running).max(0.0), (waiting - own_waiting).max(0.0));
        let age = now.saturating_duration_since(told.at).as_secs_f64();
        let fresh = (-age / model.service_time().max(FADE).as_secs_f64()).exp();
        let faded = |told: u32, usual: f64| usual + (f64::from(told) - usual) * fresh;
        (faded(told.others_running, usual.0), faded(told.others_waiting, usual.1))
    }

    fn cold(&self, now: Instant) -> Option<Cold> {
        self.seen.cold.filter(|cold| now < cold.until)
    }
}

//! One upstream as one VM knows it.

use std::time::Duration;

use tokio::time::Instant;

use super::Demand;
use super::Seen;
use super::cache::Cache;
use super::cold::Cold;
use super::cold::Pace;
use super::cold::Share;
use super::health::Health;
use super::health::Outcome;
use super::model::Model;
use super::model::READS_PER_SECOND;
use super::model::Work;
use super::model::read_time;
use crate::decide::route::Ewma;
use crate::unit::Tokens;

/// The reads of a request must be so many tokens at least to measure by: what else happens in an engine takes tens of
/// milliseconds, which is a tenth of what these take.
const MEASURED_FROM: Tokens = Tokens::new(8_000);
/// From a request's arrival at an idle engine to its first event, besides the reading of its prompt.
const FIRST_EVENT: Duration = Duration::from_millis(50);
/// Each running request makes the steps of all others a little longer; it also decides between engines that are
/// otherwise alike.
const PER_RUNNING: Duration = Duration::from_millis(1);
/// A load report is used for so long; then the other VMs are taken to send as much as this one.
const REPORT_TIME: Duration = Duration::from_secs(2);
/// Memory that is promised beyond what an engine has is paid with preemption: running requests are thrown out and read
/// again, which takes about as long as they have run.
const PREEMPTION: Duration = Duration::from_secs(2);

/// From this share of taken slots on, a request that isn't urgent may be thrown out for one that is. Where engines of
/// sixteen slots were filled with prompts of 17,000 tokens, these were thrown out four thousand times in half a minute; kept
/// away from full engines, half as often, and urgent requests were served in 94 of 100 cases instead of 87.
const CROWDED: f64 = 0.9;

/// What reading a shared part again costs all others, against the time that it takes, at an idle engine: another part yields
/// its memory.
const AGAIN_IDLE: f64 = 1.0;
/// The same where all slots are taken: all that run there wait meanwhile. With this and two engines that may hold a part,
/// a quarter fewer tokens were read again under a load of twice the usual one.
const AGAIN_FULL: f64 = 30.0;

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
    running: u32,
    /// Of the running ones, those whose first event hasn't come.
    unread: u32,
    /// What those have to read.
    unread_tokens: Tokens,
    /// What this VM's running requests keep in memory, shared parts aside.
    memory: Tokens,
    told: Option<Told>,
    rate: Ewma,
    health: Health,
    cache: Cache,
    pace: Pace,
}

impl Tracked {
    /// An upstream that has just been heard of.
    pub fn new(seen: Seen) -> Self {
        Self {
            seen,
            running: 0,
            unread: 0,
            unread_tokens: Tokens::ZERO,
            memory: Tokens::ZERO,
            told: None,
            rate: Ewma::default(),
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
    pub fn may_take(&self, is_last_resort: bool, share: Share, now: Instant) -> bool {
        let is_well = !self.seen.silent && !self.health.is_away(now);
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

    /// The expected time to the first event of a request.
    pub fn first_event(
        &self,
        model: &Model,
        demand: &Demand<'_>,
        reads: Tokens,
        share: Share,
        now: Instant,
    ) -> Duration {
        let work = &demand.work;
        let (_, others_waiting) = self.others(share, now);
        let inside = self.inside(share, now);
        let for_slot = model.service_time().mul_f64(self.rounds(share, now) - 1.0);
        let Some(memory) = self.seen.memory else {
            return model.service_time() + for_slot;
        };
        let backlog =
            self.unread_tokens.get() as f64 + f64::from(others_waiting) * model.mean_reads();
        let rate = self.rate.get().unwrap_or(READS_PER_SECOND);
        let reading = Duration::from_secs_f64((backlog + reads.get() as f64) / rate);
        let promised = (self.memory + work.own + work.output).get() as f64
            * f64::from(share.senders()).min(f64::from(inside + 1) / f64::from(self.running + 1));
        let over = (promised / memory.get().max(1) as f64 - 1.0).clamp(0.0, 1.0);
        let thrown_out = if demand.urgent { over } else { over.max(self.crowd(share, now)) };
        FIRST_EVENT + reading + for_slot + PER_RUNNING * inside + PREEMPTION.mul_f64(thrown_out)
    }

    /// What reading a shared part again there costs all others, against the time that it takes.
    pub fn again(&self, share: Share, now: Instant) -> f64 {
        AGAIN_IDLE + (AGAIN_FULL - AGAIN_IDLE) * self.taken(share, now)
    }

    /// The share of its slots that is taken.
    pub fn taken(&self, share: Share, now: Instant) -> f64 {
        (f64::from(self.inside(share, now)) / self.slots()).min(1.0)
    }

    /// How sure it is that a request which isn't urgent will be thrown out for one that is: not at all while slots are
    /// free for these, surely where all are taken.
    fn crowd(&self, share: Share, now: Instant) -> f64 {
        let taken = f64::from(self.inside(share, now) + 1) / self.slots();
        ((taken - CROWDED) / (1.0 - CROWDED)).clamp(0.0, 1.0)
    }

    /// The requests of all VMs there.
    fn inside(&self, share: Share, now: Instant) -> u32 {
        let (others_running, others_waiting) = self.others(share, now);
        self.running + others_running + others_waiting
    }

    fn slots(&self) -> f64 {
        self.seen.slots.get().max(1) as f64
    }

    /// How many service times pass until one more request has ended: its own, and those of the requests that wait for a
    /// slot before it.
    pub fn rounds(&self, share: Share, now: Instant) -> f64 {
        (f64::from(self.inside(share, now) + 1) / self.slots()).max(1.0)
    }

    /// What its failures cost, as a wait.
    pub fn penalty(&self, now: Instant) -> Duration {
        self.health.penalty(now)
    }

    /// A request goes there.
    pub fn sent(&mut self, work: &Work, reads: Tokens, memory: Tokens, share: Share, now: Instant) {
        self.running += 1;
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

    /// A request's first event came after that time.
    pub fn began(&mut self, reads: Tokens, took: Duration, expected: Duration) {
        // Only a request that found the engine idle shows how fast it reads.
        let is_alone = self.unread == 1 && expected < FIRST_EVENT * 2 + read_time(reads);
        let reading = took.saturating_sub(FIRST_EVENT).as_secs_f64();
        if is_alone && reads >= MEASURED_FROM && reading > 0.0 {
            let rate = reads.get() as f64 / reading;
            self.rate.add(rate.clamp(READS_PER_SECOND / 8.0, READS_PER_SECOND * 4.0));
        }
        self.unread(reads);
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
    fn others(&self, share: Share, now: Instant) -> (u32, u32) {
        let others = share.senders() - 1;
        let fresh =
            self.told.as_ref().filter(|told| now.saturating_duration_since(told.at) < REPORT_TIME);
        match fresh {
            Some(told) => (told.others_running, told.others_waiting),
            None => (others * (self.running - self.unread), others * self.unread),
        }
    }

    fn cold(&self, now: Instant) -> Option<Cold> {
        self.seen.cold.filter(|cold| now < cold.until)
    }
}

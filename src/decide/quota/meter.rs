//! One VM's count of what organisations ask for, and the decision on each request.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::ACTIVE;
use super::Count;
use super::GIVEN;
use super::Key;
use super::Part;
use crate::decide::sharing::SHARDS;
use crate::routing::organisation::Allowance;

/// What a host said counts for so long, and that it said nothing of an organisation does too.
const FRESH: Duration = Duration::from_millis(1000);

/// A part that a host told is kept for so long where no host answers any more. A VM that is cut off for longer takes no more
/// keys where organisations can be limited strictly, and its share is small elsewhere.
const HELD: Duration = Duration::from_secs(6);

/// A VM that hears no host takes so many even shares: callers don't spread evenly, and few VMs are without a host at a time.
const ALONE_SHARES: f64 = 4.0;

/// The soonest and the latest that a caller beyond its allowance is told to come back.
const SOONEST: Duration = Duration::from_millis(300);
const LATEST: Duration = Duration::from_secs(2);

/// One organisation at this VM.
#[derive(Debug)]
struct Entry {
    count: Count,
    last: Instant,
    part: Option<(Part, Instant)>,
    /// What is left of each lane's part: a request is let through whenever it reaches one.
    credits: HashMap<u64, f64>,
    /// What this VM may let through while it hears no host, in units.
    alone: f64,
    /// What is left of the whole allowance if no other VM let anything through, in units.
    whole: f64,
    refilled: Instant,
}

/// All organisations that asked this VM lately.
#[derive(Debug)]
pub struct Meter {
    rng: SmallRng,
    /// The VMs that organisations may ask, this one among them.
    vms: u32,
    /// Units that are let through beyond an allowance.
    slack: f64,
    entries: HashMap<Key, Entry>,
    /// When the host of each shard answered last.
    heard: [Option<Instant>; SHARDS as usize],
}

impl Meter {
    /// A meter of a VM that knows of no other one. An organisation's requests may exceed its allowance by `slack` units in any
    /// span of some seconds.
    pub fn new(rng: SmallRng, slack: f64) -> Self {
        let slack = slack * GIVEN;
        Self { rng, vms: 1, slack, entries: HashMap::new(), heard: [None; SHARDS as usize] }
    }

    /// There are so many VMs, this one among them.
    pub fn set_vms(&mut self, vms: u32) {
        self.vms = vms.max(1);
    }

    /// Decides on a request of that cost. Requests of a lane compete with each other alone, so that each kind of request gets
    /// the same part. If it is refused, its caller should come back after the time that is returned.
    pub fn admit(
        &mut self,
        key: Key,
        allowance: &Allowance,
        (cost, lane): (u64, u64),
        now: Instant,
    ) -> Result<(), Duration> {
        let share = (ALONE_SHARES / f64::from(self.vms)).min(1.0);
        let alone_most = allowance.burst.max(allowance.rate.get()) * share;
        let whole_most = allowance.burst + self.slack;
        let heard = self.heard[usize::from(key.shard())];
        let entry = self.entries.entry(key).or_insert_with(|| Entry {
            count: Count::default(),
            last: now,
            part: None,
            credits: HashMap::new(),
            alone: alone_most,
            whole: whole_most,
            refilled: now,
        });
        entry.last = now;
        entry.count.asked = entry.count.asked.saturating_add(cost);
        let is_fresh = heard.is_some_and(|at| now.saturating_duration_since(at) < FRESH);
        let earned = allowance.rate.over(now.saturating_duration_since(entry.refilled));
        entry.alone = (entry.alone + earned * share).min(alone_most);
        entry.whole = (entry.whole + earned).min(whole_most);
        entry.refilled = now;
        let is_let_through = match entry.part(now) {
            _ if entry.whole <= 0.0 => false,
            Some(part) => {
                let first = self.rng.random::<f64>();
                let credit = entry.credits.entry(lane).or_insert(first);
                *credit += part.get();
                let is_due = *credit >= 1.0;
                *credit -= f64::from(u8::from(is_due));
                is_due
            }
            None => is_fresh || entry.alone > 0.0,
        };
        if !is_let_through {
            return Err(entry.comes_back(now));
        }
        entry.alone -= cost as f64;
        entry.whole -= cost as f64;
        entry.count.passed = entry.count.passed.saturating_add(cost);
        Ok(())
    }

    /// A request that was let through has surely not run.
    pub fn give_back(&mut self, key: Key, cost: u64) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.count.passed = entry.count.passed.saturating_sub(cost);
            entry.alone += cost as f64;
            entry.whole += cost as f64;
        }
    }

    /// What the host of a shard is told.
    pub fn counts(&mut self, shard: u8, now: Instant) -> Vec<(Key, Count)> {
        let is_active =
            |entry: &Entry| now.saturating_duration_since(entry.last) < ACTIVE.max(HELD);
        // A count starts anew where it is forgotten, which a host takes for nothing new.
        self.entries.retain(|_, entry| is_active(entry));
        let of_shard = self.entries.iter().filter(|(key, _)| key.shard() == shard);
        let active =
            of_shard.filter(|(_, entry)| now.saturating_duration_since(entry.last) < ACTIVE);
        active.map(|(key, entry)| (*key, entry.count)).collect()
    }

    /// The host of a shard told the parts of organisations that are limited; the others are not.
    pub fn told(&mut self, shard: u8, parts: &[(Key, Part)], now: Instant) {
        let Some(heard) = self.heard.get_mut(usize::from(shard)) else { return };
        *heard = Some(now);
        let of_shard = self.entries.iter_mut().filter(|(key, _)| key.shard() == shard);
        for (key, entry) in of_shard {
            let part = parts.iter().find(|(told, _)| told == key);
            entry.part = part.map(|(_, part)| (*part, now));
            if part.is_none() {
                entry.credits.clear();
            }
        }
    }
}

impl Entry {
    /// The part in force; none where the organisation isn't limited as far as is known.
    fn part(&self, now: Instant) -> Option<Part> {
        let (part, at) = self.part?;
        (now.saturating_duration_since(at) < HELD).then_some(part)
    }

    fn comes_back(&self, now: Instant) -> Duration {
        let part = self.part(now).map_or(1.0, Part::get).max(0.01);
        SOONEST.div_f64(part).clamp(SOONEST, LATEST)
    }
}

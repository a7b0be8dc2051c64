//! One VM's count of what organisations ask for, and the decision on each request.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::ACTIVE;
use super::Count;
use super::Excess;
use super::Key;
use super::Lane;
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

/// One lane of an organisation at this VM.
#[derive(Debug, Default)]
struct Counted {
    count: Count,
    /// What is left of the part: a request is let through whenever it reaches one.
    credit: f64,
}

/// One organisation at this VM.
#[derive(Debug)]
struct Entry {
    lanes: HashMap<Lane, Counted>,
    last: Instant,
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
    excess: Excess,
    entries: HashMap<Key, Entry>,
    /// The lanes that are limited, and when that was told. A lane may be limited that this VM has not seen yet.
    parts: HashMap<Lane, (Part, Instant)>,
    /// When the host of each shard answered last.
    heard: [Option<Instant>; SHARDS as usize],
}

impl Meter {
    /// A meter of a VM that knows of no other one.
    pub fn new(rng: SmallRng, excess: Excess) -> Self {
        let (entries, parts) = (HashMap::new(), HashMap::new());
        Self { rng, vms: 1, excess, entries, parts, heard: [None; SHARDS as usize] }
    }

    /// There are so many VMs, this one among them.
    pub fn set_vms(&mut self, vms: u32) {
        self.vms = vms.max(1);
    }

    /// Decides on a request of that cost. If it is refused, its caller should come back after the time that is returned.
    pub fn admit(
        &mut self,
        key: Key,
        allowance: &Allowance,
        cost: u64,
        now: Instant,
    ) -> Result<(), Duration> {
        let allowance = self.excess.give(allowance);
        let share = (ALONE_SHARES / f64::from(self.vms)).min(1.0);
        let alone_most = allowance.burst.max(allowance.rate.get()) * share;
        let part = self.part(Lane::new(key, cost), now);
        let heard = self.heard[usize::from(key.shard())];
        let is_fresh = heard.is_some_and(|at| now.saturating_duration_since(at) < FRESH);
        let entry = self.entries.entry(key).or_insert_with(|| Entry {
            lanes: HashMap::new(),
            last: now,
            alone: alone_most,
            whole: allowance.burst,
            refilled: now,
        });
        let earned = allowance.rate.over(now.saturating_duration_since(entry.refilled));
        entry.alone = (entry.alone + earned * share).min(alone_most);
        entry.whole = (entry.whole + earned).min(allowance.burst);
        (entry.last, entry.refilled) = (now, now);
        let has_room = entry.whole > 0.0;
        let may_alone = is_fresh || entry.alone > 0.0;
        let lane = entry.lanes.entry(Lane::new(key, cost)).or_default();
        lane.count.asked = lane.count.asked.saturating_add(cost);
        let is_let_through = match part {
            _ if !has_room => false,
            Some(part) => lane.draw(part, &mut self.rng),
            None => may_alone,
        };
        if !is_let_through {
            return Err(comes_back(part));
        }
        lane.count.passed = lane.count.passed.saturating_add(cost);
        entry.alone -= cost as f64;
        entry.whole -= cost as f64;
        Ok(())
    }

    /// A request that was let through has surely not run.
    pub fn give_back(&mut self, key: Key, cost: u64) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let Some(lane) = entry.lanes.get_mut(&Lane::new(key, cost)) else { return };
        lane.count.passed = lane.count.passed.saturating_sub(cost);
        entry.alone += cost as f64;
        entry.whole += cost as f64;
    }

    /// What the host of a shard is told.
    pub fn counts(&mut self, shard: u8, now: Instant) -> Vec<(Lane, Count)> {
        let is_within =
            |entry: &Entry, span: Duration| now.saturating_duration_since(entry.last) < span;
        // A count starts anew where it is forgotten, which a host takes for nothing new.
        self.entries.retain(|_, entry| is_within(entry, HELD));
        let of_shard = self.entries.iter().filter(|(key, _)| key.shard() == shard);
        let active = of_shard.filter(|(_, entry)| is_within(entry, ACTIVE));
        let lanes = active.flat_map(|(_, entry)| &entry.lanes);
        lanes.map(|(lane, counted)| (*lane, counted.count)).collect()
    }

    /// The host of a shard told the parts of lanes that are limited; the others are not.
    pub fn told(&mut self, shard: u8, parts: &[(Lane, Part)], now: Instant) {
        let Some(heard) = self.heard.get_mut(usize::from(shard)) else { return };
        *heard = Some(now);
        self.parts.retain(|lane, _| lane.shard() != shard);
        self.parts.extend(parts.iter().map(|(lane, part)| (*lane, (*part, now))));
    }

    /// The part of a lane in force; none where it isn't limited as far as is known.
    fn part(&self, lane: Lane, now: Instant) -> Option<Part> {
        let (part, at) = self.parts.get(&lane)?;
        (now.saturating_duration_since(*at) < HELD).then_some(*part)
    }
}

fn comes_back(part: Option<Part>) -> Duration {
    let part = part.map_or(1.0, Part::get).max(0.01);
    SOONEST.div_f64(part).clamp(SOONEST, LATEST)
}

impl Counted {
    /// Whether the next request belongs to the part.
    fn draw(&mut self, part: Part, rng: &mut SmallRng) -> bool {
        if self.credit == 0.0 {
            // VMs that begin at the same moment must not all let their first request through.
            self.credit = rng.random();
        }
        self.credit += part.get();
        let is_due = self.credit >= 1.0;
        self.credit -= f64::from(u8::from(is_due));
        is_due
    }
}

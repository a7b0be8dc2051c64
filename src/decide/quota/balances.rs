//! A host's balances of organisations over all regions.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use super::ACTIVE;
use super::Count;
use super::GIVEN;
use super::Key;
use super::Part;
use super::flow::Flow;
use crate::decide::sharing::SHARDS;
use crate::id;
use crate::routing::organisation::Allowance;

/// A balance that differs from zero is made up for within this: longer than what is known is old, or the part would swing.
const SETTLED: Duration = Duration::from_secs(1);

/// A region that says nothing is taken to let as much through as before, for so long.
const ASSUMED: Duration = Duration::from_secs(6);

/// The organisations of a message at most.
const MOST: usize = 1000;

/// What a region's VMs have counted, as its host tells those of other regions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// The shard.
    #[serde(rename = "s")]
    pub shard: u8,
    /// Tells one start of the host from another.
    #[serde(rename = "b")]
    pub start: u64,
    /// Counts the messages of that start.
    #[serde(rename = "n")]
    pub number: u64,
    /// The counts since that start, of organisations that ask for anything.
    #[serde(rename = "c")]
    pub counts: Vec<(Key, Count)>,
}

impl Totals {
    /// Whether a host can have sent it.
    pub fn is_sound(&self) -> bool {
        self.counts.len() <= MOST && self.counts.iter().all(|(key, _)| key.shard() == self.shard)
    }
}

/// What one source, a VM or another region, has told.
#[derive(Debug, Default)]
struct Source {
    start: u64,
    number: u64,
    counts: HashMap<Key, Count>,
}

impl Source {
    /// What is new in a statement; none where it is overtaken. Of a start that is first heard of, nothing is known to be new.
    fn take(
        &mut self,
        (start, number): (u64, u64),
        counts: &[(Key, Count)],
    ) -> Option<Vec<(Key, Step)>> {
        let is_known = self.start == start;
        if is_known && number <= self.number {
            return None;
        }
        if !is_known {
            self.counts.clear();
        }
        (self.start, self.number) = (start, number);
        let mut steps = Vec::with_capacity(counts.len());
        for (key, count) in counts {
            let before = self.counts.insert(*key, *count);
            let base = match before {
                // A count that starts anew, where a source has forgotten it.
                Some(before) if before.asked <= count.asked => before,
                Some(_) => Count::default(),
                None if is_known => Count::default(),
                None => *count,
            };
            steps.push((*key, Step::between(base, *count)));
        }
        Some(steps)
    }
}

/// What came between two statements.
#[derive(Debug, Clone, Copy)]
struct Step {
    asked: f64,
    passed: f64,
}

impl Step {
    fn between(before: Count, after: Count) -> Self {
        Self {
            asked: after.asked.saturating_sub(before.asked) as f64,
            passed: after.passed as f64 - before.passed as f64,
        }
    }
}

/// One organisation in another region.
#[derive(Debug)]
struct There {
    asked: Flow,
    passed: Flow,
    /// When the region's host told anything of the shard.
    heard: Instant,
    /// What was let through there and is not yet taken off the balance; negative where more was assumed.
    due: f64,
}

/// One organisation.
#[derive(Debug)]
struct Balance {
    /// What its allowance has earned less what was let through.
    level: f64,
    at: Instant,
    last: Instant,
    asked: Flow,
    /// This region's counts since the host's start.
    count: Count,
    there: BTreeMap<id::Region, There>,
}

/// The balances that a VM keeps as a host.
#[derive(Debug)]
pub struct Balances {
    start: u64,
    number: u64,
    /// Units that are let through beyond the allowances, so that what is only a little too much is not refused.
    slack: f64,
    allowances: HashMap<Key, Allowance>,
    vms: HashMap<(id::Vm, u8), Source>,
    /// Hosts of other regions, each with the shard that it told of.
    abroad: HashMap<(id::Vm, u8), Source>,
    /// When a VM of this region told anything of each shard.
    told: [Option<Instant>; SHARDS as usize],
    balances: HashMap<Key, Balance>,
}

impl Balances {
    /// A host that has heard nothing; `start` tells it from its starts before. An organisation's requests may exceed its
    /// allowance by `slack` units in any span of some seconds.
    pub fn new(start: u64, slack: f64) -> Self {
        let slack = slack * GIVEN;
        Self {
            start,
            number: 0,
            slack,
            allowances: HashMap::new(),
            vms: HashMap::new(),
            abroad: HashMap::new(),
            told: [None; SHARDS as usize],
            balances: HashMap::new(),
        }
    }

    /// Takes in what organisations may ask for.
    pub fn set_allowances(&mut self, allowances: HashMap<Key, Allowance>) {
        self.balances.retain(|key, _| allowances.contains_key(key));
        self.allowances = allowances;
    }

    /// A VM of this region tells its counts.
    pub fn take(
        &mut self,
        (vm, shard): (&id::Vm, u8),
        version: (u64, u64),
        counts: &[(Key, Count)],
        now: Instant,
    ) {
        let Some(told) = self.told.get_mut(usize::from(shard)) else { return };
        *told = Some(now);
        let source = self.vms.entry((vm.clone(), shard)).or_default();
        // A host that takes over doesn't know how much of a VM's count its predecessor knew.
        for (key, step) in source.take(version, counts).unwrap_or_default() {
            let Some(balance) = self.balance(key, now) else { continue };
            balance.asked.add(step.asked, now);
            balance.level -= step.passed;
            balance.last = now;
            balance.count.asked = balance.count.asked.saturating_add(step.asked as u64);
            balance.count.passed = balance.count.passed.saturating_add_signed(step.passed as i64);
        }
    }

    /// The host of another region tells its sums.
    pub fn take_totals(
        &mut self,
        (host, region): (&id::Vm, &id::Region),
        totals: &Totals,
        now: Instant,
    ) {
        let source = self.abroad.entry((host.clone(), totals.shard)).or_default();
        let Some(steps) = source.take((totals.start, totals.number), &totals.counts) else {
            return;
        };
        let of_shard = self.balances.iter_mut().filter(|(key, _)| key.shard() == totals.shard);
        for there in of_shard.filter_map(|(_, balance)| balance.there.get_mut(region)) {
            there.heard = now;
        }
        for (key, step) in steps {
            let Some(balance) = self.balance(key, now) else { continue };
            balance.last = now;
            balance.there(region, now).heard(step, now);
        }
    }

    /// What the hosts of other regions are told of a shard, also that nothing is asked for any more; none where no VM of this
    /// region tells this one.
    ///
    /// Failure: a VM that was told as the next in line to host a shard tells on what it knows, which is nothing, and its
    /// empty sums replace those of the host.
    pub fn totals(&mut self, shard: u8, now: Instant) -> Option<Totals> {
        self.balances.retain(|_, balance| now.saturating_duration_since(balance.last) < ASSUMED);
        let told = (*self.told.get(usize::from(shard))?)?;
        if now.saturating_duration_since(told) >= ASSUMED {
            return None;
        }
        let of_shard = self.balances.iter().filter(|(key, _)| key.shard() == shard);
        let active = of_shard.filter(|(_, balance)| balance.is_active(now));
        let counts = active.map(|(key, balance)| (*key, balance.count)).take(MOST).collect();
        self.number += 1;
        Some(Totals { shard, start: self.start, number: self.number, counts })
    }

    /// The parts of the organisations of a shard that are limited.
    pub fn parts(&mut self, shard: u8, now: Instant) -> Vec<(Key, Part)> {
        let slack = self.slack;
        let of_shard = self.balances.iter_mut().filter(|(key, _)| key.shard() == shard);
        let parts = of_shard.filter_map(|(key, balance)| {
            let part = balance.part(self.allowances.get(key)?, slack, now);
            (part < Part::WHOLE).then_some((*key, part))
        });
        parts.collect()
    }

    fn balance(&mut self, key: Key, now: Instant) -> Option<&mut Balance> {
        let allowance = self.allowances.get(&key)?;
        let balance = self.balances.entry(key).or_insert_with(|| Balance::new(self.slack, now));
        balance.earn(allowance, self.slack, now);
        Some(balance)
    }
}

impl Balance {
    /// What was let through before isn't known, so nothing but the slack is there.
    fn new(slack: f64, now: Instant) -> Self {
        Self {
            level: slack,
            at: now,
            last: now,
            asked: Flow::new(now),
            count: Count::default(),
            there: BTreeMap::new(),
        }
    }

    fn is_active(&self, now: Instant) -> bool {
        self.asked.rate(now) > 0.0 && now.saturating_duration_since(self.last) < ACTIVE
    }

    fn there(&mut self, region: &id::Region, now: Instant) -> &mut There {
        self.there.entry(region.clone()).or_insert_with(|| There {
            asked: Flow::new(now),
            passed: Flow::new(now),
            heard: now,
            due: 0.0,
        })
    }

    /// Takes in what the allowance has earned, and what other regions have told, or are taken to have let through.
    fn earn(&mut self, allowance: &Allowance, slack: f64, now: Instant) {
        let span = now.saturating_duration_since(self.at);
        self.at = now;
        self.level += allowance.rate.over(span);
        for there in self.there.values_mut() {
            self.level -= there.settle(span, now);
        }
        self.level = self.level.min(allowance.burst + slack);
    }

    fn part(&mut self, allowance: &Allowance, slack: f64, now: Instant) -> Part {
        self.earn(allowance, slack, now);
        let there: f64 = self.there.values().map(|there| there.asked_now(now)).sum();
        let asked = self.asked.rate(now) + there;
        let allowed = allowance.rate.get() + self.level / SETTLED.as_secs_f64();
        if asked <= allowed { Part::WHOLE } else { Part::new(allowed / asked) }
    }
}

/// A region's totals are a round and a trip old; after this it is taken to be silent.
const QUIET: Duration = Duration::from_millis(500);

impl There {
    fn heard(&mut self, step: Step, now: Instant) {
        self.asked.add(step.asked, now);
        self.passed.add(step.passed, now);
        self.due += step.passed;
    }

    /// Whether the region is cut off, as far as is known, and may go on as before.
    fn is_silent(&self, now: Instant) -> bool {
        (QUIET..ASSUMED).contains(&now.saturating_duration_since(self.heard))
    }

    /// What is taken off the balance: what was told, and what is assumed while nothing is.
    fn settle(&mut self, span: Duration, now: Instant) -> f64 {
        if self.is_silent(now) {
            let assumed = self.passed.last().max(0.0) * span.as_secs_f64();
            self.due -= assumed;
            return assumed;
        }
        std::mem::take(&mut self.due)
    }

    fn asked_now(&self, now: Instant) -> f64 {
        if self.is_silent(now) { self.asked.last() } else { self.asked.rate(now) }
    }
}

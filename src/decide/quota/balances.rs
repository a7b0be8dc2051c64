//! A host's balances of organisations over all regions.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use super::ACTIVE;
use super::Count;
use super::Excess;
use super::GIVEN;
use super::Key;
use super::Lane;
use super::Part;
use super::flow::Flow;
use crate::decide::sharing::SHARDS;
use crate::decide::sharing::UPDATE_INTERVAL;
use crate::decide::sharing::UPDATE_TTL;
use crate::decide::sharing::hosts::MAX_UNANSWERED;
use crate::id;
use crate::routing::organisation::Allowance;

/// A balance that differs from zero is made up for within this: longer than what is known is old, or the part would swing.
const SETTLED: Duration = Duration::from_secs(1);

/// A host that VMs have told for a shorter time doesn't know yet who asks for too much.
const LEARNING: Duration = Duration::from_secs(1);

/// What VMs let through between the last word to one host and the first to the next isn't counted by either.
const UNSEEN: Duration = UPDATE_INTERVAL.saturating_mul(MAX_UNANSWERED as u32);

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
    /// The counts since that start, of lanes in which anything is asked for.
    #[serde(rename = "c")]
    pub counts: Vec<(Lane, Count)>,
}

impl Totals {
    /// Whether a host can have sent it.
    pub fn is_sound(&self) -> bool {
        self.counts.len() <= MOST && self.counts.iter().all(|(lane, _)| lane.shard() == self.shard)
    }
}

/// What one source, a VM or another region, has told.
#[derive(Debug, Default)]
struct Source {
    start: u64,
    number: u64,
    counts: HashMap<Lane, Count>,
}

impl Source {
    /// What is new in a statement; none where it is overtaken. Of a start that is first heard of, nothing is known to be new.
    fn take(
        &mut self,
        (start, number): (u64, u64),
        counts: &[(Lane, Count)],
    ) -> Option<Vec<(Lane, Step)>> {
        let is_known = self.start == start;
        if is_known && number <= self.number {
            return None;
        }
        if !is_known {
            self.counts.clear();
        }
        (self.start, self.number) = (start, number);
        let mut steps = Vec::with_capacity(counts.len());
        for (lane, count) in counts {
            let before = self.counts.insert(*lane, *count);
            let base = match before {
                // A count that starts anew, where a source has forgotten it.
                Some(before) if before.asked <= count.asked => before,
                Some(_) => Count::default(),
                None if is_known => Count::default(),
                None => *count,
            };
            steps.push((*lane, Step::between(base, *count)));
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
    asked: BTreeMap<Lane, Flow>,
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
    /// What is asked for in this region, and its counts since the host's start.
    here: BTreeMap<Lane, (Flow, Count)>,
    there: BTreeMap<id::Region, There>,
}

/// The balances that a VM keeps as a host.
#[derive(Debug)]
pub struct Balances {
    start: u64,
    number: u64,
    excess: Excess,
    allowances: HashMap<Key, Allowance>,
    vms: HashMap<(id::Vm, u8), Source>,
    /// Hosts of other regions, each with the shard that it told of.
    abroad: HashMap<(id::Vm, u8), Source>,
    /// Since when VMs of this region tell of each shard without a pause, and when one did last.
    told: [Option<(Instant, Instant)>; SHARDS as usize],
    balances: HashMap<Key, Balance>,
}

impl Balances {
    /// A host that has heard nothing; `start` tells it from its starts before.
    pub fn new(start: u64, excess: Excess) -> Self {
        Self {
            start,
            number: 0,
            excess,
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
        let given = allowances.into_iter();
        self.allowances =
            given.map(|(key, allowance)| (key, self.excess.give(&allowance))).collect();
    }

    /// A VM of this region tells its counts.
    pub fn take(
        &mut self,
        (vm, shard): (&id::Vm, u8),
        version: (u64, u64),
        counts: &[(Lane, Count)],
        now: Instant,
    ) {
        let Some(told) = self.told.get_mut(usize::from(shard)) else { return };
        let since = told.filter(|(_, last)| now.saturating_duration_since(*last) < UPDATE_TTL);
        *told = Some((since.map_or(now, |(since, _)| since), now));
        let source = self.vms.entry((vm.clone(), shard)).or_default();
        // A host that takes over doesn't know how much of a VM's count its predecessor knew.
        for (lane, step) in source.take(version, counts).unwrap_or_default() {
            let Some(balance) = self.balance(lane.organisation, now) else { continue };
            balance.level -= step.passed;
            balance.last = now;
            let (asked, count) =
                balance.here.entry(lane).or_insert_with(|| (Flow::new(now), Count::default()));
            asked.add(step.asked, now);
            count.asked = count.asked.saturating_add(step.asked as u64);
            count.passed = count.passed.saturating_add_signed(step.passed as i64);
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
        for (lane, step) in steps {
            let Some(balance) = self.balance(lane.organisation, now) else { continue };
            balance.last = now;
            balance.there(region, now).heard(lane, step, now);
        }
    }

    /// What the hosts of other regions are told of a shard, also that nothing is asked for any more; none where no VM of this
    /// region tells this one.
    ///
    /// Failure: a VM that was told as the next in line to host a shard tells on what it knows, which is nothing, and its
    /// empty sums replace those of the host.
    pub fn totals(&mut self, shard: u8, now: Instant) -> Option<Totals> {
        self.balances.retain(|_, balance| now.saturating_duration_since(balance.last) < ASSUMED);
        let (_, told) = (*self.told.get(usize::from(shard))?)?;
        if now.saturating_duration_since(told) >= ASSUMED {
            return None;
        }
        let of_shard = self.balances.iter().filter(|(key, _)| key.shard() == shard);
        let active = of_shard.filter(|(_, balance)| balance.is_active(now));
        let lanes = active.flat_map(|(_, balance)| &balance.here);
        let counts = lanes.map(|(lane, (_, count))| (*lane, *count)).take(MOST).collect();
        self.number += 1;
        Some(Totals { shard, start: self.start, number: self.number, counts })
    }

    /// The parts of the lanes of a shard that are limited; none where this VM has hosted the shard for too short a time to tell.
    ///
    /// Failure: a host is lost, the next one has seen no rise, and tells VMs that nobody is limited.
    pub fn parts(&mut self, shard: u8, now: Instant) -> Option<Vec<(Lane, Part)>> {
        let (since, _) = (*self.told.get(usize::from(shard))?)?;
        if now.saturating_duration_since(since) < LEARNING {
            return None;
        }
        let mut parts = Vec::new();
        for (key, balance) in self.balances.iter_mut().filter(|(key, _)| key.shard() == shard) {
            if let Some(allowance) = self.allowances.get(key) {
                parts.extend(balance.parts(allowance, now));
            }
        }
        Some(parts)
    }

    fn balance(&mut self, key: Key, now: Instant) -> Option<&mut Balance> {
        let allowance = self.allowances.get(&key)?;
        let balance = self.balances.entry(key).or_insert_with(|| {
            Balance::new(self.excess.units * GIVEN - allowance.rate.over(UNSEEN), now)
        });
        balance.earn(allowance, now);
        Some(balance)
    }
}

impl Balance {
    /// What was let through before isn't known: it starts with what is given away in any case, less what may have been let
    /// through unseen.
    fn new(level: f64, now: Instant) -> Self {
        Self { level, at: now, last: now, here: BTreeMap::new(), there: BTreeMap::new() }
    }

    fn is_active(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) < ACTIVE
    }

    fn there(&mut self, region: &id::Region, now: Instant) -> &mut There {
        self.there.entry(region.clone()).or_insert_with(|| There {
            asked: BTreeMap::new(),
            passed: Flow::new(now),
            heard: now,
            due: 0.0,
        })
    }

    /// Takes in what the allowance has earned, and what other regions have told, or are taken to have let through.
    fn earn(&mut self, allowance: &Allowance, now: Instant) {
        let span = now.saturating_duration_since(self.at);
        self.at = now;
        self.level += allowance.rate.over(span);
        for there in self.there.values_mut() {
            self.level -= there.settle(span, now);
        }
        self.level = self.level.min(allowance.burst);
    }

    fn parts(&mut self, allowance: &Allowance, now: Instant) -> Vec<(Lane, Part)> {
        self.earn(allowance, now);
        let mut asked: BTreeMap<Lane, f64> =
            self.here.iter().map(|(lane, (asked, _))| (*lane, asked.rate(now))).collect();
        for there in self.there.values() {
            for (lane, flow) in &there.asked {
                *asked.entry(*lane).or_default() += there.rate(flow, now);
            }
        }
        let allowed = (allowance.rate.get() + self.level / SETTLED.as_secs_f64()).max(0.0);
        let most = level_of(allowed, asked.values().copied().collect());
        let limited = asked.into_iter().filter(|(_, asked)| *asked > most);
        limited.map(|(lane, asked)| (lane, Part::new(most / asked))).collect()
    }
}

/// The most that each of those that ask gets, so that all together get `allowed`: max-min fair.
fn level_of(allowed: f64, mut asked: Vec<f64>) -> f64 {
    asked.sort_unstable_by(f64::total_cmp);
    let mut left = allowed;
    for (nth, asks) in asked.iter().enumerate() {
        let level = left / (asked.len() - nth) as f64;
        if *asks > level {
            return level;
        }
        left -= asks;
    }
    f64::INFINITY
}

/// A region's totals are a round and a trip old; after this it is taken to be silent.
const QUIET: Duration = Duration::from_millis(500);

impl There {
    fn heard(&mut self, lane: Lane, step: Step, now: Instant) {
        self.asked.entry(lane).or_insert_with(|| Flow::new(now)).add(step.asked, now);
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

    fn rate(&self, flow: &Flow, now: Instant) -> f64 {
        if self.is_silent(now) { flow.last() } else { flow.rate(now) }
    }
}

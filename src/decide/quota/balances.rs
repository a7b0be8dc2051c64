//! Host side: balances of organisations over all regions.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use super::ACTIVE;
use super::AdmissionRate;
use super::CostClass;
use super::Count;
use super::Excess;
use super::GRANTED_FRACTION;
use super::Key;
use super::flow::Flow;
use crate::decide::sharing::SHARDS;
use crate::decide::sharing::UPDATE_INTERVAL;
use crate::decide::sharing::UPDATE_TTL;
use crate::decide::sharing::hosts::MAX_UNANSWERED;
use crate::id;
use crate::routing::organisation::Allowance;

/// Time in which a balance is brought back to zero; longer than the reporting delay, to avoid
/// oscillation.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// How long a host must have received counts before it knows which organisations exceed their
/// allowance.
const WARM_UP: Duration = Duration::from_secs(1);

/// Units admitted between the last report to one host and the first to the next are not counted by
/// either.
const UNCOUNTED: Duration = UPDATE_INTERVAL.saturating_mul(MAX_UNANSWERED as u32);

/// How long a silent region is assumed to admit as much as before.
const SILENT_TIMEOUT: Duration = Duration::from_secs(6);

/// Upper bound on the entries of a message.
const MAX_ENTRIES: usize = 1000;

/// The counts of a region's VMs, sent by its host to those of other regions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// The shard.
    #[serde(rename = "s")]
    pub shard: u8,
    /// Identifies the host's start.
    #[serde(rename = "b")]
    pub start: u64,
    /// Sequence number within that start.
    #[serde(rename = "n")]
    pub number: u64,
    /// Counts since that start, of active classes.
    #[serde(rename = "c")]
    pub counts: Vec<(CostClass, Count)>,
}

impl Totals {
    /// Whether it is plausible.
    pub fn is_valid(&self) -> bool {
        self.counts.len() <= MAX_ENTRIES
            && self.counts.iter().all(|(class, _)| class.shard() == self.shard)
    }
}

/// The last counts of a source, which is a VM or another region.
#[derive(Debug, Default)]
struct Source {
    start: u64,
    number: u64,
    counts: HashMap<CostClass, Count>,
}

impl Source {
    /// Applies counts and returns the increments, or `None` if they are out of date. The first
    /// counts of a start are only a baseline.
    fn apply(
        &mut self,
        (start, number): (u64, u64),
        counts: &[(CostClass, Count)],
    ) -> Option<Vec<(CostClass, Increment)>> {
        let is_known = self.start == start;
        if is_known && number <= self.number {
            return None;
        }
        if !is_known {
            self.counts.clear();
        }
        (self.start, self.number) = (start, number);
        let mut increments = Vec::with_capacity(counts.len());
        for (class, count) in counts {
            let before = self.counts.insert(*class, *count);
            let base = match before {
                // The source has dropped and restarted this count.
                Some(before) if before.requested <= count.requested => before,
                Some(_) => Count::default(),
                None if is_known => Count::default(),
                None => *count,
            };
            increments.push((*class, Increment::between(base, *count)));
        }
        Some(increments)
    }
}

/// The increment between two counts.
#[derive(Debug, Clone, Copy)]
struct Increment {
    requested: f64,
    admitted: f64,
}

impl Increment {
    fn between(before: Count, after: Count) -> Self {
        Self {
            requested: after.requested.saturating_sub(before.requested) as f64,
            admitted: after.admitted as f64 - before.admitted as f64,
        }
    }
}

/// An organisation's use in another region.
#[derive(Debug)]
struct RemoteUse {
    requested: BTreeMap<CostClass, Flow>,
    admitted: Flow,
    /// When the region's host last reported the shard.
    last_report: Instant,
    /// Units admitted there that are not yet deducted; negative if more was assumed.
    due: f64,
}

/// The balance of an organisation.
#[derive(Debug)]
struct Balance {
    /// Units earned less units admitted.
    level: f64,
    at: Instant,
    last: Instant,
    /// Demand in this region, and its counts since the host's start.
    local: BTreeMap<CostClass, (Flow, Count)>,
    remote: BTreeMap<id::Region, RemoteUse>,
}

/// The balances kept by a host.
#[derive(Debug)]
pub struct Balances {
    start: u64,
    number: u64,
    excess: Excess,
    allowances: HashMap<Key, Allowance>,
    vms: HashMap<(id::Vm, u8), Source>,
    /// Hosts of other regions, by shard.
    remote_hosts: HashMap<(id::Vm, u8), Source>,
    /// For each shard, since when VMs of this region have reported without a gap, and when one did
    /// last.
    reported: [Option<(Instant, Instant)>; SHARDS as usize],
    balances: HashMap<Key, Balance>,
}

impl Balances {
    /// Creates balances without counts; `start` identifies this start of the host.
    pub fn new(start: u64, excess: Excess) -> Self {
        Self {
            start,
            number: 0,
            excess,
            allowances: HashMap::new(),
            vms: HashMap::new(),
            remote_hosts: HashMap::new(),
            reported: [None; SHARDS as usize],
            balances: HashMap::new(),
        }
    }

    /// Replaces the allowances of all organisations.
    pub fn set_allowances(&mut self, allowances: HashMap<Key, Allowance>) {
        self.balances.retain(|key, _| allowances.contains_key(key));
        let allowances = allowances.into_iter();
        self.allowances =
            allowances.map(|(key, allowance)| (key, self.excess.grant_to(&allowance))).collect();
    }

    /// Applies the counts of a VM of this region.
    pub fn apply_counts(
        &mut self,
        (vm, shard): (&id::Vm, u8),
        version: (u64, u64),
        counts: &[(CostClass, Count)],
        now: Instant,
    ) {
        let Some(reported) = self.reported.get_mut(usize::from(shard)) else { return };
        let since = reported.filter(|(_, last)| now.saturating_duration_since(*last) < UPDATE_TTL);
        *reported = Some((since.map_or(now, |(since, _)| since), now));
        let source = self.vms.entry((vm.clone(), shard)).or_default();
        // After a takeover it is unknown how much of a VM's count the previous host included.
        for (class, increment) in source.apply(version, counts).unwrap_or_default() {
            let Some(balance) = self.balance(class.organisation, now) else { continue };
            balance.level -= increment.admitted;
            balance.last = now;
            let (requested, count) =
                balance.local.entry(class).or_insert_with(|| (Flow::new(now), Count::default()));
            requested.add(increment.requested, now);
            count.requested = count.requested.saturating_add(increment.requested as u64);
            count.admitted = count.admitted.saturating_add_signed(increment.admitted as i64);
        }
    }

    /// Applies the totals of a host in another region.
    pub fn apply_totals(
        &mut self,
        (host, region): (&id::Vm, &id::Region),
        totals: &Totals,
        now: Instant,
    ) {
        let source = self.remote_hosts.entry((host.clone(), totals.shard)).or_default();
        let Some(increments) = source.apply((totals.start, totals.number), &totals.counts) else {
            return;
        };
        let of_shard = self.balances.iter_mut().filter(|(key, _)| key.shard() == totals.shard);
        for remote in of_shard.filter_map(|(_, balance)| balance.remote.get_mut(region)) {
            remote.last_report = now;
        }
        for (class, increment) in increments {
            let Some(balance) = self.balance(class.organisation, now) else { continue };
            balance.last = now;
            balance.remote(region, now).record(class, increment, now);
        }
    }

    /// The totals of a shard for the hosts of other regions, empty once nothing is requested;
    /// `None` if no VM of this region reports to this host.
    ///
    /// Guards against a standby host whose empty totals replace those of the active one.
    pub fn totals(&mut self, shard: u8, now: Instant) -> Option<Totals> {
        self.balances
            .retain(|_, balance| now.saturating_duration_since(balance.last) < SILENT_TIMEOUT);
        let (_, reported) = (*self.reported.get(usize::from(shard))?)?;
        if now.saturating_duration_since(reported) >= SILENT_TIMEOUT {
            return None;
        }
        let of_shard = self.balances.iter().filter(|(key, _)| key.shard() == shard);
        let active = of_shard.filter(|(_, balance)| balance.is_active(now));
        let classes = active.flat_map(|(_, balance)| &balance.local);
        let counts =
            classes.map(|(class, (_, count))| (*class, *count)).take(MAX_ENTRIES).collect();
        self.number += 1;
        Some(Totals { shard, start: self.start, number: self.number, counts })
    }

    /// The admission rates of the limited classes of a shard; `None` if this VM has not hosted the
    /// shard for long enough.
    ///
    /// Guards against a new host that has not seen the demand and tells VMs that nobody is limited.
    pub fn admission_rates(
        &mut self,
        shard: u8,
        now: Instant,
    ) -> Option<Vec<(CostClass, AdmissionRate)>> {
        let (since, _) = (*self.reported.get(usize::from(shard))?)?;
        if now.saturating_duration_since(since) < WARM_UP {
            return None;
        }
        let mut rates = Vec::new();
        for (key, balance) in self.balances.iter_mut().filter(|(key, _)| key.shard() == shard) {
            if let Some(allowance) = self.allowances.get(key) {
                rates.extend(balance.admission_rates(allowance, now));
            }
        }
        Some(rates)
    }

    fn balance(&mut self, key: Key, now: Instant) -> Option<&mut Balance> {
        let allowance = self.allowances.get(&key)?;
        let balance = self.balances.entry(key).or_insert_with(|| {
            Balance::new(self.excess.units * GRANTED_FRACTION - allowance.rate.over(UNCOUNTED), now)
        });
        balance.earn(allowance, now);
        Some(balance)
    }
}

impl Balance {
    /// Creates a balance. The units admitted before are unknown, so it starts with the granted
    /// excess less what may have been admitted uncounted.
    fn new(level: f64, now: Instant) -> Self {
        Self { level, at: now, last: now, local: BTreeMap::new(), remote: BTreeMap::new() }
    }

    fn is_active(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) < ACTIVE
    }

    fn remote(&mut self, region: &id::Region, now: Instant) -> &mut RemoteUse {
        self.remote.entry(region.clone()).or_insert_with(|| RemoteUse {
            requested: BTreeMap::new(),
            admitted: Flow::new(now),
            last_report: now,
            due: 0.0,
        })
    }

    /// Adds what the allowance has earned and deducts the use of other regions, assumed for silent
    /// ones.
    fn earn(&mut self, allowance: &Allowance, now: Instant) {
        let span = now.saturating_duration_since(self.at);
        self.at = now;
        self.level += allowance.rate.over(span);
        for remote in self.remote.values_mut() {
            self.level -= remote.settle(span, now);
        }
        self.level = self.level.min(allowance.burst);
    }

    fn admission_rates(
        &mut self,
        allowance: &Allowance,
        now: Instant,
    ) -> Vec<(CostClass, AdmissionRate)> {
        self.earn(allowance, now);
        let mut requested: BTreeMap<CostClass, f64> = self
            .local
            .iter()
            .map(|(class, (requested, _))| (*class, requested.rate(now)))
            .collect();
        for remote in self.remote.values() {
            for (class, flow) in &remote.requested {
                *requested.entry(*class).or_default() += remote.rate(flow, now);
            }
        }
        let allowed = (allowance.rate.get() + self.level / SETTLING_TIME.as_secs_f64()).max(0.0);
        let most = fair_level(allowed, requested.values().copied().collect());
        let limited = requested.into_iter().filter(|(_, requested)| *requested > most);
        limited.map(|(class, requested)| (class, AdmissionRate::new(most / requested))).collect()
    }
}

/// The max-min fair level: the most that each demand gets so that the sum is `allowed`.
fn fair_level(allowed: f64, mut requested: Vec<f64>) -> f64 {
    requested.sort_unstable_by(f64::total_cmp);
    let mut left = allowed;
    for (nth, asks) in requested.iter().enumerate() {
        let level = left / (requested.len() - nth) as f64;
        if *asks > level {
            return level;
        }
        left -= asks;
    }
    f64::INFINITY
}

/// Age of a region's last totals after which it is considered silent; they are normally one update
/// interval and a trip old.
const SILENCE_THRESHOLD: Duration = Duration::from_millis(500);

impl RemoteUse {
    fn record(&mut self, class: CostClass, increment: Increment, now: Instant) {
        self.requested.entry(class).or_insert_with(|| Flow::new(now)).add(increment.requested, now);
        self.admitted.add(increment.admitted, now);
        self.due += increment.admitted;
    }

    /// Whether the region seems disconnected and is assumed to continue as before.
    fn is_silent(&self, now: Instant) -> bool {
        (SILENCE_THRESHOLD..SILENT_TIMEOUT)
            .contains(&now.saturating_duration_since(self.last_report))
    }

    /// The units to deduct: those reported, or an estimate while the region is silent.
    fn settle(&mut self, span: Duration, now: Instant) -> f64 {
        if self.is_silent(now) {
            let assumed = self.admitted.last().max(0.0) * span.as_secs_f64();
            self.due -= assumed;
            return assumed;
        }
        std::mem::take(&mut self.due)
    }

    fn rate(&self, flow: &Flow, now: Instant) -> f64 {
        if self.is_silent(now) { flow.last() } else { flow.rate(now) }
    }
}

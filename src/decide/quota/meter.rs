//! A VM's counts of requested and admitted units, and the admission of each request.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::ACTIVE;
use super::AdmissionRate;
use super::CostClass;
use super::Count;
use super::Excess;
use super::Key;
use crate::decide::sharing::SHARDS;
use crate::routing::organisation::Allowance;

/// How long a host's answer is current, including the absence of limits in it.
const ANSWER_TTL: Duration = Duration::from_millis(1000);

/// How long the last admission rates are used without an answer. A VM that is disconnected for
/// longer refuses keys if organisations can be limited strictly, and its share is small otherwise.
const RATE_TTL: Duration = Duration::from_secs(6);

/// Multiple of an equal share that a VM without a host admits, because callers are spread unevenly
/// and few VMs lack a host at a time.
const FALLBACK_SHARES: f64 = 4.0;

/// Bounds on the retry delay given to a refused caller.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A cost class of an organisation on this VM.
#[derive(Debug, Default)]
struct ClassState {
    count: Count,
    /// Accumulated admission rate: a request is admitted whenever it reaches 1.
    credit: f64,
}

/// An organisation on this VM.
#[derive(Debug)]
struct Entry {
    classes: HashMap<CostClass, ClassState>,
    last: Instant,
    /// Units that this VM may still admit without a host.
    fallback: f64,
    /// Units left of the whole allowance if no other VM admitted any.
    remaining: f64,
    refilled: Instant,
}

/// All organisations with recent requests on this VM.
#[derive(Debug)]
pub struct Meter {
    rng: SmallRng,
    /// Number of VMs that organisations may use, including this one, and since when it is known.
    vm_count: Option<(u32, Instant)>,
    excess: Excess,
    entries: HashMap<Key, Entry>,
    /// Admission rates of limited classes and when they were received, also of classes without
    /// requests on this VM.
    rates: HashMap<CostClass, (AdmissionRate, Instant)>,
    /// Time of the last answer from the host of each shard.
    last_answer: [Option<Instant>; SHARDS as usize],
}

impl Meter {
    /// Creates a meter that doesn't know the other VMs yet, and admits nothing without a host.
    pub fn new(rng: SmallRng, excess: Excess) -> Self {
        let (entries, rates) = (HashMap::new(), HashMap::new());
        Self { rng, vm_count: None, excess, entries, rates, last_answer: [None; SHARDS as usize] }
    }

    /// Sets the number of VMs, including this one.
    pub fn set_vm_count(&mut self, vm_count: u32, now: Instant) {
        let since = self.vm_count.map_or(now, |(_, since)| since);
        self.vm_count = Some((vm_count.max(1), since));
    }

    /// Admits a request of that cost, or returns the delay after which its caller should retry.
    pub fn admit(
        &mut self,
        key: Key,
        allowance: &Allowance,
        cost: u64,
        now: Instant,
    ) -> Result<(), Duration> {
        let allowance = self.excess.grant_to(allowance);
        let (share, known_for) = self.fallback_share(now);
        let max_fallback = allowance.burst.max(allowance.rate.get()) * share;
        let rate = self.rate(CostClass::new(key, cost), now);
        let last_answer = self.last_answer[usize::from(key.shard())];
        let is_fresh = last_answer.is_some_and(|at| now.saturating_duration_since(at) < ANSWER_TTL);
        let entry = self.entries.entry(key).or_insert_with(|| Entry {
            classes: HashMap::new(),
            last: now,
            // Guards against VMs that restart in series and admit a burst each time.
            fallback: (allowance.rate.over(known_for) * share).min(max_fallback),
            remaining: allowance.burst,
            refilled: now,
        });
        let earned = allowance.rate.over(now.saturating_duration_since(entry.refilled));
        entry.fallback = (entry.fallback + earned * share).min(max_fallback);
        entry.remaining = (entry.remaining + earned).min(allowance.burst);
        (entry.last, entry.refilled) = (now, now);
        let has_room = entry.remaining > 0.0;
        let may_fall_back = is_fresh || entry.fallback > 0.0;
        let class = entry.classes.entry(CostClass::new(key, cost)).or_default();
        class.count.requested = class.count.requested.saturating_add(cost);
        let is_admitted = match rate {
            _ if !has_room => false,
            Some(rate) => class.admit_next(rate, &mut self.rng),
            None => may_fall_back,
        };
        if !is_admitted {
            return Err(retry_delay(rate));
        }
        class.count.admitted = class.count.admitted.saturating_add(cost);
        entry.fallback -= cost as f64;
        entry.remaining -= cost as f64;
        Ok(())
    }

    /// Refunds an admitted request that certainly did not run.
    pub fn refund(&mut self, key: Key, cost: u64) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let Some(class) = entry.classes.get_mut(&CostClass::new(key, cost)) else { return };
        class.count.admitted = class.count.admitted.saturating_sub(cost);
        entry.fallback += cost as f64;
        entry.remaining += cost as f64;
    }

    /// The counts to report to the host of a shard.
    pub fn counts(&mut self, shard: u8, now: Instant) -> Vec<(CostClass, Count)> {
        let is_within =
            |entry: &Entry, span: Duration| now.saturating_duration_since(entry.last) < span;
        // A dropped count restarts at zero, which the host handles.
        self.entries.retain(|_, entry| is_within(entry, RATE_TTL));
        let of_shard = self.entries.iter().filter(|(key, _)| key.shard() == shard);
        let active = of_shard.filter(|(_, entry)| is_within(entry, ACTIVE));
        let classes = active.flat_map(|(_, entry)| &entry.classes);
        classes.map(|(class, state)| (*class, state.count)).collect()
    }

    /// Applies the admission rates from the host of a shard; classes not listed are not limited.
    pub fn apply_rates(&mut self, shard: u8, rates: &[(CostClass, AdmissionRate)], now: Instant) {
        let Some(last_answer) = self.last_answer.get_mut(usize::from(shard)) else { return };
        *last_answer = Some(now);
        self.rates.retain(|class, _| class.shard() != shard);
        self.rates.extend(rates.iter().map(|(class, rate)| (*class, (*rate, now))));
    }

    /// The part of an allowance that this VM admits without a host, and for how long it has had one.
    fn fallback_share(&self, now: Instant) -> (f64, Duration) {
        let Some((vms, since)) = self.vm_count else { return (0.0, Duration::ZERO) };
        let share = (FALLBACK_SHARES / f64::from(vms)).min(1.0);
        (share, now.saturating_duration_since(since))
    }

    /// The admission rate in force for a class; `None` if it isn't known to be limited.
    fn rate(&self, class: CostClass, now: Instant) -> Option<AdmissionRate> {
        let (rate, at) = self.rates.get(&class)?;
        (now.saturating_duration_since(*at) < RATE_TTL).then_some(*rate)
    }
}

fn retry_delay(rate: Option<AdmissionRate>) -> Duration {
    let rate = rate.map_or(1.0, AdmissionRate::get).max(0.01);
    MIN_RETRY_DELAY.div_f64(rate).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
}

impl ClassState {
    /// Whether to admit the next request at that rate.
    fn admit_next(&mut self, rate: AdmissionRate, rng: &mut SmallRng) -> bool {
        if self.credit == 0.0 {
            // A random start keeps VMs from all admitting their first request.
            self.credit = rng.random();
        }
        self.credit += rate.get();
        let is_due = self.credit >= 1.0;
        self.credit -= f64::from(u8::from(is_due));
        is_due
    }
}

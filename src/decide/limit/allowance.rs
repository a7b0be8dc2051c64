//! A VM's share of an entry's limits.

use std::time::Duration;

use thiserror::Error;
use tokio::time::Instant;

use crate::catalogue::Limits;
use crate::decide::limit::Demand;
use crate::decide::limit::GRANT_TTL;
use crate::decide::limit::Grant;
use crate::decide::limit::RENEWAL_INTERVAL;
use crate::decide::limit::bucket::Bucket;
use crate::decide::limit::coordinator::base_share;
use crate::decide::limit::coordinator::equal_share;
use crate::id;
use crate::unit::Rate;
use crate::unit::Tokens;

/// Weight of the last interval in the measured demand.
const DEMAND_WEIGHT: f64 = 0.6;

/// Minimum interval between demands, longer than a round trip between regions.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(200);

/// Time without a lease, counted from the first request, after which the coordinator is considered
/// unreachable.
///
/// All grants of a failed coordinator have expired by then.
const DISCONNECT_TIMEOUT: Duration = GRANT_TTL.saturating_mul(2);

/// Weight of one answer in the ratio of actual to estimated tokens.
const CORRECTION_WEIGHT: f64 = 0.1;

/// Why a request exceeds the limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The request rate is too high.
    #[error("the rate of requests is above the limit")]
    Requests(Duration),
    /// The token rate is too high.
    #[error("the rate of tokens is above the limit")]
    Tokens(Duration),
    /// Too many requests are in progress.
    #[error("too many requests are in progress")]
    Concurrency,
    /// Nothing has been leased yet; a demand is due, and its answer decides.
    #[error("no part of the limits is leased to this VM yet")]
    Unleased,
}

/// The charge for a request in progress; must be returned with [`Allowance::settle`].
#[derive(Debug, PartialEq)]
#[must_use = "a charge that isn't settled holds its place for good"]
pub struct Charge {
    estimated: Tokens,
    charged: f64,
}

impl Charge {
    /// The tokens charged: the estimate, corrected by the ratio observed so far.
    pub fn charged(&self) -> f64 {
        self.charged
    }
}

/// Requests since the last demand.
#[derive(Debug, Default)]
struct Interval {
    requests: f64,
    tokens: f64,
    most_wanted: u32,
}

/// A VM's share of an entry's limits, spent locally and renewed in time.
#[derive(Debug)]
pub struct Allowance {
    entry: id::Entry,
    vm: id::Vm,
    base_share: Limits,
    equal_share: Limits,
    unleased_since: Option<Instant>,
    lease: Option<(Limits, Instant)>,
    share: Limits,
    requests: Bucket,
    tokens: Bucket,
    running: u32,
    seq: u64,
    last_grant: u64,
    sent: Option<Instant>,
    answered: bool,
    throttled: bool,
    share_grew: bool,
    measured_at: Instant,
    interval: Interval,
    wanted: Limits,
    ratio: f64,
}

impl Allowance {
    /// Creates an allowance without a lease on one of `vms` VMs.
    pub fn new(entry: id::Entry, vm: id::Vm, limits: &Limits, vms: usize, now: Instant) -> Self {
        let base_share = base_share(limits, vms);
        Self {
            entry,
            vm,
            base_share,
            equal_share: equal_share(limits, vms),
            unleased_since: None,
            lease: None,
            share: base_share,
            requests: Bucket::new(base_share.requests, now),
            tokens: Bucket::new(base_share.tokens, now),
            running: 0,
            seq: 0,
            last_grant: 0,
            sent: None,
            answered: true,
            throttled: false,
            share_grew: true,
            measured_at: now,
            interval: Interval::default(),
            wanted: base_share,
            ratio: 1.0,
        }
    }

    /// Changes the limits; the current lease stays until it is renewed.
    pub fn set_limits(&mut self, limits: &Limits, vms: usize) {
        self.base_share = base_share(limits, vms);
        self.equal_share = equal_share(limits, vms);
    }

    /// Whether the coordinator has been unreachable for long.
    pub fn is_disconnected(&self, now: Instant) -> bool {
        self.unleased_since.is_some_and(|since| now >= since + DISCONNECT_TIMEOUT)
    }

    /// Charges a request with an estimated number of tokens, if the limits allow it.
    pub fn charge(&mut self, estimated: Tokens, now: Instant) -> Result<Charge, Refusal> {
        self.update(now);
        let charged = estimated.get() as f64 * self.ratio;
        let leased = self.lease.is_some_and(|(_, sent)| now < sent + GRANT_TTL);
        if !leased {
            self.unleased_since.get_or_insert(now);
        }
        self.interval.requests += 1.0;
        self.interval.tokens += charged;
        self.interval.most_wanted = self.interval.most_wanted.max(self.running) + 1;
        let allowed = self.check(now);
        self.throttled |= allowed.is_err();
        allowed?;
        self.requests.take(1.0);
        self.tokens.take(charged);
        self.running += 1;
        Ok(Charge { estimated, charged })
    }

    /// Ends a request with its actual number of tokens, zero if it never ran.
    pub fn settle(&mut self, charge: Charge, actual: Tokens, now: Instant) {
        self.update(now);
        self.running = self.running.saturating_sub(1);
        self.tokens.take(actual.get() as f64 - charge.charged);
        if charge.estimated > Tokens::ZERO && actual > Tokens::ZERO {
            let ratio = actual.get() as f64 / charge.estimated.get() as f64;
            self.ratio += CORRECTION_WEIGHT * (ratio - self.ratio);
        }
    }

    /// The next demand to the coordinator, if due: after each renewal interval, or sooner while
    /// requests are refused and the last grant raised the share.
    pub fn next_demand(&mut self, now: Instant) -> Option<Demand> {
        self.update(now);
        let age = self.sent.map(|sent| now.saturating_duration_since(sent));
        let soon = self.throttled && self.answered && self.share_grew;
        let due =
            age.is_none_or(|age| age >= RENEWAL_INTERVAL || soon && age >= MIN_DEMAND_INTERVAL);
        if !due || self.is_idle() {
            return None;
        }
        self.measure(now);
        self.seq += 1;
        self.sent = Some(now);
        self.answered = false;
        Some(Demand {
            entry: self.entry.clone(),
            vm: self.vm.clone(),
            seq: self.seq,
            taken: self.last_grant,
            wanted: self.wanted,
            held: self.share,
            running: self.running,
        })
    }

    /// Applies a grant. It is valid from the time of the demand, so that a slow answer doesn't
    /// extend it.
    pub fn apply_grant(&mut self, grant: &Grant, now: Instant) {
        let Some(sent) = self.sent.filter(|_| grant.seq == self.seq) else { return };
        let before = self.share;
        self.answered = true;
        self.last_grant = grant.seq;
        self.lease = Some((grant.share, sent));
        self.unleased_since = None;
        self.update(now);
        self.share_grew = !self.throttled || exceeds(&self.share, &before);
        self.throttled = false;
    }

    /// What this VM may use now.
    pub fn share(&mut self, now: Instant) -> Limits {
        self.update(now);
        self.share
    }

    /// Whether the next grant may raise the share: the last demand is unanswered or its grant
    /// raised it.
    pub fn may_grow(&self) -> bool {
        !self.answered || self.share_grew
    }

    /// Whether no requests are running or were received recently, so that it can be dropped.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.interval.requests == 0.0 && self.wanted.requests.get() < 0.01
    }

    fn check(&mut self, now: Instant) -> Result<(), Refusal> {
        let unleased = self.lease.is_none() && !self.is_disconnected(now);
        if self.running >= self.share.concurrency {
            return Err(if unleased { Refusal::Unleased } else { Refusal::Concurrency });
        }
        let requests = self.requests.wait_above(1.0 - f64::EPSILON, now);
        let tokens = self.tokens.wait_above(0.0, now);
        match (requests.is_zero(), tokens.is_zero()) {
            (true, true) => Ok(()),
            _ if unleased => Err(Refusal::Unleased),
            (false, _) => Err(Refusal::Requests(requests)),
            (_, false) => Err(Refusal::Tokens(tokens)),
        }
    }

    /// Applies the share that is valid now.
    ///
    /// After the lease expires this is the base share, which is never leased out. A VM that stays
    /// disconnected uses its equal share: if the coordinator failed, these add up to the limit; in
    /// a partition the limit is exceeded by that much until the partition heals.
    fn update(&mut self, now: Instant) {
        let share = match self.lease {
            Some((share, sent)) if now < sent + GRANT_TTL => share,
            _ if self.is_disconnected(now) => self.equal_share,
            _ => self.base_share,
        };
        if share != self.share {
            self.requests.set_rate(share.requests, now);
            self.tokens.set_rate(share.tokens, now);
            self.share = share;
        }
    }

    /// Updates the measured demand from the last interval.
    fn measure(&mut self, now: Instant) {
        let seconds =
            now.saturating_duration_since(self.measured_at).max(MIN_DEMAND_INTERVAL).as_secs_f64();
        self.measured_at = now;
        let interval = std::mem::take(&mut self.interval);
        let follow = |old: Rate, count: f64| {
            let new = count / seconds;
            Rate::per_second(old.get() + DEMAND_WEIGHT * (new - old.get()))
        };
        self.wanted = Limits {
            requests: follow(self.wanted.requests, interval.requests),
            tokens: follow(self.wanted.tokens, interval.tokens),
            concurrency: (interval.most_wanted.max(self.running) + 1)
                .max(self.wanted.concurrency * 3 / 4),
        };
    }
}

/// Whether a share has grown by more than a tenth, or in concurrency.
fn exceeds(new: &Limits, old: &Limits) -> bool {
    new.requests.get() > 1.1 * old.requests.get()
        || new.tokens.get() > 1.1 * old.tokens.get()
        || new.concurrency > old.concurrency
}

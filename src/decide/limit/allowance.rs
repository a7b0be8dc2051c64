//! One VM's part of an entry's limits.

use std::time::Duration;

use thiserror::Error;
use tokio::time::Instant;

use crate::catalogue::Limits;
use crate::decide::limit::Demand;
use crate::decide::limit::Grant;
use crate::decide::limit::RENEWAL;
use crate::decide::limit::TTL;
use crate::decide::limit::bucket::Bucket;
use crate::decide::limit::home::even;
use crate::decide::limit::home::floor;
use crate::id;
use crate::unit::Rate;
use crate::unit::Tokens;

/// The part of a new interval in the measured demand. Derived: two renewals follow four fifths of a step.
const GAIN: f64 = 0.6;

/// The shortest time between two demands: what a trip between regions takes, so that no answer is outrun.
const SOONEST: Duration = Duration::from_millis(200);

/// A VM that has had no lease for so long, although callers asked, takes the home to be out of reach.
///
/// Whatever the home leased out before it was lost has expired by then.
const CUT_OFF: Duration = TTL.saturating_mul(2);

/// The part of the ratio of real to estimated tokens that one answer corrects. Derived: 20 answers suffice.
const CORRECTION: f64 = 0.1;

/// Why a request isn't within the limits now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// Too many requests a second.
    #[error("the rate of requests is above the limit")]
    Requests(Duration),
    /// Too many tokens a second.
    #[error("the rate of tokens is above the limit")]
    Tokens(Duration),
    /// Too many requests in progress.
    #[error("too many requests are in progress")]
    Concurrency,
    /// No part of the limits has been leased yet; a demand is due, and its answer decides.
    #[error("no part of the limits is leased to this VM yet")]
    Unleased,
}

/// What one request in progress was charged; [`Allowance::settle`] takes it back.
#[derive(Debug, PartialEq)]
#[must_use = "a charge that isn't settled holds its place for good"]
pub struct Charge {
    estimated: Tokens,
    charged: f64,
}

impl Charge {
    /// The tokens that were charged: the estimate, corrected by what earlier answers took.
    pub fn charged(&self) -> f64 {
        self.charged
    }
}

/// What came in since the last demand.
#[derive(Debug, Default)]
struct Interval {
    requests: f64,
    tokens: f64,
    most_wanted: u32,
}

/// One VM's part of an entry's limits: spent without asking, renewed in time.
#[derive(Debug)]
pub struct Allowance {
    entry: id::Entry,
    vm: id::Vm,
    floor: Limits,
    even: Limits,
    unleased: Option<Instant>,
    lease: Option<(Limits, Instant)>,
    share: Limits,
    requests: Bucket,
    tokens: Bucket,
    running: u32,
    seq: u64,
    taken: u64,
    sent: Option<Instant>,
    answered: bool,
    pressed: bool,
    helped: bool,
    measured: Instant,
    interval: Interval,
    wanted: Limits,
    ratio: f64,
}

impl Allowance {
    /// A part of these limits on one of so many VMs; nothing is leased yet.
    pub fn new(entry: id::Entry, vm: id::Vm, limits: &Limits, vms: usize, now: Instant) -> Self {
        let floor = floor(limits, vms);
        Self {
            entry,
            vm,
            floor,
            even: even(limits, vms),
            unleased: None,
            lease: None,
            share: floor,
            requests: Bucket::new(floor.requests, now),
            tokens: Bucket::new(floor.tokens, now),
            running: 0,
            seq: 0,
            taken: 0,
            sent: None,
            answered: true,
            pressed: false,
            helped: true,
            measured: now,
            interval: Interval::default(),
            wanted: floor,
            ratio: 1.0,
        }
    }

    /// Takes over changed limits: what is leased holds until it is renewed.
    pub fn set_limits(&mut self, limits: &Limits, vms: usize) {
        self.floor = floor(limits, vms);
        self.even = even(limits, vms);
    }

    /// Whether the home has been out of reach for long.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        self.unleased.is_some_and(|since| now >= since + CUT_OFF)
    }

    /// Charges a request of so many estimated tokens, if the limits allow it.
    pub fn charge(&mut self, estimated: Tokens, now: Instant) -> Result<Charge, Refusal> {
        self.update(now);
        let charged = estimated.get() as f64 * self.ratio;
        let leased = self.lease.is_some_and(|(_, sent)| now < sent + TTL);
        if !leased {
            self.unleased.get_or_insert(now);
        }
        self.interval.requests += 1.0;
        self.interval.tokens += charged;
        self.interval.most_wanted = self.interval.most_wanted.max(self.running) + 1;
        let allowed = self.check(now);
        self.pressed |= allowed.is_err();
        allowed?;
        self.requests.take(1.0);
        self.tokens.take(charged);
        self.running += 1;
        Ok(Charge { estimated, charged })
    }

    /// Ends a request that took so many tokens in truth; one that never ran took none.
    pub fn settle(&mut self, charge: Charge, real: Tokens, now: Instant) {
        self.update(now);
        self.running = self.running.saturating_sub(1);
        self.tokens.take(real.get() as f64 - charge.charged);
        if charge.estimated > Tokens::ZERO && real > Tokens::ZERO {
            let ratio = real.get() as f64 / charge.estimated.get() as f64;
            self.ratio += CORRECTION * (ratio - self.ratio);
        }
    }

    /// The message to the entry's home, when one is due: after each renewal time, and sooner while
    /// requests are refused and the last demand raised the share.
    pub fn demand(&mut self, now: Instant) -> Option<Demand> {
        self.update(now);
        let age = self.sent.map(|sent| now.saturating_duration_since(sent));
        let soon = self.pressed && self.answered && self.helped;
        let due = age.is_none_or(|age| age >= RENEWAL || soon && age >= SOONEST);
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
            taken: self.taken,
            wanted: self.wanted,
            held: self.share,
            running: self.running,
        })
    }

    /// Takes a grant in. It counts from when the demand was sent, so that a slow answer prolongs nothing.
    pub fn grant(&mut self, grant: &Grant, now: Instant) {
        let Some(sent) = self.sent.filter(|_| grant.seq == self.seq) else { return };
        let before = self.share;
        self.answered = true;
        self.taken = grant.seq;
        self.lease = Some((grant.share, sent));
        self.unleased = None;
        self.update(now);
        self.helped = !self.pressed || exceeds(&self.share, &before);
        self.pressed = false;
    }

    /// What this VM may use now.
    pub fn share(&mut self, now: Instant) -> Limits {
        self.update(now);
        self.share
    }

    /// Whether the next grant may allow more than now: the last demand is not answered yet, or its answer helped.
    pub fn may_grow(&self) -> bool {
        !self.answered || self.helped
    }

    /// Whether nothing runs and nothing was asked for lately: it may be dropped.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.interval.requests == 0.0 && self.wanted.requests.get() < 0.01
    }

    fn check(&mut self, now: Instant) -> Result<(), Refusal> {
        let unleased = self.lease.is_none() && !self.is_cut_off(now);
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

    /// Applies what may be used at this instant.
    ///
    /// Once the lease has expired, the floor is what the home never leases out. A VM that stays cut off takes its even
    /// part: with the home lost these add up to the limit, and a VM that is parted from a living home goes on
    /// serving its callers, at the price of that much more than the limit until the partition heals.
    fn update(&mut self, now: Instant) {
        let share = match self.lease {
            Some((share, sent)) if now < sent + TTL => share,
            _ if self.is_cut_off(now) => self.even,
            _ => self.floor,
        };
        if share != self.share {
            self.requests.set_rate(share.requests, now);
            self.tokens.set_rate(share.tokens, now);
            self.share = share;
        }
    }

    /// Follows the demand of the last interval.
    fn measure(&mut self, now: Instant) {
        let seconds = now.saturating_duration_since(self.measured).max(SOONEST).as_secs_f64();
        self.measured = now;
        let interval = std::mem::take(&mut self.interval);
        let follow = |old: Rate, count: f64| {
            let new = count / seconds;
            Rate::per_second(old.get() + GAIN * (new - old.get()))
        };
        self.wanted = Limits {
            requests: follow(self.wanted.requests, interval.requests),
            tokens: follow(self.wanted.tokens, interval.tokens),
            concurrency: (interval.most_wanted.max(self.running) + 1)
                .max(self.wanted.concurrency * 3 / 4),
        };
    }
}

/// Whether a share has grown by a tenth or more in some respect.
fn exceeds(new: &Limits, old: &Limits) -> bool {
    new.requests.get() > 1.1 * old.requests.get()
        || new.tokens.get() > 1.1 * old.tokens.get()
        || new.concurrency > old.concurrency
}

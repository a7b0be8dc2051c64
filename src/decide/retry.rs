//! Retries: whether a failed request is tried again, and when its caller may come back otherwise.
//!
//! Unlimited retries at several layers would multiply the load on upstreams that are failing, and keep them
//! overloaded after the cause has gone. Therefore:
//!
//! - Retries draw on two budgets, the owner's and that of the set of upstreams, each a tenth of first attempts.
//! - They wait with exponential backoff and full jitter.
//! - Only the VM that the caller asked retries; a VM that a request was forwarded to reports the failure.
//! - Only a request that surely did not run, or may be repeated, is tried again ([`Evidence`]).
//!
//! A request that is given up is answered at once, with a return time for its caller. Return times are spread at the
//! rate at which requests are answered (`RetryAfter`).

mod backoff;
mod budget;
mod evidence;
mod hedge;
pub mod limit;
mod quantile;
mod race;
pub mod reserve;
mod retry_after;

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use self::retry_after::RetryAfter;
use crate::catalogue::Repeat;
use crate::id;

pub use backoff::delay;
pub use budget::Budget;
pub use budget::BudgetConfig;
pub use budget::Budgets;
pub use evidence::Evidence;
pub use evidence::Ran;
pub use hedge::Hedge;
pub use quantile::Quantile;
pub use race::Answer;
pub use race::Race;

/// The maximum number of attempts of one request, including the first. With independent failures of one attempt in
/// ten, three leave one request in a thousand unanswered. What fails three times fails for a cause that the attempts
/// share.
pub const MAX_ATTEMPTS: u32 = 3;

/// How long the retries that requests have earned can be used, so that those of a peak are not used in a lull.
pub const EARNED_LIFETIME: Duration = Duration::from_secs(10);

/// Each owner's retry budget: a tenth of its requests, and one retry every ten seconds for owners with few requests.
pub const OWNER_BUDGET: BudgetConfig = BudgetConfig {
    ratio: 0.1,
    lifetime: EARNED_LIFETIME,
    capacity: 10.0,
    refill_interval: Duration::from_secs(10),
};

/// The retry budget of all upstreams of a model: a tenth of the requests, and at least one retry a second.
pub const UPSTREAM_BUDGET: BudgetConfig = BudgetConfig {
    ratio: 0.1,
    lifetime: EARNED_LIFETIME,
    capacity: 20.0,
    refill_interval: Duration::from_secs(1),
};

/// The position of a VM on a request's way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Layer {
    /// The VM that the caller asked.
    First,
    /// A VM that the request was forwarded to.
    Forwarded,
}

/// A request whose last attempt failed.
#[derive(Debug, Clone)]
pub struct Failure<'a> {
    /// The owner of the request.
    pub owner: &'a id::Owner,
    /// The model, which identifies the set of upstreams.
    pub model: &'a id::Model,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// What is known of each attempt so far, in order.
    pub evidence: &'a [Evidence],
    /// The position of this VM on the request's way.
    pub layer: Layer,
    /// The time left until its deadline.
    pub time_left: Duration,
    /// The expected duration of an attempt.
    pub expected: Duration,
}

/// The decision on a failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Retry after a delay, on another upstream if there is one.
    Retry {
        /// The delay.
        after: Duration,
    },
    /// Answer the caller with an error now.
    GiveUp {
        /// The reason.
        reason: Reason,
        /// Whether the request ran.
        ran: Ran,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// Why a request is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It may have run, and may not run twice.
    MayHaveRun,
    /// Only the VM that the caller asked may retry.
    NotFirstVm,
    /// It has been tried [`MAX_ATTEMPTS`] times.
    AttemptLimit,
    /// Another attempt would miss the deadline.
    Deadline,
    /// The owner's budget is used up.
    OwnerBudget,
    /// The budget of the upstreams is used up.
    UpstreamBudget,
}

/// Decides on failed requests, and keeps the budgets.
#[derive(Debug)]
pub struct Retry {
    owners: Budgets<id::Owner>,
    upstreams: Budgets<id::Model>,
    retry_after: HashMap<id::Model, RetryAfter>,
}

impl Retry {
    /// Creates full budgets.
    pub fn new(now: Instant) -> Self {
        let owners = Budgets::new(Budget::full(OWNER_BUDGET, now));
        let upstreams = Budgets::new(Budget::full(UPSTREAM_BUDGET, now));
        Self { owners, upstreams, retry_after: HashMap::new() }
    }

    /// Records the first attempt of a request.
    pub fn first_attempt(&mut self, owner: &id::Owner, model: &id::Model, now: Instant) {
        self.owners.budget(owner, now).deposit(now);
        self.upstreams.budget(model, now).deposit(now);
    }

    /// Records a complete answer.
    pub fn answered(&mut self, model: &id::Model, now: Instant) {
        match self.retry_after.get_mut(model) {
            Some(schedule) => schedule.answered(now),
            None => drop(self.retry_after.insert(model.clone(), RetryAfter::new())),
        }
    }

    /// Decides on a request whose attempt failed; a retry is charged to the budgets at once.
    pub fn decide(&mut self, failure: &Failure<'_>, now: Instant, rng: &mut impl Rng) -> Decision {
        let made = u32::try_from(failure.evidence.len()).unwrap_or(u32::MAX);
        let after = backoff::delay(made, rng);
        match self.reason_to_give_up(failure, made, after, now) {
            None => {
                self.owners.budget(failure.owner, now).withdraw();
                self.upstreams.budget(failure.model, now).withdraw();
                Decision::Retry { after }
            }
            Some(reason) => {
                let schedule =
                    self.retry_after.entry(failure.model.clone()).or_insert_with(RetryAfter::new);
                let retry_after = schedule.next(now, rng);
                Decision::GiveUp { reason, ran: Ran::after(failure.evidence), retry_after }
            }
        }
    }

    fn reason_to_give_up(
        &mut self,
        failure: &Failure<'_>,
        made: u32,
        after: Duration,
        now: Instant,
    ) -> Option<Reason> {
        // Every attempt counts: an earlier or hedged one may have run although the last one did not.
        if !failure.evidence.iter().all(|evidence| evidence.may_repeat(failure.repeat)) {
            return Some(Reason::MayHaveRun);
        }
        if failure.layer == Layer::Forwarded {
            return Some(Reason::NotFirstVm);
        }
        if made >= MAX_ATTEMPTS {
            return Some(Reason::AttemptLimit);
        }
        if after + failure.expected > failure.time_left {
            return Some(Reason::Deadline);
        }
        if !self.owners.budget(failure.owner, now).has_token(now) {
            return Some(Reason::OwnerBudget);
        }
        (!self.upstreams.budget(failure.model, now).has_token(now))
            .then_some(Reason::UpstreamBudget)
    }
}

#[cfg(test)]
mod tests;

//! Retry: whether a failed request is tried again, and what its caller is told otherwise.
//!
//! Load pattern: an upstream or all of them fail for some seconds, and the callers are programs that resend by
//! themselves. If each failed request were tried three times, and each VM on the way did so, the failing upstreams
//! would get nine times their load just then, and the retries would hold them down after the cause has gone.
//!
//! - Retries are paid from two budgets, of the owner and of the set of upstreams, each a tenth of first attempts.
//!   The load on what fails is 1.1 times the usual, whoever causes it; one owner's failures use up no other's.
//! - They wait with exponential backoff and full jitter.
//! - One layer retries: the VM that the caller asked. A VM that was handed the request by another only reports.
//! - Only what surely did not run, or may be repeated, is tried again ([`Evidence`]).
//!
//! A request that is given up gets its final answer at once, with the time after which to come back: callers get
//! places one after the other, so that they return at the pace at which requests are answered (`Comeback`).

mod backoff;
mod budget;
mod comeback;
mod evidence;
mod hedge;
mod quantile;
mod race;
pub mod repeats;

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use self::budget::Budgets;
use self::comeback::Comeback;
use crate::catalogue::Repeat;
use crate::id;

pub use backoff::delay;
pub use budget::Budget;
pub use budget::Terms;
pub use evidence::Evidence;
pub use evidence::Ran;
pub use hedge::Hedge;
pub use quantile::Quantile;
pub use race::Answer;
pub use race::Race;

/// The most attempts of one request, the first included. With independent faults of one attempt in ten, three leave
/// one request in a thousand unanswered; what fails three times fails for a cause that it shares.
pub const ATTEMPTS: u32 = 3;

/// An owner's retries: a tenth of its requests, ten at once, and one each ten seconds for an owner that asks rarely.
pub const OWNER: Terms = Terms { ratio: 0.1, most: 10.0, trickle: Duration::from_secs(10) };

/// The retries to all upstreams of a model: a tenth of the requests, twenty at once, one a second at least.
pub const UPSTREAMS: Terms = Terms { ratio: 0.1, most: 20.0, trickle: Duration::from_secs(1) };

/// Which of the system's VMs holds a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Layer {
    /// The VM that the caller asked.
    First,
    /// A VM that another VM handed it to.
    Forwarded,
}

/// A request whose last attempt failed.
#[derive(Debug, Clone)]
pub struct Failure<'a> {
    /// Whose request it is.
    pub owner: &'a id::Owner,
    /// The model, which names the set of upstreams.
    pub model: &'a id::Model,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// What is known of each attempt so far, in their order.
    pub evidence: &'a [Evidence],
    /// Which VM this is on its way.
    pub layer: Layer,
    /// The time left until its deadline.
    pub left: Duration,
    /// The time that an attempt is expected to take.
    pub expected: Duration,
}

/// What becomes of a failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is tried again after that time, on another upstream where there is one.
    Retry {
        /// The time.
        after: Duration,
    },
    /// It is answered now.
    GiveUp {
        /// Why.
        reason: Reason,
        /// Whether it ran.
        ran: Ran,
        /// When the caller may come back.
        come_back: Duration,
    },
}

/// Why a request is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It may have run, and may not run twice.
    MayHaveRun,
    /// The VM that the caller asked decides.
    NotOurs,
    /// It was tried often enough.
    Attempts,
    /// Its deadline would be missed.
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
    comebacks: HashMap<id::Model, Comeback>,
}

impl Default for Retry {
    fn default() -> Self {
        Self::new()
    }
}

impl Retry {
    /// Full budgets.
    pub fn new() -> Self {
        let (owners, upstreams) = (Budgets::new(OWNER), Budgets::new(UPSTREAMS));
        Self { owners, upstreams, comebacks: HashMap::new() }
    }

    /// A first attempt of a request is made.
    pub fn began(&mut self, owner: &id::Owner, model: &id::Model, now: Instant) {
        self.owners.deposit(owner, now);
        self.upstreams.deposit(model, now);
    }

    /// A request was answered whole.
    pub fn answered(&mut self, model: &id::Model, now: Instant) {
        match self.comebacks.get_mut(model) {
            Some(comeback) => comeback.answered(now),
            None => drop(self.comebacks.insert(model.clone(), Comeback::new())),
        }
    }

    /// What becomes of a request whose attempt failed; a retry is charged to the budgets at once.
    pub fn decide(&mut self, failure: &Failure<'_>, now: Instant, rng: &mut impl Rng) -> Verdict {
        let made = u32::try_from(failure.evidence.len()).unwrap_or(u32::MAX);
        let after = backoff::delay(made, rng);
        match self.objection(failure, made, after, now) {
            None => {
                self.owners.withdraw(failure.owner, now);
                self.upstreams.withdraw(failure.model, now);
                Verdict::Retry { after }
            }
            Some(reason) => {
                let comeback =
                    self.comebacks.entry(failure.model.clone()).or_insert_with(Comeback::new);
                let come_back = comeback.book(now, rng);
                Verdict::GiveUp { reason, ran: Ran::after(failure.evidence), come_back }
            }
        }
    }

    fn objection(
        &mut self,
        failure: &Failure<'_>,
        made: u32,
        after: Duration,
        now: Instant,
    ) -> Option<Reason> {
        // Each attempt must allow the next: a hedged one may have run although the last one did not.
        if !failure.evidence.iter().all(|evidence| evidence.may_repeat(failure.repeat)) {
            return Some(Reason::MayHaveRun);
        }
        if failure.layer == Layer::Forwarded {
            return Some(Reason::NotOurs);
        }
        if made >= ATTEMPTS {
            return Some(Reason::Attempts);
        }
        if after + failure.expected > failure.left {
            return Some(Reason::Deadline);
        }
        if !self.owners.has(failure.owner, now) {
            return Some(Reason::OwnerBudget);
        }
        (!self.upstreams.has(failure.model, now)).then_some(Reason::UpstreamBudget)
    }
}

#[cfg(test)]
mod tests;

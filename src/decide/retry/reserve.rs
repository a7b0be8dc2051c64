//! The repeats that a voter of the control group issues.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::budget::Budget;
use super::budget::Budgets;
use super::limit::Limit;
use super::limit::Rank;

/// The repeats that one control VM issues, by service.
#[derive(Debug, Default)]
pub struct Reserve {
    /// Whether the system starts for the first time.
    is_founded: bool,
    share: Option<Share>,
}

/// What a voter may issue.
#[derive(Debug)]
struct Share {
    rank: Rank,
    /// None if the voter has no part of the minimum.
    budgets: Option<Budgets<String>>,
    /// When the next VM that is refused may ask again, by service.
    returns: HashMap<String, Instant>,
}

impl Reserve {
    /// Creates the reserve of a control VM that founds the system; other reserves start empty.
    pub fn founded() -> Self {
        Self { is_founded: true, share: None }
    }

    /// Issues a repeat to a service, or returns when to ask again: VMs return one by one as repeats are added, so that
    /// those of a large fleet don't ask all the time. Without a rank the VM does not vote, and issues nothing.
    pub fn issue(
        &mut self,
        limit: &Limit,
        rank: Option<Rank>,
        service: &str,
        now: Instant,
    ) -> Result<(), Duration> {
        self.set_rank(limit, rank, now);
        let Some(share) = &mut self.share else { return Err(limit.window) };
        let Some(budgets) = &mut share.budgets else { return Err(limit.window) };
        let budget = budgets.budget(service, now);
        let Err(next_token_in) = budget.try_withdraw(now) else { return Ok(()) };
        let soonest = now + next_token_in;
        let returns_at = share.returns.get(service).map_or(soonest, |next| soonest.max(*next));
        share.returns.insert(service.to_owned(), returns_at + budget.config().refill_interval);
        Err(returns_at - now)
    }

    /// Collects repeats for a rank from now on. A voter keeps what it holds if its rank changes, up to its new capacity.
    pub fn set_rank(&mut self, limit: &Limit, rank: Option<Rank>, now: Instant) {
        let before = self.share.as_ref().map(|share| share.rank);
        if before == rank {
            return;
        }
        let held = self.share.take().and_then(|share| share.budgets);
        self.share = rank.map(|rank| {
            let budgets = limit.share(rank).map(|config| match held {
                Some(mut held) => {
                    held.set_config(config, now);
                    held
                }
                None if before.is_none() && self.is_founded => {
                    Budgets::new(Budget::full(config, now))
                }
                None => Budgets::new(Budget::new(config, now)),
            });
            Share { rank, budgets, returns: HashMap::new() }
        });
        self.is_founded = false;
    }
}

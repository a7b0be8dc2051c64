//! The retry budgets of services.

use slog::info;
use tokio::time::Instant;

use super::State;
use crate::decide::retry::repeats::RepeatLimit;
use crate::decide::retry::repeats::Repeats;

impl State {
    /// Whether the retry budget of the service allows a retry of the request.
    pub fn allow_retry(&self, service: &str, request: Option<&str>) -> bool {
        let vms = self.merged().entry_vm_count();
        let now = Instant::now();
        let (sent, is_allowed) = self.with_retry_budget(service, |budget| {
            (budget.sent(now), budget.try_acquire(vms, now))
        });
        let decision = if is_allowed { "charged" } else { "refused" };
        self.metrics.record_repeat(decision);
        info!(self.log, "retry.{}", decision; "request" => request, "service" => service,
            "firsts" => sent.firsts, "repeats" => sent.repeats, "vms" => vms,
            "roster_age_ms" => self.joined.get().map(|at| at.elapsed().as_millis() as u64),
            "up_ms" => self.started.elapsed().as_millis() as u64);
        is_allowed
    }

    /// Records a first attempt, which adds to the retry budget of the service.
    pub fn record_first_attempt(&self, service: &str) {
        self.with_retry_budget(service, |budget| budget.record_first(Instant::now()));
    }

    fn with_retry_budget<T>(&self, service: &str, update: impl FnOnce(&mut Repeats) -> T) -> T {
        let bounds = &self.node.bounds;
        let limit = RepeatLimit {
            ratio: bounds.repeat_ratio,
            minimum: bounds.repeat_least,
            window: bounds.repeat_window,
        };
        let mut budgets = self.retry_budgets.lock().expect("no panic while locked");
        if !budgets.contains_key(service) {
            budgets.insert(service.to_owned(), Repeats::new(limit));
        }
        update(budgets.get_mut(service).expect("it was just inserted where it was missing"))
    }
}

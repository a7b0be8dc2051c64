//! Recognises requests whose callers were refused before, by the time that they have left.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// A caller's total time is fixed, so that one with less than this part of the largest stated timeout has used the rest
/// for an earlier attempt.
const MAX_FRACTION: f64 = 0.97;

/// The least difference, which covers delays on the way to a VM.
const MIN_ELAPSED: Duration = Duration::from_millis(100);

/// How long a stated timeout counts, at least; twice as long at most.
const WINDOW: Duration = Duration::from_secs(10);

/// Bound on the routes.
const MAX_ROUTES: usize = 1024;

/// The largest timeouts stated on a route.
#[derive(Debug, Clone, Copy)]
struct Largest {
    window: Instant,
    current: Duration,
    previous: Duration,
}

/// The largest timeouts that callers of each route stated recently.
#[derive(Debug, Default)]
pub struct Returns {
    routes: HashMap<String, Largest>,
}

impl Largest {
    fn advance(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.window);
        if age < WINDOW {
            return;
        }
        self.previous = if age < WINDOW * 2 { self.current } else { Duration::ZERO };
        (self.current, self.window) = (Duration::ZERO, now);
    }
}

impl Returns {
    /// Records the timeout that a caller states; returns the time since its first attempt if this is not the first.
    pub fn record_timeout(
        &mut self,
        route: &str,
        timeout: Duration,
        now: Instant,
    ) -> Option<Duration> {
        if !self.routes.contains_key(route) {
            self.make_space(now);
            let largest = Largest { window: now, current: timeout, previous: Duration::ZERO };
            self.routes.insert(route.to_owned(), largest);
            return None;
        }
        let largest = self.routes.get_mut(route)?;
        largest.advance(now);
        largest.current = largest.current.max(timeout);
        let whole = largest.current.max(largest.previous);
        let elapsed = whole.saturating_sub(timeout);
        let is_return = timeout < whole.mul_f64(MAX_FRACTION) && elapsed >= MIN_ELAPSED;
        is_return.then_some(elapsed)
    }

    /// Removes routes of earlier documents.
    fn make_space(&mut self, now: Instant) {
        if self.routes.len() >= MAX_ROUTES {
            self.routes
                .retain(|_, largest| now.saturating_duration_since(largest.window) < WINDOW * 2);
        }
        if self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
    }
}

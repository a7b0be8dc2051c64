//! Detects a standing shortage of a service.

use std::time::Duration;

use tokio::time::Instant;

/// How long requests must have been expected near their objective. Shorter bursts are served from the queue.
const MIN_DURATION: Duration = Duration::from_secs(1);

/// How long after the last request that was expected near its objective the pressure or the shortage ends.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// So many requests in a row that were not expected near their objective end the pressure. One or two of them may run in
/// another region, or have their prompt in a cache.
const MAX_RELAXED: u32 = 3;

/// So many requests must have been expected in time since, or a VM with few requests would not see a shortage that goes on.
const MIN_ADMITTED: u32 = 10;

/// How long after the last request that was expected near its objective a shortage ends in any case.
const MAX_QUIET: Duration = Duration::from_secs(3);

/// Requests that were expected near their objective, before that is a shortage.
#[derive(Debug, Clone, Copy)]
struct Pressure {
    since: Instant,
    last: Instant,
    /// The requests that were expected near their objective.
    late: u32,
    /// The others.
    others: u32,
    /// The others since the last that was expected near its objective.
    others_in_a_row: u32,
}

/// A shortage.
#[derive(Debug, Clone, Copy)]
struct Standing {
    /// The last request that was expected near its objective.
    last: Instant,
    /// The others since.
    others: u32,
}

/// Whether a service is short of capacity, by the requests of one VM.
#[derive(Debug, Clone, Copy, Default)]
pub struct Detector {
    pressure: Option<Pressure>,
    standing: Option<Standing>,
}

impl Pressure {
    const fn new(now: Instant) -> Self {
        Self { since: now, last: now, late: 0, others: 0, others_in_a_row: 0 }
    }

    const fn record(&mut self, is_late: bool, now: Instant) {
        if is_late {
            self.last = now;
            self.late = self.late.saturating_add(1);
            self.others_in_a_row = 0;
        } else {
            self.others = self.others.saturating_add(1);
            self.others_in_a_row += 1;
        }
    }

    /// Whether it has lasted without a break.
    fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) < MAX_PAUSE
            && self.others_in_a_row < MAX_RELAXED
            && self.others <= self.late
    }
}

impl Standing {
    const fn record(&mut self, is_late: bool, now: Instant) {
        if is_late {
            *self = Self { last: now, others: 0 };
        } else {
            self.others = self.others.saturating_add(1);
        }
    }

    fn is_current(&self, now: Instant) -> bool {
        let pause = now.saturating_duration_since(self.last);
        pause < MAX_PAUSE || (self.others < MIN_ADMITTED && pause < MAX_QUIET)
    }
}

impl Detector {
    /// Records a request, and whether it was expected near its objective or above it.
    pub fn record(&mut self, is_late: bool, now: Instant) {
        if let Some(standing) = self.standing.as_mut().filter(|standing| standing.is_current(now)) {
            standing.record(is_late, now);
            return;
        }
        self.standing = None;
        self.pressure = self.pressure.filter(|pressure| pressure.is_current(now));
        if self.pressure.is_none() && !is_late {
            return;
        }
        let mut pressure = self.pressure.unwrap_or_else(|| Pressure::new(now));
        pressure.record(is_late, now);
        self.pressure = Some(pressure).filter(|pressure| pressure.is_current(now));
        if is_late && now.saturating_duration_since(pressure.since) >= MIN_DURATION {
            self.pressure = None;
            self.standing = Some(Standing { last: now, others: 0 });
        }
    }

    /// Whether there is a standing shortage.
    pub fn is_standing(&self, now: Instant) -> bool {
        self.standing.is_some_and(|standing| standing.is_current(now))
    }

    /// Whether there is a shortage, or one may be about to begin.
    pub fn is_pressed(&self, now: Instant) -> bool {
        self.is_standing(now) || self.pressure.is_some_and(|pressure| pressure.is_current(now))
    }
}

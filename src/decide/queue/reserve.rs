//! Slots kept free of long and batch work, as many as short work and alerts have lately needed.
//!
//! **Load pattern.** Briefings of half a minute beside lookups of a second. **Without it** briefings take every
//! slot, and a lookup waits for one of them to end, which no order within the queue can mend.

use std::time::Duration;

use tokio::time::Instant;

use crate::catalogue::Class;
use crate::decide::queue::Capacity;

/// How far back demand is remembered: a few hundred short requests, two long ones.
const MEMORY: Duration = Duration::from_secs(60);

/// The headroom over the mean demand, as a multiple of its square root.
///
/// Square-root staffing: demand of `a` slots varies by about the root of `a`. Half of it lets a lookup wait for a
/// part of a lookup's own service time at most, at a cost of one slot of 24.
const HEADROOM: f64 = 0.5;

/// Long and batch work keeps one slot of this many, however much short work arrives; at least one.
const LONG_PART: u64 = 8;

/// The service time asked for in each class, as slots that it keeps busy.
#[derive(Debug, Clone, Default)]
pub struct Reserve {
    load: [f64; Class::COUNT],
    updated: Option<Instant>,
}

impl Reserve {
    /// A request of this class and expected service time was accepted.
    pub fn add(&mut self, class: Class, service: Duration, now: Instant) {
        let faded = self.faded(now);
        self.load.iter_mut().for_each(|load| *load *= faded);
        self.updated = Some(now);
        self.load[class.index()] += service.as_secs_f64() / MEMORY.as_secs_f64();
    }

    /// Whether a request of this class may start now.
    pub fn allows(&self, class: Class, capacity: &Capacity, now: Instant) -> bool {
        let urgent = class <= Class::Short;
        capacity.is_free()
            && (urgent || capacity.held_long().get() < self.share(class, capacity, now))
    }

    /// The slots that a request of this class may count on.
    pub fn share(&self, class: Class, capacity: &Capacity, now: Instant) -> u64 {
        let slots = capacity.slots().get();
        let kept = self.kept(slots, now);
        let share = match class {
            Class::Alert | Class::Short => {
                slots.saturating_sub(capacity.held_long().get()).max(kept)
            }
            Class::Long | Class::Batch => slots - kept,
        };
        share.max(1)
    }

    /// The slots kept free of long and batch work. A lone slot is never kept.
    fn kept(&self, slots: u64, now: Instant) -> u64 {
        let load =
            (self.load[Class::Alert.index()] + self.load[Class::Short.index()]) * self.faded(now);
        let wanted = (load + HEADROOM * load.sqrt()).ceil() as u64;
        let most = slots.saturating_sub(slots.div_ceil(LONG_PART));
        wanted.max(1).min(most)
    }

    fn faded(&self, now: Instant) -> f64 {
        let age =
            self.updated.map_or(Duration::ZERO, |updated| now.saturating_duration_since(updated));
        (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}

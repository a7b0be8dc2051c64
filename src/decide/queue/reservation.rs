//! Slots reserved for short requests and alerts, according to their recent demand.
//!
//! Without a reservation long requests occupy every slot, and a short one waits for one of them to finish.

use std::time::Duration;

use tokio::time::Instant;

use crate::catalogue::Class;
use crate::decide::queue::Capacity;

/// Time constant of the moving average of demand.
const TIME_CONSTANT: Duration = Duration::from_secs(60);

/// The headroom over the mean demand, as a multiple of its square root.
///
/// Square-root staffing: a demand of `a` slots varies by about the square root of `a`. Half of that
/// lets a short request wait for a part of its own service time at most, and costs one slot of 24.
const HEADROOM: f64 = 0.5;

/// Long and batch requests always keep one slot in this many, and at least one.
const LONG_DIVISOR: u64 = 8;

/// The recent demand of each class, in slots.
#[derive(Debug, Clone, Default)]
pub struct Reservation {
    load: [f64; Class::COUNT],
    updated: Option<Instant>,
}

impl Reservation {
    /// Records an accepted request of this class and expected service time.
    pub fn add(&mut self, class: Class, service: Duration, now: Instant) {
        let decay = self.decay(now);
        self.load.iter_mut().for_each(|load| *load *= decay);
        self.updated = Some(now);
        self.load[class.index()] += service.as_secs_f64() / TIME_CONSTANT.as_secs_f64();
    }

    /// Whether a request of this class may start now.
    pub fn allows(&self, class: Class, capacity: &Capacity, now: Instant) -> bool {
        let urgent = class <= Class::Short;
        capacity.is_free()
            && (urgent || capacity.running_long().get() < self.share(class, capacity, now))
    }

    /// The number of slots available to this class.
    pub fn share(&self, class: Class, capacity: &Capacity, now: Instant) -> u64 {
        let slots = capacity.slots().get();
        let reserved = self.reserved(slots, now);
        let share = match class {
            Class::Alert | Class::Short => {
                slots.saturating_sub(capacity.running_long().get()).max(reserved)
            }
            Class::Long | Class::Batch => slots - reserved,
        };
        share.max(1)
    }

    /// The number of slots reserved for short requests and alerts. A single slot is never reserved.
    fn reserved(&self, slots: u64, now: Instant) -> u64 {
        let load =
            (self.load[Class::Alert.index()] + self.load[Class::Short.index()]) * self.decay(now);
        let wanted = (load + HEADROOM * load.sqrt()).ceil() as u64;
        let most = slots.saturating_sub(slots.div_ceil(LONG_DIVISOR));
        wanted.max(1).min(most)
    }

    fn decay(&self, now: Instant) -> f64 {
        let age =
            self.updated.map_or(Duration::ZERO, |updated| now.saturating_duration_since(updated));
        (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

//! The slots that a VM may use, and what runs on them.

use crate::catalogue::Class;
use crate::unit::Slots;

/// One of this many slots is kept free of long and batch work.
///
/// Derived: a short lookup must find a slot within one short service time although every other slot holds
/// a briefing that runs for a minute. A quarter carries short work up to 25% of the load with no wait
/// behind long work.
const SHORT_RESERVE: u64 = 4;

/// One of this many slots is kept free of everything but alerts.
///
/// Derived: alerts are a few per cent of the requests, and one slot of eight that is free at once is worth more
/// to them than any order within the queue.
const ALERT_RESERVE: u64 = 8;

/// The slots of an upstream set that this VM may use, and how many requests of each class run there.
#[derive(Debug, Clone, Default)]
pub struct Capacity {
    slots: u64,
    running: [u64; Class::COUNT],
}

impl Capacity {
    /// So many slots, all of them free.
    pub fn new(slots: Slots) -> Self {
        Self { slots: slots.get(), running: [0; Class::COUNT] }
    }

    /// The slots, free or not.
    pub fn slots(&self) -> Slots {
        Slots::new(self.slots)
    }

    /// Changes the number of slots; running requests stay.
    pub fn resize(&mut self, slots: Slots) {
        self.slots = slots.get();
    }

    /// A request of this class was sent to an upstream.
    pub fn started(&mut self, class: Class) {
        self.running[class.index()] += 1;
    }

    /// A request of this class no longer occupies its slot.
    pub fn finished(&mut self, class: Class) {
        let running = &mut self.running[class.index()];
        *running = running.saturating_sub(1);
    }

    /// The requests that run, of all classes.
    pub fn busy(&self) -> u64 {
        self.running.iter().sum()
    }

    /// Whether a request of this class may start now.
    pub fn allows(&self, class: Class) -> bool {
        self.busy() < self.slots && self.held_by(class) < self.share(class)
    }

    /// The slots that requests of this class, and of less urgent ones, may hold together.
    pub fn share(&self, class: Class) -> u64 {
        self.slots - self.reserve(class)
    }

    /// The slots kept from this class for more urgent ones. A lone slot is never reserved.
    fn reserve(&self, class: Class) -> u64 {
        let wanted = match class {
            Class::Alert => 0,
            Class::Short => self.slots.div_ceil(ALERT_RESERVE),
            Class::Long | Class::Batch => {
                self.slots.div_ceil(ALERT_RESERVE) + self.slots.div_ceil(SHORT_RESERVE)
            }
        };
        wanted.min(self.slots.saturating_sub(1))
    }

    /// The requests of this class and of less urgent ones that run.
    fn held_by(&self, class: Class) -> u64 {
        self.running[class.index().min(Class::Long.index())..].iter().sum()
    }
}

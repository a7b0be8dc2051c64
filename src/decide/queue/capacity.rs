//! The slots that a VM may use, and the requests running on them.

use crate::catalogue::Class;
use crate::unit::Slots;

/// The slots of an upstream set that this VM may use, and how many requests of each class run there.
#[derive(Debug, Clone, Default)]
pub struct Capacity {
    slots: u64,
    running: [u64; Class::COUNT],
}

impl Capacity {
    /// Creates a capacity with all slots free.
    pub fn new(slots: Slots) -> Self {
        Self { slots: slots.get(), running: [0; Class::COUNT] }
    }

    /// The total number of slots.
    pub fn slots(&self) -> Slots {
        Slots::new(self.slots)
    }

    /// Changes the number of slots; running requests stay.
    pub fn resize(&mut self, slots: Slots) {
        self.slots = slots.get();
    }

    /// Records that a request of this class was sent to an upstream.
    pub fn started(&mut self, class: Class) {
        self.running[class.index()] += 1;
    }

    /// Records that a request of this class no longer occupies its slot.
    pub fn finished(&mut self, class: Class) {
        let running = &mut self.running[class.index()];
        *running = running.saturating_sub(1);
    }

    /// The number of occupied slots.
    pub fn busy(&self) -> Slots {
        Slots::new(self.running.iter().sum())
    }

    /// The number of slots occupied by long and batch requests.
    pub fn running_long(&self) -> Slots {
        Slots::new(self.running[Class::Long.index()..].iter().sum())
    }

    /// Whether a slot is free.
    pub fn is_free(&self) -> bool {
        self.busy().get() < self.slots
    }
}

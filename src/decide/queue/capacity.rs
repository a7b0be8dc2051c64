//! The slots that a VM may use, and what runs on them.

use crate::catalogue::Class;
use crate::unit::Slots;

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
    pub fn busy(&self) -> Slots {
        Slots::new(self.running.iter().sum())
    }

    /// The long and batch requests that run: they hold their slots for minutes.
    pub fn held_long(&self) -> Slots {
        Slots::new(self.running[Class::Long.index()..].iter().sum())
    }

    /// Whether a slot is free.
    pub fn is_free(&self) -> bool {
        self.busy().get() < self.slots
    }
}

//! What is still to be told to the neighbours.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::key::Key;
use crate::id;

/// Keys whose newest facts are still to be told, oldest first, each with the VM it came from.
#[derive(Debug, Default)]
pub(super) struct Spread {
    order: VecDeque<Key>,
    sources: BTreeMap<Key, Option<id::Vm>>,
}

/// One key to tell, and the VM that needn't be told.
#[derive(Debug)]
pub(super) struct Item {
    pub(super) key: Key,
    pub(super) source: Option<id::Vm>,
}

impl Spread {
    /// Adds a key; one that waits already keeps its place.
    pub(super) fn push(&mut self, key: Key, source: Option<id::Vm>) {
        if self.sources.insert(key.clone(), source).is_none() {
            self.order.push_back(key);
        }
    }

    pub(super) fn pop(&mut self) -> Option<Item> {
        let key = self.order.pop_front()?;
        let source = self.sources.remove(&key)?;
        Some(Item { key, source })
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }
}

//! An engine's slots and its queue, which honours priorities.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::sync::oneshot;

#[derive(Debug, Default)]
struct Inner {
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<Permit>>,
}

/// Slots; a lower priority number is served first, and equal ones in order of arrival.
#[derive(Debug)]
pub(crate) struct Slots {
    count: usize,
    inner: Mutex<Inner>,
}

/// A slot that is given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Permit(Option<Arc<Slots>>);

impl Slots {
    pub(crate) fn new(count: usize) -> Self {
        Self { count, inner: Mutex::default() }
    }

    pub(crate) async fn take(self: &Arc<Self>, priority: u8) -> Permit {
        let receiver = {
            let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
            if inner.running < self.count {
                inner.running += 1;
                return Permit(Some(Arc::clone(self)));
            }
            inner.arrivals += 1;
            let place = (priority, inner.arrivals);
            let (sender, receiver) = oneshot::channel();
            inner.waiting.insert(place, sender);
            receiver
        };
        receiver.await.unwrap_or(Permit(None))
    }

    /// Requests that run and that wait.
    pub(crate) fn load(&self) -> (usize, usize) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.waiting.retain(|_, waiter| !waiter.is_closed());
        (inner.running, inner.waiting.len())
    }

    fn next(&self) -> Option<oneshot::Sender<Permit>> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let next = inner.waiting.pop_first();
        if next.is_none() {
            inner.running -= 1;
        }
        next.map(|(_, waiter)| waiter)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(slots) = self.0.take() else { return };
        // A waiter that has gone away hands the slot back by dropping it, and so on to the next.
        if let Some(waiter) = slots.next() {
            drop(waiter.send(Self(Some(slots))));
        }
    }
}

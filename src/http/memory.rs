//! The memory that the bodies of requests and answers take up in a process.
//!
//! Guards against a sender without end, or many large ones: without a bound the process grows until the platform kills
//! it, and all requests in progress are lost with it.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;

use crate::unit;

/// The part of a body, in bytes, that needs no reservation. Large bodies can't keep out small ones.
pub const FREE_BYTES: usize = 16 << 10;

/// Bytes are reserved in multiples of this.
const STEP_BYTES: u64 = 16 << 10;

/// The bytes that all bodies together may take up.
#[derive(Debug, Clone)]
pub struct Budget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limit: u64,
    reserved: AtomicU64,
    rejected: AtomicU64,
}

/// What one body takes up of a [`Budget`], until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    reserved: u64,
}

/// A body and its reservation.
struct Reserved {
    bytes: Bytes,
    _reservation: Reservation,
}

impl Budget {
    /// Creates a budget of so many bytes.
    pub fn new(limit: unit::Bytes) -> Self {
        Self(Arc::new(Shared {
            limit: limit.get(),
            reserved: AtomicU64::new(0),
            rejected: AtomicU64::new(0),
        }))
    }

    /// Creates a reservation without bytes.
    pub fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), reserved: 0 }
    }

    /// The bytes that are reserved.
    pub fn reserved(&self) -> unit::Bytes {
        unit::Bytes::new(self.0.reserved.load(Ordering::Relaxed))
    }

    /// How often bytes were not available.
    pub fn rejected(&self) -> u64 {
        self.0.rejected.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: u64) -> bool {
        let add = |reserved: u64| {
            let sum = reserved.saturating_add(bytes);
            (sum <= self.0.limit).then_some(sum)
        };
        let taken = self.0.reserved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok();
        if !taken {
            self.0.rejected.fetch_add(1, Ordering::Relaxed);
        }
        taken
    }
}

impl Reservation {
    /// Reserves memory for a body of that size in bytes, and returns whether it is available. The first [`FREE_BYTES`]
    /// always are.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let counted = bytes.saturating_sub(FREE_BYTES) as u64;
        let lacking = counted.saturating_sub(self.reserved).next_multiple_of(STEP_BYTES);
        if lacking > 0 && !self.budget.take(lacking) {
            return false;
        }
        self.reserved += lacking;
        true
    }

    /// Releases what a body of that size in bytes doesn't need.
    pub fn shrink_to(&mut self, bytes: usize) {
        let counted = bytes.saturating_sub(FREE_BYTES) as u64;
        let spare = self.reserved.saturating_sub(counted.next_multiple_of(STEP_BYTES));
        self.reserved -= spare;
        self.budget.0.reserved.fetch_sub(spare, Ordering::Relaxed);
    }

    /// Ties the reservation to the bytes: it is released with their last copy.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if self.reserved == 0 {
            return bytes;
        }
        Bytes::from_owner(Reserved { bytes, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.reserved.fetch_sub(self.reserved, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;

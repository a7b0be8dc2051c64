//! Limits on the number and size of waiting requests.

use std::collections::HashMap;

use thiserror::Error;

use crate::catalogue::Class;
use crate::decide::queue::Ticket;
use crate::id;
use crate::unit::Bytes;

/// The fraction of the queue that each class may fill, in eighths, in the order of [`Class::ALL`].
///
/// Batch requests fill at most half of the queue, and some room always remains for alerts.
const CLASS_LIMIT_EIGHTHS: [u64; Class::COUNT] = [8, 7, 6, 4];

/// Limits of the queue, in total and for one owner.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Maximum number of requests.
    pub count: u64,
    /// Maximum number of bytes.
    pub bytes: Bytes,
    /// Maximum number of requests of one owner.
    pub owner_count: u64,
    /// Maximum number of bytes of one owner.
    pub owner_bytes: Bytes,
}

impl Default for Bounds {
    /// Sized for a VM with 256 MB of memory: 64 MiB of waiting bodies. One owner may fill an eighth of the queue.
    fn default() -> Self {
        Self {
            count: 16_384,
            bytes: Bytes::new(64 << 20),
            owner_count: 2_048,
            owner_bytes: Bytes::new(8 << 20),
        }
    }
}

/// Why a request can't be queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The queue is full.
    #[error("the queue is full")]
    Full,
    /// The owner's part of the queue is full.
    #[error("the owner's part of the queue is full")]
    OwnerFull,
    /// The request is already in the queue.
    #[error("the request waits already")]
    Duplicate,
    /// The deadline can't be met, even if the request starts at once.
    #[error("the deadline can't be met")]
    TooLate,
}

/// A number of requests and their total size.
#[derive(Debug, Clone, Copy, Default)]
struct Amount {
    count: u64,
    bytes: u64,
}

impl Amount {
    fn add(&mut self, size: Bytes) {
        self.count += 1;
        self.bytes += size.get();
    }

    fn subtract(&mut self, size: Bytes) {
        self.count -= 1;
        self.bytes -= size.get();
    }
}

/// The current usage of the queue, in total and by owner.
#[derive(Debug, Default)]
pub struct Usage {
    bounds: Bounds,
    total: Amount,
    owners: HashMap<id::Owner, Amount>,
}

impl Usage {
    /// Creates an empty record.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, ..Self::default() }
    }

    /// Checks whether a ticket fits within the limits.
    pub fn check(&self, ticket: &Ticket) -> Result<(), Refusal> {
        let eighths = CLASS_LIMIT_EIGHTHS[ticket.class.index()];
        let owner = self.owners.get(&ticket.owner).copied().unwrap_or_default();
        let size = ticket.size.get();
        let owner_full = owner.count >= self.bounds.owner_count
            || owner.bytes + size > self.bounds.owner_bytes.get();
        if owner_full {
            return Err(Refusal::OwnerFull);
        }
        let full = self.total.count >= self.bounds.count * eighths / 8
            || self.total.bytes + size > self.bounds.bytes.get() * eighths / 8;
        if full { Err(Refusal::Full) } else { Ok(()) }
    }

    /// Adds a ticket to the usage.
    pub fn add(&mut self, ticket: &Ticket) {
        self.total.add(ticket.size);
        self.owners.entry(ticket.owner.clone()).or_default().add(ticket.size);
    }

    /// Removes a ticket from the usage.
    pub fn subtract(&mut self, ticket: &Ticket) {
        self.total.subtract(ticket.size);
        let Some(owner) = self.owners.get_mut(&ticket.owner) else { return };
        owner.subtract(ticket.size);
        if owner.count == 0 {
            self.owners.remove(&ticket.owner);
        }
    }
}

//! How much may wait.

use std::collections::HashMap;

use thiserror::Error;

use crate::catalogue::Class;
use crate::decide::queue::Ticket;
use crate::id;
use crate::unit::Bytes;

/// The part of the bounds that each class may fill, in eighths, in the order of [`Class::ALL`].
///
/// A flood of batch work fills half of the queue; an alert still finds room behind a flood of all others.
const FILL_EIGHTHS: [u64; Class::COUNT] = [8, 7, 6, 4];

/// How much may wait, in all and of one owner.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Requests in all.
    pub count: u64,
    /// Bytes in all.
    pub bytes: Bytes,
    /// Requests of one owner.
    pub owner_count: u64,
    /// Bytes of one owner.
    pub owner_bytes: Bytes,
}

impl Default for Bounds {
    /// Derived from 256 MB for each VM: 64 MiB of waiting bodies, and an eighth of either bound for one owner,
    /// so that no single owner can fill the queue.
    fn default() -> Self {
        Self {
            count: 16_384,
            bytes: Bytes::new(64 << 20),
            owner_count: 2_048,
            owner_bytes: Bytes::new(8 << 20),
        }
    }
}

/// Why a request may not wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// As much waits as may.
    #[error("the queue is full")]
    Full,
    /// As much waits as one owner may have waiting.
    #[error("the owner's part of the queue is full")]
    OwnerFull,
    /// The request waits already.
    #[error("the request waits already")]
    Duplicate,
    /// The deadline can't be met even by a start at once.
    #[error("the deadline can't be met")]
    TooLate,
}

/// Requests and bytes that wait.
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

/// What waits, held against the bounds.
#[derive(Debug, Default)]
pub struct Fill {
    bounds: Bounds,
    total: Amount,
    owners: HashMap<id::Owner, Amount>,
}

impl Fill {
    /// Nothing waits yet.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, ..Self::default() }
    }

    /// Whether this ticket may wait too.
    pub fn check(&self, ticket: &Ticket) -> Result<(), Refusal> {
        let eighths = FILL_EIGHTHS[ticket.class.index()];
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

    /// Counts a ticket in.
    pub fn add(&mut self, ticket: &Ticket) {
        self.total.add(ticket.size);
        self.owners.entry(ticket.owner.clone()).or_default().add(ticket.size);
    }

    /// Counts a ticket out.
    pub fn subtract(&mut self, ticket: &Ticket) {
        self.total.subtract(ticket.size);
        let Some(owner) = self.owners.get_mut(&ticket.owner) else { return };
        owner.subtract(ticket.size);
        if owner.count == 0 {
            self.owners.remove(&ticket.owner);
        }
    }
}

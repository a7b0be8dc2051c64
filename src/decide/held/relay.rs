//! Host side: passes on the changes of a shard's engines to the VMs of the region.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::Change;
use super::Exchange;
use crate::decide::sharing::Cursor;
use crate::decide::sharing::UPDATE_TTL;
use crate::id;

/// How long changes are retained for VMs that have not received them. A VM that is further behind, since its line allows no
/// more, would take parts for held that were evicted long ago. It goes on with the latest changes, and doubts the engines of
/// those that it has missed until their whole state is told.
const RETENTION: Duration = UPDATE_TTL;

/// The changes that are retained at most.
const MAX_RETAINED: usize = 1_024;

/// The bytes of changes that a VM receives in a second for one shard. With what surrounds them, the four shards stay below
/// 5 kB/s.
const BYTES_PER_SECOND: f64 = 1_100.0;

/// The bytes that a VM receives at once at most, apart from a single longer change.
const BURST_BYTES: f64 = 1_500.0;

/// How long a VM that sends no updates is remembered.
const VM_TTL: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Budget {
    bytes: f64,
    at: Instant,
}

/// The log of one shard.
#[derive(Debug, Default)]
pub struct Relay {
    log: VecDeque<(Change, Instant)>,
    /// The number of the first element of `log`.
    first_number: u64,
    budgets: HashMap<id::Vm, Budget>,
}

impl Relay {
    /// Adds a VM's changes, and returns those that it has not received. `host` identifies this start of the host.
    pub fn exchange(
        &mut self,
        host: u64,
        from: &id::Vm,
        received: Exchange,
        now: Instant,
    ) -> Exchange {
        self.log.extend(received.changes.into_iter().map(|change| (change, now)));
        let is_old = |at: &Instant| now.saturating_duration_since(*at) >= RETENTION;
        let old = self.log.iter().take_while(|(_, at)| is_old(at)).count();
        let over = old.max(self.log.len().saturating_sub(MAX_RETAINED));
        self.log.drain(..over);
        self.first_number += over as u64;
        let end = self.first_number + self.log.len() as u64;
        let is_known = received.known.host == host && received.known.next <= end;
        let known = if is_known { received.known.next } else { 0 };
        let mut next = known.max(self.first_number);
        let mut changes = Vec::new();
        let mut bytes = self.budget(from, now).bytes;
        while next < end && bytes > 0.0 {
            let Some((change, _)) = self.log.get((next - self.first_number) as usize) else {
                break;
            };
            bytes -= change.bytes() as f64;
            changes.push(change.clone());
            next += 1;
        }
        self.budget(from, now).bytes = bytes;
        Exchange { known: Cursor { host, next }, changes }
    }

    fn budget(&mut self, vm: &id::Vm, now: Instant) -> &mut Budget {
        let age = |budget: &Budget| now.saturating_duration_since(budget.at);
        self.budgets.retain(|_, budget| age(budget) < VM_TTL);
        let new = Budget { bytes: BURST_BYTES, at: now };
        let budget = self.budgets.entry(vm.clone()).or_insert(new);
        let earned = age(budget).as_secs_f64() * BYTES_PER_SECOND;
        (budget.bytes, budget.at) = ((budget.bytes + earned).min(BURST_BYTES), now);
        budget
    }
}

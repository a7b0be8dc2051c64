//! Which VM hosts a shard, as one VM sees it.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::ROUND;
use super::SHARDS;
use super::Summary;
use crate::decide::route::rendezvous;
use crate::id;

/// The VMs that may host a shard, by turns as the ones before are lost.
const CANDIDATES: usize = 3;

/// After so many updates without an answer the next candidate is told instead: [`ROUND`] times this is the time for which a
/// lost host leaves VMs to their own view.
pub const MISSED: usize = 4;

/// A candidate that gave no answer is left alone for so long.
const AWAY: Duration = Duration::from_secs(3);

/// An answer to an update that is older than this is of no use: its host stood still meanwhile.
const LATE: Duration = Duration::from_millis(400);

#[derive(Debug, Default)]
struct Shard {
    candidates: Vec<id::Vm>,
    away: HashMap<id::Vm, Instant>,
    /// The updates without an answer, by number, and when each was sent.
    open: VecDeque<(u64, Instant)>,
    told: Option<id::Vm>,
}

/// The hosts of all shards.
#[derive(Debug)]
pub struct Hosts {
    shards: Vec<Shard>,
    number: u64,
}

/// Where an update goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Turn {
    /// The host.
    pub host: id::Vm,
    /// The update's number.
    pub number: u64,
    /// The host that was told until now and gave no answer.
    pub lost: Option<id::Vm>,
}

impl Hosts {
    /// No VM is known yet.
    pub fn new() -> Self {
        Self { shards: (0..SHARDS).map(|_| Shard::default()).collect(), number: 0 }
    }

    /// Takes in which VMs of the region may host.
    pub fn sync(&mut self, vms: &[id::Vm]) {
        for (nth, shard) in self.shards.iter_mut().enumerate() {
            let named = vms.iter().map(|vm| (vm, vm.as_str()));
            let top = rendezvous::top(nth as u64, named, CANDIDATES);
            shard.candidates = top.into_iter().cloned().collect();
        }
    }

    /// The next update of a shard; none where no VM may host it.
    pub fn next(&mut self, shard: u8, now: Instant) -> Option<Turn> {
        let shard = self.shards.get_mut(usize::from(shard))?;
        shard.away.retain(|_, until| now < *until);
        let mut lost = None;
        if shard.open.len() >= MISSED
            && let Some(told) = shard.told.take()
        {
            shard.away.insert(told.clone(), now + AWAY);
            shard.open.clear();
            lost = Some(told);
        }
        let host = shard.candidates.iter().find(|vm| !shard.away.contains_key(*vm))?.clone();
        if shard.told.as_ref() != Some(&host) {
            shard.open.clear();
        }
        shard.told = Some(host.clone());
        self.number += 1;
        shard.open.push_back((self.number, now));
        Some(Turn { host, number: self.number, lost })
    }

    /// An answer came; whether it is of use.
    pub fn answered(&mut self, from: &id::Vm, summary: &Summary, now: Instant) -> bool {
        let Some(shard) = self.shards.get_mut(usize::from(summary.shard)) else { return false };
        if shard.told.as_ref() != Some(from) {
            return false;
        }
        let sent = shard.open.iter().find(|(number, _)| *number == summary.number);
        let is_late = sent.is_none_or(|(_, at)| now.saturating_duration_since(*at) > LATE);
        shard.open.retain(|(number, _)| *number > summary.number);
        !is_late
    }
}

impl Default for Hosts {
    fn default() -> Self {
        Self::new()
    }
}

const _: () =
    assert!(MISSED as u128 * ROUND.as_millis() <= 700, "a lost host is left within 0.7 s");

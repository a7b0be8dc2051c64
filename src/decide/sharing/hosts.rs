//! Selects the host of each shard, from the point of view of one VM.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::SHARDS;
use super::Summary;
use super::UPDATE_INTERVAL;
use crate::decide::route::rendezvous;
use crate::id;

/// Candidate hosts of a shard, tried in order.
const CANDIDATES: usize = 3;

/// Unanswered updates after which the next candidate is used. Times [`UPDATE_INTERVAL`], this
/// bounds how long VMs depend on their own view after a host fails.
pub const MAX_UNANSWERED: usize = 4;

/// How long a candidate is skipped after it failed to answer.
const RETRY_AFTER: Duration = Duration::from_secs(3);

/// Maximum age of the update that a summary answers. An older one means that the host was
/// suspended.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(400);

#[derive(Debug, Default)]
struct Shard {
    candidates: Vec<id::Vm>,
    skipped: HashMap<id::Vm, Instant>,
    /// Unanswered updates: sequence number and time sent.
    pending: VecDeque<(u64, Instant)>,
    current: Option<id::Vm>,
    /// The sequence number of the last update.
    last_number: u64,
}

/// The hosts of all shards.
#[derive(Debug)]
pub struct Hosts {
    shards: Vec<Shard>,
    number: u64,
}

/// The destination of an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The host.
    pub host: id::Vm,
    /// The sequence number of the update.
    pub number: u64,
    /// The previous host, if it has just been given up.
    pub failed: Option<id::Vm>,
}

impl Hosts {
    /// Creates the selection without candidates.
    pub fn new() -> Self {
        Self { shards: (0..SHARDS).map(|_| Shard::default()).collect(), number: 0 }
    }

    /// Updates the candidates from the VMs of the region.
    pub fn set_candidates(&mut self, vms: &[id::Vm]) {
        for (nth, shard) in self.shards.iter_mut().enumerate() {
            let named = vms.iter().map(|vm| (vm, vm.as_str()));
            let top = rendezvous::top(nth as u64, named, CANDIDATES);
            shard.candidates = top.into_iter().cloned().collect();
        }
    }

    /// The destination of the next update of a shard; `None` if no VM can host it.
    pub fn next_target(&mut self, shard: u8, now: Instant) -> Option<Target> {
        let shard = self.shards.get_mut(usize::from(shard))?;
        shard.skipped.retain(|_, until| now < *until);
        let mut failed = None;
        // Updates beyond the regular ones follow each other faster.
        let has_waited = shard.pending.front().is_some_and(|(_, at)| {
            now.saturating_duration_since(*at) >= UPDATE_INTERVAL * (MAX_UNANSWERED as u32 - 1)
        });
        if shard.pending.len() >= MAX_UNANSWERED
            && has_waited
            && let Some(current) = shard.current.take()
        {
            shard.skipped.insert(current.clone(), now + RETRY_AFTER);
            shard.pending.clear();
            failed = Some(current);
        }
        let host = shard.candidates.iter().find(|vm| !shard.skipped.contains_key(*vm))?.clone();
        if shard.current.as_ref() != Some(&host) {
            shard.pending.clear();
        }
        shard.current = Some(host.clone());
        self.number += 1;
        shard.last_number = self.number;
        shard.pending.push_back((self.number, now));
        Some(Target { host, number: self.number, failed })
    }

    /// Returns whether that update of a shard is the last one, and was sent to that host.
    pub fn is_last_update(&self, to: &id::Vm, shard: u8, number: u64) -> bool {
        let shard = self.shards.get(usize::from(shard));
        shard.is_some_and(|shard| shard.last_number == number && shard.current.as_ref() == Some(to))
    }

    /// Records a summary and returns whether to use it.
    pub fn accept_summary(&mut self, from: &id::Vm, summary: &Summary, now: Instant) -> bool {
        let Some(shard) = self.shards.get_mut(usize::from(summary.shard)) else { return false };
        if shard.current.as_ref() != Some(from) {
            return false;
        }
        let sent = shard.pending.iter().find(|(number, _)| *number == summary.number);
        let is_late =
            sent.is_none_or(|(_, at)| now.saturating_duration_since(*at) > MAX_ANSWER_AGE);
        shard.pending.retain(|(number, _)| *number > summary.number);
        !is_late
    }
}

impl Default for Hosts {
    fn default() -> Self {
        Self::new()
    }
}

const _: () = assert!(
    MAX_UNANSWERED as u128 * UPDATE_INTERVAL.as_millis() <= 700,
    "a failed host is left within 0.7 s"
);

//! Selects the control VMs that an entry VM follows.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::decide::route::rendezvous;
use crate::id;

/// Number of subscriptions: two permanent ones and the fallback.
pub const SLOTS: usize = 3;
/// The subscription that receives the entry VMs of all regions; the others receive those of this
/// region.
///
/// Guards against an update storm during rolling restarts: a few VMs of each other region are
/// enough, and so is one source for them.
pub const FULL_ROSTER: usize = 0;
/// The subscription that is active only while no other source is up to date.
pub const FALLBACK: usize = 2;
/// Backoff for a control VM that did not respond. It is short because entry VMs start faster than
/// control VMs after a power failure.
const FAILURE_BACKOFF: Duration = Duration::from_millis(150);
/// How long after a failure a source is not replaced by that control VM, so that a VM that can't be
/// reached from here doesn't interrupt the subscription again and again.
const MIN_RELIABLE_TIME: Duration = Duration::from_secs(15);
/// How long a better control VM must be known before it replaces a source.
const MOVE_DELAY: Duration = Duration::from_secs(2);
/// The same for a source that was chosen as a seed, when no control VM was known yet. It is short, so that little of the
/// roster has been received.
const FIRST_MOVE_DELAY: Duration = Duration::from_millis(200);

/// A control VM that can be followed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The VM.
    pub vm: id::Vm,
    /// Whether it is in the follower's region.
    pub is_local: bool,
    /// Whether it is reported as live; a seed may be down.
    pub is_live: bool,
}

/// The followed control VMs and those that failed.
#[derive(Debug)]
pub struct Sources {
    own_vm: id::Vm,
    current: [Option<id::Vm>; SLOTS],
    /// Whether the source was reported as live when it was chosen.
    was_live: [bool; SLOTS],
    /// Until when control VMs are not chosen again.
    backoff: HashMap<id::Vm, Instant>,
    /// When control VMs failed.
    failed: HashMap<id::Vm, Instant>,
    is_fresh: [bool; SLOTS],
    /// Since when a better control VM has been known.
    better_since: [Option<Instant>; SLOTS],
}

impl Sources {
    /// Creates a state without sources.
    pub fn new(own_vm: id::Vm) -> Self {
        Self {
            own_vm,
            current: Default::default(),
            was_live: [false; SLOTS],
            backoff: HashMap::new(),
            failed: HashMap::new(),
            is_fresh: [false; SLOTS],
            better_since: [None; SLOTS],
        }
    }

    /// Records whether a source is up to date and returns whether to keep following it. The
    /// fallback is kept only while it is up to date and no other source is.
    pub fn record_freshness(&mut self, slot: usize, is_fresh: bool) -> bool {
        self.is_fresh[slot] = is_fresh;
        slot != FALLBACK || (is_fresh && !self.has_fresh_source())
    }

    /// Whether the subscription should be active.
    pub fn needs(&self, slot: usize) -> bool {
        slot != FALLBACK || !self.has_fresh_source()
    }

    /// Whether a source need not send routing states, since the first one does.
    ///
    /// Each state would otherwise reach each VM twice, once over the links between regions.
    pub fn defers_routing(&self, slot: usize) -> bool {
        slot != FULL_ROSTER && self.is_fresh[FULL_ROSTER]
    }

    /// Selects a source for a subscription.
    pub fn choose(
        &mut self,
        slot: usize,
        candidates: &[Candidate],
        now: Instant,
    ) -> Option<id::Vm> {
        self.backoff.retain(|_, until| now < *until);
        let free = candidates.iter().filter(|one| {
            !self.current.contains(&Some(one.vm.clone())) && !self.backoff.contains_key(&one.vm)
        });
        let chosen = free.min_by_key(|one| self.rank(slot, one))?;
        let vm = chosen.vm.clone();
        self.was_live[slot] = chosen.is_live;
        self.current[slot] = Some(vm.clone());
        self.better_since[slot] = None;
        Some(vm)
    }

    /// Ends a subscription.
    pub fn leave(&mut self, slot: usize) -> Option<id::Vm> {
        self.is_fresh[slot] = false;
        self.current[slot].take()
    }

    /// Ends a subscription whose source is not up to date, or not needed: the next one is another VM.
    pub fn pass_over(&mut self, slot: usize, now: Instant) {
        if let Some(vm) = self.leave(slot) {
            self.backoff.insert(vm, now + FAILURE_BACKOFF);
        }
    }

    /// Ends a subscription whose source failed.
    pub fn fail(&mut self, slot: usize, now: Instant) {
        if let Some(vm) = self.current[slot].clone() {
            self.failed.insert(vm, now);
        }
        self.pass_over(slot, now);
    }

    /// Whether to replace a source by a better one that has been known for some time. `jitter` spreads the moves of a fleet.
    ///
    /// All VMs start with the seeds as their only candidates. If they stayed there, three control VMs
    /// would serve the whole fleet, most of it over the links between regions.
    pub fn should_move(
        &mut self,
        slot: usize,
        candidates: &[Candidate],
        jitter: Duration,
        now: Instant,
    ) -> bool {
        self.failed.retain(|_, at| now < *at + MIN_RELIABLE_TIME);
        let Some(current) = self.current[slot].clone() else { return false };
        let others: Vec<&id::Vm> =
            self.current.iter().flatten().filter(|vm| **vm != current).collect();
        let usable = candidates.iter().filter(|one| {
            one.vm == current
                || (one.is_live && !others.contains(&&one.vm) && !self.failed.contains_key(&one.vm))
        });
        let best = usable.min_by_key(|one| self.rank(slot, one));
        if best.is_none_or(|best| best.vm == current) {
            self.better_since[slot] = None;
            return false;
        }
        let since = *self.better_since[slot].get_or_insert(now);
        let delay = if self.was_live[slot] { MOVE_DELAY + jitter } else { FIRST_MOVE_DELAY };
        now >= since + delay
    }

    /// The preference of a subscription, lowest first: a control VM of this region for the first one,
    /// so that an isolated region keeps working, and one of another region for the others, so that
    /// lagging control VMs of this region delay nothing.
    fn rank(&self, slot: usize, candidate: &Candidate) -> (bool, u64) {
        let prefers_local = slot == FULL_ROSTER;
        let name = format!("{}/{}", self.own_vm, candidate.vm);
        let weight = rendezvous::weight(slot as u64, &name);
        (candidate.is_local != prefers_local, u64::MAX - weight)
    }

    /// Whether a permanent source is up to date.
    fn has_fresh_source(&self) -> bool {
        self.is_fresh[..FALLBACK].contains(&true)
    }
}

#[cfg(test)]
mod tests;

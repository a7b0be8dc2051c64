//! Host side: what VMs have at one upstream.

use super::Claim;
use super::Grant;

/// What one VM has at an upstream, as its host knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Holding {
    /// The requests that it may have there.
    allowance: u32,
    /// The requests that it wanted and was not granted.
    unmet: u32,
    /// The capacity that it knows; `None` if it claimed nothing.
    capacity: Option<u32>,
}

impl Holding {
    /// What a VM has that claims nothing, but reports requests.
    pub const fn unclaimed(running: u32) -> Self {
        Self { allowance: running, unmet: 0, capacity: None }
    }

    /// Returns whether it wants more than it has.
    pub const fn is_unmet(&self) -> bool {
        self.unmet > 0
    }

    /// Returns the requests that it may have.
    pub const fn allowance(&self) -> u32 {
        self.allowance
    }

    /// Returns the room that is left at an upstream where VMs have these.
    pub fn free(all: &[Self]) -> u32 {
        Self::known_capacity(all).saturating_sub(all.iter().map(|one| one.allowance).sum())
    }

    /// Returns the equal part of each VM that has or wants something at an upstream where VMs have these.
    pub fn part(all: &[Self]) -> u32 {
        let vms = all.iter().filter(|one| one.allowance + one.unmet > 0).count() as u32;
        Self::known_capacity(all).checked_div(vms).unwrap_or(0)
    }

    /// Grants one more request that it wants, beside others that may wait.
    pub const fn grant_one(&mut self, part: u32, others_wait: bool) -> Grant {
        self.allowance += 1;
        self.unmet -= 1;
        Grant { allowance: self.allowance, keeps: !others_wait || self.allowance <= part }
    }

    /// Returns the least capacity that any VM knows.
    fn known_capacity(all: &[Self]) -> u32 {
        all.iter().filter_map(|one| one.capacity).min().unwrap_or(0)
    }

    /// Grants a claim beside what the other VMs have; returns what the VM then has.
    ///
    /// A host that has just begun grants nothing new, since it does not know yet what others have.
    pub fn grant(claim: &Claim, others: &[Self], has_begun: bool) -> (Self, Grant) {
        let Claim { capacity, running, wanted } = *claim;
        let own = Self { allowance: running, unmet: wanted, capacity: Some(capacity) };
        let all = [others, &[own]].concat();
        let (free, part) = (Self::free(&all), Self::part(&all));
        let others_wait =
            others.iter().any(|other| other.unmet > 0 && other.allowance < part.max(1));
        let granted = if has_begun { wanted.min(free) } else { 0 };
        let allowance = match others_wait && running + granted > part.max(1) {
            true => running.max(part),
            false => running + granted,
        };
        let unmet = wanted.saturating_sub(allowance.saturating_sub(running));
        let held: u32 = others.iter().map(|other| other.allowance).sum();
        let is_over = held + allowance > Self::known_capacity(&all);
        let keeps = !is_over && (!others_wait || allowance <= part);
        (Self { allowance, unmet, ..own }, Grant { allowance, keeps })
    }
}

//! Membership plan of the routing group.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::Service;
use crate::consensus::Role;
use crate::control::Name;
use crate::control::plan::Plan;
use crate::control::plan::Planned;
use crate::control::plan::VOTERS;
use crate::id;

/// Silence after which a voter is replaced if another control VM is available. It exceeds the
/// restart of a process; a voter that returns later has its log and waits for a seat.
const REPLACE_AFTER: Duration = Duration::from_secs(3);

/// Interval between the leader's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum election timeout: six heartbeats, or five round trips between regions. Operators retry
/// after about a second, so elections must not take much longer.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);

/// Plans the members among the seeds and the known control VMs.
pub struct DiscoveredPlan(pub Arc<Service>);

impl Plan for DiscoveredPlan {
    fn members(&self, _: &Name) -> Vec<Planned> {
        planned(self.0.control_vms())
    }

    fn region(&self, vm: &id::Vm) -> Option<id::Region> {
        self.0.control_region(vm)
    }

    /// Only seeds found the group, and only at the first start. Later, an empty disk means that the
    /// VM has lost its data and must join.
    fn founders(&self, _: &Name) -> Vec<Planned> {
        let node = self.0.node();
        let may_found = node.control.as_ref().is_some_and(|control| control.found);
        let seeds = node.seed_links().map(|(vm, _)| vm);
        if may_found { planned(seeds.take(VOTERS).collect()) } else { Vec::new() }
    }

    fn voters(&self, _: &Name) -> usize {
        VOTERS
    }

    fn replace_after(&self) -> Duration {
        REPLACE_AFTER
    }

    fn pace(&self) -> Option<(Duration, Duration)> {
        Some((HEARTBEAT_INTERVAL, ELECTION_TIMEOUT))
    }
}

fn planned(vms: BTreeSet<id::Vm>) -> Vec<Planned> {
    vms.into_iter().map(|vm| Planned { vm, role: Role::Voter }).collect()
}

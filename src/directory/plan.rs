//! Which control VMs hold replicas of the routing group.

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

/// A voter silent for so long is replaced, where a control VM that is not a voter yet waits. A VM that was exchanged
/// is then made up for while a cut of a few seconds throws nobody out; and a voter that was thrown out too early comes
/// back as a learner, which costs a copy of the state.
const REPLACE_AFTER: Duration = Duration::from_secs(10);

/// How often a leader is heard of.
const HEARTBEAT: Duration = Duration::from_millis(100);

/// The shortest silence before an election: six heartbeats, and five trips between regions there and back. Changes wait
/// for the election, and operators ask again after a second.
const ELECTION: Duration = Duration::from_millis(600);

/// The control VMs that were heard of, and the seeds.
pub struct Found(pub Arc<Service>);

impl Plan for Found {
    fn members(&self, _: &Name) -> Vec<Planned> {
        planned(self.0.control_vms())
    }

    /// The seeds are the same on every VM at the first start, and nobody else may found: an empty disk at any later
    /// start belongs to a VM that has lost its own, and must join.
    fn founders(&self, _: &Name) -> Vec<Planned> {
        let node = self.0.node();
        let first = node.control.as_ref().is_some_and(|control| control.found);
        let seeds = node.seed_links().map(|(vm, _)| vm);
        if first { planned(seeds.collect()) } else { Vec::new() }
    }

    fn voters(&self, _: &Name) -> usize {
        VOTERS
    }

    fn replace_after(&self) -> Duration {
        REPLACE_AFTER
    }

    fn pace(&self) -> Option<(Duration, Duration)> {
        Some((HEARTBEAT, ELECTION))
    }
}

fn planned(vms: BTreeSet<id::Vm>) -> Vec<Planned> {
    vms.into_iter().map(|vm| Planned { vm, role: Role::Voter }).collect()
}

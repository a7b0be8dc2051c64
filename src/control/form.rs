//! How the replica of a folder without a past gets into its group.
//!
//! A new group is formed once, when the first VM of the plan has heard of every planned voter that its folder has no
//! past; each of them then begins with the same list of identities. A folder that is lost later belongs to a new
//! identity: it meets replicas with a past and joins them as a newcomer, so it can never vote as the old one.

use crate::consensus::Members;
use crate::consensus::Role;
use crate::control::plan::Planned;
use crate::id;
use crate::wire::message::Identity;

/// What the replica of a folder without a past should do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Wait, and ask again.
    Wait,
    /// Begin with this list.
    Begin(Members),
    /// Ask to be taken in.
    Join,
}

/// Decides by what the planned VMs told; `told` lacks the VMs that did not answer.
pub fn step(
    me: &id::Vm,
    own: id::Replica,
    planned: &[Planned],
    told: &[(id::Vm, Identity)],
) -> Step {
    let listed = told.iter().find(|(_, identity)| identity.members.contains(own));
    if let Some((_, identity)) = listed {
        return Step::Begin(identity.members.clone());
    }
    if told.iter().any(|(_, identity)| !identity.members.is_empty()) {
        return Step::Join;
    }
    // Another newcomer has a past but lists nobody yet: whoever lists members is not heard of for now.
    if told.iter().any(|(_, identity)| !identity.pristine) {
        return Step::Wait;
    }
    let voting: Vec<&Planned> =
        planned.iter().filter(|planned| planned.role != Role::Learner).collect();
    if voting.first().map(|planned| &planned.vm) != Some(me) {
        return Step::Wait;
    }
    let identity = |vm: &id::Vm| match vm == me {
        true => Some(own),
        false => told.iter().find(|(name, _)| name == vm).map(|(_, identity)| identity.replica),
    };
    let members = voting.iter().try_fold(Members::default(), |members, planned| {
        Some(members.with_member(identity(&planned.vm)?, planned.role))
    });
    members.map_or(Step::Wait, Step::Begin)
}

#[cfg(test)]
mod tests;

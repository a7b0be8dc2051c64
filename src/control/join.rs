//! Taking newcomers into a group.

use crate::consensus::Change;
use crate::consensus::Role;
use crate::control::Routes;
use crate::group::Group;
use crate::group::Machine;
use crate::id;

/// Takes a newcomer in: as a learner that the group makes a voter once it has caught up, or as the witness.
///
/// A VM with a new identity has lost the folder of the one before, which can never come back; it is let go
/// first. Otherwise it would count as a silent voter, and the loss of one more VM would stop the group although
/// the repaired one is there.
pub async fn take_in<M: Machine>(
    routes: &Routes,
    from: &id::Vm,
    group: Option<Group<M>>,
    replica: id::Replica,
    witness: bool,
) -> bool {
    let Some(group) = group else { return false };
    let members = group.status().members;
    if members.contains(replica) {
        return true;
    }
    let is_lost = |id: id::Replica, role: Role| {
        routes.vm(id).as_ref() == Some(from) || (witness && role == Role::Witness)
    };
    let lost: Vec<id::Replica> =
        members.iter().filter(|(id, role)| is_lost(*id, *role)).map(|(id, _)| id).collect();
    for id in lost {
        if group.change(Change::Remove(id)).await.is_err() {
            return false;
        }
    }
    let change = if witness { Change::AddWitness(replica) } else { Change::AddLearner(replica) };
    group.change(change).await.is_ok()
}

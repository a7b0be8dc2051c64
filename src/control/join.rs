//! Taking newcomers into a group.

use std::time::Duration;

use tokio::time;

use crate::consensus::Change;
use crate::consensus::Refusal;
use crate::consensus::Role;
use crate::control::Routes;
use crate::group::Error;
use crate::group::Group;
use crate::group::Machine;
use crate::id;

/// Timeout of a newcomer's request.
pub const JOIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between attempts to change the members while another change is under way.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

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
    let changes = change_members(routes, from, &group, replica, witness);
    time::timeout(JOIN_TIMEOUT, changes).await.is_ok_and(|result| result.is_ok())
}

async fn change_members<M: Machine>(
    routes: &Routes,
    from: &id::Vm,
    group: &Group<M>,
    replica: id::Replica,
    witness: bool,
) -> Result<(), Error> {
    let members = group.status().members;
    if members.contains(replica) {
        return Ok(());
    }
    let is_lost = |id: id::Replica, role: Role| {
        routes.vm(id).as_ref() == Some(from) || (witness && role == Role::Witness)
    };
    let lost: Vec<id::Replica> =
        members.iter().filter(|(id, role)| is_lost(*id, *role)).map(|(id, _)| id).collect();
    for id in lost {
        change_in_turn(group, Change::Remove(id)).await?;
    }
    let change = if witness { Change::AddWitness(replica) } else { Change::AddLearner(replica) };
    change_in_turn(group, change).await
}

/// Changes the members as soon as the group can: it makes one change at a time, and newcomers that start together ask
/// together.
async fn change_in_turn<M: Machine>(group: &Group<M>, change: Change) -> Result<(), Error> {
    loop {
        let result = group.change(change).await;
        let Err(Error::Refused(
            Refusal::ChangePending
            | Refusal::NotReady
            | Refusal::NoMajority
            | Refusal::TransferInProgress,
        )) = result
        else {
            return result;
        };
        time::sleep(RETRY_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests;

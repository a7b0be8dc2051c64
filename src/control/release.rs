//! Handing a seat over before a graceful stop.

use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::time;
use tokio::time::Instant;

use crate::consensus::Role;
use crate::control::Seat;
use crate::group::Group;
use crate::group::Machine;
use crate::id;
use crate::wire;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Request;

/// A message there and back takes a trip between regions.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(300);
/// Two changes of members, each a trip between regions and a sync; well within the time that a process has to stop.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the leader lets a request wait for both changes.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of one request to the leader.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two requests to the leader.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

impl<M: Machine> Seat<M> {
    /// Hands over the leadership, and the seat to a replica that waits for one. Call it before a graceful stop.
    ///
    /// Without it, a planned stop costs the group a loss that it could bear otherwise.
    pub async fn release(&self) {
        self.stopping.send_replace(true);
        let Some(group) = self.group() else { return };
        if group.status().leads {
            group.hand_over(None).await.ok();
            let mut status = group.watch();
            time::timeout(TRANSFER_TIMEOUT, status.wait_for(|status| !status.leads)).await.ok();
        }
        let status = group.status();
        if status.members.role(status.id) != Some(Role::Voter) {
            return;
        }
        if status.members.with_role(Role::Learner).next().is_none() {
            info!(self.shared.log, "seat.kept"; "group" => %self.name, "vm" => %self.shared.me,
                "why" => "no other replica waits for a seat");
        } else if self.ask_to_be_replaced(&group, status.id).await {
            info!(self.shared.log, "seat.released"; "group" => %self.name);
        } else {
            warn!(self.shared.log, "seat.kept"; "group" => %self.name, "vm" => %self.shared.me,
                "why" => "it was not replaced in time", "ms" => RELEASE_TIMEOUT.as_millis() as u64);
        }
    }

    /// Returns whether the leader has replaced this replica.
    async fn ask_to_be_replaced(&self, group: &Group<M>, own: id::Replica) -> bool {
        let until = Instant::now() + RELEASE_TIMEOUT;
        let mut leader = None;
        while Instant::now() < until {
            // A replica that was removed hears no more of its leader.
            leader = group.status().leader.and_then(|id| self.shared.routes.vm(id)).or(leader);
            if let Some(vm) = leader.clone().filter(|vm| *vm != self.shared.me) {
                let peer = Peer::new(vm, wire::Role::Control);
                let request = Request::Release { name: self.name.clone(), replica: own };
                let reply = self.shared.mesh.call(&peer, request, ASK_TIMEOUT).await;
                if matches!(reply, Ok(Reply::Released(true))) {
                    return true;
                }
            }
            time::sleep(ASK_INTERVAL).await;
        }
        false
    }
}

/// Replaces a voter that is about to stop; returns whether that is committed.
pub async fn replace<M: Machine>(group: Option<Group<M>>, replica: id::Replica) -> bool {
    let Some(group) = group.filter(|group| group.status().leads) else { return false };
    if group.release(replica).await.is_err() {
        return false;
    }
    let mut status = group.watch();
    let is_replaced =
        status.wait_for(|status| status.leads && status.settled && !status.members.votes(replica));
    matches!(time::timeout(ANSWER_TIMEOUT, is_replaced).await, Ok(Ok(_)))
}

//! Operator commands: configuration changes and reads.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::time;
use tokio::time::Instant;

use super::Service;
use crate::consensus::Refusal;
use crate::consensus::Role as ReplicaRole;
use crate::control::plan::VOTERS;
use crate::group;
use crate::id;
use crate::routing::Command;
use crate::routing::State;
use crate::routing::state::Accepted;
use crate::routing::state::Replicated;
use crate::unit::Version;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Request;
use crate::wire::Role;
use crate::wire::message::Unavailable;

/// Timeout for a command or read that is forwarded to the leader.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long to wait for a leader. Operators try the next VM if they get no response within about a
/// second. An election takes one to two seconds.
const LEADER_WAIT: Duration = Duration::from_millis(900);
/// Interval of checks for a leader.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long after the start the leader requires all available control VMs to be voters before it
/// accepts a command.
const FORMATION_PERIOD: Duration = Duration::from_secs(8);

impl Service {
    /// Puts a document in force and returns the version in force once the change is committed.
    pub async fn replace_document(&self, accepted: Accepted) -> Result<Version, Unavailable> {
        let version = accepted.document.version;
        let result = self.commit(Command::Replace(accepted)).await;
        match &result {
            Ok(now) => {
                info!(self.log(), "document.accepted"; "version" => %version, "in_force" => %now);
            }
            Err(why) => {
                info!(self.log(), "document.unavailable"; "version" => %version, "why" => %why);
            }
        }
        result
    }

    /// Evacuates a data centre, or ends its evacuation.
    pub async fn set_evacuated(
        &self,
        centre: id::DataCentre,
        evacuated: bool,
    ) -> Result<(), Unavailable> {
        let command = match evacuated {
            true => Command::Evacuate(centre.clone()),
            false => Command::Restore(centre.clone()),
        };
        let result = self.commit(command).await;
        info!(self.log(), "evacuation"; "data_centre" => %centre, "away" => evacuated,
            "accepted" => result.is_ok());
        result.map(|_| ())
    }

    /// Lets a group that was founded again count on from the copy that this VM holds.
    ///
    /// The local replica, at that revision, may only be late; then the group's newest revision is higher.
    pub(super) async fn continue_from_copy(&self, local: Version) {
        if self.newest_revision().await != Some(local) {
            return;
        }
        let Replicated { revision, evacuated, .. } = self.routing.borrow().clone();
        let result = self.commit(Command::Continue { revision, evacuated }).await;
        info!(self.log(), "routing.continued"; "revision" => %revision,
            "accepted" => result.is_ok());
    }

    /// The source text of the document in force, as confirmed by a majority (a linearizable read).
    pub async fn document_source(&self) -> Result<Option<Arc<str>>, Unavailable> {
        let until = Instant::now() + LEADER_WAIT;
        loop {
            let result = match self.group() {
                Some(group) => group.read(State::source).await,
                None => Err(group::Error::Stopped),
            };
            match result {
                Ok(source) => return Ok(source),
                Err(error) => match self.remote_leader(&error) {
                    Some(leader) => return self.read_from(&leader).await,
                    None if Instant::now() >= until => return Err(Unavailable::NoLeader),
                    None => time::sleep(POLL_INTERVAL).await,
                },
            }
        }
    }

    /// The newest revision, as confirmed by a majority after this call; none without a leader.
    pub(super) async fn newest_revision(&self) -> Option<Version> {
        let error = match self.group()?.read(State::revision).await {
            Ok(revision) => return Some(revision),
            Err(error) => error,
        };
        let leader = self.remote_leader(&error)?;
        match self.mesh()?.call(&leader, Request::NewestRevision, FORWARD_TIMEOUT).await {
            Ok(Reply::NewestRevision(revision)) => revision,
            Ok(_) | Err(_) => None,
        }
    }

    async fn read_from(&self, leader: &Peer) -> Result<Option<Arc<str>>, Unavailable> {
        let Some(mesh) = self.mesh() else { return Err(Unavailable::NoLeader) };
        match mesh.call(leader, Request::ReadRouting, FORWARD_TIMEOUT).await {
            Ok(Reply::Source(source)) => source,
            _ => Err(Unavailable::NoLeader),
        }
    }

    /// Commits a command, locally or by forwarding it to the leader.
    async fn commit(&self, command: Command) -> Result<Version, Unavailable> {
        let until = Instant::now() + LEADER_WAIT;
        loop {
            let error = match self.propose(command.clone()).await {
                Ok(version) => return Ok(version),
                Err(error) => error,
            };
            match self.remote_leader(&error) {
                Some(leader) => return self.forward(&leader, command).await,
                None if !error.is_final() => return Err(Unavailable::Unknown),
                None if Instant::now() >= until => return Err(Unavailable::NoLeader),
                None => time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Proposes a command to the local replica if all available control VMs are voters.
    ///
    /// Guards against losing an acknowledged change while a group of five is still three: the loss
    /// of two disks would then lose the majority.
    async fn propose(&self, command: Command) -> Result<Version, group::Error> {
        let group = self.group().ok_or(group::Error::Stopped)?;
        let status = group.status();
        if status.leads && self.started().elapsed() < FORMATION_PERIOD {
            let voters = status.members.with_role(ReplicaRole::Voter).count();
            let present = self.table().live_vms().filter(|vm| vm.role == Role::Control).count();
            if voters < present.min(VOTERS) {
                return Err(group::Error::Refused(Refusal::NotReady));
            }
        }
        group.propose(command).await
    }

    /// The leader, if the error names a replica on another VM.
    fn remote_leader(&self, error: &group::Error) -> Option<Peer> {
        let group::Error::Refused(Refusal::NotLeader { leader }) = error else { return None };
        let vm = self.routes().vm((*leader)?)?;
        (vm != self.vm()).then(|| Peer::new(vm, Role::Control))
    }

    async fn forward(&self, leader: &Peer, command: Command) -> Result<Version, Unavailable> {
        let Some(mesh) = self.mesh() else { return Err(Unavailable::NoLeader) };
        match mesh.call(leader, Request::Routing(command), FORWARD_TIMEOUT).await {
            Ok(Reply::Routing(result)) => result,
            Ok(_) => Err(Unavailable::NoLeader),
            Err(error) if error.is_unsent() => Err(Unavailable::NoLeader),
            Err(_) => Err(Unavailable::Unknown),
        }
    }

    pub(super) async fn handle_proposal(&self, command: Command) -> Reply {
        let result = self.propose(command).await;
        Reply::Routing(result.map_err(|error| match error.is_final() {
            true => Unavailable::NoLeader,
            false => Unavailable::Unknown,
        }))
    }

    pub(super) async fn handle_newest_revision(&self) -> Reply {
        let Some(group) = self.group() else { return Reply::NewestRevision(None) };
        Reply::NewestRevision(group.read(State::revision).await.ok())
    }

    pub(super) async fn handle_read(&self) -> Reply {
        let Some(group) = self.group() else { return Reply::Source(Err(Unavailable::NoLeader)) };
        Reply::Source(group.read(State::source).await.map_err(|_| Unavailable::NoLeader))
    }
}

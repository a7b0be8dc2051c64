//! What operators ask of a control daemon: changes, and the reading back of what is in force.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::time;
use tokio::time::Instant;

use super::Service;
use crate::consensus::Refusal;
use crate::consensus::Role as Seated;
use crate::control::plan::VOTERS;
use crate::group;
use crate::id;
use crate::routing::Command;
use crate::routing::State;
use crate::routing::state::Accepted;
use crate::unit::Version;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Request;
use crate::wire::Role;
use crate::wire::message::Unavailable;

/// A command or read that was passed on to the leader is answered within this.
const PASSED_ON: Duration = Duration::from_millis(2500);
/// Where no leader is known, one is waited for so long: an election takes one to two seconds, and an operator that gets
/// no answer asks the next VM after one.
const LEADERLESS: Duration = Duration::from_millis(900);
/// A leader is looked for this often meanwhile.
const LOOK: Duration = Duration::from_millis(50);
/// The first acknowledgement waits for all control VMs that are there to vote, for so long after the start.
const FORMING: Duration = Duration::from_secs(8);

impl Service {
    /// Takes a document in force; it is accepted once this returns a number.
    pub async fn replace(&self, accepted: Accepted) -> Result<Version, Unavailable> {
        let version = accepted.document.version;
        let ended = self.command(Command::Replace(accepted)).await;
        match &ended {
            Ok(now) => {
                info!(self.log(), "document.accepted"; "version" => %version, "in_force" => %now);
            }
            Err(why) => {
                info!(self.log(), "document.unavailable"; "version" => %version, "why" => %why);
            }
        }
        ended
    }

    /// Empties a data centre, or takes it back.
    pub async fn evacuate(&self, centre: id::DataCentre, away: bool) -> Result<(), Unavailable> {
        let command = match away {
            true => Command::Evacuate(centre.clone()),
            false => Command::Restore(centre.clone()),
        };
        let ended = self.command(command).await;
        info!(self.log(), "evacuation"; "data_centre" => %centre, "away" => away,
            "accepted" => ended.is_ok());
        ended.map(|_| ())
    }

    /// The operator's own text of the document in force, confirmed by a majority.
    pub async fn source(&self) -> Result<Option<Arc<str>>, Unavailable> {
        let until = Instant::now() + LEADERLESS;
        loop {
            let ended = match self.group() {
                Some(group) => group.read(State::source).await,
                None => Err(group::Error::Stopped),
            };
            match ended {
                Ok(source) => return Ok(source),
                Err(error) => match self.leader_elsewhere(&error) {
                    Some(leader) => return self.read_at(&leader).await,
                    None if Instant::now() >= until => return Err(Unavailable::NoLeader),
                    None => time::sleep(LOOK).await,
                },
            }
        }
    }

    /// The newest revision, confirmed by a majority after this was called; none where no leader answers.
    pub(super) async fn newest_revision(&self) -> Option<Version> {
        let error = match self.group()?.read(State::revision).await {
            Ok(revision) => return Some(revision),
            Err(error) => error,
        };
        let leader = self.leader_elsewhere(&error)?;
        match self.mesh()?.call(&leader, Request::NewestRevision, PASSED_ON).await {
            Ok(Reply::NewestRevision(revision)) => revision,
            Ok(_) | Err(_) => None,
        }
    }

    async fn read_at(&self, leader: &Peer) -> Result<Option<Arc<str>>, Unavailable> {
        let Some(mesh) = self.mesh() else { return Err(Unavailable::NoLeader) };
        match mesh.call(leader, Request::ReadRouting, PASSED_ON).await {
            Ok(Reply::Source(source)) => source,
            _ => Err(Unavailable::NoLeader),
        }
    }

    /// Has a command committed, here or by the leader.
    async fn command(&self, command: Command) -> Result<Version, Unavailable> {
        let until = Instant::now() + LEADERLESS;
        loop {
            let error = match self.propose(command.clone()).await {
                Ok(version) => return Ok(version),
                Err(error) => error,
            };
            match self.leader_elsewhere(&error) {
                Some(leader) => return self.pass_on(&leader, command).await,
                None if !error.is_final() => return Err(Unavailable::Unknown),
                None if Instant::now() >= until => return Err(Unavailable::NoLeader),
                None => time::sleep(LOOK).await,
            }
        }
    }

    /// Proposes on this replica, once all control VMs that are there vote.
    ///
    /// Failure: a group of five starts as three, acknowledges a change, and two of the three lose their disks: it is
    /// gone although two lost disks must lose nothing.
    async fn propose(&self, command: Command) -> Result<Version, group::Error> {
        let group = self.group().ok_or(group::Error::Stopped)?;
        let status = group.status();
        if status.leads && self.started().elapsed() < FORMING {
            let voters = status.members.with_role(Seated::Voter).count();
            let present = self.table().present().filter(|vm| vm.role == Role::Control).count();
            if voters < present.min(VOTERS) {
                return Err(group::Error::Refused(Refusal::NotReady));
            }
        }
        group.propose(command).await
    }

    /// The leader, where the error names another VM's replica.
    fn leader_elsewhere(&self, error: &group::Error) -> Option<Peer> {
        let group::Error::Refused(Refusal::NotLeader { leader }) = error else { return None };
        let vm = self.routes().vm((*leader)?)?;
        (vm != self.vm()).then(|| Peer::new(vm, Role::Control))
    }

    async fn pass_on(&self, leader: &Peer, command: Command) -> Result<Version, Unavailable> {
        let Some(mesh) = self.mesh() else { return Err(Unavailable::NoLeader) };
        match mesh.call(leader, Request::Routing(command), PASSED_ON).await {
            Ok(Reply::Routing(ended)) => ended,
            Ok(_) => Err(Unavailable::NoLeader),
            Err(error) if error.is_unsent() => Err(Unavailable::NoLeader),
            Err(_) => Err(Unavailable::Unknown),
        }
    }

    pub(super) async fn propose_for_peer(&self, command: Command) -> Reply {
        let ended = self.propose(command).await;
        Reply::Routing(ended.map_err(|error| match error.is_final() {
            true => Unavailable::NoLeader,
            false => Unavailable::Unknown,
        }))
    }

    pub(super) async fn newest_revision_for_peer(&self) -> Reply {
        let Some(group) = self.group() else { return Reply::NewestRevision(None) };
        Reply::NewestRevision(group.read(State::revision).await.ok())
    }

    pub(super) async fn read_for_peer(&self) -> Reply {
        let Some(group) = self.group() else { return Reply::Source(Err(Unavailable::NoLeader)) };
        Reply::Source(group.read(State::source).await.map_err(|_| Unavailable::NoLeader))
    }
}

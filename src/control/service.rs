//! What a control daemon does with the calls and casts of its peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::time;

use crate::catalogue;
use crate::catalogue::Catalogue;
use crate::consensus::Refusal;
use crate::control::Name;
use crate::control::Routes;
use crate::control::Seat;
use crate::control::join::take_in;
use crate::control::release::replace;
use crate::entry::peers::WATCH;
use crate::group;
use crate::group::Group;
use crate::id;
use crate::ledger;
use crate::ledger::Ledger;
use crate::unit::Version;
use crate::wire::Cast;
use crate::wire::Mesh;
use crate::wire::Peer;
use crate::wire::Reply;
use crate::wire::Request;
use crate::wire::link::Handler;
use crate::wire::message::Unavailable;

/// A command that is passed on to the leader is answered within this.
const PASSED_ON: Duration = Duration::from_millis(2500);

/// The replicas of a control daemon.
#[derive(Default)]
pub struct Seats {
    /// The catalogue's.
    pub catalogue: Option<Seat<Catalogue>>,
    /// The ledgers', of the own region and as a witness of others.
    pub ledgers: BTreeMap<id::Region, Seat<Ledger>>,
}

/// Serves the peers of a control daemon.
pub struct Service {
    region: id::Region,
    routes: Arc<Routes>,
    seats: OnceLock<Seats>,
    mesh: OnceLock<Mesh>,
}

impl Service {
    /// A service of that region whose replicas are given later.
    pub fn new(region: id::Region, routes: Arc<Routes>) -> Self {
        Self { region, routes, seats: OnceLock::new(), mesh: OnceLock::new() }
    }

    /// Gives the replicas, and the links that commands are passed on by.
    pub fn serve(&self, seats: Seats, mesh: Mesh) {
        self.seats.set(seats).ok();
        self.mesh.set(mesh).ok();
    }

    /// The replicas, once they are given.
    pub fn seats(&self) -> Option<&Seats> {
        self.seats.get()
    }

    fn catalogue(&self) -> Option<Group<Catalogue>> {
        self.seats()?.catalogue.as_ref()?.group()
    }

    fn ledger(&self) -> Option<Group<Ledger>> {
        self.seats()?.ledgers.get(&self.region)?.group()
    }

    async fn change(&self, from: Peer, change: catalogue::Change) -> Reply {
        let Some(group) = self.catalogue() else { return Reply::Changed(Err(NO_LEADER)) };
        let command = catalogue::Command::Change(change.clone());
        let ended = group.propose(command).await;
        match self.leader_elsewhere(&from, &ended) {
            Some(leader) => self.pass_on(&leader, Request::Change(change)).await,
            None => Reply::Changed(ended.map_err(unavailable)),
        }
    }

    async fn command(&self, from: Peer, command: ledger::Command) -> Reply {
        let Some(group) = self.ledger() else { return Reply::Ledger(Err(NO_LEADER)) };
        let ended = group.propose(command.clone()).await;
        match self.leader_elsewhere(&from, &ended) {
            Some(leader) => self.pass_on(&leader, Request::Ledger(command)).await,
            None => Reply::Ledger(ended.map_err(unavailable)),
        }
    }

    async fn peek(&self, from: Peer, look: ledger::Look) -> Reply {
        let Some(group) = self.ledger() else { return Reply::Ledger(Err(NO_LEADER)) };
        let asked = look.clone();
        let ended = group.read(move |ledger| ledger.peek(&asked)).await;
        match self.leader_elsewhere(&from, &ended) {
            Some(leader) => self.pass_on(&leader, Request::Peek(look)).await,
            None => Reply::Ledger(ended.map_err(unavailable)),
        }
    }

    /// The leader that a refused command goes on to. It is passed on once: only what an entry VM sent.
    fn leader_elsewhere<T>(&self, from: &Peer, ended: &Result<T, group::Error>) -> Option<Peer> {
        let Err(group::Error::Refused(Refusal::NotLeader { leader })) = ended else { return None };
        let vm = self.routes.vm((*leader)?)?;
        let is_entry = from.role == crate::wire::Role::Entry;
        is_entry.then(|| Peer::new(vm, crate::wire::Role::Control))
    }

    async fn pass_on(&self, leader: &Peer, request: Request) -> Reply {
        let lost = match &request {
            Request::Change(_) => |why| Reply::Changed(Err(why)),
            _ => |why| Reply::Ledger(Err(why)),
        };
        let Some(mesh) = self.mesh.get() else { return lost(NO_LEADER) };
        match mesh.call(leader, request, PASSED_ON).await {
            Ok(reply) => reply,
            Err(error) if error.is_unsent() => lost(NO_LEADER),
            Err(_) => lost(Unavailable::Unknown),
        }
    }

    /// Waits for a catalogue that is newer than the asker's, and tells what changed.
    async fn newer(&self, have: Version) -> Reply {
        let Some(group) = self.catalogue() else { return Reply::Unsupported };
        let mut status = group.watch();
        let found = async {
            loop {
                let delta = group.peek(move |catalogue| catalogue.view().delta(have)).await;
                match delta {
                    Ok(None) if status.changed().await.is_ok() => (),
                    Ok(delta) => return delta,
                    Err(_) => return None,
                }
            }
        };
        Reply::Delta(time::timeout(WATCH, found).await.unwrap_or(None))
    }

    async fn in_force(&self) -> Reply {
        let Some(group) = self.catalogue() else { return Reply::Unsupported };
        match group.peek(|catalogue| catalogue.view().version()).await {
            Ok(version) => Reply::InForce { version, takes_requests: false },
            Err(_) => Reply::Unsupported,
        }
    }

    fn identity(&self, name: &Name) -> Reply {
        let seats = self.seats();
        let identity = seats.and_then(|seats| match name {
            Name::Catalogue => seats.catalogue.as_ref()?.identity(),
            Name::Ledger(region) => seats.ledgers.get(region)?.identity(),
            Name::Routing => None,
        });
        Reply::Identity(identity)
    }

    async fn join(&self, from: Peer, name: Name, replica: id::Replica, witness: bool) -> Reply {
        let seats = self.seats();
        let joined = match (&name, seats) {
            (Name::Catalogue, Some(_)) => {
                take_in(&self.routes, &from.vm, self.catalogue(), replica, witness).await
            }
            (Name::Ledger(region), Some(seats)) => {
                let group = seats.ledgers.get(region).and_then(Seat::group);
                take_in(&self.routes, &from.vm, group, replica, witness).await
            }
            (Name::Routing, _) | (_, None) => false,
        };
        Reply::Joined(joined)
    }

    async fn release(&self, name: Name, replica: id::Replica) -> Reply {
        let Some(seats) = self.seats() else { return Reply::Released(false) };
        let is_replaced = match &name {
            Name::Catalogue => replace(self.catalogue(), replica).await,
            Name::Ledger(region) => {
                replace(seats.ledgers.get(region).and_then(Seat::group), replica).await
            }
            Name::Routing => false,
        };
        Reply::Released(is_replaced)
    }
}

const NO_LEADER: Unavailable = Unavailable::NoLeader;

fn unavailable(error: group::Error) -> Unavailable {
    if error.is_final() { Unavailable::NoLeader } else { Unavailable::Unknown }
}

/// The handler of a control daemon's links.
pub struct Shared(pub Arc<Service>);

impl Handler for Shared {
    fn call(&self, from: Peer, request: Request) -> BoxFuture<'static, Reply> {
        let service = self.0.clone();
        async move {
            match request {
                Request::Change(change) => service.change(from, change).await,
                Request::Ledger(command) => service.command(from, command).await,
                Request::Peek(look) => service.peek(from, look).await,
                Request::Watch { have } => service.newer(have).await,
                Request::InForce => service.in_force().await,
                Request::Identity(name) => service.identity(&name),
                Request::Join { name, replica, witness } => {
                    service.join(from, name, replica, witness).await
                }
                Request::Release { name, replica } => service.release(name, replica).await,
                Request::Room
                | Request::Follow(_)
                | Request::Routing(_)
                | Request::ReadRouting
                | Request::NewestRevision
                | Request::IssueRepeat { .. } => Reply::Unsupported,
            }
        }
        .boxed()
    }

    fn cast(&self, peer: Peer, cast: Cast) {
        let Cast::Group { name, from, to, message } = cast else { return };
        self.0.routes.learn(from, &peer.vm);
        let Some(seats) = self.0.seats() else { return };
        let is_own = |identity: Option<crate::wire::message::Identity>| {
            identity.is_some_and(|identity| identity.replica == to)
        };
        match name {
            Name::Catalogue => {
                let seat = seats.catalogue.as_ref().filter(|seat| is_own(seat.identity()));
                if let Some(seat) = seat {
                    seat.receive(from, message);
                }
            }
            Name::Ledger(region) => {
                let seat = seats.ledgers.get(&region).filter(|seat| is_own(seat.identity()));
                if let Some(seat) = seat {
                    seat.receive(from, message);
                }
            }
            Name::Routing => (),
        }
    }
}

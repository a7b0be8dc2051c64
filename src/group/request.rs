//! The handle of a group.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;

use super::Error;
use super::Machine;
use super::Message;
use super::Reading;
use super::Status;
use super::meter::Meter;
use crate::consensus::Change;
use crate::consensus::Peer;
use crate::consensus::Refusal;
use crate::id;

/// An answer that comes later; a dropped one means that the outcome is unknown.
pub(super) type Answer<T> = oneshot::Sender<Result<T, Error>>;

/// A look at the machine, with its own way to answer.
pub(super) type Look<M> = Box<dyn FnOnce(Result<&M, Error>) + Send>;

/// What a handle asks of its driver.
pub(super) enum Request<M: Machine> {
    Propose { command: M::Command, answer: Answer<M::Reply> },
    Read(Look<M>),
    Peek(Look<M>),
    Receive { from: id::Replica, message: Message },
    Change { change: Change, answer: Answer<()> },
    HandOver { to: Option<id::Replica> },
    Release { id: id::Replica },
    Regions(BTreeMap<id::Replica, id::Region>),
    Peers(oneshot::Sender<Vec<Peer>>),
}

/// A handle on one replica of a group; clones are the same replica.
pub struct Group<M: Machine> {
    requests: mpsc::Sender<Request<M>>,
    status: watch::Receiver<Status>,
    meter: Arc<Meter>,
}

impl<M: Machine> Group<M> {
    pub(super) const fn new(
        requests: mpsc::Sender<Request<M>>,
        status: watch::Receiver<Status>,
        meter: Arc<Meter>,
    ) -> Self {
        Self { requests, status, meter }
    }

    /// Has a command carried out by the group, and returns what it came to.
    ///
    /// A follower refuses with [`Refusal::NotLeader`]. Nothing is taken if the future is dropped before the
    /// driver's queue has room; after that the outcome is unknown.
    pub async fn propose(&self, command: M::Command) -> Result<M::Reply, Error> {
        let (answer, outcome) = oneshot::channel();
        self.send(Request::Propose { command, answer }).await?;
        outcome.await.unwrap_or(Err(Error::Unknown))
    }

    /// Looks at the machine once it is sure that no other leader has committed anything unseen.
    pub async fn read<T: Send + 'static>(
        &self,
        look: impl FnOnce(&M) -> T + Send + 'static,
    ) -> Result<T, Error> {
        self.look(look, Request::Read).await
    }

    /// Looks at the machine as it is on this replica, which may be behind.
    pub async fn peek<T: Send + 'static>(
        &self,
        look: impl FnOnce(&M) -> T + Send + 'static,
    ) -> Result<T, Error> {
        self.look(look, Request::Peek).await
    }

    /// Hands in a message of another replica. The caller has checked whom it is from.
    pub async fn receive(&self, from: id::Replica, message: Message) -> Result<(), Error> {
        self.send(Request::Receive { from, message }).await
    }

    /// Changes one member.
    pub async fn change(&self, change: Change) -> Result<(), Error> {
        let (answer, outcome) = oneshot::channel();
        self.send(Request::Change { change, answer }).await?;
        outcome.await.unwrap_or(Err(Error::Unknown))
    }

    /// Hands the leadership over, to the best follower where none is named; before a graceful stop.
    pub async fn hand_over(&self, to: Option<id::Replica>) -> Result<(), Error> {
        self.send(Request::HandOver { to }).await
    }

    /// Has the leader replace a voter that is about to stop; refused without effect by others.
    pub async fn release(&self, id: id::Replica) -> Result<(), Error> {
        self.send(Request::Release { id }).await
    }

    /// Tells in which regions replicas are.
    pub async fn set_regions(
        &self,
        regions: BTreeMap<id::Replica, id::Region>,
    ) -> Result<(), Error> {
        self.send(Request::Regions(regions)).await
    }

    /// Where the replica stands.
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// Where the replica stands, as it changes.
    pub fn watch(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }

    /// What the replica has done, also while its driver stands still.
    pub fn reading(&self) -> Reading {
        self.meter.read(Instant::now())
    }

    /// The leader's view of the other members; empty on a replica that does not lead.
    pub async fn peers(&self) -> Result<Vec<Peer>, Error> {
        let (answer, peers) = oneshot::channel();
        self.send(Request::Peers(answer)).await?;
        peers.await.map_err(|_| Error::Stopped)
    }

    async fn look<T: Send + 'static>(
        &self,
        look: impl FnOnce(&M) -> T + Send + 'static,
        request: impl FnOnce(Look<M>) -> Request<M>,
    ) -> Result<T, Error> {
        let (answer, outcome) = oneshot::channel();
        let look = move |machine: Result<&M, Error>| drop(answer.send(machine.map(look)));
        self.send(request(Box::new(look))).await?;
        // A read changes nothing, so one that got lost surely had no effect.
        outcome.await.unwrap_or(Err(Error::Stopped))
    }

    async fn send(&self, request: Request<M>) -> Result<(), Error> {
        self.requests.send(request).await.map_err(|_| Error::Stopped)
    }
}

impl<M: Machine> Clone for Group<M> {
    fn clone(&self) -> Self {
        Self {
            requests: self.requests.clone(),
            status: self.status.clone(),
            meter: self.meter.clone(),
        }
    }
}

impl<M: Machine> fmt::Debug for Group<M> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Group").field("status", &*self.status.borrow()).finish()
    }
}

/// What a replica that doesn't lead refuses with.
pub(super) const fn not_leader(leader: Option<id::Replica>) -> Error {
    Error::Refused(Refusal::NotLeader { leader })
}

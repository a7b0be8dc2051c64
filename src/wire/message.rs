//! Messages between processes of the system.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::catalogue;
use crate::consensus::Members;
use crate::control::Name;
use crate::decide::freshness;
use crate::decide::limit;
use crate::decide::quarantine;
use crate::decide::spill;
use crate::group;
use crate::id;
use crate::ledger;
use crate::membership;
use crate::roster;
use crate::roster::Announcement;
use crate::roster::Heartbeat;
use crate::roster::Presence;
use crate::roster::Stamp;
use crate::routing;
use crate::unit::Version;
use crate::upstream;

/// The kind of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Serves requests.
    Entry,
    /// Holds replicas.
    Control,
}

/// A process of the system. A VM runs at most one of each role.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The VM.
    pub vm: id::Vm,
    /// The daemon.
    pub role: Role,
}

impl Peer {
    /// The process of a role on a VM.
    pub fn new(vm: id::Vm, role: Role) -> Self {
        Self { vm, role }
    }
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.role {
            Role::Entry => write!(f, "{}/entry", self.vm),
            Role::Control => write!(f, "{}/control", self.vm),
        }
    }
}

/// A request to a peer.
#[derive(Debug, Serialize, Deserialize)]
pub enum Request {
    /// Long poll for changes of the catalogue.
    Watch {
        /// The version in force at the sender.
        have: Version,
    },
    /// Changes the catalogue.
    Change(catalogue::Change),
    /// Commits a command to the ledger of the peer's region.
    Ledger(ledger::Command),
    /// Looks up a key in the ledger of the peer's region.
    Peek(ledger::Look),
    /// Requests the identity of the peer's replica of a group.
    Identity(Name),
    /// Adds a replica to a group that the peer leads.
    Join {
        /// The group.
        name: Name,
        /// The new replica.
        replica: id::Replica,
        /// Whether it becomes the witness.
        witness: bool,
    },
    /// Requests the peer's free capacity for each model.
    Room,
    /// Requests the version of the catalogue in force at the peer.
    InForce,
    /// Long poll for changes of the roster and the routing state.
    Follow(Box<Follow>),
    /// Commits a command to the routing group.
    Routing(routing::Command),
    /// Reads the operator's text of the document in force, confirmed by a majority.
    ReadRouting,
    /// Reads the newest revision of the routing state, confirmed by a majority.
    NewestRevision,
    /// Requests one repeat to a service from the peer's part of the fixed minimum.
    IssueRepeat {
        /// The service.
        service: String,
    },
    /// Replaces a voter that is about to stop, in a group that the peer leads.
    Release {
        /// The group.
        name: Name,
        /// The voter.
        replica: id::Replica,
    },
}

/// The reply to a request.
#[derive(Debug, Serialize, Deserialize)]
pub enum Reply {
    /// Changes of the catalogue; none if there were none until the timeout.
    Delta(Option<catalogue::Delta>),
    /// The result of a change of the catalogue.
    Changed(Result<catalogue::Reply, Unavailable>),
    /// The version in force.
    InForce {
        /// The version.
        version: Version,
        /// Whether the daemon accepts requests.
        takes_requests: bool,
    },
    /// The result of a ledger command or lookup.
    Ledger(Result<ledger::Reply, Unavailable>),
    /// The identity of the peer's replica; none if it has none or its folder isn't open.
    Identity(Option<Identity>),
    /// Whether the replica was added.
    Joined(bool),
    /// The peer's capacity for each model: the slots in the region, those that it uses, and its wait.
    Room(BTreeMap<id::Model, spill::Room>),
    /// The reply to [`Request::Follow`].
    Followed(Box<Followed>),
    /// The version of the document in force after the command.
    Routing(Result<Version, Unavailable>),
    /// The operator's text of the document in force, if there is one.
    Source(Result<Option<Arc<str>>, Unavailable>),
    /// The newest revision of the routing state; none if the peer doesn't lead.
    NewestRevision(Option<Version>),
    /// A repeat is issued, or there is none for so long.
    RepeatIssued(Result<(), Duration>),
    /// Whether the replica no longer votes.
    Released(bool),
    /// The peer does not support the request.
    Unsupported,
}

/// The identity and state of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The identity of its folder.
    pub replica: id::Replica,
    /// Whether it has never taken part in any group.
    pub pristine: bool,
    /// The members that it knows.
    pub members: Members,
    /// Whether it considers itself the leader.
    pub leads: bool,
}

/// A follower's presence and the state that it holds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Follow {
    /// The follower's presence.
    pub presence: Presence,
    /// The process start of the peer to which `roster` refers.
    pub epoch: u64,
    /// The revision of the peer's table that the follower holds.
    pub roster: u64,
    /// The region whose entry VMs and upstreams are sent; those of all regions if none.
    #[serde(default, alias = "entry_vms_of")]
    pub only_of: Option<id::Region>,
    /// The revision of the routing state in force at the follower.
    pub routing: Version,
    /// The follower takes its slice of the roster in pieces; this is the revision of the peer's table when it began to
    /// send the slice. None from a follower that takes whole deltas.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<u64>,
    /// The follower receives routing states from another control VM and needs only their revision.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub defers_routing: bool,
    /// The revision of the peer's report on crashes that the follower holds; none if it wants none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub crashes: Option<u64>,
}

/// The changes that a follower lacked.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Followed {
    /// Identifies the peer's process start.
    pub epoch: u64,
    /// Changed upstreams and VMs, if the follower does not take pieces.
    pub roster: Option<roster::Delta>,
    /// The routing state, if it is newer and the follower does not take pieces.
    pub routing: Option<routing::state::Replicated>,
    /// Whether the routing group has a leader that the peer can reach, so that its state is up to date.
    pub in_touch: bool,
    /// The peer's proof that there was no newer routing state.
    #[serde(default)]
    pub proof: Option<freshness::ProofMessage>,
    /// The newest stamp and nonce of the follower that the peer knows.
    pub known_as: Option<(Stamp, u64)>,
    /// The next piece of the follower's slice, if it takes pieces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub piece: Option<roster::Piece>,
    /// The routing state as encoded by [`Replicated::encode`](routing::state::Replicated::encode), if it is newer and the
    /// follower takes pieces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub encoded_routing: Option<Bytes>,
    /// The revision of the routing state, if it is newer and the follower defers it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routing_revision: Option<Version>,
    /// The report on crashes, if it is newer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub crashes: Option<SharedCrashes>,
}

/// A control VM's report on crashes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SharedCrashes {
    /// Its revision.
    pub revision: u64,
    /// The encoded [`quarantine::Report`].
    pub report: Bytes,
}

/// Records that a control VM has received since its last broadcast.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Heard {
    /// Records of upstreams.
    pub upstreams: Vec<Announcement>,
    /// Records of VMs.
    pub vms: Vec<Presence>,
    /// Renewals of unchanged records.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub alive: Vec<Heartbeat>,
    /// Digests of renewed records that the sender does not have and requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wanted: Vec<u64>,
}

impl Heard {
    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
            && self.vms.is_empty()
            && self.alive.is_empty()
            && self.wanted.is_empty()
    }
}

/// Reasons why a group of replicas does not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Unavailable {
    /// No leader is known; nothing was done.
    #[error("no leader is known")]
    NoLeader,
    /// The request was forwarded and no answer was received: it may have been executed.
    #[error("it is not known whether the request was executed")]
    Unknown,
}

/// A message without a reply.
#[derive(Debug, Serialize, Deserialize)]
pub enum Cast {
    /// A message between the replicas of a group.
    Group {
        /// The group.
        name: Name,
        /// The sending replica.
        from: id::Replica,
        /// The receiving replica.
        to: id::Replica,
        /// The message.
        message: group::Message,
    },
    /// A VM's report on crashed upstreams and on requests that were cleared.
    Quarantine(quarantine::Report),
    /// Requests a lease on an entry's limits from its home, the receiver.
    Demand(limit::Demand),
    /// Grants a lease on an entry's limits.
    Grant(limit::Grant),
    /// A message about the slots of an upstream.
    Slots(upstream::pool::Message),
    /// Records of upstreams and VMs that a control VM received.
    Heard(Box<Heard>),
    /// A message between the entry VMs' memberships.
    Membership(membership::Message),
}

//! What processes of the system say to each other.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

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

/// Which of the two daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Carries requests.
    Entry,
    /// Holds replicas.
    Control,
}

/// One process of the system: a VM runs at most one of each role.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The VM.
    pub vm: id::Vm,
    /// Which daemon of it.
    pub role: Role,
}

impl Peer {
    /// The daemon of that role on that VM.
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

/// What one process asks another.
#[derive(Debug, Serialize, Deserialize)]
pub enum Request {
    /// Wait a moment for a catalogue newer than this, and send what changed.
    Watch {
        /// The version that the asker has in force.
        have: Version,
    },
    /// Change the catalogue.
    Change(catalogue::Change),
    /// Have a command committed by the ledger of the peer's region.
    Ledger(ledger::Command),
    /// What does the ledger of the peer's region know of a key?
    Peek(ledger::Look),
    /// Who is the peer's replica of a group?
    Identity(Name),
    /// Take a newcomer into a group that the peer leads.
    Join {
        /// The group.
        name: Name,
        /// The newcomer.
        replica: id::Replica,
        /// Whether it is to be the witness.
        witness: bool,
    },
    /// How much room does the peer have for each model?
    Room,
    /// Which version of the catalogue is in force at the peer?
    InForce,
    /// Wait a moment for anything that the asker lacks, and send it.
    Follow(Box<Follow>),
    /// Have a command committed by the routing group.
    Routing(routing::Command),
    /// What did the operator hand in last? The answer is confirmed by a majority.
    ReadRouting,
    /// Which revision of the routing state is the newest one? The answer is confirmed by a majority.
    NewestRevision,
}

/// What comes back.
#[derive(Debug, Serialize, Deserialize)]
pub enum Reply {
    /// What changed; none where nothing did within the wait.
    Delta(Option<catalogue::Delta>),
    /// What the change came to; none where that is not known or the peer can't tell.
    Changed(Result<catalogue::Reply, Unavailable>),
    /// The version in force.
    InForce {
        /// The version.
        version: Version,
        /// Whether the daemon takes requests.
        takes_requests: bool,
    },
    /// What came of the command, or of the look.
    Ledger(Result<ledger::Reply, Unavailable>),
    /// Who the peer's replica is; none where it has none, or its folder isn't open.
    Identity(Option<Identity>),
    /// Whether the newcomer was taken in.
    Joined(bool),
    /// The peer's room: of each model the slots in the region, those that this VM uses, and its wait.
    Room(BTreeMap<id::Model, spill::Room>),
    /// What the follower lacked.
    Followed(Box<Followed>),
    /// The document's number in force after the command.
    Routing(Result<Version, Unavailable>),
    /// The operator's own text of the document in force, if there is one.
    Source(Result<Option<Arc<str>>, Unavailable>),
    /// The newest revision of the routing state; none where the peer doesn't lead.
    NewestRevision(Option<Version>),
    /// The peer has no answer to such a request.
    Unsupported,
}

/// Who a replica is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The identity of its folder.
    pub replica: id::Replica,
    /// Whether it has never taken part in any group.
    pub pristine: bool,
    /// The members that it knows of.
    pub members: Members,
    /// Whether it leads, as far as it knows.
    pub leads: bool,
}

/// What a follower says of itself, and what it has.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Follow {
    /// Who follows.
    pub presence: Presence,
    /// The start of the peer that the revision below belongs to.
    pub epoch: u64,
    /// The peer's table as the follower has it.
    pub roster: u64,
    /// Of entry VMs and upstreams, only those of this region are told; all of them where none is given.
    #[serde(default, alias = "entry_vms_of")]
    pub only_of: Option<id::Region>,
    /// The routing state that the follower has in force.
    pub routing: Version,
    /// The follower takes its slice of the roster in pieces; this is the revision of the peer's table when it began to
    /// send the slice. None from a follower that takes whole deltas.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<u64>,
    /// The follower gets routing states from another control VM; only the revision is told.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub defers_routing: bool,
}

/// What a follower lacked.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Followed {
    /// Tells one start of the peer from another.
    pub epoch: u64,
    /// What changed of upstreams and VMs.
    pub roster: Option<roster::Delta>,
    /// The routing state, where it is newer.
    pub routing: Option<routing::state::Replicated>,
    /// Whether the peer hears a leader of the routing group, so that what it holds is up to date.
    pub in_touch: bool,
    /// The peer's proof that there was no newer routing state; none where it has none.
    #[serde(default)]
    pub proof: Option<freshness::ProofMessage>,
    /// The stamp and nonce under which the follower is known to the peer.
    pub known_as: Option<(Stamp, u64)>,
    /// The next piece of the follower's slice, if it takes pieces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub piece: Option<roster::Piece>,
    /// The routing state as encoded by [`Replicated::encode`](routing::state::Replicated::encode), where it is newer and
    /// the follower takes pieces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub encoded_routing: Option<Bytes>,
    /// The revision of the routing state, where it is newer and the follower defers it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routing_revision: Option<Version>,
}

/// What a control VM has heard since it last told.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Heard {
    /// Of upstreams.
    pub upstreams: Vec<Announcement>,
    /// Of VMs.
    pub vms: Vec<Presence>,
    /// Subjects of either kind that are as they were.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub alive: Vec<Heartbeat>,
    /// Digests of heartbeats whose statements the sender doesn't have, and asks for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wanted: Vec<u64>,
}

impl Heard {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
            && self.vms.is_empty()
            && self.alive.is_empty()
            && self.wanted.is_empty()
    }
}

/// Why a group of replicas gives no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Unavailable {
    /// No replica leads at present, or this one doesn't and knows none that does; nothing was done.
    #[error("no replica leads at present")]
    NoLeader,
    /// The request was passed on, and no answer came: it may have been carried out.
    #[error("it is not known whether it was carried out")]
    Unknown,
}

/// What needs no reply.
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
    /// What a VM saw of upstreams that died, and of requests that were cleared.
    Quarantine(quarantine::Report),
    /// A VM needs a part of an entry's limits from the receiver, the entry's home.
    Demand(limit::Demand),
    /// The home leases a part of an entry's limits.
    Grant(limit::Grant),
    /// A message about the slots of an upstream.
    Slots(upstream::pool::Message),
    /// What a control VM has heard of upstreams and VMs.
    Heard(Box<Heard>),
    /// A message between the entry VMs' memberships.
    Membership(membership::Message),
}

//! How much of each kind of event one exploration has.

use masticstream::consensus::Change;
use masticstream::consensus::fault::Fault;
use masticstream::id;

/// What is left of each kind of event. Deliveries and syncs have no bound: a message that is never
/// delivered is a lost one, and any order of deliveries is a reordering.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Bounds {
    pub elections: u8,
    /// Who may stand in the last of these elections, in order; in others, everybody may.
    pub standing: Vec<id::Replica>,
    /// Pairs of replicas between which no message gets through.
    pub cut: Vec<(u128, u128)>,
    pub proposals: u8,
    pub heartbeats: u8,
    pub duplicates: u8,
    pub crashes: u8,
    /// Who may crash; without a list, everybody may.
    pub crashing: Vec<id::Replica>,
    pub lost_folders: u8,
    pub silences: u8,
    pub reads: u8,
    pub snapshots: u8,
    /// Changes of members that a leader may be asked for, each once.
    pub changes: Vec<Change>,
}

impl Bounds {
    /// Nothing but deliveries.
    pub const NONE: Self = Self {
        elections: 0,
        standing: Vec::new(),
        cut: Vec::new(),
        proposals: 0,
        heartbeats: 0,
        duplicates: 0,
        crashes: 0,
        crashing: Vec::new(),
        lost_folders: 0,
        silences: 0,
        reads: 0,
        snapshots: 0,
        changes: Vec::new(),
    };
}

/// The group that is explored, and how.
#[derive(Debug, Clone)]
pub struct Group {
    /// Data voters, numbered from 1.
    pub voters: u128,
    /// Learners, numbered after the voters.
    pub learners: u128,
    /// Whether a witness follows them.
    pub witness: bool,
    /// Whether each write is synced at once; else that is an event of its own, and a crash may come before it.
    pub synced: bool,
    /// Whether elections begin with a pre-vote.
    pub pre_votes: bool,
    /// Whether each message carries one entry at most, so that a log grows in smaller steps.
    pub split: bool,
    /// The planted fault.
    pub fault: Option<Fault>,
}

impl Group {
    /// Voters alone, whose writes are synced at once.
    pub const fn new(voters: u128) -> Self {
        Self {
            voters,
            learners: 0,
            witness: false,
            synced: true,
            pre_votes: false,
            split: false,
            fault: None,
        }
    }
}

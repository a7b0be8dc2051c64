//! Settings of a replica: timeouts and limits.

use std::time::Duration;

use super::fault::Fault;
use crate::id;

/// Time between heartbeats. May be shorter than a round trip between regions.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum election timeout: ten heartbeats, so that a few lost ones or a slow sync cause no
/// election.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that a voter which is about to stop has to be replaced. Afterwards it counts as one that goes on.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Limit on the bytes of unacknowledged entries sent to one replica.
const IN_FLIGHT_BYTES: usize = 1 << 20;

/// Limit on the bytes of entries in one message, so that it delays no heartbeat for long.
const APPEND_BYTES: usize = 64 << 10;

/// Limit on unacknowledged messages with entries sent to one replica.
const IN_FLIGHT_APPENDS: usize = 64;

/// Size of the in-memory log beyond which proposals are refused. A control VM has 256 MB of memory.
const LOG_BYTES: usize = 32 << 20;

/// Size of the in-memory log beyond which a snapshot is due. Half of it is kept for followers that
/// lag.
const SNAPSHOT_BYTES: usize = 4 << 20;

/// Size of the in-memory log up to which entries are kept for members that respond and still need them.
const RETAINED_BYTES: usize = LOG_BYTES / 2;

/// Number of entries after which a snapshot is due, to bound the replay at a restart.
const SNAPSHOT_ENTRIES: usize = 10_000;

/// Settings of one replica. All replicas of a group should use the same timeouts.
#[derive(Debug, Clone)]
pub struct Config {
    /// The replica's identity, which belongs to its data folder.
    pub id: id::Replica,
    /// Whether this replica is a witness, which holds no data and never leads.
    pub witness: bool,
    /// The time between heartbeats.
    pub heartbeat_interval: Duration,
    /// The minimum election timeout; the maximum is twice that.
    pub election_timeout: Duration,
    /// Time without a response after which the leader replaces a data voter by a learner; `None`
    /// disables replacement.
    pub replace_after: Option<Duration>,
    /// Time after which a voter that was to stop is no longer replaced.
    pub release_timeout: Duration,
    /// The number of data voters to maintain; caught-up learners are promoted until it is reached.
    pub voters: usize,
    /// Limit on the bytes of entries in flight to one replica.
    pub in_flight_bytes: usize,
    /// Limit on the messages with entries in flight to one replica.
    pub in_flight_appends: usize,
    /// Limit on the bytes of entries in one message; a larger entry is sent alone.
    pub append_bytes: usize,
    /// Bytes of entries in memory beyond which proposals are refused.
    pub log_bytes: usize,
    /// Bytes of applied entries beyond which a snapshot is due.
    pub snapshot_bytes: usize,
    /// Applied entries beyond which a snapshot is due.
    pub snapshot_entries: usize,
    /// Bytes of entries in memory up to which those are kept that a responding member needs.
    pub retained_bytes: usize,
    /// Injected fault; can only be set in tests.
    pub(super) fault: Option<Fault>,
}

impl Config {
    /// Default settings for a replica.
    pub const fn new(id: id::Replica) -> Self {
        Self {
            id,
            witness: false,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout: ELECTION_TIMEOUT,
            replace_after: None,
            release_timeout: RELEASE_TIMEOUT,
            voters: 0,
            in_flight_bytes: IN_FLIGHT_BYTES,
            in_flight_appends: IN_FLIGHT_APPENDS,
            append_bytes: APPEND_BYTES,
            log_bytes: LOG_BYTES,
            snapshot_bytes: SNAPSHOT_BYTES,
            snapshot_entries: SNAPSHOT_ENTRIES,
            retained_bytes: RETAINED_BYTES,
            fault: None,
        }
    }

    /// Makes the replica a witness.
    #[must_use]
    pub const fn with_witness(mut self) -> Self {
        self.witness = true;
        self
    }

    /// Sets the heartbeat interval and the minimum election timeout.
    #[must_use]
    pub const fn with_timing(
        mut self,
        heartbeat_interval: Duration,
        election_timeout: Duration,
    ) -> Self {
        self.heartbeat_interval = heartbeat_interval;
        self.election_timeout = election_timeout;
        self
    }

    /// Maintains the given number of data voters, replacing those without a response for `silence`.
    #[must_use]
    pub const fn with_replacement(mut self, silence: Duration, voters: usize) -> Self {
        self.replace_after = Some(silence);
        self.voters = voters;
        self
    }

    /// Sets the number of applied entries after which a snapshot is due.
    #[must_use]
    pub const fn with_snapshot_entries(mut self, entries: usize) -> Self {
        self.snapshot_entries = entries;
        self
    }

    /// The heartbeats within the minimum election timeout.
    pub(super) fn heartbeats_per_election(&self) -> usize {
        let count = self.election_timeout.as_nanos() / self.heartbeat_interval.as_nanos().max(1);
        usize::try_from(count).unwrap_or(usize::MAX)
    }

    /// Injects a fault.
    #[cfg(feature = "faults")]
    #[must_use]
    pub const fn with_fault(mut self, fault: Fault) -> Self {
        self.fault = Some(fault);
        self
    }
}

//! All that depends on time. What a timeout changes is state of its own, so that decisions need no clock.

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::Config;
use super::Replica;
use super::replica::State;
use crate::id;

/// Heartbeats that a replica may miss in a row before the leader counts on it no longer: five, which is
/// half the shortest election timeout, so that a witness steps in before callers wait a second.
pub(super) const MISSED_HEARTBEATS: u32 = 5;

/// An election won takes no more heartbeats than this: the answer to the pre-vote, the vote and its answer, each with a sync.
const ELECTED_HEARTBEATS: u32 = 4;

/// A replica that has met no leader since its start waits for this part of the usual time: where a leader is there, the
/// pre-vote fails and disturbs nobody, and where all have started at once, nothing is served before there is one. The first
/// pre-votes may be lost, as links come up one by one.
const FIRST_ELECTION: u32 = 2;

/// A span of time that has run out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timeout {
    /// A follower or candidate heard no leader, or won no election.
    Election,
    /// A leader's next heartbeat is due.
    Heartbeat,
    /// A leader has to have heard a majority since the last time.
    Quorum,
    /// A leader heard nothing from a member, or it makes no headway.
    Silent(id::Replica),
}

/// The instants at which timeouts run out.
#[derive(Debug, Clone)]
pub(super) struct Timers {
    election: Instant,
    /// Whether a leader was heard since the start.
    met_leader: bool,
    /// Until when a leader counts as heard of.
    leader: Instant,
    heartbeat: Instant,
    quorum: Instant,
}

impl Timers {
    pub(super) fn new(config: &Config, rng: &mut SmallRng, now: Instant) -> Self {
        let election = now + election(config, rng) / FIRST_ELECTION;
        Self { election, met_leader: false, leader: now, heartbeat: now, quorum: now }
    }

    pub(super) fn deadline(&self, leads: bool) -> Instant {
        if leads { self.heartbeat.min(self.quorum) } else { self.election }
    }
}

/// Randomised between once and twice the configured time, so that two candidates rarely collide twice.
fn election(config: &Config, rng: &mut SmallRng) -> std::time::Duration {
    config.election.mul_f64(1.0 + rng.random::<f64>())
}

impl Replica {
    pub(super) fn tick(&mut self, now: Instant) {
        if !self.is_leader() {
            if self.timers.election <= now {
                self.timeout(Timeout::Election, now);
            }
            return;
        }
        if self.timers.quorum <= now {
            self.timeout(Timeout::Quorum, now);
        }
        if self.timers.heartbeat > now {
            return;
        }
        if self.timers.heartbeat + self.config.election <= now {
            self.excuse(now);
        }
        for id in self.silent(now) {
            self.timeout(Timeout::Silent(id), now);
        }
        self.timeout(Timeout::Heartbeat, now);
        self.end_transfer(now);
        self.repair(now);
    }

    /// Acts on a timeout, whatever the time.
    pub(super) fn timeout(&mut self, timeout: Timeout, now: Instant) {
        match timeout {
            Timeout::Election => self.start_pre_vote(now),
            Timeout::Heartbeat => self.beat(now),
            Timeout::Quorum => self.check_quorum(now),
            Timeout::Silent(id) => self.miss(id),
        }
    }

    /// Forgets a leader that has been silent for the shortest election timeout.
    pub(super) fn age_leader(&mut self, now: Instant) {
        if self.timers.leader <= now {
            self.leader_recent = false;
        }
    }

    pub(super) fn restart_election(&mut self, now: Instant) {
        let part = if self.timers.met_leader { 1 } else { FIRST_ELECTION };
        self.timers.election = now + election(&self.config, &mut self.rng) / part;
    }

    /// Leaves the election that another replica began the time to end.
    pub(super) fn postpone_election(&mut self, now: Instant) {
        let ended = now + self.config.heartbeat * ELECTED_HEARTBEATS;
        self.timers.election = self.timers.election.max(ended);
    }

    pub(super) fn restart_heartbeat(&mut self, now: Instant) {
        self.timers.heartbeat = now + self.config.heartbeat;
    }

    pub(super) fn restart_quorum(&mut self, now: Instant) {
        self.timers.quorum = now + self.config.election;
    }

    /// A leader's message came.
    pub(super) fn hear_leader(&mut self, now: Instant) {
        self.leader_recent = true;
        self.timers.met_leader = true;
        self.timers.leader = now + self.config.election;
        self.restart_election(now);
    }

    /// This process itself stood still, for as long as an election takes at least.
    ///
    /// All others then look as if they had been silent, and the first to answer would be taken for the last ones
    /// alive: voters that are well would be replaced. So their silence counts from now on.
    fn excuse(&mut self, now: Instant) {
        if let State::Leader(leader) = &mut self.state {
            leader.progress.values_mut().for_each(|progress| progress.excuse(now));
        }
    }

    /// The members that have missed their heartbeats or make no headway.
    fn silent(&self, now: Instant) -> Vec<id::Replica> {
        let State::Leader(leader) = &self.state else {
            return Vec::new();
        };
        let last = self.log.last().index;
        let patience = self.config.heartbeat * MISSED_HEARTBEATS;
        let overdue = leader
            .progress
            .iter()
            .filter(|(_, p)| p.is_overdue(last, patience, self.config.election, now));
        overdue.map(|(&id, _)| id).collect()
    }

    /// Lets a timeout run out whatever the time, for checks that explore all orders of events.
    #[cfg(feature = "faults")]
    pub fn expire(&mut self, timeout: Timeout, now: Instant) -> Vec<super::Output> {
        self.leader_recent = false;
        self.timeout(timeout, now);
        self.finish(now)
    }
}

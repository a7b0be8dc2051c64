//! Timeouts. Their effects are kept in state of their own, so that other decisions need no clock.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::Config;
use super::Replica;
use super::replica::State;
use crate::id;
use crate::unit::Sequence;

/// Consecutive missed heartbeats after which the leader considers a member unresponsive. Half of
/// the minimum election timeout, so that a witness takes over before callers wait for a second.
const MISSED_HEARTBEATS: u32 = 5;

/// Upper limit on the duration of a successful election, in heartbeats: a pre-vote response, a vote
/// and its response, each with a sync.
const ELECTION_HEARTBEATS: u32 = 4;

/// Divides the election timeout until the first contact with a leader. While there is a leader the
/// pre-vote fails harmlessly; when all replicas start together it shortens the time until one is
/// elected, even if the first pre-votes are lost while links are established.
const FIRST_ELECTION_DIVISOR: u32 = 2;

/// Divides the election timeout until the leader takes its own disk for stalled.
const STALL_DIVISOR: u32 = 2;

/// A timeout that expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timeout {
    /// A follower has no contact with a leader, or a candidate has won no election.
    Election,
    /// The leader's next heartbeat is due.
    Heartbeat,
    /// The leader has to check that a majority responded since the last check.
    Quorum,
    /// A member does not respond to the leader or makes no progress.
    Unresponsive(id::Replica),
}

/// Deadlines of the timeouts.
#[derive(Debug, Clone)]
pub(super) struct Timers {
    election: Instant,
    /// Whether there was contact with a leader since the start.
    has_seen_leader: bool,
    /// When the leader ceases to count as active.
    leader_expiry: Instant,
    heartbeat: Instant,
    quorum: Instant,
    /// The last write that was persisted, and when that was noticed.
    persisted: (Sequence, Instant),
    /// How long writes took recently.
    write_time: Duration,
}

impl Timers {
    pub(super) fn new(config: &Config, rng: &mut SmallRng, now: Instant) -> Self {
        let election = now + election(config, rng) / FIRST_ELECTION_DIVISOR;
        Self {
            election,
            has_seen_leader: false,
            leader_expiry: now,
            heartbeat: now,
            quorum: now,
            persisted: (Sequence::new(0), now),
            write_time: Duration::ZERO,
        }
    }

    pub(super) fn deadline(&self, leads: bool) -> Instant {
        if leads { self.heartbeat.min(self.quorum) } else { self.election }
    }

    /// The last contact with another leader.
    pub(super) fn leader_contact(&self, config: &Config) -> Option<Instant> {
        self.has_seen_leader.then(|| self.leader_expiry - config.election_timeout)
    }
}

/// Random between one and two times the configured timeout, to avoid repeated split votes.
fn election(config: &Config, rng: &mut SmallRng) -> Duration {
    config.election_timeout.mul_f64(1.0 + rng.random::<f64>())
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
        if self.timers.heartbeat + self.config.election_timeout <= now {
            self.reset_member_timestamps(now);
        }
        for id in self.unresponsive_members(now) {
            self.timeout(Timeout::Unresponsive(id), now);
        }
        self.timeout(Timeout::Heartbeat, now);
        self.expire_transfer(now);
        self.repair_members(now);
        self.hand_over_if_stalled(now);
    }

    /// Measures how long writes take.
    pub(super) fn track_writes(&mut self, now: Instant) {
        let persisted = self.log.last_persisted();
        let (last, since) = self.timers.persisted;
        if persisted == self.log.issued() || persisted != last {
            let took = now.saturating_duration_since(since);
            self.timers.write_time = took.max(self.timers.write_time / 2);
            self.timers.persisted = (persisted, now);
        }
    }

    /// Hands the lead over while this replica's disk stands still and another voter's does not: nothing is accepted until
    /// the leader itself has persisted it.
    fn hand_over_if_stalled(&mut self, now: Instant) {
        // Where all disks are slow, the next leader would be as late.
        let limit = (self.config.election_timeout / STALL_DIVISOR).max(self.timers.write_time * 2);
        let is_stalled = now >= self.timers.persisted.1 + limit;
        if is_stalled && self.is_behind_a_voter() {
            self.transfer(None, now);
        }
    }

    /// Handles a timeout regardless of the time.
    pub(super) fn timeout(&mut self, timeout: Timeout, now: Instant) {
        match timeout {
            Timeout::Election => self.start_pre_vote(now),
            Timeout::Heartbeat => self.send_heartbeats(now),
            Timeout::Quorum => self.check_quorum(now),
            Timeout::Unresponsive(id) => self.mark_unresponsive(id),
        }
    }

    /// Marks the leader inactive after the minimum election timeout without contact.
    pub(super) fn expire_leader(&mut self, now: Instant) {
        if self.timers.leader_expiry <= now {
            self.leader_recent = false;
        }
    }

    pub(super) fn restart_election(&mut self, now: Instant) {
        let part = if self.timers.has_seen_leader { 1 } else { FIRST_ELECTION_DIVISOR };
        self.timers.election = now + election(&self.config, &mut self.rng) / part;
    }

    /// Delays this replica's election until another one has had time to finish.
    pub(super) fn postpone_election(&mut self, now: Instant) {
        let ended = now + self.config.heartbeat_interval * ELECTION_HEARTBEATS;
        self.timers.election = self.timers.election.max(ended);
    }

    pub(super) fn restart_heartbeat(&mut self, now: Instant) {
        self.timers.heartbeat = now + self.config.heartbeat_interval;
    }

    pub(super) fn restart_quorum(&mut self, now: Instant) {
        self.timers.quorum = now + self.config.election_timeout;
    }

    /// Records contact with the leader.
    pub(super) fn record_leader_contact(&mut self, now: Instant) {
        self.leader_recent = true;
        self.timers.has_seen_leader = true;
        self.timers.leader_expiry = now + self.config.election_timeout;
        self.restart_election(now);
    }

    /// Restarts the members' timeouts after this process was suspended for at least an election
    /// timeout.
    ///
    /// All members would otherwise seem to have failed, and healthy voters would be replaced by the
    /// first learner that responds.
    fn reset_member_timestamps(&mut self, now: Instant) {
        if let State::Leader(leader) = &mut self.state {
            leader.progress.values_mut().for_each(|progress| progress.reset_timestamps(now));
        }
    }

    /// The members that missed their heartbeats or make no progress.
    fn unresponsive_members(&self, now: Instant) -> Vec<id::Replica> {
        let State::Leader(leader) = &self.state else {
            return Vec::new();
        };
        let last = self.log.last().index;
        let response_timeout = self.response_timeout();
        let timed_out = leader.progress.iter().filter(|(_, p)| {
            p.has_timed_out(last, response_timeout, self.config.election_timeout, now)
        });
        timed_out.map(|(&id, _)| id).collect()
    }

    /// The silence after which the leader considers a member unresponsive.
    pub(super) fn response_timeout(&self) -> Duration {
        self.config.heartbeat_interval * MISSED_HEARTBEATS
    }

    /// Expires a timeout regardless of the time, for model checking.
    #[cfg(feature = "faults")]
    pub fn expire(&mut self, timeout: Timeout, now: Instant) -> Vec<super::Output> {
        self.leader_recent = false;
        self.timeout(timeout, now);
        self.finish_step(now)
    }
}

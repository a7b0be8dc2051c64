//! Whether the control group has a leader, and how many losses it bears.

use std::fmt;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::time::Instant;

use super::Service;
use crate::consensus::Members;
use crate::consensus::Role as ReplicaRole;
use crate::control::Routes;
use crate::control::Traffic;
use crate::decide::notice::Lasting;
use crate::decide::notice::Notice;
use crate::group::Reading;
use crate::group::Status;
use crate::id;
use crate::wire::Role;

/// Time without a known leader after which operators are told. It exceeds an election.
const LEADER_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval of the lines while there is none.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);

/// Since when this VM knows no leader.
#[derive(Debug)]
pub struct Leaderless(Lasting);

impl Default for Leaderless {
    fn default() -> Self {
        Self(Lasting::new(LEADER_TIMEOUT, REPEAT_INTERVAL))
    }
}

/// The members as this VM knows them, for a log line.
struct Seats<'a> {
    members: &'a Members,
    routes: &'a Routes,
    is_heard: &'a dyn Fn(id::Replica) -> bool,
}

impl fmt::Display for Seats<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, (id, role)) in self.members.iter().enumerate() {
            let separator = if number == 0 { "" } else { ", " };
            write!(f, "{separator}{id} {} ", role.name())?;
            match self.routes.vm(id) {
                None => write!(f, "on an unknown VM")?,
                Some(vm) if !self.routes.is_current(id) => write!(f, "on {vm} before another")?,
                Some(vm) if (self.is_heard)(id) => write!(f, "on {vm} heard")?,
                Some(vm) => write!(f, "on {vm} silent")?,
            }
        }
        Ok(())
    }
}

impl Service {
    /// Logs that the group has had no leader for some time, and that it has one again.
    pub(in crate::directory) fn watch_leader(&self, now: Instant) {
        let (Some(group), Some(seat)) = (self.group(), self.seat()) else { return };
        let status = group.status();
        let notice = self.leaderless.lock().0.observe(status.leader.is_none(), now);
        match notice {
            Some(Notice::Lasts(lasted)) => {
                self.log_leaderless(&status, &group.reading(), seat.traffic(), lasted);
            }
            Some(Notice::Over) => {
                info!(self.log, "group.has_leader"; "term" => %status.term);
            }
            None => (),
        }
    }

    /// How long this VM has known no leader.
    pub(super) fn without_leader(&self, now: Instant) -> Duration {
        self.leaderless.lock().0.lasted(now)
    }

    fn log_leaderless(
        &self,
        status: &Status,
        reading: &Reading,
        traffic: Traffic,
        lasted: Duration,
    ) {
        let members = &status.members;
        let (heard, silent): (Vec<_>, Vec<_>) = members.voters().partition(|&id| self.is_heard(id));
        let names = |ids: Vec<id::Replica>| {
            ids.into_iter().map(|id| self.routes.name(id)).collect::<Vec<_>>()
        };
        let is_heard = |id| self.is_heard(id);
        let seats = Seats { members, routes: &self.routes, is_heard: &is_heard };
        let role = members.role(status.id).map_or("none", ReplicaRole::name);
        let contact = reading.contact.map(millis);
        let write = reading.write.map(millis);
        let fetch = status.fetches.last.map(|fetch| fetch.stage);
        warn!(self.log, "group.without_leader"; "ms" => millis(lasted),
            "term" => %status.term, "commit" => %status.commit,
            "majority" => members.majority(),
            "voters_heard" => ?names(heard), "voters_silent" => ?names(silent),
            "replica" => %status.id, "member_role" => role, "phase" => %status.phase,
            "leader_contact_ms" => contact, "last" => %reading.last, "synced" => %reading.synced,
            "applied" => %status.applied, "issued" => %reading.issued,
            "persisted" => %reading.persisted, "write_ms" => write, "fetch" => ?fetch,
            "idle_ms" => millis(reading.idle), "received" => reading.received,
            "sent" => reading.sent, "passed_on" => traffic.passed_on,
            "arrived" => traffic.received, "arrived_full" => traffic.full,
            "arrived_misdirected" => traffic.misdirected, "sent_full" => reading.dropped,
            "sent_unrouted" => traffic.unrouted, "members" => %seats);
    }

    /// How many more voters can be lost before the group has no majority; negative if it has none.
    pub(super) fn losses_borne(&self, members: &Members) -> i64 {
        let heard = members.voters().filter(|&id| self.is_heard(id)).count();
        heard as i64 - members.majority() as i64
    }

    fn is_heard(&self, replica: id::Replica) -> bool {
        let Some(vm) = self.routes.vm(replica).filter(|_| self.routes.is_current(replica)) else {
            return false;
        };
        vm == self.vm() || self.table().is_live(&vm, Role::Control)
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

#[cfg(test)]
mod tests;

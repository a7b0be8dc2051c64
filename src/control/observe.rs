//! Logs what tells, after the fact, why a seat was not filled in time.

use std::future;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::time;
use tokio::time::Instant;

use super::seat::Shared;
use super::steps::Step;
use super::steps::Steps;
use crate::consensus::Change;
use crate::consensus::Refusal;
use crate::consensus::Role;
use crate::control::Name;
use crate::decide::notice::Causes;
use crate::decide::notice::Lasting;
use crate::decide::notice::Notice;
use crate::group::Group;
use crate::group::Machine;
use crate::group::Status;
use crate::id;

/// Interval of checks for what comes without a change of status.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// A learner is promoted at a heartbeat once it has caught up; a seat that is vacant for longer is worth a line.
const VACANT_AFTER: Duration = Duration::from_secs(1);
/// Interval of the lines on a seat that stays vacant.
const VACANT_EVERY: Duration = Duration::from_secs(5);
/// A refusal or answer that has not come up for that long counts as a new one.
const CAUSE_AWAY: Duration = Duration::from_secs(10);

/// How the leader answered a newcomer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Answer {
    TakenIn,
    Refused,
    None,
}

/// Logs for one replica while it runs.
pub(super) struct Observer {
    shared: Arc<Shared>,
    name: Name,
    started: Instant,
    asked: Causes<(id::Vm, Answer)>,
    refused: Causes<String>,
    refusals: u64,
    vacant: Lasting,
}

impl Observer {
    /// `started` is the start of the process.
    pub fn new(shared: Arc<Shared>, name: Name, started: Instant) -> Self {
        Self {
            shared,
            name,
            started,
            asked: Causes::new(CAUSE_AWAY),
            refused: Causes::new(CAUSE_AWAY),
            refusals: 0,
            vacant: Lasting::new(VACANT_AFTER, VACANT_EVERY),
        }
    }

    /// Logs that the replica asked a leader to be taken in, once per leader and answer while it goes on asking.
    pub fn asked(&mut self, leader: &id::Vm, answer: Answer, took: Duration) {
        if self.asked.observe((leader.clone(), answer), Instant::now()) {
            info!(self.shared.log, "seat.asked"; "group" => %self.name, "leader" => %leader,
                "answer" => ?answer, "took_ms" => millis(took), "start_ms" => self.since_start());
        }
    }

    /// Logs steps to the seat, refusals and vacant seats; never ends.
    pub async fn run<M: Machine>(mut self, group: &Group<M>) {
        let mut seen = group.watch();
        let mut steps = Steps::new(&seen.borrow());
        let mut ticks = time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            let status = seen.borrow_and_update().clone();
            for step in steps.observe(&status) {
                self.log_step(step);
            }
            self.log_refusals(&status);
            let notice =
                self.vacant.observe(vacant_seats(&status, self.seats()) > 0, Instant::now());
            if let Some(Notice::Lasts(lasted)) = notice {
                self.log_vacant_seats(&status, lasted, group).await;
            }
            tokio::select! {
                changed = seen.changed() => if changed.is_err() { future::pending().await },
                _ = ticks.tick() => (),
            }
        }
    }

    fn log_step(&self, step: Step) {
        match step {
            Step::Role(role) => {
                info!(self.shared.log, "seat.role"; "group" => %self.name,
                    "member_role" => role.map_or("none", Role::name), "start_ms" => self.since_start());
            }
            Step::Fetch(fetch) => {
                info!(self.shared.log, "seat.fetch"; "group" => %self.name, "stage" => ?fetch.stage,
                    "from" => self.shared.routes.name(fetch.from), "bytes" => fetch.bytes,
                    "requests" => fetch.requests, "took_ms" => millis(fetch.took),
                    "start_ms" => self.since_start());
            }
        }
    }

    fn log_refusals(&mut self, status: &Status) {
        if let Some((change, refusal)) = status.repairs.refused {
            self.log_refusal("leader", change, refusal);
        }
        let refusals = status.refusals;
        if refusals.count != self.refusals
            && let Some((change, refusal)) = refusals.last
        {
            self.refusals = refusals.count;
            self.log_refusal("asked", change, refusal);
        }
    }

    fn log_refusal(&mut self, by: &str, change: Change, refusal: Refusal) {
        let cause = format!("{by} {change:?} {refusal:?}");
        if self.refused.observe(cause, Instant::now()) {
            info!(self.shared.log, "seats.refused"; "group" => %self.name, "by" => by,
                "change" => ?change, "member" => self.shared.routes.name(change.target()),
                "replica" => %change.target(), "why" => %refusal);
        }
    }

    async fn log_vacant_seats<M: Machine>(
        &self,
        status: &Status,
        lasted: Duration,
        group: &Group<M>,
    ) {
        let peers = group.peers().await.unwrap_or_default();
        let commit = group.status().commit;
        for learner in peers.iter().filter(|peer| peer.role == Role::Learner) {
            warn!(self.shared.log, "seat.vacant"; "group" => %self.name, "ms" => millis(lasted),
                "learner" => self.shared.routes.name(learner.id), "replica" => %learner.id, "mode" => ?learner.mode,
                "matched" => %learner.matched, "commit" => %commit,
                "responsive" => learner.responsive, "silence_ms" => millis(learner.silence),
                "holds_data" => ?learner.holds_data, "settled" => status.settled,
                "term" => %status.term);
        }
    }

    fn seats(&self) -> usize {
        self.shared.plan.voters(&self.name)
    }

    fn since_start(&self) -> u64 {
        millis(self.started.elapsed())
    }
}

/// Seats without a voter, for each of which a learner waits; only the leader can fill them.
pub(crate) fn vacant_seats(status: &Status, seats: usize) -> usize {
    let learners = status.members.with_role(Role::Learner).count();
    let free = seats.saturating_sub(status.members.with_role(Role::Voter).count());
    if status.leads { free.min(learners) } else { 0 }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

#[cfg(test)]
mod tests;

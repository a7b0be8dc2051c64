//! Carrying out what the replica asks for.

use tokio::time::Instant;

use super::Driver;
use super::Error;
use super::Machine;
use super::Message;
use super::Stopped;
use super::batch::Batch;
use super::fetch::Fetch;
use super::request::Answer;
use super::request::not_leader;
use crate::consensus::Entry;
use crate::consensus::Output;
use crate::consensus::Payload;
use crate::consensus::Persist;
use crate::consensus::Refusal;
use crate::consensus::Token;
use crate::id;
use crate::store::Disk;

impl<M: Machine, D: Disk> Driver<M, D> {
    pub(super) fn carry_out(&mut self, output: Output) {
        match output {
            Output::Persist(persist) => self.persist(persist),
            Output::Send { to, message } => self.send(to, Message::Consensus(message)),
            Output::Apply(entries) => entries.iter().for_each(|entry| self.apply(entry)),
            Output::Appended { token, position } => self.pending.append(token, position),
            Output::Rejected { token, refusal } => {
                self.record_refusal(token, refusal);
                self.reject(token, refusal);
            }
            Output::ReadReady { token, .. } => {
                if let Some(look) = self.reads.remove(&token) {
                    look(Ok(&self.machine));
                }
            }
            Output::InstallSnapshot { from, snapshot } => {
                let now = Instant::now();
                self.tally.begin(from, now);
                self.fetch = Some(Fetch::new(from, snapshot, now));
            }
            Output::SnapshotDue { .. } => self.snapshot_due = true,
            Output::Compact { through } => self.compact(through),
            Output::BecameLeader { .. } => self.told = Some(Instant::now()),
            Output::SteppedDown { .. } => self.step_down(),
            Output::LeaderChanged { .. } | Output::MembersChanged(_) => {}
        }
    }

    /// A witness must never hold data. Leaders send it none; should one ever do, none reaches the disk either.
    pub(super) fn persist(&mut self, mut persist: Persist) {
        if self.config.consensus.witness {
            persist.entries.iter_mut().for_each(|entry| *entry = entry.without_data());
        }
        self.files.persist(persist);
    }

    pub(super) fn send(&mut self, to: id::Replica, message: Message) {
        let is_dropped = self.outbox.try_send((to, message)).is_err();
        self.meter.record_sent(is_dropped);
    }

    pub(super) fn apply(&mut self, entry: &Entry) {
        let batch = self.pending.settle(entry.position);
        self.applied = entry.index();
        match (&entry.payload, batch) {
            (Payload::Data(data), Some(Batch::Commands(answers))) => {
                self.run_commands(data, answers);
            }
            (Payload::Data(data), _) => self.run_commands(data, Vec::new()),
            (_, Some(Batch::Change(answer))) => drop(answer.send(Ok(()))),
            _ => {}
        }
    }

    pub(super) fn run_commands(&mut self, mut data: &[u8], answers: Vec<Option<Answer<M::Reply>>>) {
        let mut answers = answers.into_iter();
        while !data.is_empty() {
            let Ok(command) = ciborium::from_reader::<M::Command, _>(&mut data) else {
                self.failure = Some(Stopped::Undecodable(self.applied));
                return;
            };
            let reply = self.machine.apply(&command);
            if let Some(answer) = answers.next().flatten() {
                drop(answer.send(Ok(reply)));
            }
        }
    }

    pub(super) fn reject(&mut self, token: Token, refusal: Refusal) {
        let error = Error::Refused(refusal);
        if !self.pending.reject(token, error)
            && let Some(look) = self.reads.remove(&token)
        {
            look(Err(error));
        }
    }

    pub(super) fn step_down(&mut self) {
        self.told = None;
        self.pending.give_up();
        let error = not_leader(self.replica.leader());
        std::mem::take(&mut self.reads).into_values().for_each(|look| look(Err(error)));
        while let Some((_, batch)) = self.waiting.take(usize::MAX) {
            batch.fail(error);
        }
    }
}

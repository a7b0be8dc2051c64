//! Commands on their way: those that wait for a batch, and the batches that wait to be carried out.

use std::collections::BTreeMap;

use bytes::Bytes;
use bytes::BytesMut;

use super::Error;
use super::Machine;
use super::request::Answer;
use crate::consensus::Position;
use crate::consensus::Token;
use crate::unit::Index;

/// Commands that wait for the sync before theirs, with their encoded form.
pub(super) struct Waiting<M: Machine> {
    commands: Vec<Bytes>,
    answers: Vec<Option<Answer<M::Reply>>>,
    bytes: usize,
}

/// What is answered when an entry is carried out.
pub(super) enum Batch<M: Machine> {
    Commands(Vec<Option<Answer<M::Reply>>>),
    Change(Answer<()>),
}

/// Batches by the token under which they were proposed, then by their place in the log.
pub(super) struct Pending<M: Machine> {
    proposed: BTreeMap<Token, Batch<M>>,
    appended: BTreeMap<Index, (Position, Batch<M>)>,
}

impl<M: Machine> Waiting<M> {
    pub const fn new() -> Self {
        Self { commands: Vec::new(), answers: Vec::new(), bytes: 0 }
    }

    pub fn len(&self) -> usize {
        self.commands.len()
    }

    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn push(&mut self, command: &M::Command, answer: Option<Answer<M::Reply>>) {
        let mut encoded = Vec::new();
        ciborium::into_writer(command, &mut encoded).expect("plain data always encodes to memory");
        self.bytes += encoded.len();
        self.commands.push(Bytes::from(encoded));
        self.answers.push(answer);
    }

    /// The next batch, one command at least and otherwise up to that many bytes.
    pub fn take(&mut self, limit: usize) -> Option<(Bytes, Batch<M>)> {
        let mut size = 0;
        let fits = |command: &&Bytes| {
            size += command.len();
            size <= limit
        };
        let count = self.commands.iter().take_while(fits).count().max(1).min(self.commands.len());
        if count == 0 {
            return None;
        }
        let mut data = BytesMut::new();
        self.commands.drain(..count).for_each(|command| data.extend_from_slice(&command));
        self.bytes -= data.len();
        Some((data.freeze(), Batch::Commands(self.answers.drain(..count).collect())))
    }
}

impl<M: Machine> Batch<M> {
    pub fn fail(self, error: Error) {
        match self {
            Self::Commands(answers) => {
                answers.into_iter().flatten().for_each(|answer| drop(answer.send(Err(error))));
            }
            Self::Change(answer) => drop(answer.send(Err(error))),
        }
    }

    fn len(&self) -> usize {
        match self {
            Self::Commands(answers) => answers.len(),
            Self::Change(_) => 1,
        }
    }
}

impl<M: Machine> Pending<M> {
    pub const fn new() -> Self {
        Self { proposed: BTreeMap::new(), appended: BTreeMap::new() }
    }

    pub fn len(&self) -> usize {
        self.appended.values().map(|(_, batch)| batch.len()).sum()
    }

    pub fn propose(&mut self, token: Token, batch: Batch<M>) {
        self.proposed.insert(token, batch);
    }

    pub fn reject(&mut self, token: Token, error: Error) -> bool {
        let batch = self.proposed.remove(&token);
        let known = batch.is_some();
        batch.into_iter().for_each(|batch| batch.fail(error));
        known
    }

    pub fn append(&mut self, token: Token, position: Position) {
        let Some(batch) = self.proposed.remove(&token) else { return };
        if let Some((_, overtaken)) = self.appended.insert(position.index, (position, batch)) {
            overtaken.fail(Error::Overtaken);
        }
    }

    /// The batch of an entry that is carried out, if it is this very entry.
    pub fn settle(&mut self, position: Position) -> Option<Batch<M>> {
        let (proposed, batch) = self.appended.remove(&position.index)?;
        if proposed == position {
            return Some(batch);
        }
        batch.fail(Error::Overtaken);
        None
    }

    /// Answers all whose outcome this replica won't learn for certain, now that it doesn't lead.
    pub fn give_up(&mut self) {
        for (_, (_, batch)) in std::mem::take(&mut self.appended) {
            batch.fail(Error::Unknown);
        }
    }
}

#[cfg(test)]
mod tests;

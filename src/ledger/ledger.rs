//! The deterministic state machine of a ledger group.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use super::Command;
use super::Digest;
use super::Finish;
use super::Limits;
use super::Look;
use super::Reply;
use super::Start;
use super::Step;
use super::Withdraw;
use super::answers::Answers;
use super::keys::Keys;
use super::keys::Open;
use crate::id;
use crate::unit::Incarnation;
use crate::unit::Milliseconds;
use crate::unit::Version;

/// At most one request per key of one region, or of one shard of its owners, is ever granted.
///
/// The same commands in the same order give the same ledger on every replica.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    limits: Limits,
    #[serde_as(as = "Milliseconds")]
    now: Duration,
    keys: Keys,
    answers: Answers,
    /// The last incarnation of each VM that was given up.
    abandoned: BTreeMap<id::Vm, Incarnation>,
    /// The least version that a start of an entry must name.
    fences: BTreeMap<id::Entry, Version>,
}

impl Ledger {
    /// Carries a committed command out.
    pub fn apply(&mut self, command: &Command) -> Reply {
        match command {
            Command::Start(start) => self.start(start),
            Command::Finish(finish) => self.finish(finish),
            Command::Withdraw(withdraw) => self.withdraw(withdraw),
            Command::Release(step) => self.release(step),
            Command::Abandon { vm, incarnation } => self.abandon(vm, *incarnation),
            Command::Look(look) => self.look(look),
            Command::Advance { elapsed } => self.advance(*elapsed),
            Command::Limit(limits) => self.limit(*limits),
        }
    }

    /// The bounds in force.
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// How many keys are known.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What is known of a key, changing nothing: no fence is raised, and no answer is counted as given out.
    pub fn peek(&self, look: &Look) -> Reply {
        let key = Digest::of_key(&look.owner, &look.key);
        self.story(&key, &look.body, None).unwrap_or(Reply::Absent)
    }

    fn start(&mut self, start: &Start) -> Reply {
        let key = Digest::of_key(&start.owner, &start.key);
        // A replay of a granted start, or a resend of a known key, is told what became of it before all else.
        if let Some(reply) = self.known(&key, &start.body, Some(start.attempt)) {
            return reply;
        }
        if self.keys.is_withdrawn(&key, start.attempt) {
            return Reply::Withdrawn;
        }
        // Failure: a start of a VM that was given up arrives late; nobody would ever abandon it again, and the key
        // would seem to run for ever.
        if self.abandoned.get(&start.vm).is_some_and(|gone| start.incarnation <= *gone) {
            return Reply::Abandoned;
        }
        // Failure: a VM that hasn't heard of the entry's new home starts a key here that another VM starts there.
        // The new home asks here first, and that question raises the fence.
        if let Some(&home_since) =
            self.fences.get(&start.entry).filter(|fence| start.home_since < **fence)
        {
            return Reply::Moved { home_since };
        }
        self.keys.start(key, Open::from(start), self.now);
        Reply::Granted
    }

    /// What a resend is told of a key, counting the answer that it gets; nothing if the key is new.
    fn known(
        &mut self,
        key: &Digest,
        body: &Digest,
        attempt: Option<id::Attempt>,
    ) -> Option<Reply> {
        let reply = self.story(key, body, attempt)?;
        if matches!(reply, Reply::Finished { answer: Some(_), .. }) {
            self.answers.count(key);
        }
        Some(reply)
    }

    fn story(&self, key: &Digest, body: &Digest, attempt: Option<id::Attempt>) -> Option<Reply> {
        if let Some(ended) = self.keys.ended(key) {
            let answer = self.answers.get(key, &self.limits);
            let told = Reply::Finished { outcome: ended.outcome, answer };
            return Some(if ended.body == *body { told } else { Reply::Mismatch });
        }
        let open = self.keys.open(key)?;
        Some(match open {
            _ if open.body != *body => Reply::Mismatch,
            _ if open.lost => Reply::Unknown,
            _ if Some(open.attempt) == attempt => Reply::Granted,
            _ => Reply::Running { vm: open.vm.clone(), attempt: open.attempt },
        })
    }

    fn finish(&mut self, finish: &Finish) -> Reply {
        let key = Digest::of_key(&finish.step.owner, &finish.step.key);
        // A VM that was given up may still tell how its attempt ended: that is better than `Unknown`.
        if !self.holds(&key, finish.step.attempt) {
            return Reply::Stale;
        }
        self.keys.finish(key, finish.outcome);
        if let Some(answer) = &finish.answer {
            self.answers.keep(key, answer.clone(), self.now, &self.limits);
        }
        Reply::Done
    }

    /// Failure: a start is lost on its way, the caller is told that nothing ran, and the start commits after all.
    /// The attempt's number is kept as withdrawn, so whichever of the two comes first, the start isn't granted.
    fn withdraw(&mut self, withdraw: &Withdraw) -> Reply {
        let step = &withdraw.step;
        let key = Digest::of_key(&step.owner, &step.key);
        self.keys.withdraw(key, step.attempt, self.now);
        self.known(&key, &withdraw.body, None).unwrap_or(Reply::Withdrawn)
    }

    fn release(&mut self, step: &Step) -> Reply {
        let key = Digest::of_key(&step.owner, &step.key);
        if !self.holds(&key, step.attempt) {
            return Reply::Stale;
        }
        self.keys.withdraw(key, step.attempt, self.now);
        Reply::Done
    }

    fn holds(&self, key: &Digest, attempt: id::Attempt) -> bool {
        self.keys.open(key).is_some_and(|open| open.attempt == attempt)
    }

    fn abandon(&mut self, vm: &id::Vm, incarnation: Incarnation) -> Reply {
        let gone = self.abandoned.entry(vm.clone()).or_default();
        *gone = incarnation.max(*gone);
        self.keys.abandon(vm, incarnation);
        Reply::Done
    }

    fn look(&mut self, look: &Look) -> Reply {
        let fence = self.fences.entry(look.entry.clone()).or_default();
        *fence = look.home_since.max(*fence);
        let key = Digest::of_key(&look.owner, &look.key);
        self.known(&key, &look.body, None).unwrap_or(Reply::Absent)
    }

    fn advance(&mut self, elapsed: Duration) -> Reply {
        self.now = self.now.saturating_add(elapsed);
        self.keys.expire(self.now, self.limits.keep_keys);
        self.answers.trim(self.now, &self.limits);
        Reply::Done
    }

    fn limit(&mut self, limits: Limits) -> Reply {
        self.limits = limits;
        self.advance(Duration::ZERO)
    }
}

impl From<&Start> for Open {
    fn from(start: &Start) -> Self {
        Self {
            body: start.body,
            attempt: start.attempt,
            vm: start.vm.clone(),
            incarnation: start.incarnation,
            lost: false,
            group: 0,
        }
    }
}

#[cfg(test)]
mod fuzz;
#[cfg(test)]
mod tests;

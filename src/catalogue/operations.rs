//! The first answers of past operations, kept for resends.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use xxhash_rust::xxh3::xxh3_64;

use super::Change;
use super::Reply;
use crate::id;
use crate::unit::Milliseconds;

/// Operations whose answer is kept. Operators make a few changes a day; a program in a loop makes one a second,
/// and still has more than an hour for its resend. What falls out can't be accepted twice: its version is taken.
pub(super) const KEPT_COUNT: usize = 4096;

/// How long answers are kept: an operator's resend comes after a weekend at the latest.
pub(super) const KEPT_TIME: Duration = Duration::from_secs(7 * 24 * 60 * 60);

/// The first answers by operation.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Operations {
    answers: BTreeMap<id::Operation, Answer>,
    order: VecDeque<id::Operation>,
}

#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Answer {
    digest: u64,
    reply: Reply,
    #[serde_as(as = "Milliseconds")]
    given: Duration,
}

impl Operations {
    /// The answer to give without another look at the catalogue, if this operation was here before.
    pub fn recall(&self, change: &Change) -> Option<Reply> {
        let answer = self.answers.get(&change.operation)?;
        Some(if answer.digest == digest(change) { answer.reply.clone() } else { Reply::Reused })
    }

    /// Keeps the first answer of an operation, and forgets the oldest when there are too many.
    pub fn keep(&mut self, change: &Change, reply: Reply, now: Duration) {
        let answer = Answer { digest: digest(change), reply, given: now };
        self.answers.insert(change.operation, answer);
        self.order.push_back(change.operation);
        if self.order.len() > KEPT_COUNT {
            self.forget_oldest();
        }
    }

    /// Forgets what is older than the kept window.
    pub fn expire(&mut self, now: Duration) {
        while self.oldest().is_some_and(|given| now.saturating_sub(given) >= KEPT_TIME) {
            self.forget_oldest();
        }
    }

    fn oldest(&self) -> Option<Duration> {
        self.order
            .front()
            .and_then(|operation| self.answers.get(operation))
            .map(|answer| answer.given)
    }

    fn forget_oldest(&mut self) {
        if let Some(operation) = self.order.pop_front() {
            self.answers.remove(&operation);
        }
    }
}

/// Tells a resend from another change under a number used before; operators don't attack themselves, so 64 bits do.
fn digest(change: &Change) -> u64 {
    let mut bytes = Vec::new();
    ciborium::into_writer(change, &mut bytes)
        .expect("a change is plain data, which always encodes to memory");
    xxh3_64(&bytes)
}

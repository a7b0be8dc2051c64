//! The kept answers, oldest first out.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use super::Answer;
use super::Digest;
use super::Limits;
use crate::unit::Milliseconds;

/// Answers by key, bounded in count, bytes and age.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Answers {
    kept: BTreeMap<Digest, Kept>,
    order: VecDeque<Digest>,
    bytes: u64,
}

#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Kept {
    answer: Arc<Answer>,
    #[serde_as(as = "Milliseconds")]
    since: Duration,
    fetches: u32,
}

impl Answers {
    /// Keeps an answer, unless it is too large, and drops the oldest for it.
    pub fn keep(&mut self, key: Digest, answer: Arc<Answer>, now: Duration, limits: &Limits) {
        if answer.size() > limits.largest_answer.get() || self.kept.contains_key(&key) {
            return;
        }
        self.bytes += answer.size();
        self.kept.insert(key, Kept { answer, since: now, fetches: 0 });
        self.order.push_back(key);
        self.trim(now, limits);
    }

    /// The answer kept under a key, unless it was given out too often.
    pub fn get(&self, key: &Digest, limits: &Limits) -> Option<Arc<Answer>> {
        let kept = self.kept.get(key).filter(|kept| kept.fetches < limits.fetches)?;
        Some(Arc::clone(&kept.answer))
    }

    /// Counts that an answer was given out.
    pub fn count(&mut self, key: &Digest) {
        if let Some(kept) = self.kept.get_mut(key) {
            kept.fetches = kept.fetches.saturating_add(1);
        }
    }

    /// Drops what is too old or too much.
    pub fn trim(&mut self, now: Duration, limits: &Limits) {
        while self.exceeds(now, limits) {
            let Some(kept) = self.order.pop_front().and_then(|key| self.kept.remove(&key)) else {
                return;
            };
            self.bytes -= kept.answer.size();
        }
    }

    fn exceeds(&self, now: Duration, limits: &Limits) -> bool {
        let oldest = self.order.front().and_then(|key| self.kept.get(key));
        oldest.is_some_and(|kept| now.saturating_sub(kept.since) >= limits.keep_answers)
            || self.order.len() > limits.answers
            || self.bytes > limits.answer_bytes.get()
    }
}

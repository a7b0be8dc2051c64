//! The known keys and what each has come to.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use super::Digest;
use super::Outcome;
use super::packed;
use crate::id;
use crate::unit::Incarnation;
use crate::unit::Milliseconds;

/// Keys expire together in groups of this length, so that no time has to be kept for each key. It is one
/// seventy-second of the three days that they are kept for.
const GROUP_LENGTH: Duration = Duration::from_secs(60 * 60);

/// Everything that is known by key.
///
/// A B-tree, not a hash table: it grows without ever moving all keys at once, which would hold up every claim for
/// a second at ten million keys, and its order is the same on all replicas.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Keys {
    #[serde(with = "packed::ended")]
    ended: BTreeMap<Digest, Ended>,
    open: BTreeMap<Digest, Open>,
    withdrawn: BTreeMap<Digest, Withdrawn>,
    groups: VecDeque<Group>,
    next_group: u32,
}

/// A key whose request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Ended {
    pub body: Digest,
    pub outcome: Outcome,
    /// The number of the group that it expires with.
    pub group: u32,
}

/// A key whose request hasn't ended, as far as is known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Open {
    pub body: Digest,
    pub attempt: id::Attempt,
    pub vm: id::Vm,
    pub incarnation: Incarnation,
    /// Whether its VM is gone.
    pub lost: bool,
    /// The number of the group that it expires with.
    pub group: u32,
}

/// Attempts under one key that must never be granted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Withdrawn {
    attempts: Vec<id::Attempt>,
    group: u32,
}

/// Keys that were first seen at about the same time.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Group {
    #[serde_as(as = "Milliseconds")]
    begun: Duration,
    number: u32,
    #[serde(with = "packed::digests")]
    keys: Vec<Digest>,
}

impl Keys {
    pub fn ended(&self, key: &Digest) -> Option<&Ended> {
        self.ended.get(key)
    }

    pub fn open(&self, key: &Digest) -> Option<&Open> {
        self.open.get(key)
    }

    pub fn is_withdrawn(&self, key: &Digest, attempt: id::Attempt) -> bool {
        self.withdrawn.get(key).is_some_and(|withdrawn| withdrawn.attempts.contains(&attempt))
    }

    pub fn len(&self) -> usize {
        self.ended.len() + self.open.len()
    }

    /// Notes that an attempt runs.
    pub fn start(&mut self, key: Digest, mut open: Open, now: Duration) {
        open.group = self.remember(key, now);
        self.open.insert(key, open);
    }

    /// Notes that the attempt which holds the key has ended.
    pub fn finish(&mut self, key: Digest, outcome: Outcome) {
        if let Some(Open { body, group, .. }) = self.open.remove(&key) {
            self.ended.insert(key, Ended { body, outcome, group });
        }
    }

    /// Takes the key from an attempt, if it holds it, and never grants that attempt again.
    pub fn withdraw(&mut self, key: Digest, attempt: id::Attempt, now: Duration) {
        if self.open.get(&key).is_some_and(|open| open.attempt == attempt) {
            self.open.remove(&key);
        }
        if self.is_withdrawn(&key, attempt) {
            return;
        }
        let group = self.remember(key, now);
        let withdrawn = self.withdrawn.entry(key).or_default();
        withdrawn.attempts.push(attempt);
        withdrawn.group = group;
    }

    /// Notes that whatever runs on a VM, up to an incarnation, is lost.
    pub fn abandon(&mut self, vm: &id::Vm, incarnation: Incarnation) {
        let gone = |open: &&mut Open| open.vm == *vm && open.incarnation <= incarnation;
        self.open.values_mut().filter(gone).for_each(|open| open.lost = true);
    }

    /// Forgets the keys that were first seen so long ago; those still running stay for another round.
    pub fn expire(&mut self, now: Duration, lifetime: Duration) {
        while self.groups.front().is_some_and(|group| is_over(group, now, lifetime)) {
            let Some(group) = self.groups.pop_front() else { return };
            group.keys.iter().for_each(|key| self.forget(key, group.number, now));
        }
    }

    /// Forgets what is kept under a key, as far as it belongs to the group that expires.
    ///
    /// Failure: an attempt is withdrawn, the key starts again a day later, and the first group's end forgets the
    /// second start a day too early, so that a resend runs again. The group's number tells the two apart.
    fn forget(&mut self, key: &Digest, group: u32, now: Duration) {
        if self.withdrawn.get(key).is_some_and(|withdrawn| withdrawn.group == group) {
            self.withdrawn.remove(key);
        }
        if self.ended.get(key).is_some_and(|ended| ended.group == group) {
            self.ended.remove(key);
        }
        match self.open.get(key).filter(|open| open.group == group).map(|open| open.lost) {
            Some(true) => drop(self.open.remove(key)),
            Some(false) => self.renew(key, now),
            None => {}
        }
    }

    fn renew(&mut self, key: &Digest, now: Duration) {
        let group = self.remember(*key, now);
        if let Some(open) = self.open.get_mut(key) {
            open.group = group;
        }
    }

    /// Enters a key into the present group, and gives the group's number.
    fn remember(&mut self, key: Digest, now: Duration) -> u32 {
        if self.groups.back().is_none_or(|group| now.saturating_sub(group.begun) >= GROUP_LENGTH) {
            self.begin_group(now);
        }
        let group =
            self.groups.back_mut().expect("a group has just been begun where there was none");
        group.keys.push(key);
        group.number
    }

    fn begin_group(&mut self, now: Duration) {
        if let Some(group) = self.groups.back_mut() {
            group.keys.shrink_to_fit();
        }
        self.groups.push_back(Group { begun: now, number: self.next_group, keys: Vec::new() });
        self.next_group = self.next_group.wrapping_add(1);
    }
}

/// Whether the youngest key that a group can hold is old enough.
fn is_over(group: &Group, now: Duration, lifetime: Duration) -> bool {
    now.saturating_sub(group.begun) >= lifetime.saturating_add(GROUP_LENGTH)
}

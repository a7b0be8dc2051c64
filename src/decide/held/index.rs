//! What one engine holds, from its own events.

use std::collections::HashMap;

use super::MAX_PARTS;
use crate::unit::Tokens;

/// Missing events up to which only the oldest parts are doubted. Each of them evicted one part at most, the least recently
/// used.
const MAX_MISSING: u64 = 8;

/// Missing events after which a list is worth its cost, which is that of a probe.
const LIST_AFTER_MISSING: u64 = 16;

/// A change of an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// The number of the event.
    pub number: u64,
    /// The part.
    pub part: u64,
    /// The tokens of it that the engine keeps from now on; zero once it is evicted.
    pub kept: Tokens,
}

/// An engine's answer to a question for events.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Events {
    /// Identifies the engine's start.
    pub epoch: u64,
    /// The number to ask for next.
    pub next: u64,
    /// Whether events before these are no longer available.
    pub has_lost: bool,
    /// The events.
    pub events: Vec<Event>,
}

/// An engine's list of what it holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Identifies the engine's start.
    pub epoch: u64,
    /// The number of the first event that is not included.
    pub next: u64,
    /// The parts that it holds, with the tokens that it keeps.
    pub held: Vec<(u64, Tokens)>,
}

/// What an answer has done to an index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// All events were applied.
    Complete,
    /// Events are missing, and some parts are doubted.
    Gap,
    /// The engine has started anew; nothing is known of it.
    Restarted,
    /// It contradicts earlier answers, and is ignored.
    Invalid,
}

#[derive(Debug, Clone, Copy)]
struct Part {
    kept: Tokens,
    /// Orders parts by when they were added.
    order: u64,
    is_doubted: bool,
}

/// The parts that an engine holds.
#[derive(Debug, Clone, Default)]
pub struct Index {
    /// The engine's start; `None` before the first list.
    epoch: Option<u64>,
    next: u64,
    parts: HashMap<u64, Part>,
    order: u64,
    missing: u64,
    needs_list: bool,
    is_doubted: bool,
    /// The memory of the engine, which bounds what it can hold.
    memory: Tokens,
}

impl Index {
    /// Creates the index of an engine with that memory, of which nothing is known.
    pub fn new(memory: Tokens) -> Self {
        Self { memory, needs_list: true, is_doubted: true, ..Self::default() }
    }

    /// Returns the number of the first event that is not known.
    pub const fn next(&self) -> u64 {
        self.next
    }

    /// Returns the engine's start; `None` before the first list.
    pub const fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Returns whether a list would end a doubt.
    pub const fn needs_list(&self) -> bool {
        self.needs_list
    }

    /// Returns whether the index as a whole can't be used until there is a list.
    pub const fn is_doubted(&self) -> bool {
        self.is_doubted
    }

    /// Returns how many tokens of a part the engine holds for sure.
    pub fn kept(&self, part: u64) -> Tokens {
        let known = self.parts.get(&part).filter(|part| !part.is_doubted);
        known.map_or(Tokens::ZERO, |part| part.kept)
    }

    /// Returns the parts that it holds for sure.
    pub fn held(&self) -> impl Iterator<Item = (u64, Tokens)> + '_ {
        let sure = self.parts.iter().filter(|(_, part)| !part.is_doubted);
        sure.map(|(part, state)| (*part, state.kept))
    }

    /// Returns the number of parts in memory, doubted ones included.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether no part is known.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Applies an answer to the question for events since [`Self::next`].
    pub fn apply_events(&mut self, answer: &Events) -> Applied {
        match self.epoch {
            Some(epoch) if epoch != answer.epoch => {
                self.reset();
                return Applied::Restarted;
            }
            None => return Applied::Invalid,
            Some(_) => (),
        }
        let is_ordered = answer.events.is_sorted_by(|a, b| a.number < b.number);
        let last = answer.events.last().map_or(0, |event| event.number);
        if !is_ordered || answer.next < self.next || (last >= answer.next && last > 0) {
            return Applied::Invalid;
        }
        let mut gap = answer.has_lost;
        if answer.has_lost {
            self.doubt_all();
        }
        let known = self.next;
        for event in answer.events.iter().filter(|event| event.number >= known) {
            gap |= !answer.has_lost && self.skip_to(event.number);
            self.next = event.number + 1;
            self.apply(event);
        }
        gap |= !answer.has_lost && self.skip_to(answer.next);
        self.next = answer.next;
        if gap { Applied::Gap } else { Applied::Complete }
    }

    /// Forgets everything, until there is a list.
    pub fn reset(&mut self) {
        *self = Self::new(self.memory);
    }

    /// Applies a list, which ends all doubt.
    pub fn apply_list(&mut self, list: &Listing) {
        *self = Self { epoch: Some(list.epoch), next: list.next, ..Self::new(self.memory) };
        (self.needs_list, self.is_doubted) = (false, false);
        for (part, kept) in list.held.iter().take(MAX_PARTS) {
            self.add(*part, *kept);
        }
    }

    fn apply(&mut self, event: &Event) {
        if event.kept == Tokens::ZERO {
            self.parts.remove(&event.part);
        } else {
            self.add(event.part, event.kept);
        }
    }

    fn add(&mut self, part: u64, kept: Tokens) {
        self.order += 1;
        self.parts.insert(part, Part { kept, order: self.order, is_doubted: false });
        // The eviction of what exceeds the memory must have been missed.
        while self.parts.len() > MAX_PARTS || self.total() > self.memory {
            let Some(oldest) = self.oldest(|_| true) else { break };
            self.parts.remove(&oldest);
        }
    }

    fn total(&self) -> Tokens {
        self.parts.values().map(|part| part.kept).sum()
    }

    fn oldest(&self, is_eligible: impl Fn(&Part) -> bool) -> Option<u64> {
        let eligible = self.parts.iter().filter(|(_, part)| is_eligible(part));
        eligible.min_by_key(|(_, part)| part.order).map(|(part, _)| *part)
    }

    /// Doubts what events before that number, which did not arrive, may have evicted; returns whether there are any.
    fn skip_to(&mut self, number: u64) -> bool {
        let missing = number.saturating_sub(self.next);
        if missing > MAX_MISSING {
            self.doubt_all();
            return true;
        }
        for _ in 0..missing {
            if let Some(oldest) = self.oldest(|part| !part.is_doubted)
                && let Some(part) = self.parts.get_mut(&oldest)
            {
                part.is_doubted = true;
            }
        }
        self.missing += missing;
        self.needs_list |= self.missing >= LIST_AFTER_MISSING;
        missing > 0
    }

    fn doubt_all(&mut self) {
        self.parts.values_mut().for_each(|part| part.is_doubted = true);
        (self.needs_list, self.is_doubted) = (true, true);
    }
}

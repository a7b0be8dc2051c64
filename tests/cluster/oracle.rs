//! What must hold whatever happens: one order of entries, no accepted value lost, no read from the past.

use std::collections::BTreeMap;

use masticstream::consensus::Entry;
use masticstream::consensus::Position;
use masticstream::consensus::Token;
use masticstream::id;
use masticstream::unit::Index;
use masticstream::unit::Term;

/// The applied entries of the whole group, and what callers were told.
#[derive(Debug, Default)]
pub struct Oracle {
    applied: Vec<Entry>,
    accepted: Vec<Position>,
    leaders: BTreeMap<Term, id::Replica>,
    reads: BTreeMap<Token, Index>,
    what: String,
}

impl Oracle {
    /// An oracle that names the run in its verdicts.
    pub fn new(what: String) -> Self {
        Self { what, ..Self::default() }
    }

    /// How many values were accepted.
    pub const fn accepted(&self) -> usize {
        self.accepted.len()
    }

    /// The last applied index.
    pub const fn end(&self) -> Index {
        Index::new(self.applied.len() as u64)
    }

    /// A replica applies an entry: the same at this index as all others.
    pub fn apply(&mut self, entry: &Entry) {
        let place = entry.index().get() as usize - 1;
        match self.applied.get(place) {
            Some(known) => {
                assert_eq!(known, entry, "{}: two entries at {}", self.what, entry.index());
            }
            None => {
                assert_eq!(place, self.applied.len(), "{}: entries skipped", self.what);
                self.applied.push(entry.clone());
            }
        }
    }

    /// A caller is told that its value is accepted.
    pub fn accept(&mut self, position: Position) {
        let known = self.applied.get(position.index.get() as usize - 1);
        assert_eq!(
            known.map(|entry| entry.position),
            Some(position),
            "{}: accepted and not applied",
            self.what
        );
        self.accepted.push(position);
    }

    /// A replica leads a term, alone.
    pub fn lead(&mut self, term: Term, id: id::Replica) {
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "{}: two leaders in term {term}", self.what);
    }

    /// A caller asks to read.
    pub fn ask(&mut self, token: Token) {
        let seen = self.accepted.iter().map(|position| position.index).max().unwrap_or_default();
        self.reads.insert(token, seen);
    }

    /// It is answered, from a state machine applied up to an index.
    pub fn answer(&mut self, token: Token, applied: Index) {
        let seen = self.reads.remove(&token).unwrap_or_default();
        assert!(applied >= seen, "{}: read at {applied} after {seen} was accepted", self.what);
    }

    /// A snapshot stands for exactly the entries that were applied.
    pub fn compare(&self, machine: &[Entry]) {
        assert!(self.applied.starts_with(machine), "{}: a state machine differs", self.what);
    }

    /// The verdict of a run that came to a stop.
    pub fn stuck(&self, why: &str) -> ! {
        panic!("{}: {why}", self.what)
    }
}

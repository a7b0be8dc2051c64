//! The catalogue's content, as every process holds it.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Delta;
use super::Entry;
use super::Record;
use crate::id;
use crate::unit::Version;

/// A copy of the catalogue that only ever moves forward.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    pub(super) version: Version,
    /// Traces at or before this version are forgotten: whoever is behind it gets the whole catalogue.
    pub(super) forgotten: Version,
    pub(super) records: BTreeMap<id::Entry, Record>,
}

/// What became of a delta.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The view has a newer version now.
    Moved,
    /// The view had all of it already; a late or repeated delta.
    Known,
    /// Changes before the delta are missing: ask for a delta from this version.
    Gap {
        /// The version that the view stays at.
        have: Version,
    },
}

impl View {
    /// The version in force here.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// The entry of that name, unless there is none.
    pub fn entry(&self, name: &id::Entry) -> Option<&Arc<Entry>> {
        self.records.get(name)?.entry.as_ref()
    }

    /// All that is kept under a name, traces of deleted entries included.
    pub fn record(&self, name: &id::Entry) -> Option<&Record> {
        self.records.get(name)
    }

    /// All names, in order, traces of deleted entries included.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// What a subscriber with that version lacks; nothing if it is up to date.
    pub fn delta(&self, from: Version) -> Option<Delta> {
        if from >= self.version {
            return None;
        }
        let whole = from < self.forgotten;
        let from = if whole { Version::ZERO } else { from };
        let lacking = |record: &&Record| whole || record.updated > from;
        let records = self.records.values().filter(lacking).cloned().collect();
        Some(Delta { from, to: self.version, forgotten: self.forgotten, whole, records })
    }

    /// Takes a delta in, from any peer and in any order.
    ///
    /// Failure: a peer that is behind, or a delayed message, brings an entry back that operators have replaced.
    /// Versions only grow, so whatever ends at or before the own version is dropped.
    pub fn apply(&mut self, delta: &Delta) -> Progress {
        if delta.to <= self.version {
            return Progress::Known;
        }
        if delta.from > self.version {
            return Progress::Gap { have: self.version };
        }
        if delta.whole {
            self.records.clear();
        }
        for record in &delta.records {
            self.records.insert(record.name.clone(), record.clone());
        }
        self.version = delta.to;
        self.forget(delta.forgotten);
        Progress::Moved
    }

    /// Forgets the traces of deleted names up to a version. One whose past homes still hold keys stays.
    pub(super) fn forget(&mut self, upto: Version) {
        if upto > self.forgotten {
            self.records.retain(|_, record| !record.is_idle_trace() || record.updated > upto);
            self.forgotten = upto;
        }
    }
}

//! What the catalogue keeps under one name.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use super::Entry;
use super::Home;
use crate::id;
use crate::unit::Milliseconds;
use crate::unit::Version;

/// One name of the catalogue: its entry, or the trace of a deleted one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The name.
    pub name: id::Entry,
    /// The entry's version: the catalogue version of its last change, deletion included.
    pub version: Version,
    /// The catalogue version at which anything here last changed, past homes included.
    pub updated: Version,
    /// The entry, or `None` once it is deleted.
    pub entry: Option<Arc<Entry>>,
    /// The version with which the present home region took over; a `ledger::Start` names it.
    pub home_since: Version,
    /// Regions whose ledgers still answer for keys of this entry.
    pub past_homes: Vec<PastHome>,
}

/// A region that was an entry's home, and whose ledger still holds keys.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastHome {
    /// The region.
    pub region: id::Region,
    /// When it ceased to be the home, on the catalogue's own count of time.
    #[serde_as(as = "Milliseconds")]
    pub left: Duration,
}

impl Record {
    /// A name that was never used.
    pub(super) const fn new(name: id::Entry) -> Self {
        Self {
            name,
            version: Version::ZERO,
            updated: Version::ZERO,
            entry: None,
            home_since: Version::ZERO,
            past_homes: Vec::new(),
        }
    }

    /// Takes the new content in force with this version.
    pub(super) fn replace(&mut self, content: Option<Arc<Entry>>, version: Version, now: Duration) {
        let before = self.region().cloned();
        self.entry = content;
        self.version = version;
        self.updated = version;
        if before.as_ref() == self.region() {
            return;
        }
        self.home_since = version;
        // Failure: a key started in the old home and resent after the change runs again in the new one. So the
        // old home stays listed until its keys have expired, and is asked (and fenced) before any start.
        let after = self.region().cloned();
        self.past_homes.retain(|past| {
            Some(&past.region) != after.as_ref() && Some(&past.region) != before.as_ref()
        });
        if let Some(region) = before {
            self.past_homes.push(PastHome { region, left: now });
        }
    }

    /// Forgets the homes that were left so long ago that their keys have expired; tells whether there were any.
    pub(super) fn expire(&mut self, now: Duration, lifetime: Duration) -> bool {
        let count = self.past_homes.len();
        self.past_homes.retain(|past| now.saturating_sub(past.left) < lifetime);
        self.past_homes.len() < count
    }

    /// Whether this is only the trace of a deleted entry, and no ledger holds keys of it.
    pub(super) const fn is_idle_trace(&self) -> bool {
        self.entry.is_none() && self.past_homes.is_empty()
    }

    fn region(&self) -> Option<&id::Region> {
        self.entry.as_deref().map(|entry| &entry.home).and_then(Home::region)
    }
}
